/**
 * Declarations that the modules of the simulation share: the state of a run, and the functions that
 * each module offers to the other modules.
 *
 * The sim_*.c files include this header, and so do tests that need the size of the simulated
 * deployment. A run uses one thread and owns all of its state. Runs share nothing that is declared
 * here, so several runs can execute in parallel in separate processes.
 *
 * All random draws of a run come from one generator, in the order of the events. If a change adds,
 * removes or reorders draws, every seed gives another run, and both behavior fingerprints change.
 */
#ifndef MV_SIM_INTERNAL_H
#define MV_SIM_INTERNAL_H
#include "sim.h"

/** Number of controllers in the deployment; the build can override it. */
#ifndef NODES
#define NODES 3
#endif
/** Number of machines that the cloud can provide; the build can override CAPACITY. The quotas of
 * the teams grow in proportion to CAPACITY. */
#define DEFAULT_CAPACITY 14
#ifndef CAPACITY
#define CAPACITY DEFAULT_CAPACITY
#endif
#define TEAM_COUNT 3
#define MACHINE_CORES 16 /* cores of the only machine type */
#define CORES_EPSILON 1e-6

#define STEADY_CLOCK_START_S 1000.0 /* steady clock of each controller when the run begins */
#define WALL_CLOCK_START_S 1e6      /* time of day when the run begins */
#define NEVER_S 1e9                 /* longer than any run */

/** The sender of a request gives up after this many seconds without a response. */
#define REQUEST_TIMEOUT_S 1.5
/** Limits of the state store for the size of a value and the writes of a transaction, as the
 * controllers are told: first the initial limits, then the reduced limits. */
#define INITIAL_VALUE_KB 16
#define INITIAL_TRANSACTION_WRITES 12
#define REDUCED_VALUE_KB 1
#define REDUCED_TRANSACTION_WRITES 8

/** With the launch gate on, a controller that is cut off from the state store while the majority is
 * connected launches nothing more after this many seconds. The limit is the sum of the time that
 * the controller's session remains valid, the grace period for suspicion, and 0.3 s for one step of
 * the controller and the messages in flight. */
#define LAUNCH_AFTER_CUT_MAX_S (MV_SESSION_TTL_S - MV_SESSION_MARGIN_S + MV_SUSPECT_GRACE_S + 0.3)
/** Services keep running for this many seconds after the faults have ended, then they are
 * cancelled. */
#define SERVICE_OBSERVATION_S 100

/** HTTP status codes that the simulation returns or checks. */
enum {
    SIM_HTTP_NONE = 0, /* no response */
    SIM_HTTP_OK = 200,
    SIM_HTTP_CONFLICT = 409,
    SIM_HTTP_TOO_LARGE = 413,
    SIM_HTTP_MISDIRECTED = 421,
    SIM_HTTP_UNAVAILABLE = 503
};

typedef void (*sim_event_handler)(sim *simulation, gpointer data);

/** A call of a handler at a given time. Events with the same time run in the order in which they
 * were scheduled. */
typedef struct {
    double at;
    guint64 sequence;
    sim_event_handler handler;
    gpointer data;
    GDestroyNotify free_data; /* frees the data of an event that never runs; NULL: the event does
                                 not own its data */
} sim_event;

/** One controller: its process, its connection to the state store, and the faults of its links.
 * Times are seconds of the simulation. A fault lasts until the time in its `..._until` field. */
