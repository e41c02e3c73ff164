/**
 * Checks whether any peer responds while the state service is out of reach.
 */
#include "server/peer_health.h"

struct mv_peer_health {
    mv_peer_client *peers;
    mv_shared_controller *controller;
    mv_thread_group *threads;
    gint any_reachable; /* atomic; result of the last check */
};

mv_peer_health *mv_peer_health_new(mv_peer_client *peers, mv_shared_controller *controller,
                                   mv_thread_group *threads)
{
    mv_peer_health *health = g_new0(mv_peer_health, 1);
    health->peers = peers;
    health->controller = controller;
    health->threads = threads;
    return health;
}

void mv_peer_health_free(mv_peer_health *health)
{
    g_free(health);
}

/* Sends health checks to the peers while the state service is out of reach. */
static void run_health_checks(void *context)
{
    mv_peer_health *health = context;
    do {
        if (!mv_shared_controller_state_reachable(health->controller))
            g_atomic_int_set(&health->any_reachable, mv_peer_client_any_responds(health->peers));
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
