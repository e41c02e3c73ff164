#include "coordination/foundation/context.h"

#include "telemetry/log.h"

#include <string.h>

static void free_shard(gpointer data)
{
    mv_shard_free(data);
}

void mv_context_init(mv_context *context, const mv_settings *settings)
{
    *context = (mv_context){.settings = settings};
    context->limits.value_bytes = (size_t)(settings->value_kb * 1024);
    context->limits.writes = settings->transaction_writes;
    mv_action_list_init(&context->actions);
    context->shards = g_ptr_array_new_with_free_func(free_shard);
    context->teams = g_new0(mv_team, settings->team_count);
    for (size_t i = 0; i < settings->team_count; i++)
        context->teams[i].settings = &settings->teams[i];
}

void mv_context_clear(mv_context *context)
{
    mv_action_list_clear(&context->actions);
    g_ptr_array_unref(context->shards);
    g_clear_pointer(&context->catalog.types, g_array_unref);
    g_free(context->teams);
}

mv_shard *mv_context_shard(mv_context *context, unsigned index)
{
    while (context->shards->len <= index)
        g_ptr_array_add(context->shards, mv_shard_new(context->shards->len));
    return g_ptr_array_index(context->shards, index);
}

bool mv_shard_is_owned(const mv_context *context, const mv_shard *shard)
{
    double lease_s = mv_settings_shard_lease_s(context->settings) * (1 - MV_CLOCK_DRIFT);
    return shard && shard->owned &&
           SAFETY_CHECK(LEASE, mv_lease_session_confirmed_within(&context->session, &context->clock,
                                                                 lease_s));
}

mv_team *mv_context_team(const mv_context *context, const char *name)
{
    for (size_t i = 0; i < context->settings->team_count; i++)
        if (strcmp(context->settings->teams[i].name, name) == 0)
            return &context->teams[i];
    return NULL;
}

void mv_context_reduce_limits(mv_context *context)
{
    mv_store_limits *limits = &context->limits;
    limits->value_bytes = MAX(limits->value_bytes / 2, (size_t)MV_VALUE_BYTES_MIN);
    limits->writes = MAX(limits->writes / 2, MV_TRANSACTION_WRITES_MIN);
    context->counters.limits_reduced++;
    mv_log_limited(MV_LOG_INFO, "limits_reduced", "value_bytes=%zu txn_ops=%u", limits->value_bytes,
                   limits->writes);
}

void mv_context_count_stale(mv_context *context, const char *what, const char *subject)
{
    context->counters.stale_messages++;
    mv_log_limited(MV_LOG_INFO, "stale_message_ignored", "what=%s of=%s", what, subject);
}

unsigned mv_intern_name(GHashTable *names, const char *name)
{
    gpointer known = g_hash_table_lookup(names, name);
    if (!known) {
        known = GUINT_TO_POINTER(g_hash_table_size(names) + 1);
        g_hash_table_insert(names, g_strdup(name), known);
    }
    return GPOINTER_TO_UINT(known);
}
