/**
 * Checks the peers while the state service is out of reach.
 */
#include "server/peer_health.h"

#include "server/peer_client.h"

struct mv_peer_health {
    const mv_settings *settings;
    mv_peer_client *peers; /* for health checks only; owned */
    mv_shared_controller *controller;
    mv_thread_group *threads;
    gint *states; /* atomic mv_peer_state, in the order of settings->peers; owned */
};

mv_peer_health *mv_peer_health_new(const mv_settings *settings, mv_shared_controller *controller,
                                   mv_thread_group *threads)
{
    mv_peer_health *health = g_new0(mv_peer_health, 1);
    health->settings = settings;
    health->peers = mv_peer_client_new(settings, &MV_PEER_SINGLE_CALL);
    health->states = g_new(gint, settings->peer_count + 1);
    for (size_t i = 0; i < settings->peer_count; i++)
        health->states[i] = MV_PEER_UNCHECKED;
    health->controller = controller;
    health->threads = threads;
    return health;
}

void mv_peer_health_free(mv_peer_health *health)
{
    mv_peer_client_free(health->peers);
    g_free(health->states);
    g_free(health);
}

static GBytes *pack_health_check(void)
{
    Mv__PeerRequest request = MV__PEER_REQUEST__INIT;
    request.kind_case = MV__PEER_REQUEST__KIND_HEALTH;
    request.health = true;
    return mv_peer_request_pack(&request);
}

static mv_peer_state check_peer(const mv_peer_health *health, size_t peer, GBytes *request)
{
    g_autoptr(Mv__PeerResponse) response =
        mv_peer_client_exchange(health->peers, peer, request, MV_PEER_TIMEOUT_MS);
    if (!response)
        return MV_PEER_UNRESPONSIVE;
    return response->healthy ? MV_PEER_SERVING : MV_PEER_WITHOUT_STATE;
}

/* Sends a health check to one peer after the other. */
static void check_peers(mv_peer_health *health)
{
    g_autoptr(GBytes) request = pack_health_check();
    for (size_t peer = 0; peer < health->settings->peer_count; peer++)
        g_atomic_int_set(&health->states[peer], (gint)check_peer(health, peer, request));
}

/* Sends health checks to the peers while the state service is out of reach. */
static void run_health_checks(void *context)
{
    mv_peer_health *health = context;
    do {
        if (!mv_shared_controller_state_reachable(health->controller))
            check_peers(health);
    } while (mv_thread_group_sleep(health->threads, MV_PEER_HEALTH_INTERVAL_S));
}

bool mv_peer_health_start(mv_peer_health *health)
{
    return mv_thread_group_start(health->threads, run_health_checks, health);
}

mv_peer_state mv_peer_health_state(const mv_peer_health *health, size_t peer)
{
    return (mv_peer_state)g_atomic_int_get(&health->states[peer]);
}

bool mv_peer_health_any_reachable(const mv_peer_health *health)
{
    bool any = health->settings->peer_count == 0;
    for (size_t i = 0; i < health->settings->peer_count; i++) {
        const mv_peer_state state = mv_peer_health_state(health, i);
        any |= state == MV_PEER_SERVING || state == MV_PEER_WITHOUT_STATE;
    }
    return any;
}
