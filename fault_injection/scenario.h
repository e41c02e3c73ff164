/**
 * The scenario of a fault injection run, with the fields of its YAML file. The module has no side
 * effects except that mv_scenario_load reads the file.
 */
#ifndef MV_SCENARIO_H
#define MV_SCENARIO_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The kinds of targets into which a fault is injected. */
typedef enum {
    MV_FAULT_STATE_LINK,     /**< the link from a controller to the state service */
    MV_FAULT_PEER_LINKS,     /**< the links from a controller to all other controllers */
    MV_FAULT_HEARTBEAT_LINK, /**< the link from the machines to a controller */
    MV_FAULT_COMMAND_LINK,   /**< the link on which commands reach a machine */
    MV_FAULT_CONTROLLER, /**< a controller: killed when the fault begins, restarted at its end */
    MV_FAULT_LEADER,     /**< the same, for the controller that leads when the fault begins */
    MV_FAULT_OWNER,      /**< the same, for the owner of the first shard */
    MV_FAULT_PAUSE,      /**< a controller's process: stopped, and continued at the fault's end */
    MV_FAULT_ALL_STATE_LINKS,    /**< the links from all controllers to the state service */
    MV_FAULT_WATCHES,            /**< the watches of all controllers: they get no answer */
    MV_FAULT_LATE_TRANSACTIONS,  /**< transactions: applied after their sender has given up */
    MV_FAULT_CLOUD,              /**< the cloud: refuses every request */
    MV_FAULT_MACHINE,            /**< a machine: hangs, and continues at the fault's end */
    MV_FAULT_MACHINE_HEARTBEATS, /**< the link on which a machine sends its heartbeats */
    MV_FAULT_COMMAND_COPIES,     /**< a machine: gets copies of commands that it executed before */
    MV_FAULT_TARGETS             /**< the number of targets */
} mv_fault_target;

/** The ways in which a link fails. The client is the process that opens the connection. */
typedef enum {
    MV_FAULT_DROP_BOTH,      /**< the link drops the data of both directions */
    MV_FAULT_DROP_REQUESTS,  /**< the link drops only the data that the client sends */
    MV_FAULT_DROP_RESPONSES, /**< the link drops only the data sent to the client */
    MV_FAULT_REFUSE,         /**< the link refuses new connections */
    MV_FAULT_DELAY,          /**< the link delivers all data after a delay */
    MV_FAULT_MODES           /**< the number of modes */
} mv_fault_mode;

/** A series of faults of one kind. The faults begin one after another and may overlap. */
typedef struct {
    mv_fault_target target;
    mv_fault_mode mode;
    unsigned interval_ms; /**< mean time between the begins of two faults; varies by up to half */
    unsigned min_ms;      /**< shortest duration of a fault */
    unsigned max_ms;      /**< longest duration of a fault */
    unsigned delay_ms;    /**< delay in each direction, for MV_FAULT_DELAY */
} mv_scenario_fault;

/** A scenario: the size of the cluster, the jobs that users submit, and the faults. */
typedef struct {
    unsigned controllers, machines;
    unsigned seconds;         /**< duration of faults and submissions; then every job has to end */
    unsigned launch_gate;     /**< 1: the controllers run with the setting `launch_gate: true` */
    unsigned jobs;            /**< number of jobs that users submit within `seconds` */
    unsigned max_tasks;       /**< largest number of tasks of a job */
    unsigned run_ms;          /**< runtime of each task */
    unsigned cancel_percent;  /**< percentage of the jobs that users cancel */
    unsigned fetch_ms;        /**< time in which a machine fetches the image of a task */
    unsigned cancel_s;        /**< settings.workers.cancel_s of the controllers */
    unsigned team_cores;      /**< limit of the users' team */
    unsigned shards;          /**< operator setting of the same name; 0: its default */
    unsigned repeat_requests; /**< 1: users repeat their requests at all controllers once a job has
                                 a final state */
    mv_scenario_fault *faults;
    unsigned fault_count;
} mv_scenario;

/** Reasons why a scenario cannot be loaded. The error message names the file and the field. */
typedef enum {
    MV_SCENARIO_ERROR_FILE,  /**< the file is unreadable or violates the schema; the message has
                                the line number if libcyaml gives one */
    MV_SCENARIO_ERROR_RANGE, /**< a number in the file is outside the allowed range */
} mv_scenario_error;

/** The GError domain of the errors that mv_scenario_load sets. */
#define MV_SCENARIO_ERROR (mv_scenario_error_quark())

/** Returns the quark of MV_SCENARIO_ERROR. */
GQuark mv_scenario_error_quark(void);

/** Returns the longest time, in seconds, for which a machine of the scenario hangs; 0: none hangs.
 */
double mv_scenario_max_hang_s(const mv_scenario *scenario);

/** Loads a scenario from a YAML file. The caller frees the scenario with mv_scenario_free. Returns
 * NULL and sets `error` if the file cannot be loaded. */
mv_scenario *mv_scenario_load(const char *path, GError **error);

/** Frees a scenario that mv_scenario_load returned. */
void mv_scenario_free(mv_scenario *scenario);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(mv_scenario, mv_scenario_free)

/** Returns the name of a target in scenario files and scripts, as a static string. */
const char *mv_fault_target_name(mv_fault_target target);

/** Returns the name of a mode in scenario files and scripts, as a static string. */
const char *mv_fault_mode_name(mv_fault_mode mode);
#endif
