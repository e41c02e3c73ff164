/** Scale-in: the leader's requests that return machines to the cloud. */
#ifndef MV_SCALE_IN_H
#define MV_SCALE_IN_H
#include "coordination/autoscaling/autoscaler.h"

/**
 * Requests the return of machines that have a reason for release, at most MV_SCALE_IN_BATCH. Does
 * nothing while an earlier request is in flight.
 */
void mv_scale_in_tick(mv_autoscaler *autoscaler);
/**
 * Processes the result of a request. If `ok`, the cloud took the machines back, and they are
 * removed from their partitions. Ignores requests other than the latest.
 */
void mv_scale_in_completed(mv_autoscaler *autoscaler, uint64_t action_id, bool ok);
#endif
