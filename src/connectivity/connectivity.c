/**
 * Connectivity combines the state link, the peer table, the link classifier and the launch gate.
 */
#include "connectivity/connectivity.h"

#include "connectivity/link_classifier.h"
#include "connectivity/report_log.h"

struct mv_connectivity {
    mv_link_observations observations;
    mv_report_log published;
    mv_link_class link_class;
    double class_since;
    mv_launch_gate gate;
};

mv_connectivity *mv_connectivity_new(const mv_settings *settings)
{
    mv_connectivity *connectivity = g_new0(mv_connectivity, 1);
    connectivity->observations.settings = settings;
    mv_peer_table_init(&connectivity->observations.peers, settings);
    return connectivity;
}

void mv_connectivity_free(mv_connectivity *connectivity)
{
    if (!connectivity)
        return;
    mv_peer_table_clear(&connectivity->observations.peers);
    g_free(connectivity);
}

/* --- observations --- */

void mv_connectivity_session_renewed(mv_connectivity *connectivity, double now,
                                     uint64_t incarnation, double sent_at)
{
    mv_state_link_session_renewed(&connectivity->observations.state, now, incarnation, sent_at);
}

void mv_connectivity_renewal_failed(mv_connectivity *connectivity)
{
    mv_state_link_renewal_failed(&connectivity->observations.state);
}

void mv_connectivity_session_lost(mv_connectivity *connectivity)
{
    mv_state_link_session_lost(&connectivity->observations.state);
}

void mv_connectivity_watch_answered(mv_connectivity *connectivity, double sent_at)
{
    mv_state_link_watch_answered(&connectivity->observations.state, sent_at);
}

void mv_connectivity_observe_workers(mv_connectivity *connectivity, bool expected,
                                     double last_heartbeat_at)
{
    connectivity->observations.workers_expected = expected;
    connectivity->observations.last_worker_heartbeat_at = last_heartbeat_at;
}

void mv_connectivity_peer_probed(mv_connectivity *connectivity, const char *name, double sent_at,
                                 bool answered)
{
    mv_peer_entry *peer = mv_peer_table_find(&connectivity->observations.peers, name);
    if (peer)
        mv_peer_entry_probed(peer, sent_at, answered);
}

static const mv_peer_link *link_to_this_controller(const mv_connectivity *connectivity,
                                                   const mv_link_report *report)
{
    return mv_link_report_find_peer(report, connectivity->observations.settings->node_name);
}

mv_link_report_status mv_connectivity_receive(mv_connectivity *connectivity, double now,
                                              const mv_link_report *report)
{
    if (!mv_link_report_is_valid(report))
        return MV_LINK_REPORT_MALFORMED;
    mv_peer_entry *peer = mv_peer_table_find(&connectivity->observations.peers, report->node);
    if (!peer)
        return MV_LINK_REPORT_UNKNOWN_NODE;
    const double confirmed_at = mv_report_log_confirmed_at(
        &connectivity->published, link_to_this_controller(connectivity, report));
    return mv_peer_entry_receive(peer, now, report, confirmed_at);
}

static void update_gate(mv_connectivity *connectivity, double now, bool overloaded)
{
    const mv_link_observations *observations = &connectivity->observations;
    const mv_gate_input input = {
        .link_class = connectivity->link_class,
        .state_unreachable_s = mv_state_link_unreachable_s(&observations->state, now),
        .cache_caught_up_at = observations->state.cache_caught_up_at,
        .overloaded = overloaded,
        .without_state = observations->settings->operator_settings.launch_without_state};
    mv_launch_gate_update(&connectivity->gate, now, &input);
}

mv_link_change mv_connectivity_update(mv_connectivity *connectivity, double now, bool overloaded)
{
    const mv_link_class previous_class = connectivity->link_class;
    const mv_launch_scope previous_scope = connectivity->gate.scope;
    mv_state_link_update(&connectivity->observations.state, now);
    connectivity->link_class = mv_links_classify(&connectivity->observations, now);
    if (connectivity->link_class != previous_class)
        connectivity->class_since = now;
    update_gate(connectivity, now, overloaded);
    if (connectivity->gate.scope != previous_scope)
        return MV_LINK_CHANGE_SCOPE;
    if (connectivity->link_class != previous_class)
        return MV_LINK_CHANGE_CLASS;
    return MV_LINK_CHANGE_NONE;
}

