/**
 * The threads that send the controller's commands to the agents of machines. command_queues.h
 * describes how commands are distributed over the threads.
 */
#ifndef MV_COMMAND_EXECUTOR_H
#define MV_COMMAND_EXECUTOR_H
#include "config/settings.h"
#include "server/shared_controller.h"
#include "server/thread_group.h"

typedef struct mv_command_executor mv_command_executor;

/** Returns an executor, which the caller frees. The arguments have to outlive the executor. */
mv_command_executor *mv_command_executor_new(const mv_settings *settings,
                                             mv_shared_controller *controller,
                                             mv_thread_group *threads);
/** Frees the executor. Its threads must have been joined before. */
void mv_command_executor_free(mv_command_executor *executor);
/**
 * Starts the MV_COMMAND_THREADS worker threads that machines are assigned to, and enables the
 * command queues to start helper threads when workers are stalled. Returns false if a worker cannot
 * be started. The threads end when the queues are closed.
 */
bool mv_command_executor_start(mv_command_executor *executor);
#endif
