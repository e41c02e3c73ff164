/**
 * Handles the heartbeats of agents and the answers to commands, and decides whether an action that
 * was decided earlier may still be carried out.
 */
#include "coordination/controller/controller_internal.h"

#include "coordination/agents/command_list.h"
#include "coordination/agents/command_queue.h"
#include "coordination/agents/heartbeat.h"
#include "coordination/agents/launch_fence.h"
#include "coordination/agents/lease_renewal.h"
#include "coordination/agents/machine.h"
#include "coordination/agents/missing_tasks.h"
#include "coordination/autoscaling/adoption.h"
#include "protocol/http_status.h"

#include <string.h>

/* --- heartbeats --- */

/* Answers that another controller has to handle the heartbeat. With `node` NULL, the response names
 * no controller, and the agent tries the next controller. */
static void redirect(const char *node, mv_heartbeat_response *response)
{
    response->status = MV_HTTP_STATUS_MISDIRECTED;
    g_strlcpy(response->redirect_to, node ? node : "", sizeof response->redirect_to);
}

static bool is_other_node(const mv_controller *controller, const char *node)
{
    return strcmp(node, controller->context.settings->node_name) != 0;
}

/* Answers the heartbeat of a machine that is in no partition. The leader probes the machine to find
 * out whether the machine exists. Any other controller redirects the agent to the leader, if there
 * is one. */
static void answer_unknown_machine(mv_controller *controller, const mv_heartbeat *heartbeat,
                                   mv_heartbeat_response *response)
{
    const mv_membership *membership = &controller->membership;
    if (mv_membership_is_leader(membership)) {
        mv_adoption_probe(&controller->autoscaler, heartbeat);
        response->status = MV_HTTP_STATUS_UNAVAILABLE;
        return;
    }
    bool other_leads =
        membership->leader_revision && is_other_node(controller, membership->leader.node);
    redirect(other_leads ? membership->leader.node : NULL, response);
}

/* Redirects the agent to the owner of the shard. If the owner is gone, the response names no
 * controller, because a redirect to the owner would cost the agent another refused request. */
static void redirect_to_owner(const mv_controller *controller, const mv_shard *shard,
                              mv_heartbeat_response *response)
{
    bool other_owns = is_other_node(controller, shard->holder.node) &&
                      mv_membership_holder_is_alive(&controller->membership, &shard->holder);
    redirect(other_owns ? shard->holder.node : NULL, response);
}

static bool may_act_for(const mv_controller *controller, const mv_machine *machine,
                        const mv_heartbeat *heartbeat)
{
    return mv_shard_is_owned(&controller->context, machine->shard) &&
           heartbeat->fencing_token <= mv_machine_fencing_token(machine);
}

static void record_sign_of_life(const mv_clock *clock, mv_machine *machine,
                                const mv_heartbeat *heartbeat)
{
    machine->last_sign_at = clock->now;
    if (!machine->address[0])
        g_strlcpy(machine->address, heartbeat->address, sizeof machine->address);
}

/* An agent sends a heartbeat only after it has received, or given up, the response to its previous
 * heartbeat. So no launch of an earlier response can be executed any more. */
static void forget_launches_in_responses(const mv_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++)
        ((mv_placement *)g_ptr_array_index(machine->placements, i))->launch_in_response = false;
}

/* Completes the commands of an answer of 200, or answers 503 if the answer must not renew the
 * agent's lease. Returns whether the answer is 200. */
static bool complete_answer(mv_controller *controller, mv_machine *machine,
                            const mv_heartbeat *heartbeat, mv_heartbeat_response *response)
{
    mv_lease_renewal_append_stops(&controller->agents, heartbeat, response->commands);
    /* Commands that do not fit the response are dropped; the agent's next heartbeat makes this
     * controller collect them again. */
    if (response->commands->len > MV_RESPONSE_COMMANDS_MAX)
        g_array_set_size(response->commands, MV_RESPONSE_COMMANDS_MAX);
    if (!mv_lease_renewal_is_safe(&controller->agents, machine, heartbeat, response->commands)) {
        response->status = MV_HTTP_STATUS_UNAVAILABLE;
        return false;
    }
    mv_launch_fence_complete_answer(&controller->agents, machine, response->commands);
    response->fencing_token = mv_machine_fencing_token(machine);
    return true;
}

static void answer_machine(mv_controller *controller, mv_machine *machine,
                           const mv_heartbeat *heartbeat, mv_heartbeat_response *response)
{
    mv_context *context = &controller->context;
    mv_link_monitor_update(controller);
    response->status = MV_HTTP_STATUS_OK;
    response->commands = mv_command_list_new();
    mv_heartbeat_order order = mv_heartbeat_compare(machine, heartbeat);
    if (order == MV_HEARTBEAT_STALE) {
        /* The heartbeat is a late copy of an earlier one, and the agent drops the response to the
         * copy; or the answer to a command overtook it, and the response renews the lease. */
        mv_context_count_stale(context, "report", machine->id);
        complete_answer(controller, machine, heartbeat, response);
        return;
    }
    forget_launches_in_responses(machine);
    mv_heartbeat_apply(&controller->agents, machine, heartbeat, order, response->commands);
    if (complete_answer(controller, machine, heartbeat, response)) {
        machine->lease_renewed_at = context->clock.now;
        mv_command_list_log(response->commands, machine, response->fencing_token, 0);
    }
    mv_controller_run_due_work(controller);
}

