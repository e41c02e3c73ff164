/**
 * Simulations of services and of the rolling upgrade to the version that supports them. Upgrades
 * happen in every order and with faults; a controller that reads and writes as the old version did
 * emulates the old version. The state store's limits are reduced at different times. The simulation
 * checks every rule of the protocol page ("Rules") after each step, and a service that no user
 * cancelled must run at the end.
 */
#include "sim_assert.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

static const sim_plan BASE = {.services = 0.3,
                              .cancel = 0.1,
                              .faults_end_at = 150,
                              .deadline_at = 900,
                              .shards = 1,
                              .jobs = 40};

/* Checks that every rule holds with `count` seeds. On average, each run must count at least two
 * services that run at the end or two occurrences of the plan's fault combination. */
static void assert_rules_hold(sim_plan plan, guint32 first_seed, guint32 count)
{
    unsigned combinations = 0;
    plan.combination_count = &combinations;
    plan.shards = SIM_SHARDS_BY_SEED;
    sim_assert_rules_hold(&plan, first_seed, count);
    g_assert_cmpuint(combinations, >=, 2 * count);
}

/* Checks that at least one seed breaks the rule that the safety check protects if the check is
 * disabled. */
static void assert_check_is_needed(mv_safety_check check, sim_plan plan, const char *rule)
{
    plan.shards = SIM_SHARDS_BY_SEED;
    sim_assert_rule_breaks(check, &plan, rule, 1, 60);
}

static void services_run_without_faults(void)
{
    assert_rules_hold(BASE, 1, 6);
}

static void services_survive_machine_loss(void)
{
    sim_plan plan = BASE;
    plan.machine_crash = 8;
    plan.machine_cut = 12;
    plan.machine_hang = 15;
    assert_rules_hold(plan, 21, 8);
}

static void services_survive_failover(void)
{
    sim_plan plan = BASE;
    plan.leader_crash = 12;
    plan.all_crash = 60;
    plan.duplicate_heartbeats = 0.2;
    plan.message_delay = plan.message_loss = 0.02;
    plan.machine_quick_restart = 30;
    plan.latency_sensitive = 0.3;
    assert_rules_hold(plan, 41, 8);
}

static void services_run_amid_all_faults(void)
{
    sim_plan plan = BASE;
    plan.crash = 25;
    plan.state_cut = 40;
    plan.worker_cut = 50;
    plan.outage = 70;
    plan.machine_crash = 30;
    plan.block_commands = 30;
    plan.block_heartbeats = 30;
    plan.isolate = 50;
    plan.duplicate_heartbeats = 0.1;
    plan.message_loss = plan.message_delay = 0.02;
    assert_rules_hold(plan, 61, 8);
}

static const sim_plan UPGRADE = {.services = 0.3,
                                 .rolling_upgrade = 25,
                                 .cancel = 0.1,
                                 .faults_end_at = 160,
                                 .deadline_at = 900,
                                 .shards = 1,
                                 .jobs = 40};

/* Replicas move before the cloud takes their machines back, also while leaders change and users
 * cancel jobs. */
static void replicas_move_ahead_of_notices(void)
{
    sim_plan plan = BASE;
    plan.reclaim_notice = 5;
    plan.cancel_at_leader_change = 0.1;
    plan.leader_crash = 25;
    plan.message_delay = plan.message_loss = 0.02;
    plan.combination = SIM_MOVED_REPLICAS;
    assert_rules_hold(plan, 241, 8);
}

/* Users cancel services just when the leader or all controllers crash while replicas are placed. */
static void services_cancelled_at_leader_change(void)
{
    sim_plan plan = BASE;
    plan.cancel_at_leader_change = 0.4;
    plan.leader_crash = 12;
    plan.all_crash = 50;
    plan.machine_crash = 15;
    plan.machine_hang = 10;
    plan.message_delay = 0.05;
    plan.combination = SIM_CANCELLED_AT_LEADER_CHANGE;
    assert_rules_hold(plan, 261, 8);
}

static void services_run_across_upgrades(void)
{
    assert_rules_hold(UPGRADE, 81, 8);
    sim_plan plan = UPGRADE;
    plan.rolling_upgrade = 4; /* seconds; the next controller stops before the last one is back */
    plan.crash = 20;
    plan.duplicate_heartbeats = 0.1;
    assert_rules_hold(plan, 101, 8);
}

