#include "coordination/membership/partition_transfer.h"

#include "coordination/membership/partition_sizes.h"
#include "coordination/membership/partition_update.h"
#include "protocol/names.h"
#include "telemetry/log.h"

/* A transfer while the leader adds machines. */
typedef struct {
    mv_membership *membership;
    mv_shard *from, *to;
    const GPtrArray *machines; /* mv_machine that may be moved */
    guint target;              /* index of the segment of `to` that takes the machines */
    GArray *arrived;           /* mv_partition_member of the target, with the moved machines */
    mv_partition_update update;
} transfer;

void mv_machines_clear_moving(const mv_agents *agents)
{
    for (guint i = 0; i < agents->rotation->len; i++)
        ((mv_machine *)g_ptr_array_index(agents->rotation, i))->moving = false;
}

/* --- the target --- */

static size_t segment_bytes(const mv_context *context, const mv_partition_segment *segment)
{
    size_t bytes = 0;
    for (guint i = 0; i < segment->members->len; i++) {
        const mv_machine *machine = g_ptr_array_index(segment->members, i);
        mv_partition_member member = mv_partition_member_of(context, machine, machine->member_term);
        bytes += mv_partition_member_bytes(&member);
    }
    return bytes;
}

/* Returns the index of the first segment that is less than half full, both in machines and in
 * bytes, or the index of a new segment if there is none. */
static guint choose_target_segment(const mv_context *context, const mv_shard *to)
{
    size_t half_value = mv_partition_value_capacity(context) / 2;
    for (guint i = 0; i < to->segments->len; i++) {
        const mv_partition_segment *segment = g_ptr_array_index(to->segments, i);
        if (segment->members->len < MV_SEGMENT_MACHINES_MAX / 2 &&
            segment_bytes(context, segment) < half_value)
            return i;
    }
    return to->segments->len;
}

/* --- the sources --- */

/* Returns the members that the segment keeps after the transfer; owned by the caller. */
static GArray *members_staying(transfer *transfer, const mv_partition_segment *segment)
{
    const mv_membership *membership = transfer->membership;
    GArray *members = mv_segment_members(membership, segment, &transfer->update.term);
    for (guint i = members->len; i-- > 0;) {
        const mv_partition_member *member = &g_array_index(members, mv_partition_member, i);
        const mv_machine *machine = mv_agents_find(membership->agents, member->id);
        if (machine && machine->moving)
            g_array_remove_index(members, i);
    }
    return members;
}

/* Moves machines of a segment to `arrived`, as long as the target has room. Returns how many
 * machines were moved. */
static guint take_machines(transfer *transfer, const mv_partition_segment *segment)
{
    const mv_membership *membership = transfer->membership;
    const mv_context *context = membership->context;
    guint before = transfer->arrived->len;
    size_t bytes = mv_partition_members_bytes(transfer->arrived);
    for (guint i = 0; i < transfer->machines->len; i++) {
        mv_machine *machine = g_ptr_array_index(transfer->machines, i);
        if (machine->shard != transfer->from || machine->segment != segment->index)
            continue;
        mv_partition_member member = mv_partition_member_of(context, machine, membership->term + 1);
        bytes += mv_partition_member_bytes(&member);
        if (!mv_segment_fits(context, bytes, transfer->arrived->len + 1))
            break;
        g_array_append_val(transfer->arrived, member);
        machine->moving = true;
    }
    return transfer->arrived->len - before;
}

/* Undoes take_machines for a segment whose remaining members do not fit a value, and marks the
 * segment to be written: the leader has to split the segment first. */
static void give_back_machines(transfer *transfer, mv_partition_segment *segment, guint taken)
{
    segment->needs_write = true;
    g_array_set_size(transfer->arrived, transfer->arrived->len - taken);
    for (guint i = 0; i < segment->members->len; i++)
        ((mv_machine *)g_ptr_array_index(segment->members, i))->moving = false;
}

static void take_from_segment(transfer *transfer, mv_partition_segment *segment)
{
    mv_context *context = transfer->membership->context;
    guint taken = take_machines(transfer, segment);
    if (taken == 0)
        return;
    g_autoptr(GArray) staying = members_staying(transfer, segment);
    if (!mv_segment_fits(context, mv_partition_members_bytes(staying), staying->len)) {
        give_back_machines(transfer, segment, taken);
        return;
    }
    mv_partition_update_put_segment(&transfer->update, context, transfer->from, segment->index,
                                    staying);
    mv_partition_update_require_occupancy(&transfer->update, transfer->from, segment);
}

/* --- the transfer --- */

static bool may_transfer(mv_membership *membership, mv_shard *from, mv_shard *to)
{
    const mv_clock *clock = &membership->context->clock;
    return !mv_transaction_slot_busy(&from->partition_transaction, clock) &&
           !mv_transaction_slot_busy(&to->partition_transaction, clock) && from->revision &&
           to->revision && !mv_transaction_slot_busy(&membership->term_transaction, clock) &&
           !mv_shard_has_stale_segment(from) && !mv_shard_has_stale_segment(to);
}

static void write_transfer(transfer *transfer)
{
    mv_membership *membership = transfer->membership;
    mv_context *context = membership->context;
    mv_partition_update *update = &transfer->update;
    char key[MV_KEY_SIZE];
    mv_partition_update_put_segment(update, context, transfer->to, transfer->target,
                                    transfer->arrived);
    g_snprintf(key, sizeof key, KEY_SHARD_PREFIX "%u", transfer->from->index);
    mv_transaction_require(update->transaction, key, transfer->from->revision);
    mv_transaction_require(update->transaction, KEY_LEADER, membership->leader_revision);
    mv_partition_update_put_term(update, membership);
    mv_transaction_slot_sent(&transfer->from->partition_transaction, &context->clock,
                             update->transaction);
    mv_transaction_slot_sent(&transfer->to->partition_transaction, &context->clock,
                             update->transaction);
}

void mv_partition_transfer(mv_membership *membership, mv_shard *from, mv_shard *to,
                           const GPtrArray *machines)
{
    mv_context *context = membership->context;
    if (!may_transfer(membership, from, to))
        return;
    transfer transfer = {.membership = membership, .from = from, .to = to, .machines = machines};
    mv_partition_update *update = &transfer.update;
    /* The new term is the term of the moved machines, and of machines that are fenced in the same
     * transaction. */
    update->term = membership->term + 1;
    update->max_writes = MIN(MV_SEGMENTS_BATCH, context->limits.writes - 1) - 1;
    transfer.target = choose_target_segment(context, to);
    g_autoptr(GArray) arrived =
        transfer.target < to->segments->len
            ? mv_segment_members(membership, mv_shard_segment(to, transfer.target), &update->term)
            : g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
    transfer.arrived = arrived;
    guint present = arrived->len;
    mv_machines_clear_moving(membership->agents);
    for (guint i = 0; i < from->segments->len && update->write_count < update->max_writes; i++)
        take_from_segment(&transfer, mv_shard_segment(from, i));
    if (!update->transaction)
        return;
    write_transfer(&transfer);
    context->counters.machines_moved += arrived->len - present;
    mv_info("machines_transferred", "from=%u to=%u machines=%u", from->index, to->index,
            arrived->len - present);
}
