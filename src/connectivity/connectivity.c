#include "connectivity/connectivity.h"

#include <math.h>
#include <string.h>

typedef struct {
    const char *name;
    double heard_at;                   /* anything arrived from it; 0: never */
    double answered_at;                /* a request that it answered was sent; 0: never */
    unsigned failures;                 /* requests without an answer in a row */
    uint64_t seen_boot, seen_sequence; /* of the newest view that arrived, for the echo */
    mv_view *view;                     /* the newest that counts; NULL: none */
    double view_as_of;                 /* it was made after this time */
} peer_state;

struct mv_connectivity {
    const mv_settings *settings;
    peer_state *peers; /* like settings->peers */
    uint64_t boot, incarnation, sequence;
    double issued[MV_VIEWS_REMEMBERED]; /* when a view was told, by its sequence number */
    bool session;
    double contact;  /* a renewal that was answered was sent then; 0: never */
    double followed; /* a watch that was answered was sent then; 0: never */
    double round_trip;
    unsigned failures;
    bool workers_expected;
    double workers_heard;
    double lost_at; /* the state service fell silent; 0: it answers */
    mv_link_class links;
    double class_since;
    mv_launch_gate gate;
};

mv_connectivity *mv_connectivity_new(const mv_settings *settings)
{
    mv_connectivity *links = g_new0(mv_connectivity, 1);
    links->settings = settings;
    links->peers = g_new0(peer_state, settings->n_peers + 1);
    for (size_t i = 0; i < settings->n_peers; i++)
        links->peers[i].name = settings->peers[i].name;
    return links;
}

void mv_connectivity_free(mv_connectivity *links)
{
    if (!links)
        return;
    for (size_t i = 0; i < links->settings->n_peers; i++)
        mv_view_free(links->peers[i].view);
    g_free(links->peers);
    g_free(links);
}

static peer_state *peer_named(const mv_connectivity *links, const char *name)
{
    for (size_t i = 0; i < links->settings->n_peers; i++)
        if (strcmp(links->peers[i].name, name) == 0)
            return &links->peers[i];
    return NULL;
}

/* --- what happened --- */

void mv_connectivity_state_answered(mv_connectivity *links, double now, uint64_t incarnation,
                                    double sent)
{
    links->session = true;
    links->incarnation = incarnation;
    links->contact = MAX(links->contact, sent);
    links->round_trip = now - sent;
    links->failures = 0;
}

void mv_connectivity_state_failed(mv_connectivity *links)
{
    links->failures++;
}

void mv_connectivity_session_lost(mv_connectivity *links)
{
    links->session = false;
    links->failures++;
}

void mv_connectivity_followed(mv_connectivity *links, double sent)
{
    links->followed = MAX(links->followed, sent);
}

void mv_connectivity_workers(mv_connectivity *links, bool expected, double heard_at)
{
    links->workers_expected = expected;
    links->workers_heard = heard_at;
}

void mv_connectivity_peer_asked(mv_connectivity *links, const char *name, double sent,
                                bool answered)
{
    peer_state *peer = peer_named(links, name);
    if (!peer)
        return;
    peer->failures = answered ? 0 : peer->failures + 1;
    if (answered)
        peer->answered_at = MAX(peer->answered_at, sent);
}

/* --- views of peers --- */

static bool is_age(double age)
{
    return age == MV_NEVER || (isfinite(age) && age >= 0);
}

static bool is_sound(const mv_view *view)
{
    bool sound =
        view->node[0] && view->boot && view->sequence && (unsigned)view->links < MV_LINKS_CLASSES &&
        is_age(view->state_age_s) && is_age(view->copy_age_s) && is_age(view->workers_age_s) &&
        isfinite(view->class_for_s) && view->class_for_s >= 0 && isfinite(view->round_trip_s);
    for (guint i = 0; sound && i < view->peers->len; i++) {
        const mv_peer_link *link = &g_array_index(view->peers, mv_peer_link, i);
        sound = is_age(link->heard_age_s) && is_age(link->answered_age_s);
    }
    return sound;
}

static const mv_peer_link *link_to_us(const mv_connectivity *links, const mv_view *view)
{
    for (guint i = 0; i < view->peers->len; i++) {
        const mv_peer_link *link = &g_array_index(view->peers, mv_peer_link, i);
        if (strcmp(link->peer, links->settings->node_name) == 0)
            return link;
    }
    return NULL;
}

/* When we told the newest of our views that this one says has arrived; 0: none that we remember. */
static double proven_time(const mv_connectivity *links, const mv_view *view)
{
    const mv_peer_link *link = link_to_us(links, view);
    if (!link || !links->boot || link->seen_boot != links->boot || link->seen_sequence == 0 ||
        link->seen_sequence > links->sequence ||
        link->seen_sequence + MV_VIEWS_REMEMBERED <= links->sequence)
        return 0;
    return links->issued[link->seen_sequence % MV_VIEWS_REMEMBERED];
}

