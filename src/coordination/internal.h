/* What the parts of the core share. Nothing outside coordination/ includes this. */
#ifndef MV_CORE_INTERNAL_H
#define MV_CORE_INTERNAL_H
#include "coordination/core.h"
#include "connectivity/connectivity.h"
#include "connectivity/outcomes.h"
#include "guards.h"
#include "protocol/names.h"

#ifdef MV_BREAKABLE
extern unsigned mv_unlike_plain; /* placements that the plain definition would not have made */
#define PLAYS_OLD(c) ((c)->plays_old)
#else
#define PLAYS_OLD(c) false
#endif

typedef enum {
    T_WAIT,   /* may be placed */
    T_PLACED, /* on a machine, or perhaps on its way there */
    T_DONE,   /* completed, not stored yet */
    T_STORED  /* completed and stored */
} task_state;

/* An amount of what a machine has. */
typedef struct {
    double cores, cards, ram;
} mv_room;

/* A transaction of which one at a time is under way. */
typedef struct {
    uint64_t id; /* 0: none */
    double at;
    double until;       /* when it is made anew without an answer */
    double answered_at; /* the copy does not show yet what came of it; 0: it does */
    double seen_at;     /* when the copy last showed a change of what it writes */
    bool not_awaited;   /* its records carry stamps of their own: the copy is not waited for */
} txn_slot;

typedef struct job job;
typedef struct machine machine;
typedef struct shard shard;
typedef struct team team;

/* A task on a machine, from the moment its launch may be executed until it is known to be gone. */
typedef struct {
    char job[MV_ID_SIZE];
    struct job *of; /* NULL once the job's live record is gone */
    uint32_t index;
    uint64_t attempt, session;
    team *team;
    double cores, cards, ram_gb;
    double placed_at, running_at; /* running_at 0: no report has shown it running */
    bool seen;                    /* a report has shown it */
    bool sent_direct;             /* a direct command with its launch was sent */
    bool unsettled;               /* ... and got no answer: it may still arrive */
    bool stopping;
    bool abrupt;  /* told to stop without saving first */
    bool kept;    /* the first task of a job that had starved: not stopped for others */
    bool service; /* a replica */
    bool adopted; /* found at a take-over: when it began is not known, and nothing learnt of it */
    double stop_sent_at;
    double over_at; /* when its job was seen to be over, if `of` is NULL */
} placement;

struct machine {
    char id[MV_NAME_SIZE], address[64], type_name[MV_NAME_SIZE], zone_name[MV_NAME_SIZE];
    bool spot;
    double rented_at;  /* steady */
    double entered_at; /* its block, as far as we saw */
    uint64_t member_term;
    shard *shard;  /* NULL once it is in no block */
    unsigned part; /* which record of the block names it */
    unsigned zone; /* number of the zone named above */
    guint at;      /* its place in the rotation */
    int type;      /* index in types, -1 unknown */
    /* what reports say */
    uint64_t session, sequence;
    double heard_at;     /* 0: never */
    double heard_any_at; /* any sign, also under an older token */
    double renewed_at;   /* a report of its was answered: that alone renews its lease */
    bool confirmed;      /* under the present token */
    bool used;           /* recorded in its shard as one that may hold tasks */
    bool fresh;          /* entered the block after our grant: nothing can be on it yet */
    double notice_at;    /* when the cloud takes it; 0: no notice */
    GPtrArray *placements;
    mv_room taken, ending;  /* by all placements, and by those that were told to stop */
    unsigned unknown_tasks; /* active tasks of unknown jobs */
    double uncertain_since;
    /* Attempts whose launch may still arrive: never cleared under this token. The value tells
     * whether its command was given up (1) or is still under way (0). */
    GHashTable *uncertain_attempts;
    GArray *images; /* cached_image, most recently used last */
    /* direct commands */
    uint64_t command_id; /* 0: none in flight */
    double command_at;
    bool wants_command, probe;
    bool queued; /* among those that want a command */
    double no_command_until;
    unsigned command_fails; /* in a row */
    unsigned proofs;        /* of them, those while other machines were heard */
    /* judgement */
    double idle_since;
    bool give_back, faulty, lost;
    bool draining; /* not needed for the present work: gets a task only where no other has room */
    double draining_since;
    bool vacate;    /* it is emptied for services of other shards */
    uint64_t offer; /* stamp of the record of its use when it was offered to others; 0: not */
    double no_room_until, watched_at;
    double deaf_since;         /* when something of ours first got no answer; 0: all arrived */
    unsigned deaf_fails;       /* commands without an answer since then */
    double deaf_heard_since;   /* when the first of them was missed while reports came; 0: none */
    unsigned deaf_heard_fails; /* and how many were */
    double cleared_at;         /* when ended tasks were last cleared */
    bool clearing;             /* those of the report at hand are */
    double answered_at;        /* a report under an older token got ours in answer */
    double pace;      /* run times here over those of the same jobs elsewhere, smoothed; 1: alike */
    mv_room promised; /* within a round, to work that room is being made for */
    GHashTable *failed_jobs; /* id -> whether the job did well elsewhere */
    /* the leader's view */
    bool listed, listed_failed;
    unsigned missing_lists;
    mv_note note; /* what its holder last said of it */
    double note_at;
    bool released; /* given back, its name not yet out of the block */
    bool moving;   /* chosen in this round for another shard */
    bool leaving;  /* its part names it no more; perhaps another part of the same revision does */
};

