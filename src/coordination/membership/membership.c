#include "coordination/membership/membership.h"

#include <string.h>

/* A returned machine is remembered for this many lags of the cloud's machine list, plus
 * MV_RELEASED_TTL_S, because a delayed list may still name the machine. */
#define LIST_LAGS_UNTIL_FORGOTTEN 4

void mv_membership_init(mv_membership *membership, mv_context *context, mv_job_table *jobs,
                        const mv_launch_control *launch_control, mv_agents *agents)
{
    *membership = (mv_membership){
        .context = context, .jobs = jobs, .launch_control = launch_control, .agents = agents};
    membership->cache.revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    membership->cache.departed = g_ptr_array_new_with_free_func(g_free);
    membership->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    membership->formats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    membership->resigned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    membership->released_names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void mv_membership_clear(mv_membership *membership)
{
    g_hash_table_unref(membership->cache.revisions);
    g_ptr_array_unref(membership->cache.departed);
    g_hash_table_unref(membership->nodes);
    g_hash_table_unref(membership->formats);
    g_hash_table_unref(membership->resigned);
    g_hash_table_unref(membership->released_names);
    mv_lease_holder_clear(&membership->leader);
}

/* --- the leader --- */

bool mv_membership_is_leader(const mv_membership *membership)
{
    const mv_context *context = membership->context;
    const mv_lease_holder *leader = &membership->leader;
    return mv_lease_session_incarnation(&context->session, &context->clock) &&
           SAFETY_CHECK(LEADER_SESSION, mv_lease_session_is_in_cache(&context->session)) &&
           membership->leader_revision && leader->incarnation == context->session.incarnation &&
           strcmp(leader->node, context->settings->node_name) == 0;
}

bool mv_membership_may_change_fleet(const mv_membership *membership)
{
    const mv_context *context = membership->context;
    const double age_s = mv_lease_session_cache_age(&context->session, &context->clock);
    return mv_membership_is_leader(membership) &&
           SAFETY_CHECK(LEADER_CACHE, age_s <= MV_LEADER_CACHE_AGE_MAX_S);
}

bool mv_membership_update_leading(mv_membership *membership)
{
    bool leads = mv_membership_is_leader(membership);
    if (leads == membership->leading)
        return false;
    membership->leading = leads;
    membership->leading_since = membership->context->clock.now;
    return true;
}

/* --- controllers --- */

bool mv_membership_holder_is_alive(const mv_membership *membership, const mv_lease_holder *holder)
{
    const mv_node_entry *entry = g_hash_table_lookup(membership->nodes, holder->node);
    return entry && entry->incarnation == holder->incarnation;
}

bool mv_membership_formats_are_current(const mv_membership *membership)
{
    unsigned current = 0;
    bool any_old = false;
    GHashTableIter iter;
    gpointer node, value;
    g_hash_table_iter_init(&iter, membership->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        bool is_current = ((mv_node_entry *)value)->format >= MV_FORMAT_CURRENT;
        current += is_current;
        any_old = any_old || !is_current;
    }
    g_hash_table_iter_init(&iter, membership->formats);
    while (g_hash_table_iter_next(&iter, &node, NULL))
        current += !g_hash_table_contains(membership->nodes, node);
    unsigned expected = membership->context->settings->controller_count;
    return SAFETY_CHECK(FORMAT, !any_old && current >= expected);
}

/* --- machines returned to the cloud --- */

void mv_membership_mark_released(mv_membership *membership, const char *machine)
{
    double *released_at = g_new(double, 1);
    *released_at = membership->context->clock.now;
    g_hash_table_replace(membership->released_names, g_strdup(machine), released_at);
}

bool mv_membership_was_released(const mv_membership *membership, const char *machine)
{
    return g_hash_table_contains(membership->released_names, machine);
}

static gboolean release_is_forgotten(gpointer key, gpointer value, gpointer data)
{
    const mv_context *context = data;
    (void)key;
    double lists_s = LIST_LAGS_UNTIL_FORGOTTEN * context->settings->machine_list_lag_s;
    return context->clock.now > *(double *)value + lists_s + MV_RELEASED_TTL_S;
}

void mv_membership_forget_released(mv_membership *membership)
{
    g_hash_table_foreach_remove(membership->released_names, release_is_forgotten,
                                membership->context);
}

/* --- transactions --- */

void mv_membership_transaction_answered(mv_membership *membership, uint64_t id,
                                        mv_transaction_result result)
{
    const mv_context *context = membership->context;
    const mv_clock *clock = &context->clock;
    mv_transaction_slot_answered(&membership->node_transaction, clock, id, result);
    mv_transaction_slot_answered(&membership->leader_transaction, clock, id, result);
    mv_transaction_slot_answered(&membership->grant_transaction, clock, id, result);
    mv_transaction_slot_answered(&membership->format_transaction, clock, id, result);
    mv_transaction_slot_answered(&membership->term_transaction, clock, id, result);
    for (guint i = 0; i < context->shards->len; i++) {
        mv_shard *shard = g_ptr_array_index(context->shards, i);
        mv_transaction_slot_answered(&shard->occupancy_transaction, clock, id, result);
        mv_transaction_slot_answered(&shard->partition_transaction, clock, id, result);
        mv_shard_reservation_answered(shard, clock->now, id, result);
    }
}
