/**
 * Scoring by the Fair Root Input Size heuristic: how well a machine suits a task, and how long a
 * task should wait for a better machine.
 *
 * A machine that is slower than other machines or is draining comes last. Among the remaining
 * machines, the machine that has cached more bytes of the task's image comes first; next, for work
 * that must start soon, the machine that can fetch the image sooner; next, for a task smaller than
 * the largest task of all owned jobs, the machine with fewer free cores. When small tasks were
 * placed strictly round-robin, two-core tasks ran on every machine, and tasks of the size of a
 * whole machine fitted on no machine although half of the cores were free.
 */
#ifndef MV_SCORING_H
#define MV_SCORING_H
#include "coordination/scheduling/scheduler.h"

/** The criteria of a score, most important first; mv_score_is_better() compares them. */
typedef struct {
    /** The machine is slower than other machines, or a task of this job failed on it. */
    bool unreliable;
    /** The present work of the shard does not need the machine; false for a service. */
    bool draining;
    /** Another pending job can run on this machine type only, while this job has other types. */
    bool scarce_type;
    /** For a service: the machine is a spot machine, which the cloud may reclaim. */
    bool spot;
    /** For a service: half of the replicas run on the machine. The loss of one machine should take
     * as few replicas as possible. */
    bool concentrates_replicas;
    /** For a service: fetching the image takes longer than the start objective allows. */
    bool slow_image_fetch;
    /** For a service: the number of replicas of the service on the machine. */
    unsigned replicas_here;
    /** Size of the image if the machine has cached it, otherwise 0. */
    double cached_image_gb;
    /** For latency-sensitive work: the time until the machine has the image, in whole steps of
     * MV_FETCH_STEP_S, because smaller differences do not matter. */
    int fetch_steps;
    /** For a task smaller than the largest task of all owned jobs: the free cores of the machine.
     */
    double cores_left;
} mv_placement_score;

/**
 * Returns the score of a machine for a task of the job. The job must allow the machine. The score
 * depends on `largest_task_cores` and on the scarce types of the job's shard, which each round
 * sets.
 */
mv_placement_score mv_score_machine(const mv_scheduler *scheduler, const mv_job *job,
                                    const mv_machine *machine);
/** Returns whether a machine with `score` is preferred to a machine with `other`. */
bool mv_score_is_better(const mv_placement_score *score, const mv_placement_score *other);

/**
 * Returns the shortest time in seconds within which an objective requires the job's tasks to start;
 * G_MAXDOUBLE if no objective does.
 */
double mv_job_start_objective_s(const mv_context *context, const mv_job *job);
/**
 * Returns whether the start objective of the job is shorter than MV_LATENCY_SENSITIVE_S. Only work
 * that has to start within seconds justifies the loss of other jobs' work by preemption.
 */
bool mv_job_is_latency_sensitive(const mv_context *context, const mv_job *job);
/**
 * Returns the seconds that a task of the job may wait for room on a machine that has cached its
 * image, instead of starting on `machine`.
 */
double mv_image_wait_s(const mv_context *context, const mv_job *job, const mv_machine *machine);
/**
 * Returns the seconds until the machine would have the job's image: 0 if the image is cached. The
 * time that a fetch in progress for another task has already taken is subtracted.
 */
double mv_image_fetch_remaining_s(const mv_context *context, const mv_job *job,
                                  const mv_machine *machine);
#endif
