/**
 * The constants of the service, grouped by module.
 *
 * Units are in the names: _S seconds, _MS milliseconds, _US microseconds, _BYTES, _KB, _GB. _SIZE
 * is the size of a text in bytes, including the final 0. _HEARTBEATS and _INTERVALS count heartbeat
 * intervals. _SHARE and _FACTOR have no unit.
 */
#ifndef MV_CONSTANTS_H
#define MV_CONSTANTS_H

/* --- Protocol: limits that the protocol page sets --- */

/**
 * Largest body, in bytes of its JSON form, of a request and of a response to agents and users.
 */
#define MV_BODY_BYTES_MAX 65536
/**
 * The JSON form of a body has at most this many times the bytes of the body in MessagePack: a
 * control character takes one byte in MessagePack and is written as \u0001 in JSON.
 */
#define MV_JSON_EXPANSION_MAX 6
/**
 * A body in MessagePack has at most this many bytes if its JSON form is within MV_BODY_BYTES_MAX: a
 * digit with its comma, 2 bytes in JSON, may take 9 bytes in MessagePack.
 */
#define MV_BODY_RECEIVED_BYTES_MAX (MV_BODY_BYTES_MAX / 2 * 9)
/** Largest number of tasks in a job. */
#define MV_JOB_TASKS_MAX 100000
/** Size of a key in the state service, in bytes with the final 0. */
#define MV_KEY_SIZE 201
/** Maximum number of commands in one response to a heartbeat; a body of 64 KiB holds about 700. */
#define MV_RESPONSE_COMMANDS_MAX 400
/**
 * The scheduler places at most this many tasks on a machine, because the machine's heartbeat, which
 * also lists exited tasks, must fit into 64 KiB.
 */
#define MV_MACHINE_TASKS_MAX 300
/** Maximum number of machines in one scale-out request to the cloud. */
#define MV_INSTANCE_REQUEST_MAX 50
/** Maximum number of machines in one scale-in request to the cloud. */
#define MV_SCALE_IN_BATCH 100
/** Machines on one page of the cloud's machine list. */
#define MV_MACHINE_LIST_PAGE 500
/** Records on one page of a list from the state service. */
#define MV_STATE_STORE_PAGE 1000
/** Maximum bytes of writes in a transaction: 64 KiB less the framing. */
#define MV_TRANSACTION_BYTES_MAX 60000
/** An agent drops the response to a heartbeat if it arrives later than this. */
#define MV_HEARTBEAT_RESPONSE_MAX_S 4.0
/** Share by which a monotonic clock may run fast against the clock of another process. */
#define MV_CLOCK_DRIFT 0.0005

/* --- Protocol: sizes of texts, in bytes with the final 0 --- */

/** Size of a job id; node names in messages are shorter. */
#define MV_ID_SIZE 32
/** Size of a name of a team, machine type, zone, image or machine. */
#define MV_NAME_SIZE 96
/** Size of the numeric address and port of a machine, for example "10.0.0.1:8080". */
#define MV_ADDRESS_SIZE 64

/* --- Protocol: records in the state service --- */

/**
 * Format of the records and peer messages that this version writes. Format 1 had no services, and
 * its records did not contain the format number.
 */
#define MV_FORMAT_CURRENT 2
/**
 * Maximum number of machine types that the service distinguishes: each type is one bit of a 32-bit
 * mask.
 */
#define MV_MACHINE_TYPES_MAX 32
/** Shard numbers in records are below this value. */
#define MV_SHARDS_MAX 100
/** Segment numbers of a partition are below this value. */
#define MV_SEGMENTS_MAX 10000
/**
 * Maximum number of machines in one segment of a partition: as many as one scale-out request adds.
 */
#define MV_SEGMENT_MACHINES_MAX 50
/**
 * Bytes of a partition or occupancy record that stay free for the framing around the listed
 * machines.
 */
#define MV_VALUE_HEADROOM_BYTES 64
/**
 * A controller never reduces its limit for the bytes of a value below this, because the records
 * that controllers write would not fit a smaller value.
 */
#define MV_VALUE_BYTES_MIN 1024
/** Bytes of a shard's record without the names of the teams that the shard serves. */
#define MV_SHARD_RECORD_BYTES 260
/** Smallest limit for the writes of a transaction: with a lower limit no job could be completed. */
#define MV_TRANSACTION_WRITES_MIN 4
/** Maximum number of tasks in one completion record: the record has 4 KiB of hex digits. */
#define MV_CHUNK_TASKS_MAX 16384
/**
 * Tasks in one completion record (512 bytes of hex digits) if a record of the larger size does not
 * fit a value of the state service.
 */
#define MV_CHUNK_TASKS_SMALL 2048
/** Term of the first leader that is ever elected on a state service. */
#define MV_TERM_INITIAL 1u
/** Low bits of an attempt number, which count the placements within one term. */
#define MV_ATTEMPT_BITS 24

/* --- Membership: lease sessions, leases of shards --- */

/**
 * The state service ends the session of a controller that does not renew it for this long, and the
 * controller is replaced. Three lost renewals take this long.
 */
#define MV_SESSION_TTL_S 2.5
/**
 * A controller waits this long between renewals of its session: a third of the session's TTL, less
 * the time of one slow response.
 */
#define MV_SESSION_RENEW_S 0.7
/**
 * A controller waits this long before it repeats a failed renewal of its session or a failed watch.
 */
