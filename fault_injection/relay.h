/**
 * A relay simulates the link between two processes. The relay listens on a port on loopback and
 * forwards each connection to another port on loopback. The relay can drop the data of either
 * direction, delay the data, or refuse connections.
 *
 * The functions are thread-safe, except that the caller must call mv_relay_stop last. One thread
 * accepts connections from mv_relay_start to mv_relay_stop. Two threads forward the data of each
 * connection, one for each direction, and mv_relay_stop waits for all of these threads.
 */
#ifndef MV_RELAY_H
#define MV_RELAY_H
#include <stdbool.h>
#include <stdint.h>

typedef struct mv_relay mv_relay;

/** The fault of a link. The link works if all fields are zero. The client is the process that opens
 * the connection. */
typedef struct {
    bool drop_requests;  /**< the relay drops the data that the client sends */
    bool drop_responses; /**< the relay drops the data that is sent to the client */
    bool refuse;         /**< the relay resets each new connection at once */
    unsigned delay_ms;   /**< delay of the data in each direction */
} mv_link_fault;

/** Starts a relay that forwards to `target_port`, and stores the relay's own port in `port`. No
 * process needs to listen on the target port yet. Returns NULL if the relay cannot listen on a
 * port. The caller ends the relay with mv_relay_stop. */
mv_relay *mv_relay_start(uint16_t target_port, uint16_t *port);

/** Sets the fault of the link, which replaces the previous fault; the function copies `fault`. If
 * the relay dropped data of a connection, the relay closes that connection when the link no longer
 * drops data, because the receiver could not interpret data that follows a gap. */
void mv_relay_set(mv_relay *relay, const mv_link_fault *fault);

/** Closes all connections, waits for the threads and frees the relay; NULL is allowed. */
void mv_relay_stop(mv_relay *relay);
#endif
