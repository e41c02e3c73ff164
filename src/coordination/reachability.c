/* The core's links to others: what happens on them is told to the connectivity package, and what
 * follows is asked of it. Without the operators' `launch_gate` all of this does nothing. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <string.h>

void mv_links_new(mv_core *c)
{
    if (!c->conf->tune.launch_gate)
        return;
    c->links = mv_connectivity_new(c->conf);
    c->outcomes = mv_outcomes_new(MV_OUTCOMES_BYTES);
}

void mv_links_free(mv_core *c)
{
    mv_connectivity_free(c->links);
    mv_outcomes_free(c->outcomes);
}

/* Machines of our blocks that were heard under our terms, and when one was heard last. */
static void tell_workers(mv_core *c)
{
    double heard_at = 0;
    bool expected = false;
    for (guint i = 0; i < c->shards->len; i++) {
        const shard *s = g_ptr_array_index(c->shards, i);
        bool had_time = c->now > MAX(s->taken_at, s->listening_since) + MV_RESIGN_S;
        if (!mv_holds(c, s) || s->n_machines == 0 || s->heard_at == 0 || !had_time)
            continue;
        expected = true;
        heard_at = MAX(heard_at, s->heard_at);
    }
    mv_connectivity_workers(c->links, expected && c->now > c->late_until, heard_at);
}

static const char *scope_name(mv_launch_scope scope)
{
    static const char *const names[] = {[MV_LAUNCH_NOTHING] = "held",
                                        [MV_LAUNCH_GUARANTEED] = "guaranteed",
                                        [MV_LAUNCH_ALL] = "all"};
    return names[scope];
}

/* A state service that answers slowly changes the class every few seconds: that is summed up. What
 * may be launched is always told. */
static void log_links(const mv_core *c, mv_links_change change)
{
    const mv_launch_gate *gate = mv_connectivity_gate(c->links);
    const char *links = mv_link_class_name(mv_connectivity_class(c->links));
    if (change == MV_LINKS_RECLASSED)
        mv_log_limited(MV_LOG_INFO, "links", "class=%s launches=%s", links,
                       scope_name(gate->scope));
    else
        mv_info("launches", "class=%s launches=%s breaks=%u hold_s=%.1f outcomes_waiting=%u", links,
                scope_name(gate->scope), gate->breaks, gate->hold_s,
                mv_outcomes_waiting(c->outcomes));
}

void mv_links_update(mv_core *c)
{
    if (!c->links)
        return;
    mv_links_change change = mv_connectivity_update(c->links, c->now, c->now < c->late_until);
    if (change == MV_LINKS_SAME)
        return;
    log_links(c, change);
    if (change != MV_LINKS_RESCOPED)
        return;
    c->want_round = true;
    /* Machines whose launches were held get them now rather than with their next report. */
    for (guint i = 0; i < c->rotation->len && mv_may_launch_any(c); i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        if (m->placements->len && m->confirmed)
            mv_want_command(c, m);
    }
}

void mv_links_tick(mv_core *c)
{
    if (!c->links)
        return;
    /* Two processes of one controller never begin within the same microsecond. */
    if (!c->boot)
        c->boot = (uint64_t)(mv_wall(c) * 1e6);
    tell_workers(c);
    mv_links_update(c);
}

void mv_core_state_failed(mv_core *c, double now)
{
    c->now = MAX(c->now, now);
    if (c->links)
        mv_connectivity_state_failed(c->links);
}

/* --- launches --- */

static bool in_scope(const mv_core *c, const job *j)
{
    switch (mv_connectivity_gate(c->links)->scope) {
    case MV_LAUNCH_ALL:
        return true;
    case MV_LAUNCH_GUARANTEED:
        return j->guaranteed || j->spec.service;
    default:
        return false;
    }
}

bool mv_may_launch(mv_core *c, const job *j)
{
    bool may = !c->links || in_scope(c, j);
    if (!may)
        c->counts.launches_held++;
    return GUARD(LAUNCH_GATE, may);
}

bool mv_may_launch_all(const mv_core *c)
{
    return !c->links || mv_connectivity_gate(c->links)->scope == MV_LAUNCH_ALL;
}

