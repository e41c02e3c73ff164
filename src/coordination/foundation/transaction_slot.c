#include "coordination/foundation/transaction_slot.h"

#include "safety_checks.h"

/* The slot stays busy until the transaction has a result, because a second transaction that is sent
 * after a few seconds conflicts with the first. Conflicts count against the write limit, so each
 * conflict lengthens the queue: with 4,000 machines, the entry of a controller that had come back
 * was written only after 12 s.
 *
 * After the response, the slot stays busy until the state cache shows the result, but at most for
 * MV_CACHE_LAG_S: until then the next transaction would carry the old revisions and conflict too.
 * The slot does not wait until the cache is known to be complete, because a watch without events
 * takes seconds. */
bool mv_transaction_slot_busy(mv_transaction_slot *slot, const mv_clock *clock)
{
    if (slot->transaction_id && clock->now > slot->retry_at)
        slot->transaction_id = 0;
    bool cache_lags = slot->answered_at > 0 && clock->now < slot->answered_at + MV_CACHE_LAG_S;
    return slot->transaction_id != 0 || cache_lags;
}

void mv_transaction_slot_sent(mv_transaction_slot *slot, const mv_clock *clock,
                              const mv_action *transaction)
{
    slot->transaction_id = transaction->id;
    slot->sent_at = clock->now;
    slot->retry_at =
        clock->now + (SAFETY_CHECK(QUEUED, false) ? MV_TRANSACTION_RETRY_S : MV_TRANSACTION_LOST_S);
}

void mv_transaction_slot_observed(mv_transaction_slot *slot, const mv_clock *clock)
{
    slot->observed_at = clock->now;
    slot->answered_at = 0;
}

void mv_transaction_slot_answered(mv_transaction_slot *slot, const mv_clock *clock, uint64_t id,
                                  mv_transaction_result result)
{
    if (slot->transaction_id != id)
        return;
    if (result == MV_TRANSACTION_TOO_LARGE) {
        /* The slot stays busy for MV_TRANSACTION_RETRY_S, so that the transaction is not sent again
         * at once. */
        slot->retry_at = clock->now + MV_TRANSACTION_RETRY_S;
        return;
    }
    slot->transaction_id = 0;
    /* The state cache may have shown the writes before the response arrived. */
    bool committed_unseen = result == MV_TRANSACTION_COMMITTED && slot->observed_at < slot->sent_at;
    bool unseen = result == MV_TRANSACTION_CONFLICT || committed_unseen;
    slot->answered_at = unseen && !slot->cache_not_awaited ? clock->now : 0;
}
