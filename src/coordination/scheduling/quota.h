/**
 * The quota of a team: the team's limit, and the resources that count against the limit although
 * this controller does not know for certain whether tasks use them.
 */
#ifndef MV_QUOTA_H
#define MV_QUOTA_H
#include "coordination/scheduling/scheduler.h"

/**
 * Lists the unconfirmed machines at the beginning of a round and counts the unknown use of each
 * shard. Tasks of the previous owner may still run on a machine that has sent no heartbeat to this
 * owner, so all cores and GPUs of such a machine count as used, as do those of a machine with
 * unknown tasks.
 */
void mv_quota_count_unknown_use(mv_scheduler *scheduler);
/** Returns whether one more task of the job stays within the limit of the job's team. */
bool mv_quota_allows(const mv_context *context, const mv_job *job);
/**
 * Returns whether the team's limit prevents one more task of the job, regardless of room on
 * machines, even after all tasks that are stopping have ended.
 */
bool mv_quota_is_exhausted(const mv_job *job);
#endif
