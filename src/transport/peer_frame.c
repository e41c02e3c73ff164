/** Frames on a connection between controllers. */
#include "transport/peer_frame.h"

#include "constants.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#define LENGTH_BYTES sizeof(uint32_t)
#define MICROSECONDS_PER_MILLISECOND 1000
#define POLL_FOREVER (-1)

/* Returns the time until the deadline in milliseconds, rounded up, as poll takes it. */
static int poll_timeout_ms(gint64 deadline_us)
{
    if (deadline_us == MV_PEER_NO_DEADLINE)
        return POLL_FOREVER;
    const gint64 left_us = MAX(deadline_us - g_get_monotonic_time(), 0);
    return (int)((left_us + MICROSECONDS_PER_MILLISECOND - 1) / MICROSECONDS_PER_MILLISECOND);
}

bool mv_peer_frame_wait(int fd, short events, gint64 deadline_us)
{
    struct pollfd socket = {.fd = fd, .events = events};
    int ready;
    do
        ready = poll(&socket, 1, poll_timeout_ms(deadline_us));
    while (ready < 0 && errno == EINTR);
    return ready > 0;
}

/* Returns whether the last call on the socket failed only for now, so that the caller may repeat
 * it. If the call would have blocked, waits for the events first. */
static bool may_repeat(int fd, short events, gint64 deadline_us)
{
    if (errno == EINTR)
        return true;
    const bool would_block = errno == EAGAIN || errno == EWOULDBLOCK;
    return would_block && mv_peer_frame_wait(fd, events, deadline_us);
}

/* Receives exactly `size` bytes. Returns false if the connection ends or fails, or the deadline
 * passes, first. */
static bool read_exactly(int fd, void *into, size_t size, gint64 deadline_us)
{
    uint8_t *bytes = into;
    while (size > 0) {
        const ssize_t received = recv(fd, bytes, size, 0);
        if (received < 0 && may_repeat(fd, POLLIN, deadline_us))
            continue;
        if (received <= 0)
            return false;
        bytes += received;
        size -= (size_t)received;
    }
    return true;
}

/* Sends exactly `size` bytes. Returns false if the connection fails or the deadline passes first.
 */
static bool write_exactly(int fd, const uint8_t *bytes, size_t size, gint64 deadline_us)
{
    while (size > 0) {
        const ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);
        if (sent < 0 && may_repeat(fd, POLLOUT, deadline_us))
            continue;
        if (sent <= 0)
            return false;
        bytes += sent;
        size -= (size_t)sent;
    }
    return true;
}

/* Sends the length and the frame in one write, so that they do not travel in two packets. */
bool mv_peer_frame_write(int fd, const uint8_t *frame, size_t size, gint64 deadline_us)
{
    g_autofree uint8_t *buffer = g_malloc(LENGTH_BYTES + size);
    const uint32_t length = htonl((uint32_t)size);
    memcpy(buffer, &length, LENGTH_BYTES);
    memcpy(buffer + LENGTH_BYTES, frame, size);
    return write_exactly(fd, buffer, LENGTH_BYTES + size, deadline_us);
}

uint8_t *mv_peer_frame_read(int fd, size_t *size, gint64 deadline_us)
{
    uint32_t length;
    if (!read_exactly(fd, &length, LENGTH_BYTES, deadline_us))
        return NULL;
    *size = ntohl(length);
    if (*size > MV_FRAME_BYTES_MAX)
        return NULL;
    g_autofree uint8_t *frame = g_malloc(*size + 1);
    return read_exactly(fd, frame, *size, deadline_us) ? g_steal_pointer(&frame) : NULL;
}
