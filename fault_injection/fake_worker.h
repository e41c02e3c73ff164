/**
 * A worker: a machine with its agent, which runs tasks, sends heartbeats and executes commands as
 * the published protocol defines. The module also holds the faults of the machine and of its agent.
 *
 * The simulation in tests/ and the simulated machines on loopback share the module. A worker reads
 * no clock: the caller passes the time in seconds of a steady clock. A worker is not thread-safe;
 * its owner must serialize the calls.
 */
#ifndef MV_FAKE_WORKER_H
#define MV_FAKE_WORKER_H
#include "coordination/controller.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The status of a task on a worker. */
typedef enum { FAKE_TASK_RUNNING, FAKE_TASK_EXITED } fake_task_status;

/** A task on a worker. */
typedef struct {
    char job_id[MV_ID_SIZE];
    uint32_t task;
    uint64_t attempt;
    fake_task_status status;
    mv_exit_reason exit_reason;
    double started_at; /**< time of the launch; 0: the worker refused the launch */
    double fetched_at; /**< time at which the worker has the task's image and the task runs */
    double ends_at;    /**< end of the run, or of the saving that a stop command began */
    double cores, ram_gb;
    double save_s;   /**< time that a stopped task needs to save its state; 0: no saving */
    bool saving;     /**< the task saves after a stop command and still counts as running */
    bool never_runs; /**< the task had been completed before its launch, so it only fetches its
                        image */
} fake_task;

/** A worker on one machine. A time is 0 if its event or fault does not occur. */
typedef struct {
    char id[MV_NAME_SIZE], address[64], type_name[MV_NAME_SIZE], zone_name[MV_NAME_SIZE];
    bool spot;
    bool gone; /**< the machine no longer exists */
    bool never_boots;
    double rented_at, booted_at;
    double partitioned_until;        /**< until then, all messages to and from the worker are lost;
                                        the worker keeps running its tasks */
    double commands_blocked_until;   /**< until then, the worker's heartbeats arrive, but responses
                                        and commands to the worker are lost */
    double heartbeats_blocked_from;  /**< begin of the fault that heartbeats_blocked_until ends */
    double heartbeats_blocked_until; /**< until then, the worker's heartbeats are lost, but commands
                                        reach the worker */
    double hung_until; /**< until then, the worker does nothing; afterwards the worker continues */
    double reclaim_at; /**< time at which the cloud reclaims the machine; 0: no reclaim notice */
    uint64_t agent_epoch, sequence, fencing_token;
    double lease_renewed_at; /**< time at which the latest answered heartbeat was sent, or begin
                                of the agent epoch if none was answered since */
    double lease_s;
    GPtrArray *tasks; /**< elements are fake_task */
    GHashTable *images;
    bool changed; /**< the state that the worker reports has changed since its latest heartbeat */
} fake_worker;

/** The properties of a task that a worker needs for the launch. */
typedef struct {
    double cores, ram_gb, run_s, save_s;
    double fetch_s; /**< time that the worker needs to fetch the task's image */
    bool known;     /**< false: the task is unknown, and the worker refuses the launch */
    bool fails;     /**< true: the task exits with an error soon after its start */
    bool completed; /**< true: a worker has completed the task and its result is kept, so the task
                       exits as done as soon as the worker has its image */
} fake_task_spec;

/** Returns the properties of a task that a worker has to launch. */
typedef fake_task_spec (*fake_task_lookup)(void *context, const char *job, uint32_t task);

/** Returns a worker in zone "z" without tasks, which the caller frees with fake_worker_free. */
fake_worker *fake_worker_new(const char *id, const char *type_name, bool spot, double lease_s);

/** Frees a fake_worker and its tasks; usable as a GDestroyNotify. */
void fake_worker_free(gpointer data);

/** Ends the tasks whose run is over at `now`. If the worker's lease has expired, the worker drops
 * all tasks and begins a new agent epoch first. */
void fake_worker_advance(fake_worker *worker, double now);

/** Fills in the worker's next heartbeat, which the caller clears with mv_heartbeat_clear. */
void fake_worker_heartbeat(fake_worker *worker, double now, mv_heartbeat *heartbeat);

/** Executes an array of mv_command, or nothing if `commands` is NULL. The function does not check
 * whether the sender may command the worker. */
void fake_worker_execute(fake_worker *worker, const GArray *commands, double now,
                         fake_task_lookup lookup, void *context);

/** Processes a controller's response to the heartbeat that the worker sent at `sent_at` in
 * `agent_epoch`: renews the lease and executes the commands. Returns false without doing either if
 * the agent epoch is over or the fencing token is stale. */
bool fake_worker_receive_response(fake_worker *worker, uint64_t agent_epoch, double sent_at,
                                  uint64_t fencing_token, const GArray *commands, double now,
                                  fake_task_lookup lookup, void *context);

/** Restarts the machine without downtime. The worker drops all tasks, keeps its fencing token and
 * begins a new agent epoch. */
void fake_worker_restart(fake_worker *worker, double now);

/** Restarts the machine without downtime within the agent epoch. The worker drops all tasks; epoch,
 * sequence and fencing token go on. */
void fake_worker_restart_in_epoch(fake_worker *worker);

/** Restarts the machine without downtime as if it were new. The worker drops all tasks, and epoch,
 * sequence and fencing token begin anew. */
void fake_worker_restart_anew(fake_worker *worker, double now);

/** Processes commands that a controller sends directly to the worker (POST /commands). Returns HTTP
 * status 200 if the worker executes them, or 409 if the agent epoch is over or the fencing token is
 * stale. */
int fake_worker_receive_command(fake_worker *worker, uint64_t fencing_token, uint64_t agent_epoch,
                                const GArray *commands, double now, fake_task_lookup lookup,
                                void *context);
#endif
