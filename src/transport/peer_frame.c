/** Frames on a connection between controllers, and socket functions that both ends use. */
#include "transport/peer_frame.h"

#include "constants.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define LENGTH_BYTES sizeof(uint32_t)

void mv_peer_socket_no_delay(int fd)
{
    const int enabled = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

bool mv_peer_socket_address(const mv_endpoint *endpoint, struct sockaddr_in *out)
{
    memset(out, 0, sizeof *out);
    out->sin_family = AF_INET;
    out->sin_port = htons(endpoint->port);
    return inet_pton(AF_INET, endpoint->host, &out->sin_addr) == 1;
}

/* Receives exactly `size` bytes. Returns false if the connection ends, fails or times out first. */
static bool read_exactly(int fd, void *into, size_t size)
{
    uint8_t *bytes = into;
    while (size > 0) {
        const ssize_t received = recv(fd, bytes, size, 0);
        if (received < 0 && errno == EINTR)
            continue;
        if (received <= 0)
            return false;
        bytes += received;
        size -= (size_t)received;
    }
    return true;
}

/* Sends exactly `size` bytes. Returns false if the connection fails or times out first. */
static bool write_exactly(int fd, const uint8_t *bytes, size_t size)
{
    while (size > 0) {
        const ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent <= 0)
            return false;
        bytes += sent;
        size -= (size_t)sent;
    }
    return true;
}

/* Sends the length and the frame in one write, so that they do not travel in two packets. */
bool mv_peer_frame_write(int fd, const uint8_t *frame, size_t size)
{
    g_autofree uint8_t *buffer = g_malloc(LENGTH_BYTES + size);
    const uint32_t length = htonl((uint32_t)size);
    memcpy(buffer, &length, LENGTH_BYTES);
    memcpy(buffer + LENGTH_BYTES, frame, size);
    return write_exactly(fd, buffer, LENGTH_BYTES + size);
}

uint8_t *mv_peer_frame_read(int fd, size_t *size)
{
    uint32_t length;
    if (!read_exactly(fd, &length, LENGTH_BYTES))
        return NULL;
    *size = ntohl(length);
    if (*size > MV_FRAME_BYTES_MAX)
        return NULL;
    g_autofree uint8_t *frame = g_malloc(*size + 1);
    return read_exactly(fd, frame, *size) ? g_steal_pointer(&frame) : NULL;
}
