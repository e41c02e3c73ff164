/**
 * Publishes the demand of this controller's shards to the leader.
 */
#include "server/demand_publisher.h"

struct mv_demand_publisher {
    mv_peer_client *peers; /* for demands only; owned */
    mv_shared_controller *controller;
};

mv_demand_publisher *mv_demand_publisher_new(const mv_settings *settings,
                                             mv_shared_controller *controller)
{
    mv_demand_publisher *publisher = g_new0(mv_demand_publisher, 1);
    publisher->peers = mv_peer_client_new(settings, &MV_PEER_SINGLE_CALL);
    publisher->controller = controller;
    return publisher;
}

void mv_demand_publisher_free(mv_demand_publisher *publisher)
{
    mv_peer_client_free(publisher->peers);
    g_free(publisher);
}

/* Sends the demand of one shard to the leader, and gives the leader's response to the controller.
 * If no response arrives, the demand is dropped. */
static void publish(mv_demand_publisher *publisher, const mv_action *action)
{
    size_t leader;
    if (!mv_peer_client_find(publisher->peers, action->to, &leader))
        return;
    g_autoptr(GBytes) request = mv_shard_demand_pack(action->demand);
    g_autoptr(Mv__PeerResponse) response =
        mv_peer_client_exchange(publisher->peers, leader, request, MV_PEER_TIMEOUT_MS);
    if (!response)
        return;
    const mv_peer_demand peer_demand = {.idle_machines_needed = response->idle_machines_needed,
                                        .starving = response->starving,
                                        .service_types = response->service_types};
    double now;
    mv_controller *controller = mv_shared_controller_lock(publisher->controller, &now);
    mv_controller_peer_demand(controller, now, peer_demand);
    mv_shared_controller_unlock(publisher->controller);
}

static void run_publisher(void *context)
{
    mv_demand_publisher *publisher = context;
    mv_action *action;
    while ((action =
                mv_shared_controller_take_action(publisher->controller, MV_QUEUE_SHARD_DEMANDS))) {
        publish(publisher, action);
        mv_action_free(action);
    }
}

bool mv_demand_publisher_start(mv_demand_publisher *publisher, mv_thread_group *threads)
{
    return mv_thread_group_start(threads, run_publisher, publisher);
}
