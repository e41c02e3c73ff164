/**
 * Forwards users' requests that this controller cannot serve to its peers.
 *
 * Up to MV_FORWARD_CONNECTIONS_MAX requests, or fewer if this controller has few sockets, are in
 * flight to each peer at the same time. A peer may
 * answer a poll only after its next watch, so requests that waited for one another would not be
 * answered before their users give up.
 *
 * The time until the user gives up is divided among the peers, and those that the health checks
 * found to reach the state service are tried first, so that a slow, paused or isolated peer does
 * not use up the time of the others.
 *
 * Thread-safe. mv_request_forwarder_forward blocks on the network, so the caller must not hold the
 * controller's lock.
 */
#ifndef MV_REQUEST_FORWARDER_H
#define MV_REQUEST_FORWARDER_H
#include "config/settings.h"
#include "server/peer_health.h"
#include "transport/http_server.h"

typedef struct mv_request_forwarder mv_request_forwarder;

/** Returns a forwarder, which the caller frees. The arguments have to outlive the forwarder. */
mv_request_forwarder *mv_request_forwarder_new(const mv_settings *settings,
                                               const mv_peer_health *health);
/** Closes the connections and frees the forwarder. No thread may use the forwarder any more. */
void mv_request_forwarder_free(mv_request_forwarder *forwarder);

/** Which peers may serve a forwarded request. */
typedef enum {
    MV_FORWARD_TO_ANY,
    MV_FORWARD_TO_ACKNOWLEDGING /**< peers of versions whose answer to a cancellation rests on the
                                   owner's acknowledgement; other peers do not serve the request */
} mv_forward_target;

/**
 * Forwards a user's request to one peer after the other until a peer serves the request, or until
 * the monotonic time `deadline_us`, at which the user does not wait any more. A peer that does not
 * respond or responds with MV_HTTP_STATUS_UNAVAILABLE has not served the request. Returns true with
 * the status and the body, which the caller owns, in `response`; returns false, with `response`
 * unchanged, if no peer serves the request.
 */
bool mv_request_forwarder_forward(mv_request_forwarder *forwarder, mv_forward_target target,
                                  const mv_http_request *user_request, gint64 deadline_us,
                                  mv_http_response *response);
/**
 * Counts a request that could not be forwarded, because it had waited at this controller until its
 * user gave up. In an outage of the state service, in which no peer would serve it, the request is
 * not counted.
 */
void mv_request_forwarder_missed(mv_request_forwarder *forwarder);
/**
 * Returns whether most of the requests that were lately to be forwarded had no answer in time, from
 * peers that could be expected to serve them. Never blocks.
 */
bool mv_request_forwarder_is_failing(mv_request_forwarder *forwarder);
#endif
