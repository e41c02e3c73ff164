/* Stand-ins of the outside systems, by their published protocol: the state service, the cloud and
 * the workers. Shared by the simulation and the loopback test; the seed of a rehearsal kit. */
#ifndef MV_STANDINS_H
#define MV_STANDINS_H
#include "coordination/core.h"

/* --- state service --- */
typedef struct {
    char key[MV_KEY_SIZE];
    GBytes *data; /* NULL in the log: removed */
    uint64_t stamp, hold;
} st_item;

typedef struct {
    uint64_t id;
    double ttl, until;
} st_lease;

typedef struct {
    GHashTable *items; /* key -> st_item */
    GPtrArray *log;    /* st_item */
    GArray *leases;
    uint64_t epoch, next_lease;
    size_t value_bytes; /* limits; 0: none */
    guint txn_ops;
    char too_large[MV_KEY_SIZE]; /* what was last refused for them */
} st_state;

st_state *st_state_new(void);
void st_state_free(st_state *s);
uint64_t st_lease_open(st_state *s, double ttl, double now);
bool st_lease_renew(st_state *s, uint64_t id, double now);
void st_state_expire(st_state *s, double now);
void st_state_extend(st_state *s, double now); /* after an outage */
const st_item *st_get(const st_state *s, const char *key);
/* 200, 409, 400 for a lease that is over, or 413 (400 on the wire) for what is too large. */
int st_txn(st_state *s, const GArray *conds, const GArray *changes, uint64_t hold);

/* --- cloud --- */
/* A list of machine types, for mv_core_types; each is to be had in zone "z" alone,
 * or in "y" too. */
GArray *st_types_new(void);
void st_types_add(GArray *types, const char *name, mv_type type);
void st_types_second_zone(GArray *types);

/* --- workers --- */
typedef enum { ST_RUNNING, ST_ENDED } st_status;

typedef struct {
    char job[MV_ID_SIZE];
    uint32_t index;
    uint64_t attempt;
    st_status status;
    mv_cause cause;
    double began, until; /* its run */
    double cores, ram_gb;
    double save_s; /* time it takes to save when it is stopped; 0: it does not save */
    bool saving;   /* it was told to stop, and counts as running until it has saved */
} st_task;

typedef struct {
    char id[MV_NAME_SIZE], address[64], type_name[MV_NAME_SIZE], zone_name[MV_NAME_SIZE];
    bool spot, gone, stuck;             /* stuck: never boots */
    double rented_at, up_at, cut_until; /* cut: it works on, but nobody reaches it */
    double deaf_until;                  /* its reports arrive, answers and commands do not */
    double mute_from, mute_until;       /* its reports reach nobody, commands reach it */
    double hang_until;                  /* it does nothing, and goes on then */
    double notice_at;                   /* when the cloud takes it; 0: no notice */
    uint64_t session, sequence, token;
    double lease_from; /* when the last answered report was sent */
    double lease_s;
    GPtrArray *tasks; /* st_task */
    GHashTable *images;
    bool changed;
} st_worker;

typedef struct {
    double cores, ram_gb, run_s, save_s;
    bool known, fails;
} st_task_facts;
typedef st_task_facts (*st_facts)(void *ctx, const char *job, uint32_t task);

st_worker *st_worker_new(const char *id, const char *type_name, bool spot, double lease_s);
void st_worker_free(gpointer w);
/* Moves its tasks on to `now`; ends the session when the lease ran out. */
void st_worker_run(st_worker *w, double now);
void st_worker_report(st_worker *w, double now, mv_report *out);
void st_worker_orders(st_worker *w, const GArray *orders, double now, st_facts facts, void *ctx);
/* A response to a report that was sent at `sent` in session `session`: whether it counted. */
bool st_worker_answer(st_worker *w, uint64_t session, double sent, uint64_t token,
                      const GArray *orders, double now, st_facts facts, void *ctx);
/* The machine is back at once, in a new session: its tasks are gone, its token is kept. */
void st_worker_restart(st_worker *w, double now);
/* POST /commands: 200 or 409. */
int st_worker_command(st_worker *w, uint64_t token, uint64_t session, const GArray *orders,
                      double now, st_facts facts, void *ctx);
#endif
