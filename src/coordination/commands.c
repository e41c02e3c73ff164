/* Commands that are sent straight to machines, and what becomes of them. */
#include "coordination/internal.h"

#include <string.h>

char *mv_attempt_key(const char *job_id, uint32_t task, uint64_t attempt)
{
    return g_strdup_printf("%s/%u/%" G_GUINT64_FORMAT, job_id, task, attempt);
}

void mv_add_order(GArray *orders, mv_verb verb, const mv_task *task, double wind_down)
{
    mv_order o = {
        .verb = verb, .index = task->index, .attempt = task->attempt, .wind_down_s = wind_down};
    g_strlcpy(o.job, task->job, sizeof o.job);
    g_array_append_val(orders, o);
}

static mv_task task_of(const placement *p)
{
    mv_task task = {.index = p->index, .attempt = p->attempt};
    g_strlcpy(task.job, p->job, sizeof task.job);
    return task;
}

void mv_launch_order(const placement *p, GArray *orders)
{
    mv_task task = task_of(p);
    mv_add_order(orders, MV_LAUNCH, &task, 0);
}

/* A task that has checkpoints gets the time to save, unless it has to be gone sooner. */
void mv_stop_order(const placement *p, GArray *orders)
{
    bool saves = p->of && p->of->spec.mark_every_s > 0 && !p->abrupt;
    mv_task task = task_of(p);
    mv_add_order(orders, MV_STOP, &task, saves ? p->of->spec.mark_cost_s : 0);
}

/* A report of a machine in no block may be a copy that outlived it: it is taken up only once it
 * answers a question. */
void mv_ask_unknown_machine(mv_core *c, const mv_report *r)
{
    inquiry *k = g_hash_table_lookup(c->inquiries, r->host);
    mv_member b = {.spot = r->spot, .at = mv_wall(c)};
    g_strlcpy(b.id, r->host, sizeof b.id);
    g_strlcpy(b.address, r->address, sizeof b.address);
    g_strlcpy(b.type_name, r->type_name, sizeof b.type_name);
    g_strlcpy(b.zone_name, r->zone_name, sizeof b.zone_name);
    /* Nothing is older than the first leader; and until the fleet's size is seen there is one
     * shard, which gets all the first jobs. */
    if (c->leader.term == MV_FIRST_TERM && c->now < c->led_since + MV_FIRST_ADOPT_S) {
        mv_fleet_adopt(c, &b);
        return;
    }
    if (k || g_hash_table_size(c->inquiries) >= MV_INQUIRIES || mv_fleet_was_released(c, r->host))
        return;
    k = g_new0(inquiry, 1);
    k->member = b;
    /* No token is lower than 0 and none is raised by it; there is nothing to carry out. */
    mv_action *a = mv_act(c, MV_ACT_COMMAND);
    g_strlcpy(a->machine, r->host, sizeof a->machine);
    g_strlcpy(a->address, r->address, sizeof a->address);
    a->session = MAX(r->session, 1);
    a->timeout_ms = MV_PROBE_TIMEOUT_MS;
    a->orders = g_array_new(FALSE, TRUE, sizeof(mv_order));
    k->command_id = a->id;
    k->at = c->now;
    g_hash_table_insert(c->inquiries, k->member.id, k);
}

static gboolean has_command(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((inquiry *)value)->command_id == *(uint64_t *)data;
}

static void inquiry_answered(mv_core *c, uint64_t id, const mv_report *r)
{
    inquiry *k = g_hash_table_find(c->inquiries, has_command, &id);
    if (!k)
        return;
    if (r && strcmp(r->host, k->member.id) == 0 && mv_leads(c))
        mv_fleet_adopt(c, &k->member);
    g_hash_table_remove(c->inquiries, k->member.id);
}

gboolean mv_is_old_inquiry(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((mv_core *)data)->now > ((inquiry *)value)->at + MV_INQUIRY_S;
}

/* --- direct commands --- */

/* Its launches may arrive at any time until it is answered, be it in the end or never. The same
 * launch may have gone with an answer to a report meanwhile: once a task was begun, stopped and
 * cleared that way while the command lay in our own queue for 13 s, and then begun once more. */
static void mark_in_flight(const mv_core *c, machine *m, const GArray *orders)
{
    for (guint i = 0; i < orders->len; i++) {
        const mv_order *o = &g_array_index(orders, mv_order, i);
        if (o->verb != MV_LAUNCH)
            continue;
        if (g_hash_table_size(m->uncertain_attempts) == 0)
            m->uncertain_since = c->now;
        char *key = mv_attempt_key(o->job, o->index, o->attempt);
        if (g_hash_table_contains(m->uncertain_attempts, key))
            g_free(key); /* an earlier copy may still arrive too */
        else
            g_hash_table_insert(m->uncertain_attempts, key, GINT_TO_POINTER(0));
    }
}