void mv_controller_heartbeat(mv_controller *controller, double now, const mv_heartbeat *heartbeat,
                             mv_heartbeat_response *response)
{
    mv_context *context = &controller->context;
    *response = (mv_heartbeat_response){0};
    mv_clock_advance(&context->clock, now);
    if (!controller->membership.cache.loaded) {
        redirect(NULL, response);
        return;
    }
    mv_machine *machine = mv_agents_find(&controller->agents, heartbeat->machine);
    if (!machine || !machine->shard) {
        answer_unknown_machine(controller, heartbeat, response);
        return;
    }
    record_sign_of_life(&context->clock, machine, heartbeat);
    if (!may_act_for(controller, machine, heartbeat))
        redirect_to_owner(controller, machine->shard, response);
    else if (mv_machine_cancelled_task_may_launch(context, machine))
        response->status = MV_HTTP_STATUS_UNAVAILABLE;
    else
        answer_machine(controller, machine, heartbeat, response);
}

/* --- commands --- */

static bool command_is_valid(mv_controller *controller, const mv_action *action)
{
    const mv_machine *machine = mv_commands_find(&controller->agents, action->id);
    if (machine)
        return mv_command_is_valid(&controller->agents, machine, action);
    /* No known machine has this command in flight, so the command is either a probe of a machine in
     * no partition, which only the leader may send, or from an earlier term and no longer valid. */
    return mv_membership_is_leader(&controller->membership) &&
           mv_adoption_is_probe(&controller->autoscaler, action->id);
}

bool mv_controller_action_is_valid(mv_controller *controller, double now, const mv_action *action)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_link_monitor_update(controller);
    if (action->kind == MV_ACTION_COMMAND)
        return SAFETY_CHECK(ACTION_VALID, command_is_valid(controller, action));
    bool is_leader_action =
        action->kind == MV_ACTION_SCALE_OUT || action->kind == MV_ACTION_SCALE_IN;
    return SAFETY_CHECK(ACTION_VALID, !is_leader_action ||
                                          mv_membership_may_change_fleet(&controller->membership));
}

void mv_controller_command_dropped(mv_controller *controller, double now, uint64_t id)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_machine *machine = mv_commands_find(&controller->agents, id);
    if (!machine) {
        mv_adoption_probe_completed(&controller->autoscaler, id, NULL);
        return;
    }
    mv_command_dropped(&controller->agents, machine);
    mv_controller_run_due_work(controller);
}

static void forget_sent_launches(const mv_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++)
        ((mv_placement *)g_ptr_array_index(machine->placements, i))->launch_sent = false;
}

static bool any_launch_is_due(const mv_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (!placement->reported && !placement->launch_sent)
            return true;
    }
    return false;
}

/* Applies the heartbeat with which an agent answered a command, after the agent carried the
 * command out or, if `refused` is true, refused the whole command. Refused launches are sent again.
 */
static void apply_command_answer(mv_controller *controller, mv_machine *machine, bool refused,
                                 const mv_heartbeat *heartbeat)
{
    mv_agents *agents = &controller->agents;
    mv_heartbeat_order order = mv_heartbeat_compare(machine, heartbeat);
    if (order != MV_HEARTBEAT_STALE) {
        g_autoptr(GArray) commands = mv_command_list_new();
        mv_heartbeat_apply(agents, machine, heartbeat, order, commands);
        if (refused)
            forget_sent_launches(machine);
        if (refused || !machine->confirmed)
            mv_machine_request_command(agents, machine);
    }
    if (any_launch_is_due(machine))
        mv_machine_request_command(agents, machine);
    mv_controller_run_due_work(controller);
}

void mv_controller_command_completed(mv_controller *controller, double now, uint64_t id, int status,
                                     const mv_heartbeat *heartbeat)
{
    mv_agents *agents = &controller->agents;
    const bool answered =
        heartbeat && (status == MV_HTTP_STATUS_OK || status == MV_HTTP_STATUS_CONFLICT);
    mv_clock_advance(&controller->context.clock, now);
    mv_machine *machine = mv_commands_find(agents, id);
    if (!machine) {
        mv_adoption_probe_completed(&controller->autoscaler, id, answered ? heartbeat : NULL);
        return;
    }
    mv_machine_forget_command(agents, machine);
    if (!answered) {
        mv_command_unanswered(agents, machine);
        return;
    }
    machine->commands_failed = 0;
    mv_command_arrived(machine);
    mv_machine_command_delivered(machine);
    if (machine->shard && may_act_for(controller, machine, heartbeat))
        apply_command_answer(controller, machine, status == MV_HTTP_STATUS_CONFLICT, heartbeat);
}
