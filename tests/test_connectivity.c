/**
 * Tests the modules of src/connectivity without the rest of a controller: the classification of
 * links, the launch gate, the receipt of link reports and the unrecorded completions.
 */
#include "connectivity/connectivity.h"
#include "connectivity/completions.h"

#include <math.h>
#include <string.h>

#define CONTROLLERS_MAX 5
#define STEP_S 0.1
#define FIRST_INCARNATION 100 /* of n0; the incarnation of n1 is one more, and so on */

/* Controllers n0, n1, ... that publish link reports to each other, and the state of their links. */
typedef struct {
    mv_settings settings[CONTROLLERS_MAX];
    mv_peer_settings peers[CONTROLLERS_MAX][CONTROLLERS_MAX];
    mv_connectivity *controllers[CONTROLLERS_MAX];
    bool state_answers[CONTROLLERS_MAX]; /* the state service answers the controller */
    bool reachable[CONTROLLERS_MAX];     /* messages to and from other controllers arrive */
    bool publishes[CONTROLLERS_MAX];     /* the controller publishes link reports */
    unsigned count;
    double now, renewed_at;
} link_fixture;

static void fixture_add_controller(link_fixture *fixture, unsigned index)
{
    mv_settings *settings = &fixture->settings[index];
    g_snprintf(settings->node_name, sizeof settings->node_name, "n%u", index);
    settings->peers = fixture->peers[index];
    settings->peer_count = fixture->count - 1;
    settings->controller_count = fixture->count;
    settings->report_s = 1;
    for (unsigned i = 0, next = 0; i < fixture->count; i++)
        if (i != index)
            g_snprintf(fixture->peers[index][next++].name, MV_NAME_SIZE, "n%u", i);
    fixture->controllers[index] = mv_connectivity_new(settings);
    fixture->state_answers[index] = true;
    fixture->reachable[index] = true;
    fixture->publishes[index] = true;
}

static void fixture_init(link_fixture *fixture, unsigned count)
{
    memset(fixture, 0, sizeof *fixture);
    fixture->count = count;
    fixture->now = 1000;
    for (unsigned i = 0; i < count; i++)
        fixture_add_controller(fixture, i);
}

static void fixture_clear(link_fixture *fixture)
{
    for (unsigned i = 0; i < fixture->count; i++)
        mv_connectivity_free(fixture->controllers[i]);
}

static mv_link_report *publish(link_fixture *fixture, unsigned index)
{
    return mv_connectivity_publish(fixture->controllers[index], fixture->now, index + 1);
}

static mv_link_report_status receive(link_fixture *fixture, unsigned index,
                                     const mv_link_report *report)
{
    return mv_connectivity_receive(fixture->controllers[index], fixture->now, report);
}

static void exchange_reports(link_fixture *fixture, unsigned from, unsigned to)
{
    const bool connected = fixture->reachable[from] && fixture->reachable[to];
    g_autoptr(mv_link_report) request = publish(fixture, from);
    if (connected && fixture->publishes[to]) {
        receive(fixture, to, request);
        g_autoptr(mv_link_report) response = publish(fixture, to);
        receive(fixture, from, response);
    }
    mv_connectivity_peer_probed(fixture->controllers[from], fixture->settings[to].node_name,
                                fixture->now, connected);
}

static void renew_session(link_fixture *fixture, unsigned index)
{
    mv_connectivity *controller = fixture->controllers[index];
    if (!fixture->state_answers[index]) {
        mv_connectivity_renewal_failed(controller);
        return;
    }
    mv_connectivity_session_renewed(controller, fixture->now, FIRST_INCARNATION + index,
                                    fixture->now);
    mv_connectivity_watch_answered(controller, fixture->now);
}

/* Runs one step of a controller. If `renews` is true, the controller renews its session and gets
 * the response to its watch. Then the controller exchanges link reports with all peers and
 * classifies its links. */
