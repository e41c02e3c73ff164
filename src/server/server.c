/**
 * Composition, start and stop of the server.
 */
#include "server/server.h"

#include "server/clocks.h"
#include "server/cloud_executor.h"
#include "server/command_executor.h"
#include "server/demand_publisher.h"
#include "server/link_report_publisher.h"
#include "server/peer_message_handler.h"
#include "server/request_router.h"
#include "server/state_session.h"
#include "server/transaction_executor.h"
#include "telemetry/log.h"
#include "transport/http_client.h"

#define KILOBYTES_PER_MEGABYTE 1024

struct mv_server {
    const mv_settings *settings;
    mv_thread_group *threads;
    mv_shared_controller *controller;
    mv_state_store *state_store;
    mv_state_session *state_session;
    mv_state_watch *state_watch;
    mv_transaction_executor *transactions;
    mv_command_executor *commands;
    mv_cloud_executor *cloud;
    mv_request_forwarder *forwarder;
    mv_cancellation_client *cancellations;
    mv_peer_health *peer_health;
    mv_demand_publisher *demands;
    mv_link_report_publisher *link_reports;
    mv_final_job_cache *final_jobs;
    mv_request_services services; /* the members above that the handlers use, and the HTTP server */
    mv_peer_server *peer_server;  /* NULL until its address is bound */
    mv_http_server *http_server;  /* NULL until its address is bound */
};

GQuark mv_server_error_quark(void)
{
    return g_quark_from_static_string("mv-server-error");
}

/* --- ticks --- */

/* Gives the controller the current time. Returns whether every shard has a live owner. */
static bool tick(mv_shared_controller *shared)
{
    double now;
    mv_controller *controller = mv_shared_controller_lock(shared, &now);
    mv_controller_tick(controller, now, mv_wall_clock_now());
    const bool ready = mv_controller_is_stable(controller);
    mv_shared_controller_unlock(shared);
    return ready;
}

/* Gives the controller the time every MV_TICK_S until the server stops, and starts the HTTP server
 * when every shard has a live owner, or after MV_LISTEN_DELAY_MAX_S at the latest. */
static void run_ticks(void *context)
{
    mv_server *server = context;
    const double serve_deadline_s = mv_monotonic_now() + MV_LISTEN_DELAY_MAX_S;
    bool serving = false;
    do {
        const bool ready = tick(server->controller) || mv_monotonic_now() > serve_deadline_s;
        /* While a machine's shard has no owner, a controller can only redirect the machine's agent
         * to another controller. After all controllers had ended at once, a thousand agents were
         * redirected in a circle and kept every controller from acquiring shards. So the HTTP
         * server starts only when every shard has an owner, or MV_LISTEN_DELAY_MAX_S after the
         * start of this thread. */
        if (ready && !serving) {
            serving = true;
            if (!mv_http_server_start(server->http_server))
                mv_error("listen_failed", "cannot start the HTTP server on port %u",
                         server->settings->listen.port);
        }
    } while (mv_thread_group_sleep(server->threads, MV_TICK_S));
}

/* --- start --- */

static mv_server *server_new(const mv_settings *settings)
{
    mv_server *server = g_new0(mv_server, 1);
    server->settings = settings;
    server->threads = mv_thread_group_new();
    server->controller = mv_shared_controller_new(settings);
    server->state_store = mv_state_store_new(settings);
    server->state_session =
        mv_state_session_new(server->controller, server->state_store, server->threads);
    server->state_watch =
        mv_state_watch_new(settings, server->controller, server->state_store, server->threads);
    server->transactions = mv_transaction_executor_new(server->controller, server->state_store);
    server->commands = mv_command_executor_new(settings, server->controller, server->threads);
    server->cloud = mv_cloud_executor_new(settings, server->controller, server->threads);
    server->cancellations = mv_cancellation_client_new(settings);
    server->peer_health = mv_peer_health_new(settings, server->controller, server->threads);
    server->forwarder = mv_request_forwarder_new(settings, server->peer_health);
    server->demands = mv_demand_publisher_new(settings, server->controller);
    server->link_reports =
        mv_link_report_publisher_new(settings, server->controller, server->threads);
    server->final_jobs = mv_final_job_cache_new();
    server->services = (mv_request_services){.settings = settings,
                                             .controller = server->controller,
                                             .state_store = server->state_store,
                                             .state_watch = server->state_watch,
                                             .final_jobs = server->final_jobs,
                                             .forwarder = server->forwarder,
                                             .cancellations = server->cancellations,
                                             .peer_health = server->peer_health};
    return server;
}

