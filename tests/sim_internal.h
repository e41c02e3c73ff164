/* What the parts of the simulation share. Nothing but sim*.c includes this. */
#ifndef MV_SIM_INTERNAL_H
#define MV_SIM_INTERNAL_H
#include "sim.h"

#include "coordination/internal.h"

#ifndef NODES
#define NODES 3 /* controllers */
#endif
#define USUAL_CAPACITY 14 /* machines to be had, */
#ifndef CAPACITY
#define CAPACITY USUAL_CAPACITY /* unless the build says otherwise */
#endif
#define LAUNCH_BOUND_S                                                                             \
    (MV_SESSION_TTL_S - MV_SESSION_MARGIN_S + MV_SUSPECT_GRACE_S +                                 \
     0.3)                  /* after a cut; a step and what is on its way                           \
                            */
#define FLAPS 20           /* times that a link breaks and heals */
#define SERVICES_FOR 100   /* seconds after the troubles */
#define EARLY_S 5          /* work that a machine gets so soon after it came up is early */
#define MACHINE_CORES 16   /* of the one type there is */
#define FOR_NEXT_SHARE 0.1 /* of the reports, of which a copy is kept for the next leader */
#define UNKNOWN_MOST_S 75  /* the rules: a job nobody answers for is forgotten after this */
#define IDLE_MOST_S 90     /* the rules: a job that waits though there is room */
#define RELIST_PAGE 12     /* records in a page at most, less one */
#define FALLEN_KB 1
#define FALLEN_OPS 8

typedef void (*event_fn)(sim *s, gpointer data);

typedef struct {
    double at;
    guint64 seq;
    event_fn fn;
    gpointer data;
} event;

typedef struct {
    mv_settings *conf;
    mv_core *core;
    bool up;
    unsigned life; /* answers to an earlier process are lost with it */
    double drift;
    uint64_t hold, incarnation;
    bool session, listed;
    guint followed;              /* log items seen */
    char listed_to[MV_KEY_SIZE]; /* the last key of the page before; "": no page yet */
    bool relists;                /* it has listed all before */
    GHashTable *seen;            /* keys in the pages so far */
    double state_cut_until, worker_cut_until, peer_cut_until, back_at, renew_at, frozen_until;
    double answers_lost_until, watches_lost_until, peers_out_until;
    double cut_since;   /* it alone has no answer of the state service since then; 0: it has */
    bool was_connected; /* before that */
    double launched_at; /* it last sent a launch, */
    double healed_at;   /* and its last cut healed; 0: something was launched since */
    double view_at;     /* its views are told next */
    guint index;
    bool old; /* the version before services */
} node;

typedef struct {
    char id[MV_ID_SIZE];
    int team;
    unsigned tasks;
    double cores, run_s;
    bool spot, accepted, cancelled, fails, rush, saves, together, apart;
    bool service, was_up;
    double idle_from, unknown_from; /* waits though there is room; no controller knows it */
    bool at_end;                    /* called off as its last task ends */
    unsigned in_z, in_y;            /* of its tasks on machines, counted anew at each step */
    double submit_at, cancel_at, cancelled_at;
    bool *completed;
} sim_job;

struct sim {
    const sim_plan *plan;
    GRand *rand;
    GSequence *events;
    guint64 seq;
    double now;
    st_state *state;
    double outage_until, cloud_out_until;
    double stopped_at;     /* when a controller last ended */
    double zone_cut_until; /* until then half of the machines see only one controller */
    guint zone_node;
    node nodes[NODES];
    GPtrArray *workers;
    guint worker_names;
    GPtrArray *kept;     /* copies of reports for the next leader; mv_report */
    uint64_t led_term;   /* of the last leader that began */
    GHashTable *rentals; /* name of a request -> GPtrArray of machine names */
    GArray *jobs;        /* sim_job */
    GHashTable *finals;  /* keys of final records that were written */
    char *broken;
};

/* Names of the teams, and the cores that each may use at most; 0: any number. */
extern const char *const TEAMS[3];
extern const double LIMITS[3];

typedef struct {
    node *n;
    unsigned life;
    mv_action *a;
    int status;
    mv_report report;
    bool has_report;
    GPtrArray *hosts;
    bool refused;
    mv_txn_outcome outcome;
    GArray *listed;
    uint64_t hold;
    bool delayed;
} call;

