/**
 * Routing of requests to their handlers, and the queue limits of each kind of request.
 */
#include "server/request_router.h"

#include "protocol/names.h"
#include "server/clocks.h"
#include "server/heartbeat_endpoint.h"
#include "server/job_endpoints.h"
#include "server/operator_endpoints.h"
#include "server/responses.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <string.h>

#define MICROSECONDS_PER_MILLISECOND 1000

/* --- routes --- */

typedef enum {
    ROUTE_NONE,
    ROUTE_SUBMIT_JOB,
    ROUTE_POLL_JOB,
    ROUTE_CANCEL_JOB,
    ROUTE_HEARTBEAT,
    ROUTE_HEALTH,
    ROUTE_METRICS,
    ROUTE_OVERVIEW
} route_kind;

typedef struct {
    route_kind kind;
    char job_id[MV_ID_SIZE]; /* the job of a poll or a cancellation */
} request_route;

/* Returns the route of a request about one job. `rest` is the path after "/v2/runs/": "ID" or
 * "ID/abort". */
static request_route find_job_route(bool get, bool post, const char *rest)
{
    request_route route = {.kind = ROUTE_NONE};
    const char *slash = strchr(rest, '/');
    const size_t id_length = slash ? (size_t)(slash - rest) : strlen(rest);
    /* If the text is longer than any id, `job_id` stays empty. No job has an empty id, so the
     * handler then responds that there is no such job. */
    if (id_length < sizeof route.job_id)
        memcpy(route.job_id, rest, id_length);
    if (!slash && get)
        route.kind = ROUTE_POLL_JOB;
    else if (slash && post && strcmp(slash + 1, WIRE_CANCEL) == 0)
        route.kind = ROUTE_CANCEL_JOB;
    return route;
}

static request_route find_route(const char *method, const char *path)
{
    static const struct {
        const char *method, *path;
        route_kind kind;
    } ROUTES[] = {
        {"POST", WIRE_HEARTBEAT_PATH, ROUTE_HEARTBEAT}, {"POST", WIRE_JOBS_PATH, ROUTE_SUBMIT_JOB},
        {"GET", WIRE_HEALTH_PATH, ROUTE_HEALTH},        {"GET", WIRE_METRICS_PATH, ROUTE_METRICS},
        {"GET", WIRE_OVERVIEW_PATH, ROUTE_OVERVIEW},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(ROUTES); i++)
        if (strcmp(method, ROUTES[i].method) == 0 && strcmp(path, ROUTES[i].path) == 0)
            return (request_route){.kind = ROUTES[i].kind};
    const char *job_prefix = WIRE_JOBS_PATH "/";
    if (!g_str_has_prefix(path, job_prefix))
        return (request_route){.kind = ROUTE_NONE};
    return find_job_route(strcmp(method, "GET") == 0, strcmp(method, "POST") == 0,
                          path + strlen(job_prefix));
}

static bool is_job_route(route_kind kind)
{
    return kind == ROUTE_SUBMIT_JOB || kind == ROUTE_POLL_JOB || kind == ROUTE_CANCEL_JOB;
}

/* --- job requests --- */

static mv_forwarding respond_to_job_request(const mv_request_services *services,
                                            const request_route *route,
                                            const mv_http_request *request,
                                            mv_http_response *response)
{
    switch (route->kind) {
    case ROUTE_SUBMIT_JOB:
        return mv_endpoint_submit_job(services, request, response);
    case ROUTE_POLL_JOB:
        return mv_endpoint_poll_job(services, route->job_id, response);
    case ROUTE_CANCEL_JOB:
        return mv_endpoint_cancel_job(services, route->job_id, response);
    default:
        mv_response_error(response, MV_HTTP_STATUS_NOT_FOUND, "no such path", NULL);
        return MV_FORWARDING_ALLOWED;
    }
}

void mv_request_route_forwarded(const mv_request_services *services, const mv_http_request *request,
                                mv_http_response *response)
{
    const request_route route = find_route(request->method, request->path);
    respond_to_job_request(services, &route, request, response);
}

static mv_latency latency_metric(route_kind kind)
{
    switch (kind) {
    case ROUTE_SUBMIT_JOB:
        return MV_LATENCY_SUBMIT;
    case ROUTE_POLL_JOB:
        return MV_LATENCY_POLL;
    default:
        return MV_LATENCY_CANCEL;
    }
}

static double seconds(gint64 microseconds)
{
    return (double)microseconds / G_USEC_PER_SEC;
}

/* Returns the monotonic time by which the response has to be sent, so that it arrives while the
 * user waits for it. */
static gint64 response_deadline_us(route_kind kind, const mv_http_request *request)
{
    const gint64 timeout_ms =
        kind == ROUTE_POLL_JOB ? MV_USER_POLL_TIMEOUT_MS : MV_USER_CHANGE_TIMEOUT_MS;
    return request->received_us + (timeout_ms - MV_USER_RESPONSE_MS) * MICROSECONDS_PER_MILLISECOND;
}