static void step(link_fixture *fixture, unsigned index, bool renews)
{
    if (renews)
        renew_session(fixture, index);
    for (unsigned i = 0; i < fixture->count && fixture->publishes[index]; i++)
        if (i != index)
            exchange_reports(fixture, index, i);
    mv_connectivity_update(fixture->controllers[index], fixture->now, false);
}

static void advance(link_fixture *fixture, double seconds)
{
    const double until = fixture->now + seconds;
    while (fixture->now < until - 1e-9) {
        fixture->now += STEP_S;
        const bool renews = fixture->now >= fixture->renewed_at + MV_SESSION_RENEW_S;
        if (renews)
            fixture->renewed_at = fixture->now;
        for (unsigned i = 0; i < fixture->count; i++)
            step(fixture, i, renews);
    }
}

static void assert_class(const link_fixture *fixture, unsigned index, mv_link_class expected)
{
    g_assert_cmpstr(mv_link_class_name(mv_connectivity_link_class(fixture->controllers[index])), ==,
                    mv_link_class_name(expected));
}

static void assert_scope(const link_fixture *fixture, unsigned index, mv_launch_scope expected)
{
    g_assert_cmpint(mv_connectivity_launch_gate(fixture->controllers[index])->scope, ==, expected);
}

/* --- classification --- */

static void unknown_until_state_service_answers(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    assert_class(&fixture, 0, MV_LINKS_UNKNOWN);
    advance(&fixture, 5);
    for (unsigned i = 0; i < 3; i++)
        assert_class(&fixture, i, MV_LINKS_CONNECTED);
    fixture_clear(&fixture);
}

static void isolated_controller_launches_nothing(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    fixture.state_answers[1] = false;
    advance(&fixture, 4);
    assert_class(&fixture, 0, MV_LINKS_CONNECTED);
    assert_class(&fixture, 1, MV_LINKS_ISOLATED);
    assert_scope(&fixture, 1, MV_LAUNCH_SCOPE_NONE);
    fixture_clear(&fixture);
}

static void isolation_is_reported_to_peers(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    fixture.state_answers[1] = false;
    advance(&fixture, 4);
    const mv_connectivity *observer = fixture.controllers[0];
    g_assert_true(mv_connectivity_peer_is_isolated(observer, fixture.now, "n1", 101));
    /* Neither the former process of n1 nor n2 has reported that it is isolated. */
    g_assert_false(mv_connectivity_peer_is_isolated(observer, fixture.now, "n1", 100));
    g_assert_false(mv_connectivity_peer_is_isolated(observer, fixture.now, "n2", 102));
    fixture_clear(&fixture);
}

static void launches_resume_after_hold_down(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    fixture.state_answers[1] = false;
    advance(&fixture, 4);
    assert_class(&fixture, 1, MV_LINKS_ISOLATED);
    fixture.state_answers[1] = true;
    for (unsigned i = 0;
         i < 20 && mv_connectivity_link_class(fixture.controllers[1]) == MV_LINKS_ISOLATED; i++)
        advance(&fixture, STEP_S);
    assert_class(&fixture, 1, MV_LINKS_CONNECTED);
    assert_scope(&fixture, 1, MV_LAUNCH_SCOPE_NONE);
    advance(&fixture, 2);
    assert_scope(&fixture, 1, MV_LAUNCH_SCOPE_ALL);
    fixture_clear(&fixture);
}

static void outage_when_no_controller_is_answered(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    memset(fixture.state_answers, 0, sizeof fixture.state_answers);
    advance(&fixture, 4);
    for (unsigned i = 0; i < 3; i++) {
        assert_class(&fixture, i, MV_LINKS_OUTAGE);
        assert_scope(&fixture, i, MV_LAUNCH_SCOPE_ALL);
    }
    fixture_clear(&fixture);
}

/* An outage ends for n0 and n1 but not for n2. The peers of n2 report that the state service
 * answers them, so n2 classifies itself as isolated. */
