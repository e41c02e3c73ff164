#include "coordination/agents/lease_renewal.h"

#include "coordination/agents/command_list.h"
#include "coordination/agents/machine.h"
#include "telemetry/log.h"

#include <string.h>

bool mv_job_tasks_must_end(const mv_job *job)
{
    return !SAFETY_CHECK(CANCELLED, job && !job->cancelling);
}

static bool must_end(const mv_agents *agents, const mv_reported_task *task)
{
    return task->phase != MV_TASK_EXITED &&
           mv_job_tasks_must_end(mv_job_table_find(agents->jobs, task->job_id));
}

static bool has_stop(const GArray *commands, const mv_reported_task *task)
{
    for (guint i = 0; i < commands->len; i++) {
        const mv_command *command = &g_array_index(commands, mv_command, i);
        if (command->kind == MV_COMMAND_STOP && command->task == task->task &&
            command->attempt == task->attempt && strcmp(command->job_id, task->job_id) == 0)
            return true;
    }
    return false;
}

static bool lacks_stop(const mv_agents *agents, const mv_reported_task *task,
                       const GArray *commands)
{
    return must_end(agents, task) && !has_stop(commands, task);
}

void mv_lease_renewal_append_stops(const mv_agents *agents, const mv_heartbeat *heartbeat,
                                   GArray *commands)
{
    for (size_t i = 0; i < heartbeat->task_count; i++)
        if (lacks_stop(agents, &heartbeat->tasks[i], commands))
            mv_command_append(commands, MV_COMMAND_STOP, &heartbeat->tasks[i], 0);
}

/* Returns the first task that the answer must stop and does not; NULL: there is none. */
static const mv_reported_task *
find_missing_stop(const mv_agents *agents, const mv_heartbeat *heartbeat, const GArray *commands)
{
    for (size_t i = 0; i < heartbeat->task_count; i++)
        if (lacks_stop(agents, &heartbeat->tasks[i], commands))
            return &heartbeat->tasks[i];
    return NULL;
}

bool mv_lease_renewal_is_safe(mv_agents *agents, const mv_machine *machine,
                              const mv_heartbeat *heartbeat, const GArray *commands)
{
    const mv_context *context = agents->context;
    const mv_reported_task *task = find_missing_stop(agents, heartbeat, commands);
    if (!task)
        return true;
    agents->context->counters.invariant_violations++;
    mv_log_limited(MV_LOG_ERROR, "invariant_violated",
                   "rule=stop_in_answer task=%s/%u machine=%s sequence=%" G_GUINT64_FORMAT
                   " token=%" G_GUINT64_FORMAT " reported_token=%" G_GUINT64_FORMAT
                   " shard=%u cache_age_s=%.2f tasks=%zu commands=%u",
                   task->job_id, task->task, machine->id, heartbeat->sequence,
                   mv_machine_fencing_token(machine), heartbeat->fencing_token,
                   machine->shard->index,
                   mv_lease_session_cache_age(&context->session, &context->clock),
                   heartbeat->task_count, commands->len);
    return false;
}
