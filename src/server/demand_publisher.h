/**
 * The thread that publishes the demand of this controller's shards to the leader. The thread passes
 * the leader's responses, which describe the demand of the other shards, on to the controller.
 */
#ifndef MV_DEMAND_PUBLISHER_H
#define MV_DEMAND_PUBLISHER_H
#include "server/peer_client.h"
#include "server/shared_controller.h"
#include "server/thread_group.h"

typedef struct mv_demand_publisher mv_demand_publisher;

/** Returns a publisher, which the caller frees. The arguments have to outlive the publisher. */
mv_demand_publisher *mv_demand_publisher_new(const mv_settings *settings,
                                             mv_shared_controller *controller);
/** Frees the publisher. Its thread must have been joined before. */
void mv_demand_publisher_free(mv_demand_publisher *publisher);
/**
 * Starts the thread, which ends when the queues are closed. Returns false if the thread cannot be
 * started.
 */
bool mv_demand_publisher_start(mv_demand_publisher *publisher, mv_thread_group *threads);
#endif
