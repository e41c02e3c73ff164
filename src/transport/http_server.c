/** The HTTP server, built on libmicrohttpd ("the library" in this file). */
#include "transport/http_server.h"

#include "constants.h"
#include "telemetry/log.h"
#include "protocol/http_status.h"
#include "transport/http_body.h"
#include "transport/threads.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOG_LINE_SIZE 300

struct mv_http_server {
    struct MHD_Daemon *daemon; /* NULL until mv_http_server_start has started it */
    int fd;
    uint16_t port;
    mv_http_limits limits;
    mv_http_handler handler;
    unsigned requests_since_pause; /* used by the library's thread only */
    unsigned large_bodies;         /* bodies that are in memory and are over MV_BODY_BYTES_MAX;
                                      used by the library's thread only */
    gint open_connections;         /* atomic */
    /* Totals for mv_http_load. They are atomic, and only the library's thread changes them. */
    gsize pauses, rejected_requests, closed_connections;
    pthread_t threads[MV_REQUEST_THREADS];
    unsigned thread_count;
    pthread_mutex_t lock; /* guards the fields below */
    pthread_cond_t request_available;
    GQueue queue; /* of received_request *, each owned by its connection */
    bool stopping;
};

typedef enum {
    REQUEST_READING,
    REQUEST_QUEUED,  /* the request's connection is suspended */
    REQUEST_ANSWERED /* a request thread has filled in the response */
} request_state;

typedef struct {
    struct MHD_Connection *connection;
    gint64 received_us; /* as in mv_http_request */
    mv_http_body body;
    request_state state;
    char *method, *path; /* copies, set when the request is queued */
    mv_http_response response;
} received_request;

/* --- responses --- */

/* Returns whether the share of open connections exceeds MV_HTTP_SATURATED_SHARE. One controller may
 * have to serve the whole fleet. Without this check the agents took every connection, and health
 * checks and users could not connect. */
static bool connections_saturated(mv_http_server *server)
{
    return (unsigned)g_atomic_int_get(&server->open_connections) >
           MV_HTTP_SATURATED_SHARE * server->limits.connections;
}

