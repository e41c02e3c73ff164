/**
 * The relay. One thread accepts connections, and two threads forward the data of each connection,
 * one thread for each direction.
 */
#include "relay.h"

#include "loopback.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 20 /* longest time until an idle connection notices a new fault or a stop */
#define FORWARD_BYTES 16384 /* most data that a thread forwards in one step */
#define STACK_BYTES (128 * 1024)
#define DIRECTIONS 2

enum { CLIENT_SIDE = 0, TARGET_SIDE = 1 }; /* indices of relayed_connection.fds */

struct mv_relay {
    pthread_mutex_t lock; /* guards `fault`, `stopping` and `forwarders` */
    pthread_cond_t forwarder_ended;
    mv_link_fault fault;
    bool stopping;
    unsigned forwarders; /* number of running forwarding threads */
    int listener;
    uint16_t target_port;
    pthread_t acceptor;
};

/* A connection through the relay. The two forwarding threads share it, and the thread that ends
 * last frees it. */
typedef struct {
    mv_relay *relay;
    int fds[DIRECTIONS];
    gint threads;          /* number of threads that still use the connection; atomic */
    gint dropped_anything; /* 1 if the relay dropped data of the connection; atomic */
} relayed_connection;

typedef struct {
    relayed_connection *connection;
    int source; /* the side from which the thread reads: CLIENT_SIDE or TARGET_SIDE */
} forwarder;

static mv_link_fault current_fault(mv_relay *relay, bool *stopping)
{
    pthread_mutex_lock(&relay->lock);
    const mv_link_fault fault = relay->fault;
    *stopping = relay->stopping;
    pthread_mutex_unlock(&relay->lock);
    return fault;
}

static bool send_all(int fd, const char *data, size_t size)
{
    for (size_t total = 0; total < size;) {
        const ssize_t sent = send(fd, data + total, size - total, MSG_NOSIGNAL);
        if (sent <= 0 && errno != EINTR)
            return false;
        total += sent > 0 ? (size_t)sent : 0;
    }
    return true;
}

/* Forwards the data that has arrived, or drops it if the fault requires that. Returns false if the
 * connection has ended. */
static bool forward_data(const forwarder *forwarder, const mv_link_fault *fault)
{
    relayed_connection *connection = forwarder->connection;
    const bool drop =
        forwarder->source == CLIENT_SIDE ? fault->drop_requests : fault->drop_responses;
    char data[FORWARD_BYTES];
    const ssize_t received = recv(connection->fds[forwarder->source], data, sizeof data, 0);
    if (received <= 0)
        return false;
    if (fault->delay_ms)
        g_usleep(fault->delay_ms * 1000ul);
    if (!drop)
        return send_all(connection->fds[1 - forwarder->source], data, (size_t)received);
    g_atomic_int_set(&connection->dropped_anything, 1);
    return true;
}

/* Performs one step of a forwarding thread: waits up to POLL_MS for data and forwards the data.
 * Returns false if the connection has to end: the relay stops, a socket fails, or the link works
 * again after the relay dropped data of this connection. */
static bool forward_once(const forwarder *forwarder)
{
    relayed_connection *connection = forwarder->connection;
    struct pollfd readable = {.fd = connection->fds[forwarder->source], .events = POLLIN};
    const int ready = poll(&readable, 1, POLL_MS);
    bool stopping;
    const mv_link_fault fault = current_fault(connection->relay, &stopping);
    const bool healed = !fault.drop_requests && !fault.drop_responses;
    const bool incomplete = healed && g_atomic_int_get(&connection->dropped_anything);
    if (stopping || ready < 0 || incomplete)
        return false;
    return ready == 0 || forward_data(forwarder, &fault);
}

static void release_connection(relayed_connection *connection)
{
    shutdown(connection->fds[CLIENT_SIDE], SHUT_RDWR);
    shutdown(connection->fds[TARGET_SIDE], SHUT_RDWR);
    if (!g_atomic_int_dec_and_test(&connection->threads))
        return;
    close(connection->fds[CLIENT_SIDE]);
    close(connection->fds[TARGET_SIDE]);
    g_free(connection);
}

