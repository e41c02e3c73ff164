/**
 * A fixture for tests of single decisions: one controller, and simulated machines that execute its
 * commands. The fixture uses no threads, no sockets and no real clock. `sim.h` simulates whole
 * deployments.
 *
 * The controller under test is n0. A test sets fields of a zeroed controller_fixture, calls either
 * fixture_own_fleet() or fixture_create_machines() and fixture_start(), advances the clock with
 * fixture_advance_idle() or fixture_advance(), and calls fixture_free() at the end.
 *
 * A machine is identified by its index, which starts at 0. Fields in which 0 means "no machine"
 * hold the index plus 1. Times are seconds of the fixture's clock.
 */
#ifndef MV_CONTROLLER_FIXTURE_H
#define MV_CONTROLLER_FIXTURE_H
#include "fake_cloud.h"
#include "fake_state_store.h"
#include "fake_worker.h"

#include "coordination/controller.h"

/** Maximum number of machines in a fixture. */
#define MACHINES 4000
/** Number of jobs that a test usually adds. */
#define JOBS 120
/** Number of tasks of a job from fixture_add_batch_job(). */
#define TASKS 60

/** Incarnation of controller n0. Controller nK has the incarnation FIXTURE_INCARNATION + K. */
#define FIXTURE_INCARNATION 7
/** Format of a machine's address. The argument is the port as `unsigned`: FIXTURE_FIRST_PORT plus
 * the machine's index. */
#define FIXTURE_ADDRESS_FORMAT "10.1.0.1:%u"
#define FIXTURE_FIRST_PORT 1000
/** Number of machines in a segment that fixture_put_partition() writes. The first machine of a
 * segment and every fourth machine after it have the type "big"; the other machines have the type
 * "small". */
#define FIXTURE_SEGMENT_MACHINES 40

typedef struct {
    /* The test sets these fields before the start or while it runs. */
    unsigned machines; /* number of machines */
    double report_s;   /* interval between two heartbeats of a machine */
    double run_s;      /* running time of each task; 0: tasks never end */
    double tick_s;     /* interval between two ticks; 0: a tenth of a second */
    /* Whether the operator settings enable the launch gate; the peers are n1 and n2. */
    bool launch_gate;
    /* Index + 1 of a machine that sends no heartbeat and answers no command; 0: none. */
    unsigned dead_machine;
    /* Index + 1 of a machine whose heartbeats carry a reclaim notice of the cloud; 0: none. */
    unsigned reclaimed_machine;
    /* ID of the job whose start `first_start` records, borrowed; NULL: none. */
    const char *watched;
    /* Queues of mv_action that the test owns. If a queue is set, the fixture appends the
     * controller's commands or transactions to it and does not carry them out; if it is NULL, the
     * fixture carries them out at once. */
    GQueue *held_commands;
    GQueue *held_transactions;

    /* The test reads these fields. */
    double now;
    uint64_t revision; /* revision of the last record that was put */
    unsigned launches, commands;
    unsigned stops;             /* number of stop commands carried out */
    double last_grace_period_s; /* grace period of the last stop command carried out */
    double first_start; /* when the first task of the job `watched` started; 0: none has started */
    mv_settings *settings;
    mv_controller *controller;
    /* The mv_reported_task of each machine; created by fixture_create_machines(). */
    GArray *tasks[MACHINES];
    uint64_t fencing_tokens[MACHINES];

    /* Only the fixture uses these fields. */
    uint64_t sequences[MACHINES]; /* sequence number of each machine's last heartbeat */
    GHashTable *running_tasks;    /* "job/task" of each running task -> its start time, double */
    GQueue *unanswered_commands;  /* of unanswered_command, to the dead machine */
    unsigned next_heartbeat;      /* number of heartbeats so far; the machines send them in turn */
    double heartbeats_due;        /* number of heartbeats to send, including a fraction of one */
} controller_fixture;

/** A command to the dead machine, which fails when its timeout ends. */
typedef struct {
    uint64_t id; /* ID of the action */
    double times_out_at;
} unanswered_command;

/* --- start and end --- */

/** Creates the task lists of the machines. The test sets the number of machines before the call. */
void fixture_create_machines(controller_fixture *fixture);
/** Starts a new controller with a valid lease session and the list of machine types. The controller
 * has seen no record yet. */
void fixture_start(controller_fixture *fixture);
/** Creates the machines, starts the controller and loads its records. According to the records, the
 * controller owns shard 0, the partition of shard 0 names all machines, and each machine may hold
 * tasks. */
void fixture_own_fleet(controller_fixture *fixture);
/** Frees the controller, its settings and the machines. The caller frees the fixture itself and the
 * held queues. */
