/* The HTTP server for users, workers and health checks: a routine for each connection. */
#ifndef MV_HTTP_SERVER_H
#define MV_HTTP_SERVER_H
#include "bookkeeping/settings.h"

#include <glib.h>

typedef struct mv_http_server mv_http_server;

typedef struct {
    int status;
    GBytes *body; /* given to the server; may be NULL */
    int retry_after;
    bool text; /* plain text instead of MessagePack */
} mv_http_reply;

/* `body` is NULL with a size when it was larger than the protocol allows. */
typedef void (*mv_http_handler)(void *ctx, const char *method, const char *path,
                                const uint8_t *body, size_t size, mv_http_reply *reply);

/* Takes the address; NULL when it cannot be had. Connections are refused until mv_http_serve. */
mv_http_server *mv_http_bind(const mv_endpoint *at, unsigned max_connections,
                             mv_http_handler handler, void *ctx);
bool mv_http_serve(mv_http_server *s);
void mv_http_close(mv_http_server *s);
#endif
