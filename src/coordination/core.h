/* The core: who leads, who holds which machines and teams, what runs where.
 *
 * Pure: every call brings the time and an event, and what is to be done is fetched with
 * mv_core_next. No call blocks, reads a clock or touches a socket. One lock outside guards it. */
#ifndef MV_CORE_H
#define MV_CORE_H
#include "bookkeeping/settings.h"
#include "connectivity/view.h"
#include "protocol/records.h"

typedef struct mv_core mv_core;

typedef enum {
    MV_ACT_TXN,     /* a transaction on the state service */
    MV_ACT_COMMAND, /* orders sent straight to a worker */
    MV_ACT_RENT,
    MV_ACT_RELEASE,
    MV_ACT_LIST,
    MV_ACT_TYPES,
    MV_ACT_DEMAND /* what this holder needs, for the leader */
} mv_action_kind;

typedef struct {
    char key[MV_KEY_SIZE];
    uint64_t stamp;
} mv_cond;

typedef struct {
    char key[MV_KEY_SIZE];
    GBytes *data; /* NULL: remove */
    bool held;    /* attached to our session */
} mv_change;

/* Tasks that wait and are alike for renting. */
typedef struct {
    double cores, cards, ram_gb, run_s;
    double pull_gb; /* of a reserve: an image that would be fetched */
    uint32_t types; /* bit per machine type */
    char zone_name[MV_NAME_SIZE];
    bool spot, urgent;
    bool reserve;    /* nothing waits yet: room that services would need after a loss */
    bool service;    /* for replicas: waiting ones, or a reserve */
    bool waits_long; /* of a job of which no task was placed for long */
    unsigned count;
} mv_want;

typedef struct {
    char id[MV_NAME_SIZE];
    double idle_s, silent_s, used_cores, used_ram;
    double kept_cores, kept_ram; /* of these, by replicas, which do not end */
    bool fence, give_back, lost, leaving;
    uint64_t
        offer;    /* idle, and free to be moved while its use is recorded under this stamp; 0: no */
    bool up;      /* it has booted: heard of, or used by a holder before */
    bool heard;   /* by this holder, just now */
    bool vacated; /* emptied for services of other shards: for nothing else */
} mv_note;

typedef struct {
    char node[MV_NAME_SIZE];
    uint64_t incarnation, term;
    unsigned shard;
    bool resign;
    GArray *wants; /* mv_want */
    GArray *notes; /* mv_note */
} mv_demand;

typedef struct {
    mv_action_kind kind;
    uint64_t id;
    /* TXN */
    GArray *conds, *changes;
    bool urgent;
    /* COMMAND */
    char machine[MV_NAME_SIZE], address[64];
    uint64_t token, session;
    unsigned timeout_ms;
    GArray *orders;
    /* cloud */
    char name[MV_NAME_SIZE], type_name[MV_NAME_SIZE], zone_name[MV_NAME_SIZE];
    bool spot;
    unsigned number;
    GPtrArray *hosts;
    /* DEMAND */
    mv_demand *demand;
    char to[MV_NAME_SIZE];
} mv_action;

typedef enum { MV_TXN_OK, MV_TXN_CONFLICT, MV_TXN_UNKNOWN, MV_TXN_TOO_LARGE } mv_txn_outcome;

mv_core *mv_core_new(const mv_settings *settings);
void mv_core_free(mv_core *core);

/* The next thing to do, or NULL. The caller frees it. */
mv_action *mv_core_next(mv_core *core);
void mv_action_free(mv_action *a);
void mv_demand_free(mv_demand *d);

/* Time: steady seconds, and the time of day. */
void mv_core_tick(mv_core *core, double now, double wall);

/* Our session at the state service: confirmed by a request sent at `sent`; lost when incarnation
 * is 0. The incarnation names this process for good. */
void mv_core_session(mv_core *core, double now, uint64_t incarnation, double sent);
/* A renewal of the session got no answer, or a refusal. */
void mv_core_state_failed(mv_core *core, double now);
/* The copy of the live records: first all of them, then every change in order. */
void mv_core_record(mv_core *core, double now, const char *key, GBytes *data, uint64_t stamp);
/* The copy holds every change made before `sent`. */
void mv_core_followed(mv_core *core, double now, double sent);
void mv_core_synced(mv_core *core, double now);
/* All records are about to be listed anew, in pages of different times. What the pages do not show
 * together holds only once a watch that was sent after the last page has been answered. */
void mv_core_listing(mv_core *core, double now);

typedef struct {
    int status;                     /* 200, 421 or 503 */
    uint64_t token;                 /* with 200 */
    GArray *orders;                 /* with 200; mv_order, owned by the caller */
    char redirect_to[MV_NAME_SIZE]; /* with 421; may be empty */
} mv_report_answer;

