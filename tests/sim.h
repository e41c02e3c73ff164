/**
 * A simulation of a whole deployment with real controllers: three controllers, a state store, a
 * cloud, workers and users, with delays, losses, duplicates, crashes, partitions and outages. The
 * simulation checks every rule that the controllers must keep after each event.
 *
 * A plan and a seed determine a run: the same plan and seed give the same events in the same order.
 * The simulation uses no threads, sockets or clocks: time is a number that advances from event to
 * event. Times are seconds of the simulation and start at 0.
 */
#ifndef MV_SIM_H
#define MV_SIM_H
#include "fake_cloud.h"
#include "fake_state_store.h"
#include "fake_worker.h"

#include "coordination/controller.h"

/** The state of a run, defined in sim_internal.h. */
typedef struct sim sim;

/** Combinations of faults that sim_plan.combination_count can count. With the count, a test shows
 * that its plan causes the situation that the test is meant to cover. */
typedef enum {
    SIM_PLAN_SPECIFIC,              /* occurrences that the plan's own fault counts, if any */
    SIM_RESPONSES_LOST,             /* transactions applied without delay whose response is lost */
    SIM_DEPOSED_COMMANDS,           /* commands under a lower fencing token than the machine's */
    SIM_CANCELLED_AT_LEADER_CHANGE, /* jobs cancelled within seconds after their leader ended */
    SIM_EARLY_LAUNCHES, /* tasks that start within five seconds after their machine booted */
    SIM_DUPLICATES_FOR_NEXT_LEADER,  /* old heartbeats sent again when a new leader starts */
    SIM_CRASH_IN_OUTAGE,             /* controllers that end during an outage of the state store */
    SIM_CANCELLED_AT_LIMIT,          /* jobs cancelled while their team is at its quota */
    SIM_CANCELLED,                   /* jobs cancelled */
    SIM_CUT_AT_EVENT,                /* controllers cut off when they send a transaction */
    SIM_MOVED_REPLICAS,              /* replicas that ran when their machine got a reclaim notice */
    SIM_COPIES_OF_FORGOTTEN_LAUNCHES /* copies of executed commands that launch an attempt of which
                                        the machine knows nothing any more */
} sim_fault_combination;

/** The events for which copies of executed commands are held (sim_plan.copies_after_events). */
typedef enum {
    SIM_COPY_ANY_EVENT,        /* drawn for each copy */
    SIM_COPY_AFTER_FORGOTTEN,  /* the machine does not know an attempt any more that it launched */
    SIM_COPY_AFTER_DONE,       /* the same, and the task has completed */
    SIM_COPY_AFTER_ELSEWHERE,  /* the task runs on another machine */
    SIM_COPY_AFTER_CANCELLED,  /* a user may have been told that the job is cancelled */
    SIM_COPY_AFTER_CANCEL_S,   /* the same, and cancel_s is over */
    SIM_COPY_AFTER_CONTROLLER, /* a controller's process starts; one more copy at the next start */
    SIM_COPY_AFTER_NEW_TERM,   /* the machine has seen the term of another grant or transfer */
    SIM_COPY_AFTER_HANG,       /* the machine hangs; the copy is executed when it continues */
    SIM_COPY_EVENTS            /* number of values */
} sim_copy_event;

/** Links of a controller, for a schedule of cuts. */
typedef enum {
    SIM_LINK_STATE,           /* to the state store, both directions */
    SIM_LINK_STATE_RESPONSES, /* the state store executes requests, but the responses are lost */
    SIM_LINK_WATCHES,         /* watches get no response; other requests do */
    SIM_LINK_PEERS,           /* to the other controllers, both directions */
    SIM_LINK_PEERS_OUTGOING,  /* messages to peers are lost; messages from peers arrive */
    SIM_LINK_WORKERS,         /* to the machines */
    SIM_LINK_ALL_STATE,       /* an outage of the state store for all controllers */
    SIM_LINKS                 /* number of links */
} sim_link;

/** One cut of a schedule: which link of which controller breaks, and when. */
typedef struct {
    unsigned node; /* index of the controller */
    sim_link link;
    double at, for_s; /* time at which the cut begins, and duration of the cut */
} sim_cut;

/** How cuts of single controllers held launches. Only cuts that lasted longer than
 * LAUNCH_AFTER_CUT_MAX_S count. Except for `longest_s`, the fields are sums over these cuts. */