typedef struct {
    guint index;
    mv_settings *settings;
    double clock_drift; /* share by which the controller's clock runs fast */

    mv_controller *controller; /* NULL while no process runs */
    bool running;
    unsigned process_generation; /* responses to an earlier process of the controller are lost */
    bool emulates_format_1;      /* the process acts as the release before services existed */
    double restart_at;           /* if no process runs: when the next process starts */
    double frozen_until;         /* the process does nothing before this time */

    uint64_t lease_id;    /* lease of the controller's session at the state store */
    uint64_t incarnation; /* the first lease of this process; 0: no lease yet */
    bool has_session;
    double next_renewal_at;

    bool is_listed;    /* the process has listed all records, and now follows the log */
    bool is_following; /* a watch of the process has been answered since its first list */
    bool is_relisting; /* the process has listed all records before, so a new list comes in pages */
    char last_listed_key[MV_KEY_SIZE]; /* last key of the previous page; "": no page yet */
    GHashTable *listed_keys;           /* set of the keys in the pages listed so far */
    guint next_log_entry; /* the next entry of the state store's log that the process reads */

    double state_cut_until;            /* no request reaches the state store */
    double state_responses_lost_until; /* requests are carried out, but no response arrives */
    double watches_lost_until;         /* watches get no response; other requests do */
    double worker_cut_until;           /* the controller and its machines are disconnected */
    double peer_cut_until;             /* the controller and its peers are disconnected */
    double peer_outgoing_cut_until;    /* messages from the controller to its peers are lost */

    double cut_since; /* when this controller lost the state store while the majority kept it; 0: no
                         such cut */
    bool connected_before_cut; /* the process had a session and all records when the cut began */
    double cut_healed_at; /* when the last cut healed, if the controller has launched nothing since;
                             0: no cut to follow */
    double last_launch_at;
    double next_link_report_at;
} sim_node;

/** A job of a user, and the observations that the rules need about the job. */
typedef struct {
    char id[MV_ID_SIZE];
    int team;
    unsigned task_count;
    double cores; /* cores of each task */
    double run_s;
    bool spot, latency_sensitive, checkpoints, same_zone, spread_zones, service;
    bool always_fails;
    bool cancel_at_completion; /* the user cancels the job when its last task ends */
    double cancel_after_s;     /* the user cancels the job this long after it was accepted; 0: the
                                  user does not */

    bool accepted;
    bool cancel_requested; /* the user has asked a controller to cancel the job */
    bool cancelled;        /* the job has a final record that says so */
    double cancelled_at;   /* from then on, any controller may tell the user */
    bool *completed;       /* by task: a machine has completed the task */
    unsigned tasks_in_zone_z, tasks_in_zone_y; /* running tasks, recounted at each step */
    bool had_all_replicas; /* service: in one check after the faults, all replicas ran or the team's
                              quota was full */
    double idle_since;     /* since when a task waits although a machine has resources for the task;
                              0: no task does */
    double unknown_since;  /* since when no controller knows the job; 0: a controller does */
} sim_job;

struct sim {
    const sim_plan *plan;
    GRand *random;
    GSequence *events; /* sim_event, in order */
    guint64 last_event_sequence;
    double now;
    char *violation; /* text of the first broken rule; NULL: every rule has held */

    sim_node nodes[NODES];
    double last_stop_at;       /* when a controller's process last ended; 0: no process has */
    uint64_t last_leader_term; /* term of the last leader that got the held heartbeats */

    fake_state_store *state;
    double outage_until;       /* the state store is unreachable for all controllers */
    GHashTable *final_records; /* set of the keys of all final records written so far */

    GPtrArray *workers; /* fake_worker, including machines that are gone */
    guint last_worker_number;
    GHashTable *instance_requests; /* name of a request -> GPtrArray of machine names */
    double cloud_outage_until;
    GPtrArray *held_heartbeats; /* mv_heartbeat, duplicates for the next leader */
    GPtrArray *held_copies;     /* copies of commands that wait for an event */
    double copies_checked_at;   /* when the held copies were last checked for their events */
    double zone_cut_until;      /* half of the machines and one controller reach only each other */
    guint zone_node;            /* index of the controller inside the cut zone */

    GArray *jobs; /* sim_job */
};

/** Names of the teams, and the number of cores that each team may use at the same time; 0: no
 * limit. */
extern const char *const sim_team_names[TEAM_COUNT];
extern const double sim_team_quotas[TEAM_COUNT];

