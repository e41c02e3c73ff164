/** Read access of the simulation and of the fixture to the state of a controller. */
#include "controller_probe.h"

#include "coordination/controller/controller_internal.h"

bool probe_cache_is_loaded(const mv_controller *controller)
{
    return controller->membership.cache.loaded;
}

GList *probe_cached_keys(const mv_controller *controller)
{
    return g_hash_table_get_keys(controller->membership.cache.revisions);
}

uint64_t probe_leader_term(const mv_controller *controller)
{
    return controller->membership.leader.term;
}

const char *probe_shard_owner(const mv_controller *controller, unsigned shard)
{
    const mv_shard *found = g_ptr_array_index(controller->context.shards, shard);
    return found->holder.node;
}

int probe_machine_shard(const mv_controller *controller, const char *machine_id)
{
    const mv_machine *machine = g_hash_table_lookup(controller->agents.machines, machine_id);
    return machine && machine->shard ? (int)machine->shard->index : PROBE_NO_SHARD;
}

bool probe_task_is_completed(const mv_controller *controller, const char *job_id, uint32_t task)
{
    const mv_job *job = g_hash_table_lookup(controller->jobs.by_id, job_id);
    return job && job->task_states[task] >= MV_TASK_STATE_DONE;
}

void probe_emulate_format_1(mv_controller *controller, bool emulate)
{
    controller->context.emulates_format_1 = emulate;
}
