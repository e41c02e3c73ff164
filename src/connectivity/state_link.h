/**
 * The link from this controller to the state service: whether the controller's lease session is
 * confirmed and whether the controller's state cache is caught up.
 *
 * The module is pure: the caller passes all times, in seconds of the monotonic clock; 0 means
 * never. The module is not thread-safe; the owner of the struct serializes the calls.
 */
#ifndef MV_STATE_LINK_H
#define MV_STATE_LINK_H
#include <stdbool.h>
#include <stdint.h>

/** What was observed on the link. Zero-initialized, the state service has never been reached. */
typedef struct {
    bool session_open;
    uint64_t incarnation;        /**< incarnation of the session; 0: no session yet */
    double session_confirmed_at; /**< when the last answered renewal was sent */
    double cache_caught_up_at;   /**< when the last answered watch was sent */
    double round_trip_s;         /**< time from request to answer of the last answered renewal */
    unsigned failures;           /**< renewals in a row that failed */
    double unreachable_since;    /**< when the link failed; 0: reachable, or never reached */
} mv_state_link;

/** Records that a session renewal sent at `sent_at` was answered at `now`. */
void mv_state_link_session_renewed(mv_state_link *link, double now, uint64_t incarnation,
                                   double sent_at);

/** Records that a session renewal was not answered. */
void mv_state_link_renewal_failed(mv_state_link *link);

/** Records that the session has expired; the controller has to open a new one. */
void mv_state_link_session_lost(mv_state_link *link);

/** Records that a watch sent at `sent_at` was answered, so that the state cache holds every change
 * made before that time. */
void mv_state_link_watch_answered(mv_state_link *link, double sent_at);

/** Updates `unreachable_since`. The caller calls this function before each classification. */
void mv_state_link_update(mv_state_link *link, double now);

/** Returns whether the lease session is confirmed at `now`. The session counts as expired
 * MV_SESSION_MARGIN_S before its TTL ends, because of clock drift and rounding. */
bool mv_state_link_session_is_valid(const mv_state_link *link, double now);

/** Returns whether the session is confirmed and the state cache is caught up. The cache is out of
 * date when no watch sent within the last MV_CACHE_LOST_AFTER_S has been answered. */
bool mv_state_link_is_reachable(const mv_state_link *link, double now);

/** Returns whether the state service has ever answered a renewal and a watch. */
bool mv_state_link_was_ever_reachable(const mv_state_link *link);

/** Returns for how many seconds the state service has been unreachable; 0 if it is reachable or was
 * never reached. */
double mv_state_link_unreachable_s(const mv_state_link *link, double now);
#endif
