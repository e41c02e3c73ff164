/* Troubles of a run, each at seeded times. */
#include "sim_internal.h"

#include <string.h>

/* --- troubles --- */

void sim_crash(sim *s, gpointer data)
{
    node *n = &s->nodes[g_rand_int_range(s->rand, 0, NODES)];
    if (n->up && s->now < s->outage_until)
        sim_meet(s, SIM_ENDS_IN_OUTAGE);
    sim_stop_node(s, n, sim_chance(s, 0.2) ? 0.2 : 4);
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->crash, sim_crash, data);
}

void sim_crash_all(sim *s, gpointer data)
{
    for (int i = 0; i < NODES; i++)
        sim_stop_node(s, &s->nodes[i],
                      s->plan->away > 0 ? sim_rnd(s, 1, 1.5) * s->plan->away : sim_rnd(s, 2, 5));
    if (s->plan->met && s->plan->away > s->nodes[0].conf->lease_s)
        ++*s->plan->met;
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->all_crash, sim_crash_all, data);
}

void sim_cut_state(sim *s, gpointer data)
{
    s->nodes[g_rand_int_range(s->rand, 0, NODES)].state_cut_until = s->now + sim_rnd(s, 2, 30);
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->state_cut, sim_cut_state, data);
}

void sim_cut_workers(sim *s, gpointer data)
{
    s->nodes[g_rand_int_range(s->rand, 0, NODES)].worker_cut_until = s->now + sim_rnd(s, 2, 30);
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->worker_cut, sim_cut_workers, data);
}

static void outage_over(sim *s, gpointer data)
{
    (void)data;
    st_state_extend(s->state, s->now);
}

void sim_begin_outage(sim *s, double for_s)
{
    s->outage_until = s->now + for_s;
    sim_later(s, for_s, outage_over, NULL);
}

void sim_outage(sim *s, gpointer data)
{
    sim_begin_outage(s, data ? s->plan->gap : sim_rnd(s, 3, 25));
    if (s->now < s->plan->until && !data)
        sim_later(s, sim_rnd(s, 0.5, 2) * s->plan->outage, sim_outage, data);
}

void sim_cloud_outage(sim *s, gpointer data)
{
    s->cloud_out_until = s->now + sim_rnd(s, 10, 40);
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.5, 2) * s->plan->cloud_outage, sim_cloud_outage, data);
}

void sim_refuse_peers(sim *s, gpointer data)
{
    double until = s->now + sim_rnd(s, 5, 40);
    for (int i = 0; i < NODES; i++)
        s->nodes[i].peer_cut_until = until;
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.5, 2) * s->plan->peers_refuse, sim_refuse_peers, data);
}

void sim_wave(sim *s, gpointer data)
{
    for (guint i = 0; i < s->workers->len; i++) {
        st_worker *w = g_ptr_array_index(s->workers, i);
        w->gone = w->gone || (w->spot && sim_chance(s, 1.0 / 3));
    }
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.5, 2) * s->plan->wave, sim_wave, data);
}

void sim_die(sim *s, gpointer data)
{
    if (s->workers->len)
        ((st_worker *)g_ptr_array_index(s->workers,
                                        (guint)g_rand_int_range(s->rand, 0, (gint)s->workers->len)))
            ->gone = true;
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->die, sim_die, data);
}

void sim_cut_machine(sim *s, gpointer data)
{
    if (s->workers->len) {
        gint at = g_rand_int_range(s->rand, 0, (gint)s->workers->len);
        ((st_worker *)g_ptr_array_index(s->workers, (guint)at))->cut_until =
            s->now + sim_rnd(s, 3, 25);
    }
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->machine_cut, sim_cut_machine, data);
}

void sim_deafen(sim *s, gpointer data)
{
    if (s->workers->len) {
        gint at = g_rand_int_range(s->rand, 0, (gint)s->workers->len);
        st_worker *w = g_ptr_array_index(s->workers, (guint)at);
        w->deaf_until = s->now + (sim_chance(s, 0.5) ? sim_rnd(s, 2, 30) : 1e9);
    }
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->machine_deaf, sim_deafen, data);
}

