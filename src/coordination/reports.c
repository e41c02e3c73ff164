/* What reports and answers of commands prove, and the orders that follow. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <string.h>

static int find_placement(const machine *m, const char *job_id, uint32_t task)
{
    for (guint i = 0; i < m->placements->len; i++) {
        const placement *p = g_ptr_array_index(m->placements, i);
        if (p->index == task && strcmp(p->job, job_id) == 0)
            return (int)i;
    }
    return -1;
}

/* A worker reports again after every change of its tasks, a clear among them: in a large fleet
 * several are cleared at once. */
static bool clears_now(const mv_core *c, const machine *m, const mv_report *r)
{
    unsigned ended = 0;
    for (size_t i = 0; i < r->n_tasks; i++)
        ended += r->tasks[i].status == MV_ENDED;
    return m->shard->n_machines <= MV_WATCH_LEAST || ended >= MV_CLEAR_BATCH ||
           c->now > m->cleared_at + MV_CLEAR_AFTER_S;
}

static void add_clear(const machine *m, GArray *orders, const mv_task *task)
{
    if (!m->clearing)
        return;
    /* After a clear the worker would start a launch that still arrives late. */
    g_autofree char *key = mv_attempt_key(task->job, task->index, task->attempt);
    gpointer lost;
    bool may_arrive = g_hash_table_lookup_extended(m->uncertain_attempts, key, NULL, &lost);
    if (!may_arrive || (!lost && GUARD(IN_FLIGHT, false)))
        mv_add_order(orders, MV_CLEAR, task, 0);
}

/* A task found on a machine by a controller that does not remember placing it. */
static placement *adopt_task(mv_core *c, machine *m, job *j, const mv_task *task)
{
    placement *p = g_new0(placement, 1);
    g_strlcpy(p->job, task->job, sizeof p->job);
    p->index = task->index;
    p->attempt = task->attempt;
    p->adopted = true;
    mv_job_unwait(j, task->index);
    mv_note_placed(c, m, j, p);
    return p;
}

static void task_ended(mv_core *c, machine *m, job *j, const mv_task *task, GArray *orders)
{
    int at = find_placement(m, task->job, task->index);
    placement *p = at < 0 ? NULL : g_ptr_array_index(m->placements, at);
    bool ours = p && p->attempt == task->attempt;
    if (!j) {
        if (ours)
            mv_drop_placement(c, m, (guint)at, false);
        add_clear(m, orders, task);
        return;
    }
    if (j->spec.service) {
        if (ours) {
            mv_debug("replica_ended", "task=%s/%u machine=%s cause=%d", task->job, task->index,
                     m->id, task->cause);
            mv_replica_ended(c, m, j, p, task->cause);
            mv_drop_placement(c, m, (guint)at, true);
        }
        add_clear(m, orders, task);
        return;
    }
    if (task->cause == MV_WHY_DONE) {
        if (ours) {
            if (p->running_at > 0 && !p->adopted)
                mv_learn(c, m, j, c->now - p->running_at);
            mv_touch_image(c, m, j);
            mv_drop_placement(c, m, (guint)at, false);
        }
        g_hash_table_remove_all(m->failed_jobs);
        mv_task_done(c, j, task->index);
        /* Stored first: until then this report is the only proof. */
        if (j->state[task->index] == T_STORED)
            add_clear(m, orders, task);
        return;
    }
    if (ours) {
        mv_debug("piece_ended", "task=%s/%u machine=%s cause=%d", task->job, task->index, m->id,
                 task->cause);
        if (task->cause == MV_WHY_ERROR)
            mv_note_failure(c, m, j);
        else if (task->cause != MV_WHY_STOPPED)
            m->no_room_until = c->now + MV_REFUSED_START_S;
        mv_drop_placement(c, m, (guint)at, true);
    }
    add_clear(m, orders, task);
}

static void task_active(mv_core *c, machine *m, job *j, const mv_task *task, GArray *orders)
{
    int at = find_placement(m, task->job, task->index);
    placement *p = at < 0 ? NULL : g_ptr_array_index(m->placements, at);
    if (p && p->attempt != task->attempt) {
        m->unknown_tasks++;
        mv_add_order(orders, MV_STOP, task, 0);
        return;
    }
    if (!p && j && mv_job_mine(c, j) && j->state[task->index] == T_WAIT)
        p = adopt_task(c, m, j, task);
    if (!p) {
        /* Of an ended job, or a second copy, or done already: it may not go on. */
        m->unknown_tasks++;
        mv_add_order(orders, MV_STOP, task, 0);
        return;
    }
    if (!p->seen && !p->adopted)
        mv_delivered(m);
    p->seen = true;
    p->unsettled = false;
    if (!j) { /* cancelled */
        if (!GUARD(CANCELLED, false))
            mv_add_order(orders, MV_STOP, task, 0);
        return;
    }
    if (task->status != MV_PULLING && p->running_at == 0) {
        p->running_at = c->now;
        j->n_running++;
        mv_touch_image(c, m, j);
    }
    if (p->stopping && task->status != MV_SAVING)
        mv_stop_order(p, orders);
}

