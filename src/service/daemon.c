/* A running controller: its threads, its clocks, its start and its end. */
#include "service/daemon_internal.h"

#include "bookkeeping/log.h"
#include "transport/http_client.h"

#include <time.h>

/* --- time and lock --- */

double mv_steady(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static double time_of_day(void)
{
    return (double)g_get_real_time() / 1e6;
}

mv_state *mv_daemon_state(mv_daemon *d)
{
    return d->state;
}

bool mv_daemon_stopping(mv_daemon *d)
{
    pthread_mutex_lock(&d->lock);
    bool stop = d->stopping;
    pthread_mutex_unlock(&d->lock);
    return stop;
}

struct timespec mv_steady_in(double seconds)
{
    double at = mv_steady() + seconds;
    struct timespec until = {.tv_sec = (time_t)at};
    until.tv_nsec = (long)((at - (double)until.tv_sec) * 1e9);
    return until;
}

/* Sleeps, but not beyond the end; false at the end. */
bool mv_daemon_rest(mv_daemon *d, double seconds)
{
    struct timespec until = mv_steady_in(seconds);
    pthread_mutex_lock(&d->lock);
    while (!d->stopping && pthread_cond_timedwait(&d->stop_cond, &d->lock, &until) == 0)
        ;
    bool go_on = !d->stopping;
    pthread_mutex_unlock(&d->lock);
    return go_on;
}

/* --- time --- */

static void *tick_routine(void *arg)
{
    mv_daemon *d = arg;
    double began = mv_steady();
    bool serving = false;
    do {
        double now;
        mv_core *core = mv_daemon_enter(d, &now);
        mv_core_tick(core, now, time_of_day());
        bool ready = mv_core_settled(core) || now > began + MV_LISTEN_PATIENCE_S;
        mv_daemon_leave(d);
        /* Before every machine has a holder, workers can only be sent away: after all controllers
         * had ended at once, a thousand of them going round in vain kept any from taking over. */
        if (ready && !serving) {
            serving = true;
            if (!mv_http_serve(d->http))
                mv_error("listen", "cannot serve at port %u", d->conf->listen.port);
        }
    } while (mv_daemon_rest(d, MV_TICK_S));
    return NULL;
}

/* --- life --- */

bool mv_daemon_start_thread(mv_daemon *d, routine run)
{
    pthread_attr_t attr;
    pthread_t *t = g_new(pthread_t, 1);
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, MV_STACK_BYTES);
    int err = pthread_create(t, &attr, run, d);
    pthread_attr_destroy(&attr);
    if (err) {
        g_free(t);
        return false;
    }
    g_ptr_array_add(d->threads, t);
    return true;
}

mv_http_load mv_daemon_http_load(mv_daemon *d)
{
    return mv_http_load_of(d->http);
}

static void on_http(void *ctx, const char *method, const char *path, const uint8_t *body,
                    size_t size, mv_http_reply *out)
{
    mv_reply reply = {0};
    mv_route(ctx, method, path, body, size, &reply);
    out->status = reply.status;
    out->body = reply.body;
    out->retry_after = reply.retry_after;
    out->text = reply.text;
}

static void on_busy(const char *method, const char *path, mv_http_reply *out)
{
    mv_reply reply = {0};
    mv_route_busy(method, path, &reply);
    out->status = reply.status;
    out->body = reply.body;
    out->retry_after = reply.retry_after;
}

static void action_free(gpointer p)
{
    mv_action_free(p);
}

static bool start_threads(mv_daemon *d)
{
    bool ok = mv_daemon_start_thread(d, mv_daemon_session_routine) &&
              mv_daemon_start_thread(d, mv_daemon_follow_routine) &&
              mv_daemon_start_thread(d, tick_routine) &&
              mv_daemon_start_thread(d, mv_daemon_demand_routine) &&
              mv_daemon_start_thread(d, mv_daemon_health_routine) &&
              mv_daemon_start_thread(d, mv_daemon_deferrable_txn_routine);
    for (size_t i = 0; i < d->conf->n_peers && mv_core_tells_views(d->core); i++)
        ok = ok && mv_daemon_start_thread(d, mv_daemon_view_routine);
    for (int i = 0; i < MV_TXN_THREADS; i++)
        ok = ok && mv_daemon_start_thread(d, mv_daemon_txn_routine);
    for (int i = 0; i < MV_COMMAND_THREADS; i++)
        ok = ok && mv_daemon_start_thread(d, mv_daemon_command_routine);
    for (int i = 0; i < MV_CLOUD_THREADS; i++)
        ok = ok && mv_daemon_start_thread(d, mv_daemon_cloud_routine);
    pthread_mutex_lock(&d->lock);
    d->n_lanes = MV_COMMAND_THREADS;
    d->running = true;
    pthread_mutex_unlock(&d->lock);
    return ok;
}