void fixture_free(controller_fixture *fixture);

/* --- time and actions --- */

/** Advances the clock, renews the lease session and marks the state cache as up to date. The
 * controller gets no tick and no heartbeat. */
void fixture_advance_idle(controller_fixture *fixture, double seconds);
/** Advances the clock in steps of `tick_s`. In each step the session is renewed, the state cache is
 * marked as up to date, the controller gets a tick, its actions are carried out, and the machines
 * whose turn has come send heartbeats. */
void fixture_advance(controller_fixture *fixture, double seconds);
/** Carries out the controller's actions at once, except those that go into a held queue.
 * Transactions are reported as committed without a change of records; machines execute their
 * commands. */
void fixture_run_actions(controller_fixture *fixture);

/* --- machines --- */

/** Writes the name of the machine with this index to `out`. */
void fixture_machine_id(unsigned index, char *out, size_t size);
/** Lets the machine execute commands (mv_command; NULL: none). Ends the test if a command launches
 * a task that already runs on some machine. */
void fixture_execute_commands(controller_fixture *fixture, unsigned index, const GArray *commands);
/** Ends the machine's tasks that have run for `run_s` and fills in the machine's next heartbeat.
 * The caller clears the heartbeat with mv_heartbeat_clear(). */
void fixture_heartbeat(controller_fixture *fixture, unsigned index, mv_heartbeat *heartbeat);
/** Advances the clock by one second and lets machine 0 send one heartbeat and execute the response.
 * Returns the number of commands of this kind for the job in the response. */
unsigned fixture_heartbeat_once(controller_fixture *fixture, mv_command_kind kind, const char *job);
/** Returns the number of tasks that run on a machine. */
unsigned fixture_running_tasks(const controller_fixture *fixture, unsigned index);

/* --- records --- */

/** Delivers a changed record of the state store to the controller's state cache, under the next
 * revision. Takes ownership of `data`; NULL means that the record was removed. */
void fixture_put_record(controller_fixture *fixture, const char *key, GBytes *data);
/** Returns a new list of two machine types, "big" and "small", for mv_controller_types_listed(),
 * which takes ownership of the list. */
GArray *fixture_machine_types(void);
/** Puts the partition records of shard 0, which name all machines as members, and the occupancy
 * records, which say that each of these machines may hold tasks. */
void fixture_put_partition(controller_fixture *fixture);
/** Puts the segment with this number of the partition of shard 0. The segment names `count`
 * machines of the type "small", of which the first has the index `from`. */
void fixture_put_segment(controller_fixture *fixture, unsigned segment, unsigned from,
                         unsigned count);
/** Puts the record of a job of the team "a" without a deadline. Replaces the names and the deadline
 * in `spec` and keeps its other fields. */
void fixture_put_job(controller_fixture *fixture, mv_job_spec spec, const char *id,
                     const char *class_name, const char *image_name);
/** Puts a batch job of TASKS tasks, whose name holds its index. A job of at most 8 cores per task
 * has the class "rush" and high priority; a larger job has the class "refresh" and standard
 * priority. */
void fixture_add_batch_job(controller_fixture *fixture, unsigned index, double cores);
/** Puts the records that make the controller under test the owner of shard 0 under this term, which
 * is the last that the counter of terms has given. */
void fixture_grant_shard(controller_fixture *fixture, uint64_t term);
/** Puts the record that grants a shard to the node. The team "a" has its home in the shard. */
void fixture_put_shard(controller_fixture *fixture, const char *key, const char *node,
                       uint64_t incarnation, uint64_t term);
/** Puts the records that make n0 the leader. `controllers` controllers n0, n1 and so on own one
 * shard each: nK owns shard K. */
void fixture_lead(controller_fixture *fixture, unsigned controllers);
/** Returns the node that owns a shard according to the controller's state cache. The controller
 * owns the string. */
const char *fixture_shard_owner(controller_fixture *fixture, unsigned shard);
/** Returns a new demand of n1 for shard 1 that offers machine 1 for transfer at this revision of
 * its occupancy record. mv_controller_shard_demand() takes ownership of the demand. */
mv_shard_demand *fixture_offer_machine(uint64_t term, uint64_t revision);

/* --- transactions --- */

/** Delivers the writes of a transaction to the state cache as changed records, then reports the
 * transaction as committed. */
void fixture_apply_transaction(controller_fixture *fixture, const mv_action *action);
/** Returns the revision that a transaction expects of a key; 0 if the transaction has no
 * precondition on the key or expects that the key does not exist. */
uint64_t fixture_precondition_revision(const mv_action *action, const char *key);
#endif
