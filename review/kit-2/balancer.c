/* The load balancer of the protocol page, which works at the connection level. */
#include "internal.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct {
    bool healthy, ever;
    unsigned failed, ok, history; /* in a row; the last six probes as bits */
    double removed_at, pause_s, skip_until;
    int refused, open;
} nodes[NODES_MAX];

static void probed(unsigned i, bool ok)
{
    nodes[i].failed = ok ? 0 : nodes[i].failed + 1;
    nodes[i].ok = ok ? nodes[i].ok + 1 : 0;
    nodes[i].history = (nodes[i].history << 1 | !ok) & 63;
    if (nodes[i].healthy && (nodes[i].failed >= 2 || __builtin_popcount(nodes[i].history) >= 3)) {
        double pause = nodes[i].removed_at && now_s() < nodes[i].removed_at + 120 ? 2 * nodes[i].pause_s : 3;
        nodes[i].pause_s = pause > 60 ? 60 : pause;
        nodes[i].removed_at = now_s();
        nodes[i].healthy = false;
        rec("balancer: valvehost-%u is unhealthy", i);
    } else if (!nodes[i].healthy && ((!nodes[i].ever && nodes[i].ok >= 1) ||
                                     (nodes[i].ok >= 2 && now_s() >= nodes[i].removed_at + nodes[i].pause_s))) {
        nodes[i].healthy = nodes[i].ever = true;
        nodes[i].history = 0;
        rec("balancer: valvehost-%u is healthy", i);
    }
}

static void *probe_thread(void *context)
{
    unsigned i = (unsigned)(uintptr_t)context;
    for (;;) {
        double began = now_s();
        bool ok = http_call(ctl_port(i), "GET", "/healthz", NULL, 1.0, NULL) == 200;
        pthread_mutex_lock(&lock);
        probed(i, ok);
        pthread_mutex_unlock(&lock);
        sleep_s(began + 1 - now_s());
    }
    return NULL;
}

void lb_start(void)
{
    for (unsigned i = 0; i < world_site()->nodes; i++) {
        pthread_t thread;
        pthread_create(&thread, NULL, probe_thread, (void *)(uintptr_t)i);
        pthread_detach(thread);
    }
}

bool lb_healthy(unsigned node)
{
    pthread_mutex_lock(&lock);
    bool healthy = nodes[node].healthy;
    pthread_mutex_unlock(&lock);
    return healthy;
}

int lb_pick(void)
{
    int best = -1;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < (int)world_site()->nodes; i++)
        if (nodes[i].healthy && now_s() >= nodes[i].skip_until && (best < 0 || nodes[i].open < nodes[best].open))
            best = i;
    if (best >= 0)
        nodes[best].open++;
    pthread_mutex_unlock(&lock);
    return best;
}

void lb_closed(int node)
{
    pthread_mutex_lock(&lock);
    if (node >= 0)
        nodes[node].open--;
    pthread_mutex_unlock(&lock);
}

static void refused(int node)
{
    pthread_mutex_lock(&lock);
    if (++nodes[node].refused >= 3) {
        nodes[node].refused = 0;
        nodes[node].skip_until = now_s() + 3;
    }
    pthread_mutex_unlock(&lock);
}

static bool connect_user(lb_user *u)
{
    for (int i = 0; i < 3; i++) {
        u->node = lb_pick();
        if (u->node < 0)
            return false;
        if (http_open(&u->conn, ctl_port((unsigned)u->node), 0.5)) {
            pthread_mutex_lock(&lock);
            nodes[u->node].refused = 0;
            pthread_mutex_unlock(&lock);
            return true;
        }
        refused(u->node);
        lb_closed(u->node);
        u->node = -1;
    }
    return false;
}

int lb_request(lb_user *u, const char *method, const char *path, const buf *body, double timeout_s, buf *answer)
{
    /* The other side may have closed an idle connection; a user then sends the request on a new one. */
    for (int i = 0; i < 2; i++) {
        bool fresh = u->node < 0;
        double began = now_s();
        if (fresh && !connect_user(u))
            return 0;
        int status = http_on(&u->conn, method, path, body, timeout_s, answer);
        if (u->conn.fd < 0) {
            lb_closed(u->node);
            u->node = -1;
        }
        if (status || fresh || now_s() > began + 0.2)
            return status;
    }
    return 0;
}
