/* One controller: the core, the threads round it, and what they share. */
#ifndef MV_DAEMON_H
#define MV_DAEMON_H
#include "bookkeeping/settings.h"
#include "coordination/core.h"
#include "storage/state.h"
#include "transport/http_server.h"

typedef struct mv_daemon mv_daemon;

/* NULL when an address cannot be bound, with the reason in `error`. */
mv_daemon *mv_daemon_start(const mv_settings *settings, char *error, size_t error_size);
/* Ends every thread in order. */
void mv_daemon_stop(mv_daemon *d);

/* --- for the routes --- */
mv_state *mv_daemon_state(mv_daemon *d);
/* The core under its lock; mv_daemon_leave hands out what it decided. */
mv_core *mv_daemon_enter(mv_daemon *d, double *now);
void mv_daemon_leave(mv_daemon *d);

typedef struct {
    int status;
    GBytes *body; /* owned by the caller */
    int retry_after;
    bool text;
    bool here; /* no peer may be asked instead */
} mv_reply;

/* Answers a user's or worker's request; never blocks on anything but the state service and
 * peers. */
void mv_route(mv_daemon *d, const char *method, const char *path, const uint8_t *body, size_t size,
              mv_reply *reply);
/* The same without asking peers for help. */
void mv_route_local(mv_daemon *d, const char *method, const char *path, const uint8_t *body,
                    size_t size, mv_reply *reply);
/* Passes a request to the peers in turn until one can serve it. */
bool mv_daemon_pass_on(mv_daemon *d, const char *method, const char *path, const uint8_t *body,
                       size_t size, mv_reply *reply);
/* Whether a request is answered without waiting for anybody, and the answer when too many wait. */
bool mv_route_at_once(const char *method, const char *path);
unsigned mv_route_may_wait(const char *method, const char *path);
void mv_route_busy(const char *method, const char *path, mv_reply *reply);
/* Whether the state service answered lately. */
bool mv_daemon_in_contact(mv_daemon *d);
/* Where users ask more than the state service's limit has room for: waits until the copy holds
 * every change made before the call. False: ask the state service. */
bool mv_daemon_caught_up(mv_daemon *d);
/* Whether, while it did not, a peer answered lately; always true without peers. */
bool mv_daemon_peer_answered(mv_daemon *d);
mv_http_load mv_daemon_http_load(mv_daemon *d);
#endif
