/**
 * The queues of commands to the agents of machines, one for each worker thread.
 *
 * All commands to one machine go to the same worker, which keeps a connection to that machine open,
 * because opening a new connection costs five times as much as the request itself. If a machine
 * that responds slowly or not at all stalls its worker, idle workers take commands from that
 * worker's queue. If no worker is idle, a helper is started: a worker that no machine is assigned
 * to.
 *
 * Locks: the controller's lock (shared_controller.h) guards the queues. The caller has to hold that
 * lock for every function except mv_command_queues_new and mv_command_queues_free.
 */
#ifndef MV_COMMAND_QUEUES_H
#define MV_COMMAND_QUEUES_H
#include "coordination/controller.h"

#include <pthread.h>

/**
 * The largest number of workers. The MV_COMMAND_THREADS workers with assigned machines have the
 * first indexes; the helpers have the rest.
 */
#define MV_COMMAND_WORKERS_MAX (MV_COMMAND_THREADS + MV_COMMAND_EXTRA_THREADS)

typedef struct mv_command_queues mv_command_queues;

/**
 * Starts the thread of the helper whose index is `worker`. Called with the controller's lock held.
 * Returns false if the thread cannot be started.
 */
typedef bool (*mv_command_helper_start)(void *context, unsigned worker);

/** Returns empty queues without workers. The caller frees them with mv_command_queues_free. */
mv_command_queues *mv_command_queues_new(void);
/** Frees the queues and the commands in them. No worker may use the queues any more. */
void mv_command_queues_free(mv_command_queues *queues);

/**
 * Records that the first MV_COMMAND_THREADS workers have been started. From this call on, the
 * queues start helpers with `start_helper`; before, they start no helper and wake no idle worker to
 * help.
 */
void mv_command_queues_enable_helpers(mv_command_queues *queues,
                                      mv_command_helper_start start_helper, void *context);
/**
 * Appends a command to the queue of its machine's worker. The queues take ownership of the command.
 * If that worker is stalled, an idle worker is woken or, if no worker is idle, a helper is started.
 */
void mv_command_queues_put(mv_command_queues *queues, mv_action *command);
/**
 * Marks the worker as idle and waits for its next command: the oldest of its own queue or, if that
 * queue is empty, of a stalled worker's queue. Returns the command, which the caller owns,
 * or NULL if the queues are closed. `lock` is the controller's lock, which the caller holds and
 * which is released during the wait.
 */
mv_action *mv_command_queues_take(mv_command_queues *queues, unsigned worker,
                                  pthread_mutex_t *lock);
/** Closes the queues and wakes all workers. Afterwards mv_command_queues_take returns NULL. */
void mv_command_queues_close(mv_command_queues *queues);
#endif
