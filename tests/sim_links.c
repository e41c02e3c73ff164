/* Links of the simulated controllers: cuts of single directions, cuts that heal and break again,
 * and what a controller that is cut off still does. */
#include "sim_internal.h"

#include <string.h>

bool sim_state_reached(const sim *s, const node *n)
{
    return n->up && s->now >= n->state_cut_until && s->now >= s->outage_until;
}

bool sim_state_answers(const sim *s, const node *n)
{
    return s->now >= n->answers_lost_until;
}

bool sim_peers_reached(const sim *s, const node *from, const node *to)
{
    return s->now >= from->peer_cut_until && s->now >= to->peer_cut_until &&
           s->now >= from->peers_out_until && s->now >= to->frozen_until;
}

/* --- what a controller that is cut off does --- */

static bool is_cut(const sim *s, const node *n)
{
    return s->now < n->state_cut_until || s->now < n->answers_lost_until;
}

/* Two of three controllers that are cut off may take it for an outage. */
static bool most_are_cut(const sim *s)
{
    unsigned cut = 0;
    for (int i = 0; i < NODES; i++)
        cut += is_cut(s, &s->nodes[i]);
    return 2 * cut > NODES;
}

/* Told at each step of a controller: since when it alone is without the state service. */
void sim_note_cut(sim *s, node *n)
{
    bool cut = is_cut(s, n);
    bool alone = cut && s->now >= s->outage_until && !most_are_cut(s);
    sim_gate_times *times = s->plan->times;
    if (alone && n->cut_since == 0) {
        n->cut_since = s->now;
        n->was_connected = n->incarnation && n->listed; /* one that began in a cut holds nothing */
        n->healed_at = 0;
    } else if (!alone && n->cut_since > 0) {
        bool judged = s->now > n->cut_since + LAUNCH_BOUND_S;
        if (times && judged) {
            double after = n->launched_at - n->cut_since;
            times->cuts++;
            times->launched += after > 0;
            times->last_launch_s += MAX(after, 0);
            times->longest_s = MAX(times->longest_s, after);
        }
        n->healed_at = judged && !cut && n->was_connected ? s->now : 0;
        n->cut_since = 0;
    }
}

static void check_relaunch(sim *s, const mv_order *order)
{
    if (!s->plan->relaunched)
        return;
    const sim_job *j = sim_job_named(s, order->job);
    for (int i = 0; i < NODES && j && j->completed[order->index]; i++) {
        const node *n = &s->nodes[i];
        const job *known = n->up ? g_hash_table_lookup(n->core->jobs, order->job) : NULL;
        if (known && known->state[order->index] >= T_DONE) {
            ++*s->plan->relaunched;
            return;
        }
    }
}

/* Orders go out. A controller with the launch gate may not start anything once it has been cut off
 * alone for longer than the bound. */
void sim_note_launches(sim *s, node *n, const GArray *orders)
{
    for (guint i = 0; i < orders->len; i++) {
        const mv_order *order = &g_array_index(orders, mv_order, i);
        if (order->verb != MV_LAUNCH)
            continue;
        n->launched_at = s->now;
        check_relaunch(s, order);
        if (n->conf->tune.launch_gate && n->cut_since > 0 && s->now > n->cut_since + LAUNCH_BOUND_S)
            sim_broken(s, "launched %s/%u while cut off for %.2f s", order->job, order->index,
                       s->now - n->cut_since);
        if (n->conf->tune.launch_gate && n->healed_at > 0 &&
            s->now < n->healed_at + MV_HOLD_FIRST_S)
            sim_broken(s, "launched %s/%u %.2f s after a cut healed", order->job, order->index,
                       s->now - n->healed_at);
        if (n->healed_at > 0 && s->plan->times) {
            s->plan->times->healed++;
            s->plan->times->first_launch_s += s->now - n->healed_at;
        }
        n->healed_at = 0;
    }
}

/* --- views --- */

static node *node_called(sim *s, const char *name)
{
    for (int i = 0; i < NODES; i++)
        if (strcmp(s->nodes[i].conf->node_name, name) == 0)
            return &s->nodes[i];
    return NULL;
}