#define MV_SESSION_RETRY_S 0.3
/**
 * A controller considers its session expired this long before the TTL ends, which covers clock
 * drift and rounding.
 */
#define MV_SESSION_MARGIN_S 0.3
/**
 * Default lease of a shard (see the DESIGN page). The lease is shortened if cancel_s requires it.
 */
#define MV_SHARD_LEASE_S 30.0
/** Longest time from the expiry of an agent's lease until the agent's tasks are gone. */
#define MV_AGENT_KILL_S 2.0
/**
 * A shard's lease ends at least this long before cancel_s - lease_s, so that stop commands arrive
 * in time.
 */
#define MV_CANCEL_MARGIN_S 5.0
/**
 * Default number of shards of the fleet; with 0 the leader derives the number from the fleet's
 * size.
 */
#define MV_SHARDS_DEFAULT 0
/**
 * From this number of machines on, the leader creates one shard for each controller; a smaller
 * fleet has a single shard.
 */
#define MV_SHARD_PER_CONTROLLER_MACHINES 100
/**
 * A new leader waits at most this long for the cloud's first complete machine list before it
 * creates shards without knowing the fleet's size.
 */
#define MV_FIRST_LIST_TIMEOUT_S 3.0
/**
 * For this long after its election, the leader of the first term adopts machines without probing
 * them: no older controller can have given them tasks.
 */
#define MV_INITIAL_ADOPTION_S 5.0
/**
 * A new owner of a shard has this long to reach the shard's machines before it may resign the
 * shard.
 */
#define MV_RESIGN_AFTER_S 8.0
/**
 * For this long after a controller resigned a shard, the leader prefers other controllers when it
 * grants a shard. The controller still gets a shard if every other candidate also resigned one that
 * recently and the controller has the fewest shards.
 */
#define MV_RESIGNED_BACKOFF_S 60.0
/** The leader waits this long between two moves of shards to controllers that have come back. */
#define MV_REBALANCE_INTERVAL_S 10.0

/* --- Membership: partitions and occupancy records --- */

/**
 * Maximum number of segments of a partition that one transaction writes; 64 KiB hold nine segments.
 */
#define MV_SEGMENTS_BATCH 7u
/** Maximum number of segments whose occupancy the shard's owner records in one transaction. */
#define MV_OCCUPANCY_BATCH 4
/**
 * If a partition has more segments than one transaction records, the shard's owner waits this long
 * between two occupancy transactions, so that several machines share a write.
 */
#define MV_OCCUPANCY_INTERVAL_S 1.0

/* --- Membership: state cache --- */

/**
 * The state cache is out of date if no watch was answered for this long: a watch lasts 3 s, and its
 * timeout and the interval between watches are added.
 */
#define MV_CACHE_LOST_AFTER_S 5.5
/**
 * The leader neither rents nor returns machines on a state cache older than this: the longest watch
 * (MV_WATCH_LENGTH_MS), the longest interval before it, and a slow response.
 */
#define MV_LEADER_CACHE_AGE_MAX_S 4.5
/** The leader gives its duty up if its state cache is older than this. */
#define MV_LEADER_RESIGN_AFTER_S 10.0
/**
 * After the response to a transaction, a controller waits this long for the state cache to show the
 * result: the cache lags by at most the longest interval between watches.
 */
#define MV_CACHE_LAG_S 0.4
/**
 * A controller that has not read the records of the state service this long after its start opens
 * its HTTP port nevertheless, and serves the requests that it can.
 */
#define MV_LISTEN_DELAY_MAX_S 5.0

/* --- Connectivity: link health --- */

/**
 * A peer that never had a response from the state service counts as a witness of the state
 * service's failure after this many failed requests.
 */
#define MV_WITNESS_FAILURES_MIN 2u
/**
 * A peer whose last response from the state service is older than this has lost the state service:
 * a renewal of the peer's session and the timeout of that renewal take this long.
 */
#define MV_WITNESS_UNANSWERED_S 1.4
/**
 * A controller that suspects that it is isolated launches no more tasks after the state service has
 * been unreachable for this long.
 */
#define MV_SUSPECT_GRACE_S 0.6
/**
 * A controller that lost the state service waits this long for its peers to report whether they
 * reach the state service.
 */
#define MV_WITNESS_REPORT_TIMEOUT_S 1.5
/** A controller sends each peer a link report this often: as often as it renews its session. */
#define MV_LINK_REPORT_INTERVAL_S 0.7
/**
 * A controller sends each peer a link report this often while the state service does not respond.
 */
#define MV_LINK_REPORT_FAST_INTERVAL_S 0.25
/**
 * A controller ignores link reports of peers that are older than this; a peer sends three in this
 * time.
 */
#define MV_LINK_REPORT_TTL_S 2.0
/**
 * A controller remembers the send times of this many of its own link reports. This number covers
 * the link reports that a controller sends to 30 peers within 2 s.
 */
#define MV_LINK_REPORTS_REMEMBERED 256u
/** A peer has this long to respond to a link report. */
#define MV_LINK_REPORT_TIMEOUT_MS 600
/**
 * If the state service responded to a peer this much later than to this controller, this controller
 * is isolated: in an outage for all controllers the last responses are at most two renewals and
 * their timeouts apart.
 */
