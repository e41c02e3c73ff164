/**
 * Adoption of machines that are in no shard's partition. Such a machine was started by a request
 * whose response came late, or by a leader that died before it could record the machine.
 */
#ifndef MV_ADOPTION_H
#define MV_ADOPTION_H
#include "coordination/autoscaling/autoscaler.h"

/** A probe: an empty command that shows whether a machine in no partition exists. */
typedef struct {
    mv_partition_member member;
    uint64_t command_id;
    double sent_at;
} mv_unknown_probe;

/** Returns whether a partition names the machine, or is to be written with its name. */
bool mv_adoption_is_member(const mv_autoscaler *autoscaler, const char *machine);
/**
 * Adds a machine to the shard with the fewest machines. Does nothing if the machine already belongs
 * to a shard, or if the leader recently returned it to the cloud. Copies `member`.
 */
void mv_adoption_adopt(mv_autoscaler *autoscaler, const mv_partition_member *member);
/**
 * Handles a heartbeat that the leader received from a machine in no partition. The heartbeat may be
 * a delayed copy from a machine that no longer exists, so the leader sends the machine a probe and
 * adopts the machine only after an answer. In the first seconds of the very first leader, adopts
 * the machine without a probe.
 */
void mv_adoption_probe(mv_autoscaler *autoscaler, const mv_heartbeat *heartbeat);
/** Returns whether the command with this id is a probe in flight. */
bool mv_adoption_is_probe(const mv_autoscaler *autoscaler, uint64_t command_id);
/**
 * Ends the probe with this command id, and adopts the machine if this controller is the leader and
 * the machine answered with `heartbeat`. `heartbeat` is NULL if the command got no answer. Does
 * nothing if the command is not a probe.
 */
void mv_adoption_probe_completed(mv_autoscaler *autoscaler, uint64_t command_id,
                                 const mv_heartbeat *heartbeat);
/** Drops probes that are older than MV_UNKNOWN_PROBE_TTL_S. */
void mv_adoption_expire_probes(mv_autoscaler *autoscaler);
#endif