static gboolean is_in_report(const mv_report *r, const placement *p)
{
    for (size_t i = 0; i < r->n_tasks; i++)
        if (r->tasks[i].index == p->index && strcmp(r->tasks[i].job, p->job) == 0 &&
            r->tasks[i].attempt == p->attempt)
            return TRUE;
    return FALSE;
}

/* Placements that a newer report does not show. */
static void absent_placements(mv_core *c, machine *m, const mv_report *r, GArray *orders)
{
    for (guint i = m->placements->len; i-- > 0;) {
        placement *p = g_ptr_array_index(m->placements, i);
        if (is_in_report(r, p))
            continue;
        bool in_flight = p->sent_direct && m->command_id;
        if (p->seen || p->session < r->session) {
            mv_drop_placement(c, m, i, true); /* it was there, or its session ended */
        } else if (!p->of) {
            /* Cancelled before it was seen: gone once no launch can arrive any more. */
            if (!in_flight && !p->unsettled)
                mv_drop_placement(c, m, i, false);
        } else if (!in_flight && mv_may_launch(c, p->of)) {
            mv_launch_order(p, orders); /* the same attempt again does no harm */
        }
    }
}

evidence mv_weigh(const machine *m, const mv_report *r)
{
    bool newer = r->session > m->session || (r->session == m->session && r->sequence > m->sequence);
    if (!GUARD(NEWER, newer))
        return PROVES_NOTHING;
    return GUARD(OWN_TOKEN, r->token >= mv_token(m)) ? PROVES_TASKS : PROVES_SESSION;
}

/* Something of ours reached the worker: a command was answered, or a report shows its effect. */
void mv_delivered(machine *m)
{
    m->deaf_since = m->deaf_heard_since = 0;
    m->deaf_fails = m->deaf_heard_fails = 0;
}

static void new_session(mv_core *c, machine *m, uint64_t session)
{
    /* Its lease ran out although its reports were answered: the answers may not reach it. */
    if (m->session && session > m->session && m->confirmed && !m->deaf_since &&
        m->heard_at > c->now - c->conf->lease_s) {
        m->deaf_since = c->now;
        m->probe = true;
        mv_want_command(c, m);
    }
    if (m->session && session > m->session) {
        /* Its lease ran out: everything of earlier sessions is gone. */
        for (guint i = m->placements->len; i-- > 0;)
            if (((placement *)g_ptr_array_index(m->placements, i))->session < session)
                mv_drop_placement(c, m, i, true);
        g_hash_table_remove_all(m->uncertain_attempts);
    }
    m->session = session;
}

static void settle_attempts(machine *m)
{
    g_hash_table_remove_all(m->uncertain_attempts);
    for (guint i = 0; i < m->placements->len; i++) {
        placement *p = g_ptr_array_index(m->placements, i);
        p->unsettled = p->sent_direct = false;
    }
}

/* Its reports come, but nothing of ours gets there: hearing from a machine is no proof of reaching
 * it. Where that is so of most, it is rather our own line, for a while. */
bool mv_is_deaf(const mv_core *c, const machine *m)
{
    double interval = c->conf->report_s, deaf_for = c->now - m->deaf_heard_since;
    bool heard = m->heard_at > m->deaf_since && c->now < m->heard_at + MV_HEARD_REPORTS * interval;
    double needed = (m->shard->mute ? MV_MUTE_REPORTS : MV_DEAF_REPORTS) * interval;
    return !GUARD(DEAF, false) && m->deaf_since > 0 && heard &&
           m->deaf_heard_fails >= MV_DEAF_FAILS && deaf_for > needed && c->now > c->late_until;
}

