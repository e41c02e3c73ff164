#include "completed_tasks.h"

#include <glib.h>
#include <pthread.h>

struct mv_completed_tasks {
    pthread_mutex_t lock;
    GHashTable *names; /* set of "job/task"; guarded by lock */
};

mv_completed_tasks *mv_completed_tasks_new(void)
{
    mv_completed_tasks *completed = g_new0(mv_completed_tasks, 1);
    pthread_mutex_init(&completed->lock, NULL);
    completed->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return completed;
}

void mv_completed_tasks_free(mv_completed_tasks *completed)
{
    pthread_mutex_destroy(&completed->lock);
    g_hash_table_unref(completed->names);
    g_free(completed);
}

void mv_completed_tasks_add(mv_completed_tasks *completed, const char *job_id, uint32_t task)
{
    char *name = g_strdup_printf("%s/%u", job_id, task);
    pthread_mutex_lock(&completed->lock);
    g_hash_table_add(completed->names, name);
    pthread_mutex_unlock(&completed->lock);
}

bool mv_completed_tasks_contain(mv_completed_tasks *completed, const char *job_id, uint32_t task)
{
    g_autofree char *name = g_strdup_printf("%s/%u", job_id, task);
    pthread_mutex_lock(&completed->lock);
    const bool contained = g_hash_table_contains(completed->names, name);
    pthread_mutex_unlock(&completed->lock);
    return contained;
}
