/** Pool of threads that send HTTP requests on behalf of short-lived threads. */
#include "storage/request_pool.h"

#include "transport/threads.h"

#include <pthread.h>

/* A request in the queue. The request is on the stack of the calling thread, which blocks until a
 * thread of the pool has set `done`. */
typedef struct {
    const mv_http_request *request;
    mv_http_result *result;
    bool done;
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
        pthread_mutex_unlock(&pool->lock);
        mv_request_pool_call_directly(pool, pending->request, pending->result);
        pthread_mutex_lock(&pool->lock);
        pending->done = true;
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

void mv_request_pool_call_directly(const mv_request_pool *pool, const mv_http_request *request,
                                   mv_http_result *result)
{
    mv_http_call(request->method, pool->address, request->path, request->body, request->timeout_ms,
                 result);
}

void mv_request_pool_call(mv_request_pool *pool, const mv_http_request *request,
                          mv_http_result *result)
{
    if (pool->thread_count == 0) {
        mv_request_pool_call_directly(pool, request, result);
        return;
    }
    pending_request pending = {.request = request, .result = result};
    pthread_cond_init(&pending.completed, NULL);
    pthread_mutex_lock(&pool->lock);
    g_queue_push_tail(&pool->requests, &pending);
    pthread_cond_signal(&pool->request_available);
    while (!pending.done)
        pthread_cond_wait(&pending.completed, &pool->lock);
    pthread_mutex_unlock(&pool->lock);
    pthread_cond_destroy(&pending.completed);
}