/* The command was answered: nothing of it is under way any more. */
static gboolean arrived(gpointer key, gpointer lost, gpointer data)
{
    (void)key;
    (void)data;
    return !lost;
}

static void command(mv_core *c, machine *m, GArray *orders)
{
    mv_action *a = mv_act(c, MV_ACT_COMMAND);
    g_strlcpy(a->machine, m->id, sizeof a->machine);
    g_strlcpy(a->address, m->address, sizeof a->address);
    a->token = mv_token(m);
    a->session = MAX(m->session, 1);
    a->timeout_ms = orders->len ? MV_COMMAND_TIMEOUT_MS
                                : MIN(MV_PROBE_TIMEOUT_MS * (1 + m->deaf_fails),
                                      (unsigned)MV_PROBE_TIMEOUT_MOST);
    a->orders = orders;
    mark_in_flight(c, m, orders);
    m->command_id = a->id;
    m->command_at = c->now;
    g_hash_table_insert(c->commands, &m->command_id, m);
}

/* Orders that should not wait for the next report. */
static GArray *urgent_orders(mv_core *c, machine *m)
{
    GArray *orders = g_array_new(FALSE, TRUE, sizeof(mv_order));
    for (guint i = 0; m->confirmed && i < m->placements->len && orders->len < MV_MAX_ORDERS; i++) {
        placement *p = g_ptr_array_index(m->placements, i);
        const job *j = p->of;
        if (j && !p->seen && !p->sent_direct && !p->stopping && mv_may_launch(c, j)) {
            mv_launch_order(p, orders);
            p->sent_direct = true;
        } else if (p->seen && (!j || p->stopping) && p->stop_sent_at == 0) {
            mv_stop_order(p, orders);
            p->stop_sent_at = c->now;
        }
    }
    return orders;
}

/* Whether a machine that wants a command leaves the queue of those. */
static bool flush_command(mv_core *c, machine *m)
{
    if (!m->wants_command || !m->address[0] || !m->shard || !mv_holds(c, m->shard))
        return true;
    if (m->command_id || c->now < m->no_command_until)
        return false;
    m->wants_command = false;
    GArray *orders = urgent_orders(c, m);
    if (orders->len || !m->confirmed || m->probe)
        command(c, m, orders);
    else
        g_array_unref(orders);
    m->probe = false;
    return true;
}

/* A command costs about ten times as much processor as an answer to a report, which carries the
 * same orders a little later. With 4,000 machines on the processor of 1,200, commands took most of
 * it while the fleet booted: reports and users' requests were answered too late, were sent once
 * more, and the controllers never caught up. So commands give way first: additive increase,
 * multiplicative decrease. */
void mv_adapt_command_window(mv_core *c, double tick_gap)
{
    if (tick_gap > MV_TICK_BEHIND_S && !GUARD(WINDOW, false))
        c->command_window = MAX(c->command_window * MV_COMMAND_WINDOW_CUT, MV_COMMAND_WINDOW_LEAST);
    else
        c->command_window = MIN(c->command_window + MV_COMMAND_WINDOW_GAIN, MV_COMMANDS_QUEUED);
}

static bool window_is_full(const mv_core *c)
{
    return g_hash_table_size(c->commands) >= c->command_window;
}

/* First come, first served; what finds no routine free waits here, where its orders stay new. */
void mv_flush_commands(mv_core *c)
{
    guint kept = 0;
    if (window_is_full(c))
        return; /* asked at every event */
    for (guint i = 0; i < c->commandable->len; i++) {
        machine *m = g_ptr_array_index(c->commandable, i);
        if (!window_is_full(c) && flush_command(c, m))
            m->queued = false;
        else
            c->commandable->pdata[kept++] = m;
    }
    g_ptr_array_set_size(c->commandable, (gint)kept);
}

