/** The leader's planner: how many machines of which type each shard gets, and from where. */
#ifndef MV_PLANNER_H
#define MV_PLANNER_H
#include "coordination/autoscaling/autoscaler.h"

/**
 * Plans machines for the demand of all shards, if the planning interval has passed. Transfers
 * machines that other shards declared transferable first, and requests instances from the cloud for
 * the remaining demand. Records in each shard which demand remains unmet.
 */
void mv_planner_run(mv_autoscaler *autoscaler);
#endif