#define MV_WITNESS_GAP_S 1.5
/**
 * The link to a peer is down if the peer has not responded for this long and MV_PEER_LINK_FAILURES
 * requests in a row failed.
 */
#define MV_PEER_LINK_TIMEOUT_S 3.0
/**
 * The link to a peer is down if this many requests in a row failed and the peer has not responded
 * for MV_PEER_LINK_TIMEOUT_S.
 */
#define MV_PEER_LINK_FAILURES 3u
/**
 * The owner of a shard steps aside, and loses its shards, after it has been isolated for this long.
 */
#define MV_STEP_ASIDE_AFTER_S 1.0

/* --- Connectivity: launch gate and hold-down --- */

/**
 * After a first link failure, the links must be stable for this long before a controller launches
 * tasks again. The time doubles with each further failure, up to MV_HOLD_DOWN_MAX_S.
 */
#define MV_HOLD_DOWN_INITIAL_S 0.5
/**
 * Longest time for which the links must be stable after a failure before a controller launches
 * tasks again. A failover takes as long as this.
 */
#define MV_HOLD_DOWN_MAX_S 8.0
/** If the links had no failure for this long, the hold-down is MV_HOLD_DOWN_INITIAL_S again. */
#define MV_HOLD_DOWN_RESET_S 60.0

/* --- Connectivity: unrecorded completions --- */

/**
 * Bytes of memory that each job with unrecorded completions takes, in addition to its bitmap of
 * tasks.
 */
#define MV_COMPLETIONS_JOB_BYTES 128
/**
 * Maximum bytes of memory for the unrecorded completions of all jobs. A job with 100,000 completed
 * tasks takes 16 KB.
 */
#define MV_COMPLETIONS_BYTES_MAX (1024 * 1024)
/** Maximum bytes of unrecorded completions in one link report. */
#define MV_COMPLETIONS_PUBLISHED_BYTES_MAX (64 * 1024)

/* --- Controller --- */

/** The server passes the time to the controller this often. */
#define MV_TICK_S 0.1
/**
 * A tick that comes this late shows that this controller's processor is overloaded. For a time
 * that depends on MV_OVERLOAD_FACTOR, missing heartbeats prove nothing, because responses may lie
 * unread.
 */
#define MV_TICK_LATE_S 0.5
/**
 * After a late tick a controller counts as overloaded for this many times the gap between the two
 * ticks, but no longer than MV_OVERLOAD_MAX_S.
 */
#define MV_OVERLOAD_FACTOR 4.0
/** A controller counts as overloaded for at most this long after a late tick. */
#define MV_OVERLOAD_MAX_S 10.0
/**
 * A controller treats a transaction without a result as lost after this long, and may send another.
 * The limit is a safeguard: the server reports a result for every transaction.
 */
#define MV_TRANSACTION_LOST_S 60.0
/**
 * After the state service rejected a transaction as too large, a controller waits this long before
 * it makes a smaller one.
 */
#define MV_TRANSACTION_RETRY_S 3.0

/* --- Agents: heartbeats and health --- */

/** A controller checks every machine once in this many ticks. */
#define MV_HEALTH_CHECK_TICKS 4
/**
 * A controller checks at least this many machines in each tick. A shard or fleet of at most this
 * many machines counts as small, so that work for each machine need not be spread over time.
 */
#define MV_HEALTH_CHECK_MIN 64u
/**
 * The scheduler places nothing on a machine that has sent no heartbeat for this many heartbeat
 * intervals.
 */
#define MV_SCHEDULABLE_HEARTBEATS 2.0
/**
 * A shard's owner probes a machine that has sent no heartbeat for this many heartbeat intervals.
 * Heartbeats come 0.75 to 1.25 intervals apart.
 */
#define MV_PROBE_HEARTBEATS 1.05
/**
 * After a failover, the new owner of a large shard gives each machine this long to send a heartbeat
 * before it probes the machine: probes cost more than heartbeats.
 */
#define MV_PROBE_GRACE_S 1.0
/**
 * The pause before the next probe of a machine grows by this with each unanswered command or probe.
 */
#define MV_PROBE_BACKOFF_S 0.2
/**
 * A machine is unresponsive from this many unanswered direct commands on, and failed after one
 * more.
 */
#define MV_PROBES_FAILED_MAX 2u
/**
 * A machine has failed if it has sent no heartbeat for this many heartbeat intervals and left three
 * probes unanswered.
 */
#define MV_FAILED_HEARTBEATS 1.2
/**
 * A machine has failed if it has sent no heartbeat for this many heartbeat intervals, even if no
 * heartbeat of any other machine arrives.
 */
#define MV_FAILED_ANYWAY_HEARTBEATS 12.0
/**
 * A shard's owner probes a machine with replicas of services that has sent no heartbeat for this
 * long, so that a lost replica is noticed before the next heartbeat is due.
 */
#define MV_REPLICA_PROBE_AFTER_S 1.5
/**
 * A machine with replicas of services has failed if it has sent no heartbeat for this long and left
 * three probes unanswered.
 */
#define MV_REPLICA_FAILED_AFTER_S 4.0
/**
 * If no agent has sent a heartbeat for this many heartbeat intervals, this controller is more
 * likely isolated than all machines are lost.
 */