/* Launches of a command without an answer may still arrive, minutes later. */
static void command_unanswered(mv_core *c, machine *m)
{
    m->command_fails++;
    /* Only while others are heard does silence speak of the machine rather than of our own line:
     * counted during a cut, it had working machines given back as the cut ended. */
    bool listening = m->shard && m->shard->heard_at > m->command_at && c->now > c->late_until;
    if (listening)
        m->proofs++;
    /* The same for deafness: with questions of a cut of ours counted, a machine at work was taken
     * for deaf with its first report after the cut, and returned. */
    if (GUARD(OWN_CUT, listening) && m->deaf_heard_fails++ == 0)
        m->deaf_heard_since = c->now;
    if (!m->deaf_since)
        m->deaf_since = c->now;
    m->deaf_fails++;
    /* Nothing new is placed there until something gets through, so it is asked again. */
    m->probe = true;
    mv_want_command(c, m);
    m->no_command_until = c->now + MIN(MV_ASK_AGAIN_S * m->deaf_fails, c->conf->report_s);
    GHashTableIter it;
    g_hash_table_iter_init(&it, m->uncertain_attempts);
    while (g_hash_table_iter_next(&it, NULL, NULL))
        g_hash_table_iter_replace(&it, GINT_TO_POINTER(1));
    for (guint i = 0; i < m->placements->len; i++) {
        placement *p = g_ptr_array_index(m->placements, i);
        p->unsettled = p->unsettled || (!p->seen && p->sent_direct);
    }
}

/* A launch that waited in a queue since before a cut is not sent: the job may have been called off,
 * and its end could not be recorded. */
static bool launches_stand(mv_core *c, const mv_action *a)
{
    if (mv_may_launch_all(c))
        return true;
    for (guint i = 0; i < a->orders->len; i++) {
        const mv_order *o = &g_array_index(a->orders, mv_order, i);
        const job *j = o->verb == MV_LAUNCH ? g_hash_table_lookup(c->jobs, o->job) : NULL;
        if (j && !mv_may_launch(c, j))
            return false;
    }
    return true;
}

static bool command_still_valid(mv_core *c, const mv_action *a)
{
    const machine *m = g_hash_table_lookup(c->commands, &a->id);
    if (!m) /* a question to a machine in no block, or an earlier term's command */
        return mv_leads(c) && g_hash_table_find(c->inquiries, has_command, (gpointer)&a->id);
    return m->shard && mv_holds(c, m->shard) && a->token == mv_token(m) &&
           c->now < m->command_at + MV_COMMAND_FRESH_S && launches_stand(c, a);
}

bool mv_core_still_valid(mv_core *c, double now, const mv_action *a)
{
    c->now = MAX(c->now, now);
    mv_links_update(c);
    if (a->kind == MV_ACT_COMMAND)
        return GUARD(STILL_VALID, command_still_valid(c, a));
    bool leaders = a->kind == MV_ACT_RENT || a->kind == MV_ACT_RELEASE;
    return GUARD(STILL_VALID, !leaders || mv_leads(c));
}

void mv_core_command_dropped(mv_core *c, double now, uint64_t id)
{
    c->now = MAX(c->now, now);
    machine *m = g_hash_table_lookup(c->commands, &id);
    if (!m) {
        inquiry_answered(c, id, NULL);
        return;
    }
    mv_forget_command(c, m);
    g_hash_table_foreach_remove(m->uncertain_attempts, arrived, NULL);
    for (guint i = 0; i < m->placements->len; i++) {
        placement *p = g_ptr_array_index(m->placements, i);
        p->sent_direct = p->sent_direct && (p->seen || p->unsettled);
        p->stop_sent_at = 0;
    }
    m->probe = true;
    mv_want_command(c, m);
    mv_settle(c);
}

void mv_core_command_done(mv_core *c, double now, uint64_t id, int status, const mv_report *r)
{
    c->now = MAX(c->now, now);
    machine *m = g_hash_table_lookup(c->commands, &id);
    if (!m) {
        inquiry_answered(c, id, status == 200 || status == 409 ? r : NULL);
        return;
    }
    mv_forget_command(c, m);
    if (!r || (status != 200 && status != 409)) {
        command_unanswered(c, m);
        return;
    }
    m->command_fails = 0;
    g_hash_table_foreach_remove(m->uncertain_attempts, arrived, NULL);
    mv_delivered(m);
    if (!m->shard || !mv_holds(c, m->shard) || r->token > mv_token(m))
        return;
    evidence e = mv_weigh(m, r);
    if (e != PROVES_NOTHING) {
        g_autoptr(GArray) orders = g_array_new(FALSE, TRUE, sizeof(mv_order));
        mv_read_report(c, m, r, e, orders);
        for (guint i = 0; status == 409 && i < m->placements->len; i++)
            ((placement *)g_ptr_array_index(m->placements, i))->sent_direct = false;
        if (status == 409 || !m->confirmed)
            mv_want_command(c, m);
    }
    for (guint i = 0; i < m->placements->len; i++) {
        const placement *p = g_ptr_array_index(m->placements, i);
        if (!p->seen && !p->sent_direct)
            mv_want_command(c, m);
    }
    mv_settle(c);
}