/* Images go by number within a process: names are compared once, not for each machine and task. */
typedef struct {
    unsigned image;
    double gb;
} cached_image;

struct job {
    mv_job spec;
    uint64_t stamp;
    double accepted_at; /* steady */
    team *team;
    shard *home;     /* named in its record: who holds that shard owns the job */
    unsigned image;  /* number of its image */
    GArray *in_zone; /* unsigned: its tasks placed in each zone, by number */
    uint32_t types;  /* machine types that allow it; valid while types_of is the core's */
    const GArray *types_of;
    bool rush;        /* its class has an aim for the start */
    double rush_aim;  /* that aim, seconds; G_MAXDOUBLE: none */
    double finish_by; /* steady: deadline or the aim of its class, whichever is sooner */
    uint8_t *state;   /* task_state of each task */
    GArray *waiting;  /* task numbers, last first */
    double ready_at;  /* when its oldest waiting task became ready */
    double placed_at; /* when one of its tasks was last placed */
    unsigned n_done, n_stored, n_placed, n_running;
    unsigned fails;
    double run_sum; /* run times of its completed tasks */
    unsigned run_n;
    double backoff_until;
    unsigned chunk_tasks; /* in each of its progress records, as we write them */
    unsigned chunks;
    bool *chunk_dirty;
    GHashTable *progress; /* what is behind its id in a key -> stamp: all its progress records */
    bool ending;
    uint64_t ending_txn;
    double flushed_at;
    unsigned shown_running;
    bool guaranteed, doomed, counted;
    unsigned starved; /* 1: precedes its equals, 2: precedes all */
    double work;      /* core seconds that wait */
    double next_preempt;
};

struct team {
    const mv_team *conf;
    shard *shard;                  /* where the jobs of a team with a limit or guarantee belong */
    double used_cores, used_cards; /* placements */
    double soon_used, soon_size;   /* by work that must start soon: now, and a usual job */
    mv_urgency soon_urgency;       /* of the latest such job */
    double yielding_cores;         /* by its tasks with checkpoints that give way to such a job */
    double stopping_cores;         /* by tasks that were told to stop */
    double promised_cores, held_cores; /* within a round */
    double service_cores;              /* by replicas; counted anew in each round */
};

/* A block is stored in several records, for a value has a limit; each names some machines. */
typedef struct {
    unsigned index;
    uint64_t block_stamp, used_stamp;
    guint named; /* machines that its record names; more than members: some are in a newer part */
    GPtrArray *members;  /* machine */
    GHashTable *used;    /* names recorded as ones that may hold tasks */
    unsigned unrecorded; /* confirmed members that are not among them */
    bool dirty;          /* the leader has members to take out or to fence */
    bool withdraw;       /* the holder wants back what it offered */
} block_part;

