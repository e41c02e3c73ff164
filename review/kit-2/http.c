/* HTTP/1.1 on 127.0.0.1: a thread for each connection, and a client. */
#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX 16384

typedef struct {
    http_handler handler;
    void *context;
    int fd;
} server;
typedef struct {
    const server *srv;
    int fd;
} connection;

static void start_thread(void *(*function)(void *), void *context)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 512 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, function, context) != 0) {
        perror("thread");
        exit(2);
    }
    pthread_attr_destroy(&attributes);
}

/* Reads until the head is complete. Returns the length of the head; 0: the connection ended. `b` keeps what follows. */
static size_t read_head(int fd, buf *b, double until)
{
    for (;;) {
        if (b->len >= 4) {
            uint8_t *end = memmem(b->data, b->len, "\r\n\r\n", 4);
            if (end)
                return (size_t)(end - b->data) + 4;
        }
        if (b->len > HEAD_MAX)
            return 0;
        if (until > 0) {
            struct pollfd p = {.fd = fd, .events = POLLIN};
            double left = until - now_s();
            if (left <= 0 || poll(&p, 1, (int)(left * 1000) + 1) <= 0)
                return 0;
        }
        uint8_t chunk[8192];
        ssize_t n = recv(fd, chunk, sizeof chunk, 0);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return 0;
        buf_add(b, chunk, (size_t)n);
    }
}

static bool read_body(int fd, buf *b, size_t need, double until)
{
    while (b->len < need) {
        if (until > 0) {
            struct pollfd p = {.fd = fd, .events = POLLIN};
            double left = until - now_s();
            if (left <= 0 || poll(&p, 1, (int)(left * 1000) + 1) <= 0)
                return false;
        }
        uint8_t chunk[16384];
        ssize_t n = recv(fd, chunk, sizeof chunk, 0);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        buf_add(b, chunk, (size_t)n);
    }
    return true;
}

static long header_number(const char *head, const char *name)
{
    const char *line = strcasestr(head, name);
    return line ? strtol(line + strlen(name), NULL, 10) : 0;
}

