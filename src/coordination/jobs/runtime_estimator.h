/**
 * Estimates how long tasks run. The estimate that was submitted with the job is multiplied by the
 * smoothed ratio of run time to estimate of recently completed tasks of the same class.
 */
#ifndef MV_RUNTIME_ESTIMATOR_H
#define MV_RUNTIME_ESTIMATOR_H
#include "coordination/jobs/job.h"

/** Records that a task of the job completed after `runtime_s` seconds of run time. */
void mv_runtime_estimator_observe(mv_job_table *jobs, mv_job *job, double runtime_s);
/** Returns the expected run time of a task of the job in seconds. */
double mv_job_estimated_runtime(const mv_job_table *jobs, const mv_job *job);
#endif