struct shard {
    unsigned index;
    mv_holder holder;
    uint64_t stamp;       /* of the shard record */
    uint64_t grant_stamp; /* of the record that brought the present term */
    GPtrArray *parts;     /* block_part */
    unsigned n_machines;
    mv_room unknown; /* within a round: what silent machines may use at most */
    bool mine;
    double taken_at;
    double listening_since; /* we could hear its machines from then on */
    bool held;              /* at the last tick */
    bool rebuilt;
    double heard_at; /* of any of its machines */
    txn_slot used_txn;
    double recorded_at;
    double job_came_at; /* the last job that has its home here */
    double demand_at;   /* last sent */
    /* the leader's */
    bool any_drained; /* some of its machines may be drained */
    txn_slot block_txn;
    GArray *adds;         /* mv_member */
    mv_want reserve;      /* of its holder: room that its services would need after a loss */
    unsigned reserve_has; /* places for such replicas */
    mv_demand *demand;
    double demand_got_at;
    uint32_t needed;    /* within a round: types that some waiting job cannot do without */
    bool mute;          /* most of its machines hear nothing: it is rather our own line */
    bool unmet;         /* it wants machines that are neither there nor coming */
    bool starving;      /* ... for a job that has waited long */
    uint32_t lacks;     /* ... for replicas: types that would do */
    unsigned passed_on; /* times in a row that its holder reached no machine */
};

typedef struct {
    char node[MV_NAME_SIZE];
    uint64_t incarnation, stamp;
    unsigned format;
} node_entry;

/* A machine in no block that reported, and was asked. */
typedef struct {
    mv_member member;
    uint64_t command_id;
    double at;
} inquiry;

typedef struct {
    uint64_t id;
    char request_name[MV_NAME_SIZE], type_name[MV_NAME_SIZE], zone_name[MV_NAME_SIZE];
    bool spot;
    unsigned number, shard;
    double retry_at; /* 0: in flight */
} rental;

/* The order of evidence, for reports and for the answers of commands alike. What is not newer by
 * (session, sequence) than all before is a copy or came late, and proves nothing. What is newer but
 * was written under an older token proves which session it is, no more: a copy of it may be minutes
 * old and new only to us, who have not known the machine for long; it is no sign of life, and what
 * it does not list may yet start by an older holder's command. Only under our own token does a
 * report tell what is on the machine. */
typedef enum { PROVES_NOTHING, PROVES_SESSION, PROVES_TASKS } evidence;

