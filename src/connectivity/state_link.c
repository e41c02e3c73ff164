/**
 * The link to the state service, judged by the answers to session renewals and to watches.
 */
#include "connectivity/state_link.h"

#include "constants.h"

#include <glib.h>

void mv_state_link_session_renewed(mv_state_link *link, double now, uint64_t incarnation,
                                   double sent_at)
{
    link->session_open = true;
    link->incarnation = incarnation;
    link->session_confirmed_at = MAX(link->session_confirmed_at, sent_at);
    link->round_trip_s = now - sent_at;
    link->failures = 0;
}

void mv_state_link_renewal_failed(mv_state_link *link)
{
    link->failures++;
}

void mv_state_link_session_lost(mv_state_link *link)
{
    link->session_open = false;
    link->failures++;
}

void mv_state_link_watch_answered(mv_state_link *link, double sent_at)
{
    link->cache_caught_up_at = MAX(link->cache_caught_up_at, sent_at);
}

bool mv_state_link_session_is_valid(const mv_state_link *link, double now)
{
    return link->session_open &&
           now < link->session_confirmed_at + MV_SESSION_TTL_S - MV_SESSION_MARGIN_S;
}

static bool cache_is_caught_up(const mv_state_link *link, double now)
{
    return link->cache_caught_up_at > 0 && now < link->cache_caught_up_at + MV_CACHE_LOST_AFTER_S;
}

bool mv_state_link_is_reachable(const mv_state_link *link, double now)
{
    return mv_state_link_session_is_valid(link, now) && cache_is_caught_up(link, now);
}

bool mv_state_link_was_ever_reachable(const mv_state_link *link)
{
    return link->session_confirmed_at != 0 && link->cache_caught_up_at != 0;
}

void mv_state_link_update(mv_state_link *link, double now)
{
    if (mv_state_link_is_reachable(link, now))
        link->unreachable_since = 0;
    else if (mv_state_link_was_ever_reachable(link) && link->unreachable_since == 0)
        link->unreachable_since = now;
}

double mv_state_link_unreachable_s(const mv_state_link *link, double now)
{
    return link->unreachable_since > 0 ? now - link->unreachable_since : 0;
}
