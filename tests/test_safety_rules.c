/**
 * Seeded simulations of whole deployments, first with one kind of fault each, then with all kinds
 * together. The simulation checks every rule of the protocol page ("Rules": ran_twice, quota,
 * wrong_place, ran_cancelled, forgotten, invented, not_done, went_back, nothing_ran) after each
 * step.
 *
 * The tests "/safety-checks/..." are mutation tests: each disables one safety check of the
 * controller, and at least one seed must then break the rule that the check protects. This shows
 * that the check is needed and that the simulation detects its absence.
 */
#include "sim_assert.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

static const sim_plan NO_FAULTS = {
    .cancel = 0.1, .faults_end_at = 120, .deadline_at = 200, .shards = 1, .jobs = 25};
static const sim_plan MANY_FAULTS = {.crash = 25,
                                     .all_crash = 90,
                                     .state_cut = 40,
                                     .worker_cut = 50,
                                     .outage = 70,
                                     .machine_crash = 40,
                                     .machine_cut = 6,
                                     .message_loss = 0.02,
                                     .message_delay = 0.02,
                                     .cancel = 0.2,
                                     .faults_end_at = 200,
                                     .deadline_at = 900,
                                     .shards = 1,
                                     .jobs = 40};

static void rules_hold_without_faults(void)
{
    sim_assert_rules_hold(&NO_FAULTS, 1, 4);
}

static void rules_hold_on_three_shards(void)
{
    sim_plan plan = NO_FAULTS;
    plan.shards = 3;
    sim_assert_rules_hold(&plan, 11, 4);
}

static void rules_hold_amid_many_faults(void)
{
    sim_assert_rules_hold(&MANY_FAULTS, 21, 10);
}

static void rules_hold_amid_many_faults_on_three_shards(void)
{
    sim_plan plan = MANY_FAULTS;
    plan.shards = 3;
    sim_assert_rules_hold(&plan, 41, 10);
}

static void rules_hold_when_controllers_crash(void)
{
    sim_plan plan = NO_FAULTS;
    plan.crash = 8;
    plan.all_crash = 30;
    plan.deadline_at = 400;
    sim_assert_rules_hold(&plan, 61, 6);
}

static void rules_hold_when_cut_off_from_agents(void)
{
    sim_plan plan = NO_FAULTS;
    plan.worker_cut = 15;
    plan.deadline_at = 400;
    sim_assert_rules_hold(&plan, 71, 6);
}

static void rules_hold_with_failing_jobs(void)
{
    sim_plan plan = NO_FAULTS;
    /* Users cancel this share of the jobs, and 30% of these jobs fail on every machine. */
    plan.cancel = 0.9;
    plan.jobs = 60;
    sim_assert_rules_hold(&plan, 91, 8);
}

static void rules_hold_with_late_messages(void)
{
    sim_plan plan = NO_FAULTS;
    plan.message_loss = 0.05;
    plan.message_delay = 0.1;
    plan.deadline_at = 400;
    sim_assert_rules_hold(&plan, 81, 6);
}

/* Commands wait for seconds before the agents execute them, while heartbeats and their responses
 * continue. Many tasks are preempted, so attempts end and are cleared while commands wait. */
static const sim_plan SLOW_COMMANDS = {.slow_commands = 0.2,
                                       .latency_sensitive = 0.4,
                                       .cancel = 0.1,
                                       .faults_end_at = 150,
                                       .deadline_at = 1500,
                                       .shards = 1,
                                       .jobs = 60};

static void rules_hold_with_slow_commands(void)
{
    sim_assert_rules_hold(&SLOW_COMMANDS, 301, 8);
    sim_plan plan = MANY_FAULTS;
    plan.slow_commands = 0.2;
    plan.shards = 3;
    sim_assert_rules_hold(&plan, 311, 6);
}

/* The fleet has two zones, of which one is small. Some jobs must run in one zone, and other jobs
 * must be spread. */
static void rules_hold_across_zones(void)
{
    sim_plan plan = NO_FAULTS;
    plan.small_zone = 4;
    plan.jobs = 40;
    plan.deadline_at = 600;
    sim_assert_rules_hold(&plan, 321, 4);
    plan = MANY_FAULTS;
    plan.small_zone = 5;
    plan.shards = 3;
    sim_assert_rules_hold(&plan, 331, 8);
}

static const sim_plan COMMANDS_UNREACHABLE = {.block_commands = 10,
                                              .crash = 60,
                                              .cancel = 0.1,
                                              .faults_end_at = 150,
                                              .deadline_at = 500,
                                              .shards = 1,
                                              .jobs = 30};

/* The heartbeats of a machine reach the controllers, but neither responses nor commands reach the
 * machine. */