static void add_headers(struct MHD_Response *reply, const mv_http_response *response)
{
    MHD_add_response_header(reply, MHD_HTTP_HEADER_CONTENT_TYPE,
                            response->is_text ? "text/plain; charset=utf-8"
                                              : "application/msgpack");
    if (response->retry_after_s <= 0)
        return;
    char seconds[16];
    g_snprintf(seconds, sizeof seconds, "%d", response->retry_after_s);
    MHD_add_response_header(reply, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
}

/* Tells the library and the client to close the connection after this response, and counts the
 * connection in closed_connections. */
static void add_close_header(mv_http_server *server, struct MHD_Response *reply)
{
    MHD_add_response_header(reply, MHD_HTTP_HEADER_CONNECTION, "close");
    g_atomic_pointer_add(&server->closed_connections, 1);
    mv_log_limited(MV_LOG_INFO, "connection_limit", "connections=%d limit=%u",
                   g_atomic_int_get(&server->open_connections), server->limits.connections);
}

static enum MHD_Result send_response(mv_http_server *server, struct MHD_Connection *connection,
                                     received_request *request)
{
    mv_http_response *response = &request->response;
    gsize size = 0;
    const void *data = response->body ? g_bytes_get_data(response->body, &size) : "";
    struct MHD_Response *reply =
        MHD_create_response_from_buffer(size, (void *)data, MHD_RESPMEM_MUST_COPY);
    g_clear_pointer(&response->body, g_bytes_unref);
    if (!reply)
        return MHD_NO;
    add_headers(reply, response);
    /* A request in state REQUEST_READING was not queued: a heartbeat, a health check or a rejected
     * request. Accepted requests of users have been queued, so users keep their connections. */
    if (request->state == REQUEST_READING && connections_saturated(server))
        add_close_header(server, reply);
    const enum MHD_Result result =
        MHD_queue_response(connection, (unsigned)response->status, reply);
    MHD_destroy_response(reply);
    return result;
}

/* --- requests --- */

static void answer(const mv_http_server *server, const char *method, const char *path,
                   received_request *received)
{
    g_autoptr(GBytes) body = mv_http_body_take(&received->body);
    const mv_http_request request = {
        .method = method, .path = path, .body = body, .received_us = received->received_us};
    received->response.status = MV_HTTP_STATUS_INTERNAL_ERROR;
    server->handler.answer(server->handler.context, &request, &received->response);
}

/* Pauses the library's thread after each batch of MV_HTTP_REQUEST_BATCH requests, so that other
 * threads get the controller's lock. The library's thread takes that lock for each heartbeat,
 * releases the lock only for a moment between two heartbeats, and stops only when no request is
 * left to read. At 4,000 machines, the end of a controller brings a thousand heartbeats in a row to
 * its successor. Without the pause, renewals of the successor's lease session then took two to five
 * seconds. The session expired, the next controller got the shard in addition to its own shard, and
 * that controller broke down under the load in the same way. */
static void pause_after_batch(mv_http_server *server)
{
    if (++server->requests_since_pause < MV_HTTP_REQUEST_BATCH)
        return;
    server->requests_since_pause = 0;
    g_atomic_pointer_add(&server->pauses, 1);
    g_usleep(MV_HTTP_PAUSE_US);
}

/* Waits for the next queued request and returns it. Returns NULL when the server is stopping and
 * the queue is empty. The caller holds the lock. */
static received_request *next_request(mv_http_server *server)
{
    while (!server->stopping && g_queue_is_empty(&server->queue))
        pthread_cond_wait(&server->request_available, &server->lock);
    return g_queue_pop_head(&server->queue);
}

/* Answers queued requests until the server has stopped and the queue is empty. */
static void *request_thread(void *argument)
{
    mv_http_server *server = argument;
    received_request *request;
    pthread_mutex_lock(&server->lock);
    while ((request = next_request(server))) {
        pthread_mutex_unlock(&server->lock);
        answer(server, request->method, request->path, request);
        request->state = REQUEST_ANSWERED;
        MHD_resume_connection(request->connection);
        pthread_mutex_lock(&server->lock);
    }
    pthread_mutex_unlock(&server->lock);
    return NULL;
}

/* Queues the request for the request threads and suspends its connection. Returns false, and queues
 * nothing, when the queue has reached the limit for this kind of request or the server is
 * stopping. */
static bool enqueue(mv_http_server *server, struct MHD_Connection *connection, const char *method,
                    const char *path, received_request *request)
{
    const unsigned limit = server->handler.queue_limit(method, path);
    pthread_mutex_lock(&server->lock);
    const bool accepted = !server->stopping && g_queue_get_length(&server->queue) < limit;
    if (accepted) {
        request->connection = connection;
        request->state = REQUEST_QUEUED;
        request->method = g_strdup(method);
        request->path = g_strdup(path);
        MHD_suspend_connection(connection);
        g_queue_push_tail(&server->queue, request);
        pthread_cond_signal(&server->request_available);
    }
    pthread_mutex_unlock(&server->lock);
    return accepted;
}

/* Fills in the response to a request that enqueue refused. */
static void reject(mv_http_server *server, const char *method, const char *path,
                   received_request *request)
{
    server->handler.overloaded(method, path, &request->response);
    g_atomic_pointer_add(&server->rejected_requests, 1);
    mv_log_limited(MV_LOG_INFO, "request_rejected", "method=%s queue_limit=%u", method,
                   server->handler.queue_limit(method, path));
}

/* --- bodies --- */

/* Fills in the response to a request whose body was not accepted. */
static void reject_body(const mv_http_server *server, const char *method, const char *path,
                        received_request *request)
{
    const bool too_large = request->body.verdict == MV_BODY_TOO_LARGE;
    if (too_large)
        server->handler.body_too_large(&request->response);
    else
        server->handler.overloaded(method, path, &request->response);
    mv_log_limited(MV_LOG_INFO, "body_rejected", "method=%s bytes=%zu limit=%d reason=%s", method,
                   request->body.received_bytes, MV_BODY_BYTES_MAX,
                   too_large ? "too_large" : "too_many_large");
}

/* --- dispatch --- */

/* Handles a request whose headers and body have been received: rejects the request if its body is
 * too large, answers the request on this thread if the answer never blocks, otherwise queues the
 * request, or rejects the request if the queue is full. */
static enum MHD_Result dispatch(mv_http_server *server, struct MHD_Connection *connection,
                                const char *method, const char *path, received_request *request)
{
    if (mv_http_body_complete(&request->body) != MV_BODY_ACCEPTED) {
        reject_body(server, method, path, request);
    } else if (server->handler.is_nonblocking(method, path)) {
        answer(server, method, path, request);
        pause_after_batch(server);
    } else if (enqueue(server, connection, method, path, request)) {
        return MHD_YES;
    } else {
        reject(server, method, path, request);
    }
    return send_response(server, connection, request);
}

/* --- callbacks, all called on the library's one thread --- */

/* The library calls this when the headers have been received, then for each chunk of the body, then
 * without data when the whole request has been received, and one more time after a suspended
 * connection has been resumed. */
static enum MHD_Result on_request(void *context, struct MHD_Connection *connection,
                                  const char *path, const char *method, const char *version,
                                  const char *data, size_t *size, void **slot)
{
    mv_http_server *server = context;
    received_request *request = *slot;
    (void)version;
    if (!request) {
        request = g_new0(received_request, 1);
        mv_http_body_init(&request->body);
        request->received_us = g_get_monotonic_time();
        *slot = request;
        return MHD_YES;
    }
    if (*size) {
        mv_http_body_append(&request->body, &server->large_bodies, data, *size);
        *size = 0;
        return MHD_YES;
    }
    switch (request->state) {
    case REQUEST_READING:
        return dispatch(server, connection, method, path, request);
    case REQUEST_QUEUED:
        return MHD_YES;
    case REQUEST_ANSWERED:
        break;
    }
    return send_response(server, connection, request);
}

/* The library calls this when a connection has been opened or closed. */
static void on_connection(void *context, struct MHD_Connection *connection, void **slot,
                          enum MHD_ConnectionNotificationCode event)
{
    mv_http_server *server = context;
    (void)connection;
    (void)slot;
    g_atomic_int_add(&server->open_connections, event == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1);
}

/* The library calls this when a request has ended, with or without a response. Frees the request.
 */
static void on_completed(void *context, struct MHD_Connection *connection, void **slot,
                         enum MHD_RequestTerminationCode reason)
{
    mv_http_server *server = context;
    received_request *request = *slot;
    (void)connection;
    (void)reason;
    if (!request)
        return;
    mv_http_body_clear(&request->body, &server->large_bodies);
    g_clear_pointer(&request->response.body, g_bytes_unref);
    g_free(request->method);
    g_free(request->path);
    g_free(request);
    *slot = NULL;
}

/* libmicrohttpd calls this function for each of its messages. Writes the message to the service's
 * log, as one line without quotation marks. */
static void on_log(void *context, const char *format, va_list arguments)
{
    char line[LOG_LINE_SIZE];
    (void)context;
    if (vsnprintf(line, sizeof line, format, arguments) < 0)
        return;
    g_strdelimit(line, "\n\"", ' ');
    mv_log_limited(MV_LOG_INFO, "http_server_message", "message=\"%s\"", g_strchomp(line));
}

/* --- start, load and end --- */

/* Returns a socket that is bound to the address, or -1 when the address cannot be bound. The socket
 * is non-blocking, because the library requires that of a socket that the caller created. */
static int bind_socket(const mv_endpoint *at)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(at->port)};
    const int enabled = 1;
    if (inet_pton(AF_INET, at->host, &address.sin_addr) != 1)
        return -1;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return -1;
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) == 0)
        return fd;
    close(fd);
    return -1;
}

