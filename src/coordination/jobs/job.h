/**
 * Live jobs and the states of their tasks.
 *
 * A job is created when the job's record appears in the state cache, and removed when the record
 * disappears. A task is PENDING until the scheduler places it, PLACED while it is on a machine,
 * DONE when a machine or a peer has reported its completion, and RECORDED when the state cache
 * shows the completion. The task counts of a job always agree with the states of its tasks.
 */
#ifndef MV_JOB_H
#define MV_JOB_H
#include "connectivity/completions.h"
#include "coordination/foundation/context.h"

/** The state of a task. */
typedef enum {
    MV_TASK_STATE_PENDING, /**< the task may be placed */
    MV_TASK_STATE_PLACED,  /**< the task is on a machine, or its launch may be in flight */
    MV_TASK_STATE_DONE,    /**< the task has completed; its completion is not recorded yet */
    MV_TASK_STATE_RECORDED /**< the task has completed, and its completion is recorded */
} mv_task_state;

/**
 * A live job, owned by the job table. Placements point to the job; the caller clears these pointers
 * before it removes the job. Times are seconds of the monotonic clock; this includes `accepted_at`,
 * which the job's record holds as wall time.
 */
typedef struct {
    mv_job_spec spec;
    uint64_t revision;
    double accepted_at;
    mv_team *team;         /**< the job's team; NULL if the settings do not name it */
    mv_shard *home_shard;  /**< the shard named in the job's record; its owner owns the job */
    unsigned image;        /**< number of the job's image within this process */
    GArray *tasks_in_zone; /**< unsigned; number of the job's placed tasks, indexed by zone */
    uint32_t type_mask;    /**< one bit for each machine type that can run the job's tasks; valid
                              while type_mask_source is the catalog's list of types */
    const GArray *type_mask_source;
    /* objectives of the job's class */
    bool latency_sensitive;   /**< the class has a start objective, and the job is no service */
    double start_objective_s; /**< within this time the job should start; G_MAXDOUBLE: no limit */
    double deadline_at;       /**< the job's own deadline or that of its class, the earlier one */
    /* tasks */
    uint8_t *task_states; /**< the mv_task_state of each task */
    GArray *pending;      /**< uint32_t; numbers of the pending tasks; the scheduler places the last
                             entry first */
    double ready_at;      /**< when the oldest pending task became ready */
    double last_placed_at; /**< when a task of the job was last placed */
    unsigned tasks_done, tasks_recorded, tasks_placed, tasks_running;
    unsigned failures; /**< consecutive failures of the job's tasks */
    double backoff_until;
    double runtime_sum_s; /**< total run time of the `runtime_samples` completed tasks measured */
    unsigned runtime_samples;
    /* records */
    unsigned tasks_per_chunk; /**< tasks in each completion record that this controller writes */
    unsigned chunk_count;
    bool *chunk_dirty;           /**< for each completion record: whether it has to be written */
    GHashTable *chunk_revisions; /**< chunk name, as in the record's key, -> revision; holds every
                                    completion record of the job */
    bool completing; /**< the transaction that ends the job was sent and is not repeated yet */
    uint64_t completing_transaction; /**< the transaction that ends the job; 0: none in flight */
    double last_flush_at;
    unsigned recorded_running; /**< number of running tasks according to a completion record */
    /* cancellation */
    bool cancelling; /**< a user cancels the job: none of its tasks is launched any more */
    double cancelling_since;
    bool cancellation_recorded; /**< the job's record says that a user cancels the job */
    /* written by the scheduler in its rounds */
    bool guaranteed;             /**< the job is within the guaranteed cores of its team */
    bool deadline_unreachable;   /**< a task started now would end after the deadline */
    bool counted_in_usual_size;  /**< the team's latency_sensitive_job_cores include the job */
    unsigned starvation_level;   /**< precedence for the job's age: 0 none, 1 over jobs of the same
                                    guarantee and priority, 2 over all jobs except
                                    services for which mv_job_precedes_all is true */
    double pending_core_seconds; /**< estimated work of the pending tasks */
    double next_preemption_at;   /**< before this time, no task is preempted for the job */
} mv_job;

