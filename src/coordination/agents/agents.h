/**
 * Machines and the tasks placed on them: the types of this module, and the registry of machines.
 *
 * A controller learns of a machine from the record of a partition segment that names the machine.
 * The owner learns which tasks are on the machine from the heartbeats under the owner's fencing
 * token (`confirmed`), and from the owner's own launches after the first of these heartbeats.
 */
#ifndef MV_AGENTS_H
#define MV_AGENTS_H
#include "coordination/agents/launch_control.h"
#include "coordination/jobs/job.h"

/**
 * A task on a machine, from the moment at which the agent may execute the task's launch until the
 * task is known to have ended.
 */
typedef struct {
    char job_id[MV_ID_SIZE];
    mv_job *job; /**< NULL after the job's live record was removed */
    uint32_t task;
    uint64_t attempt, agent_epoch;
    uint64_t
        launch_token; /**< highest fencing token of a direct command with the launch; 0: none */
    mv_team *team;
    double cores, gpus, ram_gb;
    double placed_at, running_at; /**< running_at 0: no heartbeat has shown the task running */
    bool reported;                /**< a heartbeat has listed the task */
    bool launch_sent;             /**< a direct command with the launch was sent */
    bool launch_unanswered;       /**< a sent launch got no answer and may still arrive */
    bool launch_in_response;      /**< the response to a heartbeat carried the launch; the agent may
                                     execute it until it sends its next heartbeat */
    bool stopping;
    bool skip_checkpoint;   /**< the task is stopped without a checkpoint */
    bool preemption_exempt; /**< the first task of a job that had starved severely:
                               never preempted */
    bool service;           /**< the task is a replica of a service */
    bool adopted;        /**< the task was found on the machine after a failover: the start time is
                            not known, so the task's run time is no sample for estimates */
    double stop_sent_at; /**< 0: no direct command with a stop was sent */
    double job_ended_at; /**< when the job was seen to have ended, if `job` is NULL */
} mv_placement;

/** An image in a machine's cache, identified by a number that is valid within this process. */
typedef struct {
    unsigned image;
    double size_gb;
} mv_cached_image;

/**
 * What this controller knows of one machine of the fleet, in any shard. Times are seconds of the
 * monotonic clock. mv_machine_reset clears the placements and the results of commands.
 */