/* Reads what a report proves; `orders` gets what the worker should do. */
void mv_read_report(mv_core *c, machine *m, const mv_report *r, evidence e, GArray *orders)
{
    bool was = m->confirmed;
    new_session(c, m, r->session);
    m->sequence = r->sequence;
    m->heard_any_at = c->now;
    if (e == PROVES_SESSION) {
        /* The answer shows the worker our token, and its next report, which follows at once, shows
         * us its tasks. A fleet that all comes at once need not be asked besides. */
        if (m->shard->n_machines <= MV_WATCH_LEAST)
            mv_want_command(c, m);
        m->answered_at = c->now;
        return;
    }
    m->heard_at = c->now;
    m->command_fails = m->proofs = 0;
    m->shard->heard_at = c->now;
    g_strlcpy(m->address, r->address, sizeof m->address);
    m->notice_at = r->notice_s >= 0 ? c->now + r->notice_s : 0;
    if (!was)
        mv_delivered(m);
    m->lost = mv_is_deaf(c, m);
    if (!was) /* nothing sent under an older token can arrive any more */
        settle_attempts(m);
    if (!was && !m->used)
        mv_block_part(m->shard, m->part)->unrecorded++;
    m->confirmed = true;
    m->unknown_tasks = 0;
    m->clearing = clears_now(c, m, r);
    guint before = orders->len;
    for (size_t i = 0; i < r->n_tasks; i++) {
        const mv_task *task = &r->tasks[i];
        job *j = g_hash_table_lookup(c->jobs, task->job);
        if (j && (task->index >= j->spec.tasks || !mv_job_mine(c, j)))
            j = NULL;
        if (task->status == MV_ENDED)
            task_ended(c, m, j, task, orders);
        else
            task_active(c, m, j, task, orders);
    }
    if (m->clearing && orders->len > before)
        m->cleared_at = c->now;
    absent_placements(c, m, r, orders);
    if (!was) {
        /* Idle from now on: with its boot counted as idleness, a machine that took its time was
         * returned seconds after it came up. */
        m->idle_since = c->now;
        c->want_round = true;
        mv_debug("confirmed", "machine=%s tasks=%zu", m->id, r->n_tasks);
    }
}

/* --- reports --- */

static void steer(const char *node, mv_report_answer *a)
{
    a->status = 421;
    g_strlcpy(a->redirect_to, node ? node : "", sizeof a->redirect_to);
}

static void unknown_machine(mv_core *c, const mv_report *r, mv_report_answer *a)
{
    if (mv_leads(c)) {
        mv_ask_unknown_machine(c, r);
        a->status = 503;
        return;
    }
    bool other = c->leader_stamp && strcmp(c->leader.node, c->conf->node_name) != 0;
    steer(other ? c->leader.node : NULL, a);
}

/* A launch that may still arrive, of a task whose job is over. While reports were answered the
 * lease held, so a command that had been held back for longer than cancel_s could have begun it
 * then. Without an answer the session ends; a higher token, which the leader is asked for, ends it
 * sooner, and that has to be told. */
static bool may_start_late(const mv_core *c, const machine *m)
{
    for (guint i = 0; m->confirmed && i < m->placements->len; i++) {
        const placement *p = g_ptr_array_index(m->placements, i);
        if (!p->of && !p->seen && (p->unsettled || (p->sent_direct && m->command_id)) &&
            c->now > p->over_at + MV_LATE_START_S)
            return !GUARD(LATE_START, false);
    }
    return false;
}

void mv_core_report(mv_core *c, double now, const mv_report *r, mv_report_answer *a)
{
    memset(a, 0, sizeof *a);
    c->now = MAX(c->now, now);
    if (!c->synced) {
        steer(NULL, a);
        return;
    }
    machine *m = g_hash_table_lookup(c->machines, r->host);
    if (!m || !m->shard) {
        unknown_machine(c, r, a);
        return;
    }
    m->heard_any_at = c->now;
    if (!m->address[0])
        g_strlcpy(m->address, r->address, sizeof m->address);
    if (!mv_holds(c, m->shard) || r->token > mv_token(m)) {
        /* A holder that is gone would only cost the worker another refusal. */
        bool other =
            strcmp(m->shard->holder.node, c->conf->node_name) != 0 && mv_live(c, &m->shard->holder);
        steer(other ? m->shard->holder.node : NULL, a);
        return;
    }
    if (may_start_late(c, m)) {
        a->status = 503;
        return;
    }
    mv_links_update(c);
    a->status = 200;
    a->token = mv_token(m);
    a->orders = g_array_new(FALSE, TRUE, sizeof(mv_order));
    evidence e = mv_weigh(m, r);
    if (e == PROVES_NOTHING) { /* a late copy, and its answer will be dropped */
        mv_stale(c, "report", m->id);
        return;
    }
    m->renewed_at = c->now;
    mv_read_report(c, m, r, e, a->orders);
    /* What does not fit the answer follows from the next report. */
    if (a->orders->len > MV_MAX_ORDERS)
        g_array_set_size(a->orders, MV_MAX_ORDERS);
    mv_settle(c);
}