static void outage_that_ends_for_peers_is_isolation(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    memset(fixture.state_answers, 0, sizeof fixture.state_answers);
    advance(&fixture, 4);
    assert_class(&fixture, 2, MV_LINKS_OUTAGE);
    fixture.state_answers[0] = fixture.state_answers[1] = true;
    advance(&fixture, 2);
    assert_class(&fixture, 0, MV_LINKS_CONNECTED);
    assert_class(&fixture, 2, MV_LINKS_ISOLATED);
    assert_scope(&fixture, 2, MV_LAUNCH_SCOPE_NONE);
    fixture_clear(&fixture);
}

/* Two of five controllers lose the state service. Neither takes the loss of both for an outage,
 * because the state service answers the other three controllers. */
static void isolated_minority_is_no_outage(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 5);
    advance(&fixture, 5);
    fixture.state_answers[0] = fixture.state_answers[1] = false;
    advance(&fixture, 4);
    assert_class(&fixture, 0, MV_LINKS_ISOLATED);
    assert_class(&fixture, 1, MV_LINKS_ISOLATED);
    assert_class(&fixture, 4, MV_LINKS_CONNECTED);
    fixture_clear(&fixture);
}

static void operators_choose_class_without_witness(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    fixture.state_answers[0] = fixture.reachable[0] = false;
    advance(&fixture, 6);
    assert_class(&fixture, 0, MV_LINKS_ISOLATED);
    fixture.settings[0].operator_settings.launch_without_witness = MV_WITHOUT_WITNESS_OUTAGE;
    advance(&fixture, STEP_S);
    assert_class(&fixture, 0, MV_LINKS_OUTAGE);
    fixture_clear(&fixture);
}

/* A peer that publishes no reports is no witness: its silence shows neither that the state service
 * answers the peer nor that the state service is down. */
static void peers_without_reports_are_no_witnesses(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    fixture.publishes[1] = fixture.publishes[2] = false;
    advance(&fixture, 5);
    assert_class(&fixture, 0, MV_LINKS_CONNECTED);
    g_assert_false(mv_connectivity_peer(fixture.controllers[0], fixture.now, 0).known);
    fixture.state_answers[0] = false;
    advance(&fixture, 6);
    assert_class(&fixture, 0, MV_LINKS_ISOLATED);
    fixture_clear(&fixture);
}

static void no_peers_when_none_answers(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    fixture.reachable[2] = false;
    advance(&fixture, 5);
    assert_class(&fixture, 2, MV_LINKS_NO_PEERS);
    assert_class(&fixture, 0, MV_LINKS_CONNECTED);
    assert_scope(&fixture, 2, MV_LAUNCH_SCOPE_ALL);
    fixture_clear(&fixture);
}

static void no_workers_without_heartbeats(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    mv_connectivity_observe_workers(fixture.controllers[0], true, fixture.now - 4);
    advance(&fixture, STEP_S);
    assert_class(&fixture, 0, MV_LINKS_NO_WORKERS);
    mv_connectivity_observe_workers(fixture.controllers[0], true, fixture.now);
    advance(&fixture, STEP_S);
    assert_class(&fixture, 0, MV_LINKS_CONNECTED);
    fixture_clear(&fixture);
}

/* The session of n0 is renewed, but none of its watches is answered, so its state cache becomes
 * stale. */
static void isolated_when_cache_falls_behind(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    const double began_at = fixture.now;
    while (fixture.now < began_at + 9) {
        advance(&fixture, STEP_S);
        /* The state service answers the renewals of n0 but not its watches; the other controllers
         * get answers to both. */
        fixture.state_answers[0] = false;
        mv_connectivity_session_renewed(fixture.controllers[0], fixture.now, FIRST_INCARNATION,
                                        fixture.now);
        mv_connectivity_update(fixture.controllers[0], fixture.now, false);
        if (fixture.now < began_at + MV_CACHE_LOST_AFTER_S - 0.2)
            assert_class(&fixture, 0, MV_LINKS_CONNECTED);
    }
    assert_class(&fixture, 0, MV_LINKS_ISOLATED);
    assert_class(&fixture, 1, MV_LINKS_CONNECTED);
    fixture_clear(&fixture);
}

/* --- the launch gate --- */

