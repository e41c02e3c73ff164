#include "coordination/agents/heartbeat.h"

#include "coordination/agents/command_list.h"
#include "coordination/agents/launch_fence.h"
#include "coordination/agents/missing_tasks.h"
#include "coordination/agents/placement.h"
#include "coordination/jobs/runtime_estimator.h"
#include "telemetry/log.h"

#include <string.h>

mv_heartbeat_order mv_heartbeat_compare(const mv_machine *machine, const mv_heartbeat *heartbeat)
{
    bool same_epoch = heartbeat->agent_epoch == machine->agent_epoch;
    bool newer = heartbeat->agent_epoch > machine->agent_epoch ||
                 (same_epoch && heartbeat->sequence > machine->sequence);
    if (!SAFETY_CHECK(HEARTBEAT_ORDER, newer))
        return MV_HEARTBEAT_STALE;
    bool current = heartbeat->fencing_token >= mv_machine_term(machine);
    return SAFETY_CHECK(FENCING_TOKEN, current) ? MV_HEARTBEAT_CURRENT : MV_HEARTBEAT_OLD_TOKEN;
}

/* --- the agent epoch --- */

/* Marks the machine unreachable, and probes it, if the agent's lease expired although this
 * controller received a heartbeat within the time of the lease: the answers may not reach the
 * agent. */
static void suspect_unreachable(mv_agents *agents, mv_machine *machine)
{
    const mv_context *context = agents->context;
    double lease_begin = context->clock.now - context->settings->lease_s;
    if (!machine->confirmed || machine->unreachable_since ||
        machine->last_heartbeat_at <= lease_begin)
        return;
    machine->unreachable_since = context->clock.now;
    machine->probe_requested = true;
    mv_machine_request_command(agents, machine);
}

/* Removes and requeues the tasks of earlier agent epochs: a new epoch shows that the agent's lease
 * expired, and all tasks ended with the lease. */
static void remove_earlier_epochs(mv_agents *agents, mv_machine *machine, uint64_t agent_epoch)
{
    for (guint i = machine->placements->len; i-- > 0;) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->agent_epoch < agent_epoch)
            mv_placement_remove(agents, machine, i, true);
    }
    g_hash_table_remove_all(machine->uncertain_attempts);
}

static void advance_agent_epoch(mv_agents *agents, mv_machine *machine, uint64_t agent_epoch)
{
    if (machine->agent_epoch && agent_epoch > machine->agent_epoch) {
        suspect_unreachable(agents, machine);
        remove_earlier_epochs(agents, machine, agent_epoch);
    }
    machine->agent_epoch = agent_epoch;
}

/* --- exited tasks --- */

/* Returns whether the exited tasks of this heartbeat are to be cleared now. An agent sends another
 * heartbeat after every change of its tasks, also after a clear. So in a large shard
 * MV_CLEAR_BATCH exited tasks are cleared together, or fewer after MV_CLEAR_INTERVAL_S, to save
 * heartbeats. */
static bool should_clear_exited(const mv_context *context, mv_machine *machine,
                                const mv_heartbeat *heartbeat)
{
    unsigned exited = 0;
    for (size_t i = 0; i < heartbeat->task_count; i++)
        exited += heartbeat->tasks[i].phase == MV_TASK_EXITED;
    bool small_shard = machine->shard->machine_count <= MV_HEALTH_CHECK_MIN;
    bool overdue = context->clock.now > machine->last_clear_at + MV_CLEAR_INTERVAL_S;
    bool is_due = small_shard || exited >= MV_CLEAR_BATCH || overdue;
    return is_due && (!exited || mv_launch_fence_can_clear(context, machine));
}

/* Appends the clear of an exited task. The answer that carries the clear fences off the commands
 * that launched the attempt (launch_fence.h). */
static void append_clear(const mv_machine *machine, const mv_reported_task *task, GArray *commands)
{
    if (machine->clears_exited)
        mv_command_append(commands, MV_COMMAND_CLEAR, task, 0);
}

