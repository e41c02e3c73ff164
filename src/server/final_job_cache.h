/**
 * Cache of the final states of jobs that this controller has read from the state service. A final
 * state never changes, so this controller may answer from the cache without another read.
 *
 * Thread-safe: the cache has a lock of its own and calls no other module while it holds that lock.
 */
#ifndef MV_FINAL_JOB_CACHE_H
#define MV_FINAL_JOB_CACHE_H
#include <stdbool.h>

/** How a job ended. */
typedef struct {
    bool done; /* true: all tasks are done; false: the job was cancelled */
    unsigned tasks;
} mv_final_job;

typedef struct mv_final_job_cache mv_final_job_cache;

/** Returns an empty cache. The caller frees it with mv_final_job_cache_free. */
mv_final_job_cache *mv_final_job_cache_new(void);
/** Frees the cache. The caller makes sure that no thread uses the cache any more. */
void mv_final_job_cache_free(mv_final_job_cache *cache);
/**
 * Copies the final state of the job `id` to `job` and returns true; returns false and leaves `job`
 * unchanged if the cache does not hold that state.
 */
bool mv_final_job_cache_get(mv_final_job_cache *cache, const char *id, mv_final_job *job);
/**
 * Adds a final state, which is copied. A cache that holds MV_FINAL_CACHE_JOBS states is emptied
 * first; no state is lost, because the state service holds all final states.
 */
void mv_final_job_cache_put(mv_final_job_cache *cache, const char *id, const mv_final_job *job);
#endif
