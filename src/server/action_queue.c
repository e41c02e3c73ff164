/**
 * A queue of actions for the threads that execute the actions.
 */
#include "server/action_queue.h"

void mv_action_queue_init(mv_action_queue *queue)
{
    g_queue_init(&queue->actions);
    pthread_cond_init(&queue->available, NULL);
    queue->closed = false;
}

static void free_action(gpointer action)
{
    mv_action_free(action);
}

void mv_action_queue_clear(mv_action_queue *queue)
{
    g_queue_clear_full(&queue->actions, free_action);
    pthread_cond_destroy(&queue->available);
}

void mv_action_queue_put(mv_action_queue *queue, mv_action *action)
{
    g_queue_push_tail(&queue->actions, action);
    pthread_cond_signal(&queue->available);
}

mv_action *mv_action_queue_take(mv_action_queue *queue, pthread_mutex_t *lock)
{
    while (!queue->closed && g_queue_is_empty(&queue->actions))
        pthread_cond_wait(&queue->available, lock);
    return queue->closed ? NULL : g_queue_pop_head(&queue->actions);
}

void mv_action_queue_close(mv_action_queue *queue)
{
    queue->closed = true;
    pthread_cond_broadcast(&queue->available);
}
