/** Job order: the order in which a scheduling round places the tasks of jobs. */
#ifndef MV_JOB_ORDER_H
#define MV_JOB_ORDER_H
#include "coordination/scheduling/scheduler.h"

/**
 * Returns the jobs (mv_job) that this controller owns, in no particular order; the caller frees the
 * array. Also counts the pending and running tasks of these jobs and marks the scarce machine types
 * of each shard.
 */
GPtrArray *mv_scheduler_collect_jobs(mv_scheduler *scheduler);
/**
 * Sets the fields of jobs that the order depends on: whether a job is guaranteed, can still meet
 * its deadline, or has starved. Also sums up the cores that the teams of the jobs use.
 */
void mv_scheduler_rank_jobs(mv_scheduler *scheduler, GPtrArray *jobs);
/**
 * Sorts ranked jobs by their claims. Services that precede all jobs come first, then severely
 * starved jobs, then guaranteed jobs, then jobs of higher priority. Within one priority, starved
 * jobs come first, then jobs that can still meet their deadline, of which the job with the least
 * pending work comes first. Jobs that cannot meet their deadline come last within the priority,
 * because placing them first would make the other jobs late too.
 */
void mv_scheduler_sort_by_claim(GPtrArray *jobs);
/**
 * Returns whether the job is a service that precedes all other jobs while it is short of replicas:
 * a guaranteed service or a service of the highest priority. Replicas are few and small, and users
 * notice a missing replica at once.
 */
bool mv_job_precedes_all(const mv_job *job);
#endif