/* Handles the end of a replica. Whatever the reason, the replica has to run again, so no completion
 * is recorded. A replica that ended by itself after running for less than
 * MV_REPLICA_LIFETIME_MIN_S is retried after a back-off. Only an error counts as a failure on the
 * machine. A refused launch pauses launches on the machine. */
static void replica_exited(mv_agents *agents, mv_machine *machine, mv_job *job,
                           const mv_placement *placement, mv_exit_reason reason)
{
    const mv_context *context = agents->context;
    double min_lifetime_end = placement->running_at + MV_REPLICA_LIFETIME_MIN_S;
    bool lasted = placement->running_at > 0 && context->clock.now > min_lifetime_end;
    if (lasted)
        job->failures = 0;
    if (reason == MV_EXIT_ERROR)
        mv_machine_record_failure(agents, machine, job);
    else if (reason == MV_EXIT_DONE && !lasted)
        mv_job_back_off(context, job);
    else if (reason != MV_EXIT_DONE && reason != MV_EXIT_STOPPED)
        machine->launches_paused_until = context->clock.now + MV_LAUNCH_REFUSED_BACKOFF_S;
}

static void reconcile_exited_replica(mv_agents *agents, mv_machine *machine, mv_job *job,
                                     const mv_reported_task *task, int index)
{
    if (index < 0)
        return;
    const mv_placement *placement = g_ptr_array_index(machine->placements, (guint)index);
    mv_debug("replica_ended",
             "task=%s/%u attempt=%" G_GUINT64_FORMAT
             " machine=%s exit_reason=%d token=%" G_GUINT64_FORMAT,
             task->job_id, task->task, task->attempt, machine->id, task->exit_reason,
             mv_machine_fencing_token(machine));
    replica_exited(agents, machine, job, placement, task->exit_reason);
    mv_placement_remove(agents, machine, (guint)index, true);
}

static void reconcile_completed_task(mv_agents *agents, mv_machine *machine, mv_job *job,
                                     const mv_reported_task *task, int index)
{
    const mv_context *context = agents->context;
    if (index >= 0) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, (guint)index);
        if (placement->running_at > 0 && !placement->adopted) {
            double runtime_s = context->clock.now - placement->running_at;
            mv_machine_observe_runtime(machine, job, runtime_s);
            mv_runtime_estimator_observe(agents->jobs, job, runtime_s);
        }
        mv_machine_touch_image(context, machine, job);
        mv_placement_remove(agents, machine, (guint)index, false);
    }
    g_hash_table_remove_all(machine->failed_jobs);
    mv_job_task_completed(agents->jobs, job, task->task);
}

static void record_failure(mv_agents *agents, mv_machine *machine, mv_job *job,
                           const mv_reported_task *task)
{
    mv_machine_record_failure(agents, machine, job);
    mv_log_limited(MV_LOG_INFO, "task_failed",
                   "task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s token=%" G_GUINT64_FORMAT,
                   task->job_id, task->task, task->attempt, machine->id,
                   mv_machine_fencing_token(machine));
}

static void reconcile_failed_task(mv_agents *agents, mv_machine *machine, mv_job *job,
                                  const mv_reported_task *task, int index)
{
    const mv_context *context = agents->context;
    if (index < 0)
        return;
    mv_debug("task_ended",
             "task=%s/%u attempt=%" G_GUINT64_FORMAT
             " machine=%s exit_reason=%d token=%" G_GUINT64_FORMAT,
             task->job_id, task->task, task->attempt, machine->id, task->exit_reason,
             mv_machine_fencing_token(machine));
    if (task->exit_reason == MV_EXIT_ERROR)
        record_failure(agents, machine, job, task);
    else if (task->exit_reason != MV_EXIT_STOPPED)
        machine->launches_paused_until = context->clock.now + MV_LAUNCH_REFUSED_BACKOFF_S;
    mv_placement_remove(agents, machine, (guint)index, true);
}

