/** The simulated machines of the fixture. A machine executes each command at once. The test ends if
 * a task is launched while it already runs. */
#include "controller_fixture.h"

#include <string.h>

/* Seconds between the reclaim notice in a heartbeat and the time when the cloud takes the machine.
 */
#define RECLAIM_NOTICE_S 15
#define NO_RECLAIM_NOTICE (-1)
#define AGENT_EPOCH 1

/* --- commands --- */

/* Returns the command's task in the machine's list and sets `position` to its index. Returns NULL
 * and leaves `position` as it is if the machine never had the task or has cleared it. */
static mv_reported_task *find_task(const controller_fixture *fixture, unsigned index,
                                   const mv_command *command, guint *position)
{
    GArray *tasks = fixture->tasks[index];
    mv_reported_task *found = NULL;
    for (guint i = 0; i < tasks->len; i++) {
        mv_reported_task *task = &g_array_index(tasks, mv_reported_task, i);
        if (task->task != command->task || strcmp(task->job_id, command->job_id) != 0)
            continue;
        found = task;
        *position = i;
    }
    return found;
}

static void launch(controller_fixture *fixture, unsigned index, const mv_command *command,
                   const char *task_name)
{
    mv_reported_task task = {
        .task = command->task, .attempt = command->attempt, .phase = MV_TASK_RUNNING};
    g_strlcpy(task.job_id, command->job_id, sizeof task.job_id);
    g_array_append_val(fixture->tasks[index], task);
    fixture->launches++;
    if (g_hash_table_contains(fixture->running_tasks, task_name))
        g_error("ran_twice %s", task_name);
    g_hash_table_insert(fixture->running_tasks, g_strdup(task_name),
                        g_memdup2(&fixture->now, sizeof fixture->now));
    if (fixture->watched && strcmp(command->job_id, fixture->watched) == 0 &&
        fixture->first_start == 0)
        fixture->first_start = fixture->now;
}

static void end_task(controller_fixture *fixture, mv_reported_task *task, mv_exit_reason reason,
                     const char *task_name)
{
    task->phase = MV_TASK_EXITED;
    task->exit_reason = reason;
    g_hash_table_remove(fixture->running_tasks, task_name);
}

static void execute_command(controller_fixture *fixture, unsigned index, const mv_command *command)
{
    guint position = 0;
    mv_reported_task *task = find_task(fixture, index, command, &position);
    g_autofree char *task_name = g_strdup_printf("%s/%u", command->job_id, command->task);
    if (command->kind == MV_COMMAND_LAUNCH && !task) {
        launch(fixture, index, command, task_name);
    } else if (command->kind == MV_COMMAND_STOP && task) {
        fixture->stops++;
        fixture->last_grace_period_s = command->grace_period_s;
        end_task(fixture, task, MV_EXIT_STOPPED, task_name);
    } else if (command->kind == MV_COMMAND_CLEAR && task) {
        g_array_remove_index(fixture->tasks[index], position);
    }
}

void fixture_execute_commands(controller_fixture *fixture, unsigned index, const GArray *commands)
{
    for (guint i = 0; commands && i < commands->len; i++)
        execute_command(fixture, index, &g_array_index(commands, mv_command, i));
}

/* --- heartbeats --- */

static void complete_due_tasks(controller_fixture *fixture, unsigned index)
{
    for (guint i = 0; fixture->run_s > 0 && i < fixture->tasks[index]->len; i++) {
        mv_reported_task *task = &g_array_index(fixture->tasks[index], mv_reported_task, i);
        g_autofree char *task_name = g_strdup_printf("%s/%u", task->job_id, task->task);
        const double *started_at = g_hash_table_lookup(fixture->running_tasks, task_name);
        const bool is_running = task->phase != MV_TASK_EXITED && started_at;
        if (is_running && fixture->now >= *started_at + fixture->run_s)
            end_task(fixture, task, MV_EXIT_DONE, task_name);
    }
}

void fixture_heartbeat(controller_fixture *fixture, unsigned index, mv_heartbeat *heartbeat)
{
    const GArray *tasks = fixture->tasks[index];
    const bool is_big = index % FIXTURE_SEGMENT_MACHINES % 4 == 0;
    const bool is_reclaimed = fixture->reclaimed_machine == index + 1;
    complete_due_tasks(fixture, index);
    *heartbeat = (mv_heartbeat){.spot = true, .agent_epoch = AGENT_EPOCH};
    fixture_machine_id(index, heartbeat->machine, sizeof heartbeat->machine);
    g_snprintf(heartbeat->address, sizeof heartbeat->address, FIXTURE_ADDRESS_FORMAT,
               FIXTURE_FIRST_PORT + index);
    g_strlcpy(heartbeat->type_name, is_big ? "big" : "small", sizeof heartbeat->type_name);
    g_strlcpy(heartbeat->zone_name, "z", sizeof heartbeat->zone_name);
    heartbeat->sequence = ++fixture->sequences[index];
    heartbeat->fencing_token = fixture->fencing_tokens[index];
    heartbeat->reclaim_notice_s = is_reclaimed ? RECLAIM_NOTICE_S : NO_RECLAIM_NOTICE;
    heartbeat->task_count = tasks->len;
    heartbeat->tasks = g_new0(mv_reported_task, tasks->len + 1);
    if (tasks->len)
        memcpy(heartbeat->tasks, tasks->data, tasks->len * sizeof(mv_reported_task));
}

unsigned fixture_running_tasks(const controller_fixture *fixture, unsigned index)
{
    unsigned running = 0;
    for (guint i = 0; i < fixture->tasks[index]->len; i++)
        running +=
            g_array_index(fixture->tasks[index], mv_reported_task, i).phase == MV_TASK_RUNNING;
    return running;
}
