/**
 * The plans of the behaviour fingerprint. They contain recurring faults of every kind, the site
 * profiles, services, rolling upgrades, and partitions of links with the launch gate on and off.
 * The fingerprint does not cover a fault that none of these plans contains.
 */
#include "behavior_plans.h"

#include "sim_sites.h"

/* First two links of one controller fail at the same time, then one link to the agents fails, then
 * the state store is out for all controllers, then single directions of links fail. */
static const sim_cut SCHEDULE[] = {
    {0, SIM_LINK_STATE, 20, 8},          {0, SIM_LINK_PEERS, 20, 12},
    {1, SIM_LINK_WORKERS, 35, 5},        {0, SIM_LINK_ALL_STATE, 50, 10},
    {2, SIM_LINK_WATCHES, 70, 14},       {1, SIM_LINK_STATE_RESPONSES, 85, 9},
    {2, SIM_LINK_PEERS_OUTGOING, 95, 12}};

/* The runs take the plans in turn and alternate between one shard and three shards. The number of
 * plans is odd, so each plan is run with one shard and with three shards. */
static const behavior_plan PLANS[] = {
    {"rough",
     {.crash = 35,
      .state_cut = 40,
      .worker_cut = 50,
      .outage = 60,
      .machine_crash = 25,
      .machine_cut = 30,
      .block_commands = 40,
      .block_heartbeats = 60,
      .cloud_outage = 80,
      .peers_unreachable = 60,
      .reclaim_wave = 80,
      .duplicate_heartbeats = 0.1,
      .message_loss = 0.02,
      .message_delay = 0.02,
      .slow_commands = 0.05,
      .slow_state_store = 0.05}},
    {"leaders-end",
     {.leader_crash = 25,
      .all_crash = 70,
      .quick_restart = 40,
      .machine_quick_restart = 40,
      .freeze = 40,
      .relist = 15,
      .duplicate_heartbeats = 0.1,
      .duplicates_for_next_leader = true,
      .cancel_at_leader_change = 0.2}},
    {"two-zones",
     {.latency_sensitive = 0.3,
      .small_zone = 5,
      .machine_crash = 30,
      .machine_hang = 30,
      .zone_cut = 60,
      .burst = 0.4,
      .cancel_at_completion = 0.3}},
    {"tupelo",
     {.profile = &SIM_TUPELO,
      .checkpointing = 0.4,
      .latency_sensitive = 0.3,
      .reclaim_notice = 25}},
    {"tupelo-troubles",
     {.profile = &SIM_TUPELO,
      .checkpointing = 0.4,
      .latency_sensitive = 0.3,
      .crash = 35,
      .state_cut = 40,
      .outage = 60,
      .machine_crash = 25,
      .machine_cut = 30,
      .reclaim_notice = 25,
      .message_loss = 0.02,
      .message_delay = 0.02,
      .rolling_upgrade = 15}},
    {"pine-bluff",
     {.profile = &SIM_PINE_BLUFF,
      .latency_sensitive = 0.2,
      .machine_crash = 25,
      .machine_hang = 20,
      .reclaim_notice = 30}},
    {"pine-bluff-fleet",
     {.profile = &SIM_PINE_BLUFF_FLEET,
      .latency_sensitive = 0.2,
      .crash = 30,
      .worker_cut = 40,
      .message_loss = 0.02}},
    {"sapporo",
     {.profile = &SIM_SAPPORO,
      .checkpointing = 0.2,
      .latency_sensitive = 0.2,
      .services = 0.2,
      .machine_crash = 20}},
    {"sapporo-fleet",
     {.profile = &SIM_SAPPORO_FLEET,
      .services = 0.2,
      .crash = 30,
      .outage = 50,
      .duplicate_heartbeats = 0.1}},
    {"services",
     {.services = 0.4,
      .latency_sensitive = 0.2,
      .reclaim_notice = 10,
      .machine_crash = 20,
      .leader_crash = 40,
      .machine_cut = 30}},
    {"roll", {.services = 0.3, .rolling_upgrade = 25, .crash = 40, .machine_cut = 25}},
    {"roll-limits-fall",
     {.services = 0.2,
      .rolling_upgrade = 15,
      .limits_reduced_at = 70,
      .machine_crash = 12,
      .relist = 10}},
    {"cuts-gate-on",
     {.launch_gate = true,
      .link_flapping = 80,
      .state_responses_lost = 50,
      .watches_lost = 50,
      .peer_outgoing_lost = 50,
      .isolate = 60,
      .state_cut = 30,
      .cut_at_events = 0.01,
      .services = 0.15,
      .latency_sensitive = 0.2}},
    {"cuts-gate-off",
     {.link_flapping = 80,
      .state_responses_lost = 50,
      .watches_lost = 50,
      .peer_outgoing_lost = 50,
      .isolate = 60,
      .state_cut = 30,
      .cut_at_events = 0.01,
      .services = 0.15,
      .latency_sensitive = 0.2}},
    {"cuts-scheduled",
     {.launch_gate = true,
      .launch_gate_nodes = 2,
      .launch_without_state = MV_LAUNCH_WITHIN_QUOTA,
      .cuts = SCHEDULE,
      .cut_count = G_N_ELEMENTS(SCHEDULE),
      .latency_sensitive = 0.2}},
};

_Static_assert(
    G_N_ELEMENTS(PLANS) % 2 == 1,
    "the number of plans is odd, so that each plan is run with one and with three shards");

behavior_plan behavior_plan_of(unsigned run)
{
    behavior_plan chosen = PLANS[run % G_N_ELEMENTS(PLANS)];
    chosen.plan.cancel = 0.2;
    chosen.plan.faults_end_at = 160;
    chosen.plan.deadline_at = 1500;
    chosen.plan.jobs = 70;
    chosen.plan.shards = run % 2 ? 3 : 1;
    return chosen;
}
