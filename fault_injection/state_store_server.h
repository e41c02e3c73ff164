/**
 * The fake state service on loopback: an HTTP server that offers a fake_state_store through the
 * published protocol of the state service (records, transactions, leases, watches).
 *
 * The functions are thread-safe: the server's lock guards the store and the server's own state.
 */
#ifndef MV_STATE_STORE_SERVER_H
#define MV_STATE_STORE_SERVER_H
#include "fake_state_store.h"
#include "history.h"

typedef struct mv_state_store_server mv_state_store_server;

/** Starts the server with an empty store. The server refuses every `refuse_every`-th transaction as
 * if it exceeded the rate limit; 0: the server refuses none. The server adds each final record that
 * controllers write to `history`, which may be NULL and must outlive the server. */
mv_state_store_server *mv_state_store_server_start(unsigned refuse_every, mv_history *history);

/** Returns the port on which the server listens. */
uint16_t mv_state_store_server_port(const mv_state_store_server *server);

/** Returns the number of transactions that the server refused as above the rate limit. */
unsigned mv_state_store_server_refused(mv_state_store_server *server);

/** Holds all watches: they get no answer, and answer with every change when they are let go. */
void mv_state_store_server_hold_watches(mv_state_store_server *server, bool held);

/** Lets transactions be applied late: their senders have given up by then. */
void mv_state_store_server_delay_transactions(mv_state_store_server *server, bool late);

/** Locks the server and returns its store. Only the caller may use the store until
 * mv_state_store_server_unlock. */
fake_state_store *mv_state_store_server_lock(mv_state_store_server *server);

/** Releases the lock that mv_state_store_server_lock took. */
void mv_state_store_server_unlock(mv_state_store_server *server);

/** Ends waiting watches, stops the server, and frees the server and its store. */
void mv_state_store_server_stop(mv_state_store_server *server);
#endif
