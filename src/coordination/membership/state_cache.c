#include "coordination/membership/state_cache.h"

#include "coordination/agents/machine_lifecycle.h"
#include "protocol/names.h"
#include "telemetry/log.h"

#include <string.h>

/* --- revisions and lists --- */

/* A list of many records is read in pages, each newer than the page before, while changes are
 * watched from the revision of the first page on. A watch can therefore deliver a change that is
 * older than the record in a later page. Such a change is stale and must not overwrite the newer
 * record. */
bool mv_state_cache_accept(mv_membership *membership, const char *key, bool removed,
                           uint64_t revision)
{
    GHashTable *revisions = membership->cache.revisions;
    const uint64_t *known = g_hash_table_lookup(revisions, key);
    if (known && revision && revision < *known) {
        mv_context_count_stale(membership->context, "record", key);
        return false;
    }
    /* A list repeats records that the cache already has. A record with a known revision is ignored,
     * so that decisions based on that revision stay valid. When a repeated occupancy record was
     * applied as new, the owner forgot that machines were declared transferable while the leader
     * could still transfer them. */
    if (known && !SAFETY_CHECK(REPEATED_RECORD, revision != *known))
        return false;
    if (removed)
        g_hash_table_remove(revisions, key);
    else
        g_hash_table_replace(revisions, g_strdup(key), g_memdup2(&revision, sizeof revision));
    return true;
}

void mv_state_cache_relist_started(mv_membership *membership)
{
    membership->cache.relisting = true;
    membership->cache.relisted_at = G_MAXDOUBLE;
}

void mv_state_cache_loaded(mv_membership *membership)
{
    membership->cache.loaded = true;
    membership->cache.relisted_at = membership->context->clock.now;
}

void mv_state_cache_watch_answered(mv_membership *membership, double sent)
{
    mv_lease_session *session = &membership->context->session;
    if (sent >= membership->cache.relisted_at)
        membership->cache.relisting = false;
    session->caught_up_to = MAX(session->caught_up_to, sent);
}

/* --- leader and term --- */

void mv_state_cache_apply_leader(mv_membership *membership, const msgpack_object *object,
                                 uint64_t revision)
{
    mv_lease_holder_clear(&membership->leader);
    membership->leader = (mv_lease_holder){0};
    membership->leader_revision = 0;
    if (object && mv_lease_holder_parse(object, &membership->leader))
        membership->leader_revision = revision;
}

void mv_state_cache_apply_term(mv_membership *membership, const msgpack_object *object,
                               uint64_t revision)
{
    if (object && mv_counter_parse(object, &membership->term))
        membership->term_revision = revision;
    mv_transaction_slot_observed(&membership->term_transaction, &membership->context->clock);
}

/* --- controllers --- */

void mv_state_cache_apply_node(mv_membership *membership, const char *name,
                               const msgpack_object *object, uint64_t revision)
{
    mv_lease_holder holder;
    if (!object || !mv_lease_holder_parse(object, &holder)) {
        g_hash_table_remove(membership->nodes, name);
        return;
    }
    mv_node_entry *entry = g_new0(mv_node_entry, 1);
    g_strlcpy(entry->node, name, sizeof entry->node);
    entry->incarnation = holder.incarnation;
    entry->revision = revision;
    entry->format = holder.format;
    mv_lease_holder_clear(&holder);
    g_hash_table_replace(membership->nodes, entry->node, entry);
}

void mv_state_cache_apply_format(mv_membership *membership, const char *name,
                                 const msgpack_object *object, uint64_t revision)
{
    uint64_t format = 0;
    bool is_current = object &&
                      mv_field_read_u64(object, RECORD_FORMAT, &format) == MV_FIELD_PRESENT &&
                      format >= MV_FORMAT_CURRENT;
    if (is_current)
        g_hash_table_replace(membership->formats, g_strdup(name),
                             g_memdup2(&revision, sizeof revision));
    else
        g_hash_table_remove(membership->formats, name);
}

/* --- shards --- */

static void assign_teams(const mv_context *context, mv_shard *shard)
{
    const GPtrArray *names = shard->holder.teams;
    for (size_t i = 0; i < context->settings->team_count; i++) {
        mv_team *team = &context->teams[i];
        if (team->home_shard == shard)
            team->home_shard = NULL;
        for (guint k = 0; names && k < names->len; k++)
            if (strcmp(g_ptr_array_index(names, k), team->settings->name) == 0)
                team->home_shard = shard;
    }
}

/* Forgets the state of a shard's machines and jobs. After a grant under a new term this state is
 * stale. The new owner, even if it is the same controller as before a restart, learns the state
 * from the agents' heartbeats under the new term. */
static void reset_shard(mv_membership *membership, const mv_shard *shard)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, membership->agents->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (((mv_machine *)value)->shard == shard)
            mv_machine_reset(membership->agents, value);
    g_hash_table_iter_init(&iter, membership->jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (((mv_job *)value)->home_shard == shard)
            mv_job_reset(membership->context, value);
}

static bool is_own_lease(const mv_context *context, const mv_lease_holder *holder)
{
    uint64_t incarnation = context->session.incarnation;
    return incarnation && holder->incarnation == incarnation &&
           strcmp(holder->node, context->settings->node_name) == 0;
}

static void shard_granted(mv_context *context, mv_shard *shard, uint64_t revision)
{
    shard->grant_revision = revision;
    shard->rebuilt = false;
    mv_shard_forget_tokens(shard);
    shard->acquired_at = shard->listening_since = context->clock.now;
    if (shard->owned)
        context->counters.shard_acquisitions++;
    mv_info("shard_granted", "shard=%u owner=%s term=%" G_GUINT64_FORMAT " owned=%d", shard->index,
            shard->holder.node, shard->holder.term, shard->owned);
}

void mv_state_cache_apply_shard(mv_membership *membership, unsigned index,
                                const msgpack_object *object, uint64_t revision)
{
    mv_context *context = membership->context;
    mv_shard *shard = mv_context_shard(context, index);
    mv_lease_holder holder;
    if (!object || !mv_lease_holder_parse(object, &holder)) {
        shard->revision = 0;
        shard->owned = false;
        return;
    }
    bool newly_granted = holder.term != shard->holder.term;
    if (newly_granted)
        reset_shard(membership, shard);
    mv_lease_holder_clear(&shard->holder);
    shard->holder = holder;
    shard->revision = revision;
    shard->owned = is_own_lease(context, &holder);
    assign_teams(context, shard);
    if (newly_granted)
        shard_granted(context, shard, revision);
}
