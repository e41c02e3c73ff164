#include "coordination/membership/partition_update.h"

#include "coordination/membership/shard_owner.h"
#include "protocol/names.h"

/* --- members --- */

bool mv_machine_needs_fencing(const mv_context *context, const mv_machine *machine)
{
    bool recent = machine->summary_at > context->clock.now - MV_DEMAND_TTL_S;
    return recent && machine->summary.needs_fencing;
}

mv_partition_member mv_partition_member_of(const mv_context *context, const mv_machine *machine,
                                           uint64_t term)
{
    mv_partition_member member = {.spot = machine->spot,
                                  .term = term,
                                  .rented_at_wall =
                                      machine->rented_at + context->clock.wall_offset};
    g_strlcpy(member.id, machine->id, sizeof member.id);
    g_strlcpy(member.address, machine->address, sizeof member.address);
    g_strlcpy(member.type_name, machine->type_name, sizeof member.type_name);
    g_strlcpy(member.zone_name, machine->zone_name, sizeof member.zone_name);
    return member;
}

GArray *mv_segment_members(const mv_membership *membership, const mv_partition_segment *segment,
                           uint64_t *term)
{
    const mv_context *context = membership->context;
    GArray *members = g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
    for (guint i = 0; i < segment->members->len; i++) {
        const mv_machine *machine = g_ptr_array_index(segment->members, i);
        if (machine->released)
            continue;
        mv_partition_member member = mv_partition_member_of(context, machine, machine->member_term);
        if (mv_machine_needs_fencing(context, machine)) {
            *term = membership->term + 1; /* one new term serves all machines to be fenced */
            member.term = *term;
        }
        g_array_append_val(members, member);
    }
    return members;
}

bool mv_segment_is_stale(const mv_partition_segment *segment)
{
    return segment->recorded_members > segment->members->len;
}

bool mv_shard_has_stale_segment(const mv_shard *shard)
{
    for (guint i = 0; i < shard->segments->len; i++)
        if (mv_segment_is_stale(g_ptr_array_index(shard->segments, i)))
            return true;
    return false;
}

/* --- writes --- */

static void begin(mv_partition_update *update, mv_context *context)
{
    if (!update->transaction)
        update->transaction = mv_transaction_new(&context->actions, true);
}

void mv_partition_update_put_segment(mv_partition_update *update, mv_context *context,
                                     const mv_shard *shard, guint segment_index,
                                     const GArray *members)
{
    char key[MV_KEY_SIZE];
    uint64_t revision = 0;
    if (segment_index < shard->segments->len) {
        const mv_partition_segment *segment = g_ptr_array_index(shard->segments, segment_index);
        revision = segment->partition_revision;
    }
    begin(update, context);
    g_snprintf(key, sizeof key, KEY_PARTITION_PREFIX "%u/%u", shard->index, segment_index);
    mv_transaction_require(update->transaction, key, revision);
    mv_transaction_put(update->transaction, key, mv_partition_pack(members), false);
    update->write_count++;
}

void mv_partition_update_put_new_occupancy(mv_partition_update *update, mv_agents *agents,
                                           const mv_shard *shard, guint segment_index,
                                           const GArray *members)
{
    char key[MV_KEY_SIZE];
    g_autoptr(GPtrArray) occupied = g_ptr_array_new();
    for (guint i = 0; i < members->len; i++) {
        const mv_partition_member *member = &g_array_index(members, mv_partition_member, i);
        mv_machine *machine = mv_agents_find(agents, member->id);
        if (machine && (machine->occupied || machine->confirmed))
            g_ptr_array_add(occupied, machine);
    }
    if (!occupied->len)
        return;
    begin(update, agents->context);
    g_snprintf(key, sizeof key, KEY_OCCUPANCY_PREFIX "%u/%u", shard->index, segment_index);
    mv_transaction_require(update->transaction, key, 0);
    mv_transaction_put(update->transaction, key, mv_occupancy_pack(occupied), false);
    update->write_count++;
}

void mv_partition_update_require_occupancy(mv_partition_update *update, const mv_shard *shard,
                                           const mv_partition_segment *segment)
{
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, KEY_OCCUPANCY_PREFIX "%u/%u", shard->index, segment->index);
    mv_transaction_require(update->transaction, key, segment->occupancy_revision);
}

void mv_partition_update_put_term(const mv_partition_update *update, mv_membership *membership)
{
    mv_action *transaction = update->transaction;
    mv_transaction_require(transaction, KEY_TERM, membership->term_revision);
    mv_transaction_put(transaction, KEY_TERM, mv_counter_pack(update->term), false);
    mv_transaction_slot_sent(&membership->term_transaction, &membership->context->clock,
                             transaction);
}
