/**
 * Latency histograms and response counters, printed for GET /metrics.
 *
 * All functions except mv_metrics_init may be called from any thread. Latencies that are recorded
 * before mv_metrics_init are dropped.
 */
#ifndef MV_METRICS_H
#define MV_METRICS_H
#include <glib.h>

/** The kind of request: first the requests to this controller, then the requests that this
 * controller sends. */
typedef enum {
    MV_LATENCY_SUBMIT,
    MV_LATENCY_POLL,
    MV_LATENCY_CANCEL,
    MV_LATENCY_HEARTBEAT,
    MV_LATENCY_TRANSACTION,
    MV_LATENCY_COMMAND,
    MV_LATENCY_CLOUD,
    MV_LATENCY_ACKNOWLEDGEMENT, /**< wait of a cancellation for the owner of the job */
    MV_LATENCY_QUEUE,           /**< wait of a user's request for a request thread */
    MV_LATENCY_FORWARD,         /**< forwarding of a user's request to peers, until one serves it */
    MV_LATENCY_PEER_WAIT,       /**< wait of a message to a peer for a connection */
    MV_LATENCIES                /* number of kinds */
} mv_latency;

/** Creates the histograms. Called before other threads start. */
void mv_metrics_init(void);

/** Adds the latency of one request to the histogram of its kind. */
void mv_metrics_record_latency(mv_latency which, double seconds);

/** Counts one response by the class of its HTTP status. Status 0 means that no response arrived. */
void mv_metrics_record_status(mv_latency which, int status);

/**
 * Returns all histograms and counters in the Prometheus text format. The caller may append further
 * metrics and frees the result.
 */
GString *mv_metrics_print(void);
#endif
