/**
 * Tests the pool of threads that send requests to the state service, with a service that answers
 * nothing.
 */
#include "storage/request_pool.h"

#include "loopback_server.h"

#include <pthread.h>

#define CALL_TIMEOUT_MS 30000
#define SHORT_TIMEOUT_MS 50

/* A service that answers no request before it is opened. */
typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool open; /* guarded by the lock, as is `requests` */
    unsigned requests;
} stalled_service;

static int answer_once_open(void *context, const mv_loopback_request *request, mv_writer *response)
{
    stalled_service *service = context;
    (void)request;
    (void)response;
    pthread_mutex_lock(&service->lock);
    service->requests++;
    pthread_cond_broadcast(&service->changed);
    while (!service->open)
        pthread_cond_wait(&service->changed, &service->lock);
    pthread_mutex_unlock(&service->lock);
    return 200;
}

static int get_status(mv_request_pool *pool, unsigned timeout_ms)
{
    const mv_pool_request request = {.method = "GET", .path = "/", .timeout_ms = timeout_ms};
    mv_http_result result;
    mv_request_pool_call(pool, &request, &result);
    const int status = result.status;
    mv_http_result_clear(&result);
    return status;
}

static gpointer get_status_in_thread(gpointer pool)
{
    return GINT_TO_POINTER(get_status(pool, CALL_TIMEOUT_MS));
}

static void wait_for_request(stalled_service *service)
{
    pthread_mutex_lock(&service->lock);
    while (service->requests == 0)
        pthread_cond_wait(&service->changed, &service->lock);
    pthread_mutex_unlock(&service->lock);
}

/* Opens the service and returns how many requests it has received. */
static unsigned open_service(stalled_service *service)
{
    pthread_mutex_lock(&service->lock);
    const unsigned requests = service->requests;
    service->open = true;
    pthread_cond_broadcast(&service->changed);
    pthread_mutex_unlock(&service->lock);
    return requests;
}

/* Guards against requests of users that wait one behind the other for a silent state service, long
 * after their users have given up. */
static void request_waits_for_thread_no_longer_than_its_timeout(void)
{
    stalled_service service = {.lock = PTHREAD_MUTEX_INITIALIZER,
                               .changed = PTHREAD_COND_INITIALIZER};
    mv_loopback_server *server = mv_loopback_server_start(answer_once_open, &service);
    g_autofree char *address = g_strdup_printf("127.0.0.1:%u", mv_loopback_server_port(server));
    mv_request_pool *pool = mv_request_pool_new(address, 1);
    GThread *first = g_thread_new("caller", get_status_in_thread, pool);
    wait_for_request(&service);

    g_assert_cmpint(get_status(pool, SHORT_TIMEOUT_MS), ==, 0);
    g_assert_cmpuint(open_service(&service), ==, 1);

    g_assert_cmpint(GPOINTER_TO_INT(g_thread_join(first)), ==, 200);
    g_assert_cmpint(get_status(pool, CALL_TIMEOUT_MS), ==, 200);
    mv_request_pool_free(pool);
    mv_loopback_server_stop(server);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    mv_http_client_init();
    g_test_add_func("/request-pool/silent-service",
                    request_waits_for_thread_no_longer_than_its_timeout);
    return g_test_run();
}
