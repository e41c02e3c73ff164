/** Ownership and look-up of settings, and times that are derived from them. */
#include "config/settings.h"

#include <glib.h>
#include <string.h>

void mv_settings_free(mv_settings *settings)
{
    if (!settings)
        return;
    g_free(settings->peers);
    g_free(settings->teams);
    g_free(settings->objectives);
    g_free(settings);
}

const mv_team_settings *mv_settings_find_team(const mv_settings *settings, const char *name)
{
    for (size_t i = 0; i < settings->team_count; i++)
        if (strcmp(settings->teams[i].name, name) == 0)
            return &settings->teams[i];
    return NULL;
}

double mv_settings_shard_lease_s(const mv_settings *settings)
{
    /* If an agent is reached only by a former owner of the shard, that owner keeps a cancelled task
     * running until the owner's lease of the shard expires, and the agent keeps the task running
     * until the agent's own lease expires after that. Both leases together must end before
     * cancel_s. */
    const double after_agent_lease_s = settings->cancel_s - settings->lease_s;
    const double lease_max_s = after_agent_lease_s - MV_CANCEL_MARGIN_S;
    const double lease_min_s = MIN(MV_SESSION_TTL_S, after_agent_lease_s / 2);
    const double lease_s = MIN(settings->operator_settings.shard_lease_s, lease_max_s);
    return MAX(lease_s, lease_min_s);
}

double mv_settings_launch_bound_s(const mv_settings *settings)
{
    const double owner_s = mv_settings_shard_lease_s(settings) + MV_HEARTBEAT_RESPONSE_MAX_S;
    return owner_s * (1 + MV_CLOCK_DRIFT);
}

double mv_settings_cancel_bound_s(const mv_settings *settings)
{
    /* The owner shortens its lease by the possible drift of its clock, so the lease lasts no longer
     * than mv_settings_shard_lease_s. */
    const double owner_lease_s = mv_settings_shard_lease_s(settings);
    const double agent_lease_s = settings->lease_s * (1 + MV_CLOCK_DRIFT);
    /* MV_AGENT_KILL_S covers the longest time between an agent's check of its clock and the kill of
     * the task, and also the time for a stop command that is in flight. */
    return owner_lease_s + agent_lease_s + MV_AGENT_KILL_S;
}
