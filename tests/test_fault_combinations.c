/**
 * Tests fault combinations, that is, two faults at once. Seeded runs cause each combination, count
 * how often it occurred, and check every rule of the protocol page ("Rules") after each step. For
 * some combinations a further test disables the safety check that guards a rule and asserts that
 * the rule is then broken.
 *
 * Most combinations come from "Delayed messages" and "Outages and cuts" of the protocol page: a
 * command, a heartbeat or a transaction arrives late, after the controller, the leader or the owner
 * has changed.
 */
#include "sim_assert.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

static const sim_plan BASE = {
    .cancel = 0.2, .faults_end_at = 160, .deadline_at = 600, .shards = 1, .jobs = 40};

/* Asserts that every rule holds with `count` seeds, and that the combination occurred at least
 * `combinations_min` times in these runs together. */
static void assert_rules_hold(sim_plan *plan, guint32 first_seed, guint32 count,
                              unsigned combinations_min)
{
    unsigned combinations = 0;
    plan->combination_count = &combinations;
    sim_assert_rules_hold(plan, first_seed, count);
    plan->combination_count = NULL;
    g_assert_cmpuint(combinations, >=, combinations_min);
}

/* Runs assert_rules_hold with the number of shards of the plan, which is one, and again with three
 * shards. */
static void assert_rules_hold_on_shards(sim_plan plan, guint32 first_seed, guint32 count,
                                        unsigned combinations_min)
{
    assert_rules_hold(&plan, first_seed, count, combinations_min);
    plan.shards = 3;
    assert_rules_hold(&plan, first_seed + 50, count, combinations_min);
}

/* Asserts that with the check disabled at least one of the seeds 1 to 39 breaks the rule that the
 * check guards. */
static void assert_check_is_needed(mv_safety_check check, const sim_plan *plan, const char *rule)
{
    sim_assert_rule_breaks(check, plan, rule, 1, 40);
}

/* The state store refuses the leader first. Then an outage of the state store affects all
 * controllers for 40 s, which is longer than cancel_s (30 s in the simulation). Users cancel jobs
 * in between. */
static const sim_plan CANCELLED_BEFORE_OUTAGE = {.leader_refused_then_outage = 40,
                                                 .cancel = 0.6,
                                                 .faults_end_at = 170,
                                                 .deadline_at = 600,
                                                 .shards = 1,
                                                 .jobs = 30};

static void leader_refused_before_outage(void)
{
    assert_rules_hold_on_shards(CANCELLED_BEFORE_OUTAGE, 1, 6, 12);
}

static void leader_refused_before_outage_with_hung_machines(void)
{
    sim_plan plan = CANCELLED_BEFORE_OUTAGE;
    plan.machine_hang = 4;
    plan.message_delay = 0.05;
    plan.crash = 60;
    assert_rules_hold_on_shards(plan, 101, 6, 12);
}

static void lease_check_is_needed(void)
{
    assert_check_is_needed(MV_CHECK_LEASE, &CANCELLED_BEFORE_OUTAGE, "ran_cancelled");
}

/* One task of a job runs six times as long as the other tasks, and leaders crash meanwhile. */
static void leader_crash_amid_uneven_runtimes(void)
{
    sim_plan plan = BASE;
    plan.uneven_runtimes = 6;
    plan.leader_crash = 15;
    plan.message_delay = plan.message_loss = 0.02;
    assert_rules_hold_on_shards(plan, 201, 5, 10);
}

static void machine_loss_with_zone_constraints(void)
{
    sim_plan plan = BASE;
    plan.small_zone = 5;
    plan.machine_crash = 8;
    plan.machine_cut = 10;
    plan.leader_crash = 30;
    assert_rules_hold_on_shards(plan, 301, 5, 5);
}

static void slow_commands_with_hung_machines(void)
{
    sim_plan plan = BASE;
    plan.machine_hang = 3;
    plan.slow_commands = 0.2;
    plan.latency_sensitive = 0.3;
    plan.leader_crash = 40;
    plan.deadline_at = 1500;
    assert_rules_hold_on_shards(plan, 401, 5, 5);
}

