/**
 * Functions that read the state of a controller which its public header does not show.
 *
 * The simulation and the fixture access the controller's structs only through this header, so a
 * change of these structs changes only controller_probe.c. The caller passes a controller that has
 * not been freed. As with the controller itself, only one thread at a time may call the functions.
 * Only probe_emulate_format_1() changes what a controller decides.
 */
#ifndef MV_CONTROLLER_PROBE_H
#define MV_CONTROLLER_PROBE_H
#include "coordination/controller.h"

/** The result of probe_machine_shard() for a machine that no partition names. */
#define PROBE_NO_SHARD (-1)

/** Returns whether the state cache holds the first complete list of records. */
bool probe_cache_is_loaded(const mv_controller *controller);

/**
 * Returns the keys of all records in the state cache.
 *
 * @return a list in the order of the hash table. The caller frees the list with g_list_free(). The
 *         controller owns the keys; a key is valid until the controller removes its record.
 */
GList *probe_cached_keys(const mv_controller *controller);

/** Returns the term of the current leader's lease according to this controller's state cache; 0 if
 * the controller knows no leader. */
uint64_t probe_leader_term(const mv_controller *controller);

/** Returns the node name in the lease of a shard, which must exist; "" if no node holds the lease.
 * The controller owns the string, which is valid until the controller's next event. */
const char *probe_shard_owner(const mv_controller *controller, unsigned shard);

/** Returns the shard whose partition names the machine, or PROBE_NO_SHARD if this controller knows
 * of no such shard. */
int probe_machine_shard(const mv_controller *controller, const char *machine_id);

/** Returns whether this controller knows that the task is completed, even if the completion is not
 * recorded yet. Returns false if the controller does not know the job. `task` must be below the
 * job's number of tasks. */
bool probe_task_is_completed(const mv_controller *controller, const char *job_id, uint32_t task);

/** Sets whether a new controller behaves as the release before services, which used record
 * format 1. */
void probe_emulate_format_1(mv_controller *controller, bool emulate);
#endif
