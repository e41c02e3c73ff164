/** The connections to one other controller. */
#include "transport/peer_pool.h"

#include "constants.h"
#include "telemetry/metrics.h"
#include "transport/peer_socket.h"
#include "transport/threads.h"

#include <pthread.h>
#include <unistd.h>

#define MICROSECONDS_PER_MILLISECOND 1000

/* An open connection that no call uses. */
typedef struct {
    int fd;
    gint64 idle_since_us;
} idle_connection;

struct mv_peer {
    struct sockaddr_in address;
    mv_peer_limits limits;
    pthread_mutex_t lock; /* guards the fields below; not held while a call uses the network */
    pthread_cond_t call_ended;
    GArray *idle;        /* of idle_connection; the one that was used last is at the end */
    unsigned calls;      /* in flight */
    unsigned waiting;    /* calls that wait until another call ends */
    gint64 failed_at_us; /* monotonic time at which the last call failed; 0: it did not */
};

mv_peer *mv_peer_new(const mv_endpoint *to, const mv_peer_limits *limits)
{
    mv_peer *peer = g_new0(mv_peer, 1);
    mv_peer_socket_address(to, &peer->address);
    peer->limits = *limits;
    pthread_mutex_init(&peer->lock, NULL);
    mv_monotonic_cond_init(&peer->call_ended);
    peer->idle = g_array_new(FALSE, FALSE, sizeof(idle_connection));
    return peer;
}

static void close_connections(const GArray *connections)
{
    for (guint i = 0; i < connections->len; i++)
        close(g_array_index(connections, idle_connection, i).fd);
}

void mv_peer_free(mv_peer *peer)
{
    if (!peer)
        return;
    close_connections(peer->idle);
    g_array_unref(peer->idle);
    pthread_cond_destroy(&peer->call_ended);
    pthread_mutex_destroy(&peer->lock);
    g_free(peer);
}

unsigned mv_peer_load(mv_peer *peer)
{
    pthread_mutex_lock(&peer->lock);
    const unsigned load = peer->calls + peer->waiting;
    pthread_mutex_unlock(&peer->lock);
    return load;
}

/* --- start and end of a call --- */

/* Returns whether calls fail at once. The caller holds the lock. */
static bool failed_recently(const mv_peer *peer)
{
    const gint64 pause_us = (gint64)peer->limits.failure_pause_ms * MICROSECONDS_PER_MILLISECOND;
    return peer->failed_at_us && g_get_monotonic_time() < peer->failed_at_us + pause_us;
}

static bool has_free_connection(const mv_peer *peer)
{
    return peer->calls < peer->limits.connections;
}

/* Waits until the call may use a connection. Returns false if that is not so by the deadline, or if
 * calls fail at once. The caller holds the lock, which is released during the wait. */
static bool await_free_connection(mv_peer *peer, gint64 deadline_us)
{
    bool in_time = true;
    peer->waiting++;
    while (in_time && !has_free_connection(peer) && !failed_recently(peer))
        in_time = mv_monotonic_cond_wait(&peer->call_ended, &peer->lock, deadline_us);
    peer->waiting--;
    return has_free_connection(peer) && !failed_recently(peer);
}

/* Moves the connections that have been idle since `until_us` or longer to the result, which the
 * caller owns. The caller holds the lock and closes the connections after it has released the lock.
 */
static GArray *take_idle_since(mv_peer *peer, gint64 until_us)
{
    GArray *taken = g_array_new(FALSE, FALSE, sizeof(idle_connection));
    guint count = 0;
    while (count < peer->idle->len &&
           g_array_index(peer->idle, idle_connection, count).idle_since_us <= until_us)
        count++;
    if (count > 0) {
        g_array_append_vals(taken, peer->idle->data, count);
        g_array_remove_range(peer->idle, 0, count);
    }
    return taken;
}

static void discard_idle(mv_peer *peer)
{
    pthread_mutex_lock(&peer->lock);
    g_autoptr(GArray) discarded = take_idle_since(peer, G_MAXINT64);
    pthread_mutex_unlock(&peer->lock);
    close_connections(discarded);
}

/* Removes the connection that was used last and returns its socket, or MV_PEER_SOCKET_NONE if no
 * connection is idle. The caller holds the lock. */
