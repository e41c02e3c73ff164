#include "transport/http_server.h"

#include "bookkeeping/log.h"
#include "constants.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct mv_http_server {
    struct MHD_Daemon *mhd; /* NULL until it serves */
    int fd;
    uint16_t port;
    mv_http_limits limits;
    gint open;       /* connections */
    unsigned streak; /* requests answered since the last rest; the library's thread only */
    gsize rests, shed, closed; /* see mv_http_load; changed by the library's thread only */
    mv_http_handler handler;
    pthread_mutex_t lock;
    pthread_cond_t filled;
    GQueue waiting; /* request */
    bool stopping;
    pthread_t routines[MV_REQUEST_ROUTINES];
    unsigned n_routines;
};

typedef enum { READING, WAITING, ANSWERED } progress;

typedef struct {
    struct MHD_Connection *con;
    GByteArray *body;
    bool too_large;
    progress at;
    char *method, *path; /* while it waits for a routine */
    mv_http_reply reply;
} request;

/* --- answers --- */

/* Whether few connections are left. One controller may have to carry a whole fleet: workers once
 * took every connection there was, and probes and users found none. */
static bool crowded(mv_http_server *s)
{
    return (unsigned)g_atomic_int_get(&s->open) > MV_HTTP_CROWDED * s->limits.connections;
}

static enum MHD_Result send_reply(mv_http_server *s, struct MHD_Connection *con, request *q)
{
    gsize n = 0;
    const void *data = q->reply.body ? g_bytes_get_data(q->reply.body, &n) : "";
    struct MHD_Response *r =
        MHD_create_response_from_buffer(n, (void *)data, MHD_RESPMEM_MUST_COPY);
    g_clear_pointer(&q->reply.body, g_bytes_unref);
    if (!r)
        return MHD_NO;
    MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE,
                            q->reply.text ? "text/plain; charset=utf-8" : "application/msgpack");
    if (q->reply.retry_after > 0) {
        char seconds[16];
        g_snprintf(seconds, sizeof seconds, "%d", q->reply.retry_after);
        MHD_add_response_header(r, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
    }
    if (q->at == READING && crowded(s)) {
        MHD_add_response_header(r, MHD_HTTP_HEADER_CONNECTION, "close");
        g_atomic_pointer_add(&s->closed, 1);
        mv_log_limited(MV_LOG_INFO, "crowded", "connections=%d limit=%u",
                       g_atomic_int_get(&s->open), s->limits.connections);
    }
    enum MHD_Result result = MHD_queue_response(con, (unsigned)q->reply.status, r);
    MHD_destroy_response(r);
    return result;
}

static void carry_out(mv_http_server *s, const char *method, const char *path, request *q)
{
    q->reply.status = 500;
    s->handler.answer(s->handler.ctx, method, path, q->too_large ? NULL : q->body->data,
                      q->body->len, &q->reply);
}

/* For each report this thread takes the core's lock, which it leaves for a moment only, and it
 * stops only when nothing is left to read. With a thousand reports in a row, which is what the end
 * of a controller brings at 4,000 machines, renewals of the session took two to five seconds: the
 * session ended, the next controller got the shard besides its own, and broke down under it in its
 * turn. */
static void rest_at_times(mv_http_server *s)
{
    if (++s->streak < MV_HTTP_STREAK)
        return;
    s->streak = 0;
    g_atomic_pointer_add(&s->rests, 1);
    g_usleep(MV_HTTP_REST_US);
}

mv_http_load mv_http_load_of(mv_http_server *s)
{
    pthread_mutex_lock(&s->lock);
    unsigned waiting = g_queue_get_length(&s->waiting);
    pthread_mutex_unlock(&s->lock);
    return (mv_http_load){.waiting = waiting,
                          .connections = (unsigned)g_atomic_int_get(&s->open),
                          .limit = s->limits.connections,
                          .rests = (guint64)g_atomic_pointer_get(&s->rests),
                          .shed = (guint64)g_atomic_pointer_get(&s->shed),
                          .closed = (guint64)g_atomic_pointer_get(&s->closed)};
}

static void *request_routine(void *arg)
{
    mv_http_server *s = arg;
    pthread_mutex_lock(&s->lock);
    for (;;) {
        while (!s->stopping && g_queue_is_empty(&s->waiting))
            pthread_cond_wait(&s->filled, &s->lock);
        request *q = g_queue_pop_head(&s->waiting);
        if (!q)
            break;
        pthread_mutex_unlock(&s->lock);
        carry_out(s, q->method, q->path, q);
        q->at = ANSWERED;
        MHD_resume_connection(q->con);
        pthread_mutex_lock(&s->lock);
    }
    pthread_mutex_unlock(&s->lock);
    return NULL;
}

