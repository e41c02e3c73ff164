/** Transfers: the leader moves machines from one shard's partition to another shard's partition. */
#ifndef MV_PARTITION_TRANSFER_H
#define MV_PARTITION_TRANSFER_H
#include "coordination/membership/membership.h"

/**
 * Moves machines from the segments of shard `from` to one segment of shard `to`, in one transaction
 * and under a new term. `machines` lists mv_machine; machines of other shards are ignored. Moves as
 * many machines as fit the segment and the transaction. The transaction fails if the owner of
 * `from` has written an occupancy record of these segments in the meantime, because the owner may
 * have put the machines to work. Does nothing while another write of these partitions or of the
 * term is in flight, or while one of the partitions has a stale segment (mv_segment_is_stale).
 */
void mv_partition_transfer(mv_membership *membership, mv_shard *from, mv_shard *to,
                           const GPtrArray *machines);
/** Clears the `moving` mark of every machine. */
void mv_machines_clear_moving(const mv_agents *agents);
#endif
