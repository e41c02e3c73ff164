/**
 * Sends the controller's requests to the cloud.
 */
#include "server/cloud_executor.h"

#include "protocol/names.h"
#include "server/clocks.h"
#include "protocol/http_status.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "transport/http_client.h"

#define PATH_SIZE 300

struct mv_cloud_executor {
    const mv_settings *settings;
    mv_shared_controller *controller;
    mv_thread_group *threads;
    char address[80]; /* of the cloud: "10.0.0.1:8080" */
};

mv_cloud_executor *mv_cloud_executor_new(const mv_settings *settings,
                                         mv_shared_controller *controller, mv_thread_group *threads)
{
    mv_cloud_executor *executor = g_new0(mv_cloud_executor, 1);
    executor->settings = settings;
    executor->controller = controller;
    executor->threads = threads;
    g_snprintf(executor->address, sizeof executor->address, "%s:%u", settings->cloud.host,
               settings->cloud.port);
    return executor;
}

void mv_cloud_executor_free(mv_cloud_executor *executor)
{
    g_free(executor);
}

/* --- requests --- */

typedef struct {
    const char *method;
    char path[PATH_SIZE];
    GBytes *body; /* owned; NULL: the request has no body */
} cloud_request;

/* Builds the path for a page of the machine list: the page that starts after the machine
 * `action->name`, or the first page if that name is empty. */
static void build_list_path(const mv_action *action, char path[PATH_SIZE])
{
    if (action->name[0])
        g_snprintf(path, PATH_SIZE, WIRE_INSTANCES_PATH "?" WIRE_AFTER "=%s&" WIRE_PAGE "=%d",
                   action->name, MV_MACHINE_LIST_PAGE);
    else
        g_snprintf(path, PATH_SIZE, WIRE_INSTANCES_PATH "?" WIRE_PAGE "=%d", MV_MACHINE_LIST_PAGE);
}

static void build_request(const mv_action *action, cloud_request *request)
{
    *request = (cloud_request){.method = "GET"};
    switch (action->kind) {
    case MV_ACTION_SCALE_OUT:
        request->method = "POST";
        g_strlcpy(request->path, WIRE_INSTANCES_PATH, sizeof request->path);
        request->body = mv_instance_request_pack(action->name, action->type_name, action->zone_name,
                                                 action->spot, action->count);
        break;
    case MV_ACTION_SCALE_IN:
        request->method = "POST";
        g_strlcpy(request->path, WIRE_DELETE_INSTANCES_PATH, sizeof request->path);
        request->body = mv_machine_names_pack(action->machine_names);
        break;
    case MV_ACTION_LIST_MACHINES:
        build_list_path(action, request->path);
        break;
    default:
        g_strlcpy(request->path, WIRE_MACHINE_TYPES_PATH, sizeof request->path);
    }
}

/* --- results --- */

/* Returns whether the response to a failed scale-out proves that the cloud started no machine: the
 * cloud called the request malformed or has no capacity. After any other failure, the cloud may
 * have started machines. */
static bool scale_out_refused(int status, const mv_document *document)
{
    if (!document)
        return false;
    if (status == MV_HTTP_STATUS_BAD_REQUEST)
        return true;
    return status == MV_HTTP_STATUS_UNAVAILABLE &&
           mv_text_is(mv_field_find(mv_document_root(document), WIRE_ERROR), WIRE_NO_CAPACITY);
}

static void scale_out_completed(mv_cloud_executor *executor, const mv_action *action, int status,
                                const mv_document *document)
{
    const bool ok = status == MV_HTTP_STATUS_OK;
    const bool refused = !ok && scale_out_refused(status, document);
    g_autoptr(GPtrArray) machine_names =
        ok && document ? mv_machine_names_parse(mv_document_root(document)) : NULL;
    double now;
    mv_controller *controller = mv_shared_controller_lock(executor->controller, &now);
    mv_controller_scale_out_completed(controller, now, action->id, machine_names, refused);
    mv_shared_controller_unlock(executor->controller);
}