/* Forwards a user's request to the peers. Returns true with `response` if a peer has served it. */
static bool forward(const mv_request_services *services, route_kind kind,
                    const mv_http_request *request, mv_http_response *response)
{
    /* A peer of a version that knows no acknowledgements would confirm a cancellation too early. */
    const mv_forward_target target =
        kind == ROUTE_CANCEL_JOB ? MV_FORWARD_TO_ACKNOWLEDGING : MV_FORWARD_TO_ANY;
    const double started = mv_monotonic_now();
    const bool served = mv_request_forwarder_forward(services->forwarder, target, request,
                                                     response_deadline_us(kind, request), response);
    mv_metrics_record_latency(MV_LATENCY_FORWARD, mv_monotonic_now() - started);
    mv_metrics_record_status(MV_LATENCY_FORWARD, served ? response->status : MV_HTTP_STATUS_NONE);
    return served;
}

/* Responds to a poll whose user has given up, and counts it if it would have been forwarded. */
static void respond_too_late(const mv_request_services *services, mv_http_response *response)
{
    if (!mv_shared_controller_state_reachable(services->controller))
        mv_request_forwarder_missed(services->forwarder);
    mv_response_error(response, MV_HTTP_STATUS_UNAVAILABLE, "too late", NULL);
}

/* Responds to a user's request about jobs. If this controller cannot decide the request, a peer's
 * response is used instead, provided that forwarding is allowed and a peer can respond. A poll
 * whose user has given up is not decided. A submission or cancellation is, because it takes effect
 * and its user repeats it. */
static void route_job_request(const mv_request_services *services, const request_route *route,
                              const mv_http_request *request, mv_http_response *response)
{
    const double started = mv_monotonic_now();
    mv_metrics_record_latency(MV_LATENCY_QUEUE, started - seconds(request->received_us));
    const bool given_up = route->kind == ROUTE_POLL_JOB &&
                          g_get_monotonic_time() >= response_deadline_us(route->kind, request);
    mv_forwarding forwarding = MV_FORWARDING_FORBIDDEN;
    if (given_up)
        respond_too_late(services, response);
    else
        forwarding = respond_to_job_request(services, route, request, response);
    const bool may_forward =
        response->status == MV_HTTP_STATUS_UNAVAILABLE && forwarding == MV_FORWARDING_ALLOWED;
    mv_http_response forwarded = {0};
    if (may_forward && forward(services, route->kind, request, &forwarded)) {
        g_clear_pointer(&response->body, g_bytes_unref);
        *response = forwarded;
    }
    const double took_s = mv_monotonic_now() - started;
    const mv_latency metric = latency_metric(route->kind);
    mv_metrics_record_latency(metric, took_s);
    mv_metrics_record_status(metric, response->status);
    mv_debug("request_completed", "method=%s path=%s status=%d took_s=%.3f", request->method,
             request->path, response->status, took_s);
}

/* --- handler of the HTTP server --- */

static void handle_request(void *context, const mv_http_request *request,
                           mv_http_response *response)
{
    const mv_request_services *services = context;
    const request_route route = find_route(request->method, request->path);
    *response = (mv_http_response){0};
    switch (route.kind) {
    case ROUTE_HEARTBEAT:
        mv_endpoint_heartbeat(services, request, response);
        mv_metrics_record_status(MV_LATENCY_HEARTBEAT, response->status);
        break;
    case ROUTE_HEALTH:
        mv_endpoint_health(services, response);
        break;
    case ROUTE_METRICS:
        mv_endpoint_metrics(services, response);
        break;
    case ROUTE_OVERVIEW:
        mv_endpoint_overview(services, response);
        break;
    case ROUTE_NONE:
        mv_response_error(response, MV_HTTP_STATUS_NOT_FOUND, "no such path", NULL);
        break;
    case ROUTE_SUBMIT_JOB:
    case ROUTE_POLL_JOB:
    case ROUTE_CANCEL_JOB:
        route_job_request(services, &route, request, response);
        break;
    }
}

static bool is_nonblocking(const char *method, const char *path)
{
    return !is_job_route(find_route(method, path).kind);
}

/* Returns how many requests may already wait in the queue for this request to be queued as well.
 * The limit is lower for polls: users can repeat a poll without harm, so under overload polls are
 * rejected before submissions and cancellations. Heartbeats are answered at once and never queued.
 */
static unsigned queue_limit(const char *method, const char *path)
{
    const bool poll = find_route(method, path).kind == ROUTE_POLL_JOB;
    return poll ? MV_POLLS_QUEUED_MAX : MV_REQUESTS_QUEUED_MAX;
}

static void respond_overloaded(const char *method, const char *path, mv_http_response *response)
{
    const bool submission = find_route(method, path).kind == ROUTE_SUBMIT_JOB;
    const int status = submission ? MV_HTTP_STATUS_TOO_MANY_REQUESTS : MV_HTTP_STATUS_UNAVAILABLE;
    mv_response_error(response, status, "too many requests at once", NULL);
}

static void respond_body_too_large(mv_http_response *response)
{
    mv_response_error(response, MV_HTTP_STATUS_BAD_REQUEST, "malformed",
                      "the body is over 64 KiB in its JSON form");
}

mv_http_handler mv_request_router_handler(mv_request_services *services)
{
    return (mv_http_handler){.answer = handle_request,
                             .is_nonblocking = is_nonblocking,
                             .queue_limit = queue_limit,
                             .overloaded = respond_overloaded,
                             .body_too_large = respond_body_too_large,
                             .context = services};
}
