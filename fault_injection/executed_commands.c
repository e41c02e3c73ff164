#include "executed_commands.h"

#include <string.h>

#define REMEMBERED_MAX 64

typedef struct {
    uint64_t fencing_token, agent_epoch;
    GArray *commands; /* mv_command */
} executed_command;

struct mv_executed_commands {
    GPtrArray *list; /* executed_command, oldest first */
};

static void executed_command_free(gpointer data)
{
    executed_command *command = data;
    g_array_unref(command->commands);
    g_free(command);
}

mv_executed_commands *mv_executed_commands_new(void)
{
    mv_executed_commands *executed = g_new0(mv_executed_commands, 1);
    executed->list = g_ptr_array_new_with_free_func(executed_command_free);
    return executed;
}

void mv_executed_commands_free(mv_executed_commands *executed)
{
    g_ptr_array_unref(executed->list);
    g_free(executed);
}

static bool has_launch(const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++)
        if (g_array_index(commands, mv_command, i).kind == MV_COMMAND_LAUNCH)
            return true;
    return false;
}

void mv_executed_commands_add(mv_executed_commands *executed, uint64_t fencing_token,
                              uint64_t agent_epoch, GArray *commands)
{
    if (!has_launch(commands))
        return;
    if (executed->list->len == REMEMBERED_MAX)
        g_ptr_array_remove_index(executed->list, 0);
    executed_command *command = g_new0(executed_command, 1);
    command->fencing_token = fencing_token;
    command->agent_epoch = agent_epoch;
    command->commands = g_array_ref(commands);
    g_ptr_array_add(executed->list, command);
}

static bool knows_attempt(const fake_worker *worker, const mv_command *command)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        const fake_task *task = g_ptr_array_index(worker->tasks, i);
        if (task->task == command->task && task->attempt == command->attempt &&
            strcmp(task->job_id, command->job_id) == 0)
            return true;
    }
    return false;
}

static bool launches_forgotten_attempt(const fake_worker *worker, const executed_command *executed)
{
    for (guint i = 0; i < executed->commands->len; i++) {
        const mv_command *command = &g_array_index(executed->commands, mv_command, i);
        if (command->kind == MV_COMMAND_LAUNCH && !knows_attempt(worker, command))
            return true;
    }
    return false;
}

void mv_executed_commands_repeat(mv_executed_commands *executed, fake_worker *worker,
                                 bool only_forgotten, double now, fake_task_lookup lookup,
                                 void *context)
{
    for (guint i = executed->list->len; i-- > 0;) {
        const executed_command *command = g_ptr_array_index(executed->list, i);
        if (only_forgotten && !launches_forgotten_attempt(worker, command))
            continue;
        fake_worker_receive_command(worker, command->fencing_token, command->agent_epoch,
                                    command->commands, now, lookup, context);
        if (only_forgotten)
            g_ptr_array_remove_index(executed->list, i);
    }
}
