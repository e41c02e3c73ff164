/**
 * A queue of actions that the controller has decided and that wait for a thread to execute them.
 *
 * Locks: a queue has no lock of its own; the controller's lock (shared_controller.h) guards the
 * queue. The caller has to hold that lock for every function except mv_action_queue_init and
 * mv_action_queue_clear. The queue owns its actions.
 */
#ifndef MV_ACTION_QUEUE_H
#define MV_ACTION_QUEUE_H
#include "coordination/controller.h"

#include <pthread.h>

/** A queue of actions for the threads that execute them. The controller's lock guards the queue. */
typedef struct {
    GQueue actions;           /* mv_action * */
    pthread_cond_t available; /* signalled when an action was added or the queue closed */
    bool closed;
} mv_action_queue;

/** Initializes an empty, open queue. */
void mv_action_queue_init(mv_action_queue *queue);
/** Frees the actions in the queue. No thread may wait for the queue any more. */
void mv_action_queue_clear(mv_action_queue *queue);
/** Appends an action, of which the queue takes ownership, and wakes one waiting thread. */
void mv_action_queue_put(mv_action_queue *queue, mv_action *action);
/**
 * Waits for the next action and returns it; the caller owns the action. Returns NULL if the queue
 * is closed, even if actions are left in it. `lock` is the controller's lock, which the caller
 * holds and which is released during the wait.
 */
mv_action *mv_action_queue_take(mv_action_queue *queue, pthread_mutex_t *lock);
/** Closes the queue and wakes all waiting threads. Afterwards mv_action_queue_take returns NULL. */
void mv_action_queue_close(mv_action_queue *queue);
#endif