static mv_view *copy_without_outcomes(const mv_view *view)
{
    mv_view *copy = mv_view_new();
    GArray *peers = copy->peers;
    GPtrArray *outcomes = copy->outcomes;
    *copy = *view;
    copy->peers = peers;
    copy->outcomes = outcomes;
    g_array_append_vals(copy->peers, view->peers->data, view->peers->len);
    return copy;
}

/* A sequence number orders the views of one process. Those of two processes of a controller are
 * ordered by what of ours had arrived when they were made: a boot has no order of its own, and the
 * later process cannot have heard less. */
static bool is_newer(const peer_state *peer, const mv_view *view, double as_of)
{
    if (!peer->view)
        return true;
    if (peer->view->boot == view->boot)
        return view->sequence > peer->view->sequence;
    return as_of > peer->view_as_of;
}

mv_view_verdict mv_connectivity_hear(mv_connectivity *links, double now, const mv_view *view)
{
    if (!is_sound(view))
        return MV_VIEW_MALFORMED;
    peer_state *peer = peer_named(links, view->node);
    if (!peer)
        return MV_VIEW_STRANGER;
    double as_of = proven_time(links, view);
    bool newer = is_newer(peer, view, as_of);
    /* The echo is told even of what is unproven: without it no proof could ever begin. */
    if (view->boot != peer->seen_boot || view->sequence > peer->seen_sequence) {
        peer->seen_boot = view->boot;
        peer->seen_sequence = view->sequence;
        peer->heard_at = now;
    }
    if (as_of == 0)
        return MV_VIEW_UNPROVEN;
    if (!newer)
        return MV_VIEW_OLD;
    mv_view_free(peer->view);
    peer->view = copy_without_outcomes(view);
    peer->view_as_of = as_of;
    return MV_VIEW_TAKEN;
}

/* --- judgement --- */

static const mv_view *fresh_view(const peer_state *peer, double now)
{
    return peer->view && now < peer->view_as_of + MV_VIEW_FRESH_S ? peer->view : NULL;
}

static bool age_within(double age, double limit)
{
    return age != MV_NEVER && age < limit;
}

static bool state_answers(const mv_connectivity *links, double now)
{
    return links->session && now < links->contact + MV_SESSION_TTL_S - MV_SESSION_MARGIN_S;
}

static bool copy_is_followed(const mv_connectivity *links, double now)
{
    return links->followed > 0 && now < links->followed + MV_COPY_LOST_S;
}

bool mv_connectivity_state_reached(const mv_connectivity *links, double now)
{
    return state_answers(links, now) && copy_is_followed(links, now);
}

/* Whether a peer had an answer of the state service well after our last one. In an outage for all
 * the last answers are no further apart than two renewals. */
static bool was_answered_later(const mv_connectivity *links, const peer_state *peer, double now)
{
    const mv_view *view = fresh_view(peer, now);
    if (!view)
        return false;
    bool session = !state_answers(links, now);
    double age = session ? view->state_age_s : view->copy_age_s;
    double ours = session ? links->contact : links->followed;
    return age != MV_NEVER && peer->view_as_of - age > ours + MV_WITNESS_GAP_S;
}

/* Whether a peer says that it has asked the state service in vain. One that began just now, or that
 * stood still, has not heard from it for other reasons and is no witness. */
static bool asks_in_vain(const mv_view *view)
{
    if (view->state_age_s == MV_NEVER)
        return view->failures >= MV_WITNESS_FAILURES;
    if (view->state_age_s < MV_VAIN_S)
        return view->copy_age_s != MV_NEVER && view->copy_age_s >= MV_COPY_LOST_S;
    return view->failures > 0;
}

/* The state service does not answer: is that so for us alone? One peer that was answered since
 * settles it. Else it is an outage if a majority of controllers, ourselves among them, asks in vain
 * and none of those that can be asked is still answered: with two controllers cut off at once, each
 * would else take the other for a witness before the third could have been answered later. */
static mv_link_class judge_silence(const mv_connectivity *links, double now)
{
    unsigned without = 1, undecided = 0;
    for (size_t i = 0; i < links->settings->n_peers; i++) {
        const mv_view *view = fresh_view(&links->peers[i], now);
        if (was_answered_later(links, &links->peers[i], now))
            return MV_LINKS_CUT_OFF;
        without += view && asks_in_vain(view);
        undecided += view && !asks_in_vain(view);
    }
    if (2 * without > links->settings->count && undecided == 0)
        return MV_LINKS_OUTAGE;
    if (now < links->lost_at + MV_JUDGE_S)
        return MV_LINKS_SUSPECTED;
    return links->settings->tune.launch_without_witness == MV_WITHOUT_WITNESS_OUTAGE
               ? MV_LINKS_OUTAGE
               : MV_LINKS_CUT_OFF;
}

static bool peers_are_silent(const mv_connectivity *links, double now)
{
    for (size_t i = 0; i < links->settings->n_peers; i++) {
        const peer_state *peer = &links->peers[i];
        if (peer->failures < MV_PEER_FAILURES || now < peer->answered_at + MV_PEER_SILENT_S)
            return false;
    }
    return links->settings->n_peers > 0;
}

static bool workers_are_silent(const mv_connectivity *links, double now)
{
    return links->workers_expected &&
           now > links->workers_heard + MV_HEARD_REPORTS * links->settings->report_s;
}

