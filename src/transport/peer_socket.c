/** The socket of one connection to another controller. */
#include "transport/peer_socket.h"

#include "transport/peer_frame.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

bool mv_peer_socket_address(const mv_endpoint *endpoint, struct sockaddr_in *out)
{
    memset(out, 0, sizeof *out);
    out->sin_family = AF_INET;
    out->sin_port = htons(endpoint->port);
    return inet_pton(AF_INET, endpoint->host, &out->sin_addr) == 1;
}

void mv_peer_socket_no_delay(int fd)
{
    const int enabled = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

/* Waits until the connection of a non-blocking socket is established. Returns whether that
 * succeeded by the deadline. */
static bool await_connection(int fd, gint64 deadline_us)
{
    int error = 0;
    socklen_t length = sizeof error;
    return mv_peer_frame_wait(fd, POLLOUT, deadline_us) &&
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0;
}

int mv_peer_socket_connect(const struct sockaddr_in *address, gint64 deadline_us)
{
    if (g_get_monotonic_time() >= deadline_us)
        return MV_PEER_SOCKET_NONE;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return MV_PEER_SOCKET_NONE;
    const bool connected = connect(fd, (const struct sockaddr *)address, sizeof *address) == 0;
    if (!connected && (errno != EINPROGRESS || !await_connection(fd, deadline_us))) {
        close(fd);
        return MV_PEER_SOCKET_NONE;
    }
    mv_peer_socket_no_delay(fd);
    return fd;
}

GBytes *mv_peer_socket_exchange(int fd, const uint8_t *frame, size_t size, gint64 deadline_us)
{
    if (!mv_peer_frame_write(fd, frame, size, deadline_us) ||
        !mv_peer_frame_wait(fd, POLLIN, deadline_us))
        return NULL;
    size_t response_size;
    uint8_t *response = mv_peer_frame_read(fd, &response_size, deadline_us);
    return response ? g_bytes_new_take(response, response_size) : NULL;
}