#define MV_HEARTBEAT_TIMEOUT_INTERVALS 2.5
/**
 * A shard with at least this many machines is large. If no machine of a large shard sends a
 * heartbeat for MV_LARGE_SHARD_TIMEOUT_INTERVALS and more than one machine answers no commands, the
 * shard's owner is considered isolated.
 */
#define MV_LARGE_SHARD_MACHINES 20u
/**
 * The owner of a large shard should have received a heartbeat of some machine within this many
 * heartbeat intervals.
 */
#define MV_LARGE_SHARD_TIMEOUT_INTERVALS 1.0
/**
 * A machine is unreachable for commands if it sends heartbeats but left at least this many commands
 * unanswered, for MV_UNREACHABLE_HEARTBEATS heartbeat intervals.
 */
#define MV_UNREACHABLE_COMMANDS 3u
/**
 * A machine that sends heartbeats is unreachable for commands only after its commands have been
 * unanswered for this many heartbeat intervals.
 */
#define MV_UNREACHABLE_HEARTBEATS 3.0
/**
 * If most machines of a shard leave commands unanswered, the link of this controller probably loses
 * the commands (an asymmetric partition). A machine of the shard then counts as unreachable
 * only after its commands have been unanswered for this many heartbeat intervals.
 */
#define MV_PARTITIONED_HEARTBEATS 10.0
/** The leader has at most this many probes in flight to machines that are in no partition. */
#define MV_UNKNOWN_PROBES_MAX 400u
/**
 * A probe of a machine that is in no partition expires after this long; the leader then probes the
 * machine again at its next heartbeat.
 */
#define MV_UNKNOWN_PROBE_TTL_S 4.0

/* --- Agents: stragglers --- */

/**
 * A controller measures the slowdown of machines by a job's mean runtime after this many tasks of
 * the job are done.
 */
#define MV_SLOWDOWN_SAMPLES_MIN 3
/** Weight of the latest task in the smoothed slowdown of a machine. */
#define MV_SLOWDOWN_SMOOTHING 0.3
/**
 * Share of a machine's slowdown above 1 that is forgotten in a second, so half of the slowdown is
 * forgotten in about 30 s.
 */
#define MV_SLOWDOWN_DECAY_PER_S 0.025
/**
 * The scheduler uses a machine last if the machine takes more than this many times the usual
 * runtime of a job.
 */
#define MV_SLOW_SLOWDOWN 1.5
/** A machine with this slowdown or more is drained and scaled in. */
#define MV_STRAGGLER_SLOWDOWN 4.0
/** A machine on which tasks of this many jobs failed is quarantined and drained. */
#define MV_QUARANTINE_FAILED_JOBS 2

/* --- Agents: commands --- */

/**
 * Maximum number of direct commands that are in flight or wait for a thread. While the limit is
 * reached, new commands for a machine are gathered into one later request.
 */
#define MV_COMMANDS_IN_FLIGHT_MAX 110u
/**
 * If two ticks are further apart than this, the processor is overloaded, and the controller reduces
 * its window of commands in flight.
 */
#define MV_TICK_OVERLOADED_S 0.15
/** With each late tick, the window of commands in flight shrinks to this share of its size. */
#define MV_COMMAND_WINDOW_DECREASE 0.5
/** The window of commands in flight never shrinks below this many commands. */
#define MV_COMMAND_WINDOW_MIN 4u
/** With each tick in time, the window of commands in flight grows by this many commands. */
#define MV_COMMAND_WINDOW_INCREASE 1.0
/**
 * A command that waited for a thread longer than this expires, and the controller makes a new one.
 */
#define MV_COMMAND_TTL_S 4.0
/**
 * If the launch of a task whose job was cancelled may still arrive, the shard's owner answers the
 * machine's heartbeats for this long, so that the launch can be reconciled. After that, the owner
 * rejects the heartbeats.
 */
#define MV_CANCELLED_LAUNCH_GRACE_S 3.0
/**
 * In a large shard, the owner clears the exited tasks of a machine together when there are this
 * many, because each clear command costs a heartbeat.
 */
#define MV_CLEAR_BATCH 8u
/**
 * In a large shard, the owner clears fewer than MV_CLEAR_BATCH exited tasks of a machine only this
 * long after the last time.
 */
#define MV_CLEAR_INTERVAL_S 8.0
/**
 * A controller launches nothing more on a machine for this long after the machine refused a launch:
 * the controller's state of the machine is out of date.
 */
#define MV_LAUNCH_REFUSED_BACKOFF_S 2.0
/**
 * Before the cloud reclaims a machine, the machine's tasks with checkpoints are stopped early
 * enough to save a checkpoint with this much time to spare.
 */
#define MV_RECLAIM_HEADROOM_S 6.0
/** Fencing tokens that an owner reserves at a time; one machine uses at most one per heartbeat. */
#define MV_TOKEN_RANGE 1024u
/** Longest time that exited tasks wait for the command in flight before the token is raised. */
#define MV_RAISE_WAIT_MAX_S 4.0
/** Shortest interval between two reservations of fencing tokens for one shard. */
#define MV_TOKEN_RESERVATION_INTERVAL_S 2.0
/**
 * If a launch has had no response for this long, the leader fences the launch off with a new term.
 */
#define MV_FENCE_AFTER_S 10.0

/* --- Jobs --- */

/** The ratio of actual to estimated runtime is smoothed over this many tasks. */
#define MV_ESTIMATOR_WINDOW 30u
/**
 * After the n-th consecutive failure of its tasks, a job pauses for this long times 2 to the power
 * of n (2 s after the first failure), but no longer than MV_RETRY_MAX_S.
 */
