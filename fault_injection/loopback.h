/**
 * Helpers for sockets and ports on loopback, used by the servers of fault injection runs and tests.
 */
#ifndef MV_LOOPBACK_H
#define MV_LOOPBACK_H
#include <netinet/in.h>
#include <stdint.h>

/** Returns a port that is free at the time of the call, and aborts if no port is free. The port
 * lies below the range from which the system chooses ports for outgoing connections. Otherwise, an
 * outgoing connection could take the port before the server binds it, or before a restarted server
 * binds it again. Not thread-safe. */
unsigned mv_loopback_free_port(void);

/** Returns the IPv4 loopback address with the given port. */
struct sockaddr_in mv_loopback_address(uint16_t port);

/** Returns a socket that listens on a port chosen by the system, and stores the port in `port`. The
 * caller closes the socket. Returns -1 on failure. */
int mv_loopback_listen(uint16_t *port);

/** Returns a socket that is connected to the given port. The caller closes the socket. Returns -1
 * on failure. */
int mv_loopback_connect(uint16_t port);
#endif
