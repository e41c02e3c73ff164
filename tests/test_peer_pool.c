/**
 * Tests the connections between controllers on loopback: calls to one peer at the same time, the
 * limit on their number, and a peer that restarts.
 */
#include "constants.h"
#include "loopback.h"
#include "transport/peer.h"

#include <pthread.h>
#include <string.h>

#define CALL_TIMEOUT_MS 30000
#define SHORT_TIMEOUT_MS 50
#define CALLERS 4

/* --- a peer --- */

/* Calls that the peer answers only once `expected` of them have arrived. */
typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t arrived;
    unsigned expected; /* guarded by the lock, as are the fields below */
    unsigned calls, answered, abandoned;
} gathering;

static void init_gathering(gathering *calls, unsigned expected)
{
    *calls = (gathering){.expected = expected};
    pthread_mutex_init(&calls->lock, NULL);
    pthread_cond_init(&calls->arrived, NULL);
}

static void clear_gathering(gathering *calls)
{
    pthread_mutex_destroy(&calls->lock);
    pthread_cond_destroy(&calls->arrived);
}

static GBytes *answer_when_gathered(void *context, const mv_peer_message *message)
{
    gathering *calls = context;
    pthread_mutex_lock(&calls->lock);
    calls->calls++;
    pthread_cond_broadcast(&calls->arrived);
    while (calls->calls < calls->expected)
        pthread_cond_wait(&calls->arrived, &calls->lock);
    calls->abandoned += mv_peer_message_is_abandoned(message);
    calls->answered++;
    pthread_cond_broadcast(&calls->arrived);
    pthread_mutex_unlock(&calls->lock);
    return g_bytes_new(message->frame, message->size);
}

static mv_endpoint free_endpoint(void)
{
    mv_endpoint endpoint = {.port = (uint16_t)mv_loopback_free_port()};
    g_strlcpy(endpoint.host, "127.0.0.1", sizeof endpoint.host);
    return endpoint;
}

static mv_peer_server *start_server(const mv_endpoint *endpoint, gathering *calls)
{
    mv_peer_server *server = mv_peer_server_start(endpoint, answer_when_gathered, calls);
    g_assert_nonnull(server);
    return server;
}

/* Returns whether the peer answered within the timeout. */
static bool call(mv_peer *peer, unsigned timeout_ms)
{
    const char *text = "request";
    g_autoptr(GBytes) response =
        mv_peer_call(peer, (const uint8_t *)text, strlen(text), timeout_ms);
    return response != NULL;
}

static gpointer call_in_thread(gpointer peer)
{
    return GINT_TO_POINTER(call(peer, CALL_TIMEOUT_MS));
}

/* --- tests --- */

/* Guards against calls to a peer that wait for one another: the peer answers none of these before
 * it has received all of them. */
static void calls_are_in_flight_together(void)
{
    gathering calls;
    init_gathering(&calls, CALLERS);
    GThread *threads[CALLERS];
    const mv_endpoint endpoint = free_endpoint();
    const mv_peer_limits limits = {.connections = CALLERS};
    mv_peer_server *server = start_server(&endpoint, &calls);
    mv_peer *peer = mv_peer_new(&endpoint, &limits);
    for (unsigned i = 0; i < CALLERS; i++)
        threads[i] = g_thread_new("caller", call_in_thread, peer);
    for (unsigned i = 0; i < CALLERS; i++)
        g_assert_true(GPOINTER_TO_INT(g_thread_join(threads[i])));
    g_assert_cmpuint(mv_peer_load(peer), ==, 0);
    mv_peer_free(peer);
    mv_peer_server_free(server);
    clear_gathering(&calls);
}

/* Guards against more connections than the limit, and against a call that waits for one longer than
 * its timeout. */
static void further_call_waits_for_connection(void)
{
    gathering calls;
    init_gathering(&calls, 2);
    const mv_endpoint endpoint = free_endpoint();
    mv_peer_server *server = start_server(&endpoint, &calls);
    mv_peer *peer = mv_peer_new(&endpoint, &(mv_peer_limits){.connections = 1});
    GThread *first = g_thread_new("caller", call_in_thread, peer);
    pthread_mutex_lock(&calls.lock);
    while (calls.calls == 0)
        pthread_cond_wait(&calls.arrived, &calls.lock);
    pthread_mutex_unlock(&calls.lock);

    g_assert_false(call(peer, SHORT_TIMEOUT_MS));
    pthread_mutex_lock(&calls.lock);
    g_assert_cmpuint(calls.calls, ==, 1);
    calls.expected = 1;
    pthread_cond_broadcast(&calls.arrived);
    pthread_mutex_unlock(&calls.lock);

    g_assert_true(GPOINTER_TO_INT(g_thread_join(first)));
    g_assert_true(call(peer, CALL_TIMEOUT_MS));
    mv_peer_free(peer);
    mv_peer_server_free(server);
    clear_gathering(&calls);
}

/* The connections of a peer's earlier process fail; the call is repeated on a new one. */
static void restarted_peer_is_called_again(void)
{
    gathering calls;
    init_gathering(&calls, 0);
    const mv_endpoint endpoint = free_endpoint();
    mv_peer *peer = mv_peer_new(&endpoint, &(mv_peer_limits){.connections = 1});
    mv_peer_server *server = start_server(&endpoint, &calls);
    g_assert_true(call(peer, CALL_TIMEOUT_MS));
    mv_peer_server_free(server);
    g_assert_false(call(peer, CALL_TIMEOUT_MS));
    server = start_server(&endpoint, &calls);
    g_assert_true(call(peer, CALL_TIMEOUT_MS));
    mv_peer_server_free(server);
    server = start_server(&endpoint, &calls);
    g_assert_true(call(peer, CALL_TIMEOUT_MS));
    mv_peer_server_free(server);
    mv_peer_free(peer);
    clear_gathering(&calls);
}

/* Guards against requests that a peer decides although nobody waits for the answer any more, for
 * example after the peer was paused. */
static void abandoned_request_is_known(void)
{
    gathering calls;
    init_gathering(&calls, 1);
    const mv_endpoint endpoint = free_endpoint();
    mv_peer_server *server = start_server(&endpoint, &calls);
    mv_peer *peer = mv_peer_new(&endpoint, &(mv_peer_limits){.connections = 1});
    g_assert_true(call(peer, CALL_TIMEOUT_MS));
    pthread_mutex_lock(&calls.lock);
    g_assert_cmpuint(calls.abandoned, ==, 0);
    calls.expected = 3;
    pthread_mutex_unlock(&calls.lock);

    g_assert_false(call(peer, SHORT_TIMEOUT_MS));
    pthread_mutex_lock(&calls.lock);
    calls.expected = 1;
    pthread_cond_broadcast(&calls.arrived);
    while (calls.answered < 2)
        pthread_cond_wait(&calls.arrived, &calls.lock);
    g_assert_cmpuint(calls.abandoned, ==, 1);
    pthread_mutex_unlock(&calls.lock);
    mv_peer_free(peer);
    mv_peer_server_free(server);
    clear_gathering(&calls);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-pool/in-flight-together", calls_are_in_flight_together);
    g_test_add_func("/peer-pool/limit", further_call_waits_for_connection);
    g_test_add_func("/peer-pool/abandoned", abandoned_request_is_known);
    g_test_add_func("/peer-pool/restart", restarted_peer_is_called_again);
    return g_test_run();
}
