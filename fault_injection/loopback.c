/**
 * Implementation of the helpers for sockets and ports on loopback.
 */
#include "loopback.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#define FIRST_PORT 20000u
#define LAST_PORT 32000u
/* The first ports that two processes with successive ids try are this far apart, so that parallel
 * tests do not compete for the same ports. */
#define PORTS_PER_PROCESS 40u
#define LISTEN_BACKLOG 128

struct sockaddr_in mv_loopback_address(uint16_t port)
{
    return (struct sockaddr_in){
        .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}, .sin_port = htons(port)};
}

int mv_loopback_listen(uint16_t *port)
{
    struct sockaddr_in address = mv_loopback_address(0);
    socklen_t size = sizeof address;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0)
        return -1;
    if (bind(fd, (struct sockaddr *)&address, sizeof address) < 0 ||
        listen(fd, LISTEN_BACKLOG) < 0 || getsockname(fd, (struct sockaddr *)&address, &size) < 0) {
        close(fd);
        return -1;
    }
    *port = ntohs(address.sin_port);
    return fd;
}

int mv_loopback_connect(uint16_t port)
{
    const struct sockaddr_in address = mv_loopback_address(port);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0)
        return -1;
    if (connect(fd, (const struct sockaddr *)&address, sizeof address) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool is_free(uint16_t port)
{
    const struct sockaddr_in address = mv_loopback_address(port);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(fd, >=, 0);
    const bool bound = bind(fd, (const struct sockaddr *)&address, sizeof address) == 0;
    close(fd);
    return bound;
}

unsigned mv_loopback_free_port(void)
{
    static unsigned next;
    const unsigned range = LAST_PORT - FIRST_PORT;
    if (next == 0)
        next = (unsigned)getpid() * PORTS_PER_PROCESS % range;
    for (unsigned tried = 0; tried < range; tried++) {
        const unsigned port = FIRST_PORT + next++ % range;
        if (is_free((uint16_t)port))
            return port;
    }
    g_error("no port is free from %u to %u", FIRST_PORT, LAST_PORT);
}