static void services_run_across_upgrades_amid_faults(void)
{
    sim_plan plan = UPGRADE;
    plan.crash = 30;
    plan.outage = 50;
    plan.state_cut = 40;
    plan.worker_cut = 50;
    plan.machine_cut = 20;
    plan.message_loss = plan.message_delay = 0.02;
    assert_rules_hold(plan, 121, 10);
}

static const sim_plan REDUCED_LIMITS = {.services = 0.2,
                                        .rolling_upgrade = 15,
                                        .limits_reduced_at = 80,
                                        .cancel = 0.1,
                                        .faults_end_at = 160,
                                        .deadline_at = 900,
                                        .shards = 1,
                                        .jobs = 60};

static void reduced_limits_hold(void)
{
    sim_plan plan = REDUCED_LIMITS;
    plan.machine_crash = 12;
    /* The upgrade lasts from 30 s to about 60 s, so the limits fall before, during or after it. */
    for (unsigned i = 0; i < 6; i++) {
        plan.limits_reduced_at = 25 + 20 * i;
        assert_rules_hold(plan, 141 + 10 * i, 3);
    }
    plan.crash = 20;
    plan.message_delay = plan.message_loss = 0.02;
    assert_rules_hold(plan, 181, 6);
}

/* The state store's limits fall, but no controller is told of the new limits or upgraded. */
static void unannounced_limits_are_found(void)
{
    sim_plan plan = REDUCED_LIMITS;
    plan.rolling_upgrade = 0;
    plan.limits_unannounced = true;
    plan.machine_crash = 12;
    assert_rules_hold(plan, 201, 6);
}

static const sim_plan RELIST = {.services = 0.2,
                                .relist = 2,
                                .limits_reduced_at = 60,
                                .machine_crash = 10,
                                .cancel = 0.1,
                                .faults_end_at = 160,
                                .deadline_at = 900,
                                .shards = 1,
                                .jobs = 60};

/* Partitions are split and machines move while controllers list all records again. */
static void partitions_survive_relists(void)
{
    assert_rules_hold(RELIST, 221, 6);
    sim_plan plan = RELIST;
    plan.rolling_upgrade = 15;
    plan.leader_crash = 20;
    assert_rules_hold(plan, 231, 6);
}

static void format_check_is_needed(void)
{
    assert_check_is_needed(MV_CHECK_FORMAT, UPGRADE, "before all were new");
}

static void value_size_check_is_needed(void)
{
    sim_plan plan = REDUCED_LIMITS;
    plan.machine_crash = 12;
    assert_check_is_needed(MV_CHECK_VALUE_SIZE, plan, "too large");
}

static void released_check_is_needed(void)
{
    sim_plan plan = BASE;
    plan.services = 1;
    plan.machine_cut = 4;
    plan.leader_crash = 20;
    assert_check_is_needed(MV_CHECK_RELEASED, plan, "ran_twice");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/services/no-faults", services_run_without_faults);
    g_test_add_func("/services/machine-loss", services_survive_machine_loss);
    g_test_add_func("/services/failover", services_survive_failover);
    g_test_add_func("/services/all-faults", services_run_amid_all_faults);
    g_test_add_func("/services/reclaim-notices", replicas_move_ahead_of_notices);
    g_test_add_func("/services/cancelled-at-leader-change", services_cancelled_at_leader_change);
    g_test_add_func("/services/rolling-upgrades", services_run_across_upgrades);
    g_test_add_func("/services/rolling-upgrades-with-faults",
                    services_run_across_upgrades_amid_faults);
    g_test_add_func("/services/reduced-limits", reduced_limits_hold);
    g_test_add_func("/services/reduced-limits-unannounced", unannounced_limits_are_found);
    g_test_add_func("/services/relists", partitions_survive_relists);
    g_test_add_func("/services/check-format", format_check_is_needed);
    g_test_add_func("/services/check-value-size", value_size_check_is_needed);
    g_test_add_func("/services/check-released", released_check_is_needed);
    return g_test_run();
}
