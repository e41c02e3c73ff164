/**
 * Schedules faults: a table of the recurring faults, and the faults that a plan injects once or in
 * a fixed order. This file also contains the faults of the whole state store and the whole cloud.
 */
#include "sim_faults.h"

#include <stddef.h>

#define FIRST_REFUSAL_S 40 /* time at which the state store first refuses the leader */
#define REFUSAL_S 14       /* duration of each refusal */
#define FIRST_UPGRADE_S 30

/** A fault that recurs until the plan's faults end. Each interval is drawn between `low_share`
 * times the mean and twice the mean. */
typedef struct {
    size_t mean_offset; /* offset in sim_plan of the mean interval in seconds; a mean of 0: never */
    double low_share;   /* shortest interval as a share of the mean */
    double pause_s;     /* added to each interval except the first */
    void (*inject)(sim *simulation);
    double (*next_interval)(sim *simulation); /* draws the interval; NULL: drawn from the mean */
} recurring_fault;

/* --- the state store and the cloud --- */

static void end_outage(sim *simulation, gpointer data)
{
    (void)data;
    fake_state_store_extend_leases(simulation->state, simulation->now);
}

void sim_begin_outage(sim *simulation, double duration_s)
{
    simulation->outage_until = simulation->now + duration_s;
    sim_schedule(simulation, duration_s, end_outage, NULL);
}

static void inject_outage(sim *simulation)
{
    sim_begin_outage(simulation, sim_random(simulation, 3, 25));
}

static void inject_cloud_outage(sim *simulation)
{
    simulation->cloud_outage_until = simulation->now + sim_random(simulation, 10, 40);
}

static void reduce_limits(sim *simulation, gpointer data)
{
    (void)data;
    simulation->state->value_bytes = REDUCED_VALUE_KB * 1024;
    simulation->state->max_writes = REDUCED_TRANSACTION_WRITES;
}

/* --- a leader that is refused, then an outage --- */

static void cancel_marked_jobs(sim *simulation, gpointer data)
{
    (void)data;
    for (guint i = 0; i < simulation->jobs->len; i++) {
        const sim_job *job = &g_array_index(simulation->jobs, sim_job, i);
        if (!job->accepted || job->cancelled || job->cancel_after_s <= 0)
            continue;
        sim_cancel_job(simulation, GUINT_TO_POINTER(i));
        if (job->cancelled && sim_running_tasks(simulation, job) > 0)
            sim_count_any_combination(simulation);
    }
}

static void begin_outage_after_refusal(sim *simulation, gpointer data)
{
    (void)data;
    sim_begin_outage(simulation, simulation->plan->leader_refused_then_outage);
}

/* Makes the state store refuse only the leader, while users continue to cancel jobs through other
 * controllers. Then an outage of the state store begins for all controllers, shortly before or
 * after the leader's session ends, while workers continue to send heartbeats. */
static void refuse_leader_then_outage(sim *simulation, gpointer data)
{
    const sim_plan *plan = simulation->plan;
    (void)data;
    for (int i = 0; i < NODES; i++) {
        sim_node *node = &simulation->nodes[i];
        if (node->running && mv_controller_is_leader(node->controller))
            sim_cut_link(simulation, node, SIM_LINK_STATE, REFUSAL_S);
    }
    const double outage_in_s = plan->cancel_in_gap ? 1 : sim_random(simulation, 0.8, 4);
    if (plan->cancel_in_gap)
        cancel_marked_jobs(simulation, NULL);
    for (double at = 0.1; at < outage_in_s && !plan->cancel_in_gap; at += 0.4)
        sim_schedule(simulation, at, cancel_marked_jobs, NULL);
    sim_schedule(simulation, outage_in_s, begin_outage_after_refusal, NULL);
    if (simulation->now + 2 * plan->leader_refused_then_outage < plan->faults_end_at)
        sim_schedule(simulation, plan->leader_refused_then_outage + sim_random(simulation, 20, 40),
                     refuse_leader_then_outage, NULL);
}

/* --- faults that recur --- */

/* The first time of each fault is drawn in the order of this table. A change of the order therefore
 * changes the run of every seed. */
