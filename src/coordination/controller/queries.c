/** Answers queries about the state of a controller. */
#include "coordination/controller/controller_internal.h"

bool mv_controller_state_reachable(const mv_controller *controller, double now)
{
    return controller->membership.cache.loaded &&
           mv_lease_session_is_alive(&controller->context.session, now);
}

bool mv_controller_has_session(const mv_controller *controller)
{
    return controller->context.session.incarnation != 0;
}

bool mv_controller_is_leader(const mv_controller *controller)
{
    return mv_membership_is_leader(&controller->membership);
}

bool mv_controller_is_ready(const mv_controller *controller)
{
    return controller->membership.cache.loaded &&
           mv_machine_catalog_size(&controller->context.catalog) > 0;
}

bool mv_controller_is_stable(const mv_controller *controller)
{
    const GPtrArray *shards = controller->context.shards;
    for (guint i = 0; i < shards->len; i++) {
        const mv_shard *shard = g_ptr_array_index(shards, i);
        if (!shard->revision ||
            !mv_membership_holder_is_alive(&controller->membership, &shard->holder))
            return false;
    }
    return controller->membership.cache.loaded && shards->len > 0;
}

bool mv_controller_all_formats_current(const mv_controller *controller)
{
    return mv_membership_formats_are_current(&controller->membership);
}

double mv_controller_caught_up_to(const mv_controller *controller)
{
    return controller->context.session.caught_up_to;
}

unsigned mv_controller_owner_count(const mv_controller *controller)
{
    const GPtrArray *shards = controller->context.shards;
    g_autoptr(GHashTable) owners = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < shards->len; i++)
        g_hash_table_add(owners, ((mv_shard *)g_ptr_array_index(shards, i))->holder.node);
    return g_hash_table_size(owners);
}

unsigned mv_controller_job_count(const mv_controller *controller)
{
    return g_hash_table_size(controller->jobs.by_id);
}

static unsigned count_confirmed(const mv_agents *agents)
{
    unsigned confirmed = 0;
    for (guint i = 0; i < agents->rotation->len; i++)
        confirmed += ((mv_machine *)g_ptr_array_index(agents->rotation, i))->confirmed;
    return confirmed;
}

void mv_controller_get_counters(const mv_controller *controller, mv_controller_counters *counters)
{
    const mv_connectivity *connectivity = controller->launch_control.connectivity;
    const mv_unrecorded_completions *unrecorded = controller->jobs.unrecorded;
    *counters = controller->context.counters;
    counters->jobs = g_hash_table_size(controller->jobs.by_id);
    counters->machines = g_hash_table_size(controller->agents.machines);
    counters->machines_confirmed = count_confirmed(&controller->agents);
    counters->completions_unrecorded = unrecorded ? mv_completions_count(unrecorded) : 0;
    counters->link_class =
        connectivity ? mv_connectivity_link_class(connectivity) : MV_LINKS_UNKNOWN;
    counters->launches_are_held =
        connectivity && mv_connectivity_launch_gate(connectivity)->scope == MV_LAUNCH_SCOPE_NONE;
}
