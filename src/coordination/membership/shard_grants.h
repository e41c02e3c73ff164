/** Grants of shards: the leader assigns each shard to a live controller, under a new term. */
#ifndef MV_SHARD_GRANTS_H
#define MV_SHARD_GRANTS_H
#include "coordination/membership/membership.h"

/** The fleet's size according to the cloud's machine list. */
typedef struct {
    bool complete;  /**< this controller has read a list to its end since it became leader */
    guint machines; /**< number of machines in the last complete list */
} mv_fleet_listing;

/**
 * Called by the leader at each tick. In one transaction, grants every shard without a live owner,
 * moves shards whose owner resigned or for balance, and assigns teams that no shard names. Each
 * shard that changes gets a new term.
 */
void mv_shard_grants_tick(mv_membership *membership, const mv_fleet_listing *listing);
#endif
