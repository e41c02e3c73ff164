/**
 * The messages that the owner of a shard and the leader exchange. The owner sends the demand of
 * pending tasks and the state of the shard's machines, and the leader responds with the demand of
 * the other shards. The types are plain data; src/server/peer_codec.c encodes them.
 */
#ifndef MV_SHARD_DEMAND_H
#define MV_SHARD_DEMAND_H
#include "constants.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Demand of pending tasks that need the same machines. */
typedef struct {
    double cores, gpus, ram_gb, runtime_s;
    double image_gb;    /**< in a reserve: size of the image that a replica would fetch */
    uint32_t type_mask; /**< machine types that can run the tasks, one bit for each type */
    char zone_name[MV_NAME_SIZE];
    bool spot, urgent;
    bool reserve;  /**< the demand is for capacity that services would need after the loss of a
                      machine; no task is pending */
    bool service;  /**< the demand is for pending replicas, or a reserve for replicas */
    bool starving; /**< none of the job's tasks has been placed for a long time */
    unsigned count;
} mv_resource_demand;

/** The state of a machine as the shard's owner knows the machine. */
typedef struct {
    char id[MV_NAME_SIZE];
    double idle_s, since_heartbeat_s, used_cores, used_ram_gb;
    double service_cores;  /**< part of used_cores that replicas use, which do not end */
    double service_ram_gb; /**< part of used_ram_gb that replicas use */
    bool needs_fencing, release_pending, failed, departing;
    uint64_t transferable_revision; /**< the machine is idle and may be moved to another shard while
                                       the occupancy record has this revision; 0: not movable */
    bool has_booted; /**< the machine sent a heartbeat, or an earlier owner used the machine */
    bool recently_reported;    /**< this owner received a heartbeat of the machine recently */
    bool evicted_for_services; /**< the machine was emptied for services of other shards, and may be
                                  used for nothing else */
} mv_machine_summary;

/** The message that the owner of a shard publishes to the leader. */
typedef struct {
    char node[MV_NAME_SIZE];
    uint64_t incarnation, term;
    unsigned shard;
    bool resigning;   /**< the owner reaches none of the machines, but another controller may */
    GArray *demands;  /**< mv_resource_demand */
    GArray *machines; /**< mv_machine_summary */
} mv_shard_demand;

/** The response of the leader: the demand of the other shards. */
typedef struct {
    bool idle_machines_needed; /**< other shards need idle machines */
    bool starving;             /**< other shards need machines for starving jobs, so the owner keeps
                                  no idle machine back */
    uint32_t service_types;    /**< machine types that other shards need for replicas and the cloud
                                  cannot provide, one bit for each type */
} mv_peer_demand;

/** Frees the demand and its lists; NULL is allowed. */
void mv_shard_demand_free(mv_shard_demand *demand);
/** Returns how many of the demanded tasks fit into these resources. */
unsigned mv_demand_slots(const mv_resource_demand *demand, double cores, double gpus,
                         double ram_gb);
#endif
