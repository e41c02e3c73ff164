/** Lists of commands to an agent: GArray of mv_command. */
#ifndef MV_COMMAND_LIST_H
#define MV_COMMAND_LIST_H
#include "coordination/agents/agents.h"

/** Returns an empty list of commands; the caller unrefs it. */
GArray *mv_command_list_new(void);
/**
 * Appends a command for one attempt of a task; copies the job id, task number and attempt of `task`
 * and reads nothing else of it. `grace_period_s`: seconds that a stopped task has to save
 * a checkpoint. A stop without a checkpoint and all other kinds of commands have 0.
 */
void mv_command_append(GArray *commands, mv_command_kind kind, const mv_reported_task *task,
                       double grace_period_s);
/** Appends the launch of a placed task; copies its job id, task number and attempt. */
void mv_command_append_launch(GArray *commands, const mv_placement *placement);
/**
 * Appends the stop of a placed task. A task with checkpoints gets its checkpoint cost as time to
 * save, unless the placement says to skip the checkpoint.
 */
void mv_command_append_stop(GArray *commands, const mv_placement *placement);
/**
 * Logs each command at the level debug: the attempt, the fencing token and the agent epoch of the
 * message, and the number of the direct command that carries it (0: the answer to a heartbeat).
 */
void mv_command_list_log(const GArray *commands, const mv_machine *machine, uint64_t fencing_token,
                         uint64_t command_id);
/** Returns the key that identifies an attempt of a task; the caller frees it with g_free. */
char *mv_attempt_key(const char *job_id, uint32_t task, uint64_t attempt);
#endif
