/**
 * Launches by a controller that is cut off from the state store while the majority of controllers
 * is connected.
 *
 * With the launch gate on, the controller must launch nothing after the cut has lasted for
 * LAUNCH_AFTER_CUT_MAX_S, and nothing for MV_HOLD_DOWN_INITIAL_S after the cut has healed. The
 * figures of sim_launch_latency come from the same observations.
 */
#include "sim_internal.h"

#include "controller_probe.h"

static bool is_cut(const sim *simulation, const sim_node *node)
{
    return simulation->now < node->state_cut_until ||
           simulation->now < node->state_responses_lost_until;
}

/* Returns whether the majority of controllers is cut off. If two of three controllers are cut off,
 * they may take the cuts for an outage of the state store, so the launch rules do not apply. */
static bool majority_is_cut(const sim *simulation)
{
    unsigned cut = 0;
    for (int i = 0; i < NODES; i++)
        cut += is_cut(simulation, &simulation->nodes[i]);
    return 2 * cut > NODES;
}

static void count_cut(sim_launch_latency *latency, const sim_node *node)
{
    const double last_launch_s = node->last_launch_at - node->cut_since;
    latency->cuts++;
    latency->launched += last_launch_s > 0;
    latency->last_launch_s += MAX(last_launch_s, 0);
    latency->longest_s = MAX(latency->longest_s, last_launch_s);
}

/* Ends the tracked cut of a controller. A cut that was no longer than LAUNCH_AFTER_CUT_MAX_S is
 * ignored, because the controller may launch during all of that time. If no watch
 * of the process had been answered as the cut began, its link had never been up, so the end of the
 * cut is its first connection and not a reconnection, and its launches are not checked. */
static void end_cut(sim *simulation, sim_node *node, bool has_healed)
{
    sim_launch_latency *latency = simulation->plan->launch_latency;
    const bool lasted_beyond_limit = simulation->now > node->cut_since + LAUNCH_AFTER_CUT_MAX_S;
    if (latency && lasted_beyond_limit)
        count_cut(latency, node);
    node->cut_healed_at =
        lasted_beyond_limit && has_healed && node->connected_before_cut ? simulation->now : 0;
    node->cut_since = 0;
}

void sim_track_cut(sim *simulation, sim_node *node)
{
    const bool cut = is_cut(simulation, node);
    const bool cut_alone =
        cut && simulation->now >= simulation->outage_until && !majority_is_cut(simulation);
    if (cut_alone && node->cut_since == 0) {
        node->cut_since = simulation->now;
        node->connected_before_cut = node->incarnation && node->is_following;
        node->cut_healed_at = 0;
    } else if (!cut_alone && node->cut_since > 0) {
        end_cut(simulation, node, !cut);
    }
}

/* Counts a launch of a completed task if any running controller knows of the completion. */
static void count_relaunch(sim *simulation, const mv_command *command)
{
    if (!simulation->plan->relaunched_completed)
        return;
    const sim_job *job = sim_job_by_id(simulation, command->job_id);
    if (!job || !job->completed[command->task])
        return;
    for (int i = 0; i < NODES; i++) {
        const sim_node *node = &simulation->nodes[i];
        if (node->running &&
            probe_task_is_completed(node->controller, command->job_id, command->task)) {
            ++*simulation->plan->relaunched_completed;
            return;
        }
    }
}

static void check_launch_gate(sim *simulation, const sim_node *node, const mv_command *command)
{
    if (!node->settings->operator_settings.launch_gate)
        return;
    if (node->cut_since > 0 && simulation->now > node->cut_since + LAUNCH_AFTER_CUT_MAX_S)
        sim_violation(simulation, "launched %s/%u while cut off for %.2f s", command->job_id,
                      command->task, simulation->now - node->cut_since);
    if (node->cut_healed_at > 0 && simulation->now < node->cut_healed_at + MV_HOLD_DOWN_INITIAL_S)
        sim_violation(simulation, "launched %s/%u %.2f s after a cut healed", command->job_id,
                      command->task, simulation->now - node->cut_healed_at);
}

static void track_launch(sim *simulation, sim_node *node, const mv_command *command)
{
    sim_launch_latency *latency = simulation->plan->launch_latency;
    node->last_launch_at = simulation->now;
    count_relaunch(simulation, command);
    check_launch_gate(simulation, node, command);
    if (node->cut_healed_at > 0 && latency) {
        latency->healed++;
        latency->first_launch_s += simulation->now - node->cut_healed_at;
    }
    node->cut_healed_at = 0;
}

void sim_track_launches(sim *simulation, sim_node *node, const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const mv_command *command = &g_array_index(commands, mv_command, i);
        if (command->kind == MV_COMMAND_LAUNCH)
            track_launch(simulation, node, command);
    }
}
