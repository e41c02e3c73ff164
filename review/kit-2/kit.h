/* Stand-ins for the cases 4 to 8 of the review, written from the protocol page alone: the state service, the cloud, the
 * workers and the users, and the start and end of the controllers. One process holds them all; the controllers are separate
 * processes that are started with the command of deploy/service.toml. All addresses are on 127.0.0.1. */
#ifndef KIT_H
#define KIT_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* --- time, record --- */
double now_s(void); /* seconds since the start of the case */
void sleep_s(double seconds);
void rec(const char *format, ...) __attribute__((format(printf, 1, 2))); /* a line of record.txt, with the time */
bool trouble_on(void); /* false with TROUBLE=0 */

/* --- MessagePack --- */
typedef struct {
    uint8_t *data;
    size_t len, cap;
} buf;
void buf_add(buf *b, const void *data, size_t len);
void buf_free(buf *b);
void mp_map(buf *b, uint32_t n);
void mp_list(buf *b, uint32_t n);
void mp_str(buf *b, const char *text);
void mp_uint(buf *b, uint64_t value);
void mp_num(buf *b, double value);
void mp_bool(buf *b, bool value);
void mp_nil(buf *b);
void mp_raw(buf *b, const void *data, size_t len);

typedef enum { V_NIL, V_BOOL, V_UINT, V_NEG, V_NUM, V_STR, V_LIST, V_MAP } vkind;
typedef struct val {
    vkind kind;
    uint64_t u; /* V_BOOL, V_UINT */
    double num; /* V_UINT, V_NEG and V_NUM */
    char *str;  /* V_STR */
    uint32_t n; /* items; of a map: pairs */
    struct val *items; /* of a map: key, value, key, value */
    const uint8_t *raw;
    size_t raw_len;
} val;
val *mp_parse(const uint8_t *data, size_t len); /* NULL: malformed */
void val_free(val *v);
const val *val_get(const val *map, const char *key);
const char *val_str(const val *map, const char *key); /* "" if absent */
uint64_t val_uint(const val *map, const char *key);
double val_num(const val *map, const char *key);
bool val_bool(const val *map, const char *key);

/* --- HTTP --- */
typedef struct {
    char method[8], path[512], query[512];
    const uint8_t *body;
    size_t body_len;
} request;
typedef struct {
    int status; /* 0: no answer; the connection is closed */
    buf body;
} response;
typedef void (*http_handler)(void *context, const request *req, response *res);
int http_serve(http_handler handler, void *context); /* returns the port */
/* Sends one request on a connection of its own. Returns the status; 0: no answer in time. */
int http_call(int port, const char *method, const char *path, const buf *body, double timeout_s, buf *answer);
/* A connection that stays open, as users keep theirs. `fd` is -1 while it is closed. */
typedef struct {
    int fd, port;
} http_conn;
bool http_open(http_conn *c, int port, double timeout_s);
void http_close(http_conn *c);
/* Sends a request on the open connection. Status 0: no answer in time, or the connection ended; it is closed then. */
int http_on(http_conn *c, const char *method, const char *path, const buf *body, double timeout_s, buf *answer);
char *query_arg(const request *req, const char *name); /* malloc'ed, NULL if absent */

/* --- the deployment --- */
#define NODES_MAX 3
#define TEAMS_MAX 6
#define TYPES_MAX 4

typedef struct {
    const char *name;
    double cpus, cpus_max;
} team;
typedef struct {
    const char *name;
    double cores, ram_gb, rate, market_price, ready_s, pull_gb_per_s;
    unsigned ordinary, spot; /* machines that the cloud has */
    unsigned up;             /* ordinary machines that are up at the start */
} machine_type;
typedef struct {
    const char *site, *area;
    unsigned nodes;
    double report_s, lease_s, cancel_s;
    double rps, write_rps, value_kb;
    unsigned txn_ops;
    double cloud_rps, list_lag_s;
    double cpu, ram_mb;
    unsigned max_connections;
    double restart_s;
    unsigned team_count, type_count;
    team teams[TEAMS_MAX];
    machine_type types[TYPES_MAX];
    double boot_factor; /* of ready_s, for the machines that the cloud rents; 0: 1 */
} site;
extern const site PINEBLUFF, SAPPORO;

void world_start(const site *settings); /* the stand-ins and the settings files; no controller yet */
void world_end(void);                   /* ends every controller and removes the temporary folder */
const site *world_site(void);