/* What others may open: sockets are left for our own calls, and memory for all else. */
static mv_http_limits http_limits(const mv_settings *conf)
{
    double by_sockets = conf->max_connections * MV_HTTP_SHARE;
    double by_memory = conf->ram_mb * 1024 * MV_HTTP_RAM_SHARE / MV_HTTP_CONNECTION_KB;
    return (mv_http_limits){
        .connections = (unsigned)MIN(by_sockets, by_memory),
        .idle_s = (unsigned)MAX(MV_CONNECTION_REPORTS * conf->report_s, MV_CONNECTION_LEAST_S)};
}

mv_daemon *mv_daemon_start(const mv_settings *conf, char *error, size_t error_size)
{
    mv_daemon *d = g_new0(mv_daemon, 1);
    pthread_condattr_t steady_clock;
    d->conf = conf;
    d->core = mv_core_new(conf);
    d->state = mv_state_new(conf);
    pthread_mutex_init(&d->lock, NULL);
    pthread_condattr_init(&steady_clock);
    pthread_condattr_setclock(&steady_clock, CLOCK_MONOTONIC);
    pthread_cond_init(&d->stop_cond, &steady_clock);
    pthread_cond_init(&d->followed, &steady_clock);
    pthread_condattr_destroy(&steady_clock);
    d->threads = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < MV_QUEUES; i++)
        pthread_cond_init(&mv_daemon_queue_at(d, i)->filled, NULL);
    d->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_snprintf(d->cloud_at, sizeof d->cloud_at, "%s:%u", conf->cloud.host, conf->cloud.port);
    d->peers = g_new0(mv_peer *, conf->n_peers + 1);
    d->views = g_new0(mv_peer *, conf->n_peers + 1);
    for (size_t i = 0; i < conf->n_peers; i++) {
        d->peers[i] = mv_peer_new(&conf->peers[i].back);
        d->views[i] = mv_peer_new(&conf->peers[i].back);
    }
    mv_core_tick(d->core, mv_steady(), time_of_day()); /* records speak of the time of day */
    mv_http_client_init();
    d->back = mv_peer_listen(&conf->back, mv_daemon_on_peer, d);
    mv_http_handler handler = {.answer = on_http,
                               .at_once = mv_route_at_once,
                               .may_wait = mv_route_may_wait,
                               .busy = on_busy,
                               .ctx = d};
    mv_http_limits limits = http_limits(conf);
    d->http = d->back ? mv_http_bind(&conf->listen, &limits, &handler) : NULL;
    if (d->http && start_threads(d))
        return d;
    const mv_endpoint *bad = d->back ? &conf->listen : &conf->back;
    g_snprintf(error, error_size, "%s: cannot serve at %s:%u", d->back ? "listen" : "back",
               bad->host, bad->port);
    mv_daemon_stop(d);
    return NULL;
}

void mv_daemon_stop(mv_daemon *d)
{
    pthread_mutex_lock(&d->lock);
    d->stopping = true;
    pthread_cond_broadcast(&d->stop_cond);
    pthread_cond_broadcast(&d->followed);
    for (size_t i = 0; i < MV_QUEUES; i++)
        pthread_cond_broadcast(&mv_daemon_queue_at(d, i)->filled);
    pthread_mutex_unlock(&d->lock);
    if (d->http)
        mv_http_close(d->http);
    mv_peer_close(d->back);
    for (guint i = 0; i < d->threads->len; i++)
        pthread_join(*(pthread_t *)g_ptr_array_index(d->threads, i), NULL);
    for (size_t i = 0; i < MV_QUEUES; i++) {
        g_queue_clear_full(&mv_daemon_queue_at(d, i)->actions, action_free);
        pthread_cond_destroy(&mv_daemon_queue_at(d, i)->filled);
    }
    for (size_t i = 0; i < d->conf->n_peers; i++) {
        mv_peer_free(d->peers[i]);
        mv_peer_free(d->views[i]);
    }
    g_free(d->peers);
    g_free(d->views);
    g_ptr_array_unref(d->threads);
    g_hash_table_unref(d->known);
    mv_core_free(d->core);
    mv_state_free(d->state);
    pthread_mutex_destroy(&d->lock);
    pthread_cond_destroy(&d->stop_cond);
    pthread_cond_destroy(&d->followed);
    g_free(d);
}
