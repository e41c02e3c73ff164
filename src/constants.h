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

/** Largest body, in bytes, of a request and of a response to agents and users. */
#define MV_BODY_BYTES_MAX 65536
/** Largest number of tasks in a job. */
#define MV_JOB_TASKS_MAX 100000
/** Size of a key in the state service, in bytes with the final 0. */
#define MV_KEY_SIZE 201
/** Most commands in one response to a heartbeat; a body of 64 KiB holds about 700 commands. */
#define MV_RESPONSE_COMMANDS_MAX 400
/**
 * The scheduler places at most this many tasks on a machine, because the machine's heartbeat, which
 * also lists exited tasks, must fit into 64 KiB.
 */
#define MV_MACHINE_TASKS_MAX 300
/** Most machines in one scale-out request to the cloud. */
#define MV_INSTANCE_REQUEST_MAX 50
/** Most machines in one scale-in request to the cloud. */
#define MV_SCALE_IN_BATCH 100
/** Machines on one page of the cloud's machine list. */
#define MV_MACHINE_LIST_PAGE 500
/** Records on one page of a list from the state service. */
#define MV_STATE_STORE_PAGE 1000
/** Most bytes of writes in a transaction: 64 KiB less the framing. */
#define MV_TRANSACTION_BYTES_MAX 60000
/**
 * Share by which the monotonic clock of one process may run faster than that of another process.
 */
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
/** Most machine types that the service distinguishes: each type is one bit of a 32-bit mask. */
#define MV_MACHINE_TYPES_MAX 32
/** Shard numbers in records are below this value. */
#define MV_SHARDS_MAX 100
/** Segment numbers of a partition are below this value. */
#define MV_SEGMENTS_MAX 10000
/** Most machines in one segment of a partition: as many as one scale-out request can add. */
#define MV_SEGMENT_MACHINES_MAX 50
/**
 * Bytes of a partition or occupancy record that stay free for the framing around the listed
 * machines.
 */
#define MV_VALUE_HEADROOM_BYTES 64
/**
 * A controller never reduces its limit for the bytes of a value below this, because the records of
 * the service would not fit a smaller value.
 */
#define MV_VALUE_BYTES_MIN 1024
/** Bytes of a shard's record without the names of the teams that the shard serves. */
#define MV_SHARD_RECORD_BYTES 260
/** Smallest limit for the writes of a transaction: with a lower limit no job could be completed. */
#define MV_TRANSACTION_WRITES_MIN 4
/** Most tasks in one completion record: the record has 4 KiB of hex digits. */
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
/** The leader grants no shard to a controller for this long after the controller resigned one. */
#define MV_RESIGNED_BACKOFF_S 60.0
/** The leader waits this long between two moves of shards to controllers that have come back. */
#define MV_REBALANCE_INTERVAL_S 10.0

/* --- Membership: partitions and occupancy records --- */

/** Most segments of a partition that one transaction writes; 64 KiB hold nine segments. */
#define MV_SEGMENTS_BATCH 7u
/** Most segments whose occupancy the shard's owner records in one transaction. */
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
 * Failed requests of a peer that never had a response from the state service before it counts as a
 * witness of its failure.
 */
#define MV_WITNESS_FAILURES_MIN 2u
/**
 * A peer whose last response from the state service is older gets none: a renewal and its timeout.
 */
#define MV_WITNESS_UNANSWERED_S 1.4
/** A controller that has been suspected to be isolated for so long launches nothing. */
#define MV_SUSPECT_GRACE_S 0.6
/** Peers have this long to say whether they reach the state service. */
#define MV_WITNESS_REPORT_TIMEOUT_S 1.5
/** Between link reports to a peer: as often as sessions are renewed. */
#define MV_LINK_REPORT_INTERVAL_S 0.7
/** Between link reports while the state service does not respond. */
#define MV_LINK_REPORT_FAST_INTERVAL_S 0.25
/** Older link reports of peers do not count; three are sent in this time. */
#define MV_LINK_REPORT_TTL_S 2.0
/** Send times of our own link reports that are remembered: 2 s of them, to 30 peers at once. */
#define MV_LINK_REPORTS_REMEMBERED 256u
/** A peer has this long to respond to a link report. */
#define MV_LINK_REPORT_TIMEOUT_MS 600
/**
 * The state service responded to a peer so much later than to us that the fault is ours: two
 * renewals and their timeouts.
 */