static void operators_choose_scope_in_outage(void)
{
    static const struct {
        mv_launch_without_state setting;
        mv_launch_scope scope;
    } choices[] = {{MV_LAUNCH_WHILE_LEASED, MV_LAUNCH_SCOPE_ALL},
                   {MV_LAUNCH_WITHIN_QUOTA, MV_LAUNCH_SCOPE_GUARANTEED},
                   {MV_LAUNCH_NEVER, MV_LAUNCH_SCOPE_NONE}};
    for (size_t i = 0; i < G_N_ELEMENTS(choices); i++) {
        mv_launch_gate gate = {0};
        const mv_gate_input outage = {.link_class = MV_LINKS_OUTAGE,
                                      .without_state = choices[i].setting};
        mv_launch_gate_update(&gate, 1, &outage);
        g_assert_cmpint(gate.scope, ==, choices[i].scope);
    }
}

/* While a process is overloaded, for example because it was paused, the gate counts only the first
 * of several breaks of the link. */
static void breaks_while_overloaded_count_once(void)
{
    mv_launch_gate gate = {0};
    for (unsigned second = 10; second < 20; second++) {
        const double now = second;
        const mv_gate_input broken = {.link_class = MV_LINKS_ISOLATED, .overloaded = true};
        mv_launch_gate_update(&gate, now, &broken);
        const mv_gate_input healed = {.link_class = MV_LINKS_CONNECTED,
                                      .cache_caught_up_at = now + 0.5};
        mv_launch_gate_update(&gate, now + 0.5, &healed);
    }
    g_assert_cmpuint(gate.break_count, ==, 1);
    g_assert_cmpfloat(gate.hold_down_s, ==, MV_HOLD_DOWN_INITIAL_S);
}

static void break_count_resets(void)
{
    mv_launch_gate gate = {0};
    const mv_gate_input broken = {.link_class = MV_LINKS_ISOLATED};
    const mv_gate_input healed = {.link_class = MV_LINKS_CONNECTED, .cache_caught_up_at = 12};
    mv_launch_gate_update(&gate, 10, &broken);
    mv_launch_gate_update(&gate, 11, &healed);
    mv_launch_gate_update(&gate, 12, &broken);
    g_assert_cmpuint(gate.break_count, ==, 2);
    mv_launch_gate_update(&gate, 13, &healed);
    mv_launch_gate_update(&gate, 12 + MV_HOLD_DOWN_RESET_S + 1, &broken);
    g_assert_cmpuint(gate.break_count, ==, 1);
}

/* --- reports that must be ignored --- */

static void repeated_report_is_stale(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    g_autoptr(mv_link_report) report = publish(&fixture, 1);
    g_assert_cmpint(receive(&fixture, 0, report), ==, MV_LINK_REPORT_ACCEPTED);
    g_assert_cmpint(receive(&fixture, 0, report), ==, MV_LINK_REPORT_STALE);
    fixture_clear(&fixture);
}

static void values_out_of_range_are_malformed(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    g_autoptr(mv_link_report) report = publish(&fixture, 1);
    report->state_age_s = NAN;
    g_assert_cmpint(receive(&fixture, 0, report), ==, MV_LINK_REPORT_MALFORMED);
    report->state_age_s = -3;
    g_assert_cmpint(receive(&fixture, 0, report), ==, MV_LINK_REPORT_MALFORMED);
    report->state_age_s = 0.1;
    report->link_class = (mv_link_class)99;
    g_assert_cmpint(receive(&fixture, 0, report), ==, MV_LINK_REPORT_MALFORMED);
    report->link_class = MV_LINKS_CONNECTED;
    g_assert_cmpint(receive(&fixture, 0, report), ==, MV_LINK_REPORT_ACCEPTED);
    fixture_clear(&fixture);
}

static void unknown_sender_is_refused(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    g_autoptr(mv_link_report) report = publish(&fixture, 1);
    g_strlcpy(report->node, "elsewhere", sizeof report->node);
    g_assert_cmpint(receive(&fixture, 0, report), ==, MV_LINK_REPORT_UNKNOWN_NODE);
    fixture_clear(&fixture);
}

