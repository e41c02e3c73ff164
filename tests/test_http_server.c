/* The HTTP server on a loopback port, without the rest of a controller. */
#include "transport/http_server.h"

#include "constants.h"
#include "transport/http_client.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void answer(void *ctx, const char *method, const char *path, const uint8_t *body,
                   size_t size, mv_http_reply *reply)
{
    (void)ctx;
    (void)method;
    (void)path;
    (void)body;
    (void)size;
    reply->status = 200;
    reply->text = true;
    reply->body = g_bytes_new_static("ok", strlen("ok"));
}

static bool all_at_once(const char *method, const char *path)
{
    (void)method;
    (void)path;
    return true;
}

static void busy(const char *method, const char *path, mv_http_reply *reply)
{
    (void)method;
    (void)path;
    reply->status = 503;
}

/* A port that was free a moment ago. */
static uint16_t free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(fd, >=, 0);
    g_assert_cmpint(inet_pton(AF_INET, "127.0.0.1", &address.sin_addr), ==, 1);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size), ==, 0);
    g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &size), ==, 0);
    close(fd);
    return ntohs(address.sin_port);
}

static mv_http_server *serve(mv_endpoint *at, const mv_http_handler *handler)
{
    mv_http_limits limits = {.connections = 8, .idle_s = 60};
    g_strlcpy(at->host, "127.0.0.1", sizeof at->host);
    at->port = free_port();
    mv_http_server *server = mv_http_bind(at, &limits, handler);
    g_assert_nonnull(server);
    g_assert_true(mv_http_serve(server));
    return server;
}

static int ask(const mv_endpoint *at)
{
    char to[80];
    mv_http_answer answer = {0};
    g_snprintf(to, sizeof to, "%s:%u", at->host, at->port);
    mv_http_call("GET", to, "/", NULL, 30000, &answer);
    int status = answer.status;
    mv_http_answer_clear(&answer);
    return status;
}

/* The thread that answers at once rests after so many requests, and not before. */
static void rests(void)
{
    mv_endpoint at = {0};
    mv_http_handler handler = {.answer = answer, .at_once = all_at_once, .busy = busy};
    mv_http_server *server = serve(&at, &handler);
    for (unsigned i = 0; i < MV_HTTP_STREAK - 1; i++)
        g_assert_cmpint(ask(&at), ==, 200);
    g_assert_cmpuint(mv_http_rests(server), ==, 0);
    for (unsigned i = 0; i < 2 * MV_HTTP_STREAK; i++)
        g_assert_cmpint(ask(&at), ==, 200);
    g_assert_cmpuint(mv_http_rests(server), ==, 2);
    mv_http_close(server);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    mv_http_client_init();
    g_test_add_func("/http-server/rests", rests);
    return g_test_run();
}
