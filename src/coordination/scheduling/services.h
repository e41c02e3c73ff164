/**
 * Services: moves replicas off machines that are about to be lost, and reserves capacity for
 * replicas.
 *
 * A replica has to start within seconds, while a new machine takes longer to boot. The owner of a
 * shard therefore reserves slots for one more service of the size of the shard's largest service,
 * or for all replicas of the machine that runs the most, whichever needs more slots. Batch work may
 * use these slots until replicas need them, so the reserve costs almost nothing.
 */
#ifndef MV_SERVICES_H
#define MV_SERVICES_H
#include "coordination/scheduling/scheduler.h"

/**
 * Moves the replicas of a machine that the cloud is about to reclaim, or that is quarantined as a
 * straggler, as soon as another machine has room. A target machine is nominated before the replica
 * is stopped, so the replica is missing for no longer than one start takes. Replicas are never
 * moved for a better distribution alone.
 */
void mv_services_move_replicas(mv_scheduler *scheduler, mv_machine *machine);
/** Computes the reserve that a shard should have and the number of slots that the shard has. */
void mv_services_update_reserve(mv_scheduler *scheduler, mv_shard *shard);
/**
 * Returns the number of slots of the shard's reserve that a machine has, counting slots that become
 * free when batch work on the machine is stopped.
 */
unsigned mv_services_reserve_slots_on(const mv_context *context, const mv_shard *shard,
                                      const mv_machine *machine);
/** Returns whether a shard's reserve stays complete without this number of its slots. */
bool mv_services_can_release_slots(const mv_shard *shard, unsigned slots);
/**
 * Returns whether a shard's reserve stays complete without a machine. If it does, the slots of the
 * machine are subtracted from the slots that the shard has.
 */
bool mv_services_release_machine(const mv_context *context, mv_shard *shard,
                                 const mv_machine *machine);
#endif