static void confirmation_of_former_process_does_not_count(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    g_autoptr(mv_link_report) report = publish(&fixture, 1);
    for (guint i = 0; i < report->peers->len; i++)
        g_array_index(report->peers, mv_peer_link, i).received_boot += 7;
    g_assert_cmpint(receive(&fixture, 0, report), ==, MV_LINK_REPORT_UNCONFIRMED);
    fixture_clear(&fixture);
}

static void confirmation_of_unpublished_report_does_not_count(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    g_autoptr(mv_link_report) report = publish(&fixture, 1);
    for (guint i = 0; i < report->peers->len; i++)
        g_array_index(report->peers, mv_peer_link, i).received_sequence = 1u << 30;
    g_assert_cmpint(receive(&fixture, 0, report), ==, MV_LINK_REPORT_UNCONFIRMED);
    fixture_clear(&fixture);
}

/* The age of a report counts from its publication, not from its arrival. A report that arrives a
 * minute late is therefore no evidence that the peer is reachable now. */
static void delayed_report_is_old(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 3);
    advance(&fixture, 5);
    g_autoptr(mv_link_report) delayed = publish(&fixture, 1);
    fixture.reachable[0] = false;
    advance(&fixture, 60);
    fixture.state_answers[0] = false;
    advance(&fixture, 1);
    receive(&fixture, 0, delayed);
    const mv_peer_link_status peer = mv_connectivity_peer(fixture.controllers[0], fixture.now, 0);
    g_assert_cmpfloat(peer.report_age_s, >, 60);
    g_assert_false(peer.receives_reports);
    fixture_clear(&fixture);
}

/* After a controller restarts, its peers accept reports of the new process and refuse a delayed
 * report of the former process, even one with a higher sequence number. */
static void report_of_former_process_is_stale(void)
{
    link_fixture fixture;
    fixture_init(&fixture, 2);
    advance(&fixture, 5);
    g_autoptr(mv_link_report) former = publish(&fixture, 1);
    former->sequence += 1000;
    mv_connectivity_free(fixture.controllers[1]);
    fixture.controllers[1] = mv_connectivity_new(&fixture.settings[1]);
    fixture.now += 1;
    g_autoptr(mv_link_report) report_of_n0 = publish(&fixture, 0);
    receive(&fixture, 1, report_of_n0);
    g_autoptr(mv_link_report) newer =
        mv_connectivity_publish(fixture.controllers[1], fixture.now, 77);
    g_assert_cmpint(receive(&fixture, 0, newer), ==, MV_LINK_REPORT_ACCEPTED);
    fixture.now += 1;
    g_assert_cmpint(receive(&fixture, 0, former), ==, MV_LINK_REPORT_STALE);
    fixture_clear(&fixture);
}

/* --- unrecorded completions --- */

static bool any_job(void *context, const char *job)
{
    (void)context;
    (void)job;
    return true;
}

static void job_name(char *name, size_t size, unsigned number)
{
    g_snprintf(name, size, "j-%06u", number);
}

/* A full collection drops none of its completions. The collection refuses a new completion, so the
 * task of the refused completion stays uncleared. */
static void completions_beyond_the_bound_are_refused(void)
{
    mv_unrecorded_completions *completions = mv_completions_new(2000);
    char job[MV_ID_SIZE];
    unsigned added = 0;
    for (unsigned i = 0; i < 100; i++) {
        job_name(job, sizeof job, i);
        added += mv_completions_add(completions, job, i);
    }
    g_assert_cmpuint(added, >, 5);
    g_assert_cmpuint(added, <, 20);
    g_assert_cmpuint(mv_completions_count(completions), ==, added);
    mv_completions_remove_job(completions, "j-000000");
    g_assert_true(mv_completions_add(completions, "j-000099", 1));
    mv_completions_free(completions);
}

