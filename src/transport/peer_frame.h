/**
 * Frames on a connection between controllers. A frame is sent as four bytes in network byte order,
 * which give the frame's length, followed by the frame's bytes.
 *
 * Reading and writing block until a deadline: a monotonic time in microseconds
 * (g_get_monotonic_time), or MV_PEER_NO_DEADLINE. A deadline takes effect on a non-blocking socket
 * only.
 */
#ifndef MV_PEER_FRAME_H
#define MV_PEER_FRAME_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** In place of a deadline: there is none. */
#define MV_PEER_NO_DEADLINE G_MAXINT64

/**
 * Waits until poll reports the events on the socket. Returns false if it reports nothing by the
 * deadline.
 */
bool mv_peer_frame_wait(int fd, short events, gint64 deadline_us);

/**
 * Writes one frame. Returns false if the connection fails or the deadline passes; the caller must
 * then close the connection.
 */
bool mv_peer_frame_write(int fd, const uint8_t *frame, size_t size, gint64 deadline_us);

/**
 * Reads one frame of up to MV_FRAME_BYTES_MAX bytes, which the caller frees with g_free. Returns
 * NULL if the connection has ended or failed, if the deadline passes or if the frame is larger; the
 * caller must then close the connection.
 */
uint8_t *mv_peer_frame_read(int fd, size_t *size, gint64 deadline_us);
#endif
