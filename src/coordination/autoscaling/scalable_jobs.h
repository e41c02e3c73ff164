/** Which pending tasks could use more machines. */
#ifndef MV_SCALABLE_JOBS_H
#define MV_SCALABLE_JOBS_H
#include "coordination/autoscaling/autoscaler.h"

/** Returns how many pending tasks of the job fit into the remaining quota of its team. */
unsigned mv_job_scalable_tasks(const mv_job *job);
#endif
