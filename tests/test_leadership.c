/**
 * Tests under which conditions a controller acts as the leader: which session its record is bound
 * to, and how old its state cache is.
 *
 * The requests to the cloud are checked by nobody else, so a replaced leader that still believes in
 * its duty returns machines on which tasks of its successor run.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define FLEET 4
#define LOADING_S 6 /* by then all machines have reported with the current fencing token */

static controller_fixture *leader_new(void)
{
    controller_fixture *fixture = g_new0(controller_fixture, 1);
    fixture->machines = FLEET;
    fixture->report_s = 5;
    fixture_own_fleet(fixture);
    fixture_lead(fixture, 1);
    fixture_advance(fixture, LOADING_S);
    g_assert_true(mv_controller_is_leader(fixture->controller));
    return fixture;
}

static void leader_free(controller_fixture *fixture)
{
    fixture_free(fixture);
    g_free(fixture);
}

/* The state service reports that the session is gone, and a new one is opened at once. */
static void replace_session(controller_fixture *fixture)
{
    mv_controller_session_renewed(fixture->controller, fixture->now, 0, fixture->now);
    mv_controller_session_renewed(fixture->controller, fixture->now, FIXTURE_INCARNATION,
                                  fixture->now);
}

/* Advances the clock and renews the session while no watch is answered. */
static void advance_without_watches(controller_fixture *fixture, double seconds)
{
    for (double until = fixture->now + seconds; fixture->now < until;) {
        pass_ticks_only(fixture, 1);
        mv_controller_session_renewed(fixture->controller, fixture->now, FIXTURE_INCARNATION,
                                      fixture->now);
        fixture_run_actions(fixture);
    }
}

/* Guards against a leader's record that counts again under a new session of the same process. */
static void record_of_earlier_session_gives_no_duty(void)
{
    controller_fixture *fixture = leader_new();
    const double before = fixture->now;
    fixture->now += 1;
    replace_session(fixture);
    g_assert_false(mv_controller_is_leader(fixture->controller));

    /* The late answer of a watch of the earlier session shows nothing either. */
    mv_controller_watch_caught_up(fixture->controller, fixture->now, before);
    g_assert_false(mv_controller_is_leader(fixture->controller));

    fixture->now += 0.5;
    replace_session(fixture); /* opened twice within a second */
    mv_controller_watch_caught_up(fixture->controller, fixture->now, fixture->now - 0.1);
    g_assert_false(mv_controller_is_leader(fixture->controller));

    mv_controller_watch_caught_up(fixture->controller, fixture->now, fixture->now);
    g_assert_true(mv_controller_is_leader(fixture->controller));
    leader_free(fixture);
}

static void leader_session_check_is_needed(void)
{
    controller_fixture *fixture = leader_new();
    fixture->now += 1;
    mv_disabled_check = MV_CHECK_LEADER_SESSION;
    replace_session(fixture);
    g_assert_true(mv_controller_is_leader(fixture->controller));
    mv_disabled_check = MV_CHECK_NONE;
    leader_free(fixture);
}

static bool is_fleet_action(const mv_action *action)
{
    return action->kind == MV_ACTION_SCALE_OUT || action->kind == MV_ACTION_SCALE_IN;
}

/* Guards against a return or a request that a paused leader decided and sends much later. */
static void fleet_changes_need_recent_cache(void)
{
    controller_fixture *fixture = leader_new();
    const mv_action scale_in = {.kind = MV_ACTION_SCALE_IN};
    const mv_action scale_out = {.kind = MV_ACTION_SCALE_OUT};
    g_assert_true(is_fleet_action(&scale_in) && is_fleet_action(&scale_out));
    g_assert_true(mv_controller_action_is_valid(fixture->controller, fixture->now, &scale_in));

    advance_without_watches(fixture, MV_LEADER_CACHE_AGE_MAX_S + 0.5);

    g_assert_true(mv_controller_is_leader(fixture->controller));
    g_assert_false(mv_controller_action_is_valid(fixture->controller, fixture->now, &scale_in));
    g_assert_false(mv_controller_action_is_valid(fixture->controller, fixture->now, &scale_out));
    leader_free(fixture);
}

/* Guards against a leader that keeps a duty which it cannot carry out. */
static void leader_without_watches_resigns(void)
{
    controller_fixture *fixture = leader_new();
    fixture->held_transactions = g_queue_new();
    advance_without_watches(fixture, MV_LEADER_RESIGN_AFTER_S - 1);
    unsigned deletions = 0;
    mv_action *action;
    while ((action = g_queue_pop_head(fixture->held_transactions))) {
        deletions += count_writes(action, KEY_LEADER);
        mv_action_free(action);
    }
    g_assert_cmpuint(deletions, ==, 0);
    advance_without_watches(fixture, 2);
    while ((action = g_queue_pop_head(fixture->held_transactions))) {
        deletions += count_writes(action, KEY_LEADER);
        mv_action_free(action);
    }
    g_assert_cmpuint(deletions, ==, 1);
    free_held_actions(&fixture->held_transactions);
    leader_free(fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/leadership/earlier-session", record_of_earlier_session_gives_no_duty);
    g_test_add_func("/leadership/check-leader-session", leader_session_check_is_needed);
    g_test_add_func("/leadership/recent-cache", fleet_changes_need_recent_cache);
    g_test_add_func("/leadership/resigns", leader_without_watches_resigns);
    return g_test_run();
}