/** All live jobs. */
typedef struct {
    mv_context *context;
    GHashTable *by_id;           /**< job id -> mv_job, owned */
    GHashTable *orphaned_chunks; /**< "job id/chunk name" -> revision, for completion records
                                    without a live job */
    GHashTable *completing;      /**< id of a transaction that ends a job -> mv_job, not owned */
    GHashTable *images;          /**< image name -> its number within this process */
    GHashTable *estimates;       /**< class name -> runtime estimate of the class */
    mv_transaction_slot flush_transaction, gc_transaction;
    mv_unrecorded_completions *unrecorded; /**< NULL if the launch gate is off */
} mv_job_table;

/**
 * Initializes a table without jobs. `context` is borrowed and must outlive the table. The caller
 * releases the table's contents with mv_job_table_clear.
 */
void mv_job_table_init(mv_job_table *jobs, mv_context *context);
/** Frees all jobs and everything else that the table owns, but not `jobs` itself. */
void mv_job_table_clear(mv_job_table *jobs);
/** Returns the live job with this id, or NULL. */
mv_job *mv_job_table_find(const mv_job_table *jobs, const char *id);
/**
 * Adds a job and returns it. The job takes over everything that `spec` owns. `accepted_at` is wall
 * time in seconds.
 */
mv_job *mv_job_add(mv_job_table *jobs, const mv_job_spec *spec, unsigned home_shard,
                   double accepted_at, uint64_t revision);
/** Removes a job whose record is gone. No placement may point to the job any more. */
void mv_job_remove(mv_job_table *jobs, mv_job *job);
/**
 * Discards what is known of the job's placements: every task that is not done becomes pending.
 * Heartbeats then show which tasks are running.
 */
void mv_job_reset(const mv_context *context, mv_job *job);

/** Returns whether this controller owns the job's shard, and so may act for the job. */
bool mv_job_is_owned(const mv_context *context, const mv_job *job);
/** Adds `change` (1 or -1) to the number of the job's placed tasks in a zone. */
void mv_job_count_in_zone(mv_job *job, unsigned zone, int change);
/** Removes a task from the list of pending tasks; does nothing if the task is not listed. */
void mv_job_task_not_pending(mv_job *job, uint32_t task);
/**
 * Marks a task as done after a machine or a peer has reported its completion. Does nothing if the
 * task is already done.
 */
void mv_job_task_completed(mv_job_table *jobs, mv_job *job, uint32_t task);
/** Marks a task as recorded after its completion has appeared in the state cache. */
void mv_job_task_recorded(mv_job_table *jobs, mv_job *job, uint32_t task);
/** Makes a placed task pending again. */
void mv_job_task_requeue(mv_context *context, mv_job *job, uint32_t task);
/**
 * Delays the placement of the job's tasks after a failure. The delay doubles with each consecutive
 * failure, up to MV_RETRY_MAX_S.
 */
void mv_job_back_off(const mv_context *context, mv_job *job);

/**
 * Begins the cancellation of the job by a user: no task of the job is pending from now on. Lasts
 * until the job's record is removed, also if this controller loses the job's shard and gets it
 * again. Does nothing if the cancellation has begun already.
 */
void mv_job_begin_cancellation(const mv_context *context, mv_job *job);
/**
 * Returns whether no task of a job that is being cancelled can start any more: every machine that
 * may hold tasks of an earlier owner of the shard has reported, and every task that this owner has
 * launched has been seen running or is gone.
 */
bool mv_job_launches_are_over(const mv_job *job);

/** Returns the machine types that can run the job's tasks, one bit for each type. */
uint32_t mv_job_type_mask(const mv_context *context, mv_job *job);
/** Returns whether `objective` is of this kind and is set for the job's class. */
bool mv_objective_applies(const mv_objective *objective, mv_objective_kind kind, const mv_job *job);
/**
 * Returns the precedence that a job gets for its age while none of its tasks has been placed: 0
 * none, 1 over jobs of the same guarantee and priority, 2 over all jobs except services for which
 * mv_job_precedes_all is true.
 */
unsigned mv_job_starvation_level(const mv_context *context, const mv_job *job);
/**
 * Returns whether the job has pending tasks and none of its tasks was placed for
 * MV_STARVATION_TIMEOUT_S. Capacity that is reserved for other jobs is then available to this job,
 * because no job may be left waiting while there is capacity.
 */
bool mv_job_is_starving(const mv_context *context, const mv_job *job);
#endif
