/**
 * Forwards users' requests to peers.
 */
#include "server/request_forwarder.h"

#include "protocol/http_status.h"
#include "server/peer_client.h"

struct mv_request_forwarder {
    const mv_settings *settings;
    mv_peer_client *peers; /* for forwarded requests only; owned */
};

mv_request_forwarder *mv_request_forwarder_new(const mv_settings *settings)
{
    const mv_peer_limits limits = {.connections = MV_FORWARD_CONNECTIONS_MAX};
    mv_request_forwarder *forwarder = g_new0(mv_request_forwarder, 1);
    forwarder->settings = settings;
    forwarder->peers = mv_peer_client_new(settings, &limits);
    return forwarder;
}

void mv_request_forwarder_free(mv_request_forwarder *forwarder)
{
    mv_peer_client_free(forwarder->peers);
    g_free(forwarder);
}

/* Returns the body of a request as a field of a message, which borrows the bytes. */
static ProtobufCBinaryData body_field(GBytes *body)
{
    gsize size;
    const void *data = g_bytes_get_data(body, &size);
    return (ProtobufCBinaryData){.data = (uint8_t *)data, .len = size};
}

static GBytes *pack_request(mv_forward_target target, const mv_http_request *user_request)
{
    Mv__ForwardedRequest forwarded = MV__FORWARDED_REQUEST__INIT;
    forwarded.method = (char *)user_request->method;
    forwarded.path = (char *)user_request->path;
    forwarded.body = body_field(user_request->body);
    Mv__PeerRequest request = MV__PEER_REQUEST__INIT;
    if (target == MV_FORWARD_TO_ACKNOWLEDGING) {
        request.kind_case = MV__PEER_REQUEST__KIND_FORWARDED_CANCELLATION;
        request.forwarded_cancellation = &forwarded;
    } else {
        request.kind_case = MV__PEER_REQUEST__KIND_FORWARDED;
        request.forwarded = &forwarded;
    }
    return mv_peer_request_pack(&request);
}

static bool has_served(const Mv__PeerResponse *answer)
{
    return answer && answer->status != MV_HTTP_STATUS_NONE &&
           answer->status != MV_HTTP_STATUS_UNAVAILABLE;
}

bool mv_request_forwarder_forward(mv_request_forwarder *forwarder, mv_forward_target target,
                                  const mv_http_request *user_request, mv_http_response *response)
{
    g_autoptr(GBytes) request = pack_request(target, user_request);
    for (size_t peer = 0; peer < forwarder->settings->peer_count; peer++) {
        g_autoptr(Mv__PeerResponse) answer =
            mv_peer_client_exchange(forwarder->peers, peer, request, MV_FORWARD_TIMEOUT_MS);
        if (!has_served(answer))
            continue;
        *response = (mv_http_response){
            .status = (int)answer->status,
            .body = g_bytes_new(answer->body.data, answer->body.len),
        };
        return true;
    }
    return false;
}