typedef struct {
    unsigned cuts;         /* cuts that count */
    unsigned launched;     /* cuts during which the controller still launched a task */
    double last_launch_s;  /* seconds from the start of a cut to the last launch during the cut */
    double longest_s;      /* maximum of the seconds from the start of a cut to the last launch */
    unsigned healed;       /* healed cuts after which the controller launched a task */
    double first_launch_s; /* seconds from the healing of a cut to the first launch */
} sim_launch_latency;

/** Times and limits from the settings of a site. When a controller starts, the simulation replaces
 * `value_kb` and `transaction_writes` by its own limits for values and transactions. */
typedef struct {
    double report_s, lease_s, cancel_s;
    double state_store_rps, state_store_write_rps, value_kb;
    unsigned transaction_writes;
    double cloud_rps, machine_list_lag_s;
    double checkpoint_interval_s, checkpoint_cost_s; /* for jobs that save checkpoints */
} sim_site_profile;

/** Callbacks that receive each decision of the controllers when it is made. The callbacks must not
 * change the run, and may use their arguments only during the call. */
typedef struct {
    /** Called with each action that the simulation takes from a controller. */
    void (*action)(gpointer user, unsigned node, double now, const mv_action *action);
    /** Called with each response to a heartbeat, even if the response is lost. */
    void (*answer)(gpointer user, unsigned node, double now, const mv_heartbeat_response *answer);
    gpointer user;
} sim_observer;

/**
 * The workload and the faults of a run. If all fields except jobs, shards, faults_end_at and
 * deadline_at are zero, the run has no faults.
 *
 * A field marked "mean" is the average interval, in seconds, between random occurrences of a fault
 * until faults_end_at; 0: the fault never occurs. A field marked "share" is a probability from 0 to
 * 1. The caller keeps the objects that pointers refer to, and they must outlive the run.
 */
