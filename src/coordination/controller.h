/**
 * The controller: elects the leader, grants shards of machines and teams to their owners, and
 * places tasks on machines.
 *
 * Pure code: each call passes the time (`now`, seconds of the monotonic clock) and an event to the
 * controller, and the caller fetches the resulting actions with mv_controller_next_action. No call
 * blocks, reads a clock or uses a socket. The controller is not thread-safe: the server guards it
 * with one lock (src/server/shared_controller.h).
 */
#ifndef MV_CONTROLLER_H
#define MV_CONTROLLER_H
#include "config/settings.h"
#include "connectivity/link_report.h"
#include "coordination/foundation/action.h"
#include "coordination/foundation/counters.h"
#include "coordination/foundation/shard_demand.h"
#include "protocol/records.h"

typedef struct mv_controller mv_controller;

/**
 * Creates a controller, which the caller frees with mv_controller_free. `settings` is borrowed and
 * must outlive the controller.
 */
mv_controller *mv_controller_new(const mv_settings *settings);
/** Frees the controller and the actions that were not fetched from it. NULL is allowed. */
void mv_controller_free(mv_controller *controller);

/** Returns the next action, or NULL. The caller frees the action with mv_action_free. */
mv_action *mv_controller_next_action(mv_controller *controller);
/**
 * Returns whether an action that was decided earlier may still be carried out. The server calls
 * this immediately before it carries the action out, because the process may have been suspended
 * since the decision for longer than its leases last.
 */
bool mv_controller_action_is_valid(mv_controller *controller, double now, const mv_action *action);

/**
 * Advances the controller to `now` (seconds of the monotonic clock) and `wall_now` (wall time in
 * seconds), and runs all periodic work. The server calls this every MV_TICK_S.
 */
void mv_controller_tick(mv_controller *controller, double now, double wall_now);

/* --- the session at the state service --- */

/**
 * Handles an answer of the state service about this controller's session. The session is confirmed
 * by a request that was sent at `sent`; an incarnation of 0 means that the session is lost. The
 * incarnation identifies this process for its whole lifetime.
 */
void mv_controller_session_renewed(mv_controller *controller, double now, uint64_t incarnation,
                                   double sent);
/** Handles a renewal of the session that was not answered or was refused. */
void mv_controller_session_renewal_failed(mv_controller *controller, double now);

/* --- the state cache --- */

/**
 * Applies a live record of the state service to the state cache. The caller first passes all
 * records and then every change in order. `data` NULL means that the record was deleted.
 */
void mv_controller_record_changed(mv_controller *controller, double now, const char *key,
                                  GBytes *data, uint64_t revision);
/** Marks the state cache as loaded: the caller has passed a complete list of all records. */
void mv_controller_cache_loaded(mv_controller *controller, double now);
/** Handles the answer to a watch sent at `sent`: the cache holds every change made before `sent`.
 */
void mv_controller_watch_caught_up(mv_controller *controller, double now, double sent);
/**
 * Prepares the state cache for a new list of all records. The pages of the list are read at
 * different times, so a record that is in none of them may exist nevertheless. Its absence counts
 * only after the answer to a watch that was sent after the last page.
 */
void mv_controller_relist_started(mv_controller *controller, double now);

/* --- heartbeats --- */

/** The response to an agent's heartbeat. The status determines which of the fields are set. */
typedef struct {
    int status;                     /**< HTTP status: 200, 421 or 503 */
    uint64_t fencing_token;         /**< set with status 200 */
    GArray *commands;               /**< set with status 200; mv_command, owned by the caller */
    char redirect_to[MV_NAME_SIZE]; /**< set with status 421: a controller's name, or empty */
} mv_heartbeat_response;

/** Handles an agent's heartbeat and fills in the response. */
void mv_controller_heartbeat(mv_controller *controller, double now, const mv_heartbeat *heartbeat,
                             mv_heartbeat_response *response);

/* --- answers to actions, by their ids --- */

/** Handles a command that was not sent because it was no longer valid. */
void mv_controller_command_dropped(mv_controller *controller, double now, uint64_t id);
/**
 * Handles the end of a command. `status` is the HTTP status of the agent's answer, or 0 if there
 * was none; `heartbeat` is the heartbeat in that answer, or NULL.
 */