#define MV_RETRY_BASE_S 1.0
/** Longest pause of a job after a failure, so that a job that fails everywhere costs little. */
#define MV_RETRY_MAX_S 30.0
/** A controller writes the completion records of a job at most this often. */
#define MV_FLUSH_INTERVAL_S 0.7
/**
 * Maximum number of completion records in one transaction, so that part of the write rate stays
 * free for other writes.
 */
#define MV_FLUSH_BATCH 8
/**
 * A controller waits at least this long after the last write of a job's records before it tries to
 * record the end of the job.
 */
#define MV_JOB_END_INTERVAL_S 0.1
/**
 * If the state cache does not show the recorded end of a job after this long, the controller sends
 * the end again.
 */
#define MV_JOB_END_RETRY_S 4.5
/**
 * The owner of a job ends the job itself if a cancellation began this long ago and the controller
 * that got the user's request has not ended the job.
 */
#define MV_CANCELLATION_TAKEOVER_S 3.0
/**
 * A controller waits this long between two transactions that delete completion records of ended
 * jobs.
 */
#define MV_GARBAGE_COLLECTION_INTERVAL_S 1.0
/** Maximum number of ended jobs in the cache of final states; each takes about 100 bytes. */
#define MV_FINAL_CACHE_JOBS 20000

/* --- Scheduling: rounds --- */

/** Shortest pause between two scheduling rounds. */
#define MV_ROUND_INTERVAL_MIN_S 0.02
/**
 * The pause between two scheduling rounds grows by this for each pending task, so that batches grow
 * with the load.
 */
#define MV_ROUND_INTERVAL_PER_TASK_S 0.0002
/** Longest pause that pending tasks can cause between two scheduling rounds. */
#define MV_ROUND_INTERVAL_MAX_S 0.5
/**
 * The pause after a scheduling round is at least this for each machine that the round examined.
 * Examining a machine takes 0.1 us, so scheduling takes 1.5% of a core.
 */
#define MV_ROUND_INTERVAL_PER_MACHINE_S 0.000006
/**
 * Longest pause between two scheduling rounds, also after a round that examined many machines.
 * Pending tasks get a round at least this often.
 */
#define MV_ROUND_DEADLINE_S 1.0
/** A scheduling round remembers at most this many kinds of tasks for which no machine fits. */
#define MV_UNSCHEDULABLE_KINDS_MAX 16u
/** Tolerance for rounding errors in sums of cores, GPUs and GB, which may be decimal fractions. */
#define MV_RESOURCE_EPSILON 1e-6

/* --- Scheduling: placement and starvation --- */

/**
 * Default of the longest time that a task waits for a machine that already has its image (see the
 * DESIGN page).
 */
#define MV_IMAGE_WAIT_S 5.0
/**
 * A task waits for a machine that has its image for at most this share of its job's start
 * objective.
 */
#define MV_IMAGE_WAIT_SHARE 0.1
/**
 * The scheduler ignores differences between machines in the time to fetch an image that are below
 * this step.
 */
#define MV_FETCH_STEP_S 0.5
/**
 * A job with a start objective below this is latency-sensitive, and the scheduler may preempt other
 * tasks for the job.
 */
#define MV_LATENCY_SENSITIVE_S 20.0
/**
 * Weight of a team's latest latency-sensitive job in the smoothed size of the team's
 * latency-sensitive jobs.
 */
#define MV_LATENCY_SENSITIVE_SMOOTHING 0.2
/**
 * At most this share of a team's limit is kept free as headroom for the team's latency-sensitive
 * jobs.
 */
#define MV_HEADROOM_SHARE_MAX 0.2
/**
 * A job that has waited this long is starving, and no capacity is kept back from it any more. The
 * operators require that no job is left waiting for 90 s while a machine that fits it has room and
 * its team is under its limit.
 */
#define MV_STARVATION_TIMEOUT_S 45.0
/**
 * A job that was accepted this long ago, and of which no task has been placed, precedes other jobs
 * of the same guarantee and priority.
 */
#define MV_STARVED_AFTER_S 120.0
/**
 * A job that was accepted this long ago, and of which no task has been placed, precedes all other
 * jobs except services that are guaranteed or have production priority. The operators require
 * that the largest jobs begin within 4 minutes.
 */
#define MV_STARVED_SEVERELY_AFTER_S 150.0

/* --- Scheduling: preemption --- */

/** Time until a stop command has reached its agent and its effect is reported. */
#define MV_STOP_LATENCY_S 0.5
/** In one scheduling round, other tasks are preempted for at most this many tasks of a job. */
#define MV_PREEMPTION_BATCH 400u
/**
 * In a large fleet, the scheduler waits this long before it preempts other tasks for the same job
 * again.
 */
#define MV_PREEMPTION_INTERVAL_S 0.7
/**
 * Examining a machine for tasks to preempt costs this many times as much as examining the machine
 * for free resources.
 */
#define MV_PREEMPTION_COST_FACTOR 8

/* --- Scheduling: services --- */

/** Longest start objective of a service: a lost replica must run again within seconds. */
#define MV_SERVICE_START_OBJECTIVE_S 5.0
/**
 * A replica that exited before this age counts as failed, and its successor starts after a pause.
 */
