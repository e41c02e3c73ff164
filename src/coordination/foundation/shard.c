#include "coordination/foundation/shard.h"

#include "telemetry/log.h"

static void free_segment(gpointer data)
{
    mv_partition_segment *segment = data;
    g_ptr_array_unref(segment->members);
    g_hash_table_unref(segment->occupied_names);
    g_free(segment);
}

mv_shard *mv_shard_new(unsigned index)
{
    mv_shard *shard = g_new0(mv_shard, 1);
    shard->index = index;
    shard->segments = g_ptr_array_new_with_free_func(free_segment);
    shard->joining = g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
    return shard;
}

void mv_shard_free(mv_shard *shard)
{
    mv_lease_holder_clear(&shard->holder);
    g_ptr_array_unref(shard->segments);
    g_array_unref(shard->joining);
    mv_shard_demand_free(shard->demand);
    g_free(shard);
}

mv_partition_segment *mv_shard_segment(mv_shard *shard, unsigned index)
{
    while (shard->segments->len <= index) {
        mv_partition_segment *segment = g_new0(mv_partition_segment, 1);
        segment->index = shard->segments->len;
        segment->members = g_ptr_array_new();
        segment->occupied_names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_ptr_array_add(shard->segments, segment);
    }
    return g_ptr_array_index(shard->segments, index);
}

void mv_shard_reservation_answered(mv_shard *shard, double now, uint64_t id,
                                   mv_transaction_result result)
{
    if (shard->token_transaction_id != id)
        return;
    shard->token_transaction_id = 0;
    if (result != MV_TRANSACTION_COMMITTED)
        return;
    shard->tokens = shard->requested_tokens;
    shard->needs_tokens = false;
    shard->tokens_reserved_at = now;
    mv_info("tokens_reserved",
            "shard=%u term=%" G_GUINT64_FORMAT " first=%" G_GUINT64_FORMAT
            " last=%" G_GUINT64_FORMAT,
            shard->index, shard->holder.term, shard->tokens.first, shard->tokens.last);
}

void mv_shard_forget_tokens(mv_shard *shard)
{
    shard->tokens = shard->requested_tokens = (mv_token_range){0};
    shard->token_transaction_id = 0;
    shard->needs_tokens = false;
    shard->tokens_reserved_at = 0;
}
