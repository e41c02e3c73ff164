/** Duties of a shard's owner at each tick: occupancy records, and the end of a failover. */
#ifndef MV_SHARD_OWNER_H
#define MV_SHARD_OWNER_H
#include "coordination/membership/membership.h"

/**
 * Does two things for each shard that this controller owns. First, records which machines may hold
 * tasks, before the first launch on them, so that the next owner of the shard has to wait for
 * reports from these machines only. Second, marks the shard as rebuilt when every machine that may
 * hold tasks has reported under the present term.
 */
void mv_shard_owner_tick(mv_membership *membership);
/** Packs an occupancy record, a list in which the names and addresses of these mv_machine
 * alternate. The caller unrefs the bytes. */
GBytes *mv_occupancy_pack(const GPtrArray *machines);
#endif
