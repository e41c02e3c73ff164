/**
 * A simulated machine: a fake worker, the HTTP server that receives the worker's commands, the
 * relay through which controllers reach that server, and the thread that sends the worker's
 * heartbeats to the controllers.
 *
 * Each machine has one lock, which guards the worker and the copy of the tasks that the history
 * already contains. The machine's thread runs from mv_simulated_machine_start to
 * mv_simulated_machine_free.
 */
#ifndef MV_SIMULATED_MACHINE_H
#define MV_SIMULATED_MACHINE_H
#include "completed_tasks.h"
#include "history.h"
#include "relay.h"

#define MV_CONTROLLERS_MAX 16
/** Cores of each task. */
#define MV_SIMULATED_TASK_CORES 2
#define MV_CONTROLLER_ADDRESS_SIZE 40

/** The options that all machines share. They must not change while a machine exists. */
typedef struct {
    double run_s;          /**< runtime of each task */
    double fetch_s;        /**< time in which a machine fetches the image of a task */
    double lease_s;        /**< lease of a machine; the machine drops its tasks on expiry */
    unsigned heartbeat_ms; /**< pause between two heartbeats of a machine */
    mv_history *history;   /**< receives the machine's events; NULL: they are not recorded */
    mv_completed_tasks *completed; /**< the tasks that any machine has completed */
    /** Addresses of the controllers n0, n1 and so on, "host:port". */
    char controllers[MV_CONTROLLERS_MAX][MV_CONTROLLER_ADDRESS_SIZE];
    unsigned controller_count;
} mv_machine_options;

typedef struct mv_simulated_machine mv_simulated_machine;

/** Starts a machine and aborts if its server, relay or thread cannot be started. The caller keeps
 * `options`, which must outlive the machine, and frees the machine with
 * mv_simulated_machine_free. */
mv_simulated_machine *mv_simulated_machine_start(const mv_machine_options *options, const char *id,
                                                 const char *type_name, bool spot);

/** Sets the fault of the link on which commands reach the machine. Thread-safe. */
void mv_simulated_machine_set_command_link(mv_simulated_machine *machine,
                                           const mv_link_fault *fault);

/** Lets the machine hang, or continue. A machine that hangs sends nothing, executes nothing and
 * answers no command; the commands that it received meanwhile are executed when it continues.
 * Thread-safe. */
void mv_simulated_machine_set_hung(mv_simulated_machine *machine, bool hung);

/** Sets whether the machine's heartbeats are lost. Commands still reach the machine. Thread-safe.
 */
void mv_simulated_machine_set_heartbeats_lost(mv_simulated_machine *machine, bool lost);

/** Sets whether copies of executed direct commands arrive late. When the fault begins, a copy of
 * each arrives; as long as it lasts, a copy arrives right after the machine has forgotten an
 * attempt that the command launched. A machine that hangs gets them when it continues.
 * Thread-safe. */
void mv_simulated_machine_set_repeats_commands(mv_simulated_machine *machine, bool repeats);

/** Ends the machine for good, with its tasks: the cloud has taken it away. Thread-safe. */
void mv_simulated_machine_delete(mv_simulated_machine *machine);

/** Returns the machine's id, which the machine owns. */
const char *mv_simulated_machine_id(const mv_simulated_machine *machine);

/** Asks the machine's thread to end and returns without waiting for it, so that many machines can
 * end at the same time. */
void mv_simulated_machine_request_stop(mv_simulated_machine *machine);

/** Asks the machine's thread to end if that was not requested yet, waits for the thread, and frees
 * the machine. */
void mv_simulated_machine_free(mv_simulated_machine *machine);
#endif
