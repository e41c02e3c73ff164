/**
 * Seeded simulations in which machines get copies of direct commands that they executed and
 * answered before: at random times up to minutes later, and right after the events at which a copy
 * does most harm. All rules are checked after each step.
 */
#include "sim_assert.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define SEEDS 8

static const sim_plan COPIES = {.command_copies = 0.3,
                                .copies_after_events = 0.7,
                                .cancel = 0.4,
                                .latency_sensitive = 0.3,
                                .acknowledged_cancellations = true,
                                .faults_end_at = 150,
                                .deadline_at = 600,
                                .shards = SIM_SHARDS_BY_SEED,
                                .jobs = 50};

/* Checks that all rules hold, and that copies arrived of launches whose attempts were forgotten. */
static void assert_rules_hold(sim_plan plan, guint32 first_seed)
{
    unsigned copies = 0;
    plan.combination = SIM_COPIES_OF_FORGOTTEN_LAUNCHES;
    plan.combination_count = &copies;
    sim_assert_rules_hold(&plan, first_seed, SEEDS);
    g_assert_cmpuint(copies, >, 0);
}

/* A task failed, was cleared and placed elsewhere; then a copy of its first launch started it again
 * on the first machine. */
static void cleared_tasks_do_not_start_again(void)
{
    assert_rules_hold(COPIES, 1);
}

static void controllers_return_within_a_second(void)
{
    sim_plan plan = COPIES;
    plan.quick_restart = 6;
    assert_rules_hold(plan, 101);
}

static void machines_restart_and_hang(void)
{
    sim_plan plan = COPIES;
    plan.machine_quick_restart = 8;
    plan.machine_hang = 6;
    assert_rules_hold(plan, 201);
}

static void commands_are_lost_or_slow(void)
{
    sim_plan plan = COPIES;
    plan.slow_commands = 0.1;
    plan.message_loss = plan.message_delay = 0.03;
    assert_rules_hold(plan, 301);
}

static void services(void)
{
    sim_plan plan = COPIES;
    plan.services = 0.3;
    plan.crash = 20;
    assert_rules_hold(plan, 401);
}

static void two_zones(void)
{
    sim_plan plan = COPIES;
    plan.small_zone = 5;
    plan.crash = 15;
    assert_rules_hold(plan, 501);
}

static void rolling_upgrades(void)
{
    sim_plan plan = COPIES;
    plan.rolling_upgrade = 20;
    assert_rules_hold(plan, 601);
}

static void all_faults(void)
{
    sim_plan plan = COPIES;
    plan.crash = 40;
    plan.quick_restart = 30;
    plan.state_cut = 50;
    plan.outage = 80;
    plan.worker_cut = 60;
    plan.machine_crash = 40;
    plan.machine_cut = 20;
    plan.machine_hang = 30;
    plan.machine_quick_restart = 40;
    plan.freeze = 60;
    plan.duplicate_heartbeats = 0.1;
    plan.slow_commands = 0.05;
    plan.message_loss = plan.message_delay = 0.02;
    plan.image_fetch_s = 1;
    plan.deadline_at = 1200;
    assert_rules_hold(plan, 701);
}

/* --- the safety check is needed --- */

#define MUTATION_SEEDS 60

static void assert_check_is_needed(const sim_plan *plan, const char *rule)
{
    sim_assert_rule_breaks(MV_CHECK_LAUNCH_FENCE, plan, rule, 1, 1 + MUTATION_SEEDS);
}

static void launch_fence_check_is_needed(void)
{
    sim_plan plan = COPIES;
    assert_check_is_needed(&plan, "ran_twice");
    assert_check_is_needed(&plan, "started after cancellation");
    plan.acknowledged_cancellations = false;
    assert_check_is_needed(&plan, "quota");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/late-commands/cleared-tasks", cleared_tasks_do_not_start_again);
    g_test_add_func("/late-commands/quick-restarts", controllers_return_within_a_second);
    g_test_add_func("/late-commands/machines", machines_restart_and_hang);
    g_test_add_func("/late-commands/lost-and-slow", commands_are_lost_or_slow);
    g_test_add_func("/late-commands/services", services);
    g_test_add_func("/late-commands/two-zones", two_zones);
    g_test_add_func("/late-commands/rolling-upgrades", rolling_upgrades);
    g_test_add_func("/late-commands/all-faults", all_faults);
    g_test_add_func("/late-commands/check-launch-fence", launch_fence_check_is_needed);
    return g_test_run();
}