/** An action of a controller that is in flight, and the response to the action. Each request is
 * passed to sim_request_complete() or sim_request_free(). */
typedef struct {
    sim_node *node;
    unsigned process_generation; /* generation of the process that sent the request */
    uint64_t lease_id;           /* lease of the sender's session */
    mv_action *action;
    bool delayed; /* the command has already been delayed on a slow link */
    /* Response; the kind of the action decides which fields are set. */
    int status; /* HTTP status; 0: no response */
    bool has_heartbeat;
    mv_heartbeat heartbeat;
    mv_transaction_result transaction_result;
    GPtrArray *machine_names;
    bool refused;
    GArray *listed_machines; /* mv_listed_machine */
} sim_request;

/* --- sim_run.c: events, random draws, violations --- */

/** Schedules the handler to run after `delay` seconds. The caller keeps `data`, which must outlive
 * the event. */
void sim_schedule(sim *simulation, double delay, sim_event_handler handler, gpointer data);
/** Schedules the handler to run after `delay` seconds and passes it the ownership of `data`. If the
 * run ends before the event, `free_data` frees the data. */
void sim_schedule_owned(sim *simulation, double delay, sim_event_handler handler, gpointer data,
                        GDestroyNotify free_data);
/** Draws one random number between `low` and `high`. */
double sim_random(sim *simulation, double low, double high);
/** Returns true with the given probability. Makes exactly one draw, even if the probability is 0 or
 * 1. */
bool sim_chance(sim *simulation, double probability);
/** Draws one of the controllers, running or not. */
sim_node *sim_random_node(sim *simulation);
/** Draws one of the machines, gone or not. If there are no machines, returns NULL without a draw.
 */
fake_worker *sim_random_worker(sim *simulation);
/** Records that a rule is broken, which ends the run with this text. Later violations of the run
 * are ignored. */