/* Returns the index of the placement with the reported task's attempt; -1: none. */
static int find_attempt(const mv_machine *machine, const mv_reported_task *task)
{
    int index = mv_placement_find(machine, task->job_id, task->task);
    if (index < 0)
        return -1;
    const mv_placement *placement = g_ptr_array_index(machine->placements, (guint)index);
    return placement->attempt == task->attempt ? index : -1;
}

static void reconcile_exited_task(mv_agents *agents, mv_machine *machine, mv_job *job,
                                  const mv_reported_task *task, GArray *commands)
{
    int index = find_attempt(machine, task);
    if (!job) {
        if (index >= 0)
            mv_placement_remove(agents, machine, (guint)index, false);
    } else if (job->spec.service) {
        reconcile_exited_replica(agents, machine, job, task, index);
    } else if (task->exit_reason == MV_EXIT_DONE) {
        reconcile_completed_task(agents, machine, job, task, index);
        /* The task is cleared only after its completion is recorded: until then the agent's
         * heartbeats are the only proof of the completion. */
        if (job->task_states[task->task] != MV_TASK_STATE_RECORDED)
            return;
    } else {
        reconcile_failed_task(agents, machine, job, task, index);
    }
    append_clear(machine, task, commands);
}

/* --- active tasks --- */

/* Adds a placement for a reported task that this controller has no record of placing, for example
 * after a failover. */
static mv_placement *adopt_reported_task(mv_agents *agents, mv_machine *machine, mv_job *job,
                                         const mv_reported_task *task)
{
    mv_placement *placement = g_new0(mv_placement, 1);
    placement->task = task->task;
    placement->attempt = task->attempt;
    placement->adopted = true;
    mv_job_task_not_pending(job, task->task);
    mv_placement_add(agents, machine, job, placement);
    if (job->cancelling)
        mv_placement_cancel(agents, machine, placement);
    return placement;
}

/* Returns the placement of a reported active task; adopts the task if it is still pending. NULL:
 * the task must be stopped. */
static mv_placement *match_active_task(mv_agents *agents, mv_machine *machine, mv_job *job,
                                       const mv_reported_task *task)
{
    int index = mv_placement_find(machine, task->job_id, task->task);
    if (index >= 0) {
        mv_placement *placement = g_ptr_array_index(machine->placements, (guint)index);
        return placement->attempt == task->attempt ? placement : NULL;
    }
    bool pending = job && mv_job_is_owned(agents->context, job) &&
                   job->task_states[task->task] == MV_TASK_STATE_PENDING;
    return pending ? adopt_reported_task(agents, machine, job, task) : NULL;
}

static void mark_reported(mv_machine *machine, mv_placement *placement)
{
    if (!placement->reported && !placement->adopted)
        mv_machine_command_delivered(machine);
    placement->reported = true;
    placement->launch_unanswered = false;
}

static void reconcile_active_task(mv_agents *agents, mv_machine *machine, mv_job *job,
                                  const mv_reported_task *task, GArray *commands)
{
    const mv_context *context = agents->context;
    mv_placement *placement = match_active_task(agents, machine, job, task);
    /* No placement matches the reported task if the job has ended, if another attempt of the task
     * is placed, or if the task is done already. The agent must then stop the task. */
    if (!placement) {
        machine->unknown_tasks++;
        mv_command_append(commands, MV_COMMAND_STOP, task, 0);
        return;
    }
    mark_reported(machine, placement);
    if (!job)
        return; /* the placement outlived its job; the answer stops the task (lease_renewal.h) */
    if (task->phase != MV_TASK_FETCHING_IMAGE && placement->running_at == 0) {
        placement->running_at = context->clock.now;
        job->tasks_running++;
        mv_machine_touch_image(context, machine, job);
    }
    if (placement->stopping && task->phase != MV_TASK_SAVING)
        mv_command_append_stop(commands, placement);
}

/* --- one heartbeat --- */

/* Handles a newer heartbeat under an older fencing token. The response gives the agent the current
 * token, and the agent at once sends another heartbeat, which lists its tasks under that token. So
 * the machines of a large shard, which all report at the same time after a failover, are not probed
 * as well. */