struct mv_core {
    const mv_settings *conf;
#ifdef MV_BREAKABLE
    bool plays_old; /* the tests' stand-in of the version before services */
#endif
    size_t value_bytes; /* the state service takes values and transactions up to this */
    unsigned ops;
    double now, wall_offset;
    uint64_t incarnation;
    double contact; /* a request sent then was answered by the state service, session alive */
    double replica_contact; /* the copy of the records was complete up to then */
    bool session;
    bool synced;
    bool listing;       /* a list of all records is read; nothing newer has been followed since */
    double listed_at;   /* when the last such list was complete */
    GHashTable *stamps; /* key -> stamp of its record in the copy */
    GHashTable *nodes;
    GHashTable *formats; /* controllers known to be new -> stamp of the record that says so */
    GHashTable *orphans; /* progress records without a job -> stamp */
    GPtrArray *left;     /* names of machines that the last revision took out of a part */
    uint64_t left_stamp; /* that revision */
    mv_holder leader;
    uint64_t leader_stamp;
    uint64_t term, term_stamp;
    GPtrArray *shards;
    team *teams;
    GHashTable *machines; /* id -> machine */
    GPtrArray *rotation;  /* machines in turn, by id */
    guint next_in_rotation;
    guint next_watch;       /* where the watch over machines goes on */
    GPtrArray *commandable; /* machines that want a direct command */
    GHashTable *commands;   /* id of a command in flight -> machine */
    GHashTable *inquiries;  /* name -> inquiry */
    GHashTable *ending;     /* id of a transaction that ends a job -> job */
    GHashTable *images;     /* image -> number */
    GHashTable *zones;      /* zone -> number */
    GPtrArray *open;        /* within a round: machines that may take tasks, in turn */
    GPtrArray *silent;      /* within a round: machines that may hold unknown tasks */
    GPtrArray *promised;    /* machines with promises of this round */
    GPtrArray *unplaced;    /* within a round: jobs whose tasks found no room */
    unsigned work;          /* machines looked at in the last round */
    double ticked_at;       /* last tick */
    double command_window;  /* commands that may be under way at once */
    double late_until;      /* our own processor fell behind: no judgement on others' silence */
    double large_cores;     /* of the largest task about */
    GHashTable *jobs;
    GArray *types;
    uint64_t types_stamp;
    double types_asked_at;
    GHashTable *learnt; /* class -> learnt_class */
    /* actions */
    GQueue *actions;
    uint64_t next_id;
    uint64_t attempts; /* counter within our term */
    bool want_round;
    double next_round;
    /* links */
    mv_connectivity *links; /* NULL: the operators have not asked for the launch gate */
    mv_outcomes *outcomes;
    uint64_t boot; /* names this process to its peers */
    /* election */
    txn_slot node_txn, leader_txn, grant_txn, progress_txn, sweep_txn, format_txn;
    txn_slot term_txn; /* of a block, with a new term: one at a time, or all but one conflict */
    double rebalanced_at;
    GHashTable *avoided; /* controllers that reached no machine -> until when they get no block */
    /* fleet */
    bool led; /* leading at the last tick */
    double led_since;
    GPtrArray *rentals;
    GHashTable *refused;        /* "type/zone/kind" -> until */
    GHashTable *released_names; /* released machines -> when */
    uint64_t list_id, types_id, release_id;
    double list_at, release_at, sized_at;
    double others_need_at;   /* when idle machines were last wanted elsewhere; 0: never */
    double others_starve_at; /* ... for jobs that have waited long */
    double others_lack_at;   /* and some that take replicas, */
    uint32_t others_lack;    /* of these types */
    GPtrArray *release_hosts;
    bool listed_once;      /* a list was read to its end since we lead */
    guint listed_machines; /* how many the last complete list named */
    GHashTable *list_seen;
    unsigned rental_count;
    mv_core_counts counts;
};

typedef struct {
    double ratio; /* run time over estimate, smoothed */
    unsigned n;
} learnt_class;

/* core.c */
mv_action *mv_act(mv_core *c, mv_action_kind kind);
mv_action *mv_txn(mv_core *c, bool urgent);
void mv_txn_if(mv_action *a, const char *key, uint64_t stamp);
void mv_txn_set(mv_action *a, const char *key, GBytes *data, bool held);
void mv_txn_remove(mv_action *a, const char *key);
uint64_t mv_session_ok(const mv_core *c); /* our incarnation within the short session, else 0 */
bool mv_holds(const mv_core *c, const shard *s);
bool mv_leads(const mv_core *c);
double mv_wall(const mv_core *c);
double mv_from_wall(const mv_core *c, double at);
void mv_settle(mv_core *c);
void mv_stale(mv_core *c, const char *what, const char *of);
unsigned mv_number_of(GHashTable *names, const char *name);
bool mv_pending(const mv_core *c, txn_slot *t);
void mv_seen(const mv_core *c, txn_slot *t);
void mv_sent(const mv_core *c, txn_slot *t, const mv_action *a);
/* reachability.c */
void mv_links_new(mv_core *c);
void mv_links_free(mv_core *c);
/* Judges the links by the present time. */
void mv_links_update(mv_core *c);
void mv_links_tick(mv_core *c);
/* Whether tasks of the job may be started now. Asked when a task is placed, when a launch is put
 * into a command or an answer, and once more before a command goes out. */
