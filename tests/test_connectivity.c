/* The connectivity package by itself: views, judgement, the launch gate, ends that are not
 * recorded. */
#include "connectivity/connectivity.h"
#include "connectivity/outcomes.h"

#include <math.h>
#include <string.h>

#define CONTROLLERS 5

/* Controllers that tell one another views, and what the state service answers each. */
typedef struct {
    mv_settings settings[CONTROLLERS];
    mv_sibling peers[CONTROLLERS][CONTROLLERS];
    mv_connectivity *links[CONTROLLERS];
    bool answered[CONTROLLERS]; /* by the state service */
    bool reached[CONTROLLERS];  /* by the others, and they by it */
    bool tells[CONTROLLERS];    /* views at all */
    unsigned n;
    double now, renewed_at;
} team_of_controllers;

static void make(team_of_controllers *t, unsigned n)
{
    memset(t, 0, sizeof *t);
    t->n = n;
    t->now = 1000;
    for (unsigned i = 0; i < n; i++) {
        mv_settings *s = &t->settings[i];
        g_snprintf(s->node_name, sizeof s->node_name, "n%u", i);
        s->peers = t->peers[i];
        s->n_peers = n - 1;
        s->count = n;
        s->report_s = 1;
        for (unsigned k = 0, at = 0; k < n; k++)
            if (k != i)
                g_snprintf(t->peers[i][at++].name, MV_NAME_SIZE, "n%u", k);
        t->links[i] = mv_connectivity_new(s);
        t->answered[i] = t->reached[i] = t->tells[i] = true;
    }
}

static void clear(team_of_controllers *t)
{
    for (unsigned i = 0; i < t->n; i++)
        mv_connectivity_free(t->links[i]);
}

static void exchange(team_of_controllers *t, unsigned from, unsigned to)
{
    bool arrives = t->reached[from] && t->reached[to] && t->tells[to];
    g_autoptr(mv_view) told = mv_connectivity_tell(t->links[from], t->now, from + 1);
    if (arrives) {
        mv_connectivity_hear(t->links[to], t->now, told);
        g_autoptr(mv_view) answer = mv_connectivity_tell(t->links[to], t->now, to + 1);
        mv_connectivity_hear(t->links[from], t->now, answer);
    }
    mv_connectivity_peer_asked(t->links[from], t->settings[to].node_name, t->now,
                               t->reached[from] && t->reached[to]);
}

/* A tenth of a second at a time: renewals, watches, views, judgement. */
static void pass(team_of_controllers *t, double seconds)
{
    for (double until = t->now + seconds; t->now < until - 1e-9;) {
        t->now += 0.1;
        bool renews = t->now >= t->renewed_at + MV_SESSION_RENEW_S;
        if (renews)
            t->renewed_at = t->now;
        for (unsigned i = 0; i < t->n; i++) {
            if (renews && t->answered[i]) {
                mv_connectivity_state_answered(t->links[i], t->now, 100 + i, t->now);
                mv_connectivity_followed(t->links[i], t->now);
            } else if (renews) {
                mv_connectivity_state_failed(t->links[i]);
            }
            for (unsigned k = 0; k < t->n && t->tells[i]; k++)
                if (k != i)
                    exchange(t, i, k);
            mv_connectivity_update(t->links[i], t->now, false);
        }
    }
}

static void assert_class(const team_of_controllers *t, unsigned i, mv_link_class expected)
{
    g_assert_cmpstr(mv_link_class_name(mv_connectivity_class(t->links[i])), ==,
                    mv_link_class_name(expected));
}

static mv_launch_scope scope(const team_of_controllers *t, unsigned i)
{
    return mv_connectivity_gate(t->links[i])->scope;
}

/* --- judgement --- */

static void one_alone(void)
{
    team_of_controllers t;
    make(&t, 3);
    assert_class(&t, 0, MV_LINKS_UNKNOWN);
    pass(&t, 5);
    for (unsigned i = 0; i < 3; i++)
        assert_class(&t, i, MV_LINKS_CONNECTED);
    t.answered[1] = false;
    pass(&t, 4);
    assert_class(&t, 0, MV_LINKS_CONNECTED);
    assert_class(&t, 1, MV_LINKS_CUT_OFF);
    g_assert_cmpint(scope(&t, 1), ==, MV_LAUNCH_NOTHING);
    g_assert_true(mv_connectivity_gave_up(t.links[0], t.now, "n1", 101));
    /* Its process of before, and others, did not. */
    g_assert_false(mv_connectivity_gave_up(t.links[0], t.now, "n1", 100));
    g_assert_false(mv_connectivity_gave_up(t.links[0], t.now, "n2", 102));
    t.answered[1] = true;
    for (unsigned step = 0; step < 20 && mv_connectivity_class(t.links[1]) == MV_LINKS_CUT_OFF;
         step++)
        pass(&t, 0.1);
    assert_class(&t, 1, MV_LINKS_CONNECTED);
    g_assert_cmpint(scope(&t, 1), ==, MV_LAUNCH_NOTHING);
    pass(&t, 2);
    g_assert_cmpint(scope(&t, 1), ==, MV_LAUNCH_ALL);
    clear(&t);
}

