/**
 * The HTTP server for users, agents and health checks.
 *
 * One thread of libmicrohttpd serves all connections. That thread itself answers the requests that
 * never block (heartbeats, health checks). All other requests may have to wait for the state
 * service or a peer, so they go through a queue to the server's request threads.
 *
 * The server does not start a thread for each connection, because the thread costs more than the
 * requests do: 90 us and about 35 system calls for a connection that is opened and closed, against
 * 20 us for a heartbeat. After a failover a thousand connections arrive at the same time.
 */
#ifndef MV_HTTP_SERVER_H
#define MV_HTTP_SERVER_H
#include "config/endpoint.h"

#include <glib.h>

/** The server; opaque. */
typedef struct mv_http_server mv_http_server;

/** A request that a handler answers. It is valid until the handler returns. */
typedef struct {
    const char *method, *path;
    GBytes *body;       /**< empty if the request has no body; never NULL */
    gint64 received_us; /**< monotonic time at which the request's headers were received */
} mv_http_request;

/** A response that a handler fills in. The server sets all fields to zero beforehand. */
typedef struct {
    int status;
    GBytes *body;      /* the server takes ownership; NULL: empty body */
    int retry_after_s; /* seconds in the Retry-After header; 0: no header */
    bool is_text;      /* the body is plain text instead of MessagePack */
} mv_http_response;

/** The functions that answer requests. `context` is borrowed and is passed to `answer`. */
typedef struct {
    /** Fills in the response to a request. Called on any thread. */
    void (*answer)(void *context, const mv_http_request *request, mv_http_response *response);
    /** Returns whether `answer` never blocks for this request, so that the request need not be
     * queued. */
    bool (*is_nonblocking)(const char *method, const char *path);
    /** Returns the length of the queue at which this request is rejected instead of queued. */
    unsigned (*queue_limit)(const char *method, const char *path);
    /** Fills in the response to a request that is rejected because the queue is full. */
    void (*overloaded)(const char *method, const char *path, mv_http_response *response);
    /** Fills in the response to a request whose body is over the limit of the protocol. */
    void (*body_too_large)(mv_http_response *response);
    void *context;
} mv_http_handler;

/** Limits on connections. */
typedef struct {
    unsigned connections; /* most connections open at the same time */
    unsigned idle_s;      /* a connection without traffic for this time is closed */
} mv_http_limits;

/**
 * Creates a server and binds its socket to the address. Returns NULL when the address cannot be
 * bound. The server refuses connections until mv_http_server_start. `limits` and `handler` are
 * copied. The caller frees the server with mv_http_server_free, also when mv_http_server_start
 * fails.
 */
mv_http_server *mv_http_server_bind(const mv_endpoint *at, const mv_http_limits *limits,
                                    const mv_http_handler *handler);

/**
 * Starts the server's threads and accepts connections. Returns false when no request thread could
 * be started, or when the socket or the library refused to listen.
 */
bool mv_http_server_start(mv_http_server *server);

/** The server's load. The totals count from the start of the server. */
typedef struct {
    unsigned connections, connection_limit; /* open now; most at the same time */
    unsigned queued_requests;               /* requests that wait for a request thread */
    guint64 pauses;                         /* total; pauses of the library's thread */
    guint64 rejected_requests;              /* total; rejected because the queue was full */
    guint64 closed_connections;             /* total; closed after a response, because few
                                               connections were left */
} mv_http_load;

/** Returns the server's load. May be called from any thread. */
mv_http_load mv_http_server_load(mv_http_server *server);

/** Answers the queued requests, closes all connections and frees the server, which is not NULL. */
void mv_http_server_free(mv_http_server *server);
#endif
