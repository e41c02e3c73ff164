/**
 * Partition and occupancy records in the state cache: which machines each segment names, and which
 * of these machines may hold tasks.
 */
#ifndef MV_PARTITION_CACHE_H
#define MV_PARTITION_CACHE_H
#include "coordination/membership/membership.h"

/** Applies a partition record that was created, changed or removed (`object` NULL). */
void mv_partition_cache_apply_members(mv_membership *membership, unsigned shard, unsigned segment,
                                      const msgpack_object *object, uint64_t revision);
/** Applies an occupancy record that was created, changed or removed (`object` NULL). */
void mv_partition_cache_apply_occupancy(mv_membership *membership, unsigned shard, unsigned segment,
                                        const msgpack_object *object, uint64_t revision);
/**
 * Removes machines that no segment names any more, and requeues their tasks. The caller waits until
 * all records of one revision are applied: if a partition is split, a machine can leave one segment
 * and enter another at the same revision, and between these two records no segment names it. While
 * a list of all records is being read, and until a watch sent after its last page is answered,
 * nothing is removed: if a partition is split between the reads of two pages, the moved machines
 * can be missing from both. When such machines were removed, their tasks were placed elsewhere
 * while the tasks still ran.
 */
void mv_partition_cache_remove_departed(mv_membership *membership);
#endif
