/**
 * The controller, the lock that guards it, and the queues of the actions that it has decided.
 */
#include "server/shared_controller.h"

#include "server/action_queue.h"
#include "server/clocks.h"
#include "telemetry/log.h"

struct mv_shared_controller {
    pthread_mutex_t lock; /* guards the fields below */
    mv_controller *controller;
    mv_action_queue queues[MV_ACTION_QUEUES];
    mv_command_queues *commands;
};

mv_shared_controller *mv_shared_controller_new(const mv_settings *settings)
{
    mv_shared_controller *shared = g_new0(mv_shared_controller, 1);
    pthread_mutex_init(&shared->lock, NULL);
    shared->controller = mv_controller_new(settings);
    for (int i = 0; i < MV_ACTION_QUEUES; i++)
        mv_action_queue_init(&shared->queues[i]);
    shared->commands = mv_command_queues_new();
    return shared;
}

void mv_shared_controller_free(mv_shared_controller *shared)
{
    for (int i = 0; i < MV_ACTION_QUEUES; i++)
        mv_action_queue_clear(&shared->queues[i]);
    mv_command_queues_free(shared->commands);
    mv_controller_free(shared->controller);
    pthread_mutex_destroy(&shared->lock);
    g_free(shared);
}

/* --- lock --- */

mv_controller *mv_shared_controller_lock(mv_shared_controller *shared, double *now)
{
    pthread_mutex_lock(&shared->lock);
    *now = mv_monotonic_now();
    return shared->controller;
}

/* Returns the queue for an action of any kind but MV_ACTION_COMMAND. */
static mv_action_queue_name queue_of(const mv_action *action)
{
    switch (action->kind) {
    case MV_ACTION_TRANSACTION:
        return action->urgent ? MV_QUEUE_URGENT_TRANSACTIONS : MV_QUEUE_DEFERRABLE_TRANSACTIONS;
    case MV_ACTION_PUBLISH_DEMAND:
        return MV_QUEUE_SHARD_DEMANDS;
    default:
        return MV_QUEUE_CLOUD_REQUESTS;
    }
}

void mv_shared_controller_unlock(mv_shared_controller *shared)
{
    mv_action *action;
    while ((action = mv_controller_next_action(shared->controller))) {
        if (action->kind == MV_ACTION_COMMAND)
            mv_command_queues_put(shared->commands, action);
        else
            mv_action_queue_put(&shared->queues[queue_of(action)], action);
    }
    pthread_mutex_unlock(&shared->lock);
}

bool mv_shared_controller_wait(mv_shared_controller *shared, pthread_cond_t *cond,
                               const struct timespec *deadline)
{
    return pthread_cond_timedwait(cond, &shared->lock, deadline) == 0;
}

/* --- queries --- */

bool mv_shared_controller_state_reachable(mv_shared_controller *shared)
{
    double now;
    const mv_controller *controller = mv_shared_controller_lock(shared, &now);
    const bool reachable = mv_controller_state_reachable(controller, now);
    mv_shared_controller_unlock(shared);
    return reachable;
}

bool mv_shared_controller_action_is_valid(mv_shared_controller *shared, const mv_action *action)
{
    double now;
    mv_controller *controller = mv_shared_controller_lock(shared, &now);
    const bool valid = mv_controller_action_is_valid(controller, now, action);
    if (!valid && action->kind == MV_ACTION_COMMAND)
        mv_controller_command_dropped(controller, now, action->id);
    mv_shared_controller_unlock(shared);
    if (!valid)
        mv_log_limited(MV_LOG_INFO, "action_expired", "kind=%d machine=%s", action->kind,
                       action->machine);
    return valid;
}

/* --- queues --- */

mv_action *mv_shared_controller_take_action(mv_shared_controller *shared,
                                            mv_action_queue_name queue)
{
    pthread_mutex_lock(&shared->lock);
    mv_action *action = mv_action_queue_take(&shared->queues[queue], &shared->lock);
    pthread_mutex_unlock(&shared->lock);
    return action;
}

mv_action *mv_shared_controller_take_command(mv_shared_controller *shared, unsigned worker)
{
    pthread_mutex_lock(&shared->lock);
    mv_action *command = mv_command_queues_take(shared->commands, worker, &shared->lock);
    pthread_mutex_unlock(&shared->lock);
    return command;
}

void mv_shared_controller_enable_command_helpers(mv_shared_controller *shared,
                                                 mv_command_helper_start start_helper,
                                                 void *context)
{
    pthread_mutex_lock(&shared->lock);
    mv_command_queues_enable_helpers(shared->commands, start_helper, context);
    pthread_mutex_unlock(&shared->lock);
}

void mv_shared_controller_close_queues(mv_shared_controller *shared)
{
    pthread_mutex_lock(&shared->lock);
    for (int i = 0; i < MV_ACTION_QUEUES; i++)
        mv_action_queue_close(&shared->queues[i]);
    mv_command_queues_close(shared->commands);
    pthread_mutex_unlock(&shared->lock);
}
