/**
 * Bin packing: the capacity of each shard's machines, present or expected, and the tasks that fit
 * into that capacity.
 */
#ifndef MV_CAPACITY_BINS_H
#define MV_CAPACITY_BINS_H
#include "coordination/autoscaling/autoscaler.h"

/** A machine that runs, boots, is requested from the cloud, or is about to join a partition. */
typedef struct {
    double cores, gpus, ram_gb; /**< free resources: neither in use nor packed with a task */
    double service_cores, service_ram_gb; /**< resources in use by replicas */
    int type_index;
    const char *zone_name; /**< owned by the machine, partition member, request or catalog */
    bool spot;
    const mv_shard *shard;
} mv_capacity_bin;

/**
 * Returns a bin (mv_capacity_bin) for each machine of each shard, also for requested and joining
 * machines. The caller owns the array.
 */
GArray *mv_capacity_bins_collect(const mv_autoscaler *autoscaler);
/** Adds a bin for an empty machine of a type; adds none if `type_index` is negative. */
void mv_capacity_bins_add(GArray *bins, const mv_machine_catalog *catalog, int type_index,
                          const char *zone_name, bool spot, const mv_shard *shard);
/**
 * Packs up to `count` of the demanded tasks into bins of the shard, and subtracts their resources
 * from the bins. Returns the number of tasks that did not fit.
 */
unsigned mv_capacity_bins_pack(GArray *bins, const mv_resource_demand *demand,
                               const mv_shard *shard, unsigned count);
/**
 * Returns whether such a task would fit on some machine of the shard after all tasks there except
 * replicas have ended.
 */
bool mv_capacity_bins_could_take(const GArray *bins, const mv_machine_catalog *catalog,
                                 const mv_resource_demand *demand, const mv_shard *shard);
/**
 * Returns how many slots the shard's machines lack for a reserve. Batch tasks do not reduce the
 * slots of a machine, because batch tasks may be stopped; replicas reduce the slots.
 */
unsigned mv_capacity_bins_missing_slots(const GArray *bins, const mv_machine_catalog *catalog,
                                        const mv_resource_demand *reserve, const mv_shard *shard);
/** Returns the cores of all bins, in use or free. */
double mv_capacity_bins_total_cores(const GArray *bins, const mv_machine_catalog *catalog);
#endif
