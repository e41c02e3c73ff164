/**
 * Simulations of deployments whose size differs from the simulation's default. The build sets the
 * size: NODES controllers and CAPACITY machines. The simulation checks every rule of the protocol
 * page ("Rules") after each step.
 */
#include "sim_assert.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define SEEDS (CAPACITY > 50 ? 1 : 3)

static const sim_plan BASE = {.faults_end_at = 90,
                              .deadline_at = 700,
                              .cancel = 0.1,
                              .latency_sensitive = 0.2,
                              .shards = NODES,
                              .jobs = 2 * CAPACITY};

static void rules_hold_without_faults(void)
{
    sim_assert_rules_hold(&BASE, 1, SEEDS);
}

static void rules_hold_when_leaders_crash(void)
{
    sim_plan plan = BASE;
    plan.leader_crash = 25;
    sim_assert_rules_hold(&plan, 101, SEEDS);
}

/* Single controllers crash, and all controllers crash at once. */
static void rules_hold_when_owners_crash(void)
{
    sim_plan plan = BASE;
    plan.crash = 20;
    plan.all_crash = 60;
    sim_assert_rules_hold(&plan, 201, SEEDS);
}

/* The state store is unreachable for all controllers. */
static void rules_hold_in_outage(void)
{
    sim_plan plan = BASE;
    plan.outage = 40;
    sim_assert_rules_hold(&plan, 301, SEEDS);
}

/* The cloud takes many spot machines back at once, and other machines crash. */
static void rules_hold_when_spot_machines_are_reclaimed(void)
{
    sim_plan plan = BASE;
    plan.reclaim_wave = 40;
    plan.machine_crash = 30;
    sim_assert_rules_hold(&plan, 401, SEEDS);
}

/* With the launch gate on, links of single controllers break: to the state store, to the peers, and
 * in one direction only. The state store also becomes unreachable for all controllers. */
static void rules_hold_across_network_partitions(void)
{
    sim_plan plan = BASE;
    plan.launch_gate = true;
    plan.link_flapping = 40;
    plan.state_responses_lost = plan.watches_lost = plan.peer_outgoing_lost = 30;
    plan.isolate = 45;
    plan.outage = 80;
    sim_assert_rules_hold(&plan, 501, SEEDS);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/scale/no-faults", rules_hold_without_faults);
    g_test_add_func("/scale/leader-crashes", rules_hold_when_leaders_crash);
    g_test_add_func("/scale/owner-crashes", rules_hold_when_owners_crash);
    g_test_add_func("/scale/outage", rules_hold_in_outage);
    g_test_add_func("/scale/reclaim-wave", rules_hold_when_spot_machines_are_reclaimed);
    g_test_add_func("/scale/network-partitions", rules_hold_across_network_partitions);
    return g_test_run();
}
