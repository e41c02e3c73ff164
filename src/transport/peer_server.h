/**
 * The receiving end of connections between controllers. One thread accepts connections, and each
 * connection is served by a thread of its own.
 *
 * Up to MV_PEER_CONNECTIONS_MAX connections are served at the same time. The server closes each
 * further connection as soon as it has accepted that connection.
 */
#ifndef MV_PEER_SERVER_H
#define MV_PEER_SERVER_H
#include "config/endpoint.h"

#include <glib.h>

/** The server; opaque. */
typedef struct mv_peer_server mv_peer_server;

/** A request that a handler answers. It is valid until the handler returns. */
typedef struct {
    const uint8_t *frame;
    size_t size;
    int connection; /**< socket, for mv_peer_message_is_abandoned */
} mv_peer_message;

/**
 * Answers one request. Returns the response, which the server unrefs, or NULL to close the
 * connection. Several threads may call the handler at the same time.
 */
typedef GBytes *(*mv_peer_handler)(void *context, const mv_peer_message *message);

/**
 * Returns whether the sender has closed the connection since it sent the request, because it waits
 * for the response no longer. A paused process finds such requests when it continues. Never blocks.
 */
bool mv_peer_message_is_abandoned(const mv_peer_message *message);

/**
 * Starts a server that listens on the address. Returns NULL if the address cannot be bound or the
 * acceptor thread cannot be started. `context` is borrowed and is passed to `handler`.
 */
mv_peer_server *mv_peer_server_start(const mv_endpoint *at, mv_peer_handler handler, void *context);

/** Closes all connections, waits for their threads and frees the server. NULL is allowed. */
void mv_peer_server_free(mv_peer_server *server);
#endif