#define MV_WITNESS_GAP_S 1.5
/** The link to a peer is down after so long without a response, ... */
#define MV_PEER_LINK_TIMEOUT_S 3.0
/** ... if it also left so many requests unanswered. */
#define MV_PEER_LINK_FAILURES 3u
/** An owner that has been isolated for so long steps aside and loses its shards. */
#define MV_STEP_ASIDE_AFTER_S 1.0

/* --- Connectivity: launch gate and hold-down --- */

/** Links have to be stable for this long after a failure; doubled with each one, ... */
#define MV_HOLD_DOWN_INITIAL_S 0.5
/** ... up to this: a failover costs as much. */
#define MV_HOLD_DOWN_MAX_S 8.0
/** After so long without a failure the hold-down is the initial one again. */
#define MV_HOLD_DOWN_RESET_S 60.0

/* --- Connectivity: unrecorded completions --- */

/** Bytes of memory for each job that has any. */
#define MV_COMPLETIONS_JOB_BYTES 128
/** Bytes of memory for all of them; 100,000 tasks of a job take 16 KB. */
#define MV_COMPLETIONS_BYTES_MAX (1024 * 1024)
/** Bytes of them in one link report. */
#define MV_COMPLETIONS_PUBLISHED_BYTES_MAX (64 * 1024)

/* --- Controller --- */

/** How often the controller gets the time. */
#define MV_TICK_S 0.1
/**
 * A tick that is late by this shows that our own processor is overloaded: then missing heartbeats
 * do not count ...
 */
#define MV_TICK_LATE_S 0.5
/** ... for this many times the delay, ... */
#define MV_OVERLOAD_FACTOR 4.0
/** ... but no longer than this. */
#define MV_OVERLOAD_MAX_S 10.0
/** A transaction without a result for so long is given up; every one gets a result in the end. */
#define MV_TRANSACTION_LOST_S 60.0
/** Before a transaction that was too large is made again, smaller. */
#define MV_TRANSACTION_RETRY_S 3.0

/* --- Agents: heartbeats and health --- */

/** In so many ticks every machine is checked once. */
#define MV_HEALTH_CHECK_TICKS 4
/** Machines that are checked in one tick at least. */
#define MV_HEALTH_CHECK_MIN 64u
/** Heartbeat intervals without a heartbeat after which nothing more is placed on a machine. */
#define MV_SCHEDULABLE_HEARTBEATS 2.0
/**
 * Heartbeat intervals after which it is probed directly; heartbeats come 0.75 to 1.25 intervals
 * apart.
 */
#define MV_PROBE_HEARTBEATS 1.05
/** A machine of a large fleet has this long to send a heartbeat by itself before it is probed. */
#define MV_PROBE_GRACE_S 1.0
/** The pause before the next probe grows by this with each one that is unanswered. */
#define MV_PROBE_BACKOFF_S 0.2
/**
 * Direct commands without a response from which on a machine does not respond; failed takes one
 * more.
 */
#define MV_PROBES_FAILED_MAX 2u
/** Heartbeat intervals after which it is failed if it left three probes unanswered. */
#define MV_FAILED_HEARTBEATS 1.2
/** Heartbeat intervals after which it is failed even if no heartbeat of any machine arrives. */
#define MV_FAILED_ANYWAY_HEARTBEATS 12.0
/** A machine with replicas of services is probed after this long without a heartbeat, ... */
#define MV_REPLICA_PROBE_AFTER_S 1.5
/** ... and is failed after this, if it left three probes unanswered. */
#define MV_REPLICA_FAILED_AFTER_S 4.0
/**
 * Heartbeat intervals without any heartbeat after which it is rather the controller that is
 * isolated.
 */
#define MV_HEARTBEAT_TIMEOUT_INTERVALS 2.5
/** A shard of so many machines ... */
#define MV_LARGE_SHARD_MACHINES 20u
/** ... should have had a heartbeat within so many intervals. */
#define MV_LARGE_SHARD_TIMEOUT_INTERVALS 1.0
/** So many commands without a response, while heartbeats come, ... */
#define MV_UNREACHABLE_COMMANDS 3u
/** ... and for so many heartbeat intervals, make a machine unreachable for commands. */
#define MV_UNREACHABLE_HEARTBEATS 3.0
/**
 * Where most machines are unreachable for commands it rather is our own link that loses them (an
 * asymmetric partition), and none is given up before so many heartbeat intervals.
 */
