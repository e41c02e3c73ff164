/**
 * Start, interruptible sleep, stop and join of the server's threads.
 */
#include "server/thread_group.h"

#include "constants.h"
#include "server/clocks.h"
#include "transport/threads.h"

#include <glib.h>
#include <pthread.h>

typedef struct {
    pthread_t id;
    mv_thread_function function;
    void *context;
} thread;

struct mv_thread_group {
    pthread_mutex_t lock;     /* protects `stopping` and `threads` */
    pthread_cond_t stop_cond; /* broadcast when `stopping` is set */
    bool stopping;
    GPtrArray *threads; /* thread *; all threads that were started */
};

mv_thread_group *mv_thread_group_new(void)
{
    mv_thread_group *group = g_new0(mv_thread_group, 1);
    pthread_mutex_init(&group->lock, NULL);
    mv_monotonic_cond_init(&group->stop_cond);
    group->threads = g_ptr_array_new_with_free_func(g_free);
    return group;
}

void mv_thread_group_free(mv_thread_group *group)
{
    g_ptr_array_unref(group->threads);
    pthread_cond_destroy(&group->stop_cond);
    pthread_mutex_destroy(&group->lock);
    g_free(group);
}

static void *run_thread(void *context)
{
    const thread *self = context;
    self->function(self->context);
    return NULL;
}

static bool create_thread(thread *new_thread)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, MV_THREAD_STACK_BYTES);
    const int error = pthread_create(&new_thread->id, &attributes, run_thread, new_thread);
    pthread_attr_destroy(&attributes);
    return error == 0;
}

bool mv_thread_group_start(mv_thread_group *group, mv_thread_function function, void *context)
{
    g_autofree thread *new_thread = g_new0(thread, 1);
    new_thread->function = function;
    new_thread->context = context;
    pthread_mutex_lock(&group->lock);
    const bool started = !group->stopping && create_thread(new_thread);
    if (started)
        g_ptr_array_add(group->threads, g_steal_pointer(&new_thread));
    pthread_mutex_unlock(&group->lock);
    return started;
}

bool mv_thread_group_sleep(mv_thread_group *group, double seconds)
{
    const struct timespec deadline = mv_monotonic_deadline(seconds);
    pthread_mutex_lock(&group->lock);
    int result = 0;
    while (!group->stopping && result == 0)
        result = pthread_cond_timedwait(&group->stop_cond, &group->lock, &deadline);
    const bool stopping = group->stopping;
    pthread_mutex_unlock(&group->lock);
    return !stopping;
}

bool mv_thread_group_is_stopping(mv_thread_group *group)
{
    pthread_mutex_lock(&group->lock);
    const bool stopping = group->stopping;
    pthread_mutex_unlock(&group->lock);
    return stopping;
}

void mv_thread_group_stop(mv_thread_group *group)
{
    pthread_mutex_lock(&group->lock);
    group->stopping = true;
    pthread_cond_broadcast(&group->stop_cond);
    pthread_mutex_unlock(&group->lock);
}

void mv_thread_group_join(mv_thread_group *group)
{
    /* A stopping group starts no threads, so the list no longer changes and is read without the
     * lock. The lock must not be held here, because threads may take the lock before they return.
     */
    for (guint i = 0; i < group->threads->len; i++) {
        const thread *ended = g_ptr_array_index(group->threads, i);
        pthread_join(ended->id, NULL);
    }
}