static mv_link_class judge(mv_connectivity *links, double now)
{
    if (mv_connectivity_state_reached(links, now)) {
        links->lost_at = 0;
        return workers_are_silent(links, now) ? MV_LINKS_NO_WORKERS
               : peers_are_silent(links, now) ? MV_LINKS_NO_PEERS
                                              : MV_LINKS_CONNECTED;
    }
    if (links->contact == 0 || links->followed == 0)
        return MV_LINKS_UNKNOWN;
    if (links->lost_at == 0)
        links->lost_at = now;
    return judge_silence(links, now);
}

mv_links_change mv_connectivity_update(mv_connectivity *links, double now, bool behind)
{
    mv_link_class was = links->links;
    mv_launch_scope scope = links->gate.scope;
    links->links = judge(links, now);
    if (links->links != was)
        links->class_since = now;
    mv_gate_input input = {.links = links->links,
                           .silent_s = links->lost_at > 0 ? now - links->lost_at : 0,
                           .followed = links->followed,
                           .behind = behind,
                           .without_state = links->settings->tune.launch_without_state};
    mv_launch_gate_update(&links->gate, now, &input);
    return links->gate.scope != scope ? MV_LINKS_RESCOPED
           : links->links != was      ? MV_LINKS_RECLASSED
                                      : MV_LINKS_SAME;
}

/* --- what follows --- */

double mv_connectivity_pause(const mv_connectivity *links, double now)
{
    bool well = links->failures == 0 && mv_connectivity_state_reached(links, now);
    return well ? MV_VIEW_S : MV_VIEW_SOON_S;
}

static double age_of(double at, double now)
{
    return at > 0 ? MAX(now - at, 0) : MV_NEVER;
}

mv_view *mv_connectivity_tell(mv_connectivity *links, double now, uint64_t boot)
{
    mv_view *view = mv_view_new();
    links->boot = boot;
    g_strlcpy(view->node, links->settings->node_name, sizeof view->node);
    view->boot = boot;
    view->incarnation = links->incarnation;
    view->sequence = ++links->sequence;
    links->issued[view->sequence % MV_VIEWS_REMEMBERED] = now;
    view->links = links->links;
    view->class_for_s = MAX(now - links->class_since, 0);
    view->state_age_s = age_of(links->contact, now);
    view->copy_age_s = age_of(links->followed, now);
    view->workers_age_s = age_of(links->workers_heard, now);
    view->round_trip_s = links->round_trip;
    view->failures = links->failures;
    view->launches_held = links->gate.scope == MV_LAUNCH_NOTHING;
    for (size_t i = 0; i < links->settings->n_peers; i++) {
        const peer_state *peer = &links->peers[i];
        mv_peer_link link = {.seen_boot = peer->seen_boot,
                             .seen_sequence = peer->seen_sequence,
                             .heard_age_s = age_of(peer->heard_at, now),
                             .answered_age_s = age_of(peer->answered_at, now)};
        g_strlcpy(link.peer, peer->name, sizeof link.peer);
        g_array_append_val(view->peers, link);
    }
    return view;
}

mv_link_class mv_connectivity_class(const mv_connectivity *links)
{
    return links->links;
}

double mv_connectivity_class_since(const mv_connectivity *links)
{
    return links->class_since;
}

const mv_launch_gate *mv_connectivity_gate(const mv_connectivity *links)
{
    return &links->gate;
}

bool mv_connectivity_gave_up(const mv_connectivity *links, double now, const char *node,
                             uint64_t incarnation)
{
    const peer_state *peer = peer_named(links, node);
    const mv_view *view = peer ? fresh_view(peer, now) : NULL;
    return view && view->incarnation == incarnation && view->links == MV_LINKS_CUT_OFF &&
           view->class_for_s >= MV_GIVE_UP_S;
}

const char *mv_connectivity_why_held(const mv_connectivity *links)
{
    if (links->gate.scope == MV_LAUNCH_ALL)
        return "";
    if (links->gate.scope == MV_LAUNCH_GUARANTEED)
        return "outage: guaranteed work only";
    if (links->gate.closed && links->gate.steady_since > 0)
        return "links are not steady yet";
    return mv_link_class_name(links->links);
}

unsigned mv_connectivity_peers(const mv_connectivity *links)
{
    return (unsigned)links->settings->n_peers;
}

mv_peer_state mv_connectivity_peer(const mv_connectivity *links, double now, unsigned index)
{
    const peer_state *peer = &links->peers[index];
    mv_peer_state out = {.name = peer->name, .view_age_s = MV_NEVER};
    if (!peer->view)
        return out;
    const mv_peer_link *link = link_to_us(links, peer->view);
    out.known = true;
    out.links = peer->view->links;
    out.view_age_s = now - peer->view_as_of;
    out.class_for_s = peer->view->class_for_s;
    out.launches_held = peer->view->launches_held;
    out.waiting = peer->view->waiting;
    out.hears_us = link && age_within(link->heard_age_s, MV_PEER_SILENT_S) &&
                   out.view_age_s < MV_PEER_SILENT_S;
    return out;
}
