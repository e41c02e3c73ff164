#include "coordination/jobs/runtime_estimator.h"

/* Bounds of the ratio of a run time to its estimate. A ratio outside these bounds is a property of
 * the single task rather than of its class, so it is clamped. */
#define RATIO_MIN 0.05
#define RATIO_MAX 20

/* The runtime estimate of a class of jobs. */
typedef struct {
    double ratio; /* smoothed ratio of the run time to the submitter's estimate */
    unsigned samples;
} runtime_estimate;

void mv_runtime_estimator_observe(mv_job_table *jobs, mv_job *job, double runtime_s)
{
    job->runtime_sum_s += runtime_s;
    job->runtime_samples++;
    if (job->spec.estimated_runtime_s <= 0)
        return;
    runtime_estimate *estimate = g_hash_table_lookup(jobs->estimates, job->spec.class_name);
    if (!estimate) {
        estimate = g_new0(runtime_estimate, 1);
        estimate->ratio = 1;
        g_hash_table_insert(jobs->estimates, g_strdup(job->spec.class_name), estimate);
    }
    double ratio = CLAMP(runtime_s / job->spec.estimated_runtime_s, RATIO_MIN, RATIO_MAX);
    estimate->samples++;
    estimate->ratio += (ratio - estimate->ratio) / MIN(estimate->samples + 1, MV_ESTIMATOR_WINDOW);
}

double mv_job_estimated_runtime(const mv_job_table *jobs, const mv_job *job)
{
    const runtime_estimate *estimate = g_hash_table_lookup(jobs->estimates, job->spec.class_name);
    return job->spec.estimated_runtime_s * (estimate ? estimate->ratio : 1);
}