#define MV_REPLICA_LIFETIME_MIN_S 10.0
/** A partition of at least this many machines has reserve slots before its first service. */
#define MV_RESERVE_MACHINES_MIN 50
/** Reserve slots of a large partition before its first service. */
#define MV_RESERVE_SLOTS_INITIAL 16
/** Memory of each reserve slot before a partition's first service. */
#define MV_RESERVE_RAM_GB 2.0
/**
 * Size of the image that a reserve slot is prepared for before a partition's first service:
 * services were announced with this size.
 */
#define MV_RESERVE_IMAGE_GB 2.0
/** Maximum number of slots of a partition that are reserved for replicas. */
#define MV_RESERVE_SLOTS_MAX 64

/* --- Scheduling: defragmentation --- */

/** Maximum number of machines that begin to drain in one defragmentation pass. */
#define MV_DRAIN_BATCH 8u
/**
 * Machines are drained only if the machines that remain have free cores of at least this share of
 * the cores in use.
 */
#define MV_DRAIN_HEADROOM_SHARE 0.2
/**
 * A start counts only if the task is not stopped within this time (see the protocol page), so
 * defragmentation does not move a task that has run for less.
 */
#define MV_START_COUNTS_AFTER_S 30.0
/**
 * Defragmentation moves a task only if the task still has to run for this many times as long as its
 * checkpoint takes.
 */
#define MV_MOVE_REMAINING_FACTOR 1.5
/** Maximum number of tasks that one defragmentation pass examines for a move. */
#define MV_MOVE_BATCH 32u

/* --- Autoscaling: demand and transferable machines --- */

/**
 * The owner of a shard publishes its demand to the leader this often, plus
 * MV_DEMAND_INTERVAL_PER_MACHINE_S for each machine; the leader plans this often.
 */
#define MV_DEMAND_INTERVAL_S 0.5
/**
 * The interval at which the owner of a shard publishes its demand grows by this for each machine of
 * the shard, because each machine adds to the message.
 */
#define MV_DEMAND_INTERVAL_PER_MACHINE_S 0.001
/**
 * The leader ignores a shard's demand, and the machine states in the demand, after this time. An
 * owner ignores older demand of other shards.
 */
#define MV_DEMAND_TTL_S 4.0
/** A machine that has been idle for this long may be transferred to another shard. */
#define MV_TRANSFERABLE_IDLE_S 0.7
/**
 * A shard's owner keeps one in this many machines of the partition, instead of declaring them all
 * transferable.
 */
#define MV_TRANSFERABLE_RETAINED_DIVISOR 20u

/* --- Autoscaling: scale out and in --- */

/**
 * If the whole fleet would finish the pending work in less time than this, the leader requests no
 * machine for work that is not urgent and that the fleet can run.
 */
#define MV_BACKLOG_MIN_S 16.0
/**
 * For latency-sensitive work, the leader multiplies the price of a machine by the machine's boot
 * time plus this.
 */
#define MV_BOOT_PENALTY_S 15.0
/**
 * The leader sends no new request for a type and kind of machine for this long after the cloud had
 * no capacity for that type and kind.
 */
#define MV_CAPACITY_BACKOFF_S 12.0
/**
 * Default of the time, in multiples of the nominal boot time, after which a machine that has not
 * booted is released.
 */
#define MV_BOOT_TIMEOUT_FACTOR 3.0
/**
 * Default of the idle time after which the cheapest kind of machine is scaled in; more expensive
 * machines have a proportionally shorter time.
 */
#define MV_IDLE_TIMEOUT_S 60.0
/**
 * No machine is scaled in before it has been idle for this long, however expensive the machine is.
 */
#define MV_IDLE_TIMEOUT_MIN_S 10.0
/**
 * The cloud charges at least this much time for a machine (see the protocol page), so a younger
 * machine is not scaled in.
 */
#define MV_CHARGE_MIN_S 60.0

/* --- Autoscaling: reconciliation with the cloud --- */

/** The leader requests the list of the cloud's machines this often. */
#define MV_LIST_INTERVAL_S 5.0
/** A controller requests the cloud's machine types and prices this often. */
#define MV_TYPES_INTERVAL_S 60.0
/**
 * The leader adopts a machine that is in the cloud's list, but in no partition, when the machine
 * has this age.
 */
#define MV_ADOPTION_AGE_S 20.0
/**
 * A machine that was scaled in is not adopted again for this long, because a late list may still
 * contain it.
 */
#define MV_RELEASED_TTL_S 60.0

/* --- Storage: requests to the state service --- */

/**
 * Maximum number of requests of users and transactions that one controller sends to the state
 * service at the same time.
 */
#define MV_STATE_STORE_THREADS 8
/** The state service has this long to respond to a request. */
#define MV_STATE_STORE_TIMEOUT_MS 1500
/**
 * If a renewal of the session has no response after this long, the controller sends another
 * renewal.
 */
#define MV_SESSION_TIMEOUT_MS 700
/** Attempts for a request that the state service refuses because the rate limit is exceeded. */
#define MV_STATE_STORE_ATTEMPTS 4
/**
 * Pause after the state service refused a request for the first time because of its rate limit; the
 * second pause is twice as long, the third three times.
 */
#define MV_STATE_STORE_BACKOFF_MS 120
/**
 * A watch ends after this long. Events that a network partition swallowed are seen by the next
 * watch.
 */
