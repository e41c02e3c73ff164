/**
 * The connections to one other controller, with a limit. Each connection carries one call at a
 * time and is kept open for further calls.
 */
#ifndef MV_PEER_POOL_H
#define MV_PEER_POOL_H
#include "config/endpoint.h"

#include <glib.h>

/** The connections to one peer; opaque. Any number of threads may call the peer at the same time.
 */
typedef struct mv_peer mv_peer;

/** Limits of the calls to a peer. */
typedef struct {
    unsigned connections; /**< most calls in flight, each on a connection of its own; further calls
                               wait until one ends */
    /**
     * Each call fails at once for this long after a call that got no response. Without a pause,
     * callers that wait for one another each wait for the timeout of an unreachable peer. 0: none.
     */
    unsigned failure_pause_ms;
} mv_peer_limits;

/** Creates a pool without connections, which calls open. The caller frees it with mv_peer_free. */
mv_peer *mv_peer_new(const mv_endpoint *to, const mv_peer_limits *limits);

/** Closes the connections and frees the pool. No call may be in flight. NULL is allowed. */
void mv_peer_free(mv_peer *peer);

/** Returns the number of calls that are in flight or wait for a connection. */
unsigned mv_peer_load(mv_peer *peer);

/**
 * Sends a request frame, waits for the response frame and returns that frame, which the caller
 * unrefs. Returns NULL if no response arrived within `timeout_ms`, which limits the whole call with
 * its wait for a connection. If the request fails on a connection that an earlier call opened, the
 * request is sent a second time on a new connection, so the peer may receive the request twice.
 */
GBytes *mv_peer_call(mv_peer *peer, const uint8_t *frame, size_t size, unsigned timeout_ms);
#endif
