/**
 * Checks whether any peer responds while the state service is out of reach.
 */
#include "server/peer_health.h"

#include "server/peer_client.h"

struct mv_peer_health {
    const mv_settings *settings;
    mv_peer_client *peers; /* for health checks only; owned */
    mv_shared_controller *controller;
    mv_thread_group *threads;
    gint any_reachable; /* atomic; result of the last check */
};

mv_peer_health *mv_peer_health_new(const mv_settings *settings, mv_shared_controller *controller,
                                   mv_thread_group *threads)
{
    mv_peer_health *health = g_new0(mv_peer_health, 1);
    health->settings = settings;
    health->peers = mv_peer_client_new(settings, &mv_peer_single_call);
    health->controller = controller;
    health->threads = threads;
    return health;
}

void mv_peer_health_free(mv_peer_health *health)
{
    mv_peer_client_free(health->peers);
    g_free(health);
}

static GBytes *pack_health_check(void)
{
    Mv__PeerRequest request = MV__PEER_REQUEST__INIT;
    request.kind_case = MV__PEER_REQUEST__KIND_HEALTH;
    request.health = true;
    return mv_peer_request_pack(&request);
}

/* Sends health checks to one peer after the other until a peer responds. Returns whether a peer
 * responded; true if the settings name no peers. */
static bool any_peer_responds(const mv_peer_health *health)
{
    g_autoptr(GBytes) request = pack_health_check();
    for (size_t peer = 0; peer < health->settings->peer_count; peer++) {
        g_autoptr(Mv__PeerResponse) response =
            mv_peer_client_exchange(health->peers, peer, request, MV_PEER_TIMEOUT_MS);
        if (response)
            return true;
    }
    return health->settings->peer_count == 0;
}

/* Sends health checks to the peers while the state service is out of reach. */
static void run_health_checks(void *context)
{
    mv_peer_health *health = context;
    do {
        if (!mv_shared_controller_state_reachable(health->controller))
            g_atomic_int_set(&health->any_reachable, any_peer_responds(health));
    } while (mv_thread_group_sleep(health->threads, MV_PEER_HEALTH_INTERVAL_S));
}

bool mv_peer_health_start(mv_peer_health *health)
{
    return mv_thread_group_start(health->threads, run_health_checks, health);
}

bool mv_peer_health_any_reachable(mv_peer_health *health)
{
    return g_atomic_int_get(&health->any_reachable);
}
