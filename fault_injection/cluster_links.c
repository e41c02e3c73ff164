/**
 * Implementation of the links between the processes of a cluster: one relay for each link.
 */
#include "cluster_links.h"

#include <glib.h>

struct mv_cluster_links {
    unsigned count;
    mv_relay **state;          /* relays from each controller to the state service */
    mv_relay **heartbeats;     /* relays from the machines to each controller */
    uint16_t *state_ports;     /* ports of the relays in `state` */
    uint16_t *heartbeat_ports; /* ports of the relays in `heartbeats` */
    mv_relay **peers;          /* relay from controller i to k at i * count + k; NULL if i is k */
    uint16_t *peer_ports;      /* ports of the relays in `peers` */
};

static mv_relay *start_relay(uint16_t target_port, uint16_t *port)
{
    mv_relay *relay = mv_relay_start(target_port, port);
    g_assert_nonnull(relay);
    return relay;
}

static void start_peer_relays(mv_cluster_links *links, const mv_controller_cluster *cluster,
                              unsigned from)
{
    for (unsigned to = 0; to < links->count; to++) {
        const unsigned index = from * links->count + to;
        if (to != from)
            links->peers[index] =
                start_relay(cluster->nodes[to].peer_port, &links->peer_ports[index]);
    }
}

mv_cluster_links *mv_cluster_links_start(const mv_controller_cluster *cluster, uint16_t state_port)
{
    const unsigned count = cluster->count;
    mv_cluster_links *links = g_new0(mv_cluster_links, 1);
    links->count = count;
    links->state = g_new0(mv_relay *, count);
    links->state_ports = g_new0(uint16_t, count);
    links->heartbeats = g_new0(mv_relay *, count);
    links->heartbeat_ports = g_new0(uint16_t, count);
    links->peers = g_new0(mv_relay *, (gsize)count * count);
    links->peer_ports = g_new0(uint16_t, (gsize)count * count);
    for (unsigned i = 0; i < count; i++) {
        links->heartbeats[i] =
            start_relay(cluster->nodes[i].listen_port, &links->heartbeat_ports[i]);
        links->state[i] = start_relay(state_port, &links->state_ports[i]);
        start_peer_relays(links, cluster, i);
    }
    return links;
}

const uint16_t *mv_cluster_links_heartbeat_ports(const mv_cluster_links *links)
{
    return links->heartbeat_ports;
}

uint16_t mv_cluster_links_state_port(const mv_cluster_links *links, unsigned controller)
{
    return links->state_ports[controller];
}

const uint16_t *mv_cluster_links_peer_ports(const mv_cluster_links *links, unsigned controller)
{
    return &links->peer_ports[(gsize)controller * links->count];
}

void mv_cluster_links_set_state(mv_cluster_links *links, unsigned controller,
                                const mv_link_fault *fault)
{
    mv_relay_set(links->state[controller], fault);
}

void mv_cluster_links_set_heartbeats(mv_cluster_links *links, unsigned controller,
                                     const mv_link_fault *fault)
{
    mv_relay_set(links->heartbeats[controller], fault);
}

void mv_cluster_links_set_peers(mv_cluster_links *links, unsigned controller,
                                const mv_link_fault *fault)
{
    for (unsigned to = 0; to < links->count; to++)
        if (to != controller)
            mv_relay_set(links->peers[controller * links->count + to], fault);
}

void mv_cluster_links_stop(mv_cluster_links *links)
{
    if (!links)
        return;
    for (unsigned i = 0; i < links->count * links->count; i++)
        mv_relay_stop(links->peers[i]);
    for (unsigned i = 0; i < links->count; i++) {
        mv_relay_stop(links->state[i]);
        mv_relay_stop(links->heartbeats[i]);
    }
    g_free(links->peers);
    g_free(links->peer_ports);
    g_free(links->state);
    g_free(links->state_ports);
    g_free(links->heartbeats);
    g_free(links->heartbeat_ports);
    g_free(links);
}
