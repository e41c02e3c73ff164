#include "coordination/autoscaling/scalable_jobs.h"

unsigned mv_job_scalable_tasks(const mv_job *job)
{
    const mv_team *team = job->team;
    const double max_cores = team->settings->cpus_max;
    unsigned pending = job->pending->len;
    if (max_cores <= 0 || job->spec.cores <= 0)
        return pending;
    double quota_tasks = (max_cores - team->used_cores) / job->spec.cores;
    return quota_tasks <= 0 ? 0 : MIN(pending, (unsigned)quota_tasks);
}
