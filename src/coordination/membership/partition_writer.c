#include "coordination/membership/partition_writer.h"

#include "coordination/membership/partition_sizes.h"
#include "coordination/membership/partition_update.h"
#include "protocol/names.h"
#include "telemetry/log.h"

#include <string.h>

/* Bytes of a segment number as text, including the terminating NUL. */
#define SEGMENT_NUMBER_SIZE 16

/* --- machines that join --- */

/* Returns whether a joining machine needs no write: a partition names the machine already, or the
 * machine was returned to the cloud. */
static bool is_resolved(const mv_membership *membership, const mv_partition_member *member)
{
    const mv_machine *machine = mv_agents_find(membership->agents, member->id);
    return (machine && machine->shard) || mv_membership_was_released(membership, member->id);
}

/* Moves joining machines from the shard's `joining` list to `members` until the segment is full.
 * Drops machines that need no write (is_resolved) from the list. Returns whether any machine was
 * added to `members`. */
static bool take_joining(const mv_membership *membership, mv_shard *shard, GArray *members)
{
    GArray *joining = shard->joining;
    size_t bytes = mv_partition_members_bytes(members);
    bool any = false;
    while (joining->len) {
        mv_partition_member member = g_array_index(joining, mv_partition_member, joining->len - 1);
        bool resolved = is_resolved(membership, &member);
        if (!resolved) {
            bytes += mv_partition_member_bytes(&member);
            if (!mv_segment_fits(membership->context, bytes, members->len + 1))
                break;
        }
        g_array_set_size(joining, joining->len - 1);
        if (resolved)
            continue;
        g_array_append_val(members, member);
        any = true;
    }
    return any;
}

/* --- splitting --- */

/* Returns a copy of the members from index `from` up to, but not including, `to`; owned by the
 * caller. Sets the term of each copied member to `term`; with `term` 0 each member keeps its term.
 */
static GArray *slice(const GArray *members, guint from, guint to, uint64_t term)
{
    GArray *run = g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
    g_array_append_vals(run, &g_array_index(members, mv_partition_member, from), to - from);
    for (guint i = 0; term && i < run->len; i++)
        g_array_index(run, mv_partition_member, i).term = term;
    return run;
}

static void put_new_segment(mv_membership *membership, mv_partition_update *update,
                            const mv_shard *shard, guint segment_index, const GArray *members)
{
    mv_partition_update_put_new_occupancy(update, membership->agents, shard, segment_index,
                                          members);
    mv_partition_update_put_segment(update, membership->context, shard, segment_index, members);
}

/* Copies one slice of an oversized segment to a new segment. The old segment's record stays as it
 * is, so both records name the machines of the slice, and readers use the newer record. The leader
 * moves one slice per transaction, until the members that remain fit the old segment's record. Only
 * readers of this version resolve the conflict by revision; older versions use the segment that
 * they read last. */
static void split_off_slice(mv_membership *membership, mv_partition_update *update,
                            const mv_shard *shard, guint segment_index, const GArray *members)
{
    guint from = mv_partition_slice_end(membership->context, members, 0);
    guint to = mv_partition_slice_end(membership->context, members, from);
    /* The slice takes two writes, its segment and its occupancy. `max_writes` leaves out one write
     * for the term, because another segment may need a new term in the same transaction. */
    if (update->write_count + 2 > update->max_writes)
        return;
    g_autoptr(GArray) moved = slice(members, from, to, 0);
    put_new_segment(membership, update, shard, update->segment_count++, moved);
    const mv_partition_segment *segment = g_ptr_array_index(shard->segments, segment_index);
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, KEY_PARTITION_PREFIX "%u/%u", shard->index, segment_index);
    mv_transaction_require(update->transaction, key, segment->partition_revision);
    mv_partition_update_require_occupancy(update, shard, segment);
}

/* Returns the first free segment, from `first_free` on, whose key sorts after the key of segment
 * `other`. A controller that lists all records reads them in pages of different times, sorted by
 * key. If a new segment's key sorted before the key of the segment that is split, the controller
 * could read the new segment in an early page, before the split, and the split segment in a later
 * page, after the split. The moved machines would then be in no segment, and controllers of format
 * 1 treat such machines as removed. */
