#include "coordination/membership/token_reservation.h"

#include "protocol/names.h"

/* Returns whether this process is writing the counter of terms already. Of two such writes, one
 * would conflict. */
static bool counter_is_busy(mv_membership *membership)
{
    const mv_clock *clock = &membership->context->clock;
    return mv_transaction_slot_busy(&membership->term_transaction, clock) ||
           mv_transaction_slot_busy(&membership->grant_transaction, clock);
}

static bool is_due(const mv_context *context, const mv_shard *shard)
{
    const bool is_needed = shard->tokens.last == 0 || shard->needs_tokens;
    return is_needed && mv_lease_session_incarnation(&context->session, &context->clock) &&
           context->clock.now >= shard->tokens_reserved_at + MV_TOKEN_RESERVATION_INTERVAL_S;
}

void mv_token_reservation_tick(mv_membership *membership, mv_shard *shard)
{
    mv_context *context = membership->context;
    if (!membership->term_revision || !is_due(context, shard) || counter_is_busy(membership))
        return;
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, KEY_SHARD_PREFIX "%u", shard->index);
    shard->requested_tokens =
        (mv_token_range){.first = membership->term + 1, .last = membership->term + MV_TOKEN_RANGE};
    mv_action *transaction = mv_transaction_new(&context->actions, true);
    mv_transaction_require(transaction, key, shard->revision);
    mv_transaction_require(transaction, KEY_TERM, membership->term_revision);
    mv_transaction_put(transaction, KEY_TERM, mv_counter_pack(shard->requested_tokens.last), false);
    mv_transaction_slot_sent(&membership->term_transaction, &context->clock, transaction);
    shard->token_transaction_id = transaction->id;
}
