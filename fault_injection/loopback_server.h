/**
 * A small HTTP server on loopback with MessagePack bodies. Every fake system of the environment
 * uses this server.
 */
#ifndef MV_LOOPBACK_SERVER_H
#define MV_LOOPBACK_SERVER_H
#include "protocol/codec.h"

#include <stdint.h>

typedef struct mv_loopback_server mv_loopback_server;

/** A request, which is valid during the call of the handler. */
typedef struct {
    const char *method, *path;
    const msgpack_object *body; /**< NULL: the request has no body, or the body is malformed */
    void *connection;           /**< handle that mv_loopback_request_argument uses */
} mv_loopback_request;

/** Handles a request: writes the response body to `response` and returns the HTTP status. If the
 * handler writes no body, the server sends an empty map. The server calls the handler on one thread
 * for each connection, so several calls can run at the same time. */
typedef int (*mv_loopback_handler)(void *context, const mv_loopback_request *request,
                                   mv_writer *response);

/** Starts a server on a port chosen by the system, and aborts on failure. The caller keeps
 * `context`, which must outlive the server. */
mv_loopback_server *mv_loopback_server_start(mv_loopback_handler handler, void *context);

/** Returns the port on which the server listens. */
uint16_t mv_loopback_server_port(const mv_loopback_server *server);

/** Waits until all handlers have returned, stops the server and frees it. */
void mv_loopback_server_stop(mv_loopback_server *server);

/** Returns the value of a query argument, or "" if the argument is absent. The string is valid
 * during the call of the handler. */
const char *mv_loopback_request_argument(const mv_loopback_request *request, const char *name);
#endif
