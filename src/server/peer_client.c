/**
 * Messages to other controllers.
 */
#include "server/peer_client.h"

#include <string.h>

struct mv_peer_client {
    const mv_settings *settings;
    mv_peer **peers; /* in the order of settings->peers */
};

const mv_peer_limits MV_PEER_SINGLE_CALL = {.connections = 1};

mv_peer_client *mv_peer_client_new(const mv_settings *settings, const mv_peer_limits *limits)
{
    mv_peer_client *client = g_new0(mv_peer_client, 1);
    client->settings = settings;
    client->peers = g_new0(mv_peer *, settings->peer_count + 1);
    for (size_t i = 0; i < settings->peer_count; i++)
        client->peers[i] = mv_peer_new(&settings->peers[i].endpoint, limits);
    return client;
}

void mv_peer_client_free(mv_peer_client *client)
{
    for (size_t i = 0; i < client->settings->peer_count; i++)
        mv_peer_free(client->peers[i]);
    g_free(client->peers);
    g_free(client);
}

bool mv_peer_client_find(const mv_peer_client *client, const char *name, size_t *peer)
{
    for (size_t i = 0; i < client->settings->peer_count; i++)
        if (strcmp(client->settings->peers[i].name, name) == 0) {
            *peer = i;
            return true;
        }
    return false;
}

unsigned mv_peer_client_load(mv_peer_client *client, size_t peer)
{
    return mv_peer_load(client->peers[peer]);
}

Mv__PeerResponse *mv_peer_client_exchange(mv_peer_client *client, size_t peer, GBytes *request,
                                          unsigned timeout_ms)
{
    gsize size;
    const uint8_t *request_bytes = g_bytes_get_data(request, &size);
    g_autoptr(GBytes) frame = mv_peer_call(client->peers[peer], request_bytes, size, timeout_ms);
    if (!frame)
        return NULL;
    const uint8_t *bytes = g_bytes_get_data(frame, &size);
    return mv__peer_response__unpack(NULL, size, bytes);
}