mv_http_server *mv_http_server_bind(const mv_endpoint *at, const mv_http_limits *limits,
                                    const mv_http_handler *handler)
{
    const int fd = bind_socket(at);
    if (fd < 0)
        return NULL;
    mv_http_server *server = g_new0(mv_http_server, 1);
    server->fd = fd;
    server->port = at->port;
    server->handler = *handler;
    server->limits = *limits;
    pthread_mutex_init(&server->lock, NULL);
    pthread_cond_init(&server->request_available, NULL);
    return server;
}

bool mv_http_server_start(mv_http_server *server)
{
    server->thread_count =
        mv_threads_start(server->threads, MV_REQUEST_THREADS, request_thread, server);
    if (server->thread_count == 0 || listen(server->fd, MV_HTTP_BACKLOG_CONNECTIONS) < 0)
        return false;
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, server->port,
        NULL, NULL, on_request, server, MHD_OPTION_EXTERNAL_LOGGER, on_log, NULL,
        MHD_OPTION_LISTEN_SOCKET, server->fd, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
        MHD_OPTION_CONNECTION_LIMIT, server->limits.connections, MHD_OPTION_CONNECTION_TIMEOUT,
        server->limits.idle_s, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)MV_HTTP_CONNECTION_BYTES, MHD_OPTION_END);
    return server->daemon != NULL;
}

mv_http_load mv_http_server_load(mv_http_server *server)
{
    pthread_mutex_lock(&server->lock);
    const unsigned queued = g_queue_get_length(&server->queue);
    pthread_mutex_unlock(&server->lock);
    return (mv_http_load){
        .connections = (unsigned)g_atomic_int_get(&server->open_connections),
        .connection_limit = server->limits.connections,
        .queued_requests = queued,
        .pauses = (guint64)g_atomic_pointer_get(&server->pauses),
        .rejected_requests = (guint64)g_atomic_pointer_get(&server->rejected_requests),
        .closed_connections = (guint64)g_atomic_pointer_get(&server->closed_connections)};
}

void mv_http_server_free(mv_http_server *server)
{
    pthread_mutex_lock(&server->lock);
    server->stopping = true;
    pthread_cond_broadcast(&server->request_available);
    pthread_mutex_unlock(&server->lock);
    /* The request threads answer all queued requests before they end, so that no connection stays
     * suspended. */
    for (unsigned i = 0; i < server->thread_count; i++)
        pthread_join(server->threads[i], NULL);
    if (server->daemon)
        MHD_stop_daemon(server->daemon); /* also closes server->fd */
    else
        close(server->fd);
    pthread_mutex_destroy(&server->lock);
    pthread_cond_destroy(&server->request_available);
    g_free(server);
}