static int take_last_used(mv_peer *peer)
{
    const guint count = peer->idle->len;
    if (count == 0)
        return MV_PEER_SOCKET_NONE;
    const int fd = g_array_index(peer->idle, idle_connection, count - 1).fd;
    g_array_set_size(peer->idle, count - 1);
    return fd;
}

/* Begins a call. Returns false if it may not use a connection by the deadline. `fd` is an idle
 * connection, or MV_PEER_SOCKET_NONE if the call has to open one. */
static bool begin_call(mv_peer *peer, gint64 deadline_us, int *fd)
{
    const gint64 called_us = g_get_monotonic_time();
    pthread_mutex_lock(&peer->lock);
    g_autoptr(GArray) unused =
        take_idle_since(peer, called_us - (gint64)(MV_PEER_IDLE_S * G_USEC_PER_SEC));
    const bool begun = await_free_connection(peer, deadline_us);
    if (begun) {
        peer->calls++;
        *fd = take_last_used(peer);
    }
    pthread_mutex_unlock(&peer->lock);
    close_connections(unused);
    mv_metrics_record_latency(MV_LATENCY_PEER_WAIT,
                              (double)(g_get_monotonic_time() - called_us) / G_USEC_PER_SEC);
    return begun;
}

/* Ends a call. `fd` is the connection on which the peer responded, or MV_PEER_SOCKET_NONE if it did
 * not respond. */
static void end_call(mv_peer *peer, int fd)
{
    const idle_connection connection = {.fd = fd, .idle_since_us = g_get_monotonic_time()};
    const bool responded = fd != MV_PEER_SOCKET_NONE;
    pthread_mutex_lock(&peer->lock);
    peer->calls--;
    peer->failed_at_us = responded ? 0 : connection.idle_since_us;
    if (responded)
        g_array_append_val(peer->idle, connection);
    /* After a failure all waiting calls fail at once. */
    if (responded)
        pthread_cond_signal(&peer->call_ended);
    else
        pthread_cond_broadcast(&peer->call_ended);
    pthread_mutex_unlock(&peer->lock);
}

/* --- the call --- */

/* Sends the request on an idle connection and returns the response. If that fails, closes the
 * connection, sets `fd` to MV_PEER_SOCKET_NONE and returns NULL. The process of the peer may have
 * ended, and with it all connections, so the other idle ones are closed too. */
static GBytes *exchange_on_idle(mv_peer *peer, int *fd, const uint8_t *frame, size_t size,
                                gint64 deadline_us)
{
    GBytes *response = mv_peer_socket_exchange(*fd, frame, size, deadline_us);
    if (response)
        return response;
    close(*fd);
    *fd = MV_PEER_SOCKET_NONE;
    discard_idle(peer);
    return NULL;
}

/* Sends the request on a new connection and returns the response. If that fails, sets `fd` to
 * MV_PEER_SOCKET_NONE and returns NULL. */
static GBytes *exchange_on_new(const mv_peer *peer, int *fd, const uint8_t *frame, size_t size,
                               gint64 deadline_us)
{
    *fd = mv_peer_socket_connect(&peer->address, deadline_us);
    if (*fd == MV_PEER_SOCKET_NONE)
        return NULL;
    GBytes *response = mv_peer_socket_exchange(*fd, frame, size, deadline_us);
    if (response)
        return response;
    close(*fd);
    *fd = MV_PEER_SOCKET_NONE;
    return NULL;
}

GBytes *mv_peer_call(mv_peer *peer, const uint8_t *frame, size_t size, unsigned timeout_ms)
{
    const gint64 deadline_us =
        g_get_monotonic_time() + (gint64)timeout_ms * MICROSECONDS_PER_MILLISECOND;
    int fd;
    if (!begin_call(peer, deadline_us, &fd))
        return NULL;
    GBytes *response = NULL;
    if (fd != MV_PEER_SOCKET_NONE)
        response = exchange_on_idle(peer, &fd, frame, size, deadline_us);
    if (!response)
        response = exchange_on_new(peer, &fd, frame, size, deadline_us);
    end_call(peer, fd);
    return response;
}
