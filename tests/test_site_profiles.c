/**
 * Site profiles: simulations of the faults that the operators of a site expect, with the times and
 * limits from the site's settings. Each kind of fault is simulated alone, then all kinds together.
 * The simulation checks every rule of the protocol page ("Rules") after each step.
 */
#include "sim_assert.h"
#include "sim_sites.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

static const sim_plan BASE = {.profile = &SIM_TUPELO,
                              .checkpointing = 0.4,
                              .latency_sensitive = 0.3,
                              .cancel = 0.1,
                              .faults_end_at = 160,
                              .deadline_at = 900,
                              .shards = SIM_SHARDS_BY_SEED,
                              .jobs = 40};

#define SEEDS 12

static void rules_hold_without_faults(void)
{
    sim_assert_rules_hold(&BASE, 1, SEEDS);
}

/* Machines crash, hang, are cut off from the controllers, or are reclaimed after a notice. */
static void rules_hold_with_unreliable_machines(void)
{
    sim_plan plan = BASE;
    plan.machine_crash = 12;
    plan.machine_cut = 15;
    plan.machine_hang = 10;
    plan.reclaim_notice = 10;
    sim_assert_rules_hold(&plan, 101, SEEDS);
}

/* Single controllers crash, all controllers crash, or controllers restart within a fraction of a
 * second. */
static void rules_hold_when_controllers_crash(void)
{
    sim_plan plan = BASE;
    plan.crash = 20;
    plan.all_crash = 60;
    plan.quick_restart = 30;
    sim_assert_rules_hold(&plan, 201, SEEDS);
}

/* Returns a plan in which controllers are cut off from the state store, from the agents, or from
 * everything except the agents. */
static sim_plan cut_plan(void)
{
    sim_plan plan = BASE;
    plan.state_cut = 20;
    plan.worker_cut = 25;
    plan.isolate = 45;
    return plan;
}

static void rules_hold_across_network_partitions(void)
{
    sim_plan plan = cut_plan();
    sim_assert_rules_hold(&plan, 301, 3 * SEEDS);
}

static void quarantine_rebuilt_check_is_needed(void)
{
    sim_plan plan = cut_plan();
    sim_assert_rule_breaks(MV_CHECK_QUARANTINE_REBUILT, &plan, "at work", 301, 301 + 3 * SEEDS);
}

/* The state store is unreachable or slow, and messages, also its responses, are lost or late. */
static void rules_hold_with_unreliable_state_store(void)
{
    sim_plan plan = BASE;
    plan.outage = 30;
    plan.slow_state_store = 0.2;
    plan.message_loss = plan.message_delay = 0.03;
    sim_assert_rules_hold(&plan, 401, SEEDS);
}

/* The cloud refuses all requests while machines crash or are reclaimed and controllers crash. */
static void rules_hold_in_cloud_outage(void)
{
    sim_plan plan = BASE;
    plan.cloud_outage = 40;
    plan.machine_crash = 15;
    plan.reclaim_notice = 20;
    plan.crash = 60;
    sim_assert_rules_hold(&plan, 701, SEEDS);
}

/* Controllers cannot reach each other while controllers crash. */
static void rules_hold_when_peers_refuse_connections(void)
{
    sim_plan plan = BASE;
    plan.peers_unreachable = 40;
    plan.crash = 40;
    sim_assert_rules_hold(&plan, 801, SEEDS);
}

/* The cloud reclaims many spot machines at once while users submit a burst of jobs. */
static void rules_hold_across_reclaim_waves(void)
{
    sim_plan plan = BASE;
    plan.reclaim_wave = 40;
    plan.machine_crash = 60;
    plan.burst = 0.6;
    plan.jobs = 60;
    sim_assert_rules_hold(&plan, 901, SEEDS);
}

/* The state store refuses the leader's requests and is then unreachable for all controllers for
 * longer than cancel_s. */
static void rules_hold_when_refusal_precedes_outage(void)
{
    sim_plan plan = BASE;
    plan.leader_refused_then_outage = 45;
    plan.cancel = 0.5;
    sim_assert_rules_hold(&plan, 501, SEEDS);
    plan.cancel_in_gap = true;
    sim_assert_rules_hold(&plan, 551, SEEDS);
}

/* Controllers freeze, machines hang, and commands and transactions take a long time. */
static void rules_hold_when_everything_is_slow(void)
{
    sim_plan plan = BASE;
    plan.freeze = 20;
    plan.machine_hang = 15;
    plan.slow_commands = 0.15;
    plan.slow_state_store = 0.2;
    sim_assert_rules_hold(&plan, 1001, SEEDS);
}

/* The controllers restart one after the other as this version instead of the old version, first
 * without other faults, then while controllers crash. */
static void rules_hold_across_rolling_upgrades(void)
{
    sim_plan plan = BASE;
    plan.rolling_upgrade = 12;
    sim_assert_rules_hold(&plan, 1101, SEEDS);
    plan.crash = 30;
    sim_assert_rules_hold(&plan, 1151, SEEDS);
}

static void rules_hold_amid_all_faults(void)
{
    sim_plan plan = BASE;
    plan.crash = 35;
    plan.state_cut = 40;
    plan.worker_cut = 50;
    plan.outage = 60;
    plan.cloud_outage = 80;
    plan.machine_crash = 25;
    plan.machine_cut = 30;
    plan.block_commands = 40;
    plan.reclaim_notice = 25;
    plan.duplicate_heartbeats = 0.1;
    plan.message_loss = plan.message_delay = 0.02;
    plan.slow_commands = 0.05;
    plan.deadline_at = 1500;
    sim_assert_rules_hold(&plan, 601, SEEDS);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/site-profiles/tupelo/no-faults", rules_hold_without_faults);
    g_test_add_func("/site-profiles/tupelo/unreliable-machines",
                    rules_hold_with_unreliable_machines);
    g_test_add_func("/site-profiles/tupelo/controller-crashes", rules_hold_when_controllers_crash);
    g_test_add_func("/site-profiles/tupelo/network-partitions",
                    rules_hold_across_network_partitions);
    g_test_add_func("/site-profiles/tupelo/check-quarantine-rebuilt",
                    quarantine_rebuilt_check_is_needed);
    g_test_add_func("/site-profiles/tupelo/state-store", rules_hold_with_unreliable_state_store);
    g_test_add_func("/site-profiles/tupelo/cloud-outage", rules_hold_in_cloud_outage);
    g_test_add_func("/site-profiles/tupelo/peers-refuse", rules_hold_when_peers_refuse_connections);
    g_test_add_func("/site-profiles/tupelo/reclaim-waves", rules_hold_across_reclaim_waves);
    g_test_add_func("/site-profiles/tupelo/refused-before-outage",
                    rules_hold_when_refusal_precedes_outage);
    g_test_add_func("/site-profiles/tupelo/slow", rules_hold_when_everything_is_slow);
    g_test_add_func("/site-profiles/tupelo/rolling-upgrades", rules_hold_across_rolling_upgrades);
    g_test_add_func("/site-profiles/tupelo/all-faults", rules_hold_amid_all_faults);
    return g_test_run();
}