bool mv_may_launch(mv_core *c, const job *j);
bool mv_may_launch_any(const mv_core *c);
bool mv_may_launch_all(const mv_core *c);
/* The holder of a shard says that it alone is cut off from the state service. */
bool mv_holder_gave_up(const mv_core *c, const shard *s);
void mv_outcome_seen(mv_core *c, const job *j, uint32_t task);
void mv_outcome_recorded(mv_core *c, const job *j, uint32_t task);
/* membership.c */
void mv_membership_tick(mv_core *c);
bool mv_live(const mv_core *c, const mv_holder *h);
void mv_record_node(mv_core *c, const char *name, const msgpack_object *o, uint64_t stamp);
void mv_record_shard(mv_core *c, unsigned index, const msgpack_object *o, uint64_t stamp);
void mv_record_block(mv_core *c, unsigned index, unsigned part, const msgpack_object *o,
                     uint64_t stamp);
void mv_record_used(mv_core *c, unsigned index, unsigned part, const msgpack_object *o,
                    uint64_t stamp);
block_part *mv_block_part(shard *s, unsigned part);
shard *mv_shard_get(mv_core *c, unsigned index);
void mv_settle_left(mv_core *c);
void mv_record_format(mv_core *c, const char *name, const msgpack_object *o, uint64_t stamp);
void mv_holders_tick(mv_core *c);
/* machines.c */
machine *mv_machine_new(mv_core *c, const char *id);
void mv_machine_free(gpointer p);
void mv_machine_left(mv_core *c, machine *m);
uint64_t mv_token(const machine *m);
bool mv_usable(const mv_core *c, const machine *m);
bool mv_is_mute(const mv_core *c, const machine *m);
bool mv_may_hold_tasks(const machine *m);
mv_room mv_kept_room(const machine *m);
mv_room mv_free_room(const mv_core *c, const machine *m);
void mv_room_add(mv_room *to, const placement *p, double times);
bool mv_has_image(const machine *m, unsigned image);
void mv_want_command(mv_core *c, machine *m);
void mv_stop_placement(mv_core *c, machine *m, placement *p);
/* Adapts the number of commands under way to the time between two ticks, seconds. */
void mv_adapt_command_window(mv_core *c, double tick_gap);
void mv_flush_commands(mv_core *c);
void mv_machines_tick(mv_core *c);
void mv_reset_machine(mv_core *c, machine *m);
void mv_back_off(mv_core *c, job *j);
void mv_note_failure(mv_core *c, machine *m, job *j);
const mv_type *mv_type_of(const mv_core *c, const machine *m);
/* What a core of a machine costs by the hour; 0 while its type is not known. */
double mv_price_per_core(const mv_core *c, const machine *m);
/* machines.c */
void mv_forget_command(mv_core *c, machine *m);
void mv_touch_image(mv_core *c, machine *m, const job *j);
void mv_drop_placement(mv_core *c, machine *m, guint index, bool requeue);
/* reports.c */
evidence mv_weigh(const machine *m, const mv_report *r);
void mv_delivered(machine *m);
bool mv_is_deaf(const mv_core *c, const machine *m);
void mv_read_report(mv_core *c, machine *m, const mv_report *r, evidence e, GArray *orders);
/* commands.c */
char *mv_attempt_key(const char *job_id, uint32_t task, uint64_t attempt);
void mv_add_order(GArray *orders, mv_verb verb, const mv_task *task, double wind_down);
void mv_launch_order(const placement *p, GArray *orders);
void mv_stop_order(const placement *p, GArray *orders);
void mv_ask_unknown_machine(mv_core *c, const mv_report *r);
gboolean mv_is_old_inquiry(gpointer key, gpointer value, gpointer data);
/* demand.c */
void mv_tell_demand(mv_core *c);
/* sizing.c */
const mv_note *mv_note_of(const machine *m);
char *mv_offer_key(const char *type_name, const char *zone_name, bool spot);
void mv_ask_rental(mv_core *c, rental *r);
void mv_size_fleet(mv_core *c);
/* jobs.c */
void mv_record_job(mv_core *c, const char *id, const msgpack_object *o, uint64_t stamp);
void mv_record_progress(mv_core *c, const char *rest, const msgpack_object *o, uint64_t stamp);
void mv_job_free(gpointer p);
void mv_job_in_zone(job *j, const machine *m, int more);
/* The transaction that ends a job was answered. */
void mv_job_end_answered(mv_core *c, job *j, mv_txn_outcome outcome);
void mv_job_reset(mv_core *c, job *j);
bool mv_job_mine(const mv_core *c, const job *j);
void mv_task_done(mv_core *c, job *j, uint32_t task);
void mv_job_unwait(job *j, uint32_t task);
void mv_task_requeue(mv_core *c, job *j, uint32_t task);
void mv_jobs_tick(mv_core *c);
void mv_sweep(mv_core *c);
double mv_job_guess(const mv_core *c, const job *j);
void mv_learn(mv_core *c, machine *m, job *j, double ran);
bool mv_is_slow(const machine *m);
bool mv_allowed_on(const mv_core *c, job *j, const machine *m);
uint32_t mv_type_mask(const mv_core *c, const mv_job *spec);
uint32_t mv_job_types(const mv_core *c, job *j);
/* worth.c */
/* What a machine is worth to a task: that it keeps pace with its fellows and is not being drained,
 * then its image's bytes cached there, then, for work that must start soon, how quickly it could be
 * fetched, then, for a task smaller than others about, how little room would be left. Strictly in
 * turn, two-core tasks came to sit on every machine and tasks of a machine's size fitted nowhere,
 * with half of the cores free. */
