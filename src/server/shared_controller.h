/**
 * The controller that the threads of a server share: one lock that guards the controller, and the
 * queues of the actions that the controller has decided.
 *
 * "The controller's lock" in the other headers is the lock of this module. A thread takes the lock
 * with mv_shared_controller_lock and releases it with mv_shared_controller_unlock, which moves the
 * actions that the controller has decided meanwhile to the queues. Threads hold the lock only
 * briefly: no thread blocks on the network, the disk or another thread while it holds the lock.
 *
 * Lock order: the controller's lock before the thread group's lock. A thread that holds the
 * controller's lock takes no other lock of src/server.
 */
#ifndef MV_SHARED_CONTROLLER_H
#define MV_SHARED_CONTROLLER_H
#include "config/settings.h"
#include "coordination/controller.h"
#include "server/command_queues.h"

#include <time.h>

typedef struct mv_shared_controller mv_shared_controller;

/** The queues, by the threads that take from them. Commands have the queues of command_queues.h. */
typedef enum {
    MV_QUEUE_URGENT_TRANSACTIONS,
    /* Deferrable transactions block their thread until the write budget has room for the writes.
     * When they shared a queue with urgent transactions, two deferrable transactions delayed the
     * release of dead machines by two seconds. */
    MV_QUEUE_DEFERRABLE_TRANSACTIONS,
    MV_QUEUE_CLOUD_REQUESTS,
    MV_QUEUE_SHARD_DEMANDS,
    MV_ACTION_QUEUES /* number of queues */
} mv_action_queue_name;

/** Returns a controller with empty queues, which the caller frees. `settings` has to outlive the
 * controller. */
mv_shared_controller *mv_shared_controller_new(const mv_settings *settings);
/** Frees the controller and the actions in the queues. All threads must have ended before. */
void mv_shared_controller_free(mv_shared_controller *shared);

/** Takes the lock. Returns the controller, and in `now` the monotonic time, read under the lock. */
mv_controller *mv_shared_controller_lock(mv_shared_controller *shared, double *now);
/** Moves the actions that the controller has decided to the queues and releases the lock. */
void mv_shared_controller_unlock(mv_shared_controller *shared);
/**
 * Waits for `cond`. The caller holds the lock, which is released during the wait. Returns false if
 * `deadline` (on the monotonic clock) passes first.
 */
bool mv_shared_controller_wait(mv_shared_controller *shared, pthread_cond_t *cond,
                               const struct timespec *deadline);

/**
 * Returns whether the cache of the state service's records is loaded and this controller's session
 * at the state service is certainly alive. Takes the lock.
 */
bool mv_shared_controller_state_reachable(mv_shared_controller *shared);
/**
 * Returns whether an action that waited in a queue is still valid. An executor calls this function
 * right before it executes the action, because a process that was suspended resumes with actions,
 * in its queues and already taken by its threads, that were decided under leases which have expired
 * since. If a command is not valid, this function reports it to the controller as dropped. Takes
 * the lock.
 */
bool mv_shared_controller_action_is_valid(mv_shared_controller *shared, const mv_action *action);

/**
 * Waits for the next action of a queue and returns it; the caller frees the action with
 * mv_action_free. Returns NULL if the server is stopping. Takes the lock.
 */
mv_action *mv_shared_controller_take_action(mv_shared_controller *shared,
                                            mv_action_queue_name queue);
/**
 * Waits for the next command for a worker and returns it, as mv_command_queues_take describes. The
 * caller frees the command with mv_action_free. Takes the lock.
 */
mv_action *mv_shared_controller_take_command(mv_shared_controller *shared, unsigned worker);
/** Enables helpers for the command queues (mv_command_queues_enable_helpers). Takes the lock. */
void mv_shared_controller_enable_command_helpers(mv_shared_controller *shared,
                                                 mv_command_helper_start start_helper,
                                                 void *context);
/** Closes all queues, so that the threads that take actions from them end. Takes the lock. */
void mv_shared_controller_close_queues(mv_shared_controller *shared);
#endif
