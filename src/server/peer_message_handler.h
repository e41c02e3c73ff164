/**
 * Handles the messages of other controllers: demands of shards, health checks, forwarded requests
 * of users and link reports.
 */
#ifndef MV_PEER_MESSAGE_HANDLER_H
#define MV_PEER_MESSAGE_HANDLER_H
#include "server/request.h"
#include "transport/peer_server.h"

/**
 * Handles a packed request from a peer, as an mv_peer_handler. Returns the packed response, which
 * the caller owns, or NULL if the request cannot be parsed or its response would reach nobody. A
 * request of a user is not decided once its sender has given up; the user repeats it. `context` is
 * a pointer to mv_request_services. Runs on the thread of the peer's connection and takes the
 * controller's lock.
 */
GBytes *mv_peer_message_handle(void *context, const mv_peer_message *message);
#endif