static void everybody(void)
{
    team_of_controllers t;
    make(&t, 3);
    pass(&t, 5);
    t.answered[0] = t.answered[1] = t.answered[2] = false;
    pass(&t, 4);
    for (unsigned i = 0; i < 3; i++) {
        assert_class(&t, i, MV_LINKS_OUTAGE);
        g_assert_cmpint(scope(&t, i), ==, MV_LAUNCH_ALL);
    }
    /* The outage ends for all but one: its peers say so. */
    t.answered[0] = t.answered[1] = true;
    pass(&t, 2);
    assert_class(&t, 0, MV_LINKS_CONNECTED);
    assert_class(&t, 2, MV_LINKS_CUT_OFF);
    g_assert_cmpint(scope(&t, 2), ==, MV_LAUNCH_NOTHING);
    clear(&t);
}

/* Two of five are cut off: they do not take one another for an outage, for three are answered. */
static void two_of_five(void)
{
    team_of_controllers t;
    make(&t, 5);
    pass(&t, 5);
    t.answered[0] = t.answered[1] = false;
    pass(&t, 4);
    assert_class(&t, 0, MV_LINKS_CUT_OFF);
    assert_class(&t, 1, MV_LINKS_CUT_OFF);
    assert_class(&t, 4, MV_LINKS_CONNECTED);
    clear(&t);
}

static void without_witness(void)
{
    team_of_controllers t;
    make(&t, 3);
    pass(&t, 5);
    t.answered[0] = t.reached[0] = false;
    pass(&t, 6);
    assert_class(&t, 0, MV_LINKS_CUT_OFF);
    t.settings[0].tune.launch_without_witness = MV_WITHOUT_WITNESS_OUTAGE;
    pass(&t, 0.1);
    assert_class(&t, 0, MV_LINKS_OUTAGE);
    clear(&t);
}

/* Controllers that tell no views are no witnesses, for either side. */
static void silent_peers(void)
{
    team_of_controllers t;
    make(&t, 3);
    t.tells[1] = t.tells[2] = false;
    pass(&t, 5);
    assert_class(&t, 0, MV_LINKS_CONNECTED);
    g_assert_false(mv_connectivity_peer(t.links[0], t.now, 0).known);
    t.answered[0] = false;
    pass(&t, 6);
    assert_class(&t, 0, MV_LINKS_CUT_OFF);
    clear(&t);
}

static void no_peers(void)
{
    team_of_controllers t;
    make(&t, 3);
    pass(&t, 5);
    t.reached[2] = false;
    pass(&t, 5);
    assert_class(&t, 2, MV_LINKS_NO_PEERS);
    assert_class(&t, 0, MV_LINKS_CONNECTED);
    g_assert_cmpint(scope(&t, 2), ==, MV_LAUNCH_ALL);
    clear(&t);
}

static void no_workers(void)
{
    team_of_controllers t;
    make(&t, 3);
    pass(&t, 5);
    mv_connectivity_workers(t.links[0], true, t.now - 4);
    pass(&t, 0.1);
    assert_class(&t, 0, MV_LINKS_NO_WORKERS);
    mv_connectivity_workers(t.links[0], true, t.now);
    pass(&t, 0.1);
    assert_class(&t, 0, MV_LINKS_CONNECTED);
    clear(&t);
}

/* The session lives, but no watch is answered. */
static void watches_lost(void)
{
    team_of_controllers t;
    make(&t, 3);
    pass(&t, 5);
    double began = t.now;
    while (t.now < began + 9) {
        pass(&t, 0.1);
        /* n0 alone is answered renewals, but no watch. */
        t.answered[0] = false;
        mv_connectivity_state_answered(t.links[0], t.now, 100, t.now);
        mv_connectivity_update(t.links[0], t.now, false);
        if (t.now < began + MV_COPY_LOST_S - 0.2)
            assert_class(&t, 0, MV_LINKS_CONNECTED);
    }
    assert_class(&t, 0, MV_LINKS_CUT_OFF);
    assert_class(&t, 1, MV_LINKS_CONNECTED);
    clear(&t);
}

