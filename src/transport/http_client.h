/**
 * Blocking HTTP requests. Each thread has its own client, which keeps its connections open.
 *
 * A thread's client is created on the thread's first call and freed when the thread ends.
 */
#ifndef MV_HTTP_CLIENT_H
#define MV_HTTP_CLIENT_H
#include <glib.h>
#include <stdbool.h>

/** The outcome of a request. */
typedef struct {
    int status;   /* HTTP status (see mv_http_status); 0: no response */
    GBytes *body; /* owned; not NULL after a call, empty if there was no response */
} mv_http_result;

/** Initializes libcurl. Called one time, before any other thread uses a client. */
void mv_http_client_init(void);

/**
 * Sets how many connections the calling thread's client keeps open. The number is clamped to
 * MV_CLIENT_CONNECTIONS_MIN and MV_CLIENT_CONNECTIONS_MAX. A thread that does not call this
 * function before its first request keeps the minimum.
 */
void mv_http_client_set_connections(double connections);

/**
 * Sends a request to the server at `to` ("10.0.0.1:8080") and waits up to `timeout_ms` for the
 * response. `body` is borrowed and may be NULL; GET ignores it. Returns whether a response arrived,
 * of any status. The caller clears `out` with mv_http_result_clear in both cases.
 */
bool mv_http_call(const char *method, const char *to, const char *path, GBytes *body,
                  unsigned timeout_ms, mv_http_result *out);

/** Frees the body and resets the result. Does not free the result itself. */
void mv_http_result_clear(mv_http_result *result);
#endif