typedef struct {
    bool draining;     /* not needed for the present work */
    bool last;         /* slower than its fellows, or a task of this job failed there */
    bool spared;       /* of a type that others who wait cannot do without, and this job can */
    bool brief;        /* for a service: a machine that the cloud may take back */
    bool crowded;      /* half of its replicas are there: one loss is to take few of them */
    bool slow;         /* its image would take longer to come than a start may */
    unsigned replicas; /* how many of its replicas are there */
    double bytes, left;
    int fetch; /* in steps that matter */
} mv_worth;
mv_worth mv_worth_of(const mv_core *c, const job *j, const machine *m);
/* Whether a machine of worth `a` comes before one of worth `b`. */
bool mv_better(const mv_worth *a, const mv_worth *b);
/* Seconds that a task may wait for a machine with its image rather than start on this one. */
double mv_image_wait(const mv_core *c, const job *j, const machine *m);
double mv_fetch_left(const mv_core *c, const job *j, const machine *m);
double mv_start_aim(const mv_core *c, const job *j);
/* placement.c */
void mv_place_round(mv_core *c);
void mv_note_placed(mv_core *c, machine *m, job *j, placement *p);
bool mv_comes_first(const job *j);
machine *mv_room_for(const mv_core *c, job *j);
bool mv_waits_long(const mv_core *c, const job *j);
bool mv_aims_at_class(const mv_objective *o, mv_objective_kind kind, const job *j);
/* preemption.c */
mv_room mv_coming_room(const mv_core *c, const machine *m);
bool mv_fits(const job *j, const mv_room *room);
void mv_promise(mv_core *c, machine *m, const job *j);
void mv_preempt_begin(mv_core *c);
void mv_preempt_for(mv_core *c, job *j);
bool mv_starts_soon(const mv_core *c, const job *j);
/* services.c */
void mv_replica_ended(mv_core *c, machine *m, job *j, const placement *p, mv_cause cause);
void mv_move_replicas(mv_core *c, machine *m);
unsigned mv_replicas_on(const machine *m); /* of all services */
void mv_note_reserve(mv_core *c, shard *s);
bool mv_can_spare(const mv_core *c, shard *s, const machine *m);
void mv_vacate_machine(mv_core *c, shard *s);
/* consolidation.c */
void mv_consolidate(mv_core *core, shard *block);
/* blocks.c */
bool mv_block_change(mv_core *c, shard *s);
void mv_block_settle(mv_core *c, shard *s);
void mv_block_move(mv_core *c, shard *from, shard *to, GPtrArray *moves);
GBytes *mv_used_pack(const GPtrArray *machines);
/* fleet.c */
void mv_fleet_tick(mv_core *c);
unsigned mv_slots(const mv_want *w, double cores, double cards, double ram);
void mv_fleet_adopt(mv_core *c, const mv_member *m);
bool mv_fleet_was_released(const mv_core *c, const char *id);
#endif