void sim_isolate(sim *s, gpointer data)
{
    node *n = &s->nodes[g_rand_int_range(s->rand, 0, NODES)];
    n->state_cut_until = n->peer_cut_until = s->now + sim_rnd(s, 3, 50);
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->isolate, sim_isolate, data);
}

void sim_freeze(sim *s, gpointer data)
{
    node *n = &s->nodes[g_rand_int_range(s->rand, 0, NODES)];
    n->frozen_until = s->now + sim_rnd(s, 2, 45);
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->freeze, sim_freeze, data);
}

void sim_blink(sim *s, gpointer data)
{
    bool all = sim_chance(s, 0.3);
    gint one = g_rand_int_range(s->rand, 0, NODES);
    for (gint i = 0; i < NODES; i++)
        if (all || i == one)
            sim_stop_node(s, &s->nodes[i], sim_rnd(s, 0.02, 0.4));
    /* Often once more before the election is through. */
    double next = sim_chance(s, 0.4) ? sim_rnd(s, 0.05, 1) : sim_rnd(s, 0.2, 2) * s->plan->blink;
    if (s->now < s->plan->until)
        sim_later(s, next, sim_blink, data);
}

void sim_blink_machine(sim *s, gpointer data)
{
    if (s->workers->len) {
        gint at = g_rand_int_range(s->rand, 0, (gint)s->workers->len);
        st_worker *w = g_ptr_array_index(s->workers, (guint)at);
        if (!w->gone && s->now > w->up_at)
            st_worker_restart(w, s->now);
    }
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->machine_blink, sim_blink_machine, data);
}

static void cancel_at_change(sim *s, gpointer data)
{
    const sim_job *j = &g_array_index(s->jobs, sim_job, GPOINTER_TO_UINT(data));
    if (!j->accepted || j->cancelled)
        return;
    sim_cancel(s, data);
    if (j->cancelled)
        sim_meet(s, SIM_CANCELLED_AT_CHANGE);
}

/* In the seconds in which another controller takes over. */
static void cancel_some(sim *s)
{
    for (guint i = 0; i < s->jobs->len && s->plan->cancel_at_change > 0; i++)
        if (sim_chance(s, s->plan->cancel_at_change))
            sim_later(s, sim_rnd(s, 0, 4), cancel_at_change, GUINT_TO_POINTER(i));
}

void sim_crash_leader(sim *s, gpointer data)
{
    for (int i = 0; i < NODES; i++) {
        node *n = &s->nodes[i];
        if (!n->up || !mv_core_leads(n->core))
            continue;
        sim_stop_node(s, n, sim_chance(s, 0.3) ? 0.2 : 4);
        sim_meet(s, SIM_AS_PLANNED);
        cancel_some(s);
        break;
    }
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->leader_crash, sim_crash_leader, data);
}

static st_worker *some_worker(sim *s)
{
    if (!s->workers->len)
        return NULL;
    gint at = g_rand_int_range(s->rand, 0, (gint)s->workers->len);
    return g_ptr_array_index(s->workers, (guint)at);
}

void sim_mute(sim *s, gpointer data)
{
    st_worker *w = some_worker(s);
    if (w && s->now > w->up_at && s->now >= w->mute_until) {
        w->mute_from = s->now;
        w->mute_until = s->now + sim_rnd(s, 2, 40);
    }
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->machine_mute, sim_mute, data);
}

/* It goes on where it stood; its lease has run on. */
void sim_hang(sim *s, gpointer data)
{
    st_worker *w = some_worker(s);
    if (w && s->now > w->up_at && s->now >= w->hang_until) {
        w->hang_until = s->now + sim_rnd(s, 1, 20);
        for (guint i = 0; i < w->tasks->len; i++) {
            st_task *t = g_ptr_array_index(w->tasks, i);
            t->until += w->hang_until - s->now;
        }
    }
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->machine_hang, sim_hang, data);
}