void mv_core_report(mv_core *core, double now, const mv_report *report, mv_report_answer *answer);
/* Whether an action that was decided earlier still stands. Asked right before it is carried out:
 * the process may have stood still since, longer than all its leases. */
bool mv_core_still_valid(mv_core *core, double now, const mv_action *a);
/* A command that did not stand and was not sent. */
void mv_core_command_dropped(mv_core *core, double now, uint64_t id);
/* How a command ended: an HTTP status with the worker's report, or 0 without an answer. */
void mv_core_command_done(mv_core *core, double now, uint64_t id, int status,
                          const mv_report *report);
void mv_core_txn_done(mv_core *core, double now, uint64_t id, mv_txn_outcome outcome);
/* hosts NULL: refused for want of capacity (refused) or no answer. */
void mv_core_rent_done(mv_core *core, double now, uint64_t id, const GPtrArray *hosts,
                       bool refused);
void mv_core_release_done(mv_core *core, double now, uint64_t id, bool ok);
void mv_core_list_page(mv_core *core, double now, uint64_t id, const GArray *listed, bool more);
void mv_core_types(mv_core *core, double now, GArray *types); /* takes the list; NULL: failed */
typedef struct {
    bool need;     /* idle machines */
    bool starve;   /* ... for jobs that have waited long: nothing is kept back */
    uint32_t lack; /* types of machine that take replicas, of which none is to be had; a bit each */
} mv_others;
/* A holder's demand, for the leader, who takes it; whether other holders want idle machines. */
mv_others mv_core_demand(mv_core *core, double now, mv_demand *demand);
/* What the leader's answer to our demand said. */
void mv_core_others_need(mv_core *core, double now, mv_others others);

/* --- views, exchanged with every other controller --- */
/* Whether views are told at all, and how long until the next, seconds. */
bool mv_core_tells_views(const mv_core *core);
double mv_core_view_pause(const mv_core *core);
/* Our view of our links, and ends of tasks that we cannot record. The caller frees. */
mv_view *mv_core_tell_view(mv_core *core, double now);
/* A peer's view, as a message of its own or in answer to ours. */
void mv_core_view(mv_core *core, double now, const mv_view *view);
/* A view told to a peer at `sent` was answered or not. */
void mv_core_peer_asked(mv_core *core, double now, const char *peer, double sent, bool answered);

/* --- questions --- */
typedef enum { MV_FITS, MV_NEVER_FITS, MV_CANNOT_SAY } mv_fit;
mv_fit mv_core_fits(const mv_core *core, const mv_job *job);
/* Whether every controller is known to read services: before, none is accepted. */
bool mv_core_all_new(const mv_core *core);
/* Drops types that do not exist from a job's list where its record would be too large; false: it is
 * too large all the same. */
bool mv_core_fit_record(const mv_core *core, mv_job *job);
/* Changes that a transaction may hold. */
unsigned mv_core_ops(const mv_core *core);
/* The state service called something too large: from now on half of it. */
void mv_core_too_large(mv_core *core);
/* Which shard a job accepted now belongs to; false: not known yet. */
bool mv_core_home(const mv_core *core, const mv_job *job, unsigned *home);

typedef struct {
    bool active; /* a live record is known here */
    bool owner;  /* this controller owns it */
    uint64_t stamp;
    unsigned shard;
    unsigned tasks, done, running;
    unsigned chunks;
} mv_job_view;
/* What is known here of a job; not proof against newer records elsewhere. */
void mv_core_job(const mv_core *core, const char *id, mv_job_view *out);
bool mv_core_in_contact(const mv_core *core, double now);
bool mv_core_in_session(const mv_core *core);
bool mv_core_ready(const mv_core *core);
/* The records are known, and every shard has a holder that lives. */
bool mv_core_settled(const mv_core *core);
/* The copy holds every change made before this time. */
double mv_core_fresh_at(const mv_core *core);
unsigned mv_core_holders(const mv_core *core); /* controllers that hold shards */
unsigned mv_core_jobs(const mv_core *core);    /* live ones */
bool mv_core_leads(const mv_core *core);
/* The picture for people: MessagePack map. */
GBytes *mv_core_overview(const mv_core *core, double now);

typedef struct {
    uint64_t rounds, placed, finished, requeued, preempted, faults, rented, released, takeovers,
        moved, looked, halved, stale, views, views_refused, launches_held, outcomes_learnt;
    unsigned jobs, waiting, running, machines, machines_up, outcomes_waiting;
    mv_link_class links;
    bool held; /* launches are */
} mv_core_counts;
void mv_core_counts_get(const mv_core *core, mv_core_counts *out);
#endif
