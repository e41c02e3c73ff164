/** Faults of the simulated controllers' processes. */
#include "sim_faults.h"

#define USUAL_RESTART_S 4
#define SHORT_RESTART_S 0.2

static bool is_running_leader(const sim_node *node)
{
    return node->running && mv_controller_is_leader(node->controller);
}

void sim_crash_node(sim *simulation)
{
    sim_node *node = sim_random_node(simulation);
    if (node->running && simulation->now < simulation->outage_until)
        sim_count_combination(simulation, SIM_CRASH_IN_OUTAGE);
    sim_node_stop(simulation, node,
                  sim_chance(simulation, 0.2) ? SHORT_RESTART_S : USUAL_RESTART_S);
}

void sim_crash_all_nodes(sim *simulation)
{
    const double mean_away_s = simulation->plan->away;
    for (int i = 0; i < NODES; i++) {
        const double away_s = mean_away_s > 0 ? sim_random(simulation, 1, 1.5) * mean_away_s
                                              : sim_random(simulation, 2, 5);
        sim_node_stop(simulation, &simulation->nodes[i], away_s);
    }
    if (mean_away_s > simulation->nodes[0].settings->lease_s)
        sim_count_any_combination(simulation);
}

static void cancel_job_of_ended_leader(sim *simulation, gpointer data)
{
    const sim_job *job = &g_array_index(simulation->jobs, sim_job, GPOINTER_TO_UINT(data));
    if (!job->accepted || job->cancelled)
        return;
    sim_cancel_job(simulation, data);
    if (job->cancelled)
        sim_count_combination(simulation, SIM_CANCELLED_AT_LEADER_CHANGE);
}

/* Schedules cancellations of random jobs for the next four seconds, in which another controller
 * takes over as leader. */
static void schedule_cancellations(sim *simulation)
{
    const double share = simulation->plan->cancel_at_leader_change;
    for (guint i = 0; i < simulation->jobs->len && share > 0; i++)
        if (sim_chance(simulation, share))
            sim_schedule(simulation, sim_random(simulation, 0, 4), cancel_job_of_ended_leader,
                         GUINT_TO_POINTER(i));
}

void sim_crash_leader(sim *simulation)
{
    for (int i = 0; i < NODES; i++) {
        sim_node *node = &simulation->nodes[i];
        if (!is_running_leader(node))
            continue;
        sim_node_stop(simulation, node,
                      sim_chance(simulation, 0.3) ? SHORT_RESTART_S : USUAL_RESTART_S);
        sim_count_combination(simulation, SIM_PLAN_SPECIFIC);
        schedule_cancellations(simulation);
        return;
    }
}

void sim_quick_restart_nodes(sim *simulation)
{
    const bool all = sim_chance(simulation, 0.3);
    const sim_node *chosen = sim_random_node(simulation);
    for (int i = 0; i < NODES; i++) {
        sim_node *node = &simulation->nodes[i];
        if (all || node == chosen)
            sim_node_stop(simulation, node, sim_random(simulation, 0.02, 0.4));
    }
}

double sim_quick_restart_interval(sim *simulation)
{
    if (sim_chance(simulation, 0.4))
        return sim_random(simulation, 0.05, 1);
    return sim_random(simulation, 0.2, 2) * simulation->plan->quick_restart;
}

void sim_freeze_node(sim *simulation)
{
    sim_node *node = sim_random_node(simulation);
    node->frozen_until = simulation->now + sim_random(simulation, 2, 45);
}

void sim_relist_node(sim *simulation)
{
    sim_node *node = sim_random_node(simulation);
    if (!node->running || !node->is_listed)
        return;
    node->is_listed = false;
    mv_controller_relist_started(node->controller, sim_steady_clock(simulation, node));
}

void sim_upgrade_node(sim *simulation, gpointer data)
{
    sim_node *node = &simulation->nodes[GPOINTER_TO_UINT(data)];
    node->emulates_format_1 = false;
    sim_node_stop(simulation, node, sim_random(simulation, 0.2, 4));
}
