/**
 * The exchange of demand between shard owners and the leader. The owner of each shard publishes the
 * shard's pending tasks and the state of its machines; the leader answers with the demand of the
 * other shards.
 */
#ifndef MV_SHARD_DEMANDS_H
#define MV_SHARD_DEMANDS_H
#include "coordination/autoscaling/autoscaler.h"

/**
 * Publishes the demand of each shard that this controller owns, if its interval has passed. Before
 * that, updates the shard's reserve and decides about its idle machines.
 */
void mv_demand_publish(mv_autoscaler *autoscaler);
/**
 * Accepts the demand that a shard's owner published to the leader, and takes ownership of `demand`.
 * Returns the demand of the other shards. Drops the demand and returns an empty one if this
 * controller is not the leader, or if the sender does not own the shard under its present grant.
 */
mv_peer_demand mv_demand_received(mv_autoscaler *autoscaler, mv_shard_demand *demand);
/** Records the demand of other shards, which the leader returned in answer to published demand. */
void mv_demand_answered(mv_autoscaler *autoscaler, const mv_peer_demand *peer_demand);
#endif