void mv_controller_command_completed(mv_controller *controller, double now, uint64_t id, int status,
                                     const mv_heartbeat *heartbeat);
/**
 * Handles the result of a transaction. After MV_TRANSACTION_TOO_LARGE, the controller halves its
 * limits for values and transactions. A result for a transaction that the controller no longer
 * awaits has no other effect.
 */
void mv_controller_transaction_completed(mv_controller *controller, double now, uint64_t id,
                                         mv_transaction_result result);
/**
 * Handles the answer to a scale-out request. `machines` holds the names (char *) of the granted
 * machines. `machines` is NULL if the cloud refused the request for lack of capacity (`refused` is
 * true) or did not answer (`refused` is false).
 */
void mv_controller_scale_out_completed(mv_controller *controller, double now, uint64_t id,
                                       const GPtrArray *machines, bool refused);
/**
 * Handles the answer to a scale-in request. `ok` is true if the cloud took the machines back, and
 * false if the cloud refused or did not answer. After a failure, the leader requests the scale-in
 * of those machines again that still have a reason to be released.
 */
void mv_controller_scale_in_completed(mv_controller *controller, double now, uint64_t id, bool ok);
/**
 * Handles a page of the cloud's machine list. `listed` holds mv_listed_machine, or is NULL if the
 * request failed. `more` is true if another page follows.
 */
void mv_controller_machines_listed(mv_controller *controller, double now, uint64_t id,
                                   const GArray *listed, bool more);
/**
 * Handles the cloud's list of machine types. The controller takes over `types`, which holds
 * mv_machine_type; NULL means that the request failed.
 */
void mv_controller_types_listed(mv_controller *controller, double now, GArray *types);

/* --- demand --- */

/**
 * Handles the demand that the owner of a shard sent to this controller as the leader, and takes
 * over `demand`. Returns the demand of the other shards, or an empty demand if this controller is
 * not the leader or the shard is not granted to that owner.
 */
mv_peer_demand mv_controller_shard_demand(mv_controller *controller, double now,
                                          mv_shard_demand *demand);
/** Handles the leader's answer to the demand that this controller published. */
void mv_controller_peer_demand(mv_controller *controller, double now, mv_peer_demand peer_demand);

/* --- link health reports, exchanged with every other controller --- */

/** Returns whether this controller publishes link reports, which requires the launch gate. */
bool mv_controller_publishes_link_reports(const mv_controller *controller);
/**
 * Returns the seconds until the next link report is due. Call this only if link reports are
 * published.
 */
double mv_controller_link_report_interval(const mv_controller *controller);
/**
 * Returns a report on this controller's links, with completions that this controller cannot record.
 * The caller owns the report. Call this only if link reports are published.
 */
mv_link_report *mv_controller_link_report(mv_controller *controller, double now);
/** Handles a peer's link report, which came as a request or in a response to this controller. */
void mv_controller_link_report_received(mv_controller *controller, double now,
                                        const mv_link_report *report);
/** Records whether a peer answered a request that was sent at `sent`. */
void mv_controller_peer_probed(mv_controller *controller, double now, const char *peer, double sent,
                               bool answered);

/* --- queries about jobs --- */

/** Whether a job could ever run on the machines that the cloud offers. */
typedef enum {
    MV_FIT_POSSIBLE,
    MV_FIT_IMPOSSIBLE, /**< no machine type can hold a task, or the team's limit is too low */
    MV_FIT_UNKNOWN     /**< the controller does not know the machine types yet */
} mv_fit_result;

/** Returns whether a job could ever run, given its team's limit and the cloud's machine types. */
mv_fit_result mv_controller_job_fits(const mv_controller *controller, const mv_job_spec *spec);
/**
 * If the job's record would be too large, removes duplicate and nonexistent machine types from the
 * job's list. Returns false if no type remains or the record is still too large.
 */
bool mv_controller_trim_job_record(const mv_controller *controller, mv_job_spec *spec);
/**
 * Sets `shard` to the shard that a job accepted now would belong to. Returns false if that shard is
 * not known yet.
 */
bool mv_controller_home_shard(const mv_controller *controller, const mv_job_spec *spec,
                              unsigned *shard);

