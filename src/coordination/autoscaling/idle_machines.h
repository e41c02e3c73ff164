/**
 * How the owner of a shard handles machines that the shard's own work does not need. The owner
 * returns idle machines to the cloud, or makes them available to other shards.
 *
 * If the leader reports that other shards need idle machines, the owner declares some of its own
 * machines transferable, and from that moment places no tasks on these machines. The declaration
 * names the revision of the occupancy record of the machine's segment. The leader's transfer is a
 * compare-and-swap that requires this revision. To withdraw the declaration, the owner writes the
 * occupancy record again, which changes the revision. Therefore a transfer that is executed late
 * fails instead of moving a machine that has tasks again.
 */
#ifndef MV_IDLE_MACHINES_H
#define MV_IDLE_MACHINES_H
#include "coordination/autoscaling/autoscaler.h"

/** Marks machines of the shard for release to the cloud if they have been idle for long enough. */
void mv_idle_machines_release(mv_autoscaler *autoscaler, mv_shard *shard);
/** Declares idle machines of the shard transferable, or withdraws the declaration. */
void mv_idle_machines_update_transferable(mv_autoscaler *autoscaler, mv_shard *shard);
/**
 * Evicts batch work from a machine that services of other shards need. The owner evicts only if the
 * services have no machine and the cloud offers none, while batch work of this shard runs on a
 * machine of a suitable type. The owner evicts from one machine at a time, namely the machine where
 * the least work is lost, and only if the shard's own services keep their reserve.
 */
void mv_idle_machines_evict_for_services(mv_autoscaler *autoscaler, mv_shard *shard);
#endif
