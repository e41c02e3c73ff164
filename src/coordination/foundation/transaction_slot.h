/**
 * A transaction slot lets one transaction of a kind be in flight at a time.
 *
 * A slot is busy from the moment a transaction is sent until its response arrives, including the
 * time that the transaction waits in the queue and for the write budget. After the response, the
 * slot stays busy until the state cache shows the result, but at most for MV_CACHE_LAG_S.
 */
#ifndef MV_TRANSACTION_SLOT_H
#define MV_TRANSACTION_SLOT_H
#include "coordination/foundation/action.h"
#include "coordination/foundation/clock.h"

/** A slot with all fields zero has no transaction in flight. Times are seconds of the monotonic
 * clock. */
typedef struct {
    uint64_t transaction_id; /**< transaction in flight; 0: none */
    double sent_at;
    double retry_at;        /**< if there is no response, another transaction may be sent from this
                               time on */
    double answered_at;     /**< time of a response whose result the state cache does not show yet;
                               0: the cache shows the last result */
    double observed_at;     /**< when the state cache last showed a change of the slot's records */
    bool cache_not_awaited; /**< after a response the slot does not wait for the state cache,
                               because the written records carry their own revisions */
} mv_transaction_slot;

/**
 * Returns whether another transaction of the slot must wait. Treats a transaction whose response
 * is overdue as lost.
 */
bool mv_transaction_slot_busy(mv_transaction_slot *slot, const mv_clock *clock);
/** Records that a transaction of the slot is handed to the server. */
void mv_transaction_slot_sent(mv_transaction_slot *slot, const mv_clock *clock,
                              const mv_action *transaction);
/** Records that the state cache shows a change of a record that the slot's transactions write. */
void mv_transaction_slot_observed(mv_transaction_slot *slot, const mv_clock *clock);
/**
 * Records the result of the transaction with this id. Does nothing if the slot has another
 * transaction in flight, or none.
 */
void mv_transaction_slot_answered(mv_transaction_slot *slot, const mv_clock *clock, uint64_t id,
                                  mv_transaction_result result);
#endif
