#include "service/view_codec.h"

#include "service/peer_codec.h"

#include <string.h>

/* The parts of a message while it is packed. */
typedef struct {
    Mv__View view;
    Mv__PeerLink *links;
    Mv__PeerLink **link_list;
    Mv__Outcome *outcomes;
    Mv__Outcome **outcome_list;
} packed_view;

static void fill_links(packed_view *packed, const mv_view *view)
{
    guint n = view->peers->len;
    packed->links = g_new0(Mv__PeerLink, n + 1);
    packed->link_list = g_new0(Mv__PeerLink *, n + 1);
    for (guint i = 0; i < n; i++) {
        mv_peer_link *from = &g_array_index(view->peers, mv_peer_link, i);
        Mv__PeerLink *to = &packed->links[i];
        mv__peer_link__init(to);
        to->node = from->peer;
        to->seen_boot = from->seen_boot;
        to->seen_sequence = from->seen_sequence;
        to->heard_age_s = from->heard_age_s;
        to->answered_age_s = from->answered_age_s;
        packed->link_list[i] = to;
    }
    packed->view.n_peers = n;
    packed->view.peers = packed->link_list;
}

static void fill_outcomes(packed_view *packed, const mv_view *view)
{
    guint n = view->outcomes->len;
    packed->outcomes = g_new0(Mv__Outcome, n + 1);
    packed->outcome_list = g_new0(Mv__Outcome *, n + 1);
    for (guint i = 0; i < n; i++) {
        mv_outcome *from = g_ptr_array_index(view->outcomes, i);
        Mv__Outcome *to = &packed->outcomes[i];
        gsize size;
        mv__outcome__init(to);
        to->job = from->job;
        to->tasks.data = (uint8_t *)g_bytes_get_data(from->tasks, &size);
        to->tasks.len = size;
        packed->outcome_list[i] = to;
    }
    packed->view.n_outcomes = n;
    packed->view.outcomes = packed->outcome_list;
}

static void fill(packed_view *packed, const mv_view *view)
{
    Mv__View *to = &packed->view;
    mv__view__init(to);
    to->node = (char *)view->node;
    to->boot = view->boot;
    to->incarnation = view->incarnation;
    to->sequence = view->sequence;
    to->links = (uint32_t)view->links;
    to->class_for_s = view->class_for_s;
    to->state_age_s = view->state_age_s;
    to->copy_age_s = view->copy_age_s;
    to->workers_age_s = view->workers_age_s;
    to->round_trip_s = view->round_trip_s;
    to->failures = view->failures;
    to->launches_held = view->launches_held;
    to->waiting = view->waiting;
    fill_links(packed, view);
    fill_outcomes(packed, view);
}

static void clear(packed_view *packed)
{
    g_free(packed->links);
    g_free(packed->link_list);
    g_free(packed->outcomes);
    g_free(packed->outcome_list);
}

GBytes *mv_view_pack(const mv_view *view)
{
    packed_view packed;
    Mv__Ask ask = MV__ASK__INIT;
    fill(&packed, view);
    ask.what_case = MV__ASK__WHAT_VIEW;
    ask.view = &packed.view;
    size_t size = mv__ask__get_packed_size(&ask);
    uint8_t *out = g_malloc(size);
    mv__ask__pack(&ask, out);
    clear(&packed);
    return g_bytes_new_take(out, size);
}

GBytes *mv_view_answer_pack(const mv_view *view)
{
    packed_view packed;
    Mv__Answer answer = MV__ANSWER__INIT;
    fill(&packed, view);
    answer.view = &packed.view;
    GBytes *out = mv_answer_pack(&answer);
    clear(&packed);
    return out;
}

static bool read_links(const Mv__View *message, mv_view *view)
{
    for (size_t i = 0; i < message->n_peers; i++) {
        const Mv__PeerLink *from = message->peers[i];
        mv_peer_link link = {.seen_boot = from->seen_boot,
                             .seen_sequence = from->seen_sequence,
                             .heard_age_s = from->heard_age_s,
                             .answered_age_s = from->answered_age_s};
        if (g_strlcpy(link.peer, from->node, sizeof link.peer) >= sizeof link.peer)
            return false;
        g_array_append_val(view->peers, link);
    }
    return true;
}

static bool read_outcomes(const Mv__View *message, mv_view *view)
{
    for (size_t i = 0; i < message->n_outcomes; i++) {
        const Mv__Outcome *from = message->outcomes[i];
        mv_outcome *outcome = g_new0(mv_outcome, 1);
        bool fits = g_strlcpy(outcome->job, from->job, sizeof outcome->job) < sizeof outcome->job;
        outcome->tasks = g_bytes_new(from->tasks.data, from->tasks.len);
        g_ptr_array_add(view->outcomes, outcome);
        if (!fits)
            return false;
    }
    return true;
}

mv_view *mv_view_unpack(const Mv__View *message)
{
    g_autoptr(mv_view) view = mv_view_new();
    bool fits = g_strlcpy(view->node, message->node, sizeof view->node) < sizeof view->node;
    view->boot = message->boot;
    view->incarnation = message->incarnation;
    view->sequence = message->sequence;
    view->links = (mv_link_class)message->links;
    view->class_for_s = message->class_for_s;
    view->state_age_s = message->state_age_s;
    view->copy_age_s = message->copy_age_s;
    view->workers_age_s = message->workers_age_s;
    view->round_trip_s = message->round_trip_s;
    view->failures = message->failures;
    view->launches_held = message->launches_held;
    view->waiting = message->waiting;
    bool sound = fits && message->links < MV_LINKS_CLASSES && read_links(message, view) &&
                 read_outcomes(message, view);
    return sound ? g_steal_pointer(&view) : NULL;
}
