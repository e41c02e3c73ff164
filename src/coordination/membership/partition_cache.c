#include "coordination/membership/partition_cache.h"

#include "coordination/agents/machine_lifecycle.h"
#include "protocol/names.h"

/* --- members --- */

/* Takes the machine out of the segment that names it, if any, and updates the counts. */
static void leave_segment(mv_machine *machine)
{
    if (!machine->shard)
        return;
    mv_partition_segment *segment = mv_shard_segment(machine->shard, machine->segment);
    if (!g_ptr_array_remove_fast(segment->members, machine))
        return;
    machine->shard->machine_count--;
    if (machine->confirmed && !machine->occupied)
        segment->unrecorded_count--;
}

static void remove_machine(mv_membership *membership, mv_machine *machine)
{
    leave_segment(machine);
    mv_machine_departed(membership->agents, machine);
}

/* Prepares a machine, new or from another shard, for the shard whose partition names it now. What
 * was known of the machine's tasks under the old shard is forgotten. */
static void join_shard(mv_membership *membership, const mv_shard *shard, mv_machine *machine,
                       const mv_partition_member *member, uint64_t revision)
{
    const mv_clock *clock = &membership->context->clock;
    mv_machine_reset(membership->agents, machine);
    leave_segment(machine);
    machine->rented_at = mv_clock_steady_from_wall(clock, member->rented_at_wall);
    /* The heartbeat timeout counts from this moment. When it counted from the grant of the shard,
     * transferred machines were released at once as never booted, because the new owner had
     * received no heartbeat from these machines since its grant. */
    machine->joined_partition_at = clock->now;
    /* If the machine joined after the present owner was granted the shard, no earlier owner of the
     * shard can have launched tasks on it, so nothing of this partition is on the machine. */
    bool after_grant = shard->revision != 0 && revision > shard->grant_revision;
    machine->known_empty = after_grant && membership->cache.loaded;
    bool is_up = machine->last_heartbeat_at > 0 || machine->occupied;
    /* A machine that is up gets a sign of life, so that the new owner probes the machine at once.
     * Otherwise the owner would wait until the machine's agent finds the owner. */
    if (is_up)
        machine->last_sign_at = clock->now;
}

/* Records that a segment of the shard names a machine, either newly or under another term. A
 * machine that comes from another shard or gets another term counts as unconfirmed until its agent
 * reports under the new fencing token. */
static void enter_segment(mv_membership *membership, mv_shard *shard, mv_partition_segment *segment,
                          mv_machine *machine, const mv_partition_member *member, uint64_t revision)
{
    const bool shard_changes = machine->shard != shard;
    const bool segment_changes = shard_changes || machine->segment != segment->index;
    const bool same_term = !shard_changes && machine->member_term == member->term;
    if (shard_changes)
        join_shard(membership, shard, machine, member, revision);
    else if (segment_changes)
        leave_segment(machine);
    if (segment_changes) {
        g_ptr_array_add(segment->members, machine);
        shard->machine_count++;
    } else if (machine->confirmed && !machine->occupied) {
        segment->unrecorded_count--;
    }
    machine->shard = shard;
    machine->segment = segment->index;
    machine->departing = false;
    /* A machine that moves between segments of one partition stays occupied, whether the new
     * segment's partition record or its occupancy record is read first. */
    bool is_recorded = g_hash_table_contains(segment->occupied_names, machine->id);
    machine->occupied = is_recorded || (machine->occupied && !shard_changes);
    machine->member_term = member->term;
    if (same_term) { /* only the segment changes; the machine stays confirmed */
        segment->unrecorded_count += machine->confirmed && !machine->occupied;
        return;
    }
    machine->confirmed = false; /* until the agent reports under the new fencing token */
    machine->release_pending = machine->summary.needs_fencing = false;
}

/* Returns the machine that a record names, and adds it if it is not known. A machine that is
 * leaving another shard is first removed, which requeues its tasks, and then added as a new
 * machine. */
static mv_machine *find_or_add(mv_membership *membership, const mv_shard *shard,
                               const mv_partition_member *member)
{
    mv_machine *machine = mv_agents_find(membership->agents, member->id);
    if (machine && machine->departing && machine->shard != shard) {
        remove_machine(membership, machine);
        machine = NULL;
    }
    return machine ? machine : mv_agents_add(membership->agents, member->id);
}

static void copy_identity(const mv_membership *membership, mv_machine *machine,
                          const mv_partition_member *member)
{
    if (member->address[0])
        g_strlcpy(machine->address, member->address, sizeof machine->address);
    g_strlcpy(machine->type_name, member->type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone_name, member->zone_name, sizeof machine->zone_name);
    machine->zone = mv_intern_name(membership->agents->zones, member->zone_name);
    machine->spot = member->spot;
}

