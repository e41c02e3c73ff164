/**
 * Sizes of partition and occupancy records. The record of a segment has to fit the size limit of a
 * value in the state service, and records that are written together have to fit one transaction.
 */
#ifndef MV_PARTITION_SIZES_H
#define MV_PARTITION_SIZES_H
#include "coordination/membership/membership.h"

/** Returns the bytes that a member takes in a partition record. */
size_t mv_partition_member_bytes(const mv_partition_member *member);
/** Returns the bytes that these mv_partition_member take together in a partition record. */
size_t mv_partition_members_bytes(const GArray *members);
/** Returns the maximum bytes that the members of one partition record may take together. */
size_t mv_partition_value_capacity(const mv_context *context);
/** Returns whether one segment has room for `members` machines that take `bytes` bytes together. */
bool mv_segment_fits(const mv_context *context, size_t bytes, guint members);
/** Returns the bytes that the machines of the segment's occupancy record would take. */
size_t mv_segment_occupancy_bytes(const mv_partition_segment *segment);
/** Returns the end (exclusive) of the longest run of members from index `from` on that fits a
 * segment. */
guint mv_partition_slice_end(const mv_context *context, const GArray *members, guint from);
#endif