bool mv_may_launch_any(const mv_core *c)
{
    bool may = !c->links || mv_connectivity_gate(c->links)->scope != MV_LAUNCH_NOTHING;
    return GUARD(LAUNCH_GATE, may);
}

bool mv_holder_gave_up(const mv_core *c, const shard *s)
{
    return c->links && s->stamp &&
           mv_connectivity_gave_up(c->links, c->now, s->holder.node, s->holder.incarnation);
}

/* --- ends of tasks --- */

void mv_outcome_seen(mv_core *c, const job *j, uint32_t task)
{
    if (c->outcomes && !mv_outcomes_add(c->outcomes, j->spec.id, task))
        mv_log_limited(MV_LOG_INFO, "outcomes_full", "job=%s", j->spec.id);
}

void mv_outcome_recorded(mv_core *c, const job *j, uint32_t task)
{
    if (c->outcomes)
        mv_outcomes_recorded(c->outcomes, j->spec.id, task);
}

/* We cannot write it: the job is another's, or nothing can be written from here. */
static bool cannot_record(void *context, const char *id)
{
    const mv_core *c = context;
    const job *j = g_hash_table_lookup(c->jobs, id);
    return j && !(mv_job_mine(c, j) && mv_connectivity_state_reached(c->links, c->now));
}

/* That a task is done stays true whoever says it, and whichever of two holders writes it first: the
 * record is conditional on the grant, and the same once more changes nothing. */
static void learn_outcomes(mv_core *c, const mv_view *view)
{
    for (guint i = 0; i < view->outcomes->len; i++) {
        const mv_outcome *outcome = g_ptr_array_index(view->outcomes, i);
        job *j = g_hash_table_lookup(c->jobs, outcome->job);
        if (!j || j->spec.service)
            continue;
        g_autoptr(GArray) tasks = mv_outcome_read(outcome, j->spec.tasks);
        if (!tasks)
            mv_stale(c, "outcome", outcome->job);
        for (guint k = 0; tasks && k < tasks->len; k++) {
            uint32_t task = g_array_index(tasks, uint32_t, k);
            c->counts.outcomes_learnt += j->state[task] < T_DONE;
            mv_task_done(c, j, task);
        }
    }
}

/* --- views --- */

bool mv_core_tells_views(const mv_core *c)
{
    return c->links != NULL;
}

double mv_core_view_pause(const mv_core *c)
{
    return mv_connectivity_pause(c->links, c->now);
}

mv_view *mv_core_tell_view(mv_core *c, double now)
{
    c->now = MAX(c->now, now);
    mv_links_update(c);
    mv_view *view = mv_connectivity_tell(c->links, c->now, c->boot);
    view->waiting = mv_outcomes_waiting(c->outcomes);
    if (!GUARD(OUTCOMES, false))
        mv_outcomes_pack(c->outcomes, cannot_record, c, MV_OUTCOMES_TOLD_BYTES, view->outcomes);
    return view;
}

void mv_core_view(mv_core *c, double now, const mv_view *view)
{
    static const char *const verdicts[MV_VIEW_VERDICTS] = {"taken", "malformed", "stranger", "old",
                                                           "unproven"};
    c->now = MAX(c->now, now);
    if (!c->links)
        return;
    mv_view_verdict verdict = mv_connectivity_hear(c->links, c->now, view);
    if (verdict != MV_VIEW_TAKEN) {
        /* Views from before a restart are ordinary; what cannot be read or comes from strangers is
         * not. */
        bool foreign = verdict == MV_VIEW_MALFORMED || verdict == MV_VIEW_STRANGER;
        c->counts.views_refused++;
        mv_log_limited(foreign ? MV_LOG_INFO : MV_LOG_DEBUG, "view_refused", "from=%s why=%s",
                       view->node, verdicts[verdict]);
    } else {
        c->counts.views++;
        mv_links_update(c);
    }
    if (verdict != MV_VIEW_MALFORMED && verdict != MV_VIEW_STRANGER)
        learn_outcomes(c, view);
    mv_settle(c);
}

void mv_core_peer_asked(mv_core *c, double now, const char *peer, double sent, bool answered)
{
    c->now = MAX(c->now, now);
    if (c->links)
        mv_connectivity_peer_asked(c->links, peer, sent, answered);
}
