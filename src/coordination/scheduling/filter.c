#include "coordination/scheduling/filter.h"

#include "coordination/agents/machine.h"

#include <string.h>

bool mv_job_allows_machine(const mv_context *context, mv_job *job, const mv_machine *machine)
{
    if (!mv_machine_type_of(context, machine))
        return false;
    bool type_allowed = mv_job_type_mask(context, job) >> machine->type_index & 1;
    bool zone_allowed = !job->spec.has_zone || strcmp(job->spec.zone_name, machine->zone_name) == 0;
    return type_allowed && SAFETY_CHECK(SPOT, !machine->spot || job->spec.spot) && zone_allowed;
}

bool mv_job_fits_resources(const mv_job *job, const mv_resources *available)
{
    return job->spec.cores <= available->cores + MV_RESOURCE_EPSILON &&
           job->spec.gpus <= available->gpus + MV_RESOURCE_EPSILON &&
           job->spec.ram_gb <= available->ram_gb + MV_RESOURCE_EPSILON;
}

bool mv_machine_fits_job(const mv_context *context, const mv_job *job, const mv_machine *machine)
{
    if (machine->placements->len >= MV_MACHINE_TASKS_MAX)
        return false;
    mv_resources available = mv_machine_available(context, machine);
    if (!mv_job_fits_resources(job, &available))
        return false;
    mv_resources future = mv_machine_future_available(context, machine);
    return mv_job_fits_resources(job, &future);
}

bool mv_job_zones_allow(const mv_job *job, const mv_machine *machine)
{
    const mv_job_spec *spec = &job->spec;
    if (SAFETY_CHECK(ZONE, !spec->same_zone && !spec->spread_zones))
        return true;
    unsigned here = machine->zone < job->tasks_in_zone->len
                        ? g_array_index(job->tasks_in_zone, unsigned, machine->zone)
                        : 0;
    if (spec->same_zone && here < job->tasks_placed)
        return false;
    unsigned half = (spec->tasks + 1) / 2;
    return !spec->spread_zones || here + 1 <= half;
}

bool mv_machine_may_take(const mv_context *context, mv_job *job, const mv_machine *machine)
{
    return machine->shard == job->home_shard && mv_machine_is_schedulable(context, machine) &&
           mv_job_allows_machine(context, job, machine) &&
           mv_machine_fits_job(context, job, machine) && mv_job_zones_allow(job, machine);
}

bool mv_job_may_be_running(const mv_scheduler *scheduler, mv_job *job)
{
    const mv_context *context = scheduler->context;
    const mv_shard *shard = job->home_shard;
    if (shard->rebuilt || job->revision > shard->grant_revision)
        return false;
    for (guint i = 0; i < scheduler->unconfirmed->len; i++) {
        const mv_machine *machine = g_ptr_array_index(scheduler->unconfirmed, i);
        bool type_known = mv_machine_type_of(context, machine) != NULL;
        bool holds_none = machine->shard != shard ||
                          (type_known && !mv_job_allows_machine(context, job, machine));
        if (!SAFETY_CHECK(REBUILD, holds_none))
            return true;
    }
    return false;
}
