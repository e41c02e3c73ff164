/**
 * The HTTP server of the fake systems, built on libmicrohttpd. The server runs one thread for each
 * connection, because the handler of a watch of the state service blocks for seconds.
 */
#include "loopback_server.h"

#include "loopback.h"

#include <microhttpd.h>

struct mv_loopback_server {
    mv_loopback_handler handler;
    void *context;
    struct MHD_Daemon *daemon;
    uint16_t port;
};

static enum MHD_Result send_response(struct MHD_Connection *connection, int status,
                                     const mv_writer *body)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        body->buffer.size, body->buffer.data, MHD_RESPMEM_MUST_COPY);
    const enum MHD_Result result = MHD_queue_response(connection, (unsigned)status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result handle(const mv_loopback_server *server, mv_loopback_request *request,
                              const GByteArray *received)
{
    g_autoptr(mv_document) document = mv_document_parse(received->data, received->len);
    request->body = document ? mv_document_root(document) : NULL;
    mv_writer *response = mv_writer_new();
    const int status = server->handler(server->context, request, response);
    if (response->buffer.size == 0)
        mv_write_map(response, 0);
    const enum MHD_Result result = send_response(request->connection, status, response);
    mv_writer_free(response);
    return result;
}

/* Request callback of libmicrohttpd, which calls it after the headers, for each portion of the
 * body, and at the end of the body. The callback collects the body and handles the request at the
 * end. */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection, const char *url,
                                  const char *method, const char *version, const char *data,
                                  size_t *size, void **request_state)
{
    (void)version;
    GByteArray *received = *request_state;
    if (!received) {
        *request_state = g_byte_array_new();
        return MHD_YES;
    }
    if (*size) {
        g_byte_array_append(received, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    mv_loopback_request request = {.method = method, .path = url, .connection = connection};
    return handle(cls, &request, received);
}

static void on_completed(void *cls, struct MHD_Connection *connection, void **request_state,
                         enum MHD_RequestTerminationCode reason)
{
    (void)cls;
    (void)connection;
    (void)reason;
    if (*request_state)
        g_byte_array_unref(*request_state);
}

mv_loopback_server *mv_loopback_server_start(mv_loopback_handler handler, void *context)
{
    struct sockaddr_in address = mv_loopback_address(0);
    mv_loopback_server *server = g_new0(mv_loopback_server, 1);
    server->handler = handler;
    server->context = context;
    server->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_request,
        server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_END);
    g_assert_nonnull(server->daemon);
    server->port = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return server;
}

uint16_t mv_loopback_server_port(const mv_loopback_server *server)
{
    return server->port;
}

void mv_loopback_server_stop(mv_loopback_server *server)
{
    MHD_stop_daemon(server->daemon);
    g_free(server);
}

const char *mv_loopback_request_argument(const mv_loopback_request *request, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
    return value ? value : "";
}
