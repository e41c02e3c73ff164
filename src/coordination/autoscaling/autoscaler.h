/**
 * The autoscaler's state: the demand of the shards, the requests to the cloud, and the cloud's
 * lists.
 *
 * The owner of a shard publishes the shard's demand to the leader. The leader plans machines for
 * each shard, moves idle machines between shards, scales out and in, and reconciles partitions with
 * the cloud's lists.
 */
#ifndef MV_AUTOSCALER_H
#define MV_AUTOSCALER_H
#include "coordination/membership/shard_grants.h"
#include "coordination/scheduling/scheduler.h"

/**
 * The demand of the other shards, as the leader last reported it to this controller. Times say when
 * the leader last reported the demand; 0: never.
 */
typedef struct {
    double idle_machines_needed_at; /**< another shard needed idle machines */
    double starving_at;             /**< another shard needed machines for a starving job */
    double service_types_needed_at; /**< another shard needed machines for replicas */
    uint32_t service_types; /**< types that the replicas of other shards need; one bit each */
} mv_received_peer_demand;

/** Progress of reading the cloud's machine list, which arrives page by page. */
typedef struct {
    uint64_t action_id;    /**< id of the page request in flight; 0: none */
    double requested_at;   /**< when the first page was requested; 0: never */
    GHashTable *names;     /**< machine names received so far; NULL: no list was requested yet */
    mv_fleet_listing last; /**< summary of the last complete list */
} mv_machine_listing;

/** The leader's request that returns machines to the cloud. */
typedef struct {
    uint64_t action_id; /**< 0: no request in flight */
    double requested_at;
    GPtrArray *machines; /**< machine names (char *) in the last request; NULL: no request yet */
} mv_scale_in_request;

/**
 * The state of this module; times are seconds of the monotonic clock. The demand of each shard is
 * stored in mv_shard, and the catalog of machine types in mv_context.
 */
typedef struct {
    mv_context *context;
    mv_job_table *jobs;
    mv_agents *agents;
    mv_membership *membership;
    mv_scheduler *scheduler;
    mv_received_peer_demand peer_demand;
    double planned_at;
    GPtrArray *requests;    /**< mv_instance_request: in flight, or waiting for a retry */
    unsigned request_count; /**< counter that makes the names of this leader's requests unique */
    GHashTable *refused_offers; /**< "type/zone/kind" -> when the back-off after a refusal ends */
    mv_machine_listing listing;
    mv_scale_in_request scale_in;
    GHashTable *unknown_probes; /**< machine name -> mv_unknown_probe */
} mv_autoscaler;

/**
 * Initializes `autoscaler` without requests, lists or probes. The other modules are borrowed and
 * must outlive the autoscaler. The caller frees the autoscaler's contents with mv_autoscaler_clear.
 */
void mv_autoscaler_init(mv_autoscaler *autoscaler, mv_context *context, mv_job_table *jobs,
                        mv_agents *agents, mv_membership *membership, mv_scheduler *scheduler);
/** Frees the requests, lists and probes, but not `autoscaler` itself. */
void mv_autoscaler_clear(mv_autoscaler *autoscaler);
#endif
