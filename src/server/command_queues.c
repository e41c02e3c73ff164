/**
 * Queues of commands to agents, and helpers for workers that an unresponsive machine stalls.
 */
#include "server/command_queues.h"

#include "server/action_queue.h"
#include "server/clocks.h"

typedef struct {
    mv_action_queue queue;
    double busy_since; /* when the worker took its current command; 0: the worker is idle */
} command_queue;

struct mv_command_queues {
    command_queue queues[MV_COMMAND_WORKERS_MAX]; /* one per worker; helpers' queues stay empty */
    unsigned worker_count;                        /* started workers; 0 until helpers are enabled */
    mv_command_helper_start start_helper;         /* NULL until helpers are enabled */
    void *start_helper_context;
    bool closed;
};

mv_command_queues *mv_command_queues_new(void)
{
    mv_command_queues *queues = g_new0(mv_command_queues, 1);
    for (unsigned i = 0; i < MV_COMMAND_WORKERS_MAX; i++)
        mv_action_queue_init(&queues->queues[i].queue);
    return queues;
}

void mv_command_queues_free(mv_command_queues *queues)
{
    for (unsigned i = 0; i < MV_COMMAND_WORKERS_MAX; i++)
        mv_action_queue_clear(&queues->queues[i].queue);
    g_free(queues);
}

void mv_command_queues_enable_helpers(mv_command_queues *queues,
                                      mv_command_helper_start start_helper, void *context)
{
    queues->worker_count = MV_COMMAND_THREADS;
    queues->start_helper = start_helper;
    queues->start_helper_context = context;
}

/* Returns whether the queue's worker is stalled: busy with one command for at least
 * MV_COMMAND_QUEUE_SLOW_S. */
static bool is_stalled(const command_queue *queue)
{
    return queue->busy_since > 0 &&
           mv_monotonic_now() >= queue->busy_since + MV_COMMAND_QUEUE_SLOW_S;
}

/* Wakes one idle worker, which then takes a command from a stalled worker's queue. Returns false if
 * no worker is idle. */
static bool wake_idle_worker(mv_command_queues *queues)
{
    for (unsigned i = 0; i < queues->worker_count; i++)
        if (queues->queues[i].busy_since == 0) {
            pthread_cond_signal(&queues->queues[i].queue.available);
            return true;
        }
    return false;
}

/* Starts one more helper if helpers are enabled, the queues are open and fewer than
 * MV_COMMAND_WORKERS_MAX workers run. Without helpers, the workers waited half a second for each of
 * hundreds of dead machines, which delayed a failover by 30 s. */
static void add_helper(mv_command_queues *queues)
{
    const bool allowed =
        queues->start_helper && !queues->closed && queues->worker_count < MV_COMMAND_WORKERS_MAX;
    if (allowed && queues->start_helper(queues->start_helper_context, queues->worker_count))
        queues->worker_count++;
}

void mv_command_queues_put(mv_command_queues *queues, mv_action *command)
{
    command_queue *own = &queues->queues[g_str_hash(command->machine) % MV_COMMAND_THREADS];
    mv_action_queue_put(&own->queue, command);
    if (is_stalled(own) && !wake_idle_worker(queues))
        add_helper(queues);
}

/* Removes and returns the oldest command in the queue of the first stalled worker whose queue is
 * not empty. Returns NULL if no stalled worker has a command in its queue. */
static mv_action *take_from_stalled_queue(mv_command_queues *queues)
{
    mv_action *command = NULL;
    for (unsigned i = 0; i < MV_COMMAND_THREADS && !command; i++)
        if (is_stalled(&queues->queues[i]))
            command = g_queue_pop_head(&queues->queues[i].queue.actions);
    return command;
}

mv_action *mv_command_queues_take(mv_command_queues *queues, unsigned worker, pthread_mutex_t *lock)
{
    command_queue *own = &queues->queues[worker];
    mv_action *command = NULL;
    own->busy_since = 0;
    while (!queues->closed) {
        command = g_queue_pop_head(&own->queue.actions);
        if (!command)
            command = take_from_stalled_queue(queues);
        if (command)
            break;
        pthread_cond_wait(&own->queue.available, lock);
    }
    own->busy_since = command ? mv_monotonic_now() : 0;
    return command;
}

void mv_command_queues_close(mv_command_queues *queues)
{
    queues->closed = true;
    for (unsigned i = 0; i < MV_COMMAND_WORKERS_MAX; i++)
        mv_action_queue_close(&queues->queues[i].queue);
}