#define MV_PARTITIONED_HEARTBEATS 10.0
/** Machines of no partition that are probed at once, ... */
#define MV_UNKNOWN_PROBES_MAX 400u
/** ... and again after this long. */
#define MV_UNKNOWN_PROBE_TTL_S 4.0

/* --- Agents: stragglers --- */

/** Completed tasks of a job that make its runtime a measure for machines. */
#define MV_SLOWDOWN_SAMPLES_MIN 3
/** Weight of the latest task in a machine's slowdown. */
#define MV_SLOWDOWN_SMOOTHING 0.3
/** Share of a slowdown that is forgotten in a second: half in about 30 s. */
#define MV_SLOWDOWN_DECAY_PER_S 0.025
/** A machine that takes so many times as long as others for the same job is used last. */
#define MV_SLOW_SLOWDOWN 1.5
/** From this slowdown on a machine is drained and scaled in. */
#define MV_STRAGGLER_SLOWDOWN 4.0
/** A machine on which tasks of so many jobs failed is quarantined and drained. */
#define MV_QUARANTINE_FAILED_JOBS 2

/* --- Agents: commands --- */

/** Commands in flight or waiting for a thread: later ones carry more. */
#define MV_COMMANDS_IN_FLIGHT_MAX 110u
/** Ticks this far apart show that our processor is short; the command window then ... */
#define MV_TICK_OVERLOADED_S 0.15
/** ... shrinks to this share of its size, ... */
#define MV_COMMAND_WINDOW_DECREASE 0.5
/** ... never below this, ... */
#define MV_COMMAND_WINDOW_MIN 4u
/** ... and grows by this with each tick in time. */
#define MV_COMMAND_WINDOW_INCREASE 1.0
/** A command that waited longer for a thread expires and is made again. */
#define MV_COMMAND_TTL_S 4.0
/** A launch of a task whose job was cancelled has this long until it is reconciled. */
#define MV_CANCELLED_LAUNCH_GRACE_S 3.0
/** Exited tasks of a machine that are cleared together, ... */
#define MV_CLEAR_BATCH 8u
/** ... or else so long after the last time; each time costs a heartbeat. */
#define MV_CLEAR_INTERVAL_S 8.0
/** No new launch on a machine after it refused one, for our state of it is out of date. */
#define MV_LAUNCH_REFUSED_BACKOFF_S 2.0
/** Tasks with checkpoints are stopped this long before the cloud reclaims their machine. */
#define MV_RECLAIM_HEADROOM_S 6.0
/** Launches without a response for so long are fenced off by a new term. */
#define MV_FENCE_AFTER_S 10.0

/* --- Jobs --- */

/** Tasks over which the ratio of runtime and its estimate is smoothed. */
#define MV_ESTIMATOR_WINDOW 30u
/** First pause after a task failed; doubles with each failure. */
#define MV_RETRY_BASE_S 1.0
/** Longest such pause: a job that fails everywhere costs little. */
#define MV_RETRY_MAX_S 30.0
/** Completion records of a job are written at most this often. */
#define MV_FLUSH_INTERVAL_S 0.7
/** Completion records in one transaction: leaves writes for others. */
#define MV_FLUSH_BATCH 8
/** Before the end of a job is tried again. */
#define MV_JOB_END_INTERVAL_S 0.1
/** Before the end of a job that does not show in the state cache is sent again. */
#define MV_JOB_END_RETRY_S 4.5
/** Between deletions of completion records that ended jobs left. */
#define MV_GARBAGE_COLLECTION_INTERVAL_S 1.0
/** Ended jobs that are cached, about 100 bytes each. */
#define MV_FINAL_CACHE_JOBS 20000

/* --- Scheduling: rounds --- */

/** Shortest pause between rounds of placement. */
#define MV_ROUND_INTERVAL_MIN_S 0.02
/** Added for each pending task: batches grow with the load. */
#define MV_ROUND_INTERVAL_PER_TASK_S 0.0002
/** Longest pause that pending tasks lead to. */
#define MV_ROUND_INTERVAL_MAX_S 0.5
/**
 * Shortest pause for each machine examined in the last round: 0.1 us each, so 1.5% of a core; ...
 */