/* All controllers are down at the same time for 13 s, which is longer than the lease of 12 s. */
static void all_controllers_down_longer_than_lease(void)
{
    sim_plan plan = BASE;
    plan.all_crash = 40;
    plan.away = 13;
    plan.message_delay = 0.03;
    assert_rules_hold_on_shards(plan, 501, 5, 5);
}

static void many_leaders_amid_outages(void)
{
    sim_plan plan = BASE;
    plan.leader_crash = 10;
    plan.outage = 40;
    plan.duplicate_heartbeats = 0.1;
    assert_rules_hold_on_shards(plan, 601, 5, 40);
}

static void unreachable_machines_at_leader_change(void)
{
    sim_plan plan = BASE;
    plan.leader_crash = 20;
    plan.machine_cut = 5;
    plan.block_commands = 12;
    plan.uneven_runtimes = 4;
    assert_rules_hold_on_shards(plan, 701, 5, 10);
}

static void cancelled_as_last_task_completes(void)
{
    sim_plan plan = BASE;
    plan.cancel = 0;
    plan.cancel_at_completion = 0.7;
    assert_rules_hold_on_shards(plan, 801, 5, 10);
    plan.message_delay = plan.message_loss = 0.04;
    plan.leader_crash = 30;
    assert_rules_hold(&plan, 821, 5, 10);
}

static void overload_at_leader_change(void)
{
    sim_plan plan = BASE;
    plan.jobs = 90;
    plan.latency_sensitive = 0.4;
    plan.slow_commands = 0.15;
    plan.slow_state_store = 0.2;
    plan.deadline_at = 2500;
    plan.leader_crash = 50;
    assert_rules_hold_on_shards(plan, 901, 4, 4);
}

/* Capacity that the scheduler reserves as headroom for latency-sensitive work must not keep other
 * work pending for 90 s. */
static void starvation_timeout_check_is_needed(void)
{
    sim_plan plan = BASE;
    plan.latency_sensitive = 0.4;
    plan.slow_commands = 0.2;
    plan.jobs = 60;
    plan.deadline_at = 1500;
    assert_check_is_needed(MV_CHECK_STARVATION_TIMEOUT, &plan, "starved");
}

static const sim_plan HEARTBEATS_BLOCKED = {.block_heartbeats = 4,
                                            .cancel = 0.1,
                                            .faults_end_at = 160,
                                            .deadline_at = 600,
                                            .shards = 1,
                                            .jobs = 60};

static void heartbeats_blocked_with_commands_delivered(void)
{
    sim_plan plan = HEARTBEATS_BLOCKED;
    assert_rules_hold_on_shards(plan, 1001, 5, 0);
    plan.leader_crash = 30;
    assert_rules_hold(&plan, 1021, 5, 5);
}

static void controller_unreachable_check_is_needed(void)
{
    assert_check_is_needed(MV_CHECK_CONTROLLER_UNREACHABLE, &HEARTBEATS_BLOCKED, "begun in vain");
}

static void zone_partition_with_cancellations(void)
{
    sim_plan plan = BASE;
    plan.zone_cut = 20;
    plan.cancel = 0.4;
    assert_rules_hold_on_shards(plan, 1101, 6, 6);
}

static void quota_exhausted_at_leader_change(void)
{
    sim_plan plan = BASE;
    plan.jobs = 80;
    plan.leader_crash = 15;
    plan.machine_cut = 5;
    plan.cancel = 0.4;
    plan.deadline_at = 1200;
    assert_rules_hold_on_shards(plan, 1201, 5, 20);
}

static const sim_plan LATE_WRITES = {.message_delay = 0.15,
                                     .message_loss = 0.05,
                                     .cancel = 0.2,
                                     .faults_end_at = 160,
                                     .deadline_at = 900,
                                     .shards = 1,
                                     .jobs = 50};

