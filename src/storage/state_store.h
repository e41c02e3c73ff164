/**
 * Client of the state service, the consensus-backed key-value store of the platform.
 *
 * Reads and transactions are linearizable. The records under KEY_LIVE_PREFIX are listed and then
 * watched. All records that have to disappear when this process ends are attached to one lease
 * session. Transactions are limited by the write budget (write_budget.h). The threads of the
 * request pool (request_pool.h) send transactions and the reads of single records; the calling
 * thread sends the requests of lease session, list and watch.
 *
 * Threads: every function except mv_state_store_free may be called from any thread, and may block
 * for the timeouts of constants.h (MV_STATE_STORE_*). The client holds no lock while a request is
 * in flight.
 *
 * Source: section "state service" of the protocol page.
 */
#ifndef MV_STATE_STORE_H
#define MV_STATE_STORE_H
#include "config/settings.h"
#include "coordination/foundation/action.h"

/** A client of the state service; opaque. */
typedef struct mv_state_store mv_state_store;

/** The result of a request. */
typedef enum {
    MV_STATE_STORE_OK,
    MV_STATE_STORE_NOT_FOUND,   /* no such key */
    MV_STATE_STORE_CONFLICT,    /* a precondition did not hold */
    MV_STATE_STORE_REFUSED,     /* not executed: outage, rate limit or expired lease session */
    MV_STATE_STORE_NO_RESPONSE, /* the request may have been executed, or may still be executed */
    MV_STATE_STORE_TOO_LARGE,   /* a value or a transaction exceeds a limit of the state service */
    MV_STATE_STORE_COMPACTED    /* the service no longer has the revision at which a watch starts */
} mv_state_store_result;

/**
 * Returns a client for the state service whose address is in `settings`, which is read during this
 * call only. The caller frees the client with mv_state_store_free.
 */
mv_state_store *mv_state_store_new(const mv_settings *settings);

/**
 * Ends the client's threads and frees the client. NULL is allowed. No other thread may be inside a
 * function of the client.
 */
void mv_state_store_free(mv_state_store *store);

/** Sets the number of controllers, including this one, that share the rate of deferrable writes. */
void mv_state_store_set_writers(mv_state_store *store, unsigned writers);

/**
 * Reads one record. With MV_STATE_STORE_OK `*data` is the packed value, which the caller unrefs,
 * and `*revision` is the record's revision, for use in a precondition. Otherwise `*data` is NULL.
 */
mv_state_store_result mv_state_store_get(mv_state_store *store, const char *key, GBytes **data,
                                         uint64_t *revision);

/**
 * Compare-and-swap: executes all `writes` (of mv_write) if all `preconditions` (of mv_precondition)
 * hold; otherwise executes none. Blocks until the write budget has tokens for the writes;
 * transactions that are not urgent can wait longer.
 */
mv_state_store_result mv_state_store_commit(mv_state_store *store, const GArray *preconditions,
                                            const GArray *writes, bool urgent);

/**
 * Opens a lease session with a time to live of MV_SESSION_TTL_S seconds. All later session-bound
 * writes are attached to this session. `*lease_id`, the id of the session, is set with
 * MV_STATE_STORE_OK only.
 */
mv_state_store_result mv_state_store_grant_lease(mv_state_store *store, uint64_t *lease_id);

/** Renews the newest lease session. */
mv_state_store_result mv_state_store_renew_lease(mv_state_store *store);

/**
 * Receives one record. `data` is the packed value, which is valid during the call, or NULL if the
 * record was deleted. The thread that calls mv_state_store_list or mv_state_store_watch calls this
 * function.
 */
typedef void (*mv_state_store_record_fn)(void *context, const char *key, GBytes *data,
                                         uint64_t revision);

/**
 * Reads all records under KEY_LIVE_PREFIX, page by page, and passes them to `on_record`. With
 * MV_STATE_STORE_OK `*store_revision` is the revision at which a watch has to start. If a page
 * fails, the records of the pages before it have already been passed on.
 */
mv_state_store_result mv_state_store_list(mv_state_store *store, mv_state_store_record_fn on_record,
                                          void *context, uint64_t *store_revision);

/**
 * Waits up to `wait_ms` milliseconds for changes under KEY_LIVE_PREFIX after `*store_revision`,
 * passes the changes to `on_record` in order, and advances `*store_revision`. After
 * MV_STATE_STORE_COMPACTED the caller has to list all records again.
 */
mv_state_store_result mv_state_store_watch(mv_state_store *store,
                                           mv_state_store_record_fn on_record, void *context,
                                           unsigned wait_ms, uint64_t *store_revision);
#endif
