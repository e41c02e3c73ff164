/**
 * The links of a cluster of controllers: from every controller to the state service and to every
 * other controller, and from the machines to every controller. Each link goes through a separate
 * relay, which can inject faults.
 *
 * One thread sets the faults. The threads of the relays run from mv_cluster_links_start to
 * mv_cluster_links_stop.
 */
#ifndef MV_CLUSTER_LINKS_H
#define MV_CLUSTER_LINKS_H
#include "controller_cluster.h"
#include "relay.h"

typedef struct mv_cluster_links mv_cluster_links;

/** Starts the relays of all links and aborts if one cannot be started. The function reads `cluster`
 * only during the call. The caller ends the links with mv_cluster_links_stop. */
mv_cluster_links *mv_cluster_links_start(const mv_controller_cluster *cluster, uint16_t state_port);

/** Returns the ports through which machines reach the controllers, indexed by controller. The links
 * own the array. */
const uint16_t *mv_cluster_links_heartbeat_ports(const mv_cluster_links *links);

/** Returns the port through which a controller reaches the state service. */
uint16_t mv_cluster_links_state_port(const mv_cluster_links *links, unsigned controller);

/** Returns the ports through which a controller reaches the other controllers, indexed by
 * controller, with 0 for the controller itself. The links own the array. */
const uint16_t *mv_cluster_links_peer_ports(const mv_cluster_links *links, unsigned controller);

/** Sets the fault of the link from a controller to the state service. */
void mv_cluster_links_set_state(mv_cluster_links *links, unsigned controller,
                                const mv_link_fault *fault);

/** Sets the fault of the link from the machines to a controller. */
void mv_cluster_links_set_heartbeats(mv_cluster_links *links, unsigned controller,
                                     const mv_link_fault *fault);

/** Sets the fault of the links from a controller to all other controllers. */
void mv_cluster_links_set_peers(mv_cluster_links *links, unsigned controller,
                                const mv_link_fault *fault);

/** Stops all relays and frees the links; NULL is allowed. */
void mv_cluster_links_stop(mv_cluster_links *links);
#endif