static void late_completion_writes(void)
{
    sim_plan plan = LATE_WRITES;
    assert_rules_hold_on_shards(plan, 1301, 5, 0);
    plan.leader_crash = 20;
    plan.slow_state_store = 0.2;
    assert_rules_hold(&plan, 1321, 5, 10);
}

static void completion_revision_check_is_needed(void)
{
    assert_check_is_needed(MV_CHECK_COMPLETION_REVISION, &LATE_WRITES, "went back");
}

static void isolated_owner_with_cancellations(void)
{
    sim_plan plan = BASE;
    plan.isolate = 15;
    plan.cancel = 0.6;
    plan.machine_hang = 10;
    plan.duplicate_heartbeats = 0.1;
    assert_rules_hold_on_shards(plan, 1401, 5, 0);
}

static void transaction_responses_lost(void)
{
    sim_plan plan = BASE;
    plan.message_loss = 0.08;
    plan.leader_crash = 25;
    plan.combination = SIM_RESPONSES_LOST;
    assert_rules_hold_on_shards(plan, 1501, 5, 50);
}

static void commands_of_deposed_leaders(void)
{
    sim_plan plan = BASE;
    plan.message_delay = 0.1;
    plan.leader_crash = 12;
    plan.latency_sensitive = 0.3;
    plan.cancel = 0.4;
    plan.combination = SIM_DEPOSED_COMMANDS;
    assert_rules_hold_on_shards(plan, 1601, 5, 50);
}

static void cancelled_at_leader_change(void)
{
    sim_plan plan = BASE;
    plan.leader_crash = 20;
    plan.cancel_at_leader_change = 0.3;
    plan.message_delay = plan.message_loss = 0.02;
    plan.combination = SIM_CANCELLED_AT_LEADER_CHANGE;
    assert_rules_hold_on_shards(plan, 1701, 5, 10);
}

static void work_on_machines_just_booted(void)
{
    sim_plan plan = BASE;
    plan.quick_boot = true;
    plan.slow_state_store = 0.5;
    plan.message_delay = 0.05;
    plan.machine_crash = 10;
    plan.leader_crash = 15;
    plan.combination = SIM_EARLY_LAUNCHES;
    assert_rules_hold_on_shards(plan, 1801, 5, 50);
}

static void duplicate_heartbeats_for_next_leader(void)
{
    sim_plan plan = BASE;
    plan.duplicates_for_next_leader = true;
    plan.machine_quick_restart = 20;
    plan.leader_crash = 15;
    plan.combination = SIM_DUPLICATES_FOR_NEXT_LEADER;
    assert_rules_hold_on_shards(plan, 1901, 5, 50);
}

static void fencing_token_check_is_needed(void)
{
    sim_plan plan = BASE;
    plan.duplicates_for_next_leader = true;
    plan.machine_quick_restart = 20;
    plan.machine_cut = 5;
    plan.leader_crash = 15;
    assert_check_is_needed(MV_CHECK_FENCING_TOKEN, &plan, "ran_twice");
}

static void cancelled_between_refusal_and_outage(void)
{
    sim_plan plan = CANCELLED_BEFORE_OUTAGE;
    plan.cancel_in_gap = true;
    plan.combination = SIM_PLAN_SPECIFIC;
    assert_rules_hold_on_shards(plan, 2001, 6, 10);
    plan.machine_hang = 4;
    assert_rules_hold(&plan, 2021, 6, 10);
}

/* Users submit about four single-task jobs a second for minutes and cancel a quarter of them. */
static void many_single_task_jobs_cancelled(void)
{
    sim_plan plan = BASE;
    plan.single_tasks = true;
    plan.jobs = 500;
    plan.cancel = 0.25;
    plan.leader_crash = 30;
    plan.message_delay = plan.message_loss = 0.01;
    plan.deadline_at = 1500;
    plan.combination = SIM_CANCELLED;
    assert_rules_hold(&plan, 2101, 2, 150);
    plan.shards = 3;
    assert_rules_hold(&plan, 2111, 2, 150);
}

