#include "coordination/membership/election.h"

#include "protocol/names.h"
#include "telemetry/log.h"

#include <string.h>

static const mv_node_entry *find_own_entry(const mv_membership *membership)
{
    return g_hash_table_lookup(membership->nodes, membership->context->settings->node_name);
}

static bool is_announced(const mv_membership *membership)
{
    const mv_node_entry *own = find_own_entry(membership);
    return own && own->incarnation == membership->context->session.incarnation;
}

/* --- announcement --- */

/* Writes this process's entry. An entry that an earlier process of the same node left is
 * overwritten, because this process is that process's only successor. */
static void put_own_entry(const mv_membership *membership, mv_action *transaction)
{
    const mv_context *context = membership->context;
    const mv_node_entry *own = find_own_entry(membership);
    char key[MV_KEY_SIZE];
    mv_lease_holder holder = {.incarnation = context->session.incarnation,
                              .format = EMULATES_FORMAT_1(context) ? 0 : MV_FORMAT_CURRENT};
    g_strlcpy(holder.node, context->settings->node_name, sizeof holder.node);
    g_snprintf(key, sizeof key, KEY_NODE_PREFIX "%s", context->settings->node_name);
    mv_transaction_require(transaction, key, own ? own->revision : 0);
    mv_transaction_put(transaction, key, mv_lease_holder_pack(&holder), true);
}

/* Records that this node uses the current format, unless that is recorded already. */
static void put_own_format(const mv_membership *membership, mv_action *transaction)
{
    const mv_context *context = membership->context;
    const char *node = context->settings->node_name;
    char key[MV_KEY_SIZE];
    if (EMULATES_FORMAT_1(context) || g_hash_table_contains(membership->formats, node))
        return;
    g_snprintf(key, sizeof key, KEY_FORMAT_PREFIX "%s", node);
    mv_transaction_require(transaction, key, 0);
    mv_transaction_put(transaction, key, mv_format_pack(MV_FORMAT_CURRENT), false);
}

static void announce(mv_membership *membership)
{
    mv_context *context = membership->context;
    mv_transaction_slot *slot = &membership->node_transaction;
    if (is_announced(membership) || mv_transaction_slot_busy(slot, &context->clock))
        return;
    mv_action *transaction = mv_transaction_new(&context->actions, true);
    put_own_entry(membership, transaction);
    put_own_format(membership, transaction);
    mv_transaction_slot_sent(slot, &context->clock, transaction);
}

/* --- leader --- */

/* Writes this process into the leader's record, under a new term, if there is no leader or the
 * leader is an earlier process of the same node. */
static void try_to_become_leader(mv_membership *membership)
{
    mv_context *context = membership->context;
    const mv_lease_holder *leader = &membership->leader;
    const uint64_t incarnation = context->session.incarnation;
    bool is_successor = membership->leader_revision &&
                        strcmp(leader->node, context->settings->node_name) == 0 &&
                        leader->incarnation != incarnation;
    mv_transaction_slot *slot = &membership->leader_transaction;
    if ((membership->leader_revision && !is_successor) ||
        mv_transaction_slot_busy(slot, &context->clock))
        return;
    mv_lease_holder candidate = {.incarnation = incarnation, .term = membership->term + 1};
    g_strlcpy(candidate.node, context->settings->node_name, sizeof candidate.node);
    mv_action *transaction = mv_transaction_new(&context->actions, true);
    mv_transaction_require(transaction, KEY_LEADER, membership->leader_revision);
    mv_transaction_require(transaction, KEY_TERM, membership->term_revision);
    mv_transaction_put(transaction, KEY_LEADER, mv_lease_holder_pack(&candidate), true);
    mv_transaction_put(transaction, KEY_TERM, mv_counter_pack(candidate.term), false);
    mv_transaction_slot_sent(slot, &context->clock, transaction);
}

/* Removes the leader's record if this process leads on a state cache that no watch has brought up
 * to date for long, so that another controller becomes the leader. */
static void resign_on_stale_cache(mv_membership *membership)
{
    mv_context *context = membership->context;
    mv_transaction_slot *slot = &membership->leader_transaction;
    const double age_s = mv_lease_session_cache_age(&context->session, &context->clock);
    if (age_s <= MV_LEADER_RESIGN_AFTER_S || !mv_membership_is_leader(membership) ||
        mv_transaction_slot_busy(slot, &context->clock))
        return;
    mv_action *transaction = mv_transaction_new(&context->actions, true);
    mv_transaction_require(transaction, KEY_LEADER, membership->leader_revision);
    mv_transaction_delete(transaction, KEY_LEADER);
    mv_transaction_slot_sent(slot, &context->clock, transaction);
    mv_log_limited(MV_LOG_INFO, "leadership_resigned",
                   "term=%" G_GUINT64_FORMAT " cache_age_s=%.1f", membership->leader.term, age_s);
}

bool mv_election_tick(mv_membership *membership)
{
    resign_on_stale_cache(membership);
    announce(membership);
    if (!is_announced(membership))
        return false;
    try_to_become_leader(membership);
    return true;
}

/* --- formats --- */

static void delete_format(mv_membership *membership, const mv_node_entry *entry, uint64_t revision)
{
    mv_context *context = membership->context;
    char key[MV_KEY_SIZE];
    mv_action *transaction = mv_transaction_new(&context->actions, true);
    g_snprintf(key, sizeof key, KEY_NODE_PREFIX "%s", entry->node);
    mv_transaction_require(transaction, key, entry->revision);
    g_snprintf(key, sizeof key, KEY_FORMAT_PREFIX "%s", entry->node);
    mv_transaction_require(transaction, key, revision);
    mv_transaction_delete(transaction, key);
    mv_transaction_slot_sent(&membership->format_transaction, &context->clock, transaction);
}

void mv_election_correct_formats(mv_membership *membership)
{
    const mv_context *context = membership->context;
    GHashTableIter iter;
    gpointer value;
    if (EMULATES_FORMAT_1(context) ||
        mv_transaction_slot_busy(&membership->format_transaction, &context->clock))
        return;
    g_hash_table_iter_init(&iter, membership->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mv_node_entry *entry = value;
        const uint64_t *revision = g_hash_table_lookup(membership->formats, entry->node);
        if (entry->format >= MV_FORMAT_CURRENT || !revision)
            continue;
        delete_format(membership, entry, *revision);
        return;
    }
}
