/** Faults of the simulated controllers' links. */
#include "sim_faults.h"

#define FLAP_COUNT 20 /* number of times that a flapping link breaks */

/** A flapping link to the state store, which breaks `remaining` more times. */
typedef struct {
    sim_node *node;
    unsigned remaining;
} link_flapping;

/* Cuts a link of a random controller. The duration is drawn before the controller; the order of the
 * two draws must not change. */
static void cut_random_node(sim *simulation, sim_link link, double duration_min,
                            double duration_max)
{
    const double duration_s = sim_random(simulation, duration_min, duration_max);
    sim_cut_link(simulation, sim_random_node(simulation), link, duration_s);
}

void sim_cut_node_from_state(sim *simulation)
{
    cut_random_node(simulation, SIM_LINK_STATE, 2, 30);
}

void sim_cut_node_from_workers(sim *simulation)
{
    cut_random_node(simulation, SIM_LINK_WORKERS, 2, 30);
}

void sim_lose_state_responses(sim *simulation)
{
    cut_random_node(simulation, SIM_LINK_STATE_RESPONSES, 1, 30);
}

void sim_lose_watches(sim *simulation)
{
    cut_random_node(simulation, SIM_LINK_WATCHES, 1, 30);
}

void sim_cut_outgoing_peers(sim *simulation)
{
    cut_random_node(simulation, SIM_LINK_PEERS_OUTGOING, 1, 30);
}

void sim_cut_all_peers(sim *simulation)
{
    const double duration_s = sim_random(simulation, 5, 40);
    for (int i = 0; i < NODES; i++)
        sim_cut_link(simulation, &simulation->nodes[i], SIM_LINK_PEERS, duration_s);
}

static void isolate(sim *simulation, sim_node *node, double duration_s)
{
    sim_cut_link(simulation, node, SIM_LINK_STATE, duration_s);
    sim_cut_link(simulation, node, SIM_LINK_PEERS, duration_s);
}

void sim_isolate_node(sim *simulation)
{
    sim_node *node = sim_random_node(simulation);
    isolate(simulation, node, sim_random(simulation, 3, 50));
}

void sim_cut_zone(sim *simulation)
{
    sim_node *node = sim_random_node(simulation);
    const double duration_s = sim_random(simulation, 5, 40);
    simulation->zone_node = node->index;
    simulation->zone_cut_until = simulation->now + duration_s;
    isolate(simulation, node, duration_s);
    if (simulation->zone_cut_until > simulation->now + node->settings->lease_s)
        sim_count_any_combination(simulation);
}

static void flap_once(sim *simulation, gpointer data)
{
    link_flapping *flapping = data;
    const double duration_s = sim_random(simulation, 0.2, 5);
    sim_cut_link(simulation, flapping->node, SIM_LINK_STATE, duration_s);
    flapping->remaining--;
    if (flapping->remaining == 0 || simulation->now >= simulation->plan->faults_end_at) {
        g_free(flapping);
        return;
    }
    const double healed_s = sim_random(simulation, 0.2, 5);
    sim_schedule_owned(simulation, duration_s + healed_s, flap_once, flapping, g_free);
}

void sim_flap_link(sim *simulation)
{
    link_flapping *flapping = g_new0(link_flapping, 1);
    flapping->node = sim_random_node(simulation);
    flapping->remaining = FLAP_COUNT;
    flap_once(simulation, flapping);
}

void sim_cut_at_event(sim *simulation, sim_node *node)
{
    if (simulation->now >= simulation->plan->faults_end_at ||
        simulation->now < node->state_cut_until ||
        simulation->now < node->state_responses_lost_until)
        return;
    const double duration_s = sim_random(simulation, 0.5, 12);
    const sim_link link = sim_chance(simulation, 0.5) ? SIM_LINK_STATE : SIM_LINK_STATE_RESPONSES;
    sim_cut_link(simulation, node, link, duration_s);
    sim_count_combination(simulation, SIM_CUT_AT_EVENT);
}

static void begin_cut(sim *simulation, gpointer data)
{
    const sim_cut *cut = data;
    sim_cut_link(simulation, &simulation->nodes[cut->node % NODES], cut->link, cut->for_s);
}

void sim_schedule_cuts(sim *simulation)
{
    for (unsigned i = 0; i < simulation->plan->cut_count; i++) {
        const sim_cut *cut = &simulation->plan->cuts[i];
        sim_schedule(simulation, cut->at, begin_cut, (gpointer)cut);
    }
}