void sim_violation(sim *simulation, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Counts one occurrence of a fault combination, if the plan counts this combination. */
void sim_count_combination(sim *simulation, sim_fault_combination combination);
/** Counts one occurrence, regardless of the combination that the plan names. */
void sim_count_any_combination(sim *simulation);
/** Returns the job with this id, which the run owns, or NULL if no job has the id. */
sim_job *sim_job_by_id(const sim *simulation, const char *id);
/** Returns the machine with this id, gone or not, which the run owns, or NULL if no machine has the
 * id. */
fake_worker *sim_worker_by_id(const sim *simulation, const char *id);
/** Returns the number of the job's tasks that run on machines. */
unsigned sim_running_tasks(const sim *simulation, const sim_job *job);

/* --- sim_settings.c --- */

/** Returns the times and limits of the plan's site, or the simulation's defaults if the plan names
 * no site. */
const sim_site_profile *sim_profile(const sim_plan *plan);
/** Returns new settings for one controller; the caller frees them with mv_settings_free(). */
mv_settings *sim_settings_new(const sim_plan *plan, guint index);
/** Returns a new list of the cloud's machine types for mv_controller_types_listed(), which takes
 * ownership. */
GArray *sim_machine_types(const sim_plan *plan);

/* --- sim_jobs.c: users --- */

/** Draws all jobs of the plan and schedules the submission of each job. */
void sim_create_jobs(sim *simulation);
/** Event handler: the user cancels the job whose index is in `data` (GUINT_TO_POINTER). During an
 * outage, the user retries the cancellation each second. If the job has ended, nothing happens. */
void sim_cancel_job(sim *simulation, gpointer data);
/** Event handler: the user cancels the job whose index is in `data` (GUINT_TO_POINTER) through
 * controllers, and repeats the request until the job has ended. */
void sim_cancel_through_controllers(sim *simulation, gpointer data);
/** A fake_task_lookup: returns the properties of a task that its machine needs; `context` is the
 * simulation. */
fake_task_spec sim_task_spec(void *context, const char *job_id, uint32_t task);

/* --- sim_processes.c: the processes of the controllers --- */

/** Returns the time of the controller's steady clock in seconds. */
double sim_steady_clock(const sim *simulation, const sim_node *node);
/** Event handler: executes one step of the controller in `data` (sim_node). The step starts the
 * process if its restart is due, renews the session, reads the state store and calls the
 * controller's tick, then schedules the next step. */
void sim_node_step(sim *simulation, gpointer data);
/** Ends the controller's process, if one runs. The next process starts after `away_s` seconds. */
void sim_node_stop(sim *simulation, sim_node *node, double away_s);
/** Takes the actions that the controller has decided and sends each action after a short delay. */
void sim_node_send_actions(sim *simulation, sim_node *node);

/** Returns whether the process that sent the request still runs. */
bool sim_request_sender_runs(const sim_request *request);
/** Delays an event that a controller would handle while its process is frozen. Returns true if the
 * event was scheduled again; the caller must then return. */
bool sim_request_defer_frozen(sim *simulation, sim_request *request, sim_event_handler handler);
/** Passes the response to the controller after `delay` seconds. Takes ownership of the request. */
void sim_request_complete(sim *simulation, sim_request *request, double delay);
/** Frees a request; a GDestroyNotify. */
void sim_request_free(gpointer request);

/* --- sim_state_store.c --- */

/** Event handler: a transaction (sim_request) arrives at the state store. */
void sim_execute_transaction(sim *simulation, gpointer data);
/** Renews the controller's session at the state store, or opens a session if there is none. */
void sim_renew_session(sim *simulation, sim_node *node);
/** Reads the next page of the list of records or, if the list is complete, the changes since the
 * last call. */
void sim_read_state(sim *simulation, sim_node *node);
/** Repeating event handler: ends expired leases. */
void sim_expire_leases(sim *simulation, gpointer data);

/* --- sim_cloud.c --- */

/** Event handler: a request for instances (sim_request) arrives at the cloud. */
void sim_execute_scale_out(sim *simulation, gpointer data);
/** Event handler: a release of instances (sim_request) arrives at the cloud. */
void sim_execute_scale_in(sim *simulation, gpointer data);
/** Event handler: a request for the list of machines (sim_request) arrives at the cloud. The
 * response arrives seconds later, so the list is stale. */
void sim_execute_list_machines(sim *simulation, gpointer data);
/** Event handler: a request for the list of machine types (sim_request) arrives at the cloud. */
void sim_execute_list_types(sim *simulation, gpointer data);

/* --- sim_workers.c --- */

/** Event handler: a command (sim_request) arrives at its machine. */
void sim_execute_command(sim *simulation, gpointer data);
/** Event handler: the machine in `data` (fake_worker) sends its next heartbeat. The event repeats
 * until the machine is gone. */
void sim_worker_step(sim *simulation, gpointer data);
/** If the controller has just become leader, sends each held duplicate of a heartbeat to a random
 * controller. */
void sim_release_held_heartbeats(sim *simulation, const sim_node *node);
/** Frees an mv_heartbeat on the heap; a GDestroyNotify. */
void sim_heartbeat_free(gpointer heartbeat);

/* --- sim_command_copies.c --- */

/** Decides whether a copy of a direct command that the machine has executed arrives later. */
void sim_draw_command_copies(sim *simulation, const fake_worker *worker, const mv_action *action);
/** Delivers the held copies whose event has occurred. */
void sim_release_command_copies(sim *simulation);
/** Delivers the copies that are held for the start of a controller's process. */
void sim_release_copies_at_start(sim *simulation);
/** Frees a held copy; a GDestroyNotify. */
void sim_command_copy_free(gpointer copy);

/* --- sim_links.c: links of controllers, messages between peers --- */

/** Returns whether requests of the controller reach the state store. */
bool sim_state_reached(const sim *simulation, const sim_node *node);
/** Returns whether responses of the state store reach the controller. */
bool sim_state_answers(const sim *simulation, const sim_node *node);
/** Returns whether a message from one controller reaches another controller. */
bool sim_peer_reached(const sim *simulation, const sim_node *from, const sim_node *to);
/** Returns the controller of that name, or NULL. */
sim_node *sim_node_by_name(sim *simulation, const char *name);
/** Returns whether a message arrives at a running process of the receiver. Makes a draw only if the
 * receiver runs and the link is not cut. */
bool sim_message_arrives(sim *simulation, const sim_node *from, const sim_node *to);
/** Returns whether the controller and the machine can reach each other: no zone is cut off, or both
 * are on the same side of the cut. */
bool sim_zone_connected(const sim *simulation, const sim_node *node, const fake_worker *worker);
/** Breaks a link of the controller for `duration_s` seconds. */
void sim_cut_link(sim *simulation, sim_node *node, sim_link link, double duration_s);
/** Exchanges link reports between the controller and its peers, if the exchange is due. */
void sim_publish_link_reports(sim *simulation, sim_node *node);
/** Event handler: the demand of a shard (sim_request) arrives at the leader. */
void sim_execute_publish_demand(sim *simulation, gpointer data);

/* --- sim_launches.c: launches of controllers that are cut off --- */

/** Tracks at each step of a controller whether the controller is cut off from the state store while
 * the majority of controllers is connected. */
void sim_track_cut(sim *simulation, sim_node *node);
/** Checks and records the launches among commands (mv_command) that a controller sends to a
 * machine. With the launch gate on, a controller must launch nothing if it has been cut off for
 * longer than LAUNCH_AFTER_CUT_MAX_S, or if its cut healed less than MV_HOLD_DOWN_INITIAL_S ago. */
void sim_track_launches(sim *simulation, sim_node *node, const GArray *commands);

/* --- sim_faults.c --- */

/** Schedules all faults of the plan. */
void sim_schedule_faults(sim *simulation);
/** Makes the state store unreachable for all controllers for `duration_s` seconds. */
void sim_begin_outage(sim *simulation, double duration_s);
/** Cuts a controller off from the state store as it sends a transaction with a launch, a completion
 * or the end of a job. Either both the transaction and the response are lost, or only the response.
 * Does nothing if the controller is already cut off. Defined in sim_faults_links.c. */
void sim_cut_at_event(sim *simulation, sim_node *node);

/* --- sim_invariants.c: rules that hold at every moment --- */

/** Returns whether the plan has no fault that explains why a controller stops a task of a job that
 * no user cancelled. */
bool sim_plan_only_crashes(const sim_plan *plan);
/** Checks the safety rules for all machines, jobs and teams. */
void sim_check_rules(sim *simulation);
/** Checks, before a write is applied, that the write keeps every task completed that the state
 * store has recorded as completed. */
void sim_check_completions(sim *simulation, const mv_write *write);
/** Checks, after writes (mv_write) were committed, that no job gets a second final record. */
void sim_check_final_records(sim *simulation, const GArray *writes);
/** Returns whether the job has a final record. Checks the record against the cancellation and the
 * completed tasks of the job. */
bool sim_job_ended(sim *simulation, const sim_job *job);
/** Returns whether all jobs have ended. */
bool sim_all_jobs_ended(sim *simulation);
/** Returns whether one more task of the job would exceed the quota of the job's team. */
bool sim_team_is_full(const sim *simulation, const sim_job *job);

/* --- sim_liveness.c: rules with a time limit --- */

/** Checks, once a second, that the state store has a record of each accepted job. After the faults,
 * also checks that a controller knows each accepted job and that no job is starved. */
void sim_check_liveness(sim *simulation);
/** Repeating event handler until the services are cancelled: checks that all replicas of each
 * service run together at least once. */
void sim_check_services(sim *simulation, gpointer data);
/** Reports, at the end of a run, each job that has not ended as a violation. */
void sim_check_stuck_jobs(sim *simulation);
#endif
