/** Pool of threads that send HTTP requests on behalf of short-lived threads. */
#include "storage/request_pool.h"

#include "protocol/http_status.h"
#include "transport/threads.h"

#include <pthread.h>

#define MICROSECONDS_PER_MILLISECOND 1000

typedef enum { PENDING_QUEUED, PENDING_SENT, PENDING_COMPLETED } pending_state;

/* A request on the stack of the calling thread, which blocks until a thread of the pool has
 * completed the request, or until the request has been in the queue for too long. */
typedef struct {
    const mv_pool_request *request;
    mv_http_result *result;
    pending_state state;
    pthread_cond_t completed;
} pending_request;

struct mv_request_pool {
    char address[80];
    pthread_t *threads;
    unsigned thread_count;
    pthread_mutex_t lock; /* guards the fields below */
    pthread_cond_t request_available;
    GQueue requests; /* of pending_request, owned by the calling threads */
    bool stopping;
};

/* Waits for a request and removes the oldest request from the queue. Returns NULL when the pool is
 * stopping and the queue is empty. The caller holds the lock. */
static pending_request *next_request(mv_request_pool *pool)
{
    while (!pool->stopping && g_queue_is_empty(&pool->requests))
        pthread_cond_wait(&pool->request_available, &pool->lock);
    return g_queue_pop_head(&pool->requests);
}

static void *pool_thread(void *argument)
{
    mv_request_pool *pool = argument;
    pending_request *pending;
    pthread_mutex_lock(&pool->lock);
    while ((pending = next_request(pool))) {
        pending->state = PENDING_SENT;
        pthread_mutex_unlock(&pool->lock);
        mv_request_pool_call_directly(pool, pending->request, pending->result);
        pthread_mutex_lock(&pool->lock);
        pending->state = PENDING_COMPLETED;
        pthread_cond_signal(&pending->completed);
    }
    pthread_mutex_unlock(&pool->lock);
    return NULL;
}

mv_request_pool *mv_request_pool_new(const char *address, unsigned threads)
{
    mv_request_pool *pool = g_new0(mv_request_pool, 1);
    g_strlcpy(pool->address, address, sizeof pool->address);
    pthread_mutex_init(&pool->lock, NULL);
    pthread_cond_init(&pool->request_available, NULL);
    pool->threads = g_new0(pthread_t, threads);
    pool->thread_count = mv_threads_start(pool->threads, threads, pool_thread, pool);
    return pool;
}

void mv_request_pool_free(mv_request_pool *pool)
{
    if (!pool)
        return;
    pthread_mutex_lock(&pool->lock);
    pool->stopping = true;
    pthread_cond_broadcast(&pool->request_available);
    pthread_mutex_unlock(&pool->lock);
    for (unsigned i = 0; i < pool->thread_count; i++)
        pthread_join(pool->threads[i], NULL);
    pthread_cond_destroy(&pool->request_available);
    pthread_mutex_destroy(&pool->lock);
    g_free(pool->threads);
    g_free(pool);
}

void mv_request_pool_call_directly(const mv_request_pool *pool, const mv_pool_request *request,
                                   mv_http_result *result)
{
    mv_http_call(request->method, pool->address, request->path, request->body, request->timeout_ms,
                 result);
}

/* Waits until the request is completed. Removes the request from the queue, without a response, if
 * no thread of the pool has taken it by the deadline. The caller holds the lock. */
static void await_completion(mv_request_pool *pool, pending_request *pending, gint64 deadline_us)
{
    while (pending->state == PENDING_QUEUED)
        if (!mv_monotonic_cond_wait(&pending->completed, &pool->lock, deadline_us) &&
            g_queue_remove(&pool->requests, pending))
            return;
    while (pending->state == PENDING_SENT)
        pthread_cond_wait(&pending->completed, &pool->lock);
}

void mv_request_pool_call(mv_request_pool *pool, const mv_pool_request *request,
                          mv_http_result *result)
{
    if (pool->thread_count == 0) {
        mv_request_pool_call_directly(pool, request, result);
        return;
    }
    const gint64 deadline_us =
        g_get_monotonic_time() + (gint64)request->timeout_ms * MICROSECONDS_PER_MILLISECOND;
    pending_request pending = {.request = request, .result = result};
    mv_monotonic_cond_init(&pending.completed);
    pthread_mutex_lock(&pool->lock);
    g_queue_push_tail(&pool->requests, &pending);
    pthread_cond_signal(&pool->request_available);
    await_completion(pool, &pending, deadline_us);
    pthread_mutex_unlock(&pool->lock);
    pthread_cond_destroy(&pending.completed);
    if (pending.state != PENDING_COMPLETED)
        *result = (mv_http_result){.status = MV_HTTP_STATUS_NONE, .body = g_bytes_new(NULL, 0)};
}