/* Returns whether a machine that the segment's record names has to enter the segment. While a large
 * segment is split, two segments name the machine; then the newer record counts. */
static bool should_enter(mv_shard *shard, const mv_partition_segment *segment,
                         const mv_machine *machine, const mv_partition_member *member,
                         uint64_t revision)
{
    if (machine->shard != shard)
        return true;
    if (machine->segment == segment->index)
        return machine->member_term != member->term;
    return mv_shard_segment(shard, machine->segment)->partition_revision <= revision;
}

/* Marks each machine of the segment that the segment's record no longer names. `present` holds the
 * ids of the machines that the record names. */
static void mark_departing(mv_membership *membership, const mv_partition_segment *segment,
                           GHashTable *present)
{
    for (guint i = segment->members->len; i-- > 0;) {
        mv_machine *machine = g_ptr_array_index(segment->members, i);
        machine->departing = !g_hash_table_contains(present, machine->id);
        if (machine->departing)
            g_ptr_array_add(membership->cache.departed, g_strdup(machine->id));
    }
}

void mv_partition_cache_apply_members(mv_membership *membership, unsigned shard_index,
                                      unsigned segment_index, const msgpack_object *object,
                                      uint64_t revision)
{
    mv_context *context = membership->context;
    mv_shard *shard = mv_context_shard(context, shard_index);
    mv_partition_segment *segment = mv_shard_segment(shard, segment_index);
    segment->partition_revision = object ? revision : 0;
    mv_transaction_slot_observed(&shard->partition_transaction, &context->clock);
    g_autoptr(GArray) members = object ? mv_partition_parse(object) : NULL;
    segment->recorded_members = members ? members->len : 0;
    g_autoptr(GHashTable) present = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; members && i < members->len; i++) {
        const mv_partition_member *member = &g_array_index(members, mv_partition_member, i);
        mv_machine *machine = find_or_add(membership, shard, member);
        g_hash_table_add(present, machine->id);
        copy_identity(membership, machine, member);
        if (should_enter(shard, segment, machine, member, revision))
            enter_segment(membership, shard, segment, machine, member, revision);
    }
    mark_departing(membership, segment, present);
    membership->cache.departed_revision = revision;
}

void mv_partition_cache_remove_departed(mv_membership *membership)
{
    GPtrArray *departed = membership->cache.departed;
    if (!SAFETY_CHECK(RELIST, !membership->cache.relisting))
        return;
    for (guint i = 0; i < departed->len; i++) {
        mv_machine *machine = mv_agents_find(membership->agents, g_ptr_array_index(departed, i));
        if (machine && machine->shard && machine->departing)
            remove_machine(membership, machine);
    }
    g_ptr_array_set_size(departed, 0);
}

/* --- occupancy --- */

/* Reads which machines may hold tasks, and sets addresses that are not known yet. The record is one
 * list in which names and addresses alternate. */
static void read_occupancy(const mv_membership *membership, mv_partition_segment *segment,
                           const msgpack_object *object)
{
    const msgpack_object_array *list = object ? mv_field_read_list(object, RECORD_MACHINES) : NULL;
    g_hash_table_remove_all(segment->occupied_names);
    for (uint32_t i = 0; list && i + 1 < list->size; i += 2) {
        char id[MV_NAME_SIZE], address[sizeof((mv_machine *)NULL)->address];
        if (!mv_text_copy(&list->ptr[i], id, sizeof id) ||
            !mv_text_copy(&list->ptr[i + 1], address, sizeof address))
            continue;
        g_hash_table_add(segment->occupied_names, g_strdup(id));
        mv_machine *machine = mv_agents_find(membership->agents, id);
        if (machine && !machine->address[0])
            g_strlcpy(machine->address, address, sizeof machine->address);
    }
}

void mv_partition_cache_apply_occupancy(mv_membership *membership, unsigned shard_index,
                                        unsigned segment_index, const msgpack_object *object,
                                        uint64_t revision)
{
    mv_context *context = membership->context;
    mv_shard *shard = mv_context_shard(context, shard_index);
    mv_partition_segment *segment = mv_shard_segment(shard, segment_index);
    mv_transaction_slot_observed(&shard->occupancy_transaction, &context->clock);
    segment->occupancy_revision = object ? revision : 0;
    read_occupancy(membership, segment, object);
    segment->unrecorded_count = 0;
    segment->withdraws_transfer = false;
    for (guint i = 0; i < segment->members->len; i++) {
        mv_machine *machine = g_ptr_array_index(segment->members, i);
        /* A transfer requires the revision of the occupancy record under which the owner declared
         * the machine transferable. This record is newer, so that transfer would fail. */
        machine->transferable_revision = 0;
        machine->occupied = g_hash_table_contains(segment->occupied_names, machine->id);
        segment->unrecorded_count += machine->confirmed && !machine->occupied;
    }
}
