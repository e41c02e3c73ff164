/**
 * A state store in memory that follows the published protocol of the state service: records with
 * revisions, a change log, leases and transactions.
 *
 * The simulation in tests/ and the state store server on loopback share the module. The store reads
 * no clock: the caller passes the time in seconds of a steady clock. The store is not thread-safe;
 * its owner must serialize the calls.
 */
#ifndef MV_FAKE_STATE_STORE_H
#define MV_FAKE_STATE_STORE_H
#include "constants.h"
#include "coordination/foundation/action.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A record of the store, or a change in the log. */
typedef struct {
    char key[MV_KEY_SIZE];
    GBytes *data;      /**< the value, owned; NULL for a deletion, which only the log contains */
    uint64_t revision; /**< the store's revision at the time of the write */
    uint64_t lease_id; /**< the store deletes the record when this lease expires; 0: no lease */
} fake_record;

/** A lease. The store deletes the lease's records when the lease expires. */
typedef struct {
    uint64_t id;
    double ttl_s, expires_at;
} fake_lease;

/** The store. The owner may set the limits after creation. */
typedef struct {
    GHashTable *records; /**< key -> fake_record */
    GPtrArray *log;      /**< every change in its order; elements are fake_record */
    GArray *leases;      /**< unexpired leases; elements are fake_lease */
    uint64_t revision;   /**< increases with each transaction that writes and each expired lease */
    uint64_t next_lease_id; /**< id of the lease that was opened last */
    size_t value_bytes;     /**< largest size of a value as JSON; 0: no limit */
    guint max_writes;       /**< largest number of writes in a transaction; 0: no limit */
    /** The part of the latest checked transaction that was above a limit; "" if there is none. */
    char rejected_key[MV_KEY_SIZE];
} fake_state_store;

/** Returns an empty store, which the caller frees with fake_state_store_free. */
fake_state_store *fake_state_store_new(void);

/** Frees the store and all its records. */
void fake_state_store_free(fake_state_store *store);

/** Opens a lease that expires after `ttl_s` seconds, and returns the lease's id. */
uint64_t fake_lease_open(fake_state_store *store, double ttl_s, double now);

/** Renews a lease for its whole time to live. Returns false if the lease has expired or never
 * existed. */
bool fake_lease_renew(fake_state_store *store, uint64_t id, double now);

/** Removes all leases that have expired at `now`, and deletes their records. */
void fake_state_store_expire(fake_state_store *store, double now);

/** Renews every lease for its whole time to live, as the state service does after an outage. */
void fake_state_store_extend_leases(fake_state_store *store, double now);

/** Returns the record of a key, or NULL if there is none. The store owns the record, which is valid
 * until the next change of the store. */
const fake_record *fake_state_store_get(const fake_state_store *store, const char *key);

/** Applies a transaction of mv_precondition and mv_write elements if all preconditions hold. The
 * caller keeps both arrays. Returns an HTTP status: 200 if the transaction was applied; 409 if a
 * precondition does not hold; 400 if a write needs a lease that has expired; 413 if the transaction
 * is above a limit, for which the published protocol has 400. */
int fake_state_store_commit(fake_state_store *store, const GArray *preconditions,
                            const GArray *writes, uint64_t lease_id);
#endif
