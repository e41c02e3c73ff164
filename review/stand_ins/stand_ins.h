/*
 * Stand-ins for the review cases: state service, cloud, workers, users and platform on loopback.
 * They follow the protocol page; where the page is silent they behave like sound systems.
 * One process holds all stand-ins and starts the controllers as separate processes.
 */
#ifndef STAND_INS_H
#define STAND_INS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define NODES 3
#define MACHINES_MAX 16

/* Settings of the deployment. */
typedef struct {
    double report_s, lease_s, cancel_s;
    double state_rps, state_write_rps;
    unsigned value_kb, txn_ops;
    double cloud_rps, list_lag_s;
    const char *area;
    const char *more; /* TOML with teams and objectives */
} deployment;

/* --- clock and record --- */
double now_s(void);
double since_start_s(void);
void sleep_until(double run_s); /* seconds since the start of the run */
void record(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* --- run --- */
/* Creates the stand-ins and the settings files. argv[1]: path of record.txt; argv[2]: a temporary
 * folder for settings and logs. */
void run_begin(int argc, char **argv, const deployment *site);
/* Ends all processes and exits: 0 rule held, 1 rule broken, 2 could not run. */
void run_end(int status, const char *format, ...) G_GNUC_PRINTF(2, 3) G_GNUC_NORETURN;
bool trouble(void); /* false with TROUBLE=0 */

/* --- controllers --- */
void node_start(unsigned node);
void node_signal(unsigned node, int signal_number); /* SIGSTOP, SIGCONT, SIGKILL */
/* Returns whether the process has ended by itself, and sets how (status of waitpid). */
bool node_has_ended(unsigned node, int *status);
bool node_wait_healthy(unsigned node, double timeout_s);
const char *node_address(unsigned node);

/* --- state service --- */
void state_refuse(unsigned node, bool refused); /* 503 to this node alone */
/* Cuts a node off from the state service. Attempts to connect during the cut fail after the time
 * that a controller waits for a connection. When the cut ends, new requests are served at once; an
 * answer that was under way when the cut began arrives `held_s` after its end. */
void state_cut(unsigned node, bool cut, double held_s);
/* When the node's latest watch arrived or, during a cut, was attempted. */
double state_last_follow(unsigned node);
void state_outage(bool out); /* 503 to all; leases get their full time after */

/* --- cloud --- */
typedef struct {
    const char *name;
    double cores, ram_gb, local_gb, pull_gb_per_s, rate, market_price, ready_s;
} machine_type;
void cloud_set_types(const machine_type *types, unsigned count);
/* Returns the node that sent the latest request that only a leader sends (a machine list), -1. */
int cloud_last_lister(double *at);
/* Called for each release request, before the machines go. */
extern void (*cloud_on_release)(unsigned node, const char *machine, unsigned tasks_running);

/* --- workers --- */
/* Adds a machine that is up; its worker reports at once. */
void machine_add(const char *id, const char *type, bool spot);
/* The machine stops with all that is on it. It stays in the cloud's list for DEAD_LISTED_S. */
#define DEAD_LISTED_S 30.0
void machine_die(const char *id);
unsigned machine_running(const char *id); /* tasks on the machine that have not ended */
/* Returns the node that answered the latest report of the machine with 200, -1: none. */
int machine_reports_to(const char *id);
/* Called with the lock held when a task starts. */
extern void (*on_task_start)(const char *machine, const char *job, unsigned task, uint64_t baton);
unsigned job_tasks_on_machines(const char *job);
unsigned job_tasks_done(const char *job);

/* --- users --- */
typedef struct {
    const char *id, *lane, *crew, *urgency, *hull, *bundle;
    unsigned pieces;
    double cores, ram_gb, pull_gb, guess_s;
    double run_s; /* how long a task really runs */
    bool loaners;
} job;
/* Submits until accepted, as a user does: at `node` first, then at the others. */
bool user_submit(unsigned node, const job *submitted, double timeout_s);
/* One request; returns the HTTP status and the job's status text. */
int user_poll(unsigned node, const char *id, char status[40]);
int user_abort(unsigned node, const char *id, char status[40]);
int user_abort_with_body(unsigned node, const char *id, GBytes *body, char status[40]);
#endif