#define MV_WATCH_LENGTH_MS 3000
/** A watch ends after this long while polls of users wait for the result of the next watch. */
#define MV_WATCH_LENGTH_SHARED_MS 200
/** Shortest interval between two watches, in which events gather into a batch. */
#define MV_WATCH_INTERVAL_MS 80
/**
 * The interval between two watches grows by this for each live job, because more jobs give more
 * events to batch.
 */
#define MV_WATCH_INTERVAL_PER_JOB_MS 2
/** Longest interval between two watches. */
#define MV_WATCH_INTERVAL_MAX_MS 250

/* --- Storage: write budget --- */

/**
 * If several controllers write completion records, this share of the state service's write limit is
 * for completion records and is divided among those controllers.
 */
#define MV_DEFERRABLE_WRITE_SHARE 0.4
/**
 * After the state service refused a write, a controller multiplies its share of the write limit by
 * this.
 */
#define MV_WRITE_RATE_DECREASE 0.8
/**
 * A controller's share of the write limit never falls below this: with the usual three controllers,
 * a third of the limit is due to each.
 */
#define MV_WRITE_RATE_SHARE_MIN 0.35
/** Each second, a controller adds this to its share of the write limit. */
#define MV_WRITE_RATE_INCREASE 0.05

/* --- Transport: HTTP server --- */

/** Maximum number of connections that wait to be accepted. */
#define MV_HTTP_BACKLOG_CONNECTIONS 1024
/** Share of all sockets for connections that agents and users open. */
#define MV_HTTP_SOCKET_SHARE 0.74
/** Share of the memory for connections that agents and users open. */
#define MV_HTTP_RAM_SHARE 0.4
/** Kilobytes of memory that one incoming connection takes, with its request. */
#define MV_HTTP_CONNECTION_KB 16
/**
 * Bytes of memory that libmicrohttpd allocates for an incoming connection, a part of
 * MV_HTTP_CONNECTION_KB.
 */
#define MV_HTTP_CONNECTION_BYTES (8 * 1024)
/**
 * While more than this share of the allowed connections is open, the HTTP server closes the
 * connection of an agent with each response.
 */
#define MV_HTTP_SATURATED_SHARE 0.85
/**
 * Number of bodies over MV_BODY_BYTES_MAX in MessagePack that are in memory at the same time;
 * further ones are rejected, and their clients may repeat the requests.
 */
#define MV_HTTP_LARGE_BODIES_MAX 16u
/** The HTTP library's thread answers this many requests before it pauses. */
#define MV_HTTP_REQUEST_BATCH 64
/**
 * The HTTP library's thread pauses for this long after each batch of requests, so that every other
 * thread that waits for the controller's lock can take the lock.
 */
#define MV_HTTP_PAUSE_US 1000
/**
 * The HTTP server closes a connection that has been idle for this many heartbeat intervals, but not
 * before MV_CONNECTION_IDLE_MIN_S.
 */
#define MV_CONNECTION_IDLE_HEARTBEATS 4
/**
 * The HTTP server closes no connection that has been idle for less than this, because users poll
 * every 5 s.
 */
#define MV_CONNECTION_IDLE_MIN_S 15

/* --- Transport: HTTP client --- */

/** Longest time to establish a connection; no host is so distant that this takes longer. */
#define MV_CONNECT_TIMEOUT_MS 1000
/**
 * The HTTP client rejects a response of more bytes than this, because responses to watches have no
 * limit of their own.
 */
#define MV_RESPONSE_BYTES_MAX (8 * 1024 * 1024)
/** Maximum number of connections that a thread keeps open to the machines of its command queue. */
#define MV_CLIENT_CONNECTIONS_MAX 60
/** A thread keeps at least this many connections open, even if few sockets are available. */
#define MV_CLIENT_CONNECTIONS_MIN 2
/** Share of all sockets for the connections that the threads for direct commands keep open. */
#define MV_COMMAND_SOCKET_SHARE 0.18

/* --- Transport: peers --- */

/** A peer has this long to respond to a message. */
#define MV_PEER_TIMEOUT_MS 600
/** A peer has at most this long to respond to a user's request that this controller has forwarded.
 */
#define MV_FORWARD_TIMEOUT_MS 1500
/**
 * Maximum bytes of a message between controllers; demand takes 87 bytes for each machine of a
 * partition.
 */
#define MV_FRAME_BYTES_MAX (1024 * 1024)
/**
 * Maximum number of connections from peers, including old connections that are not closed yet. Two
 * peers open up to 62 with the limits below.
 */
#define MV_PEER_CONNECTIONS_MAX 128
/**
 * Maximum number of connections to each peer for forwarded requests. Peers of earlier versions
 * accept 64 connections.
 */
#define MV_FORWARD_CONNECTIONS_MAX 24u
/** Share of all sockets for the connections to each peer for forwarded requests. */
#define MV_FORWARD_SOCKET_SHARE 0.02
/** Maximum number of connections to each peer for cancellations that need an acknowledgement. */
#define MV_CANCEL_CONNECTIONS_MAX 4u
/** A connection to a peer that no message has used for this long is closed by the next message. */
#define MV_PEER_IDLE_S 30.0

/* --- Server: threads and timeouts --- */