#define MV_ROUND_INTERVAL_PER_MACHINE_S 0.000006
/** ... but with it never more than this. Pending tasks get a round at least so often. */
#define MV_ROUND_DEADLINE_S 1.0
/** Kinds of tasks without a fitting machine that a round remembers. */
#define MV_UNSCHEDULABLE_KINDS_MAX 16u
/** Tolerance for sums of decimal fractions: cores, GPUs, GB. */
#define MV_RESOURCE_EPSILON 1e-6

/* --- Scheduling: placement and starvation --- */

/** Wait for a machine that has the image (DESIGN page). */
#define MV_IMAGE_WAIT_S 5.0
/** Share of a start objective that may be spent on waiting for an image. */
#define MV_IMAGE_WAIT_SHARE 0.1
/** Differences in fetch time below this do not matter. */
#define MV_FETCH_STEP_S 0.5
/** Start objectives below this make a job latency-sensitive: they justify preemption. */
#define MV_LATENCY_SENSITIVE_S 20.0
/** Weight of the latest such job in their usual size. */
#define MV_LATENCY_SENSITIVE_SMOOTHING 0.2
/** Share of a team's limit that is kept free as headroom for such jobs at most. */
#define MV_HEADROOM_SHARE_MAX 0.2
/** After this nothing is reserved any more from a job that waits; 90 s are the rule. */
#define MV_STARVATION_TIMEOUT_S 45.0
/** A job of which nothing ran for this long precedes its equals, ... */
#define MV_STARVED_AFTER_S 120.0
/** ... and after this all others; 4 minutes are the rule. */
#define MV_STARVED_SEVERELY_AFTER_S 150.0

/* --- Scheduling: preemption --- */

/** Until a stop command has arrived and its effect is reported. */
#define MV_STOP_LATENCY_S 0.5
/** Tasks of a job for which others are preempted in one round. */
#define MV_PREEMPTION_BATCH 400u
/** In a large fleet, before others are preempted for the same job again. */
#define MV_PREEMPTION_INTERVAL_S 0.7
/** Cost of examining a machine for victims, against 1 for examining it for free resources. */
#define MV_PREEMPTION_COST_FACTOR 8

/* --- Scheduling: services --- */

/** A lost replica is to be back within seconds. */
#define MV_SERVICE_START_OBJECTIVE_S 5.0
/** A replica that exited sooner failed: the next one waits a little. */
#define MV_REPLICA_LIFETIME_MIN_S 10.0
/** Machines of a partition that has a reserve before its first service, ... */
#define MV_RESERVE_MACHINES_MIN 50
/** ... of so many slots, ... */
#define MV_RESERVE_SLOTS_INITIAL 16
/** ... with so much memory each, ... */
#define MV_RESERVE_RAM_GB 2.0
/** ... and an image of this size: with these services were announced. */
#define MV_RESERVE_IMAGE_GB 2.0
/** Slots that are reserved for replicas in a partition at most. */
#define MV_RESERVE_SLOTS_MAX 64

/* --- Scheduling: defragmentation --- */

/** Machines that begin to drain in one pass. */
#define MV_DRAIN_BATCH 8u
/** Share of the cores in use that has to be free on the other machines. */
#define MV_DRAIN_HEADROOM_SHARE 0.2
/** A start counts if the task is not stopped sooner (protocol page). */
#define MV_START_COUNTS_AFTER_S 30.0
/** A task is moved only if it has to run for so many times as long as its checkpoint takes. */
#define MV_MOVE_REMAINING_FACTOR 1.5
/** Tasks that are examined for a move in one pass. */
#define MV_MOVE_BATCH 32u

/* --- Autoscaling: demand and transferable machines --- */

/** How often the owners of shards publish their demand to the leader, ... */
#define MV_DEMAND_INTERVAL_S 0.5
/** ... and less often by this for each machine in it. */
#define MV_DEMAND_INTERVAL_PER_MACHINE_S 0.001
/** Older demand is not acted upon. */
#define MV_DEMAND_TTL_S 4.0
/** A machine that has been idle for this long is transferable to other shards. */
#define MV_TRANSFERABLE_IDLE_S 0.7
/** One in so many of a partition's machines is not. */
#define MV_TRANSFERABLE_RETAINED_DIVISOR 20u

