/**
 * The lease session of this controller at the state service. Keys that are bound to the session
 * exist only while the session is alive, and the age of the session limits how long this controller
 * may act.
 */
#ifndef MV_LEASE_SESSION_H
#define MV_LEASE_SESSION_H
#include "coordination/foundation/clock.h"

#include <stdint.h>

/** The lease session of this controller. Times are seconds of the monotonic clock. */
typedef struct {
    bool open; /**< as the state service last reported; the session may have expired since */
    uint64_t incarnation; /**< identifies this process permanently; 0: there was no session yet */
    double opened_at;    /**< send time of the request that opened the session; keys that were bound
                            to an earlier session had been removed by then */
    double confirmed_at; /**< send time of the latest request whose response showed the session
                            alive */
    double caught_up_to; /**< the state cache contains every change up to this time */
} mv_lease_session;

/** Returns whether the session is certainly alive at the time `now`. */
bool mv_lease_session_is_alive(const mv_lease_session *session, double now);
/** Returns the incarnation of this process while the session is certainly alive, otherwise 0. */
uint64_t mv_lease_session_incarnation(const mv_lease_session *session, const mv_clock *clock);
/**
 * Returns whether the state cache shows which keys are bound to the present session: it was
 * answered since the session began. Before, it may still show keys of an earlier session of this
 * process.
 */
bool mv_lease_session_is_in_cache(const mv_lease_session *session);
/** Returns for how many seconds changes may be missing in the state cache. */
double mv_lease_session_cache_age(const mv_lease_session *session, const mv_clock *clock);
/**
 * Returns whether a lease of `lease_s` seconds is unexpired. The lease runs from the earlier of two
 * times: the last confirmation of the session, and the time up to which the state cache is
 * complete.
 */
bool mv_lease_session_confirmed_within(const mv_lease_session *session, const mv_clock *clock,
                                       double lease_s);
#endif