/** Stack of a thread: the stacks of hundreds of threads must fit into memory. */
#define MV_THREAD_STACK_BYTES (96 * 1024)
/**
 * Threads for requests of users: at most this many requests wait for the state service or a peer at
 * the same time.
 */
#define MV_REQUEST_THREADS 64
/** Urgent transactions in flight; one more thread sends the deferrable transactions. */
#define MV_TRANSACTION_THREADS 2
/** Requests to the cloud in flight: two, because one request may hang. */
#define MV_CLOUD_THREADS 2
/** The cloud has this long to respond. */
#define MV_CLOUD_TIMEOUT_MS 5000
/** Threads for direct commands; each serves the machines of its own command queue. */
#define MV_COMMAND_THREADS 24
/**
 * Maximum number of additional threads for direct commands. The server starts one if machines that
 * do not respond hold up the other threads.
 */
#define MV_COMMAND_EXTRA_THREADS 72
/**
 * If a thread has been busy with one direct command for longer than this, other threads help with
 * its command queue.
 */
#define MV_COMMAND_QUEUE_SLOW_S 0.1
/** An agent has this long to respond to a direct command. */
#define MV_COMMAND_TIMEOUT_MS 1500
/**
 * An agent has this long to respond to a first probe, which carries no command. The short timeout
 * limits how long a failed machine holds up a thread. The timeout of the next probe grows by this
 * with each unanswered command or probe, up to MV_PROBE_TIMEOUT_MAX_MS.
 */
#define MV_PROBE_TIMEOUT_MS 400
/**
 * Longest time that an agent has to respond to a probe after earlier commands or probes had no
 * response.
 */
#define MV_PROBE_TIMEOUT_MAX_MS 1200
/**
 * While the state service does not respond, a controller checks the health of its peers this often.
 */
#define MV_PEER_HEALTH_INTERVAL_S 0.5

/* --- Server: requests of users --- */

/** A user waits this long for the response to a poll (see the protocol page). */
#define MV_USER_POLL_TIMEOUT_MS 2000
/** A user waits this long for the response to a submission or cancellation. */
#define MV_USER_CHANGE_TIMEOUT_MS 5000
/** Time that a response takes from this controller to the user. */
#define MV_USER_RESPONSE_MS 100
/**
 * A controller counts over this time, and up to twice as long, whether forwarded requests were
 * answered: as long as the load balancer takes to remove an unhealthy node.
 */
#define MV_FORWARDING_WINDOW_S 2.0
/** Fewer forwarded requests without an answer than this do not make a controller unhealthy. */
#define MV_FORWARDING_FAILURES_MIN 4u
/** Users poll a job roughly this often (see the protocol page). */
#define MV_POLL_INTERVAL_S 5.0
/**
 * Share of the state service's rate limit for polls of users. If the expected polls exceed this
 * share, polls share the results of watches instead of reading the state service.
 */
#define MV_POLL_SHARE 0.2
/**
 * A poll waits at most this long for a watch that shows the latest state; after that, the poll
 * reads the state service itself.
 */
#define MV_POLL_WAIT_MAX_S 0.7
/** If this many requests wait for a thread, the server rejects polls. */
#define MV_POLLS_QUEUED_MAX 120u
/**
 * If this many requests wait for a thread, the server rejects every request that would have to
 * wait, not only polls.
 */
#define MV_REQUESTS_QUEUED_MAX 200u
/**
 * A controller remembers which revision the state service had reached this many seconds apart, for
 * cancellations that may be confirmed only some time after they were written.
 */
#define MV_REVISION_SAMPLE_INTERVAL_S 1.0
/**
 * Number of revisions that a controller remembers: they cover the longest shard lease and the
 * longest wait for a response to a heartbeat.
 */
#define MV_REVISION_SAMPLES 64u
/** Value of the Retry-After header of a 503 response, in seconds. */
#define MV_RETRY_AFTER_S 1
/** Largest value of the Retry-After header that users follow, in seconds. */
#define MV_RETRY_AFTER_MAX_S 30
/** Value of the Retry-After header of a 429 response, in seconds. */
#define MV_OVERLOAD_RETRY_AFTER_S 2
/** Attempts to cancel a job whose record or owner changes at the same time. */
#define MV_CANCEL_ATTEMPTS 4
/**
 * A cancellation waits this long for the acknowledgement of the job's owner, which is less than
 * MV_FORWARD_TIMEOUT_MS, so that a forwarded cancellation is answered in time.
 */
#define MV_CANCEL_WAIT_S 0.8
/**
 * Pause before the owner of a job is asked again to acknowledge a cancellation; each further pause
 * is twice as long, up to MV_CANCEL_PAUSE_MAX_MS.
 */
#define MV_CANCEL_PAUSE_MIN_MS 10
/** Longest pause before the owner of a job is asked again to acknowledge a cancellation. */
#define MV_CANCEL_PAUSE_MAX_MS 160
/**
 * After a peer gave no response about a cancellation, the controller asks the peer about no
 * cancellation for this long, so that the requests of users do not wait for the peer one after
 * another.
 */
#define MV_CANCEL_PEER_PAUSE_MS 500
/**
 * If there are more machines than this, the status command prints the number of machines of each
 * kind instead of a list.
 */
#define MV_STATUS_MACHINES_MAX 60u

/* --- Telemetry --- */

/** A repeating event is logged at most once in this time. */
#define MV_LOG_REPEAT_INTERVAL_S 5.0

#endif