static bool send_all(int fd, const void *data, size_t len)
{
    const uint8_t *at = data;
    while (len) {
        ssize_t n = send(fd, at, len, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        at += n;
        len -= (size_t)n;
    }
    return true;
}

static bool serve_one(const connection *c, buf *in)
{
    size_t head_len = read_head(c->fd, in, 0);
    if (!head_len)
        return false;
    char *head = strndup((char *)in->data, head_len);
    size_t body_len = (size_t)header_number(head, "\r\nContent-Length:");
    bool close_after = strcasestr(head, "\r\nConnection: close") != NULL;
    request req = {0};
    char target[1024] = "";
    bool ok = sscanf(head, "%7s %1023s", req.method, target) == 2;
    free(head);
    if (!ok || !read_body(c->fd, in, head_len + body_len, 0))
        return false;
    char *mark = strchr(target, '?');
    if (mark) {
        *mark = 0;
        snprintf(req.query, sizeof req.query, "%s", mark + 1);
    }
    snprintf(req.path, sizeof req.path, "%s", target);
    req.body = in->data + head_len;
    req.body_len = body_len;
    response res = {.status = 500};
    c->srv->handler(c->srv->context, &req, &res);
    memmove(in->data, in->data + head_len + body_len, in->len - head_len - body_len);
    in->len -= head_len + body_len;
    bool sent = false;
    if (res.status) {
        char line[160];
        int n = snprintf(line, sizeof line,
                         "HTTP/1.1 %d X\r\nContent-Type: application/msgpack\r\nContent-Length: %zu\r\n%s\r\n", res.status,
                         res.body.len, close_after ? "Connection: close\r\n" : "");
        buf out = {0};
        buf_add(&out, line, (size_t)n);
        if (res.body.len)
            buf_add(&out, res.body.data, res.body.len);
        sent = send_all(c->fd, out.data, out.len);
        buf_free(&out);
    }
    buf_free(&res.body);
    return sent && !close_after;
}

static void *connection_thread(void *context)
{
    connection *c = context;
    buf in = {0};
    while (serve_one(c, &in))
        ;
    buf_free(&in);
    close(c->fd);
    free(c);
    return NULL;
}

static void *accept_thread(void *context)
{
    server *srv = context;
    for (;;) {
        int fd = accept4(srv->fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            usleep(10000);
            continue;
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        connection *c = calloc(1, sizeof *c);
        *c = (connection){srv, fd};
        start_thread(connection_thread, c);
    }
    return NULL;
}

int http_serve(http_handler handler, void *context)
{
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof at;
    server *srv = calloc(1, sizeof *srv);
    *srv = (server){handler, context, socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    if (srv->fd < 0 || bind(srv->fd, (struct sockaddr *)&at, sizeof at) < 0 || listen(srv->fd, 512) < 0 ||
        getsockname(srv->fd, (struct sockaddr *)&at, &len) < 0) {
        perror("serve");
        exit(2);
    }
    start_thread(accept_thread, srv);
    return ntohs(at.sin_port);
}

void http_close(http_conn *c)
{
    if (c->fd >= 0)
        close(c->fd);
    c->fd = -1;
}

bool http_open(http_conn *c, int port, double timeout_s)
{
    struct sockaddr_in to = {
        .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK), .sin_port = htons((uint16_t)port)};
    int one = 1, error = 0;
    socklen_t len = sizeof error;
    c->port = port;
    c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (c->fd < 0)
        return false;
    setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(c->fd, (struct sockaddr *)&to, sizeof to) < 0) {
        struct pollfd p = {.fd = c->fd, .events = POLLOUT};
        if (errno != EINPROGRESS || poll(&p, 1, (int)(timeout_s * 1000)) <= 0 ||
            getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error) {
            http_close(c);
            return false;
        }
    }
    fcntl(c->fd, F_SETFL, fcntl(c->fd, F_GETFL) & ~O_NONBLOCK);
    return true;
}

int http_on(http_conn *c, const char *method, const char *path, const buf *body, double timeout_s, buf *answer)
{
    double until = now_s() + timeout_s;
    buf out = {0}, in = {0};
    char line[700];
    int status = 0;
    int n = snprintf(line, sizeof line,
                     "%s %s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nContent-Type: application/msgpack\r\nContent-Length: %zu\r\n\r\n",
                     method, path, c->port, body ? body->len : 0);
    buf_add(&out, line, (size_t)n);
    if (body && body->len)
        buf_add(&out, body->data, body->len);
    size_t head_len = send_all(c->fd, out.data, out.len) ? read_head(c->fd, &in, until) : 0;
    bool close_after = true;
    if (head_len) {
        char *head = strndup((char *)in.data, head_len);
        size_t body_len = (size_t)header_number(head, "\r\nContent-Length:");
        int code = 0;
        sscanf(head, "HTTP/1.1 %d", &code);
        close_after = strcasestr(head, "\r\nConnection: close") != NULL;
        free(head);
        if (read_body(c->fd, &in, head_len + body_len, until)) {
            status = code;
            if (answer)
                buf_add(answer, in.data + head_len, body_len);
        }
    }
    if (!status || close_after)
        http_close(c);
    buf_free(&out);
    buf_free(&in);
    return status;
}

int http_call(int port, const char *method, const char *path, const buf *body, double timeout_s, buf *answer)
{
    http_conn c = {.fd = -1};
    if (!http_open(&c, port, timeout_s))
        return 0;
    int status = http_on(&c, method, path, body, timeout_s, answer);
    http_close(&c);
    return status;
}

char *query_arg(const request *req, const char *name)
{
    size_t n = strlen(name);
    for (const char *at = req->query; *at;) {
        const char *end = strchrnul(at, '&');
        if (strncmp(at, name, n) == 0 && at[n] == '=')
            return strndup(at + n + 1, (size_t)(end - at) - n - 1);
        at = *end ? end + 1 : end;
    }
    return NULL;
}
