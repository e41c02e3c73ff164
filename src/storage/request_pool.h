/**
 * Pool of threads that send HTTP requests on behalf of short-lived threads.
 *
 * Each connection of a user is served by a thread of its own, which ends with the connection. If
 * every one of these threads set up an HTTP client and a connection to the state service, the setup
 * would cost more than all other work of a poll. The threads of the pool live as long as the pool,
 * and each keeps its HTTP client and its connection open.
 *
 * Threads: mv_request_pool_call and mv_request_pool_call_directly may be called from any thread.
 * The pool has a lock of its own.
 */
#ifndef MV_REQUEST_POOL_H
#define MV_REQUEST_POOL_H
#include "transport/http_client.h"

/** A request pool; opaque. */
typedef struct mv_request_pool mv_request_pool;

/** One HTTP request. The caller owns all its fields, which must stay valid during the call. */
typedef struct {
    const char *method, *path;
    GBytes *body; /* may be NULL */
    unsigned timeout_ms;
} mv_pool_request;

/**
 * Returns a pool that sends requests to `address` ("10.0.0.1:8080", copied) from up to `threads`
 * threads. If the system refuses to start a thread, the pool works with the threads started before.
 * The caller frees the pool with mv_request_pool_free.
 */
mv_request_pool *mv_request_pool_new(const char *address, unsigned threads);

/**
 * Ends the threads after they have sent the requests in the queue, and frees the pool. NULL is
 * allowed. No other thread may be inside a function of the pool.
 */
void mv_request_pool_free(mv_request_pool *pool);

/**
 * Sends the request from a thread of the pool and waits for the response. If the pool has no
 * thread, the calling thread sends the request. If all threads are busy for `timeout_ms`, the
 * request is not sent and gets no response: while the state service is silent, each request holds a
 * thread for `timeout_ms`, and the callers behind it would wait many times as long. The caller
 * clears `result` with
 * mv_http_result_clear.
 */
void mv_request_pool_call(mv_request_pool *pool, const mv_pool_request *request,
                          mv_http_result *result);

/**
 * Sends the request from the calling thread, over that thread's own connection, and waits for the
 * response. The caller clears `result` with mv_http_result_clear.
 */
void mv_request_pool_call_directly(const mv_request_pool *pool, const mv_pool_request *request,
                                   mv_http_result *result);
#endif