/* Leaves the request to a routine; false: too many wait already. */
static bool hand_over(mv_http_server *s, struct MHD_Connection *con, const char *method,
                      const char *path, request *q)
{
    unsigned may_wait = s->handler.may_wait(method, path);
    pthread_mutex_lock(&s->lock);
    bool room = g_queue_get_length(&s->waiting) < may_wait && !s->stopping;
    if (room) {
        q->con = con;
        q->at = WAITING;
        q->method = g_strdup(method);
        q->path = g_strdup(path);
        MHD_suspend_connection(con);
        g_queue_push_tail(&s->waiting, q);
        pthread_cond_signal(&s->filled);
    }
    pthread_mutex_unlock(&s->lock);
    return room;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *con, const char *path,
                                  const char *method, const char *version, const char *data,
                                  size_t *size, void **slot)
{
    mv_http_server *s = cls;
    request *q = *slot;
    (void)version;
    if (!q) {
        q = g_new0(request, 1);
        q->body = g_byte_array_new();
        *slot = q;
        return MHD_YES;
    }
    if (*size) {
        /* The rest of a body that is too large is read and dropped, so that the answer is heard. */
        q->too_large = q->too_large || q->body->len + *size > MV_MAX_BODY;
        if (!q->too_large)
            g_byte_array_append(q->body, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    if (q->at == WAITING)
        return MHD_YES;
    if (q->at == READING) {
        if (s->handler.at_once(method, path)) {
            carry_out(s, method, path, q);
            rest_at_times(s);
        } else if (hand_over(s, con, method, path, q)) {
            return MHD_YES;
        } else {
            s->handler.busy(method, path, &q->reply);
            g_atomic_pointer_add(&s->shed, 1);
            mv_log_limited(MV_LOG_INFO, "shed", "method=%s waiting=%u", method,
                           s->handler.may_wait(method, path));
        }
    }
    return send_reply(s, con, q);
}

static void on_connection(void *cls, struct MHD_Connection *con, void **slot,
                          enum MHD_ConnectionNotificationCode what)
{
    mv_http_server *s = cls;
    (void)con;
    (void)slot;
    g_atomic_int_add(&s->open, what == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1);
}

static void on_completed(void *cls, struct MHD_Connection *con, void **slot,
                         enum MHD_RequestTerminationCode why)
{
    request *q = *slot;
    (void)cls;
    (void)con;
    (void)why;
    if (!q)
        return;
    g_byte_array_unref(q->body);
    g_clear_pointer(&q->reply.body, g_bytes_unref);
    g_free(q->method);
    g_free(q->path);
    g_free(q);
    *slot = NULL;
}

/* --- life --- */

mv_http_server *mv_http_bind(const mv_endpoint *at, const mv_http_limits *limits,
                             const mv_http_handler *handler)
{
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_port = htons(at->port)};
    int one = 1;
    if (inet_pton(AF_INET, at->host, &addr.sin_addr) != 1)
        return NULL;
    /* Never blocking, as the library wants the sockets that it did not make itself. */
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
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
    s->handler = *handler;
    s->limits = *limits;
    pthread_mutex_init(&s->lock, NULL);
    pthread_cond_init(&s->filled, NULL);
    return s;
}

/* What the library has to say goes where all else is said. */
static void on_log(void *ctx, const char *format, va_list ap)
{
    char line[300];
    (void)ctx;
    if (vsnprintf(line, sizeof line, format, ap) < 0)
        return;
    g_strdelimit(line, "\n\"", ' ');
    mv_log_limited(MV_LOG_INFO, "http", "said=\"%s\"", g_strchomp(line));
}

static bool start_routines(mv_http_server *s)
{
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, MV_STACK_BYTES);
    while (s->n_routines < MV_REQUEST_ROUTINES &&
           pthread_create(&s->routines[s->n_routines], &attr, request_routine, s) == 0)
        s->n_routines++;
    pthread_attr_destroy(&attr);
    return s->n_routines > 0;
}

/* A routine of its own for each connection cost more than the requests: 90 us and some 35 system
 * calls for one that comes and goes against 20 us for a report, and after a take-over a thousand
 * come at once. So the library's one routine serves them all, and those users' requests that wait
 * for the state service or a peer go to the routines above. */
bool mv_http_serve(mv_http_server *s)
{
    if (!start_routines(s) || listen(s->fd, MV_HTTP_BACKLOG) < 0)
        return false;
    s->mhd = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, s->port, NULL,
        NULL, on_request, s, MHD_OPTION_EXTERNAL_LOGGER, on_log, NULL, MHD_OPTION_LISTEN_SOCKET,
        s->fd, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
        s->limits.connections, MHD_OPTION_CONNECTION_TIMEOUT, s->limits.idle_s,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)MV_HTTP_MEMORY, MHD_OPTION_END);
    return s->mhd != NULL;
}

void mv_http_close(mv_http_server *s)
{
    pthread_mutex_lock(&s->lock);
    s->stopping = true;
    pthread_cond_broadcast(&s->filled);
    pthread_mutex_unlock(&s->lock);
    /* They finish what waits, so that no connection is left suspended. */
    for (unsigned i = 0; i < s->n_routines; i++)
        pthread_join(s->routines[i], NULL);
    if (s->mhd)
        MHD_stop_daemon(s->mhd); /* closes the socket too */
    else
        close(s->fd);
    pthread_mutex_destroy(&s->lock);
    pthread_cond_destroy(&s->filled);
    g_free(s);
}