static void tell_view(sim *s, node *from, node *to)
{
    double sent = sim_local(s, from);
    g_autoptr(mv_view) told = mv_core_tell_view(from->core, sent);
    bool arrives = to->up && sim_peers_reached(s, from, to) && !sim_chance(s, s->plan->lose);
    g_autoptr(mv_view) answer = NULL;
    if (arrives && mv_core_tells_views(to->core)) {
        mv_core_view(to->core, sim_local(s, to), told);
        answer = mv_core_tell_view(to->core, sim_local(s, to));
    }
    bool answered = arrives && sim_peers_reached(s, to, from) && !sim_chance(s, s->plan->lose);
    mv_core_peer_asked(from->core, sim_local(s, from), to->conf->node_name, sent, answered);
    if (answer && answered)
        mv_core_view(from->core, sim_local(s, from), answer);
}

void sim_tell_views(sim *s, node *n)
{
    if (!mv_core_tells_views(n->core) || s->now < n->view_at)
        return;
    for (size_t i = 0; i < n->conf->n_peers; i++)
        tell_view(s, n, node_called(s, n->conf->peers[i].name));
    n->view_at = s->now + mv_core_view_pause(n->core);
}

/* --- troubles --- */

static node *some_node(sim *s)
{
    return &s->nodes[g_rand_int_range(s->rand, 0, NODES)];
}

static void cut_link(sim *s, node *n, sim_link link, double for_s)
{
    double until = s->now + for_s;
    switch (link) {
    case SIM_LINK_STATE:
        n->state_cut_until = until;
        break;
    case SIM_LINK_STATE_ANSWERS:
        n->answers_lost_until = until;
        break;
    case SIM_LINK_WATCHES:
        n->watches_lost_until = until;
        break;
    case SIM_LINK_PEERS:
        n->peer_cut_until = until;
        break;
    case SIM_LINK_PEERS_OUT:
        n->peers_out_until = until;
        break;
    case SIM_LINK_WORKERS:
        n->worker_cut_until = until;
        break;
    default:
        sim_begin_outage(s, for_s);
        break;
    }
}

typedef struct {
    node *n;
    unsigned left;
} flapping;

static void flap_once(sim *s, gpointer data)
{
    flapping *f = data;
    double for_s = sim_rnd(s, 0.2, 5);
    cut_link(s, f->n, SIM_LINK_STATE, for_s);
    if (--f->left == 0 || s->now >= s->plan->until)
        g_free(f);
    else
        sim_later(s, for_s + sim_rnd(s, 0.2, 5), flap_once, f);
}

void sim_flap(sim *s, gpointer data)
{
    flapping *f = g_new0(flapping, 1);
    f->n = some_node(s);
    f->left = FLAPS;
    flap_once(s, f);
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.5, 2) * s->plan->flap, sim_flap, data);
}

void sim_flap_free(event_fn fn, gpointer data)
{
    if (fn == flap_once)
        g_free(data);
}

void sim_lose_answers(sim *s, gpointer data)
{
    cut_link(s, some_node(s), SIM_LINK_STATE_ANSWERS, sim_rnd(s, 1, 30));
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->answers_lost, sim_lose_answers, data);
}

void sim_lose_watches(sim *s, gpointer data)
{
    cut_link(s, some_node(s), SIM_LINK_WATCHES, sim_rnd(s, 1, 30));
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->watches_lost, sim_lose_watches, data);
}

void sim_deafen_peers(sim *s, gpointer data)
{
    cut_link(s, some_node(s), SIM_LINK_PEERS_OUT, sim_rnd(s, 1, 30));
    if (s->now < s->plan->until)
        sim_later(s, sim_rnd(s, 0.2, 2) * s->plan->peers_deaf, sim_deafen_peers, data);
}

/* At the very moment of a launch, a progress record or a job's end: before it, or only its answer.
 */
void sim_cut_at_event(sim *s, node *n)
{
    if (s->now >= s->plan->until || s->now < n->state_cut_until || s->now < n->answers_lost_until)
        return;
    cut_link(s, n, sim_chance(s, 0.5) ? SIM_LINK_STATE : SIM_LINK_STATE_ANSWERS,
             sim_rnd(s, 0.5, 12));
    sim_meet(s, SIM_CUT_AT_EVENT);
}

static void begin_cut(sim *s, gpointer data)
{
    const sim_cut *cut = data;
    cut_link(s, &s->nodes[cut->node % NODES], cut->link, cut->for_s);
}

void sim_schedule_cuts(sim *s)
{
    for (unsigned i = 0; i < s->plan->n_cuts; i++)
        sim_later(s, s->plan->cuts[i].at, begin_cut, (gpointer)&s->plan->cuts[i]);
}