/* --- results --- */

double mv_connectivity_publish_interval(const mv_connectivity *connectivity, double now)
{
    const bool link_is_good = connectivity->observations.state.failures == 0 &&
                              mv_connectivity_state_is_reachable(connectivity, now);
    return link_is_good ? MV_LINK_REPORT_INTERVAL_S : MV_LINK_REPORT_FAST_INTERVAL_S;
}

mv_link_report *mv_connectivity_publish(mv_connectivity *connectivity, double now, uint64_t boot)
{
    const mv_link_observations *observations = &connectivity->observations;
    const mv_state_link *state = &observations->state;
    mv_link_report *report = mv_link_report_new();
    g_strlcpy(report->node, observations->settings->node_name, sizeof report->node);
    report->boot = boot;
    report->incarnation = state->incarnation;
    report->sequence = mv_report_log_append(&connectivity->published, now, boot);
    report->link_class = connectivity->link_class;
    report->class_age_s = MAX(now - connectivity->class_since, 0);
    report->state_age_s = mv_age_since(state->session_confirmed_at, now);
    report->cache_age_s = mv_age_since(state->cache_caught_up_at, now);
    report->workers_age_s = mv_age_since(observations->last_worker_heartbeat_at, now);
    report->round_trip_s = state->round_trip_s;
    report->failures = state->failures;
    report->launches_held = connectivity->gate.scope == MV_LAUNCH_SCOPE_NONE;
    mv_peer_table_append_links(&observations->peers, now, report->peers);
    return report;
}

mv_link_class mv_connectivity_link_class(const mv_connectivity *connectivity)
{
    return connectivity->link_class;
}

double mv_connectivity_class_since(const mv_connectivity *connectivity)
{
    return connectivity->class_since;
}

const mv_launch_gate *mv_connectivity_launch_gate(const mv_connectivity *connectivity)
{
    return &connectivity->gate;
}

bool mv_connectivity_state_is_reachable(const mv_connectivity *connectivity, double now)
{
    return mv_state_link_is_reachable(&connectivity->observations.state, now);
}

bool mv_connectivity_peer_is_isolated(const mv_connectivity *connectivity, double now,
                                      const char *node, uint64_t incarnation)
{
    const mv_peer_entry *peer = mv_peer_table_find(&connectivity->observations.peers, node);
    const mv_link_report *report = peer ? mv_peer_entry_recent_report(peer, now) : NULL;
    return report && report->incarnation == incarnation &&
           report->link_class == MV_LINKS_ISOLATED && report->class_age_s >= MV_STEP_ASIDE_AFTER_S;
}

const char *mv_connectivity_hold_reason(const mv_connectivity *connectivity)
{
    const mv_launch_gate *gate = &connectivity->gate;
    if (gate->scope == MV_LAUNCH_SCOPE_ALL)
        return "";
    if (gate->scope == MV_LAUNCH_SCOPE_GUARANTEED)
        return "outage: guaranteed work only";
    if (gate->closed && gate->stable_since > 0)
        return "links are not steady yet";
    return mv_link_class_name(connectivity->link_class);
}

unsigned mv_connectivity_peer_count(const mv_connectivity *connectivity)
{
    return (unsigned)connectivity->observations.peers.count;
}

mv_peer_link_status mv_connectivity_peer(const mv_connectivity *connectivity, double now,
                                         unsigned index)
{
    const mv_peer_entry *peer = &connectivity->observations.peers.entries[index];
    const mv_link_report *report = peer->report;
    mv_peer_link_status seen = {.name = peer->name, .report_age_s = MV_NEVER};
    if (!report)
        return seen;
    const mv_peer_link *link = link_to_this_controller(connectivity, report);
    seen.known = true;
    seen.link_class = report->link_class;
    seen.report_age_s = now - peer->report_as_of;
    seen.class_age_s = report->class_age_s;
    seen.launches_held = report->launches_held;
    seen.completions_unrecorded = report->completions_unrecorded;
    seen.receives_reports =
        link && mv_link_age_is_below(link->last_message_age_s, MV_PEER_LINK_TIMEOUT_S) &&
        seen.report_age_s < MV_PEER_LINK_TIMEOUT_S;
    return seen;
}
