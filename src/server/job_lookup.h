/**
 * Lookup of a job's current state. The result is never older than a response that any controller
 * has given before the call: a final state never changes, and every other state is read from the
 * state service, or from a cache that has caught up with the state service since the call.
 */
#ifndef MV_JOB_LOOKUP_H
#define MV_JOB_LOOKUP_H
#include "server/request.h"

/** What this controller knows about a job. */
typedef enum {
    MV_JOB_ACTIVE, /* the job has a live record */
    MV_JOB_FINAL,  /* the job has ended */
    /* The job was cancelled without its owner's acknowledgement, and the owner may still start
     * tasks. No user may be told yet that the job is cancelled. */
    MV_JOB_UNCONFIRMED,
    MV_JOB_UNKNOWN,  /* the job has no record */
    MV_JOB_UNCERTAIN /* the state service gave no answer, or a record is malformed */
} mv_job_state;

/** The result of a lookup. */
typedef struct {
    mv_job_state state;
    uint64_t revision;     /* revision of the live record; set only if `state` is MV_JOB_ACTIVE */
    unsigned tasks;        /* number of the job's tasks; set only if `state` is MV_JOB_ACTIVE */
    unsigned home_shard;   /* shard of the job; set only if `state` is MV_JOB_ACTIVE */
    mv_final_job final;    /* how the job ended; set only if `state` is MV_JOB_FINAL */
    double confirmed_in_s; /* seconds until the state is MV_JOB_FINAL; set only if `state` is
                              MV_JOB_UNCONFIRMED */
} mv_job_lookup;

/**
 * Looks a job up. Takes the controller's lock, and blocks until the state service has answered or
 * the cache has caught up, for which the function waits MV_POLL_WAIT_MAX_S at most. While the state
 * service is out of reach, the function returns at once: MV_JOB_FINAL if the final state is cached,
 * otherwise MV_JOB_UNCERTAIN.
 */
mv_job_lookup mv_job_find(const mv_request_services *services, const char *id);
#endif