/** Progress of a job according to this controller's state cache. */
typedef struct {
    bool active; /**< the state cache holds a live record of the job; else all fields are 0 */
    bool owned;  /**< this controller owns the job */
    uint64_t revision;
    unsigned home_shard;
    unsigned tasks, tasks_done, tasks_running;
    unsigned chunk_count;
} mv_job_summary;

/**
 * Fills in what this controller knows of a job. The state service may already hold newer records of
 * the job.
 */
void mv_controller_job_status(const mv_controller *controller, const char *id,
                              mv_job_summary *summary);

/* --- cancellations of jobs --- */

/** To which controller a shard is granted. */
typedef struct {
    unsigned shard;
    char node[MV_NAME_SIZE]; /**< name of the controller */
    uint64_t term;
    uint64_t revision; /**< revision of the shard's record, which changes with each grant */
    bool is_own;       /**< the shard is granted to this process */
} mv_shard_grant;

/**
 * Fills in the grant of a shard according to the state cache. Returns false if the shard is granted
 * to no controller that is alive.
 */
bool mv_controller_shard_grant(const mv_controller *controller, unsigned shard_index,
                               mv_shard_grant *grant);

/**
 * The answer of a controller that is asked to acknowledge a cancellation. Controllers send each
 * other these values, so a value must never change.
 */
typedef enum {
    MV_CANCELLATION_UNSUPPORTED =
        0, /**< the version of that controller does not know the request */
    MV_CANCELLATION_ACKNOWLEDGED = 1, /**< no task of the job will start any more */
    MV_CANCELLATION_PENDING = 2,      /**< not yet acknowledged: a task may still start, or the
                                         controller does not know the job */
    MV_CANCELLATION_NOT_OWNER = 3,    /**< the controller does not hold the grant */
    MV_CANCELLATION_UNREACHABLE = 4   /**< the controller gave no answer; never sent */
} mv_cancellation_answer;

/**
 * Asks this controller, as the owner of a shard under this term, to acknowledge that a user cancels
 * a job of the shard. The first call for a job begins the cancellation: from then on this process
 * launches no task of the job, and stops those that it has launched. Launches that may still take
 * effect delay the acknowledgement. The acknowledgement holds for the life of this process and for
 * as long as the grant lasts, so whoever writes the cancellation requires the grant's revision.
 */
mv_cancellation_answer mv_controller_acknowledge_cancellation(mv_controller *controller, double now,
                                                              const char *job_id,
                                                              unsigned shard_index, uint64_t term);

/* --- other queries --- */

/** Returns whether the state cache is loaded and this controller's session is certainly alive. */
bool mv_controller_state_reachable(const mv_controller *controller, double now);
/** Returns whether this process has ever had a session at the state service. */
bool mv_controller_has_session(const mv_controller *controller);
/** Returns whether the state cache is loaded and the machine types are known. */
bool mv_controller_is_ready(const mv_controller *controller);
/** Returns whether the state cache is loaded and the owner of every shard is alive. */
bool mv_controller_is_stable(const mv_controller *controller);
/** Returns whether this controller is the leader and its session is certainly alive. */
bool mv_controller_is_leader(const mv_controller *controller);
/**
 * Returns whether every controller is known to read records of the current format, which includes
 * services. Until then, no service is accepted.
 */
bool mv_controller_all_formats_current(const mv_controller *controller);
/**
 * Returns a time in seconds of the monotonic clock. The state cache holds every change that was
 * made before this time.
 */
double mv_controller_caught_up_to(const mv_controller *controller);
/** Returns the number of controllers that own shards. */
unsigned mv_controller_owner_count(const mv_controller *controller);
/** Returns the number of live jobs. */
unsigned mv_controller_job_count(const mv_controller *controller);
/** Returns the number of puts and deletes that a transaction may hold. */
unsigned mv_controller_max_writes(const mv_controller *controller);
/**
 * Halves the limits for values and transactions. The server calls this after the state service has
 * refused a request as too large.
 */
void mv_controller_reduce_limits(mv_controller *controller);
/** Returns the overview for operators, a MessagePack map; the caller owns it. */
GBytes *mv_controller_overview(const mv_controller *controller, double now);
/** Copies the counters for metrics, and recomputes the counters that are current values. */
void mv_controller_get_counters(const mv_controller *controller, mv_controller_counters *counters);
#endif
