/* What the parts of a running controller share: threads, queues of actions, the one lock. Nothing
 * outside service/ includes this. */
#ifndef MV_DAEMON_INTERNAL_H
#define MV_DAEMON_INTERNAL_H
#include "service/daemon.h"

#include "transport/http_server.h"
#include "transport/peer.h"

#include <pthread.h>

typedef void *(*routine)(void *);

/* Actions that wait for a routine; guarded by the daemon's lock. */
typedef struct {
    GQueue actions;
    pthread_cond_t filled;
} work;

/* Commands to the same machine go by the same routine, which keeps a connection to it: a new one
 * costs five times the request itself. A lane that one machine holds up is helped out by others. */
typedef struct {
    work queue;
    double busy_since; /* 0: idle */
} command_lane;

#define MV_LANES (MV_COMMAND_THREADS + MV_COMMAND_HELPERS)

struct mv_daemon {
    const mv_settings *conf;
    mv_core *core;
    mv_state *state;
    pthread_mutex_t lock;
    pthread_cond_t stop_cond, followed; /* followed: the copy was brought up to date */
    bool stopping;
    GPtrArray *threads; /* of pthread_t * */
    /* What can wait sleeps until the write budget has room for it. In one queue with the rest, two
     * such transactions held up the release of dead machines for two seconds. */
    work txns, deferrable_txns, cloud, demands;
    command_lane lanes[MV_LANES]; /* the last of them without machines of their own */
    unsigned n_lanes;             /* that have a routine */
    unsigned next_lane;           /* for the routines, as they begin */
    bool running;                 /* all that is started at first has been */
    mv_http_server *http;
    gint peer_answered;
    mv_peer_server *back;
    mv_peer **peers;  /* like conf->peers */
    mv_peer **views;  /* the same, for views; none unless they are told */
    size_t next_view; /* for the routines that tell them, as they begin */
    char cloud_at[80];
    GHashTable *known; /* the copy's keys, used by the follower only */
    GHashTable *listed;
};

#define MV_QUEUES (4 + MV_LANES)

/* daemon.c */
double mv_steady(void);
bool mv_daemon_stopping(mv_daemon *d);
struct timespec mv_steady_in(double seconds);
bool mv_daemon_rest(mv_daemon *d, double seconds);
bool mv_daemon_start_thread(mv_daemon *d, routine run);
/* work_queues.c */
mv_action *mv_daemon_take_command(mv_daemon *d, command_lane *own);
mv_action *mv_daemon_take(mv_daemon *d, work *w);
work *mv_daemon_queue_at(mv_daemon *d, size_t i);
/* replication.c */
void *mv_daemon_session_routine(void *arg);
void *mv_daemon_follow_routine(void *arg);
/* executor.c */
void *mv_daemon_txn_routine(void *arg);
void *mv_daemon_deferrable_txn_routine(void *arg);
void *mv_daemon_command_routine(void *arg);
void *mv_daemon_cloud_routine(void *arg);
/* peers.c */
GBytes *mv_daemon_on_peer(void *ctx, const uint8_t *frame, size_t size);
void *mv_daemon_demand_routine(void *arg);
void *mv_daemon_health_routine(void *arg);
void *mv_daemon_view_routine(void *arg);
#endif
