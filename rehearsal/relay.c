#include "relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 20          /* how soon a change of the link is noticed by a quiet connection */
#define CARRIED_BYTES 16384 /* at once */
#define BACKLOG 128
#define STACK_BYTES (128 * 1024)

struct mv_relay {
    pthread_mutex_t lock;
    pthread_cond_t ended;
    mv_link_trouble trouble;
    bool stopping;
    unsigned pumps; /* threads that carry */
    int listener;
    uint16_t target_port;
    pthread_t acceptor;
};

/* One connection: two threads carry, one in each direction. */
typedef struct {
    mv_relay *relay;
    int fds[2];   /* of the side that connected, of the target */
    gint threads; /* that still use it */
    gint lossy;   /* it lost something */
} carried;

typedef struct {
    carried *connection;
    int from; /* index in fds */
} pump;

static struct sockaddr_in loopback(uint16_t port)
{
    return (struct sockaddr_in){
        .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}, .sin_port = htons(port)};
}

static mv_link_trouble trouble_of(mv_relay *relay, bool *stopping)
{
    pthread_mutex_lock(&relay->lock);
    mv_link_trouble trouble = relay->trouble;
    *stopping = relay->stopping;
    pthread_mutex_unlock(&relay->lock);
    return trouble;
}

static bool send_all(int fd, const char *data, size_t size)
{
    for (size_t sent = 0; sent < size;) {
        ssize_t n = send(fd, data + sent, size - sent, MSG_NOSIGNAL);
        if (n <= 0 && errno != EINTR)
            return false;
        sent += n > 0 ? (size_t)n : 0;
    }
    return true;
}

/* Carries what has come in one direction, or loses it; false: the connection is over. */
static bool carry(const pump *p)
{
    carried *c = p->connection;
    bool stopping;
    struct pollfd ready = {.fd = c->fds[p->from], .events = POLLIN};
    int n = poll(&ready, 1, POLL_MS);
    mv_link_trouble trouble = trouble_of(c->relay, &stopping);
    bool lose = p->from == 0 ? trouble.lose_requests : trouble.lose_answers;
    bool healed = !trouble.lose_requests && !trouble.lose_answers;
    if (stopping || n < 0 || (healed && g_atomic_int_get(&c->lossy)))
        return false;
    if (n == 0)
        return true;
    char data[CARRIED_BYTES];
    ssize_t got = recv(ready.fd, data, sizeof data, 0);
    if (got <= 0)
        return false;
    if (trouble.delay_ms)
        g_usleep(trouble.delay_ms * 1000ul);
    if (!lose)
        return send_all(c->fds[1 - p->from], data, (size_t)got);
    g_atomic_int_set(&c->lossy, 1);
    return true;
}

static void *pump_thread(void *arg)
{
    pump *p = arg;
    carried *c = p->connection;
    mv_relay *relay = c->relay;
    while (carry(p))
        ;
    shutdown(c->fds[0], SHUT_RDWR);
    shutdown(c->fds[1], SHUT_RDWR);
    if (g_atomic_int_dec_and_test(&c->threads)) {
        close(c->fds[0]);
        close(c->fds[1]);
        g_free(c);
    }
    g_free(p);
    pthread_mutex_lock(&relay->lock);
    relay->pumps--;
    pthread_cond_broadcast(&relay->ended);
    pthread_mutex_unlock(&relay->lock);
    return NULL;
}

static void start_pump(carried *c, int from)
{
    pthread_t thread;
    pthread_attr_t attr;
    pump *p = g_new(pump, 1);
    *p = (pump){c, from};
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, STACK_BYTES);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    pthread_mutex_lock(&c->relay->lock);
    c->relay->pumps++;
    pthread_mutex_unlock(&c->relay->lock);
    int failed = pthread_create(&thread, &attr, pump_thread, p);
    pthread_attr_destroy(&attr);
    g_assert(failed == 0);
}

static void reset(int fd)
{
    struct linger at_once = {.l_onoff = 1};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(fd);
}

static void accepted(mv_relay *relay, int fd, bool refuse)
{
    struct sockaddr_in target = loopback(relay->target_port);
    int out = refuse ? -1 : socket(AF_INET, SOCK_STREAM, 0);
    if (out < 0 || connect(out, (struct sockaddr *)&target, sizeof target) < 0) {
        if (out >= 0)
            close(out);
        reset(fd);
        return;
    }
    carried *c = g_new0(carried, 1);
    c->relay = relay;
    c->fds[0] = fd;
    c->fds[1] = out;
    c->threads = 2;
    start_pump(c, 0);
    start_pump(c, 1);
}

static void *acceptor_thread(void *arg)
{
    mv_relay *relay = arg;
    for (;;) {
        bool stopping;
        struct pollfd ready = {.fd = relay->listener, .events = POLLIN};
        int n = poll(&ready, 1, POLL_MS);
        mv_link_trouble trouble = trouble_of(relay, &stopping);
        if (stopping)
            return NULL;
        int fd = n > 0 ? accept(relay->listener, NULL, NULL) : -1;
        if (fd >= 0)
            accepted(relay, fd, trouble.refuse);
    }
}

mv_relay *mv_relay_start(uint16_t target_port, uint16_t *port)
{
    struct sockaddr_in at = loopback(0);
    socklen_t size = sizeof at;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof at) < 0 || listen(fd, BACKLOG) < 0 ||
        getsockname(fd, (struct sockaddr *)&at, &size) < 0) {
        if (fd >= 0)
            close(fd);
        return NULL;
    }
    mv_relay *relay = g_new0(mv_relay, 1);
    pthread_mutex_init(&relay->lock, NULL);
    pthread_cond_init(&relay->ended, NULL);
    relay->listener = fd;
    relay->target_port = target_port;
    *port = ntohs(at.sin_port);
    int failed = pthread_create(&relay->acceptor, NULL, acceptor_thread, relay);
    g_assert(failed == 0);
    return relay;
}

void mv_relay_set(mv_relay *relay, const mv_link_trouble *trouble)
{
    pthread_mutex_lock(&relay->lock);
    relay->trouble = *trouble;
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
    while (relay->pumps)
        pthread_cond_wait(&relay->ended, &relay->lock);
    pthread_mutex_unlock(&relay->lock);
    close(relay->listener);
    pthread_mutex_destroy(&relay->lock);
    pthread_cond_destroy(&relay->ended);
    g_free(relay);
}
