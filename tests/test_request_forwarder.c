/**
 * Tests the forwarding of users' requests to two peers on loopback, of which one may not respond.
 */
#include "server/request_forwarder.h"

#include "loopback.h"
#include "protocol/http_status.h"
#include "protocol/names.h"
#include "server/peer_codec.h"
#include "transport/peer.h"

#include <pthread.h>

#define PEERS 2
/* Time that a user waits: long enough for a slow machine, so that only a request that is never
 * answered expires. */
#define LONG_TIMEOUT_MS 30000
/* Number of users whose polls get no answer. */
#define USERS (2 * MV_FORWARDING_FAILURES_MIN)

/* A peer that answers forwarded requests with a status, or not before it is opened. */
typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t opened;
    bool blocked;      /* guarded by the lock, as are `requests` and `status` */
    unsigned requests; /* forwarded requests that arrived */
    int status;
    mv_peer_server *server;
} test_peer;

static test_peer peers[PEERS];
static mv_peer_settings peer_settings[PEERS];
static mv_settings settings;
static mv_peer_health *health; /* without its thread: no peer has been checked */
static mv_request_forwarder *forwarder;

static GBytes *answer_forwarded(void *context, const mv_peer_message *message)
{
    test_peer *peer = context;
    (void)message;
    pthread_mutex_lock(&peer->lock);
    peer->requests++;
    while (peer->blocked)
        pthread_cond_wait(&peer->opened, &peer->lock);
    Mv__PeerResponse response = MV__PEER_RESPONSE__INIT;
    response.status = (uint32_t)peer->status;
    pthread_mutex_unlock(&peer->lock);
    return mv_peer_response_pack(&response);
}

static void set_blocked(test_peer *peer, bool blocked)
{
    pthread_mutex_lock(&peer->lock);
    peer->blocked = blocked;
    pthread_cond_broadcast(&peer->opened);
    pthread_mutex_unlock(&peer->lock);
}

static void set_status(test_peer *peer, int status)
{
    pthread_mutex_lock(&peer->lock);
    peer->status = status;
    pthread_mutex_unlock(&peer->lock);
}

static unsigned count_requests(void)
{
    unsigned count = 0;
    for (unsigned i = 0; i < PEERS; i++) {
        pthread_mutex_lock(&peers[i].lock);
        count += peers[i].requests;
        pthread_mutex_unlock(&peers[i].lock);
    }
    return count;
}

static void start_peers(void)
{
    settings = (mv_settings){.peers = peer_settings, .peer_count = PEERS, .max_connections = 1000};
    for (unsigned i = 0; i < PEERS; i++) {
        mv_endpoint *endpoint = &peer_settings[i].endpoint;
        peers[i] = (test_peer){.status = MV_HTTP_STATUS_OK};
        pthread_mutex_init(&peers[i].lock, NULL);
        pthread_cond_init(&peers[i].opened, NULL);
        g_strlcpy(endpoint->host, "127.0.0.1", sizeof endpoint->host);
        endpoint->port = (uint16_t)mv_loopback_free_port();
        peers[i].server = mv_peer_server_start(endpoint, answer_forwarded, &peers[i]);
        g_assert_nonnull(peers[i].server);
    }
    health = mv_peer_health_new(&settings, NULL, NULL);
    forwarder = mv_request_forwarder_new(&settings, health);
}

static void stop_peers(void)
{
    for (unsigned i = 0; i < PEERS; i++)
        set_blocked(&peers[i], false);
    mv_request_forwarder_free(forwarder);
    mv_peer_health_free(health);
    for (unsigned i = 0; i < PEERS; i++) {
        mv_peer_server_free(peers[i].server);
        pthread_cond_destroy(&peers[i].opened);
        pthread_mutex_destroy(&peers[i].lock);
    }
}

/* Forwards a poll whose user gives up after the timeout. Returns the status of the response, or
 * MV_HTTP_STATUS_NONE if no peer served the poll. */
static int forward_poll(int timeout_ms)
{
    g_autoptr(GBytes) body = g_bytes_new(NULL, 0);
    const mv_http_request request = {
        .method = "GET", .path = WIRE_JOBS_PATH "/j-000001", .body = body};
    const gint64 deadline_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
    mv_http_response response = {.status = MV_HTTP_STATUS_NONE};
    mv_request_forwarder_forward(forwarder, MV_FORWARD_TO_ANY, &request, deadline_us, &response);
    if (response.body)
        g_bytes_unref(response.body);
    return response.status;
}

/* --- tests --- */

/* Guards against requests that are passed on after their users have given up. */
static void expired_request_is_not_forwarded(void)
{
    start_peers();
    g_assert_cmpint(forward_poll(0), ==, MV_HTTP_STATUS_NONE);
    g_assert_cmpuint(count_requests(), ==, 0);
    g_assert_cmpint(forward_poll(LONG_TIMEOUT_MS), ==, MV_HTTP_STATUS_OK);
    g_assert_cmpuint(count_requests(), ==, 1);
    stop_peers();
}

/* Guards against a request that is lost because the first peer does not respond or cannot serve it.
 */
static void second_peer_serves_request(void)
{
    start_peers();
    set_blocked(&peers[0], true);
    g_assert_cmpint(forward_poll(LONG_TIMEOUT_MS), ==, MV_HTTP_STATUS_OK);
    set_blocked(&peers[0], false);
    set_status(&peers[0], MV_HTTP_STATUS_UNAVAILABLE);
    g_assert_cmpint(forward_poll(LONG_TIMEOUT_MS), ==, MV_HTTP_STATUS_OK);
    stop_peers();
}

static gpointer give_up(gpointer data)
{
    (void)data;
    return GINT_TO_POINTER(forward_poll(MV_USER_POLL_TIMEOUT_MS));
}

/* Guards against a controller that calls itself healthy while its users' requests get no answer. */
static void unanswered_requests_are_failures(void)
{
    start_peers();
    for (unsigned i = 0; i < PEERS; i++)
        set_blocked(&peers[i], true);
    g_assert_false(mv_request_forwarder_is_failing(forwarder));
    GThread *users[USERS];
    for (unsigned i = 0; i < USERS; i++)
        users[i] = g_thread_new("user", give_up, NULL);
    for (unsigned i = 0; i < USERS; i++)
        g_assert_cmpint(GPOINTER_TO_INT(g_thread_join(users[i])), ==, MV_HTTP_STATUS_NONE);
    g_assert_true(mv_request_forwarder_is_failing(forwarder));
    stop_peers();
}

/* Guards against controllers that all become unhealthy in an outage of the state service, in which
 * they refuse one another's requests. */
static void refused_requests_are_no_failures(void)
{
    start_peers();
    for (unsigned i = 0; i < PEERS; i++)
        set_status(&peers[i], MV_HTTP_STATUS_UNAVAILABLE);
    for (unsigned i = 0; i < USERS; i++)
        g_assert_cmpint(forward_poll(LONG_TIMEOUT_MS), ==, MV_HTTP_STATUS_NONE);
    g_assert_false(mv_request_forwarder_is_failing(forwarder));
    stop_peers();
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/request-forwarder/expired", expired_request_is_not_forwarded);
    g_test_add_func("/request-forwarder/second-peer", second_peer_serves_request);
    g_test_add_func("/request-forwarder/unanswered", unanswered_requests_are_failures);
    g_test_add_func("/request-forwarder/refused", refused_requests_are_no_failures);
    return g_test_run();
}
