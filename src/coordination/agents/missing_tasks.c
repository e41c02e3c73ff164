#include "coordination/agents/missing_tasks.h"

#include "coordination/agents/command_list.h"
#include "coordination/agents/launch_fence.h"
#include "coordination/agents/placement.h"

#include <string.h>

/* Returns whether the task of a placement that no heartbeat has listed may still start, because its
 * launch is on its way to the agent. */
static bool launch_may_arrive(const mv_machine *machine, const mv_placement *placement)
{
    bool in_flight = placement->launch_sent && machine->command_id;
    return in_flight || placement->launch_unanswered || placement->launch_in_response;
}

static bool heartbeat_lists(const mv_heartbeat *heartbeat, const mv_placement *placement)
{
    for (size_t i = 0; i < heartbeat->task_count; i++) {
        const mv_reported_task *task = &heartbeat->tasks[i];
        if (task->task == placement->task && strcmp(task->job_id, placement->job_id) == 0 &&
            task->attempt == placement->attempt)
            return true;
    }
    return false;
}

static void reconcile_missing_task(mv_agents *agents, mv_machine *machine, guint index,
                                   const mv_heartbeat *heartbeat, GArray *commands)
{
    mv_placement *placement = g_ptr_array_index(machine->placements, index);
    bool in_flight = placement->launch_sent && machine->command_id;
    if (placement->agent_epoch < heartbeat->agent_epoch) {
        mv_placement_remove(agents, machine, index, true);
    } else if (placement->reported) {
        /* An earlier heartbeat listed the task, so the agent has lost it. */
        if (mv_launch_fence_has_passed(machine, placement, heartbeat))
            mv_placement_remove(agents, machine, index, true);
    } else if (!placement->job || placement->job->cancelling) {
        /* The job ended, or a user cancels it, before any heartbeat showed the task: the placement
         * stays until no launch of the task can arrive any more. */
        if (!launch_may_arrive(machine, placement))
            mv_placement_remove(agents, machine, index, false);
    } else if (!in_flight && mv_launch_allowed(agents->launch_control, placement->job)) {
        /* No heartbeat has listed the task, so its launch is sent, perhaps for the second time: a
         * repeated launch of the same attempt is idempotent. */
        mv_command_append_launch(commands, placement);
        placement->launch_in_response = true;
    }
}

void mv_missing_tasks_reconcile(mv_agents *agents, mv_machine *machine,
                                const mv_heartbeat *heartbeat, GArray *commands)
{
    for (guint i = machine->placements->len; i-- > 0;)
        if (!heartbeat_lists(heartbeat, g_ptr_array_index(machine->placements, i)))
            reconcile_missing_task(agents, machine, i, heartbeat, commands);
}

bool mv_machine_cancelled_task_may_launch(const mv_context *context, const mv_machine *machine)
{
    if (!machine->confirmed)
        return false;
    for (guint i = 0; i < machine->placements->len; i++) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        bool in_flight = placement->launch_sent && machine->command_id;
        bool may_arrive = placement->launch_unanswered || in_flight;
        double grace_until = placement->job_ended_at + MV_CANCELLED_LAUNCH_GRACE_S;
        if (!placement->job && !placement->reported && may_arrive &&
            context->clock.now > grace_until)
            return !SAFETY_CHECK(LATE_LAUNCH, false);
    }
    return false;
}