/* --- the gate --- */

static void operators_choice(void)
{
    static const struct {
        mv_launch_without_state setting;
        mv_launch_scope scope;
    } choices[] = {{MV_LAUNCH_LEASE, MV_LAUNCH_ALL},
                   {MV_LAUNCH_GUARANTEES, MV_LAUNCH_GUARANTEED},
                   {MV_LAUNCH_NEVER, MV_LAUNCH_NOTHING}};
    for (size_t i = 0; i < G_N_ELEMENTS(choices); i++) {
        mv_launch_gate gate = {0};
        mv_gate_input input = {.links = MV_LINKS_OUTAGE, .without_state = choices[i].setting};
        mv_launch_gate_update(&gate, 1, &input);
        g_assert_cmpint(gate.scope, ==, choices[i].scope);
    }
}

/* Whoever stood still for a while counts no break of the line beyond the first. */
static void own_pause(void)
{
    mv_launch_gate gate = {0};
    for (unsigned second = 10; second < 20; second++) {
        double now = second;
        mv_gate_input broken = {.links = MV_LINKS_CUT_OFF, .behind = true};
        mv_launch_gate_update(&gate, now, &broken);
        mv_gate_input healed = {.links = MV_LINKS_CONNECTED, .followed = now + 0.5};
        mv_launch_gate_update(&gate, now + 0.5, &healed);
    }
    g_assert_cmpuint(gate.breaks, ==, 1);
    g_assert_cmpfloat(gate.hold_s, ==, MV_HOLD_FIRST_S);
}

static void forgotten_breaks(void)
{
    mv_launch_gate gate = {0};
    mv_gate_input broken = {.links = MV_LINKS_CUT_OFF};
    mv_gate_input healed = {.links = MV_LINKS_CONNECTED, .followed = 12};
    mv_launch_gate_update(&gate, 10, &broken);
    mv_launch_gate_update(&gate, 11, &healed);
    mv_launch_gate_update(&gate, 12, &broken);
    g_assert_cmpuint(gate.breaks, ==, 2);
    mv_launch_gate_update(&gate, 13, &healed);
    mv_launch_gate_update(&gate, 12 + MV_HOLD_FORGET_S + 1, &broken);
    g_assert_cmpuint(gate.breaks, ==, 1);
}

/* --- views that prove nothing --- */

static void bad_views(void)
{
    team_of_controllers t;
    make(&t, 3);
    pass(&t, 5);
    g_autoptr(mv_view) view = mv_connectivity_tell(t.links[1], t.now, 2);
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now, view), ==, MV_VIEW_TAKEN);
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now, view), ==, MV_VIEW_OLD);
    view->sequence++;
    view->state_age_s = NAN;
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now, view), ==, MV_VIEW_MALFORMED);
    view->state_age_s = -3;
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now, view), ==, MV_VIEW_MALFORMED);
    view->state_age_s = 0.1;
    view->links = (mv_link_class)99;
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now, view), ==, MV_VIEW_MALFORMED);
    view->links = MV_LINKS_CONNECTED;
    g_strlcpy(view->node, "elsewhere", sizeof view->node);
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now, view), ==, MV_VIEW_STRANGER);
    g_strlcpy(view->node, "n1", sizeof view->node);
    /* What it says has arrived is of a former process of ours, or was never told. */
    for (guint i = 0; i < view->peers->len; i++)
        g_array_index(view->peers, mv_peer_link, i).seen_boot += 7;
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now, view), ==, MV_VIEW_UNPROVEN);
    for (guint i = 0; i < view->peers->len; i++) {
        g_array_index(view->peers, mv_peer_link, i).seen_boot -= 7;
        g_array_index(view->peers, mv_peer_link, i).seen_sequence = 1u << 30;
    }
    view->sequence++;
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now, view), ==, MV_VIEW_UNPROVEN);
    clear(&t);
}

/* A view that was held up for minutes is as old as it is: it witnesses nothing. */
static void late_view(void)
{
    team_of_controllers t;
    make(&t, 3);
    pass(&t, 5);
    g_autoptr(mv_view) late = mv_connectivity_tell(t.links[1], t.now, 2);
    t.reached[0] = false;
    pass(&t, 60);
    t.answered[0] = false;
    pass(&t, 1);
    mv_connectivity_hear(t.links[0], t.now, late);
    mv_peer_state peer = mv_connectivity_peer(t.links[0], t.now, 0);
    g_assert_cmpfloat(peer.view_age_s, >, 60);
    g_assert_false(peer.hears_us);
    clear(&t);
}