static guint free_segment_after(guint first_free, guint other)
{
    char number[SEGMENT_NUMBER_SIZE], after[SEGMENT_NUMBER_SIZE];
    g_snprintf(after, sizeof after, "%u", other);
    for (guint index = first_free; index < MV_SEGMENTS_MAX; index++) {
        g_snprintf(number, sizeof number, "%u", index);
        if (strcmp(number, after) > 0)
            return index;
    }
    return first_free;
}

/* Returns how many segments the members from index `from` on need. */
static guint count_slices(const mv_context *context, const GArray *members, guint from)
{
    guint count = 0;
    for (guint i = from; i < members->len; i = mv_partition_slice_end(context, members, i))
        count++;
    return count;
}

/* Returns whether the transaction has room to split a segment: two writes for each slice (a segment
 * and its occupancy record) and one for the old segment. If even an empty transaction has too
 * little room, the limit is logged as too small. */
static bool has_writes_to_split(const mv_context *context, const mv_partition_update *update,
                                const mv_shard *shard, guint segment_index, guint slices)
{
    if (update->write_count + 2 * slices + 1 <= update->max_writes)
        return true;
    if (update->write_count == 0)
        mv_log_limited(MV_LOG_INFO, "limit_too_small",
                       "limit=txn_ops allowed=%u needed=%u segment=%u/%u", context->limits.writes,
                       2 * slices + 2, shard->index, segment_index);
    return false;
}

/* Moves all members that do not fit an oversized segment to new segments, in one transaction.
 * Returns false, and adds no write, if the transaction has too little room or another new term is
 * in flight. The order of the writes is: the occupancy record of a new segment, the new segment,
 * and last the old segment without the moved machines. A reader that applies the writes in this
 * order, or lists the records at any moment, therefore finds every machine in a segment and every
 * machine that may hold tasks in an occupancy record. The moved machines get a new term, because an
 * owner of any version expects a machine that changes its segment to report under a new fencing
 * token first. The transaction requires the revision of the old segment's occupancy record, because
 * the owner may record more occupied machines in the meantime. */
static bool split_segment(mv_membership *membership, mv_partition_update *update,
                          const mv_shard *shard, guint segment_index, const GArray *members)
{
    const mv_context *context = membership->context;
    const mv_partition_segment *segment = g_ptr_array_index(shard->segments, segment_index);
    guint staying = mv_partition_slice_end(context, members, 0);
    guint slices = count_slices(context, members, staying);
    if (!update->may_raise_term ||
        !has_writes_to_split(context, update, shard, segment_index, slices))
        return false;
    update->term = membership->term + 1;
    for (guint from = staying, to; from < members->len; from = to) {
        to = mv_partition_slice_end(context, members, from);
        g_autoptr(GArray) moved = slice(members, from, to, update->term);
        guint new_segment = free_segment_after(update->segment_count, segment_index);
        put_new_segment(membership, update, shard, new_segment, moved);
        update->segment_count = new_segment + 1;
    }
    g_autoptr(GArray) rest = slice(members, 0, staying, 0);
    mv_partition_update_put_segment(update, membership->context, shard, segment_index, rest);
    mv_partition_update_require_occupancy(update, shard, segment);
    mv_info("partition_split", "segment=%u/%u machines=%u remaining=%u", shard->index,
            segment_index, members->len, staying);
    return true;
}

/* Splits a segment whose members do not fit one record. If every controller reads the current
 * format, the leader moves one slice per transaction, and the segment stays marked for a write
 * until the remaining members fit one record. Otherwise the leader moves all slices in one
 * transaction. */
static void write_oversized_segment(mv_membership *membership, mv_partition_update *update,
                                    mv_shard *shard, mv_partition_segment *segment,
                                    const GArray *members)
{
    if (!segment->needs_write)
        return;
    if (mv_membership_formats_are_current(membership) && !EMULATES_FORMAT_1(membership->context))
        split_off_slice(membership, update, shard, segment->index, members);
    else if (split_segment(membership, update, shard, segment->index, members))
        segment->needs_write = false;
}

/* --- writing --- */