static void add_every_second_task(mv_unrecorded_completions *completions, unsigned job_number)
{
    char job[MV_ID_SIZE];
    job_name(job, sizeof job, job_number);
    for (uint32_t task = job_number; task < MV_JOB_TASKS_MAX; task += 2)
        g_assert_true(mv_completions_add(completions, job, task));
}

/* Packs the completions of one report and adds the jobs of these completions to `published`. */
static void publish_completions(mv_unrecorded_completions *completions, GHashTable *published)
{
    g_autoptr(mv_link_report) report = mv_link_report_new();
    gsize bytes = 0;
    mv_completions_pack(completions, any_job, NULL, MV_COMPLETIONS_PUBLISHED_BYTES_MAX,
                        report->completions);
    for (guint i = 0; i < report->completions->len; i++) {
        const mv_completion_set *completed = g_ptr_array_index(report->completions, i);
        bytes += g_bytes_get_size(completed->tasks);
        g_hash_table_add(published, g_strdup(completed->job_id));
    }
    g_assert_cmpuint(report->completions->len, >=, 1);
    g_assert_cmpuint(bytes, <=, MV_COMPLETIONS_PUBLISHED_BYTES_MAX);
}

/* The completions of a job of 100,000 tasks take kilobytes. Jobs that do not fit into one report
 * follow in the next reports. */
static void large_sets_are_spread_over_reports(void)
{
    mv_unrecorded_completions *completions = mv_completions_new(MV_COMPLETIONS_BYTES_MAX);
    for (unsigned i = 0; i < 10; i++)
        add_every_second_task(completions, i);
    g_autoptr(GHashTable) published = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (unsigned i = 0; i < 4; i++)
        publish_completions(completions, published);
    g_assert_cmpuint(g_hash_table_size(published), ==, 10);
    mv_completions_free(completions);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/connectivity/class/unknown-at-first", unknown_until_state_service_answers);
    g_test_add_func("/connectivity/class/isolated", isolated_controller_launches_nothing);
    g_test_add_func("/connectivity/class/steps-aside", isolation_is_reported_to_peers);
    g_test_add_func("/connectivity/class/healed", launches_resume_after_hold_down);
    g_test_add_func("/connectivity/class/outage", outage_when_no_controller_is_answered);
    g_test_add_func("/connectivity/class/outage-ends", outage_that_ends_for_peers_is_isolation);
    g_test_add_func("/connectivity/class/minority", isolated_minority_is_no_outage);
    g_test_add_func("/connectivity/class/no-witness", operators_choose_class_without_witness);
    g_test_add_func("/connectivity/class/no-reports", peers_without_reports_are_no_witnesses);
    g_test_add_func("/connectivity/class/no-peers", no_peers_when_none_answers);
    g_test_add_func("/connectivity/class/no-workers", no_workers_without_heartbeats);
    g_test_add_func("/connectivity/class/watches-lost", isolated_when_cache_falls_behind);
    g_test_add_func("/connectivity/gate/outage-scope", operators_choose_scope_in_outage);
    g_test_add_func("/connectivity/gate/overloaded", breaks_while_overloaded_count_once);
    g_test_add_func("/connectivity/gate/reset", break_count_resets);
    g_test_add_func("/connectivity/reports/repeated", repeated_report_is_stale);
    g_test_add_func("/connectivity/reports/malformed", values_out_of_range_are_malformed);
    g_test_add_func("/connectivity/reports/unknown-sender", unknown_sender_is_refused);
    g_test_add_func("/connectivity/reports/former-boot",
                    confirmation_of_former_process_does_not_count);
    g_test_add_func("/connectivity/reports/unpublished",
                    confirmation_of_unpublished_report_does_not_count);
    g_test_add_func("/connectivity/reports/delayed", delayed_report_is_old);
    g_test_add_func("/connectivity/reports/former-process", report_of_former_process_is_stale);
    g_test_add_func("/connectivity/completions/bound", completions_beyond_the_bound_are_refused);
    g_test_add_func("/connectivity/completions/large", large_sets_are_spread_over_reports);
    return g_test_run();
}