typedef struct {
    char id[MV_NAME_SIZE], address[64], type_name[MV_NAME_SIZE], zone_name[MV_NAME_SIZE];
    bool spot;
    double rented_at;
    unsigned zone;        /**< number of the zone `zone_name` */
    guint rotation_index; /**< index in the registry's `rotation` */
    int type_index;       /**< index in the catalog; -1: not looked up yet, or unknown */
    /* the machine's partition */
    mv_shard *shard;  /**< NULL: the machine is in no partition */
    unsigned segment; /**< index of the segment that names the machine */
    double joined_partition_at;
    uint64_t member_term;
    uint64_t raised_token; /**< token of the owner's range that the owner uses for this machine; 0:
                              none yet */
    uint64_t launch_token; /**< highest fencing token of a direct command with a launch; 0: none */
    bool fence_requested;  /**< a placement waits until its launches are fenced off */
    double clears_wait_since; /**< since when exited tasks wait for a raise; 0: none does */
    bool occupied;            /**< the occupancy record says that the machine may hold tasks */
    bool known_empty; /**< the machine joined after the present owner's grant, so no task of this
                         partition can be on it yet */
    bool departing;   /**< the record of the machine's segment no longer names the machine, but the
                         record of another segment of the same revision may name it */
    /* from the machine's heartbeats */
    uint64_t agent_epoch, sequence;
    double last_heartbeat_at;  /**< 0: never */
    double last_sign_at;       /**< last sign of life, also under an older fencing token */
    double lease_renewed_at;   /**< when this controller last answered a heartbeat: only an answer
                                  renews the agent's lease */
    double fenced_response_at; /**< when a heartbeat under an older fencing token was last answered
                                  with the current token */
    bool confirmed;            /**< a heartbeat came under the current fencing token */
    double reclaim_at;         /**< when the cloud reclaims the machine; 0: no notice */
    bool clears_exited;        /**< this controller sends clear commands for the exited tasks of the
                                  current heartbeat */
    double last_clear_at;
    /* tasks and resources */
    GPtrArray *placements; /**< mv_placement, owned */
    mv_resources allocated,
        releasing;          /**< resources of all placements, and of those that are stopping */
    unsigned unknown_tasks; /**< active tasks in the last heartbeat that match no placement */
    GArray *images;         /**< mv_cached_image, most recently used last */
    double idle_since;
    mv_resources nominated; /**< reserved for pending tasks within a scheduling round */
    /** The attempts whose launch may still arrive at the agent for the first time, by
     * mv_attempt_key. The value says whether the command with the launch was given up without an
     * answer (1) or is still in flight (0). */
    GHashTable *uncertain_attempts;
    double uncertain_since; /**< when the first attempt entered the empty `uncertain_attempts` */
    /* direct commands */
    uint64_t command_id; /**< 0: none in flight */
    double command_sent_at;
    bool command_requested, probe_requested;
    bool in_command_queue;
    double commands_paused_until;
    unsigned commands_failed; /**< commands without an answer, in a row */
    unsigned probes_failed;   /**< those of `commands_failed` that got no answer while machines
                                 of the shard sent heartbeats */
    double unreachable_since; /**< when a command first got no answer; 0: all commands arrived */
    unsigned unanswered_commands; /**< commands without an answer since `unreachable_since` */
    /** When a command first got no answer while heartbeats arrived; 0: never. */
    double unreachable_while_reporting_since;
    unsigned unanswered_while_reporting; /**< commands without an answer since
                                            `unreachable_while_reporting_since` */
    double launches_paused_until; /**< nothing is launched on the machine before this time: the
                                     machine refused a launch, so this controller's record of the
                                     machine is out of date */
    /* health */
    bool release_pending; /**< the machine is idle and is to be returned to the cloud */
    bool quarantined; /**< the machine gets no more tasks, is emptied and returned to the cloud */
    bool failed;      /**< the machine's heartbeats timed out, or commands do not reach the
                         machine; the machine's tasks stay placed until the machine is in
                         no partition */
    bool draining;    /**< the machine gets a task only if no other machine has room for the task */
    double draining_since;
    bool evicting; /**< the machine is being emptied for services of other shards */
    /** Revision of the segment's occupancy record when the owner declared the machine transferable;
     * 0: the machine is not transferable. */
    uint64_t transferable_revision;
    /** Run times on this machine divided by those of the same jobs on all machines, smoothed; 1: no
     * difference. */
    double slowdown;
    double slowdown_updated_at;
    GHashTable *failed_jobs; /**< job id -> whether the job has been seen to succeed elsewhere */
    /* the leader's view */
    bool listed;                /**< the cloud's machine list has named the machine */
    bool listed_failed;         /**< the cloud's machine list says that the machine failed */
    unsigned lists_missed;      /**< complete lists in a row that no longer name the machine */
    mv_machine_summary summary; /**< what the owner last published of the machine */
    double summary_at;          /**< when `summary` arrived; 0: never */
    bool released;              /**< the machine was returned to the cloud, but its partition still
                                     names the machine */
    bool moving;                /**< chosen for a transfer to another shard in this round */
} mv_machine;

/** The registry: the machines of all shards, and the commands in flight to them. */
typedef struct {
    mv_context *context;
    mv_job_table *jobs;
    mv_launch_control *launch_control;
    GHashTable *machines;           /**< id -> mv_machine, owned */
    GPtrArray *rotation;            /**< every mv_machine; health checks go round in this order */
    GHashTable *zones;              /**< zone name -> number */
    guint next_health_check;        /**< index in `rotation`, modulo its length */
    GPtrArray *command_queue;       /**< mv_machine that wait for a direct command */
    GHashTable *commands_in_flight; /**< command id -> mv_machine */
    double command_window;          /**< number of commands that may be in flight at once */
    GPtrArray *nominated;           /**< mv_machine with nominations in this round */
} mv_agents;

/**
 * Initializes an empty registry. `context`, `jobs` and `launch_control` are borrowed and must
 * outlive it; call mv_agents_clear at the end.
 */
void mv_agents_init(mv_agents *agents, mv_context *context, mv_job_table *jobs,
                    mv_launch_control *launch_control);
/** Frees all machines with their placements, and the lists, but not `agents` itself. */
void mv_agents_clear(mv_agents *agents);
/** Returns the machine with this id, owned by the registry, or NULL. */
mv_machine *mv_agents_find(const mv_agents *agents, const char *id);
/** Adds a machine that is in no partition yet. Returns the machine, which the registry owns. */
mv_machine *mv_agents_add(mv_agents *agents, const char *id);
/** Removes a machine without placements from all lists and frees it. */
void mv_agents_remove(mv_agents *agents, mv_machine *machine);
#endif