typedef struct {
    const sim_observer *witness;     /* NULL: no observer */
    const sim_site_profile *profile; /* NULL: the simulation's default times and limits */
    double checkpointing; /* share of jobs that save checkpoints and have idle priority */

    /* Faults of controllers and machines; each field is a mean. */
    double crash;                 /* a controller ends and restarts */
    double all_crash;             /* all controllers end and restart */
    double state_cut;             /* a controller is cut off from the state store */
    double worker_cut;            /* a controller is cut off from its machines */
    double outage;                /* the state store is unreachable for all controllers */
    double machine_crash;         /* a machine ends for good */
    double machine_cut;           /* a machine reaches no controller */
    double block_commands;        /* heartbeats arrive; responses and commands do not */
    double isolate;               /* a controller reaches its workers, but no state store or peer */
    double freeze;                /* a controller's process pauses, often beyond its leases */
    double quick_restart;         /* one or all controllers restart within a fraction of a second */
    double machine_quick_restart; /* a machine restarts at once, without its tasks */

    /* Faults of messages, and kinds of jobs; each field is a share. */
    double message_loss, message_delay; /* shares of messages that are lost, and that arrive after
                                           their sender has given up */
    double duplicate_heartbeats;        /* share of heartbeats repeated seconds to minutes later */
    double slow_commands;     /* share of commands that wait for seconds before execution */
    double cancel;            /* share of jobs that the user cancels */
    double latency_sensitive; /* share of jobs that may preempt other jobs */

    /* More faults; a field is a mean unless its comment says otherwise. */
    double leader_crash;     /* the leader ends and restarts */
    double block_heartbeats; /* heartbeats of a machine are lost; commands arrive */
    double machine_hang;     /* a machine pauses; commands wait and are executed after the pause */
    double zone_cut;         /* half of the machines and one controller reach only each other */
    double away; /* with all_crash: seconds until the controllers restart; 0: a few seconds */
    double slow_state_store; /* share of transactions with a late response */
    double uneven_runtimes;  /* jobs have two or three tasks, of which one runs this many times as
                                long as the others */
    double cancel_at_completion;       /* share of jobs cancelled when their last task ends */
    double leader_refused_then_outage; /* the state store refuses the leader, users cancel jobs,
                                          then an outage of this many seconds follows */
    double peers_unreachable;          /* controllers cannot reach each other for a while */
    double reclaim_wave; /* the cloud takes a third of the spot machines at once. The plan must also
                            set machine_crash, because some rules assume that no machine ends unless
                            machine_crash is set */
    double burst;        /* share of jobs submitted within the same ten seconds */
    double cloud_outage; /* the cloud refuses all requests for a while */
    double services;     /* share of jobs that are services */
    double rolling_upgrade;   /* seconds between restarts as the new release, one controller after
                                 the other; all controllers start as the old release; 0: none */
    double limits_reduced_at; /* time at which the state store's limits fall; 0: never. Controllers
                                 that start as the new release get the reduced limits */
    bool limits_unannounced;  /* controllers are never told about the reduced limits */
    double reclaim_notice;    /* the cloud takes a spot machine back some seconds after a notice */
    double
        cancel_at_leader_change; /* share of jobs cancelled within seconds after a leader ended */
    bool quick_boot;             /* machines boot within two seconds */
    bool duplicates_for_next_leader; /* duplicates of heartbeats are held for the next leader */
    bool cancel_in_gap; /* with leader_refused_then_outage: users cancel jobs when the state store
                           refuses the leader, and the outage follows one second later */
    bool single_tasks;  /* every job has one task */
    /* Users cancel jobs through controllers, which need the owner's acknowledgement. Otherwise a
     * cancellation is written at once, as a controller of the version in production does. */
    bool acknowledged_cancellations;
    /* The transaction of a cancellation does not require the grant under which the owner
     * acknowledged the cancellation. With this fault of the controllers, a rule must break. */
    bool cancellations_ignore_grant;
    double image_fetch_s; /* seconds in which a machine fetches the image of a task */
    double relist; /* a controller lists all records again, in pages read at different times */
    double command_copies;      /* share of executed direct commands with launches of which a copy
                                   arrives later, at a random time */
    double copies_after_events; /* share of these commands of which a copy arrives right after an
                                    event such as a clear or a cancellation */
    sim_copy_event copy_event;  /* the event of copies_after_events */
    double machine_restart_in_epoch; /* mean; a machine restarts without its tasks; agent epoch,
                                        sequence and fencing token go on */
    double machine_restart_anew;     /* mean; a machine restarts without its tasks, and agent epoch,
                                        sequence and fencing token begin anew */
    double late_returns;     /* share of requests to return machines that the cloud executes up to
                                minutes later, without a response */
    unsigned *returned_late; /* the run adds the machines that such requests returned; NULL: no
                                count */

    unsigned *combination_count; /* the run adds the occurrences of `combination`; NULL: no count */
    sim_fault_combination combination;
    double faults_end_at; /* no fault begins after this time */
    double deadline_at;   /* seconds after faults_end_at within which all jobs must end */

    /* Links of controllers. */
    bool launch_gate;                             /* the operators have turned the launch gate on */
    mv_launch_without_state launch_without_state; /* operator setting of the same name */
    unsigned launch_gate_nodes;  /* number of controllers with the launch gate; 0: all controllers.
                                    Controllers without the gate publish no link reports */
    double link_flapping;        /* mean; one link breaks and heals within seconds, 20 times */
    double state_responses_lost; /* mean; requests reach the state store, but responses are lost */
    double watches_lost;         /* mean; watches get no response; other requests do */
    double peer_outgoing_lost;   /* mean; messages from a controller to its peers are lost, while
                                    messages from the peers arrive */
    double cut_at_events; /* share of transactions with launches, completions or ends of jobs at
                             which the controller that sends the transaction is cut off */
    const sim_cut *cuts;  /* a schedule of cuts, in addition to random cuts or instead of them */
    unsigned cut_count;

    unsigned *relaunched_completed;     /* the run adds the launches of completed tasks whose
                                           completion a running controller knew; NULL: no count */
    sim_launch_latency *launch_latency; /* NULL: not measured */
    unsigned shards, jobs;
    unsigned small_zone; /* machines that a second zone can provide. If set, some jobs must run in
                            one zone, and some other jobs must spread over both; 0: one zone */
} sim_plan;

/**
 * Executes one run in the calling thread. Runs share only the switches of mutation testing, so
 * several runs can execute in parallel in separate processes.
 *
 * @return NULL if every rule held and all jobs ended; otherwise a text with the first broken rule
 *         and the time of the violation. The caller frees the text.
 */
char *sim_run(guint32 seed, const sim_plan *plan);
#endif
