#include "transport/http_server.h"

#include "constants.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct mv_http_server {
    struct MHD_Daemon *mhd; /* NULL until it serves */
    int fd;
    uint16_t port;
    unsigned limit;
    mv_http_handler handler;
    void *ctx;
};

typedef struct {
    GByteArray *body;
    bool too_large;
} upload;

static enum MHD_Result answer(mv_http_server *s, struct MHD_Connection *con, const char *path,
                              const char *method, const upload *up)
{
    mv_http_reply reply = {.status = 500};
    s->handler(s->ctx, method, path, up->too_large ? NULL : up->body->data, up->body->len, &reply);
    gsize n = 0;
    const void *data = reply.body ? g_bytes_get_data(reply.body, &n) : "";
    struct MHD_Response *r =
        MHD_create_response_from_buffer(n, (void *)data, MHD_RESPMEM_MUST_COPY);
    if (reply.body)
        g_bytes_unref(reply.body);
    if (!r)
        return MHD_NO;
    MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE,
                            reply.text ? "text/plain; charset=utf-8" : "application/msgpack");
    if (reply.retry_after > 0) {
        char seconds[16];
        g_snprintf(seconds, sizeof seconds, "%d", reply.retry_after);
        MHD_add_response_header(r, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
    }
    enum MHD_Result result = MHD_queue_response(con, (unsigned)reply.status, r);
    MHD_destroy_response(r);
    return result;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *con, const char *url,
                                  const char *method, const char *version, const char *data,
                                  size_t *size, void **slot)
{
    (void)version;
    upload *up = *slot;
    if (!up) {
        up = g_new0(upload, 1);
        up->body = g_byte_array_new();
        *slot = up;
        return MHD_YES;
    }
    if (*size) {
        /* The rest of a body that is too large is read and dropped, so that the answer is heard. */
        up->too_large = up->too_large || up->body->len + *size > MV_MAX_BODY;
        if (!up->too_large)
            g_byte_array_append(up->body, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    return answer(cls, con, url, method, up);
}

static void on_completed(void *cls, struct MHD_Connection *con, void **slot,
                         enum MHD_RequestTerminationCode why)
{
    upload *up = *slot;
    (void)cls;
    (void)con;
    (void)why;
    if (!up)
        return;
    g_byte_array_unref(up->body);
    g_free(up);
    *slot = NULL;
}

mv_http_server *mv_http_bind(const mv_endpoint *at, unsigned max_connections,
                             mv_http_handler handler, void *ctx)
{
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_port = htons(at->port)};
    int one = 1;
    if (inet_pton(AF_INET, at->host, &addr.sin_addr) != 1)
        return NULL;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0)
        return NULL;
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, (struct sockaddr *)&addr, sizeof addr) < 0) {
        close(fd);
        return NULL;
    }
    mv_http_server *s = g_new0(mv_http_server, 1);
    s->fd = fd;
    s->port = at->port;
    s->handler = handler;
    s->ctx = ctx;
    /* Sockets are left over for our own calls. */
    s->limit = MIN(max_connections / 2, MV_HTTP_CONNECTIONS);
    return s;
}

bool mv_http_serve(mv_http_server *s)
{
    if (listen(s->fd, MV_HTTP_BACKLOG) < 0)
        return false;
    s->mhd = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, s->port,
        NULL, NULL, on_request, s, MHD_OPTION_LISTEN_SOCKET, s->fd, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT, s->limit, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)MV_CONNECTION_IDLE_S, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)MV_HTTP_MEMORY,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)MV_STACK_BYTES, MHD_OPTION_END);
    return s->mhd != NULL;
}

void mv_http_close(mv_http_server *s)
{
    if (s->mhd)
        MHD_stop_daemon(s->mhd); /* closes the socket too */
    else
        close(s->fd);
    g_free(s);
}
