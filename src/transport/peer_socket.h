/**
 * The socket of one connection to another controller: connecting, and exchanging one request frame
 * for one response frame.
 *
 * Deadlines are monotonic times in microseconds (g_get_monotonic_time). A deadline that has passed
 * lets a function fail at once.
 */
#ifndef MV_PEER_SOCKET_H
#define MV_PEER_SOCKET_H
#include "config/endpoint.h"

#include <glib.h>
#include <netinet/in.h>

/** In place of a socket: there is none. */
#define MV_PEER_SOCKET_NONE (-1)

/** Converts an endpoint to a socket address. Returns false if the host is not a numeric address. */
bool mv_peer_socket_address(const mv_endpoint *endpoint, struct sockaddr_in *out);

/**
 * Sets TCP_NODELAY, so that the system sends each small frame immediately: the other end of the
 * connection waits for every frame.
 */
void mv_peer_socket_no_delay(int fd);

/**
 * Returns a non-blocking socket that is connected to the address, which the caller closes, or
 * MV_PEER_SOCKET_NONE if the connection is not established by the deadline.
 */
int mv_peer_socket_connect(const struct sockaddr_in *address, gint64 deadline_us);

/**
 * Sends a request frame and returns the response frame, which the caller unrefs. Returns NULL if no
 * response arrives by the deadline or the connection fails; the caller must then close the socket.
 */
GBytes *mv_peer_socket_exchange(int fd, const uint8_t *frame, size_t size, gint64 deadline_us);
#endif