static void *forwarder_thread(void *arg)
{
    forwarder *forwarder = arg;
    mv_relay *relay = forwarder->connection->relay;
    while (forward_once(forwarder))
        ;
    release_connection(forwarder->connection);
    g_free(forwarder);
    pthread_mutex_lock(&relay->lock);
    relay->forwarders--;
    pthread_cond_broadcast(&relay->forwarder_ended);
    pthread_mutex_unlock(&relay->lock);
    return NULL;
}

/* Starts a forwarding thread that reads from `source`. The thread is detached; mv_relay_stop waits
 * until relay->forwarders is 0 instead of joining the threads. */
static void start_forwarder(relayed_connection *connection, int source)
{
    mv_relay *relay = connection->relay;
    forwarder *started = g_new0(forwarder, 1);
    started->connection = connection;
    started->source = source;
    pthread_mutex_lock(&relay->lock);
    relay->forwarders++;
    pthread_mutex_unlock(&relay->lock);
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    const int error = pthread_create(&thread, &attributes, forwarder_thread, started);
    pthread_attr_destroy(&attributes);
    g_assert(error == 0);
}

static void reset_connection(int fd)
{
    const struct linger no_linger = {.l_onoff = 1};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    close(fd);
}

static void relay_connection(mv_relay *relay, int client, bool refuse)
{
    const int target = refuse ? -1 : mv_loopback_connect(relay->target_port);
    if (target < 0) {
        reset_connection(client);
        return;
    }
    relayed_connection *connection = g_new0(relayed_connection, 1);
    connection->relay = relay;
    connection->fds[CLIENT_SIDE] = client;
    connection->fds[TARGET_SIDE] = target;
    connection->threads = DIRECTIONS;
    start_forwarder(connection, CLIENT_SIDE);
    start_forwarder(connection, TARGET_SIDE);
}

static void *acceptor_thread(void *arg)
{
    mv_relay *relay = arg;
    for (;;) {
        struct pollfd acceptable = {.fd = relay->listener, .events = POLLIN};
        const int ready = poll(&acceptable, 1, POLL_MS);
        bool stopping;
        const mv_link_fault fault = current_fault(relay, &stopping);
        if (stopping)
            return NULL;
        const int client = ready > 0 ? accept(relay->listener, NULL, NULL) : -1;
        if (client >= 0)
            relay_connection(relay, client, fault.refuse);
    }
}

mv_relay *mv_relay_start(uint16_t target_port, uint16_t *port)
{
    const int listener = mv_loopback_listen(port);
    if (listener < 0)
        return NULL;
    mv_relay *relay = g_new0(mv_relay, 1);
    pthread_mutex_init(&relay->lock, NULL);
    pthread_cond_init(&relay->forwarder_ended, NULL);
    relay->listener = listener;
    relay->target_port = target_port;
    const int error = pthread_create(&relay->acceptor, NULL, acceptor_thread, relay);
    g_assert(error == 0);
    return relay;
}

void mv_relay_set(mv_relay *relay, const mv_link_fault *fault)
{
    pthread_mutex_lock(&relay->lock);
    relay->fault = *fault;
    pthread_mutex_unlock(&relay->lock);
}

void mv_relay_stop(mv_relay *relay)
{
    if (!relay)
        return;
    pthread_mutex_lock(&relay->lock);
    relay->stopping = true;
    pthread_mutex_unlock(&relay->lock);
    pthread_join(relay->acceptor, NULL);
    pthread_mutex_lock(&relay->lock);
    while (relay->forwarders)
        pthread_cond_wait(&relay->forwarder_ended, &relay->lock);
    pthread_mutex_unlock(&relay->lock);
    close(relay->listener);
    pthread_mutex_destroy(&relay->lock);
    pthread_cond_destroy(&relay->forwarder_ended);
    g_free(relay);
}
