/** Scale-out: the leader's requests to the cloud for instances, and the choice of offers. */
#ifndef MV_INSTANCE_REQUESTS_H
#define MV_INSTANCE_REQUESTS_H
#include "coordination/autoscaling/autoscaler.h"

/**
 * A request for instances, kept until the cloud grants or refuses it. The name is unique: retries
 * of the same request use it again, other requests never do.
 */
typedef struct {
    uint64_t action_id;
    char request_name[MV_NAME_SIZE], type_name[MV_NAME_SIZE], zone_name[MV_NAME_SIZE];
    bool spot;
    unsigned count, shard_index;
    double retry_at; /**< when the request is sent again; 0: it is in flight */
} mv_instance_request;

/** Machines of one type, zone and kind (spot or ordinary) that a shard may get from the cloud. */
typedef struct {
    int type_index;
    const char *zone_name; /**< owned by the catalog */
    bool spot;
    double price; /**< per demanded task, weighted by the cost of waiting for the machine */
    const mv_shard *shard; /**< shard that gets the machines; set by the planner */
    unsigned count;        /**< number of machines to request; set by mv_instance_offers_add */
} mv_instance_offer;

/**
 * Finds the cheapest offer for tasks of a demand, of which `left` have no machine yet. Leaves out
 * offers that the cloud refused during the last MV_CAPACITY_BACKOFF_S. Returns false if there is
 * none; `offer` is then unchanged.
 */
bool mv_instance_offer_cheapest(const mv_autoscaler *autoscaler, const mv_resource_demand *demand,
                                unsigned left, mv_instance_offer *offer);
/**
 * Adds `count` machines of an offer to a list of mv_instance_offer. Offers of the same type, zone
 * and kind for the same shard are merged.
 */
void mv_instance_offers_add(GArray *offers, const mv_instance_offer *offer, unsigned count);
/**
 * Requests the machines of an offer from the cloud, at most MV_INSTANCE_REQUEST_MAX. Does nothing
 * if a request of the same type, zone, kind and shard is pending.
 */
void mv_instances_request(mv_autoscaler *autoscaler, const mv_instance_offer *offer);
/** Retries requests that got no response, and drops refusals whose back-off has ended. */
void mv_instance_requests_tick(mv_autoscaler *autoscaler);
/**
 * Processes the result of a request. `machines` holds the names (char *) of the granted machines.
 * `machines` is NULL if the cloud refused the request for lack of capacity (`refused`), or if it
 * did not answer (not `refused`).
 */
void mv_instance_request_completed(mv_autoscaler *autoscaler, uint64_t action_id,
                                   const GPtrArray *machines, bool refused);
#endif
