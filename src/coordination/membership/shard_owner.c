#include "coordination/membership/shard_owner.h"

#include "coordination/agents/machine.h"
#include "coordination/membership/token_reservation.h"
#include "protocol/names.h"
#include "telemetry/log.h"

GBytes *mv_occupancy_pack(const GPtrArray *machines)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 1);
    mv_write_text(writer, RECORD_MACHINES);
    mv_write_list(writer, 2 * machines->len);
    for (guint i = 0; i < machines->len; i++) {
        const mv_machine *machine = g_ptr_array_index(machines, i);
        mv_write_text(writer, machine->id);
        mv_write_text(writer, machine->address);
    }
    return mv_writer_finish(writer);
}

/* --- occupancy --- */

/* Adds a write of the segment's occupancy record: the members that may hold tasks according to
 * an earlier record, and the confirmed members, which may get tasks. */
static void put_occupancy(const mv_shard *shard, const mv_partition_segment *segment,
                          mv_action *transaction)
{
    char key[MV_KEY_SIZE];
    g_autoptr(GPtrArray) occupied = g_ptr_array_new();
    for (guint i = 0; i < segment->members->len; i++) {
        mv_machine *machine = g_ptr_array_index(segment->members, i);
        if (machine->occupied || machine->confirmed)
            g_ptr_array_add(occupied, machine);
    }
    g_snprintf(key, sizeof key, KEY_OCCUPANCY_PREFIX "%u/%u", shard->index, segment->index);
    mv_transaction_require(transaction, key, segment->occupancy_revision);
    mv_transaction_put(transaction, key, mv_occupancy_pack(occupied), false);
}

static bool contains(const mv_partition_segment *const *segments, unsigned count,
                     const mv_partition_segment *segment)
{
    for (unsigned i = 0; i < count; i++)
        if (segments[i] == segment)
            return true;
    return false;
}

/* Returns the segment with the most unrecorded machines that is not in `taken`, or NULL if no other
 * segment has to be recorded. */
static mv_partition_segment *max_unrecorded_segment(const mv_shard *shard,
                                                    const mv_partition_segment *const *taken,
                                                    unsigned count)
{
    mv_partition_segment *best = NULL;
    for (guint i = 0; i < shard->segments->len; i++) {
        mv_partition_segment *segment = g_ptr_array_index(shard->segments, i);
        bool is_due = segment->unrecorded_count > 0 || segment->withdraws_transfer;
        if (!is_due || contains(taken, count, segment))
            continue;
        if (!best || segment->unrecorded_count > best->unrecorded_count)
            best = segment;
    }
    return best;
}

/* Returns whether the owner may write occupancy records now. While a large fleet boots, machines
 * are confirmed one by one, and without a pause the owner would write a segment again for each
 * machine. In a shard of more than MV_OCCUPANCY_BATCH segments, the pause of
 * MV_OCCUPANCY_INTERVAL_S lets several machines share one write. */
static bool may_record_occupancy(const mv_context *context, mv_shard *shard)
{
    double interval_s = shard->segments->len > MV_OCCUPANCY_BATCH ? MV_OCCUPANCY_INTERVAL_S : 0;
    return !mv_transaction_slot_busy(&shard->occupancy_transaction, &context->clock) &&
           mv_lease_session_incarnation(&context->session, &context->clock) &&
           context->clock.now >= shard->occupancy_recorded_at + interval_s;
}

static void record_occupancy(mv_context *context, mv_shard *shard)
{
    if (!may_record_occupancy(context, shard))
        return;
    const mv_partition_segment *taken[MV_OCCUPANCY_BATCH];
    const unsigned max_segments = MIN(MV_OCCUPANCY_BATCH, context->limits.writes);
    mv_action *transaction = NULL;
    for (unsigned count = 0; count < max_segments; count++) {
        const mv_partition_segment *segment = max_unrecorded_segment(shard, taken, count);
        if (!segment)
            break;
        if (!transaction) {
            char key[MV_KEY_SIZE];
            transaction = mv_transaction_new(&context->actions, true);
            g_snprintf(key, sizeof key, KEY_SHARD_PREFIX "%u", shard->index);
            mv_transaction_require(transaction, key, shard->revision);
        }
        put_occupancy(shard, segment, transaction);
        taken[count] = segment;
    }
    if (!transaction)
        return;
    mv_transaction_slot_sent(&shard->occupancy_transaction, &context->clock, transaction);
    shard->occupancy_recorded_at = context->clock.now;
}

/* --- failover --- */

static bool any_may_hold_tasks(const mv_agents *agents, const mv_shard *shard)
{
    for (guint i = 0; i < agents->rotation->len; i++) {
        const mv_machine *machine = g_ptr_array_index(agents->rotation, i);
        if (machine->shard == shard && mv_machine_may_hold_tasks(machine))
            return true;
    }
    return false;
}

/* Marks the shard as rebuilt if no machine is left that may hold tasks and has not reported. */
static void check_rebuilt(mv_membership *membership, mv_shard *shard)
{
    mv_context *context = membership->context;
    if (shard->rebuilt || any_may_hold_tasks(membership->agents, shard))
        return;
    shard->rebuilt = true;
    context->round_requested = true;
    mv_info("shard_rebuilt", "shard=%u term=%" G_GUINT64_FORMAT " took_s=%.2f", shard->index,
            shard->holder.term, context->clock.now - shard->acquired_at);
}

/* Restarts the heartbeat timeouts of a shard's machines when this controller owns the shard again.
 * While its lease session is not valid, the controller rejects heartbeats, so after an outage of
 * the state service no machine has a recent heartbeat. Without the restart, the controller declared
 * all working machines failed at once. */
static void update_listening(const mv_context *context, mv_shard *shard)
{
    bool is_owned = mv_shard_is_owned(context, shard);
    if (!SAFETY_CHECK(LISTENING, !is_owned || shard->was_owned))
        shard->listening_since = context->clock.now;
    shard->was_owned = is_owned;
}

void mv_shard_owner_tick(mv_membership *membership)
{
    mv_context *context = membership->context;
    for (guint i = 0; i < context->shards->len; i++) {
        mv_shard *shard = g_ptr_array_index(context->shards, i);
        update_listening(context, shard);
        if (!shard->was_owned)
            continue;
        record_occupancy(context, shard);
        mv_token_reservation_tick(membership, shard);
        check_rebuilt(membership, shard);
    }
}
