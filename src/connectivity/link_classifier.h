/**
 * Classification of this controller's links. The class says which links fail. If the state service
 * does not answer, the class also says whether the service is down for all controllers (an outage)
 * or unreachable for this controller alone (isolation).
 *
 * The module is pure: the class is a function of the observations and of the time, in seconds of
 * the monotonic clock.
 */
#ifndef MV_LINK_CLASSIFIER_H
#define MV_LINK_CLASSIFIER_H
#include "connectivity/peer_table.h"
#include "connectivity/state_link.h"

/** What this controller has observed on its links. */
typedef struct {
    const mv_settings *settings; /**< not owned */
    mv_state_link state;
    mv_peer_table peers;
    bool workers_expected; /**< whether machines should be sending heartbeats to this controller */
    double last_worker_heartbeat_at; /**< when the last heartbeat of a machine arrived; 0: never */
} mv_link_observations;

/** Returns the class of the links at `now`. The caller must have called mv_state_link_update on the
 * `state` of the observations for the same time. */
mv_link_class mv_links_classify(const mv_link_observations *observations, double now);
#endif
