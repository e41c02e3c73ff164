/**
 * Names of the safety checks. A safety check is a condition on which the rules of the protocol rest
 * (docs/SAFETY.md).
 *
 * The code uses a check as SAFETY_CHECK(NAME, condition). A mutation test builds the controller
 * with MV_MUTATION_TESTING, disables one check and must then see a rule broken. The broken rule
 * shows that the check is needed and that the tests would notice its absence. In the service no
 * check can be disabled and SAFETY_CHECK is only the condition.
 */
#ifndef MV_SAFETY_CHECKS_H
#define MV_SAFETY_CHECKS_H

/** The checks. Each comment states the condition that holds while the check is on. */
typedef enum {
    /** No check; the value of mv_disabled_check while every check is on. */
    MV_CHECK_NONE,
    /** The owner of a shard does not launch a task again while a machine whose heartbeat is still
     * missing may hold the task. */
    MV_CHECK_REBUILD,
    /** Until a heartbeat shows which tasks run on a machine, the whole machine counts against the
     * limit of each team. */
    MV_CHECK_UNKNOWN_USE,
    /** A team does not exceed its limit. */
    MV_CHECK_QUOTA,
    /** The tasks of a failed machine are launched again only when the machine is certainly gone. */
    MV_CHECK_RELEASED,
    /** A job that asks for one zone gets one zone, and a job that asks to be spread gets at most
     * half of its tasks in one zone. */
    MV_CHECK_ZONE,
    /** Only tasks of jobs that allow spot machines are placed on spot machines. */
    MV_CHECK_SPOT,
    /** The tasks of a cancelled job are stopped, by direct commands and in every answer that renews
     * an agent's lease. */
    MV_CHECK_CANCELLED,
    /** No launch of a job is sent once the controller knows that the job was cancelled. */
    MV_CHECK_CANCELLED_LAUNCH,
    /** The owner of a job acknowledges a cancellation only when no launch of a task of the job can
     * take effect any more. */
    MV_CHECK_ACKNOWLEDGED,
    /** A job is done only when its last task is done. */
    MV_CHECK_ALL_DONE,
    /** A heartbeat that is not newer than the machine's last heartbeat is ignored as stale. */
    MV_CHECK_HEARTBEAT_ORDER,
    /** A heartbeat under an older fencing token does not show which tasks are on the machine. */
    MV_CHECK_FENCING_TOKEN,
    /** A machine that sends heartbeats but receives no commands is released. */
    MV_CHECK_COMMANDS_UNREACHABLE,
    /** A controller does not execute an action that was decided under a lease that has expired. */
    MV_CHECK_ACTION_VALID,
    /** A job that has waited long precedes smaller jobs, so that large jobs do not starve. */
    MV_CHECK_STARVATION,
    /** An agent forgets an attempt only under a higher fencing token than that of every direct
     * command that launched the attempt, because a copy of such a command may arrive minutes after
     * its answer. */
    MV_CHECK_LAUNCH_FENCE,
    /** An owner that cannot renew the lease session no longer acts as the owner of any shard and
     * answers no heartbeats. */
    MV_CHECK_LEASE,
    /** A write of a completion record that arrives late does not overwrite a newer record. */
    MV_CHECK_COMPLETION_REVISION,
    /** A machine whose heartbeats reach no controller gets no new tasks. */
    MV_CHECK_CONTROLLER_UNREACHABLE,
    /** No service is accepted before every controller can read the record of a service. */
    MV_CHECK_FORMAT,
    /** A value in the state service does not exceed the size limit. */
    MV_CHECK_VALUE_SIZE,
    /** The lease of an agent is not renewed while a task of a cancelled job may still start on the
     * machine. */
    MV_CHECK_LATE_LAUNCH,
    /** No resources stay reserved for other jobs once a job has starved for
     * MV_STARVATION_TIMEOUT_S. */
    MV_CHECK_STARVATION_TIMEOUT,
    /** The leader makes the first partitions only after the cloud's first list of machines has
     * arrived or timed out. */
    MV_CHECK_FIRST_LIST,
    /** A quarantined machine is not released before a heartbeat shows which tasks are on the
     * machine. */
    MV_CHECK_QUARANTINE_REBUILT,
    /** A transaction is not retried while the first attempt still waits in this controller's own
     * queue. */
    MV_CHECK_QUEUED,
    /** A controller reduces the number of commands in flight while the controller is overloaded. */
    MV_CHECK_COMMAND_WINDOW,
    /** A heartbeat timeout does not count time in which the controller could receive no heartbeats.
     */
    MV_CHECK_LISTENING,
    /** A record that the state cache reads twice changes nothing the second time. */
    MV_CHECK_REPEATED_RECORD,
    /** A machine does not leave its partition on the evidence of a list of all records alone. */
    MV_CHECK_RELIST,
    /** A command that a machine missed while this controller was isolated does not count against
     * the machine. */
    MV_CHECK_OWN_ISOLATION,
    /** A machine that sent a heartbeat recently is not released as never booted. */
    MV_CHECK_RECENT_HEARTBEAT,
    /** An isolated controller launches nothing. */
    MV_CHECK_LAUNCH_GATE,
    /** A controller leads only under the session that its leader record is bound to. */
    MV_CHECK_LEADER_SESSION,
    /** The leader rents and returns machines only while its state cache is recent. */
    MV_CHECK_LEADER_CACHE,
    /** Launches resume only after the links have been stable for the hold-down time. */
    MV_CHECK_HOLD_DOWN,
    /** The final record of a job is written only once. */
    MV_CHECK_FINAL_RECORD,
    /** A controller publishes to the peers the completions that the controller cannot record. */
    MV_CHECK_COMPLETIONS
} mv_safety_check;

#ifdef MV_MUTATION_TESTING
/** The check that is disabled; each test program defines this variable. */
extern mv_safety_check mv_disabled_check;
/** Evaluates to the condition, or to true if the check is disabled. */
#define SAFETY_CHECK(which, condition) (mv_disabled_check == MV_CHECK_##which || (condition))
#else
/** Evaluates to the condition. */
#define SAFETY_CHECK(which, condition) (condition)
#endif
#endif
