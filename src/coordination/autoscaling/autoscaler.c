#include "coordination/autoscaling/autoscaler.h"

void mv_autoscaler_init(mv_autoscaler *autoscaler, mv_context *context, mv_job_table *jobs,
                        mv_agents *agents, mv_membership *membership, mv_scheduler *scheduler)
{
    *autoscaler = (mv_autoscaler){.context = context,
                                  .jobs = jobs,
                                  .agents = agents,
                                  .membership = membership,
                                  .scheduler = scheduler};
    autoscaler->requests = g_ptr_array_new_with_free_func(g_free);
    autoscaler->refused_offers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    autoscaler->unknown_probes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void mv_autoscaler_clear(mv_autoscaler *autoscaler)
{
    g_ptr_array_unref(autoscaler->requests);
    g_hash_table_unref(autoscaler->refused_offers);
    g_hash_table_unref(autoscaler->unknown_probes);
    g_clear_pointer(&autoscaler->listing.names, g_hash_table_unref);
    g_clear_pointer(&autoscaler->scale_in.machines, g_ptr_array_unref);
}
