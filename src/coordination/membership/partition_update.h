/**
 * A transaction on partition records while the leader adds writes, and the members that each
 * segment should have.
 */
#ifndef MV_PARTITION_UPDATE_H
#define MV_PARTITION_UPDATE_H
#include "coordination/membership/membership.h"

/**
 * A transaction that the leader is filling. The queue of actions owns `transaction` from the first
 * write on, so the leader frees nothing.
 */
typedef struct {
    mv_action *transaction; /**< NULL: there is no write yet */
    uint64_t term; /**< term of the written members; a new term if above the membership's */
    unsigned write_count,
        max_writes; /**< puts and deletes; `max_writes` leaves room for the write of the term */
    bool may_raise_term; /**< no other transaction with a new term is in flight */
    guint segment_count; /**< segments of the partition, including new ones */
} mv_partition_update;

/** Returns whether the shard's owner, in a recent report, asks for a new term for the machine. */
bool mv_machine_needs_fencing(const mv_context *context, const mv_machine *machine);
/** Returns the entry that names the machine, under `term`, in a partition record. */
mv_partition_member mv_partition_member_of(const mv_context *context, const mv_machine *machine,
                                           uint64_t term);
/**
 * Returns the mv_partition_member that the segment's record should name: released machines are left
 * out, and machines that need fencing get a new term, which is also stored in `term`. Owned by the
 * caller.
 */
GArray *mv_segment_members(const mv_membership *membership, const mv_partition_segment *segment,
                           uint64_t *term);
/**
 * Returns whether the segment's record still names machines that newer segments name too. Until the
 * leader writes the old record again, no machine may be taken out of the newer segments; otherwise
 * a controller that lists all records would find the machine in the old segment again.
 */
bool mv_segment_is_stale(const mv_partition_segment *segment);
/** Returns whether mv_segment_is_stale is true of any segment of the shard's partition. */
bool mv_shard_has_stale_segment(const mv_shard *shard);

/** Adds a write of the record of a segment, existing or new, that names these mv_partition_member.
 */
void mv_partition_update_put_segment(mv_partition_update *update, mv_context *context,
                                     const mv_shard *shard, guint segment, const GArray *members);
/** Adds a write of a new segment's occupancy record, if any of the members may hold tasks. */
void mv_partition_update_put_new_occupancy(mv_partition_update *update, mv_agents *agents,
                                           const mv_shard *shard, guint segment,
                                           const GArray *members);
/**
 * Adds the condition that the owner has not written the segment's occupancy record since this
 * controller read it.
 */
void mv_partition_update_require_occupancy(mv_partition_update *update, const mv_shard *shard,
                                           const mv_partition_segment *segment);
/** Adds a write of the new term, and the condition that the counter of terms has not changed. */
void mv_partition_update_put_term(const mv_partition_update *update, mv_membership *membership);
#endif
