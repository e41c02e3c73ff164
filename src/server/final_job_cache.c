/**
 * Cache of the final states of jobs: a hash table under a lock.
 */
#include "server/final_job_cache.h"

#include "constants.h"

#include <glib.h>
#include <pthread.h>

struct mv_final_job_cache {
    pthread_mutex_t lock; /* protects `jobs` */
    GHashTable *jobs;     /* char * (job id) -> mv_final_job * */
};

mv_final_job_cache *mv_final_job_cache_new(void)
{
    mv_final_job_cache *cache = g_new0(mv_final_job_cache, 1);
    pthread_mutex_init(&cache->lock, NULL);
    cache->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return cache;
}

void mv_final_job_cache_free(mv_final_job_cache *cache)
{
    g_hash_table_unref(cache->jobs);
    pthread_mutex_destroy(&cache->lock);
    g_free(cache);
}

bool mv_final_job_cache_get(mv_final_job_cache *cache, const char *id, mv_final_job *job)
{
    pthread_mutex_lock(&cache->lock);
    const mv_final_job *cached = g_hash_table_lookup(cache->jobs, id);
    if (cached)
        *job = *cached;
    pthread_mutex_unlock(&cache->lock);
    return cached != NULL;
}

void mv_final_job_cache_put(mv_final_job_cache *cache, const char *id, const mv_final_job *job)
{
    pthread_mutex_lock(&cache->lock);
    if (g_hash_table_size(cache->jobs) >= MV_FINAL_CACHE_JOBS)
        g_hash_table_remove_all(cache->jobs);
    g_hash_table_replace(cache->jobs, g_strdup(id), g_memdup2(job, sizeof *job));
    pthread_mutex_unlock(&cache->lock);
}