/* --- Autoscaling: scale out and in --- */

/** Nothing is requested for less pending work than this, measured in time of the whole fleet. */
#define MV_BACKLOG_MIN_S 16.0
/** For latency-sensitive work a price is multiplied by the boot time plus this. */
#define MV_BOOT_PENALTY_S 15.0
/** No new request for a type and kind of machine that had no capacity. */
#define MV_CAPACITY_BACKOFF_S 12.0
/** A machine that boots for longer than so many times the nominal time is given up. */
#define MV_BOOT_TIMEOUT_FACTOR 3.0
/** The cheapest kind of machine is scaled in after so long without work, ... */
#define MV_IDLE_TIMEOUT_S 60.0
/** ... and the dearest not before this. */
#define MV_IDLE_TIMEOUT_MIN_S 10.0
/** A machine costs at least this (protocol page). */
#define MV_CHARGE_MIN_S 60.0

/* --- Autoscaling: reconciliation with the cloud --- */

/** Between lists of the cloud's machines. */
#define MV_LIST_INTERVAL_S 5.0
/** Between lists of machine types and prices. */
#define MV_TYPES_INTERVAL_S 60.0
/** A listed machine that is in no partition is adopted at this age. */
#define MV_ADOPTION_AGE_S 20.0
/** A machine that was scaled in is not adopted again from a late list for so long. */
#define MV_RELEASED_TTL_S 60.0

/* --- Storage: requests to the state service --- */

/** Requests of users and transactions at the state service at once. */
#define MV_STATE_STORE_THREADS 8
/** A request has this long to get a response. */
#define MV_STATE_STORE_TIMEOUT_MS 1500
/** A renewal of the session without a response is sent again after this. */
#define MV_SESSION_TIMEOUT_MS 700
/** Attempts of a request that was refused over the rate limit. */
#define MV_STATE_STORE_ATTEMPTS 4
/** First pause after such a refusal; the second is twice as long, and so on. */
#define MV_STATE_STORE_BACKOFF_MS 120
/** Length of one watch: events that a network partition swallows show after it, ... */
#define MV_WATCH_LENGTH_MS 3000
/** ... and its length while polls of users wait for the next one. */
#define MV_WATCH_LENGTH_SHARED_MS 200
/** Shortest interval between watches, so that events are batched, ... */
#define MV_WATCH_INTERVAL_MS 80
/** ... longer for each live job, as there is more to batch, ... */
#define MV_WATCH_INTERVAL_PER_JOB_MS 2
/** ... but never longer than this. */
#define MV_WATCH_INTERVAL_MAX_MS 250

/* --- Storage: write budget --- */

/**
 * Share of the limit for writes that is for completion records where several controllers write
 * them.
 */
#define MV_DEFERRABLE_WRITE_SHARE 0.4
/** Share of our part of that limit that is left after a refusal, ... */
#define MV_WRITE_RATE_DECREASE 0.8
/** ... never below a third, as three controllers are usual, ... */
#define MV_WRITE_RATE_SHARE_MIN 0.35
/** ... and so much is added in each second. */
#define MV_WRITE_RATE_INCREASE 0.05

/* --- Transport: HTTP server --- */

/** Connections that wait to be accepted. */
#define MV_HTTP_BACKLOG_CONNECTIONS 1024
/** Share of all sockets for connections that others open. */
#define MV_HTTP_SOCKET_SHARE 0.74
/** Share of the memory for them. */
#define MV_HTTP_RAM_SHARE 0.4
/** Kilobytes of memory that one of them takes, with its request. */
#define MV_HTTP_CONNECTION_KB 16
/** Bytes of them that libmicrohttpd allocates for a connection. */
#define MV_HTTP_CONNECTION_BYTES (8 * 1024)
/**
 * When more than this share of connections is open, those of agents are closed with each response.
 */
