/**
 * The leader's writes of partition records, which name the machines of each segment. If a record
 * that an older version wrote exceeds the size limit of a value, the leader splits the segment
 * before writing the record again.
 */
#ifndef MV_PARTITION_WRITER_H
#define MV_PARTITION_WRITER_H
#include "coordination/membership/membership.h"

/**
 * Writes the segments of the shard's partition in which machines join, leave or need a higher term.
 * Machines that the leader adopted stay in the shard's `joining` list until the state
 * cache shows the record that names them, so that a lost transaction loses no machine. Returns
 * whether a transaction was queued. No transaction is queued if no segment has changed, if an
 * earlier write is still in flight, or if the shard has no lease record.
 */
bool mv_partition_write(mv_membership *membership, mv_shard *shard);
/**
 * Compares the shard's partition records with the state that the leader wants: removes recorded and
 * released machines from the `joining` list, and marks each segment that has to be written,
 * including segments whose last write failed.
 */
void mv_partition_reconcile(mv_membership *membership, mv_shard *shard);
#endif