static void taken_back(sim *s, gpointer data)
{
    (void)s;
    ((st_worker *)data)->gone = true;
}

/* The cloud says when it takes a spot machine, and does. */
void sim_give_notice(sim *s, gpointer data)
{
    st_worker *w = some_worker(s);
    if (w && w->spot && !w->gone && s->now > w->up_at && !w->notice_at) {
        w->notice_at = s->now + sim_rnd(s, 5, 15);
        w->changed = true;
        sim_later(s, w->notice_at - s->now, taken_back, w);
        for (guint i = 0; i < w->tasks->len; i++) {
            const st_task *t = g_ptr_array_index(w->tasks, i);
            if (t->status == ST_RUNNING && sim_job_named(s, t->job)->service)
                sim_meet(s, SIM_MOVED_REPLICAS);
        }
    }
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->notice, sim_give_notice, data);
}

void sim_cut_zone(sim *s, gpointer data)
{
    s->zone_node = (guint)g_rand_int_range(s->rand, 0, NODES);
    s->zone_cut_until = s->now + sim_rnd(s, 5, 40);
    node *n = &s->nodes[s->zone_node];
    n->state_cut_until = n->peer_cut_until = s->zone_cut_until;
    if (s->plan->met && s->zone_cut_until > s->now + n->conf->lease_s)
        ++*s->plan->met;
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->zone_cut + 30, sim_cut_zone, data);
}

static void cancel_in_gap(sim *s, gpointer data)
{
    (void)data;
    for (guint i = 0; i < s->jobs->len; i++) {
        sim_job *j = &g_array_index(s->jobs, sim_job, i);
        if (!j->accepted || j->cancelled || j->cancel_at <= 0)
            continue;
        sim_cancel(s, GUINT_TO_POINTER(i));
        bool runs = false;
        for (guint k = 0; k < s->workers->len && j->cancelled; k++) {
            const st_worker *w = g_ptr_array_index(s->workers, k);
            for (guint t = 0; t < w->tasks->len && !w->gone; t++) {
                const st_task *task = g_ptr_array_index(w->tasks, t);
                runs = runs || (strcmp(task->job, j->id) == 0 && task->status == ST_RUNNING);
            }
        }
        if (runs && s->plan->met)
            ++*s->plan->met;
    }
}

/* The state service refuses the leader alone; others confirm cancellations; then it is out for all,
 * before the leader's session is over or just after, while workers go on reporting. */
void sim_gap(sim *s, gpointer data)
{
    (void)data;
    for (int i = 0; i < NODES; i++) {
        node *n = &s->nodes[i];
        if (n->up && mv_core_leads(n->core))
            n->state_cut_until = s->now + 14;
    }
    double alone = s->plan->sharp_gap ? 1 : sim_rnd(s, 0.8, 4);
    if (s->plan->sharp_gap)
        cancel_in_gap(s, NULL);
    for (double at = 0.1; at < alone && !s->plan->sharp_gap; at += 0.4)
        sim_later(s, at, cancel_in_gap, NULL);
    sim_later(s, alone, sim_outage, GINT_TO_POINTER(1));
    if (s->now + 2 * s->plan->gap < s->plan->until)
        sim_later(s, s->plan->gap + sim_rnd(s, 20, 40), sim_gap, NULL);
}

/* The log of changes does not reach back far enough: all records are listed again. */
void sim_relist(sim *s, gpointer data)
{
    node *n = &s->nodes[g_rand_int_range(s->rand, 0, NODES)];
    if (n->up && n->listed) {
        n->listed = false;
        mv_core_listing(n->core, sim_local(s, n));
    }
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->relist, sim_relist, data);
}

void sim_roll(sim *s, gpointer data)
{
    node *n = &s->nodes[GPOINTER_TO_UINT(data)];
    n->old = false;
    sim_stop_node(s, n, sim_rnd(s, 0.2, 4));
}

void sim_limits_fall(sim *s, gpointer data)
{
    (void)data;
    s->state->value_bytes = FALLEN_KB * 1024;
    s->state->txn_ops = FALLEN_OPS;
}
