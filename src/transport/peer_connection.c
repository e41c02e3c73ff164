/** The sending end of a connection between two controllers. */
#include "transport/peer_connection.h"

#include "telemetry/metrics.h"
#include "transport/peer_frame.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#define NOT_CONNECTED (-1)

struct mv_peer {
    struct sockaddr_in address;
    pthread_mutex_t lock;    /* guards fd and failed_at_us; held during a whole mv_peer_call */
    int fd;                  /* open socket, or NOT_CONNECTED */
    gint64 failure_pause_us; /* calls fail at once for this long after a failure; 0: never */
    gint64 failed_at_us;     /* monotonic time at which the last call failed; 0: it did not */
};

mv_peer *mv_peer_new(const mv_endpoint *to)
{
    mv_peer *peer = g_new0(mv_peer, 1);
    mv_peer_socket_address(to, &peer->address);
    pthread_mutex_init(&peer->lock, NULL);
    peer->fd = NOT_CONNECTED;
    return peer;
}

void mv_peer_set_failure_pause(mv_peer *peer, unsigned pause_ms)
{
    peer->failure_pause_us = (gint64)pause_ms * 1000;
}

static void disconnect(mv_peer *peer)
{
    if (peer->fd != NOT_CONNECTED)
        close(peer->fd);
    peer->fd = NOT_CONNECTED;
}

void mv_peer_free(mv_peer *peer)
{
    if (!peer)
        return;
    disconnect(peer);
    pthread_mutex_destroy(&peer->lock);
    g_free(peer);
}

/* Connects a non-blocking socket and waits up to the timeout until the connection is established.
 * Returns whether that succeeded. */
static bool connect_socket(int fd, const struct sockaddr_in *address, unsigned timeout_ms)
{
    if (connect(fd, (const struct sockaddr *)address, sizeof *address) == 0)
        return true;
    if (errno != EINPROGRESS)
        return false;
    struct pollfd writable = {.fd = fd, .events = POLLOUT};
    if (poll(&writable, 1, (int)timeout_ms) <= 0)
        return false;
    int error = 0;
    socklen_t length = sizeof error;
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0;
}

/* Limits the time of each receive and of each send on the socket. */
static void set_timeouts(int fd, unsigned timeout_ms)
{
    const struct timeval limit = {.tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000};
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

/* Opens a connection to the peer and stores its socket in `peer`. Returns false, and leaves the
 * peer unconnected, on failure. The socket is non-blocking only while it connects. */
static bool connect_with_timeout(mv_peer *peer, unsigned timeout_ms)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0)
        return false;
    const int flags = fcntl(fd, F_GETFL);
    (void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    if (!connect_socket(fd, &peer->address, timeout_ms)) {
        close(fd);
        return false;
    }
    (void)fcntl(fd, F_SETFL, flags);
    mv_peer_socket_no_delay(fd);
    set_timeouts(fd, timeout_ms);
    peer->fd = fd;
    return true;
}

/* Sends a frame on the open connection and returns the response, or NULL on failure or timeout. */
static GBytes *exchange(const mv_peer *peer, const uint8_t *frame, size_t size, unsigned timeout_ms)
{
    if (!mv_peer_frame_write(peer->fd, frame, size))
        return NULL;
    struct pollfd readable = {.fd = peer->fd, .events = POLLIN};
    if (poll(&readable, 1, (int)timeout_ms) <= 0)
        return NULL;
    size_t response_size;
    uint8_t *response = mv_peer_frame_read(peer->fd, &response_size);
    return response ? g_bytes_new_take(response, response_size) : NULL;
}

/* Makes one attempt to send a request and receive the response, on the open connection or, if there
 * is none, on a new connection. The connection stays open only if a response arrived. */
static GBytes *attempt(mv_peer *peer, const uint8_t *frame, size_t size, unsigned timeout_ms)
{
    if (peer->fd == NOT_CONNECTED && !connect_with_timeout(peer, timeout_ms))
        return NULL;
    GBytes *response = exchange(peer, frame, size, timeout_ms);
    if (!response)
        disconnect(peer);
    return response;
}

static bool failed_recently(const mv_peer *peer)
{
    return peer->failed_at_us &&
           g_get_monotonic_time() < peer->failed_at_us + peer->failure_pause_us;
}

/* Sends the request and receives the response. A connection that an earlier call opened ends when
 * the peer's process ends. The peer may have restarted since, so the request gets a second attempt
 * on a new connection. */
static GBytes *send_request(mv_peer *peer, const uint8_t *frame, size_t size, unsigned timeout_ms)
{
    const bool was_connected = peer->fd != NOT_CONNECTED;
    GBytes *response = attempt(peer, frame, size, timeout_ms);
    if (!response && was_connected)
        response = attempt(peer, frame, size, timeout_ms);
    peer->failed_at_us = response ? 0 : g_get_monotonic_time();
    return response;
}

static double seconds_since(gint64 monotonic_us)
{
    return (double)(g_get_monotonic_time() - monotonic_us) / G_USEC_PER_SEC;
}

GBytes *mv_peer_call(mv_peer *peer, const uint8_t *frame, size_t size, unsigned timeout_ms)
{
    const gint64 called_us = g_get_monotonic_time();
    pthread_mutex_lock(&peer->lock);
    mv_metrics_record_latency(MV_LATENCY_PEER_WAIT, seconds_since(called_us));
    GBytes *response = failed_recently(peer) ? NULL : send_request(peer, frame, size, timeout_ms);
    pthread_mutex_unlock(&peer->lock);
    return response;
}