typedef struct {
    char worker[MV_NAME_SIZE];
    uint64_t token, session;
    GArray *orders;
} late_command;

typedef struct {
    char worker[MV_NAME_SIZE];
    uint64_t session;
    double sent;
    mv_report_answer answer;
    guint next;
} reply;

/* sim.c */
void sim_later(sim *s, double delay, event_fn fn, gpointer data);
double sim_rnd(sim *s, double low, double high);
bool sim_chance(sim *s, double p);
void sim_broken(sim *s, const char *format, ...);
void sim_meet(sim *s, sim_meeting meeting);
sim_job *sim_job_named(sim *s, const char *id);
st_worker *sim_worker_named(sim *s, const char *id);
st_task_facts sim_facts(void *ctx, const char *id, uint32_t task);
void sim_cancel(sim *s, gpointer data);
/* sim_checks.c */
bool sim_only_crashes(const sim_plan *p);
void sim_check_rules(sim *s);
bool sim_job_over(sim *s, sim_job *j);
void sim_check_progress(sim *s, const mv_change *ch);
bool sim_team_is_full(const sim *s, const sim_job *j);
void sim_check_services(sim *s, gpointer data);
void sim_check_jobs(sim *s);
/* A transaction was carried out: no job may get a second final record. */
void sim_check_finals(sim *s, const GArray *changes);
/* sim_outside.c */
double sim_local(const sim *s, const node *n);
void sim_call_free(call *c);
void sim_call_back(sim *s, gpointer data);
void sim_txn_late(sim *s, gpointer data);
void sim_do_txn(sim *s, gpointer data);
void sim_command_late(sim *s, gpointer data);
void sim_do_command(sim *s, gpointer data);
void sim_do_rent(sim *s, gpointer data);
void sim_do_release(sim *s, gpointer data);
void sim_do_list(sim *s, gpointer data);
void sim_do_demand(sim *s, gpointer data);
void sim_do_types(sim *s, gpointer data);
void sim_stop_node(sim *s, node *n, double away);
void sim_node_step(sim *s, gpointer data);
void sim_worker_reply(sim *s, gpointer data);
void sim_copy_arrives(sim *s, gpointer data);
void sim_free_report(gpointer p);
/* sim_links.c */
bool sim_state_reached(const sim *s, const node *n);
bool sim_state_answers(const sim *s, const node *n);
bool sim_peers_reached(const sim *s, const node *from, const node *to);
void sim_note_cut(sim *s, node *n);
void sim_note_launches(sim *s, node *n, const GArray *orders);
void sim_tell_views(sim *s, node *n);
void sim_flap(sim *s, gpointer data);
void sim_lose_answers(sim *s, gpointer data);
void sim_lose_watches(sim *s, gpointer data);
void sim_deafen_peers(sim *s, gpointer data);
void sim_cut_at_event(sim *s, node *n);
void sim_schedule_cuts(sim *s);
void sim_flap_free(event_fn fn, gpointer data);
/* sim_troubles.c */
void sim_crash(sim *s, gpointer data);
void sim_crash_all(sim *s, gpointer data);
void sim_cut_state(sim *s, gpointer data);
void sim_cut_workers(sim *s, gpointer data);
void sim_outage(sim *s, gpointer data);
void sim_begin_outage(sim *s, double for_s);
void sim_cloud_outage(sim *s, gpointer data);
void sim_refuse_peers(sim *s, gpointer data);
void sim_wave(sim *s, gpointer data);
void sim_die(sim *s, gpointer data);
void sim_cut_machine(sim *s, gpointer data);
void sim_deafen(sim *s, gpointer data);
void sim_isolate(sim *s, gpointer data);
void sim_freeze(sim *s, gpointer data);
void sim_blink(sim *s, gpointer data);
void sim_blink_machine(sim *s, gpointer data);
void sim_crash_leader(sim *s, gpointer data);
void sim_mute(sim *s, gpointer data);
void sim_hang(sim *s, gpointer data);
void sim_give_notice(sim *s, gpointer data);
void sim_cut_zone(sim *s, gpointer data);
void sim_gap(sim *s, gpointer data);
void sim_relist(sim *s, gpointer data);
void sim_roll(sim *s, gpointer data);
void sim_limits_fall(sim *s, gpointer data);
#endif