/* Frees the server. The threads of the server, of its peer server and of its HTTP server have
 * ended. */
static void server_free(mv_server *server)
{
    mv_final_job_cache_free(server->final_jobs);
    mv_link_report_publisher_free(server->link_reports);
    mv_demand_publisher_free(server->demands);
    mv_cancellation_client_free(server->cancellations);
    mv_request_forwarder_free(server->forwarder);
    mv_peer_health_free(server->peer_health);
    mv_cloud_executor_free(server->cloud);
    mv_command_executor_free(server->commands);
    mv_transaction_executor_free(server->transactions);
    mv_state_watch_free(server->state_watch);
    mv_state_session_free(server->state_session);
    mv_state_store_free(server->state_store);
    mv_shared_controller_free(server->controller);
    mv_thread_group_free(server->threads);
    g_free(server);
}

/* Returns the limits for connections from users and agents. The number of connections leaves
 * sockets for the requests that this controller sends itself, and memory for the rest of the
 * process. */
static mv_http_limits http_limits(const mv_settings *settings)
{
    const double by_sockets = settings->max_connections * MV_HTTP_SOCKET_SHARE;
    const double by_memory =
        settings->ram_mb * KILOBYTES_PER_MEGABYTE * MV_HTTP_RAM_SHARE / MV_HTTP_CONNECTION_KB;
    const double idle_s = MV_CONNECTION_IDLE_HEARTBEATS * settings->report_s;
    return (mv_http_limits){.connections = (unsigned)MIN(by_sockets, by_memory),
                            .idle_s = (unsigned)MAX(idle_s, MV_CONNECTION_IDLE_MIN_S)};
}

static void set_error(GError **error, mv_server_error code, const char *setting,
                      const mv_endpoint *endpoint)
{
    g_set_error(error, MV_SERVER_ERROR, (gint)code, "%s: cannot serve at %s:%u", setting,
                endpoint->host, endpoint->port);
}

static bool bind_addresses(mv_server *server, GError **error)
{
    const mv_settings *settings = server->settings;
    server->peer_server =
        mv_peer_server_start(&settings->peer_endpoint, mv_peer_message_handle, &server->services);
    if (!server->peer_server) {
        set_error(error, MV_SERVER_ERROR_PEER_ADDRESS, "back", &settings->peer_endpoint);
        return false;
    }
    const mv_http_handler handler = mv_request_router_handler(&server->services);
    const mv_http_limits limits = http_limits(settings);
    server->http_server = mv_http_server_bind(&settings->listen, &limits, &handler);
    if (!server->http_server) {
        set_error(error, MV_SERVER_ERROR_LISTEN_ADDRESS, "listen", &settings->listen);
        return false;
    }
    server->services.http_server = server->http_server;
    return true;
}

static bool start_threads(mv_server *server, GError **error)
{
    const bool started = mv_state_session_start(server->state_session) &&
                         mv_state_watch_start(server->state_watch) &&
                         mv_thread_group_start(server->threads, run_ticks, server) &&
                         mv_demand_publisher_start(server->demands, server->threads) &&
                         mv_peer_health_start(server->peer_health) &&
                         mv_link_report_publisher_start(server->link_reports) &&
                         mv_transaction_executor_start(server->transactions, server->threads) &&
                         mv_command_executor_start(server->commands) &&
                         mv_cloud_executor_start(server->cloud);
    if (!started)
        set_error(error, MV_SERVER_ERROR_THREADS, "listen", &server->settings->listen);
    return started;
}

mv_server *mv_server_start(const mv_settings *settings, GError **error)
{
    mv_server *server = server_new(settings);
    /* The records that the controller writes hold the wall-clock time, so the controller gets the
     * time before any event. */
    tick(server->controller);
    mv_http_client_init();
    if (bind_addresses(server, error) && start_threads(server, error))
        return server;
    mv_server_stop(server);
    return NULL;
}

/* --- stop --- */

void mv_server_stop(mv_server *server)
{
    mv_thread_group_stop(server->threads);
    mv_shared_controller_close_queues(server->controller);
    mv_state_watch_stop(server->state_watch);
    if (server->http_server)
        mv_http_server_free(server->http_server);
    mv_peer_server_free(server->peer_server);
    mv_thread_group_join(server->threads);
    server_free(server);
}