/* --- controllers --- */
void ctl_start(unsigned node);
void ctl_kill(unsigned node); /* SIGKILL, and waits for its end */
void ctl_signal(unsigned node, int signal);
bool ctl_running(unsigned node); /* false: it has ended */
pid_t ctl_pid(unsigned node);
int ctl_port(unsigned node);
double ctl_memory_mb(unsigned node); /* private memory that the process holds; 0: unknown */
bool ctl_wait_healthy(double timeout_s); /* until each node that runs answers GET /healthz with 200 */
int ctl_leader(void); /* node that holds the leader's record; -1: none */

/* --- faults of the state service --- */
typedef enum {
    STATE_OK,
    STATE_REFUSE, /* 503 for this node; its open watches wait */
    STATE_SILENT, /* requests of this node wait, and are executed late, when it is STATE_OK again */
} state_fault;
void state_set_fault(unsigned node, state_fault fault);
void state_outage(bool on); /* 503 for all; leases are stopped and have their full time again afterwards */
/* So many of a thousand requests take 0.2 to 0.5 s longer. */
void state_set_slow(unsigned permille);
/* The next answer to a watch of the node that ran to its end with no news takes so much longer. */
void state_delay_next_follow(unsigned node, double seconds);
double state_follow_open_s(unsigned node); /* how long the node's present watch has been open; -1: none is */
unsigned state_requests(const char *what); /* requests of a kind so far: "txn", "follow", "list", "get", "renew", "grant" */
uint64_t state_epoch(void);
bool state_has(const char *key);

/* --- machines --- */
unsigned machine_count(void); /* machines so far, also gone ones; numbered from 0 */
bool machine_is_up(unsigned machine);
const char *machine_name(unsigned machine);
unsigned machines_up(void);
void machine_hang(unsigned machine, bool on);     /* executes and sends nothing; commands wait */
void machine_take(unsigned machine);              /* the cloud takes it, with no notice */
void machine_mute(unsigned machine, bool on);     /* its reports reach nobody */
void machine_hold_commands(unsigned machine, bool on); /* they are executed late */
unsigned machine_tasks(unsigned machine);         /* tasks that are on it now */
int machine_of_task(const char *task);            /* machine on which the task is now; -1: none */
void cloud_set_down(bool on);
void cloud_hold_returns(bool on);   /* on: requests to return machines wait; off: they are executed, late */
unsigned cloud_held_returns(void); /* such requests that wait */

/* --- jobs and users --- */
typedef struct {
    char id[32];
    const char *lane, *crew, *urgency, *bundle;
    unsigned pieces;
    double cores, ram_gb, pull_gb, guess_s, run_s;
    bool loaners;
    unsigned hull_count; /* names of machine types in `hulls`; 0: null */
    const char *hulls[4];
} job;
/* Each returns the HTTP status (0: none) and, in `status`, the status text of the answer. */
int user_submit(unsigned node, const job *j, char status[32]);
int user_poll(unsigned node, const char *id, char status[32], unsigned *done);
int user_abort(unsigned node, const char *id, char status[32]);
/* As a user: the same request again after 1 s, at the next node, for 60 s in total. Returns the last HTTP status. */
int user_submit_until(const job *j, char status[32]);
int user_abort_until(const char *id, char status[32]);
/* Polls every `every_s`, until the job is done or cancelled. */
bool user_wait_final(const char *id, double timeout_s, double every_s, char status[32]);
void job_register(const job *j); /* makes the description known to the workers; user_submit does so too */
bool job_all_completed(const char *id); /* every piece has completed on a worker */

/* The load balancer of the protocol page: it probes each node and picks a healthy one, with the fewest open user
 * connections. */
void lb_start(void);
int lb_pick(void);          /* the node for a new connection; -1: none is healthy. Counts the connection as open. */
void lb_closed(int node);   /* a connection to the node has been closed */
bool lb_healthy(unsigned node);

/* A user with a connection through the load balancer. */
typedef struct {
    http_conn conn;
    int node; /* -1: not connected */
} lb_user;
int lb_request(lb_user *u, const char *method, const char *path, const buf *body, double timeout_s, buf *answer);
void write_job(buf *b, const job *j); /* the body of a submission */

/* --- the rules, checked on what workers and users see --- */
unsigned rule_breaks(const char *rule); /* "": all */
unsigned starts(void);                  /* tasks that started so far */
unsigned starts_of(const char *task);
#endif