static void write_segment(mv_membership *membership, mv_partition_update *update, mv_shard *shard,
                          mv_partition_segment *segment)
{
    bool can_take = shard->joining->len && segment->members->len < MV_SEGMENT_MACHINES_MAX;
    if (!segment->needs_write && !can_take)
        return;
    uint64_t term = update->term;
    g_autoptr(GArray) members = mv_segment_members(membership, segment, &term);
    if (term != update->term && !update->may_raise_term)
        return; /* the segment stays marked: a new term has to wait for the term in flight */
    size_t bytes = mv_partition_members_bytes(members);
    if (!mv_segment_fits(membership->context, bytes, members->len)) {
        write_oversized_segment(membership, update, shard, segment, members);
        return;
    }
    bool added = take_joining(membership, shard, members);
    if (!segment->needs_write && !added)
        return;
    update->term = term;
    mv_partition_update_put_segment(update, membership->context, shard, segment->index, members);
    segment->needs_write = false;
}

static void write_new_segments(mv_membership *membership, mv_partition_update *update,
                               mv_shard *shard, unsigned max_segments)
{
    while (shard->joining->len && update->write_count < max_segments) {
        g_autoptr(GArray) members = g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
        if (!take_joining(membership, shard, members))
            break;
        mv_partition_update_put_segment(update, membership->context, shard, update->segment_count++,
                                        members);
    }
}

/* Adds the writes of one tick to the transaction: stale segments alone if there are any, otherwise
 * all segments that have to be written. Restores the `joining` list afterwards, because the
 * transaction may be lost. */
static void write_segments(mv_membership *membership, mv_partition_update *update, mv_shard *shard)
{
    const bool any_stale = mv_shard_has_stale_segment(shard);
    const unsigned max_segments = MIN(MV_SEGMENTS_BATCH, update->max_writes);
    g_autoptr(GArray) joining = g_array_copy(shard->joining);
    for (guint i = 0; i < shard->segments->len && update->write_count < max_segments; i++) {
        mv_partition_segment *segment = g_ptr_array_index(shard->segments, i);
        if (!any_stale || mv_segment_is_stale(segment))
            write_segment(membership, update, shard, segment);
    }
    if (!any_stale)
        write_new_segments(membership, update, shard, max_segments);
    g_array_set_size(shard->joining, 0);
    g_array_append_vals(shard->joining, joining->data, joining->len);
}

bool mv_partition_write(mv_membership *membership, mv_shard *shard)
{
    mv_context *context = membership->context;
    if (!shard->revision ||
        mv_transaction_slot_busy(&shard->partition_transaction, &context->clock))
        return false;
    mv_partition_update update = {
        .term = membership->term,
        .max_writes = context->limits.writes - 1,
        .segment_count = shard->segments->len,
        .may_raise_term = !mv_transaction_slot_busy(&membership->term_transaction, &context->clock),
    };
    write_segments(membership, &update, shard);
    if (!update.transaction)
        return false;
    mv_transaction_require(update.transaction, KEY_LEADER, membership->leader_revision);
    if (update.term != membership->term)
        mv_partition_update_put_term(&update, membership);
    mv_transaction_slot_sent(&shard->partition_transaction, &context->clock, update.transaction);
    return true;
}

/* --- reconciliation --- */

static bool any_member_needs_write(const mv_context *context, const mv_partition_segment *segment)
{
    for (guint i = 0; i < segment->members->len; i++) {
        const mv_machine *machine = g_ptr_array_index(segment->members, i);
        if (machine->released || mv_machine_needs_fencing(context, machine))
            return true;
    }
    return false;
}

static bool segment_needs_write(const mv_context *context, const mv_partition_segment *segment)
{
    /* If the occupancy record exceeds a value, the owner cannot write the record; the leader has to
     * split the segment. */
    bool too_large = mv_segment_occupancy_bytes(segment) > mv_partition_value_capacity(context);
    return segment->needs_write || mv_segment_is_stale(segment) || too_large ||
           any_member_needs_write(context, segment);
}

void mv_partition_reconcile(mv_membership *membership, mv_shard *shard)
{
    GArray *joining = shard->joining;
    for (guint i = joining->len; i-- > 0;)
        if (is_resolved(membership, &g_array_index(joining, mv_partition_member, i)))
            g_array_remove_index_fast(joining, i);
    for (guint i = 0; i < shard->segments->len; i++) {
        mv_partition_segment *segment = g_ptr_array_index(shard->segments, i);
        segment->needs_write = segment_needs_write(membership->context, segment);
    }
}
