#include "coordination/foundation/lease_session.h"

#include "constants.h"

#include <glib.h>

bool mv_lease_session_is_alive(const mv_lease_session *session, double now)
{
    return session->open && now < session->confirmed_at + MV_SESSION_TTL_S - MV_SESSION_MARGIN_S;
}

uint64_t mv_lease_session_incarnation(const mv_lease_session *session, const mv_clock *clock)
{
    return mv_lease_session_is_alive(session, clock->now) ? session->incarnation : 0;
}

bool mv_lease_session_is_in_cache(const mv_lease_session *session)
{
    return session->caught_up_to >= session->opened_at;
}

double mv_lease_session_cache_age(const mv_lease_session *session, const mv_clock *clock)
{
    return clock->now - session->caught_up_to;
}

bool mv_lease_session_confirmed_within(const mv_lease_session *session, const mv_clock *clock,
                                       double lease_s)
{
    return clock->now < MIN(session->confirmed_at, session->caught_up_to) + lease_s;
}