static void cancelled_while_quota_is_exhausted(void)
{
    sim_plan plan = BASE;
    plan.jobs = 80;
    plan.leader_crash = 15;
    plan.cancel = 0.4;
    plan.cancel_at_leader_change = 0.1;
    plan.machine_cut = 5;
    plan.machine_hang = 5;
    plan.deadline_at = 1200;
    plan.combination = SIM_CANCELLED_AT_LIMIT;
    assert_rules_hold_on_shards(plan, 2201, 5, 10);
}

static void controller_crashes_in_outage(void)
{
    sim_plan plan = BASE;
    plan.outage = 30;
    plan.crash = 3;
    plan.duplicate_heartbeats = 0.1;
    plan.deadline_at = 900;
    plan.combination = SIM_CRASH_IN_OUTAGE;
    assert_rules_hold_on_shards(plan, 2301, 5, 30);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fault-combinations/refused-before-outage", leader_refused_before_outage);
    g_test_add_func("/fault-combinations/refused-before-outage-hung-machines",
                    leader_refused_before_outage_with_hung_machines);
    g_test_add_func("/fault-combinations/uneven-runtimes", leader_crash_amid_uneven_runtimes);
    g_test_add_func("/fault-combinations/zone-constraints", machine_loss_with_zone_constraints);
    g_test_add_func("/fault-combinations/slow-commands-hung-machines",
                    slow_commands_with_hung_machines);
    g_test_add_func("/fault-combinations/all-controllers-away",
                    all_controllers_down_longer_than_lease);
    g_test_add_func("/fault-combinations/many-leaders", many_leaders_amid_outages);
    g_test_add_func("/fault-combinations/unreachable-at-leader-change",
                    unreachable_machines_at_leader_change);
    g_test_add_func("/fault-combinations/cancelled-at-completion",
                    cancelled_as_last_task_completes);
    g_test_add_func("/fault-combinations/overload", overload_at_leader_change);
    g_test_add_func("/fault-combinations/heartbeats-blocked",
                    heartbeats_blocked_with_commands_delivered);
    g_test_add_func("/fault-combinations/zone-partition", zone_partition_with_cancellations);
    g_test_add_func("/fault-combinations/quota-at-leader-change", quota_exhausted_at_leader_change);
    g_test_add_func("/fault-combinations/late-writes", late_completion_writes);
    g_test_add_func("/fault-combinations/isolated-and-cancelled",
                    isolated_owner_with_cancellations);
    g_test_add_func("/fault-combinations/responses-lost", transaction_responses_lost);
    g_test_add_func("/fault-combinations/commands-of-deposed-leader", commands_of_deposed_leaders);
    g_test_add_func("/fault-combinations/cancelled-at-leader-change", cancelled_at_leader_change);
    g_test_add_func("/fault-combinations/work-after-boot", work_on_machines_just_booted);
    g_test_add_func("/fault-combinations/duplicates-for-next-leader",
                    duplicate_heartbeats_for_next_leader);
    g_test_add_func("/fault-combinations/cancelled-before-outage",
                    cancelled_between_refusal_and_outage);
    g_test_add_func("/fault-combinations/single-task-jobs", many_single_task_jobs_cancelled);
    g_test_add_func("/fault-combinations/cancelled-at-quota", cancelled_while_quota_is_exhausted);
    g_test_add_func("/fault-combinations/crash-in-outage", controller_crashes_in_outage);
    g_test_add_func("/fault-combinations/check-fencing-token", fencing_token_check_is_needed);
    g_test_add_func("/fault-combinations/check-starvation-timeout",
                    starvation_timeout_check_is_needed);
    g_test_add_func("/fault-combinations/check-lease", lease_check_is_needed);
    g_test_add_func("/fault-combinations/check-controller-unreachable",
                    controller_unreachable_check_is_needed);
    g_test_add_func("/fault-combinations/check-completion-revision",
                    completion_revision_check_is_needed);
    return g_test_run();
}