#define MV_HTTP_SATURATED_SHARE 0.85
/** Requests that are answered without a pause of the library's thread. */
#define MV_HTTP_REQUEST_BATCH 64
/** Microseconds of that pause: all that waits for the controller's lock gets its turn. */
#define MV_HTTP_PAUSE_US 1000
/** Heartbeat intervals after which an idle connection is closed, ... */
#define MV_CONNECTION_IDLE_HEARTBEATS 4
/** ... but not before this: users poll every 5 s. */
#define MV_CONNECTION_IDLE_MIN_S 15

/* --- Transport: HTTP client --- */

/** To connect; nothing is further away than this. */
#define MV_CONNECT_TIMEOUT_MS 1000
/** Bytes of a response that we read; watches have no limit of their own. */
#define MV_RESPONSE_BYTES_MAX (8 * 1024 * 1024)
/** Connections that a thread keeps open: to the machines of its command queue, ... */
#define MV_CLIENT_CONNECTIONS_MAX 60
/** ... and at least so many, however few sockets there are. */
#define MV_CLIENT_CONNECTIONS_MIN 2
/** Share of all sockets for the connections that direct commands keep open. */
#define MV_COMMAND_SOCKET_SHARE 0.18

/* --- Transport: peers --- */

/** A peer has this long to respond. */
#define MV_PEER_TIMEOUT_MS 600
/** A peer has this long for a user's request that it serves for us. */
#define MV_FORWARD_TIMEOUT_MS 1500
/**
 * Bytes of a message between controllers; demand takes 87 for each machine of a partition, as
 * measured.
 */
#define MV_FRAME_BYTES_MAX (1024 * 1024)
/** Connections from peers, old ones included. */
#define MV_PEER_CONNECTIONS_MAX 64

/* --- Server: threads and timeouts --- */

/** Stack of a thread: hundreds must fit into the memory. */
#define MV_THREAD_STACK_BYTES (96 * 1024)
/** Requests of users that wait for the state service or a peer at once. */
#define MV_REQUEST_THREADS 64
/** Transactions in flight; one more thread has the deferrable ones. */
#define MV_TRANSACTION_THREADS 2
/** Requests to the cloud in flight: one may hang. */
#define MV_CLOUD_THREADS 2
/** The cloud has this long to respond. */
#define MV_CLOUD_TIMEOUT_MS 5000
/** Direct commands in flight, ... */
#define MV_COMMAND_THREADS 24
/** ... and so many more where machines that do not respond hold those up. */
#define MV_COMMAND_EXTRA_THREADS 72
/** A command queue that is busy for longer is helped by others. */
#define MV_COMMAND_QUEUE_SLOW_S 0.1
/** An agent has this long to respond to a direct command, ... */
#define MV_COMMAND_TIMEOUT_MS 1500
/**
 * ... and this long to a probe, which carries no command: a failed machine then holds up less.
 * Longer with each unanswered one, ...
 */
#define MV_PROBE_TIMEOUT_MS 400
/** ... up to this. */
#define MV_PROBE_TIMEOUT_MAX_MS 1200
/** Between health checks of peers while the state service does not respond. */
#define MV_PEER_HEALTH_INTERVAL_S 0.5

/* --- Server: requests of users --- */

/** Users poll a job roughly this often (protocol page). */
#define MV_POLL_INTERVAL_S 5.0
/**
 * Share of the state service's rate limit for polls; above it they share the results of watches.
 */
#define MV_POLL_SHARE 0.2
/** A poll waits so long for a watch; after that it reads for itself all the same. */
#define MV_POLL_WAIT_MAX_S 0.7
/** Requests that wait for a thread; with more of them polls are rejected, ... */
#define MV_POLLS_QUEUED_MAX 120u
/** ... and with more than this all others that would wait. */
#define MV_REQUESTS_QUEUED_MAX 200u
/** Seconds in Retry-After of a 503. */
#define MV_RETRY_AFTER_S 1
/** Seconds in Retry-After of a 429. */
#define MV_OVERLOAD_RETRY_AFTER_S 2
/** Attempts of a cancellation against a record that changes meanwhile. */
#define MV_CANCEL_ATTEMPTS 4
/** More machines than these are counted by kind in the status, not listed. */
#define MV_STATUS_MACHINES_MAX 60u

/* --- Telemetry --- */

/** A repeating event is printed once in this time. */
#define MV_LOG_REPEAT_INTERVAL_S 5.0

#endif
