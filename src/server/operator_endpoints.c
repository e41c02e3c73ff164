/**
 * Handlers of health checks, metrics and the overview.
 */
#include "server/operator_endpoints.h"

#include "protocol/http_status.h"
#include "telemetry/metrics.h"

#include <string.h>

void mv_endpoint_health(const mv_request_services *services, mv_http_response *response)
{
    double now;
    const mv_controller *controller = mv_shared_controller_lock(services->controller, &now);
    const bool ready = mv_controller_is_ready(controller);
    const bool state_reachable = mv_controller_state_reachable(controller, now);
    mv_shared_controller_unlock(services->controller);
    /* A controller that has lost the state service can still serve users through a peer that
     * reaches it. If all controllers have lost the state service, taking this controller out of
     * service would help no user. So a controller without the state service is unhealthy only if no
     * peer responds either, or if the requests that it forwards get no answer while peers could
     * serve them: then its users are served better by another controller. */
    const bool serves_through_peers = mv_peer_health_any_reachable(services->peer_health) &&
                                      !mv_request_forwarder_is_failing(services->forwarder);
    const bool healthy = ready && (state_reachable || serves_through_peers);
    const char *text = healthy ? "ok\n" : "not ready\n";
    response->status = healthy ? MV_HTTP_STATUS_OK : MV_HTTP_STATUS_UNAVAILABLE;
    response->is_text = true;
    response->body = g_bytes_new_static(text, strlen(text));
}

/* --- metrics --- */

typedef struct {
    const char *name;
    guint64 value;
} metric;

static void append_metrics(GString *text, const metric *metrics, size_t count)
{
    for (size_t i = 0; i < count; i++)
        g_string_append_printf(text, "mulleinvalve_%s %" G_GUINT64_FORMAT "\n", metrics[i].name,
                               metrics[i].value);
}

static void append_controller_totals(GString *text, const mv_controller_counters *counters)
{
    const metric metrics[] = {{"rounds_total", counters->rounds},
                              {"placed_total", counters->placed},
                              {"finished_jobs_total", counters->jobs_finished},
                              {"requeued_total", counters->requeued},
                              {"preempted_total", counters->preempted},
                              {"failed_tasks_total", counters->task_failures},
                              {"rented_total", counters->machines_rented},
                              {"released_total", counters->machines_released},
                              {"takeovers_total", counters->shard_acquisitions},
                              {"moved_machines_total", counters->machines_moved},
                              {"limits_halved_total", counters->limits_reduced},
                              {"stale_messages_total", counters->stale_messages},
                              {"cancellations_begun_total", counters->cancellations_begun},
                              {"invariant_violations_total", counters->invariant_violations},
                              {"token_raises_total", counters->token_raises},
                              {"machines_looked_at_total", counters->machines_examined}};
    append_metrics(text, metrics, G_N_ELEMENTS(metrics));
}

static void append_link_metrics(GString *text, const mv_controller_counters *counters)
{
    const metric metrics[] = {{"link_class", (guint64)counters->link_class},
                              {"launches_held", counters->launches_are_held},
                              {"launches_held_total", counters->launches_held},
                              {"outcomes_waiting", counters->completions_unrecorded},
                              {"outcomes_learnt_total", counters->completions_learned},
                              {"views_total", counters->link_reports},
                              {"views_refused_total", counters->link_reports_rejected}};
    append_metrics(text, metrics, G_N_ELEMENTS(metrics));
}

static void append_http_metrics(GString *text, const mv_http_load *load)
{
    const metric metrics[] = {
        {"http_connections", load->connections}, {"http_connections_limit", load->connection_limit},
        {"http_waiting", load->queued_requests}, {"http_closed_total", load->closed_connections},
        {"http_rests_total", load->pauses},      {"http_shed_total", load->rejected_requests}};
    append_metrics(text, metrics, G_N_ELEMENTS(metrics));
}

static void append_controller_gauges(GString *text, const mv_controller_counters *counters,
                                     bool leader)
{
    const metric metrics[] = {{"jobs", counters->jobs},
                              {"waiting_tasks", counters->tasks_pending},
                              {"running_tasks", counters->tasks_running},
                              {"machines", counters->machines},
                              {"machines_up", counters->machines_confirmed},
                              {"leader", leader}};
    append_metrics(text, metrics, G_N_ELEMENTS(metrics));
}

void mv_endpoint_metrics(const mv_request_services *services, mv_http_response *response)
{
    double now;
    mv_controller_counters counters;
    const mv_controller *controller = mv_shared_controller_lock(services->controller, &now);
    mv_controller_get_counters(controller, &counters);
    const bool leader = mv_controller_is_leader(controller);
    mv_shared_controller_unlock(services->controller);
    const mv_http_load load = mv_http_server_load(services->http_server);
    GString *text = mv_metrics_print();
    append_controller_totals(text, &counters);
    append_link_metrics(text, &counters);
    append_http_metrics(text, &load);
    append_controller_gauges(text, &counters, leader);
    const metric failing = {"forwarding_failing",
                            mv_request_forwarder_is_failing(services->forwarder)};
    append_metrics(text, &failing, 1);
    response->status = MV_HTTP_STATUS_OK;
    response->is_text = true;
    response->body = g_string_free_to_bytes(text);
}

/* --- overview --- */

void mv_endpoint_overview(const mv_request_services *services, mv_http_response *response)
{
    double now;
    const mv_controller *controller = mv_shared_controller_lock(services->controller, &now);
    response->body = mv_controller_overview(controller, now);
    mv_shared_controller_unlock(services->controller);
    response->status = MV_HTTP_STATUS_OK;
}