static void scale_in_completed(mv_cloud_executor *executor, const mv_action *action, bool ok)
{
    double now;
    mv_controller *controller = mv_shared_controller_lock(executor->controller, &now);
    mv_controller_scale_in_completed(controller, now, action->id, ok);
    mv_shared_controller_unlock(executor->controller);
}

/* Reports a page of the machine list to the controller. `document` NULL: the request failed. */
static void machines_listed(mv_cloud_executor *executor, const mv_action *action,
                            const mv_document *document)
{
    bool more = false;
    g_autoptr(GArray) machines =
        document ? mv_machine_list_parse(mv_document_root(document), &more) : NULL;
    double now;
    mv_controller *controller = mv_shared_controller_lock(executor->controller, &now);
    mv_controller_machines_listed(controller, now, action->id, machines, more);
    mv_shared_controller_unlock(executor->controller);
}

/* Reports the machine types to the controller, which takes ownership of the parsed list. `document`
 * NULL: the request failed. */
static void types_listed(mv_cloud_executor *executor, const mv_document *document)
{
    GArray *types = document ? mv_machine_types_parse(mv_document_root(document)) : NULL;
    double now;
    mv_controller *controller = mv_shared_controller_lock(executor->controller, &now);
    mv_controller_types_listed(controller, now, types);
    mv_shared_controller_unlock(executor->controller);
}

/* Reports the outcome of a request to the controller. */
static void request_completed(mv_cloud_executor *executor, const mv_action *action,
                              const mv_http_result *result)
{
    gsize size;
    const void *body = g_bytes_get_data(result->body, &size);
    g_autoptr(mv_document) document = result->status ? mv_document_parse(body, size) : NULL;
    const bool ok = result->status == MV_HTTP_STATUS_OK;
    switch (action->kind) {
    case MV_ACTION_SCALE_OUT:
        scale_out_completed(executor, action, result->status, document);
        break;
    case MV_ACTION_SCALE_IN:
        scale_in_completed(executor, action, ok);
        break;
    case MV_ACTION_LIST_MACHINES:
        machines_listed(executor, action, ok ? document : NULL);
        break;
    default:
        types_listed(executor, ok ? document : NULL);
    }
}

/* --- threads --- */

/* Sends the request of an action to the cloud and reports the outcome to the controller. If the
 * action is no longer valid, the request is not sent, and the controller is told that the request
 * got no response. */
static void execute(mv_cloud_executor *executor, const mv_action *action)
{
    const double started = mv_monotonic_now();
    cloud_request request;
    build_request(action, &request);
    mv_http_result result = {0};
    if (mv_shared_controller_action_is_valid(executor->controller, action))
        mv_http_call(request.method, executor->address, request.path, request.body,
                     MV_CLOUD_TIMEOUT_MS, &result);
    else
        result.body = g_bytes_new(NULL, 0);
    mv_metrics_record_latency(MV_LATENCY_CLOUD, mv_monotonic_now() - started);
    mv_metrics_record_status(MV_LATENCY_CLOUD, result.status);
    if (result.status != MV_HTTP_STATUS_OK)
        mv_log_limited(MV_LOG_INFO, "cloud_request_refused", "path=%s status=%d", request.path,
                       result.status);
    request_completed(executor, action, &result);
    mv_http_result_clear(&result);
    g_clear_pointer(&request.body, g_bytes_unref);
}

static void run_cloud_requests(void *context)
{
    mv_cloud_executor *executor = context;
    /* Each thread pauses at least this long between two requests, so that all MV_CLOUD_THREADS
     * threads together stay well within the cloud's rate limit. */
    const double pause_s = MV_CLOUD_THREADS / executor->settings->cloud_rps;
    mv_action *action;
    while ((action =
                mv_shared_controller_take_action(executor->controller, MV_QUEUE_CLOUD_REQUESTS))) {
        execute(executor, action);
        mv_action_free(action);
        if (!mv_thread_group_sleep(executor->threads, pause_s))
            break;
    }
}

bool mv_cloud_executor_start(mv_cloud_executor *executor)
{
    bool started = true;
    for (int i = 0; i < MV_CLOUD_THREADS && started; i++)
        started = mv_thread_group_start(executor->threads, run_cloud_requests, executor);
    return started;
}
