/**
 * Handles the messages of other controllers and packs the responses.
 */
#include "server/peer_message_handler.h"

#include "server/link_report_codec.h"
#include "server/peer_codec.h"
#include "server/request_router.h"

/* Gives a shard owner's demand to the controller. The response holds the demand of the other
 * shards. */
static GBytes *handle_demand(mv_shared_controller *shared, const Mv__ShardDemand *message)
{
    mv_shard_demand *demand = mv_shard_demand_unpack(message);
    double now;
    mv_controller *controller = mv_shared_controller_lock(shared, &now);
    const mv_peer_demand peer_demand = mv_controller_shard_demand(controller, now, demand);
    mv_shared_controller_unlock(shared);
    Mv__PeerResponse response = MV__PEER_RESPONSE__INIT;
    response.idle_machines_needed = peer_demand.idle_machines_needed;
    response.starving = peer_demand.starving;
    response.service_types = peer_demand.service_types;
    return mv_peer_response_pack(&response);
}

/* The response says whether this controller reaches the state service. */
static GBytes *handle_health_check(mv_shared_controller *shared)
{
    Mv__PeerResponse response = MV__PEER_RESPONSE__INIT;
    response.healthy = mv_shared_controller_state_reachable(shared);
    return mv_peer_response_pack(&response);
}

/* Serves a user's request that a peer forwarded. The response holds the HTTP status and body. */
static GBytes *handle_forwarded_request(const mv_request_services *services,
                                        const Mv__ForwardedRequest *message)
{
    g_autoptr(GBytes) body = g_bytes_new_static(message->body.data, message->body.len);
    const mv_http_request request = {
        .method = message->method, .path = message->path, .body = body};
    mv_http_response local = {0};
    mv_request_route_forwarded(services, &request, &local);
    Mv__PeerResponse response = MV__PEER_RESPONSE__INIT;
    response.status = (uint32_t)local.status;
    if (local.body) {
        gsize size;
        response.body.data = (uint8_t *)g_bytes_get_data(local.body, &size);
        response.body.len = size;
    }
    GBytes *packed = mv_peer_response_pack(&response);
    g_clear_pointer(&local.body, g_bytes_unref);
    return packed;
}

/* Gives a peer's link report to the controller. The response holds this controller's own report. If
 * the operators have not turned the launch gate on, the report is ignored and the response is
 * empty, as from a version that has no launch gate. */
static GBytes *handle_link_report(mv_shared_controller *shared, const Mv__LinkReport *message)
{
    g_autoptr(mv_link_report) own = NULL;
    double now;
    mv_controller *controller = mv_shared_controller_lock(shared, &now);
    if (mv_controller_publishes_link_reports(controller)) {
        mv_link_report_message_received(controller, now, message);
        own = mv_controller_link_report(controller, now);
    }
    mv_shared_controller_unlock(shared);
    if (own)
        return mv_link_report_response_pack(own);
    const Mv__PeerResponse response = MV__PEER_RESPONSE__INIT;
    return mv_peer_response_pack(&response);
}

/* Asks the controller to acknowledge a cancellation as the owner of the job's shard. The response
 * holds the answer. */
static GBytes *handle_cancellation(mv_shared_controller *shared,
                                   const Mv__CancellationRequest *message)
{
    double now;
    mv_controller *controller = mv_shared_controller_lock(shared, &now);
    const mv_cancellation_answer answer = mv_controller_acknowledge_cancellation(
        controller, now, message->job_id, message->shard, message->term);
    mv_shared_controller_unlock(shared);
    Mv__PeerResponse response = MV__PEER_RESPONSE__INIT;
    response.cancellation = answer;
    return mv_peer_response_pack(&response);
}

static bool is_forwarded(const Mv__PeerRequest *request)
{
    return request->kind_case == MV__PEER_REQUEST__KIND_FORWARDED ||
           request->kind_case == MV__PEER_REQUEST__KIND_FORWARDED_CANCELLATION;
}

GBytes *mv_peer_message_handle(void *context, const mv_peer_message *message)
{
    const mv_request_services *services = context;
    g_autoptr(Mv__PeerRequest) request =
        mv__peer_request__unpack(NULL, message->size, message->frame);
    if (!request || (is_forwarded(request) && mv_peer_message_is_abandoned(message)))
        return NULL;
    switch (request->kind_case) {
    case MV__PEER_REQUEST__KIND_DEMAND:
        return handle_demand(services->controller, request->demand);
    case MV__PEER_REQUEST__KIND_HEALTH:
        return handle_health_check(services->controller);
    case MV__PEER_REQUEST__KIND_FORWARDED:
        return handle_forwarded_request(services, request->forwarded);
    case MV__PEER_REQUEST__KIND_FORWARDED_CANCELLATION:
        return handle_forwarded_request(services, request->forwarded_cancellation);
    case MV__PEER_REQUEST__KIND_LINK_REPORT:
        return handle_link_report(services->controller, request->link_report);
    case MV__PEER_REQUEST__KIND_CANCELLATION:
        return handle_cancellation(services->controller, request->cancellation);
    default: {
        const Mv__PeerResponse response = MV__PEER_RESPONSE__INIT;
        return mv_peer_response_pack(&response);
    }
    }
}
