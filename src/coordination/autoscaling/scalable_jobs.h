/** Counts the pending tasks for which additional machines would be of use. */
#ifndef MV_SCALABLE_JOBS_H
#define MV_SCALABLE_JOBS_H
#include "coordination/autoscaling/autoscaler.h"

/** Returns how many pending tasks of the job fit into the cores that the limit of its team leaves.
 */
unsigned mv_job_scalable_tasks(const mv_job *job);
#endif