static void apply_old_token(mv_agents *agents, mv_machine *machine)
{
    if (machine->shard->machine_count <= MV_HEALTH_CHECK_MIN)
        mv_machine_request_command(agents, machine);
    machine->fenced_response_at = agents->context->clock.now;
}

static void renew_liveness(const mv_context *context, mv_machine *machine,
                           const mv_heartbeat *heartbeat)
{
    const double now = context->clock.now;
    machine->last_heartbeat_at = now;
    machine->commands_failed = machine->probes_failed = 0;
    machine->shard->last_heartbeat_at = now;
    g_strlcpy(machine->address, heartbeat->address, sizeof machine->address);
    machine->reclaim_at = heartbeat->reclaim_notice_s >= 0 ? now + heartbeat->reclaim_notice_s : 0;
    if (!machine->confirmed)
        mv_machine_command_delivered(machine);
    machine->failed = mv_machine_commands_unreachable(context, machine);
}

/* Forgets launches without an answer: the agent has seen a higher fencing token than that of every
 * command with a launch, and so rejects these commands. */
static void forget_uncertain_launches(mv_machine *machine)
{
    g_hash_table_remove_all(machine->uncertain_attempts);
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        placement->launch_unanswered = placement->launch_sent = false;
    }
}

static void confirm_under_current_token(mv_machine *machine)
{
    forget_uncertain_launches(machine);
    if (!machine->occupied)
        mv_shard_segment(machine->shard, machine->segment)->unrecorded_count++;
    machine->confirmed = true;
}

static void reconcile_reported_tasks(mv_agents *agents, mv_machine *machine,
                                     const mv_heartbeat *heartbeat, GArray *commands)
{
    const mv_context *context = agents->context;
    guint before = commands->len;
    machine->unknown_tasks = 0;
    machine->clears_exited = should_clear_exited(context, machine, heartbeat) &&
                             mv_launch_fence_can_clear(context, machine);
    for (size_t i = 0; i < heartbeat->task_count; i++) {
        const mv_reported_task *task = &heartbeat->tasks[i];
        mv_job *job = mv_job_table_find(agents->jobs, task->job_id);
        if (job && (task->task >= job->spec.tasks || !mv_job_is_owned(context, job)))
            job = NULL;
        if (task->phase == MV_TASK_EXITED)
            reconcile_exited_task(agents, machine, job, task, commands);
        else
            reconcile_active_task(agents, machine, job, task, commands);
    }
    if (machine->clears_exited && commands->len > before)
        machine->last_clear_at = context->clock.now;
}

/* Starts the machine's idle time at its first heartbeat under the current fencing token. When the
 * boot counted as idle time, a machine that booted slowly was returned to the cloud seconds after
 * the boot. */
static void start_idle_time(mv_context *context, mv_machine *machine, size_t task_count)
{
    machine->idle_since = context->clock.now;
    context->round_requested = true;
    mv_debug("machine_confirmed", "machine=%s tasks=%zu", machine->id, task_count);
}

void mv_heartbeat_apply(mv_agents *agents, mv_machine *machine, const mv_heartbeat *heartbeat,
                        mv_heartbeat_order order, GArray *commands)
{
    mv_context *context = agents->context;
    const bool newly_confirmed = !machine->confirmed;
    advance_agent_epoch(agents, machine, heartbeat->agent_epoch);
    machine->sequence = heartbeat->sequence;
    machine->last_sign_at = context->clock.now;
    if (order == MV_HEARTBEAT_OLD_TOKEN) {
        apply_old_token(agents, machine);
        return;
    }
    renew_liveness(context, machine, heartbeat);
    if (newly_confirmed)
        confirm_under_current_token(machine);
    else if (heartbeat->fencing_token > machine->launch_token &&
             g_hash_table_size(machine->uncertain_attempts) > 0)
        forget_uncertain_launches(machine);
    reconcile_reported_tasks(agents, machine, heartbeat, commands);
    mv_missing_tasks_reconcile(agents, machine, heartbeat, commands);
    if (newly_confirmed)
        start_idle_time(context, machine, heartbeat->task_count);
}
