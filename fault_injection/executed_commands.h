/**
 * The direct commands that a machine has executed and answered, for the fault that copies of them
 * arrive late. Not thread-safe: the machine's lock guards the list.
 */
#ifndef MV_EXECUTED_COMMANDS_H
#define MV_EXECUTED_COMMANDS_H
#include "fake_worker.h"

typedef struct mv_executed_commands mv_executed_commands;

/** Returns an empty list, which the caller frees with mv_executed_commands_free. */
mv_executed_commands *mv_executed_commands_new(void);
/** Frees the list. */
void mv_executed_commands_free(mv_executed_commands *executed);
/** Remembers a command with launches; ignores other commands. Takes a reference on `commands`, an
 * array of mv_command. The oldest command is forgotten when there are too many. */
void mv_executed_commands_add(mv_executed_commands *executed, uint64_t fencing_token,
                              uint64_t agent_epoch, GArray *commands);
/**
 * Delivers a copy of each remembered command to the worker. With `only_forgotten`, delivers only
 * the commands that launch an attempt which the worker no longer knows, and removes them.
 */
void mv_executed_commands_repeat(mv_executed_commands *executed, fake_worker *worker,
                                 bool only_forgotten, double now, fake_task_lookup lookup,
                                 void *context);
#endif