static void rules_hold_when_commands_are_unreachable(void)
{
    sim_plan plan = COMMANDS_UNREACHABLE;
    sim_assert_rules_hold(&plan, 201, 6);
    plan.shards = 3;
    sim_assert_rules_hold(&plan, 211, 6);
}

static const sim_plan DUPLICATE_HEARTBEATS = {.duplicate_heartbeats = 0.3,
                                              .crash = 12,
                                              .machine_crash = 15,
                                              .machine_cut = 10,
                                              .cancel = 0.2,
                                              .faults_end_at = 200,
                                              .deadline_at = 500,
                                              .shards = 1,
                                              .jobs = 40};

/* Duplicates of heartbeats arrive seconds to minutes late: at controllers that have restarted, at
 * later owners of the shard, and after the machine is gone. */
static void rules_hold_with_duplicate_heartbeats(void)
{
    sim_plan plan = DUPLICATE_HEARTBEATS;
    sim_assert_rules_hold(&plan, 221, 8);
    plan.shards = 3;
    plan.message_delay = plan.message_loss = 0.02;
    sim_assert_rules_hold(&plan, 231, 8);
}

/* A controller loses the state store and the other controllers, but not its agents. */
static void rules_hold_when_controllers_are_isolated(void)
{
    sim_plan plan = NO_FAULTS;
    plan.isolate = 20;
    plan.deadline_at = 400;
    sim_assert_rules_hold(&plan, 241, 6);
    plan.shards = 3;
    plan.cancel = 0.4;
    sim_assert_rules_hold(&plan, 251, 6);
}

/* Controllers and machines restart within a fraction of a second, also during leader elections. */
static void rules_hold_across_quick_restarts(void)
{
    sim_plan plan = NO_FAULTS;
    plan.quick_restart = 6;
    plan.deadline_at = 400;
    sim_assert_rules_hold(&plan, 261, 6);
    plan.shards = 3;
    plan.machine_quick_restart = 8;
    plan.duplicate_heartbeats = 0.1;
    plan.deadline_at = 600;
    sim_assert_rules_hold(&plan, 271, 6);
}

static const sim_plan FROZEN_CONTROLLERS = {.freeze = 15,
                                            .cancel = 0.2,
                                            .latency_sensitive = 0.3,
                                            .faults_end_at = 200,
                                            .deadline_at = 600,
                                            .shards = 1,
                                            .jobs = 50};

/* The processes of controllers pause for times from seconds to far longer than all of their leases,
 * while the clocks continue. */
static void rules_hold_when_controllers_freeze(void)
{
    sim_assert_rules_hold(&FROZEN_CONTROLLERS, 341, 8);
    sim_plan plan = FROZEN_CONTROLLERS;
    plan.shards = 3;
    plan.machine_cut = 10;
    plan.slow_commands = 0.1;
    plan.message_delay = plan.message_loss = 0.02;
    plan.crash = 60;
    sim_assert_rules_hold(&plan, 351, 8);
}

static void rules_hold_amid_all_faults(void)
{
    sim_plan plan = MANY_FAULTS;
    plan.shards = 3;
    plan.block_commands = 30;
    plan.isolate = 50;
    plan.freeze = 60;
    plan.quick_restart = 40;
    plan.machine_quick_restart = 40;
    plan.duplicate_heartbeats = 0.1;
    plan.deadline_at = 1200;
    sim_assert_rules_hold(&plan, 281, 8);
}

/* --- each safety check is needed --- */

/* If a safety check is disabled, at least one seed in this range must break the rule that the check
 * protects. */
#define MUTATION_SEED_FROM 100
#define MUTATION_SEED_TO 340

static void assert_check_is_needed(mv_safety_check check, const sim_plan *plan, const char *rule)
{
    sim_assert_rule_breaks(check, plan, rule, MUTATION_SEED_FROM, MUTATION_SEED_TO);
}

static void rebuild_check_is_needed(void)
{
    assert_check_is_needed(MV_CHECK_REBUILD, &MANY_FAULTS, "ran_twice");
}

static void unknown_use_check_is_needed(void)
{
    sim_plan plan = MANY_FAULTS;
    plan.jobs = 90;
    assert_check_is_needed(MV_CHECK_UNKNOWN_USE, &plan, "quota");
}

static void quota_check_is_needed(void)
{
    assert_check_is_needed(MV_CHECK_QUOTA, &MANY_FAULTS, "quota");
}

static void released_check_is_needed(void)
{
    assert_check_is_needed(MV_CHECK_RELEASED, &MANY_FAULTS, "ran_twice");
}

static void spot_check_is_needed(void)
{
    assert_check_is_needed(MV_CHECK_SPOT, &NO_FAULTS, "wrong_place");
}

static void zone_check_is_needed(void)
{
    sim_plan plan = NO_FAULTS;
    plan.small_zone = 5;
    assert_check_is_needed(MV_CHECK_ZONE, &plan, "wrong_place");
}

