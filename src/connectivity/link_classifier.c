/**
 * Classification of links. If the state service does not answer, the recent link reports of the
 * peers serve as witnesses: they show whether the state service has an outage or this controller is
 * isolated.
 */
#include "connectivity/link_classifier.h"

/* Returns whether the state service answered the peer more than MV_WITNESS_GAP_S later than the
 * state service last answered this controller. In an outage, the last answers to two controllers
 * are at most two renewals apart, so a larger gap shows that this controller is isolated. */
static bool was_answered_later(const mv_link_observations *observations, const mv_peer_entry *peer,
                               double now)
{
    const mv_link_report *report = mv_peer_entry_recent_report(peer, now);
    if (!report)
        return false;
    const mv_state_link *state = &observations->state;
    const bool session_lost = !mv_state_link_session_is_valid(state, now);
    const double peer_age_s = session_lost ? report->state_age_s : report->cache_age_s;
    const double own_last_answer =
        session_lost ? state->session_confirmed_at : state->cache_caught_up_at;
    if (peer_age_s == MV_NEVER)
        return false;
    return peer->report_as_of - peer_age_s > own_last_answer + MV_WITNESS_GAP_S;
}

/* Returns whether the peer reports requests that the state service did not answer. If the peer
 * has just started, or if the peer's process was paused, then the last answer is missing or old for
 * a reason other than the state service. Therefore a missing or old answer counts only if renewals
 * have failed too. If renewals are answered, an old watch answer alone counts, because then the
 * watches are not answered. */
static bool reports_unanswered_requests(const mv_link_report *report)
{
    if (report->state_age_s == MV_NEVER)
        return report->failures >= MV_WITNESS_FAILURES_MIN;
    if (report->state_age_s < MV_WITNESS_UNANSWERED_S)
        return report->cache_age_s != MV_NEVER && report->cache_age_s >= MV_CACHE_LOST_AFTER_S;
    return report->failures > 0;
}

/* Returns the class that the operators' setting prescribes for the case that the peers' reports did
 * not decide between outage and isolation within MV_WITNESS_REPORT_TIMEOUT_S. */
static mv_link_class class_without_witness(const mv_settings *settings)
{
    const bool assume_outage =
        settings->operator_settings.launch_without_witness == MV_WITHOUT_WITNESS_OUTAGE;
    return assume_outage ? MV_LINKS_OUTAGE : MV_LINKS_ISOLATED;
}

/* Decides why the state service does not answer. If one peer was answered clearly later than this
 * controller, this controller is isolated. Otherwise the state service has an outage if a majority
 * of all controllers, including this one, gets no answers and every peer with a recent report
 * reports unanswered requests. The second condition is for two controllers that are cut off at the
 * same time while a third one still gets answers: without it, each of the two would take the other
 * as a witness of an outage before the state service could have answered the third one clearly
 * later. */
static mv_link_class classify_state_loss(const mv_link_observations *observations, double now)
{
    unsigned unanswered = 1;
    unsigned undecided = 0;
    for (size_t i = 0; i < observations->peers.count; i++) {
        const mv_peer_entry *peer = &observations->peers.entries[i];
        if (was_answered_later(observations, peer, now))
            return MV_LINKS_ISOLATED;
        const mv_link_report *report = mv_peer_entry_recent_report(peer, now);
        if (!report)
            continue;
        if (reports_unanswered_requests(report))
            unanswered++;
        else
            undecided++;
    }
    const bool majority_unanswered = 2 * unanswered > observations->settings->controller_count;
    if (majority_unanswered && undecided == 0)
        return MV_LINKS_OUTAGE;
    if (now < observations->state.unreachable_since + MV_WITNESS_REPORT_TIMEOUT_S)
        return MV_LINKS_SUSPECTED;
    return class_without_witness(observations->settings);
}

static bool workers_are_unreachable(const mv_link_observations *observations, double now)
{
    const double timeout_s = MV_HEARTBEAT_TIMEOUT_INTERVALS * observations->settings->report_s;
    return observations->workers_expected &&
           now > observations->last_worker_heartbeat_at + timeout_s;
}

mv_link_class mv_links_classify(const mv_link_observations *observations, double now)
{
    if (!mv_state_link_is_reachable(&observations->state, now))
        return mv_state_link_was_ever_reachable(&observations->state)
                   ? classify_state_loss(observations, now)
                   : MV_LINKS_UNKNOWN;
    if (workers_are_unreachable(observations, now))
        return MV_LINKS_NO_WORKERS;
    if (mv_peer_table_is_unreachable(&observations->peers, now))
        return MV_LINKS_NO_PEERS;
    return MV_LINKS_CONNECTED;
}
