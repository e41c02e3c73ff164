/** Settings of the simulated controllers, and the cloud's machine types. */
#include "sim_internal.h"

#include <string.h>

const char *const sim_team_names[TEAM_COUNT] = {"red", "green", "blue"};
/* The quotas are 64 and 40 cores at the default capacity and grow with the capacity; the third team
 * has no quota. */
const double sim_team_quotas[TEAM_COUNT] = {64.0 * CAPACITY / DEFAULT_CAPACITY,
                                            40.0 * CAPACITY / DEFAULT_CAPACITY, 0};

static const sim_site_profile DEFAULT_PROFILE = {.report_s = 1,
                                                 .lease_s = 12,
                                                 .cancel_s = 30,
                                                 .state_store_rps = 100,
                                                 .state_store_write_rps = 50,
                                                 .value_kb = 16,
                                                 .transaction_writes = 12,
                                                 .cloud_rps = 10,
                                                 .machine_list_lag_s = 6,
                                                 .checkpoint_interval_s = 10,
                                                 .checkpoint_cost_s = 3};

const sim_site_profile *sim_profile(const sim_plan *plan)
{
    return plan->profile ? plan->profile : &DEFAULT_PROFILE;
}

static void set_teams(mv_settings *settings)
{
    settings->team_count = TEAM_COUNT;
    settings->teams = g_new0(mv_team_settings, TEAM_COUNT);
    for (int i = 0; i < TEAM_COUNT; i++) {
        g_strlcpy(settings->teams[i].name, sim_team_names[i], MV_NAME_SIZE);
        settings->teams[i].cpus = sim_team_quotas[i] / 2;
        settings->teams[i].cpus_max = sim_team_quotas[i];
    }
}

/* Sets one objective: nine of ten latency-sensitive jobs start within two seconds. */
static void set_objectives(mv_settings *settings)
{
    settings->objective_count = 1;
    settings->objectives = g_new0(mv_objective, 1);
    settings->objectives[0] =
        (mv_objective){.kind = MV_OBJECTIVE_WAIT, .within_s = 2, .target_share = 0.9};
    g_strlcpy(settings->objectives[0].class_name, "rush", MV_NAME_SIZE);
}

static void set_site_limits(mv_settings *settings, const sim_site_profile *profile)
{
    settings->report_s = profile->report_s;
    settings->lease_s = profile->lease_s;
    settings->cancel_s = profile->cancel_s;
    settings->state_store_rps = profile->state_store_rps;
    settings->state_store_write_rps = profile->state_store_write_rps;
    settings->value_kb = profile->value_kb;
    settings->transaction_writes = profile->transaction_writes;
    settings->cloud_rps = profile->cloud_rps;
    settings->machine_list_lag_s = profile->machine_list_lag_s;
}

static void set_peers(mv_settings *settings, guint index)
{
    settings->controller_count = NODES;
    settings->peer_count = NODES - 1;
    settings->peers = g_new0(mv_peer_settings, NODES);
    for (guint i = 0, peer = 0; i < NODES; i++)
        if (i != index)
            g_snprintf(settings->peers[peer++].name, MV_NAME_SIZE, "node-%u", i);
}

mv_settings *sim_settings_new(const sim_plan *plan, guint index)
{
    const bool gate_is_here = !plan->launch_gate_nodes || index < plan->launch_gate_nodes;
    mv_settings *settings = g_new0(mv_settings, 1);
    g_snprintf(settings->node_name, sizeof settings->node_name, "node-%u", index);
    set_teams(settings);
    set_objectives(settings);
    set_site_limits(settings, sim_profile(plan));
    set_peers(settings, index);
    settings->operator_settings =
        (mv_operator_settings){.image_wait_s = MV_IMAGE_WAIT_S,
                               .shard_lease_s = MV_SHARD_LEASE_S,
                               .idle_timeout_s = 10,
                               .boot_timeout_factor = 3,
                               .shards = plan->shards,
                               .launch_gate = plan->launch_gate && gate_is_here,
                               .launch_without_state = plan->launch_without_state};
    return settings;
}

GArray *sim_machine_types(const sim_plan *plan)
{
    GArray *types = fake_types_new();
    const mv_machine_type big = {.cores = MACHINE_CORES,
                                 .ram_gb = 64,
                                 .image_cache_gb = 50,
                                 .image_gb_per_s = 1,
                                 .boot_s = 10,
                                 .price = 1,
                                 .spot_price = 0.3};
    fake_types_add(types, "big", big);
    if (plan->small_zone)
        fake_types_add_zone(types);
    return types;
}