/* A controller that began anew is heard, and no late word of its former process counts. */
static void former_process(void)
{
    team_of_controllers t;
    make(&t, 2);
    pass(&t, 5);
    g_autoptr(mv_view) former = mv_connectivity_tell(t.links[1], t.now, 2);
    former->sequence += 1000;
    mv_connectivity_free(t.links[1]);
    t.links[1] = mv_connectivity_new(&t.settings[1]);
    g_autoptr(mv_view) ours = mv_connectivity_tell(t.links[0], t.now + 1, 1);
    mv_connectivity_hear(t.links[1], t.now + 1, ours);
    g_autoptr(mv_view) newer = mv_connectivity_tell(t.links[1], t.now + 1, 77);
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now + 1, newer), ==, MV_VIEW_TAKEN);
    g_assert_cmpint(mv_connectivity_hear(t.links[0], t.now + 2, former), ==, MV_VIEW_OLD);
    clear(&t);
}

/* --- ends that are not recorded --- */

static bool any(void *context, const char *job)
{
    (void)context;
    (void)job;
    return true;
}

/* At the bound nothing is dropped: what does not fit is refused, and its task stays uncleared. */
static void bounded(void)
{
    mv_outcomes *outcomes = mv_outcomes_new(2000);
    char job[MV_ID_SIZE];
    unsigned kept = 0;
    for (unsigned i = 0; i < 100; i++) {
        g_snprintf(job, sizeof job, "j-%06u", i);
        kept += mv_outcomes_add(outcomes, job, i);
    }
    g_assert_cmpuint(kept, >, 5);
    g_assert_cmpuint(kept, <, 20);
    g_assert_cmpuint(mv_outcomes_waiting(outcomes), ==, kept);
    mv_outcomes_job_over(outcomes, "j-000000");
    g_assert_true(mv_outcomes_add(outcomes, "j-000099", 1));
    mv_outcomes_free(outcomes);
}

/* A job of 100,000 tasks takes kilobytes; what does not fit one view follows in the next. */
static void large_sets(void)
{
    mv_outcomes *outcomes = mv_outcomes_new(MV_OUTCOMES_BYTES);
    char job[MV_ID_SIZE];
    for (unsigned i = 0; i < 10; i++) {
        g_snprintf(job, sizeof job, "j-%06u", i);
        for (uint32_t task = i; task < MV_MAX_TASKS; task += 2)
            g_assert_true(mv_outcomes_add(outcomes, job, task));
    }
    g_autoptr(GHashTable) told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (unsigned round = 0; round < 4; round++) {
        g_autoptr(mv_view) view = mv_view_new();
        gsize bytes = 0;
        mv_outcomes_pack(outcomes, any, NULL, MV_OUTCOMES_TOLD_BYTES, view->outcomes);
        for (guint i = 0; i < view->outcomes->len; i++) {
            const mv_outcome *outcome = g_ptr_array_index(view->outcomes, i);
            bytes += g_bytes_get_size(outcome->tasks);
            g_hash_table_add(told, g_strdup(outcome->job));
        }
        g_assert_cmpuint(view->outcomes->len, >=, 1);
        g_assert_cmpuint(bytes, <=, MV_OUTCOMES_TOLD_BYTES);
    }
    g_assert_cmpuint(g_hash_table_size(told), ==, 10);
    mv_outcomes_free(outcomes);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/connectivity/one-alone", one_alone);
    g_test_add_func("/connectivity/everybody", everybody);
    g_test_add_func("/connectivity/two-of-five", two_of_five);
    g_test_add_func("/connectivity/without-witness", without_witness);
    g_test_add_func("/connectivity/silent-peers", silent_peers);
    g_test_add_func("/connectivity/no-peers", no_peers);
    g_test_add_func("/connectivity/no-workers", no_workers);
    g_test_add_func("/connectivity/watches-lost", watches_lost);
    g_test_add_func("/connectivity/operators-choice", operators_choice);
    g_test_add_func("/connectivity/own-pause", own_pause);
    g_test_add_func("/connectivity/forgotten-breaks", forgotten_breaks);
    g_test_add_func("/connectivity/bad-views", bad_views);
    g_test_add_func("/connectivity/late-view", late_view);
    g_test_add_func("/connectivity/former-process", former_process);
    g_test_add_func("/connectivity/bounded", bounded);
    g_test_add_func("/connectivity/large-sets", large_sets);
    return g_test_run();
}