static void heartbeat_order_check_is_needed(void)
{
    /* Slow commands leave launches to the answers to heartbeats. A launch in a direct command is
     * fenced off before its task is placed again, whatever a stale heartbeat shows. */
    sim_plan plan = DUPLICATE_HEARTBEATS;
    plan.duplicate_heartbeats = 0.6;
    plan.slow_commands = 0.3;
    assert_check_is_needed(MV_CHECK_HEARTBEAT_ORDER, &plan, "ran_twice");
}

static void fencing_token_check_is_needed(void)
{
    sim_plan plan = DUPLICATE_HEARTBEATS;
    plan.duplicate_heartbeats = 0.6;
    plan.message_delay = 0.05;
    assert_check_is_needed(MV_CHECK_FENCING_TOKEN, &plan, "ran_twice");
}

static void commands_unreachable_check_is_needed(void)
{
    sim_plan plan = COMMANDS_UNREACHABLE;
    plan.block_commands = 3;
    plan.crash = 0;
    plan.deadline_at = 100;
    assert_check_is_needed(MV_CHECK_COMMANDS_UNREACHABLE, &plan, "stuck");
}

/* Without MV_CHECK_ACTION_VALID, fencing tokens still keep the rules, but a leader whose lease
 * expired long ago can return machines with running tasks to the cloud. MV_CHECK_RECENT_HEARTBEAT
 * prevents most of these returns, so only one of 500 seeds shows the fault. */
#define ACTION_VALID_SEED 178

static void action_valid_check_is_needed(void)
{
    sim_plan plan = FROZEN_CONTROLLERS;
    plan.freeze = 3;
    plan.cloud_outage = 30;
    plan.jobs = 90;
    plan.deadline_at = 0;
    sim_assert_rule_breaks(MV_CHECK_ACTION_VALID, &plan, "released", ACTION_VALID_SEED,
                           ACTION_VALID_SEED + 1);
    plan.deadline_at = FROZEN_CONTROLLERS.deadline_at;
    sim_assert_rules_hold(&plan, ACTION_VALID_SEED, 1);
}

static void all_done_check_is_needed(void)
{
    assert_check_is_needed(MV_CHECK_ALL_DONE, &NO_FAULTS, "not_done");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/safety-rules/no-faults", rules_hold_without_faults);
    g_test_add_func("/safety-rules/no-faults-three-shards", rules_hold_on_three_shards);
    g_test_add_func("/safety-rules/many-faults", rules_hold_amid_many_faults);
    g_test_add_func("/safety-rules/many-faults-three-shards",
                    rules_hold_amid_many_faults_on_three_shards);
    g_test_add_func("/safety-rules/controller-crashes", rules_hold_when_controllers_crash);
    g_test_add_func("/safety-rules/cut-off-from-agents", rules_hold_when_cut_off_from_agents);
    g_test_add_func("/safety-rules/failing-jobs", rules_hold_with_failing_jobs);
    g_test_add_func("/safety-rules/late-messages", rules_hold_with_late_messages);
    g_test_add_func("/safety-rules/two-zones", rules_hold_across_zones);
    g_test_add_func("/safety-rules/slow-commands", rules_hold_with_slow_commands);
    g_test_add_func("/safety-rules/commands-unreachable", rules_hold_when_commands_are_unreachable);
    g_test_add_func("/safety-rules/duplicate-heartbeats", rules_hold_with_duplicate_heartbeats);
    g_test_add_func("/safety-rules/isolated-controllers", rules_hold_when_controllers_are_isolated);
    g_test_add_func("/safety-rules/frozen-controllers", rules_hold_when_controllers_freeze);
    g_test_add_func("/safety-rules/quick-restarts", rules_hold_across_quick_restarts);
    g_test_add_func("/safety-rules/all-faults", rules_hold_amid_all_faults);
    g_test_add_func("/safety-checks/heartbeat-order", heartbeat_order_check_is_needed);
    g_test_add_func("/safety-checks/fencing-token", fencing_token_check_is_needed);
    g_test_add_func("/safety-checks/commands-unreachable", commands_unreachable_check_is_needed);
    g_test_add_func("/safety-checks/action-valid", action_valid_check_is_needed);
    g_test_add_func("/safety-checks/rebuild", rebuild_check_is_needed);
    g_test_add_func("/safety-checks/unknown-use", unknown_use_check_is_needed);
    g_test_add_func("/safety-checks/quota", quota_check_is_needed);
    g_test_add_func("/safety-checks/released", released_check_is_needed);
    g_test_add_func("/safety-checks/spot", spot_check_is_needed);
    g_test_add_func("/safety-checks/zone", zone_check_is_needed);
    g_test_add_func("/safety-checks/all-done", all_done_check_is_needed);
    return g_test_run();
}