static const recurring_fault RECURRING_FAULTS[] = {
    {offsetof(sim_plan, crash), 0.2, 0, sim_crash_node, NULL},
    {offsetof(sim_plan, all_crash), 0.2, 0, sim_crash_all_nodes, NULL},
    {offsetof(sim_plan, state_cut), 0.2, 0, sim_cut_node_from_state, NULL},
    {offsetof(sim_plan, worker_cut), 0.2, 0, sim_cut_node_from_workers, NULL},
    {offsetof(sim_plan, outage), 0.5, 0, inject_outage, NULL},
    {offsetof(sim_plan, cloud_outage), 0.5, 0, inject_cloud_outage, NULL},
    {offsetof(sim_plan, peers_unreachable), 0.5, 0, sim_cut_all_peers, NULL},
    {offsetof(sim_plan, reclaim_wave), 0.5, 0, sim_reclaim_wave, NULL},
    {offsetof(sim_plan, machine_crash), 0.2, 0, sim_crash_machine, NULL},
    {offsetof(sim_plan, machine_cut), 0.2, 0, sim_partition_machine, NULL},
    {offsetof(sim_plan, block_commands), 0.2, 0, sim_block_commands, NULL},
    {offsetof(sim_plan, isolate), 0.2, 0, sim_isolate_node, NULL},
    {offsetof(sim_plan, freeze), 0.2, 0, sim_freeze_node, NULL},
    {offsetof(sim_plan, quick_restart), 0, 0, sim_quick_restart_nodes, sim_quick_restart_interval},
    {offsetof(sim_plan, machine_quick_restart), 0.2, 0, sim_quick_restart_machine, NULL},
    {offsetof(sim_plan, leader_crash), 0.2, 0, sim_crash_leader, NULL},
    {offsetof(sim_plan, block_heartbeats), 0.2, 0, sim_block_heartbeats, NULL},
    {offsetof(sim_plan, machine_hang), 0.2, 0, sim_hang_machine, NULL},
    {offsetof(sim_plan, zone_cut), 0.2, 30, sim_cut_zone, NULL},
    {offsetof(sim_plan, relist), 0.2, 0, sim_relist_node, NULL},
    {offsetof(sim_plan, reclaim_notice), 0.2, 0, sim_reclaim_with_notice, NULL},
    {offsetof(sim_plan, link_flapping), 0.5, 0, sim_flap_link, NULL},
    {offsetof(sim_plan, state_responses_lost), 0.2, 0, sim_lose_state_responses, NULL},
    {offsetof(sim_plan, watches_lost), 0.2, 0, sim_lose_watches, NULL},
    {offsetof(sim_plan, peer_outgoing_lost), 0.2, 0, sim_cut_outgoing_peers, NULL},
    {offsetof(sim_plan, machine_restart_in_epoch), 0.2, 0, sim_restart_machine_in_epoch, NULL},
    {offsetof(sim_plan, machine_restart_anew), 0.2, 0, sim_restart_machine_anew, NULL},
};

static double mean_interval(const sim_plan *plan, const recurring_fault *fault)
{
    return *(const double *)((const char *)plan + fault->mean_offset);
}

static void inject_recurring(sim *simulation, gpointer data)
{
    const recurring_fault *fault = data;
    double interval = 0;
    fault->inject(simulation);
    /* A fault with a next_interval function draws an interval even if the plan's faults have ended
     * and no further occurrence is scheduled. */
    if (fault->next_interval)
        interval = fault->next_interval(simulation);
    if (simulation->now >= simulation->plan->faults_end_at)
        return;
    if (!fault->next_interval)
        interval =
            sim_random(simulation, fault->low_share, 2) * mean_interval(simulation->plan, fault) +
            fault->pause_s;
    sim_schedule(simulation, interval, inject_recurring, data);
}

static void schedule_recurring(sim *simulation)
{
    for (size_t i = 0; i < G_N_ELEMENTS(RECURRING_FAULTS); i++) {
        const recurring_fault *fault = &RECURRING_FAULTS[i];
        const double mean = mean_interval(simulation->plan, fault);
        if (mean > 0)
            sim_schedule(simulation, sim_random(simulation, 0.2, 1.5) * mean, inject_recurring,
                         (gpointer)fault);
    }
}

/* --- the faults of a plan --- */

/* Starts all controllers as the old release, and schedules the restart of one controller after the
 * other as the new release. */
static void schedule_rolling_upgrade(sim *simulation)
{
    const double interval_s = simulation->plan->rolling_upgrade;
    if (interval_s <= 0)
        return;
    const guint first = (guint)g_rand_int_range(simulation->random, 0, NODES);
    for (guint i = 0; i < NODES; i++) {
        const guint index = (first + i) % NODES;
        const double delay = i * sim_random(simulation, 0.5, 1) * interval_s;
        simulation->nodes[index].emulates_format_1 = true;
        sim_schedule(simulation, FIRST_UPGRADE_S + delay, sim_upgrade_node,
                     GUINT_TO_POINTER(index));
    }
}

void sim_schedule_faults(sim *simulation)
{
    const sim_plan *plan = simulation->plan;
    schedule_recurring(simulation);
    sim_schedule_cuts(simulation);
    if (plan->leader_refused_then_outage > 0)
        sim_schedule(simulation, FIRST_REFUSAL_S, refuse_leader_then_outage, NULL);
    schedule_rolling_upgrade(simulation);
    if (plan->limits_reduced_at > 0)
        sim_schedule(simulation, plan->limits_reduced_at, reduce_limits, NULL);
}
