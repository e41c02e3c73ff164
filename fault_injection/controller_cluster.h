/**
 * A cluster of controllers that run as real processes on loopback. The module writes their settings
 * files, and starts and kills the processes.
 *
 * The functions are not thread-safe. Ports and addresses do not change after mv_cluster_new, so any
 * thread may read them.
 */
#ifndef MV_CONTROLLER_CLUSTER_H
#define MV_CONTROLLER_CLUSTER_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** One controller process. The settings name the controllers n0, n1 and so on. */
typedef struct {
    pid_t pid;            /**< process id; 0: the controller does not run */
    uint16_t listen_port; /**< port for users and machines */
    uint16_t peer_port;   /**< port for the other controllers */
    char address[40];     /**< "host:port" at which users reach the controller */
    char *config, *log;   /**< paths of the settings file and of the log file; owned */
} mv_controller_process;

/** Limit of the team "red", in cores, unless the options name another one. */
#define MV_CLUSTER_TEAM_CORES 40.0

/** The options that all controllers share. The caller keeps the strings, which must outlive the
 * cluster. */
typedef struct {
    const char *program;       /**< path of the service's executable */
    const char *directory;     /**< directory of the settings files and logs */
    const char *operator_file; /**< path of the operator settings; NULL: none */
    /** Values of report_s, lease_s, cancel_s and settings.state.rps in the settings files. */
    double report_s, lease_s, cancel_s, state_rps;
    double team_cores; /**< limit of the team "red"; 0: MV_CLUSTER_TEAM_CORES */
} mv_cluster_options;

/** The cluster: the shared options and all controller processes. */
typedef struct {
    mv_cluster_options options;
    mv_controller_process *nodes;
    unsigned count;
} mv_controller_cluster;

/** Chooses ports and file names for `count` controllers without starting them. The caller frees the
 * cluster with mv_cluster_free. */
mv_controller_cluster *mv_cluster_new(const mv_cluster_options *options, unsigned count);

/** Kills all running controllers and frees the cluster. Unless `keep_files` is set, the function
 * also removes the settings files and logs. */
void mv_cluster_free(mv_controller_cluster *cluster, bool keep_files);

/** Writes the settings file of one controller. `state_port`, `cloud_port` and `peer_ports` (indexed
 * by controller) are the ports through which this controller reaches the state service, the cloud
 * and the other controllers. Returns false if the file cannot be written. */
bool mv_cluster_configure(const mv_controller_cluster *cluster, unsigned index, uint16_t state_port,
                          uint16_t cloud_port, const uint16_t *peer_ports);

/** Starts a controller that does not run. Returns false if the process cannot be started. */
bool mv_cluster_start_node(mv_controller_cluster *cluster, unsigned index);

/** Stops the process of a controller, or continues it. The function does nothing if the controller
 * does not run. */
void mv_cluster_set_paused(const mv_controller_cluster *cluster, unsigned index, bool paused);

/** Returns whether the process of a controller that was started has ended by itself since. A
 * controller for which the function returns true does not run any more. */
bool mv_cluster_has_ended(mv_controller_cluster *cluster, unsigned index);

/** Kills a controller with SIGKILL, so that the controller cannot shut down cleanly, and waits
 * until the process has ended. The function does nothing if the controller does not run. */
void mv_cluster_kill_node(mv_controller_cluster *cluster, unsigned index);
#endif
