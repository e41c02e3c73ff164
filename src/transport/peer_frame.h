/**
 * Frames on a connection between controllers. A frame is sent as four bytes in network byte order,
 * which give the frame's length, followed by the frame's bytes.
 *
 * Reading and writing block. The timeouts of the socket apply.
 */
#ifndef MV_PEER_FRAME_H
#define MV_PEER_FRAME_H
#include "config/endpoint.h"

#include <glib.h>
#include <netinet/in.h>

/** Writes one frame. Returns false on failure; the caller must then close the connection. */
bool mv_peer_frame_write(int fd, const uint8_t *frame, size_t size);

/**
 * Reads one frame of up to MV_FRAME_BYTES_MAX bytes, which the caller frees with g_free. Returns
 * NULL if the connection has ended or failed, or if the frame is larger; the caller must then close
 * the connection.
 */
uint8_t *mv_peer_frame_read(int fd, size_t *size);

/**
 * Sets TCP_NODELAY, so that the system sends each small frame immediately: the other end of the
 * connection waits for every frame.
 */
void mv_peer_socket_no_delay(int fd);

/** Converts an endpoint to a socket address. Returns false if the host is not a numeric address. */
bool mv_peer_socket_address(const mv_endpoint *endpoint, struct sockaddr_in *out);
#endif
