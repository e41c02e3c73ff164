/**
 * Sends requests to acknowledge cancellations to other controllers.
 */
#include "server/cancellation_client.h"

#include "server/peer_client.h"

struct mv_cancellation_client {
    mv_peer_client *peers;
};

mv_cancellation_client *mv_cancellation_client_new(const mv_settings *settings)
{
    mv_cancellation_client *client = g_new0(mv_cancellation_client, 1);
    const mv_peer_limits limits = {.connections = MV_CANCEL_CONNECTIONS_MAX,
                                   .failure_pause_ms = MV_CANCEL_PEER_PAUSE_MS};
    client->peers = mv_peer_client_new(settings, &limits);
    return client;
}

void mv_cancellation_client_free(mv_cancellation_client *client)
{
    mv_peer_client_free(client->peers);
    g_free(client);
}

static GBytes *pack_request(const mv_shard_grant *grant, const char *job_id)
{
    Mv__CancellationRequest cancellation = MV__CANCELLATION_REQUEST__INIT;
    cancellation.job_id = (char *)job_id;
    cancellation.shard = grant->shard;
    cancellation.term = grant->term;
    Mv__PeerRequest request = MV__PEER_REQUEST__INIT;
    request.kind_case = MV__PEER_REQUEST__KIND_CANCELLATION;
    request.cancellation = &cancellation;
    return mv_peer_request_pack(&request);
}

/* Reads the answer of a peer. A version that does not know the request sends a response without an
 * answer, which reads as MV_CANCELLATION_UNSUPPORTED. An answer of a later version that this one
 * does not know acknowledges nothing. */
static mv_cancellation_answer read_answer(const Mv__PeerResponse *response)
{
    switch (response->cancellation) {
    case MV_CANCELLATION_UNSUPPORTED:
    case MV_CANCELLATION_ACKNOWLEDGED:
    case MV_CANCELLATION_NOT_OWNER:
        return (mv_cancellation_answer)response->cancellation;
    default:
        return MV_CANCELLATION_PENDING;
    }
}

mv_cancellation_answer mv_cancellation_client_request(const mv_cancellation_client *client,
                                                      const mv_shard_grant *grant,
                                                      const char *job_id)
{
    size_t peer;
    if (!mv_peer_client_find(client->peers, grant->node, &peer))
        return MV_CANCELLATION_UNREACHABLE;
    g_autoptr(GBytes) request = pack_request(grant, job_id);
    g_autoptr(Mv__PeerResponse) response =
        mv_peer_client_exchange(client->peers, peer, request, MV_PEER_TIMEOUT_MS);
    return response ? read_answer(response) : MV_CANCELLATION_UNREACHABLE;
}
