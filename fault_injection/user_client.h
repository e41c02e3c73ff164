/**
 * The HTTP client with which users send requests to controllers.
 */
#ifndef MV_USER_CLIENT_H
#define MV_USER_CLIENT_H
#include <glib.h>

/** Sends a request and waits up to `timeout_ms` for the response. `address` has the form
 * "127.0.0.1:8080"; `body` may be NULL, and the caller keeps `body`. Returns the HTTP status, or 0
 * if no response arrives. The function stores the job's state from the response in `status`, or an
 * empty string if the response has no state. Thread-safe; the caller must call mv_http_client_init
 * first. */
int mv_user_request(const char *address, const char *method, const char *path, GBytes *body,
                    unsigned timeout_ms, char *status, size_t size);
#endif
