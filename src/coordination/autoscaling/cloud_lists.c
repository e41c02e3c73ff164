#include "coordination/autoscaling/cloud_lists.h"

#include "coordination/autoscaling/adoption.h"
#include "protocol/names.h"
#include "telemetry/log.h"

/* A list request that got no response is sent again after this many cloud time-outs. */
#define TYPES_TIMEOUTS 2.0
#define LIST_TIMEOUTS 4.0
/* Seconds between requests for the machine types, until the types are known and recorded. */
#define TYPES_RETRY_S 1

static double timeout_s(double timeouts)
{
    return timeouts * MV_CLOUD_TIMEOUT_MS / 1000;
}

/* --- requests --- */

static bool types_are_due(const mv_context *context)
{
    const mv_machine_catalog *catalog = &context->catalog;
    const double now = context->clock.now;
    bool overdue = now > catalog->requested_at + timeout_s(TYPES_TIMEOUTS);
    if (catalog->request_id && !overdue)
        return false;
    bool complete = catalog->types && catalog->revision;
    double interval_s = complete ? MV_TYPES_INTERVAL_S : TYPES_RETRY_S;
    return catalog->requested_at == 0 || now > catalog->requested_at + interval_s;
}

static bool list_is_due(const mv_autoscaler *autoscaler)
{
    const mv_machine_listing *listing = &autoscaler->listing;
    const double now = autoscaler->context->clock.now;
    bool due = listing->requested_at == 0 || now > listing->requested_at + MV_LIST_INTERVAL_S;
    bool overdue = now > listing->requested_at + timeout_s(LIST_TIMEOUTS);
    return due && (!listing->action_id || overdue);
}

static void request_list(mv_autoscaler *autoscaler)
{
    mv_context *context = autoscaler->context;
    mv_machine_listing *listing = &autoscaler->listing;
    g_clear_pointer(&listing->names, g_hash_table_unref);
    listing->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    listing->action_id = mv_action_new(&context->actions, MV_ACTION_LIST_MACHINES)->id;
    listing->requested_at = context->clock.now;
}

void mv_cloud_lists_request(mv_autoscaler *autoscaler)
{
    mv_context *context = autoscaler->context;
    if (types_are_due(context)) {
        context->catalog.request_id = mv_action_new(&context->actions, MV_ACTION_LIST_TYPES)->id;
        context->catalog.requested_at = context->clock.now;
    }
    if (mv_membership_is_leader(autoscaler->membership) && list_is_due(autoscaler))
        request_list(autoscaler);
}

/* --- types --- */

/* Records the machine types in the state service, if this controller is the leader and there is no
 * record yet. Controllers that start while the cloud is unavailable load the types from this
 * record; without the record, no such controller could accept a job until the cloud is available
 * again. */
static void record_types(const mv_autoscaler *autoscaler)
{
    const mv_membership *membership = autoscaler->membership;
    mv_context *context = autoscaler->context;
    if (!mv_membership_is_leader(membership) || context->catalog.revision)
        return;
    g_autoptr(GBytes) packed = mv_machine_types_pack(context->catalog.types);
    /* The value limit counts a longer encoding of the record than MessagePack. That encoding is
     * less than twice as long for this record, so the check doubles the MessagePack length. */
    if (2 * g_bytes_get_size(packed) > context->limits.value_bytes) {
        mv_log_limited(MV_LOG_INFO, "limit_too_small", "limit=value_kb record=" KEY_MACHINE_TYPES);
        return;
    }
    mv_action *transaction = mv_transaction_new(&context->actions, false);
    mv_transaction_require(transaction, KEY_LEADER, membership->leader_revision);
    mv_transaction_require(transaction, KEY_MACHINE_TYPES, 0);
    mv_transaction_put(transaction, KEY_MACHINE_TYPES, g_bytes_ref(packed), false);
}

static void forget_type_indexes(const mv_agents *agents)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, agents->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        ((mv_machine *)value)->type_index = -1;
}

void mv_cloud_lists_types_received(mv_autoscaler *autoscaler, GArray *types)
{
    mv_context *context = autoscaler->context;
    context->catalog.request_id = 0;
    if (!types)
        return;
    g_clear_pointer(&context->catalog.types, g_array_unref);
    context->catalog.types = types;
    forget_type_indexes(autoscaler->agents);
    context->round_requested = true;
    record_types(autoscaler);
}

/* --- machines --- */

static void adopt_listed(mv_autoscaler *autoscaler, const mv_listed_machine *entry)
{
    double wall_time = mv_clock_wall_time(&autoscaler->context->clock);
    mv_partition_member member = {.spot = entry->spot, .rented_at_wall = wall_time - entry->age_s};
    g_strlcpy(member.id, entry->id, sizeof member.id);
    g_strlcpy(member.address, entry->address, sizeof member.address);
    g_strlcpy(member.type_name, entry->type_name, sizeof member.type_name);
    g_strlcpy(member.zone_name, entry->zone_name, sizeof member.zone_name);
    mv_adoption_adopt(autoscaler, &member);
}

static void read_entry(mv_autoscaler *autoscaler, const mv_listed_machine *entry)
{
    mv_machine *machine = mv_agents_find(autoscaler->agents, entry->id);
    g_hash_table_add(autoscaler->listing.names, g_strdup(entry->id));
    if (machine) {
        machine->listed_failed = entry->failed;
        if (!machine->address[0])
            g_strlcpy(machine->address, entry->address, sizeof machine->address);
    } else if (mv_membership_is_leader(autoscaler->membership) &&
               entry->age_s > MV_ADOPTION_AGE_S) {
        adopt_listed(autoscaler, entry);
    }
}

static void complete_list(mv_autoscaler *autoscaler)
{
    const GPtrArray *rotation = autoscaler->agents->rotation;
    mv_machine_listing *listing = &autoscaler->listing;
    listing->last.complete = true;
    listing->last.machines = g_hash_table_size(listing->names);
    for (guint i = 0; i < rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(rotation, i);
        bool is_listed = g_hash_table_contains(listing->names, machine->id);
        bool is_missed = machine->listed && !is_listed;
        machine->lists_missed = is_missed ? machine->lists_missed + 1 : 0;
        machine->listed = machine->listed || is_listed;
    }
}

static void request_next_page(mv_autoscaler *autoscaler, const char *after)
{
    mv_action *action = mv_action_new(&autoscaler->context->actions, MV_ACTION_LIST_MACHINES);
    g_strlcpy(action->name, after, sizeof action->name);
    autoscaler->listing.action_id = action->id;
}

void mv_cloud_lists_page_received(mv_autoscaler *autoscaler, uint64_t action_id,
                                  const GArray *listed, bool more)
{
    if (autoscaler->listing.action_id != action_id)
        return;
    autoscaler->listing.action_id = 0;
    if (!listed)
        return;
    for (guint i = 0; i < listed->len; i++)
        read_entry(autoscaler, &g_array_index(listed, mv_listed_machine, i));
    if (more && listed->len > 0)
        request_next_page(autoscaler, g_array_index(listed, mv_listed_machine, listed->len - 1).id);
    else
        complete_list(autoscaler);
}
