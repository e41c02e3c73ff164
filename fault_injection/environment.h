/**
 * The environment of the controllers on loopback: the fake state service, the fake cloud, and the
 * machines that the cloud starts. All follow the published protocols.
 *
 * The functions are thread-safe, except that the caller must call mv_environment_set_controllers
 * before any controller runs, and mv_environment_stop last. The environment has the threads of the
 * two servers and one thread for each machine; mv_environment_stop ends all of them.
 */
#ifndef MV_ENVIRONMENT_H
#define MV_ENVIRONMENT_H
#include "fake_cloud.h"
#include "fake_state_store.h"
#include "fake_worker.h"
#include "history.h"
#include "relay.h"

typedef struct mv_environment mv_environment;

/** The options of the fake systems. */
typedef struct {
    unsigned machines;     /**< number of machines that the cloud can provide */
    double run_s;          /**< runtime of each task */
    double fetch_s;        /**< time in which a machine fetches the image of a task */
    double lease_s;        /**< lease of a machine */
    unsigned heartbeat_ms; /**< pause between two heartbeats of a machine */
    bool deletes_machines; /**< the cloud deletes machines on request; false: it keeps them */
    unsigned refuse_every; /**< the state service refuses every n-th transaction; 0: none */
    mv_history *history;   /**< not owned, must outlive the environment; NULL: no recording */
} mv_environment_options;

/** Starts the servers and aborts if one cannot be started. The caller ends the environment with
 * mv_environment_stop. */
mv_environment *mv_environment_start(const mv_environment_options *options);

/** Stops the cloud with its machines, then the state service, and frees the environment. */
void mv_environment_stop(mv_environment *environment);

/** Returns the port of the fake state service. */
uint16_t mv_environment_state_port(const mv_environment *environment);

/** Returns the port of the fake cloud. */
uint16_t mv_environment_cloud_port(const mv_environment *environment);

/** Sets the ports of the controllers n0, n1 and so on, to which machines send heartbeats. `count`
 * is at most MV_CONTROLLERS_MAX. The caller must call the function before any machine starts. */
void mv_environment_set_controllers(mv_environment *environment, const uint16_t *ports,
                                    unsigned count);

/** Begins or ends an outage of the cloud. During an outage, the cloud responds to every request
 * with an error. */
void mv_environment_set_cloud_down(mv_environment *environment, bool down);

/** Returns the number of transactions that the state service refused as above the rate limit. */
unsigned mv_environment_refused_transactions(mv_environment *environment);

/** Sets the fault of the link on which commands reach a machine. `machine` is the machine's number,
 * counted from 0; if no such machine was started, the function does nothing. */
void mv_environment_set_command_link(mv_environment *environment, unsigned machine,
                                     const mv_link_fault *fault);

/** Lets a machine hang or continue. `machine` is as in mv_environment_set_command_link. */
void mv_environment_set_hung(mv_environment *environment, unsigned machine, bool hung);

/** Sets whether the heartbeats of a machine are lost. `machine` is as in
 * mv_environment_set_command_link. */
void mv_environment_set_heartbeats_lost(mv_environment *environment, unsigned machine, bool lost);

/** Sets whether copies of a machine's executed commands arrive late, as
 * mv_simulated_machine_set_repeats_commands describes. */
void mv_environment_set_repeats_commands(mv_environment *environment, unsigned machine,
                                         bool repeats);

/** Holds the watches of all controllers at the state service, or lets them go. */
void mv_environment_hold_watches(mv_environment *environment, bool held);

/** Lets the state service apply transactions after their senders have given up. */
void mv_environment_delay_transactions(mv_environment *environment, bool late);

/** Returns the number of the controller that a lease record names, such as the leader's record or
 * the record of a shard, or `fallback` if there is no such record. */
unsigned mv_environment_lease_holder(mv_environment *environment, const char *key,
                                     unsigned fallback);

/** Locks the fake state service and returns its store. Only the caller may use the store until
 * mv_environment_unlock. */
fake_state_store *mv_environment_lock(mv_environment *environment);

/** Releases the lock that mv_environment_lock took. */
void mv_environment_unlock(mv_environment *environment);
#endif
