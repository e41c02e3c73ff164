#include "coordination/agents/command_list.h"

#include "telemetry/log.h"

GArray *mv_command_list_new(void)
{
    return g_array_new(FALSE, TRUE, sizeof(mv_command));
}

void mv_command_append(GArray *commands, mv_command_kind kind, const mv_reported_task *task,
                       double grace_period_s)
{
    mv_command command = {.kind = kind,
                          .task = task->task,
                          .attempt = task->attempt,
                          .grace_period_s = grace_period_s};
    g_strlcpy(command.job_id, task->job_id, sizeof command.job_id);
    g_array_append_val(commands, command);
}

static mv_reported_task task_of(const mv_placement *placement)
{
    mv_reported_task task = {.task = placement->task, .attempt = placement->attempt};
    g_strlcpy(task.job_id, placement->job_id, sizeof task.job_id);
    return task;
}

void mv_command_append_launch(GArray *commands, const mv_placement *placement)
{
    mv_reported_task task = task_of(placement);
    mv_command_append(commands, MV_COMMAND_LAUNCH, &task, 0);
}

void mv_command_append_stop(GArray *commands, const mv_placement *placement)
{
    const mv_job *job = placement->job;
    bool saves = job && job->spec.checkpoint_interval_s > 0 && !placement->skip_checkpoint;
    mv_reported_task task = task_of(placement);
    mv_command_append(commands, MV_COMMAND_STOP, &task, saves ? job->spec.checkpoint_cost_s : 0);
}

void mv_command_list_log(const GArray *commands, const mv_machine *machine, uint64_t fencing_token,
                         uint64_t command_id)
{
    static const char *const EVENTS[] = {[MV_COMMAND_LAUNCH] = "launch_sent",
                                         [MV_COMMAND_STOP] = "stop_sent",
                                         [MV_COMMAND_CLEAR] = "clear_sent"};
    if (mv_log_current() < MV_LOG_DEBUG)
        return;
    for (guint i = 0; i < commands->len; i++) {
        const mv_command *command = &g_array_index(commands, mv_command, i);
        mv_debug(EVENTS[command->kind],
                 "task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s token=%" G_GUINT64_FORMAT
                 " epoch=%" G_GUINT64_FORMAT " command=%" G_GUINT64_FORMAT,
                 command->job_id, command->task, command->attempt, machine->id, fencing_token,
                 machine->agent_epoch, command_id);
    }
}

char *mv_attempt_key(const char *job_id, uint32_t task, uint64_t attempt)
{
    return g_strdup_printf("%s/%u/%" G_GUINT64_FORMAT, job_id, task, attempt);
}
