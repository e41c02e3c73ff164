/**
 * Faults that recur at random times drawn from the seed. Each function injects one fault at the
 * current time and draws its duration.
 *
 * Only sim_faults*.c include this header. The table in sim_faults.c decides whether and how often a
 * fault occurs.
 */
#ifndef MV_SIM_FAULTS_H
#define MV_SIM_FAULTS_H
#include "sim_internal.h"

/* --- sim_faults_processes.c: processes of controllers --- */

/** Ends the process of a random controller. */
void sim_crash_node(sim *simulation);
/** Ends the processes of all controllers. The time until the restart is drawn for each controller.
 */
void sim_crash_all_nodes(sim *simulation);
/** Ends the leader's process, if there is a leader. If the plan asks for it, users cancel jobs in
 * the following seconds. */
void sim_crash_leader(sim *simulation);
/** Ends one controller or all controllers; each restarts within a fraction of a second. */
void sim_quick_restart_nodes(sim *simulation);
/** Returns the seconds until the next quick restart. The interval is often too short for an
 * election to complete. */
double sim_quick_restart_interval(sim *simulation);
/** Pauses the process of a random controller for a time that can exceed the controller's leases. */
void sim_freeze_node(sim *simulation);
/** Makes a random controller list all records again, as if the state store's log no longer held the
 * changes that the controller needs. */
void sim_relist_node(sim *simulation);
/** Event handler: the controller whose index is in `data` (GUINT_TO_POINTER) ends and restarts as
 * the new release. */
void sim_upgrade_node(sim *simulation, gpointer data);

/* --- sim_faults_links.c: links of controllers --- */

/** Cuts both directions between a random controller and the state store. */
void sim_cut_node_from_state(sim *simulation);
/** Cuts both directions between a random controller and its machines. */
void sim_cut_node_from_workers(sim *simulation);
/** Cuts all links between controllers. */
void sim_cut_all_peers(sim *simulation);
/** Cuts a random controller off from the state store and its peers, but not from its workers. */
void sim_isolate_node(sim *simulation);
/** Breaks and heals the link of a random controller to the state store repeatedly, within seconds
 * each time. */
void sim_flap_link(sim *simulation);
/** Makes a random controller lose the responses of the state store, which still executes the
 * controller's requests. */
void sim_lose_state_responses(sim *simulation);
/** Makes the watches of a random controller get no response; its other requests still do. */
void sim_lose_watches(sim *simulation);
/** Makes a random controller lose all messages to its peers; messages from its peers still arrive.
 */
void sim_cut_outgoing_peers(sim *simulation);
/** Cuts off a zone: half of the machines and a random controller reach only each other. */
void sim_cut_zone(sim *simulation);
/** Schedules the cuts that the plan lists with fixed links and times; these cuts are not random. */
void sim_schedule_cuts(sim *simulation);

/* --- sim_faults_machines.c: machines --- */

/** Ends a random machine for good. */
void sim_crash_machine(sim *simulation);
/** Makes the cloud take back each spot machine with a probability of one third, at once and without
 * notice. */
void sim_reclaim_wave(sim *simulation);
/** Makes the cloud announce when it will take a random spot machine back, and take the machine back
 * at that time. */
void sim_reclaim_with_notice(sim *simulation);
/** Cuts a random machine off from all controllers; its tasks keep running. */
void sim_partition_machine(sim *simulation);
/** Blocks the commands and responses to a random machine, for a while or for good; the machine's
 * heartbeats still arrive. */
void sim_block_commands(sim *simulation);
/** Blocks the heartbeats of a random machine; commands still reach the machine. */
void sim_block_heartbeats(sim *simulation);
/** Pauses a random machine for a while. Afterwards the machine continues its tasks, but the time of
 * the pause counts toward its lease. */
void sim_hang_machine(sim *simulation);
/** Restarts a random machine at once; the machine loses its tasks. */
void sim_quick_restart_machine(sim *simulation);
/** Restarts a random machine without its tasks; agent epoch, sequence and token go on. */
void sim_restart_machine_in_epoch(sim *simulation);
/** Restarts a random machine without its tasks; agent epoch, sequence and token begin anew. */
void sim_restart_machine_anew(sim *simulation);
#endif
