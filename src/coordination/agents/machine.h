/** Queries about a machine, and small changes to its state. */
#ifndef MV_MACHINE_H
#define MV_MACHINE_H
#include "coordination/agents/agents.h"

/**
 * Returns the term under which the present owner holds the machine: the higher of its shard's term
 * and its own term as a member; 0: the machine is in no shard. A machine that has seen this term or
 * a higher token rejects the commands of all earlier owners.
 */
uint64_t mv_machine_term(const mv_machine *machine);
/**
 * Returns the fencing token of messages to the machine: its term, or the token to which the owner
 * has raised it since; 0: the machine is in no shard.
 */
uint64_t mv_machine_fencing_token(const mv_machine *machine);
/**
 * Returns the machine's type, owned by the catalog; NULL: not known. Caches the type's index in the
 * machine.
 */
const mv_machine_type *mv_machine_type_of(const mv_context *context, const mv_machine *machine);
/** Returns the price of one core of the machine for an hour; 0 while its type is not known. */
double mv_machine_price_per_core(const mv_context *context, const mv_machine *machine);

/**
 * Returns whether an earlier owner recorded that the machine may hold tasks and no heartbeat under
 * the current fencing token has shown yet which tasks these are.
 */
bool mv_machine_may_hold_tasks(const mv_machine *machine);
/**
 * Returns whether no heartbeat of the machine has been answered lately, although the machine may
 * still answer commands. A command does not renew the agent's lease, so the lease expires, and new
 * tasks on the machine would be lost with it.
 */
bool mv_machine_controller_unreachable(const mv_context *context, const mv_machine *machine);
/**
 * Returns whether commands do not reach the machine although its heartbeats arrive, which can
 * happen in an asymmetric network partition. If most machines of the shard are in this state, this
 * controller's own link is the more likely cause, so the timeout is longer.
 */
bool mv_machine_commands_unreachable(const mv_context *context, const mv_machine *machine);
/**
 * Records that a command reached the machine, because the agent answered the command or a heartbeat
 * shows its effect.
 */
void mv_machine_command_delivered(mv_machine *machine);
/** Returns whether new tasks may be placed on the machine. */
bool mv_machine_is_schedulable(const mv_context *context, const mv_machine *machine);
/** Returns whether tasks run notably slower on the machine than tasks of the same jobs elsewhere.
 */
bool mv_machine_is_slow(const mv_machine *machine);

/** Adds the placement's resources, multiplied by `factor`. */
void mv_resources_add_placement(mv_resources *resources, const mv_placement *placement,
                                double factor);
/** Returns the machine's free resources; negative or 0 while the machine's type is not known. */
mv_resources mv_machine_available(const mv_context *context, const mv_machine *machine);
/**
 * Returns the resources that are free after all stopping placements have ended, without those that
 * are nominated in this round.
 */
mv_resources mv_machine_future_available(const mv_context *context, const mv_machine *machine);
/** Returns the resources of the machine's replicas, which do not become free by themselves. */
mv_resources mv_machine_service_resources(const mv_machine *machine);
/** Returns the number of replicas on the machine, of all services. */
unsigned mv_machine_replica_count(const mv_machine *machine);
/**
 * Reserves resources on the machine, within the scheduling round, for one task of the job for which
 * room is being made on the machine.
 */
void mv_machine_nominate(mv_agents *agents, mv_machine *machine, const mv_job *job);
/**
 * Clears all nominations, of machines and of teams. Nominations hold within one scheduling round;
 * the next round nominates again for tasks that are still pending.
 */
void mv_machines_clear_nominations(mv_agents *agents);

/** Returns whether the image is in the machine's cache, as far as this controller knows. */
bool mv_machine_has_image(const mv_machine *machine, unsigned image);
/**
 * Records the job's image as the most recently used one in the machine's cache, and evicts the
 * least recently used images while the cache of the machine's type is too small. Call it when a
 * task of the job was seen running, which proves that the image is cached: heartbeats do not list
 * images.
 */
void mv_machine_touch_image(const mv_context *context, mv_machine *machine, const mv_job *job);

/** Requests a direct command to the machine and puts the machine into the command queue. */
void mv_machine_request_command(mv_agents *agents, mv_machine *machine);
/** Forgets the command in flight to the machine, if any; a later answer to it is ignored. */
void mv_machine_forget_command(mv_agents *agents, mv_machine *machine);
/** Records that a task of the job failed on the machine; the job's next retry waits for a back-off.
 */
void mv_machine_record_failure(const mv_agents *agents, mv_machine *machine, mv_job *job);
/**
 * Updates the machine's slowdown from the run time, in seconds, of a task that completed on it, if
 * the job has enough completed tasks to compare with.
 */
void mv_machine_observe_runtime(mv_machine *machine, const mv_job *job, double runtime_s);
#endif
