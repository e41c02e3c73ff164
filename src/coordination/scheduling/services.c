#include "coordination/scheduling/services.h"

#include "coordination/agents/machine.h"
#include "coordination/agents/placement.h"
#include "coordination/scheduling/binding.h"
#include "telemetry/log.h"

#define ALL_TYPES (~0u)

/* --- moves --- */

static bool may_move(const mv_placement *placement)
{
    return placement->service && placement->job && !placement->stopping && placement->reported;
}

void mv_services_move_replicas(mv_scheduler *scheduler, mv_machine *machine)
{
    if (!machine->reclaim_at && !machine->quarantined)
        return;
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (!may_move(placement))
            continue;
        mv_machine *target = mv_scheduler_find_machine(scheduler, placement->job);
        if (!target)
            continue;
        mv_machine_nominate(scheduler->agents, target, placement->job);
        mv_placement_stop(scheduler->agents, machine, placement);
        mv_debug("replica_moved", "task=%s/%u from=%s to=%s", placement->job_id, placement->task,
                 machine->id, target->id);
    }
}

/* --- reserved capacity --- */

unsigned mv_services_reserve_slots_on(const mv_context *context, const mv_shard *shard,
                                      const mv_machine *machine)
{
    const mv_resource_demand *reserve = &shard->reserve;
    const mv_machine_type *type = mv_machine_type_of(context, machine);
    bool withheld = machine->release_pending || machine->quarantined || machine->failed ||
                    machine->reclaim_at || machine->evicting || machine->transferable_revision;
    if (!reserve->count || !type || !machine->confirmed || withheld)
        return 0;
    bool type_allowed = reserve->type_mask >> machine->type_index & 1;
    if (!type_allowed || (machine->spot && !reserve->spot))
        return 0;
    mv_resources services = mv_machine_service_resources(machine);
    return mv_demand_slots(reserve, type->cores - services.cores, type->gpus,
                           type->ram_gb - services.ram_gb);
}

/* Returns those of the machine types that can fetch an image of this size within the start
 * objective of a service, or all of `types` if no type can. Without this choice, slots on
 * machines that took 10 s to fetch the image counted as reserved capacity. */
static uint32_t types_with_fast_fetch(const mv_context *context, uint32_t types, double image_gb)
{
    const mv_machine_catalog *catalog = &context->catalog;
    uint32_t fast = 0;
    for (guint i = 0; i < mv_machine_catalog_size(catalog); i++) {
        const mv_machine_type *type = mv_machine_catalog_get(catalog, i);
        if (image_gb <= MV_SERVICE_START_OBJECTIVE_S * type->image_gb_per_s)
            fast |= 1u << i;
    }
    return types & fast ? types & fast : types;
}

/* Enlarges the slots of a reserve so that a replica of the service `job` fits into each slot.
 * Restricts the machine types of the reserve to those that the job allows too; if there are none,
 * the reserve takes the job's types. Returns the number of replicas of the job. */
static double add_service(const mv_context *context, mv_resource_demand *reserve, mv_job *job)
{
    const mv_job_spec *spec = &job->spec;
    reserve->cores = MAX(reserve->cores, spec->cores);
    reserve->gpus = MAX(reserve->gpus, spec->gpus);
    reserve->ram_gb = MAX(reserve->ram_gb, spec->ram_gb);
    reserve->image_gb = MAX(reserve->image_gb, spec->image_gb);
    uint32_t types = mv_job_type_mask(context, job);
    uint32_t common = reserve->type_mask & types;
    reserve->type_mask = common ? common : types;
    reserve->spot = reserve->spot && spec->spot;
    return spec->tasks;
}

/* Sets the slot size and the machine types of a shard's reserve from the services of the shard.
 * Returns the number of replicas of the largest service. */
static double reserve_for_services(const mv_scheduler *scheduler, mv_shard *shard)
{
    mv_resource_demand *reserve = &shard->reserve;
    double largest = 0;
    *reserve = (mv_resource_demand){
        .type_mask = ALL_TYPES, .spot = true, .urgent = true, .reserve = true, .service = true};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, scheduler->jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mv_job *job = value;
        if (!job->spec.service || !job->team || job->home_shard != shard)
            continue;
        double replicas = add_service(scheduler->context, reserve, job);
        largest = MAX(largest, replicas);
    }
    return largest;
}

/* Returns whether a shard without services keeps an initial reserve; only a shard with many
 * machines does. Without a reserve, the first service finds only machines that were rented for
 * batch work, perhaps only spot machines, which the cloud may reclaim. In a large fleet the cost of
 * one ordinary machine, which the cloud does not reclaim, is negligible. The
 * initial reserve is not marked as demand of a service, so no batch work is stopped for services
 * that no user has submitted yet. */
static bool reserves_before_first_service(const mv_context *context, const mv_shard *shard)
{
    return shard->reserve.cores == 0 && shard->machine_count >= MV_RESERVE_MACHINES_MIN &&
           !EMULATES_FORMAT_1(context);
}

static mv_resource_demand initial_reserve(void)
{
    return (mv_resource_demand){.cores = 1,
                                .ram_gb = MV_RESERVE_RAM_GB,
                                .image_gb = MV_RESERVE_IMAGE_GB,
                                .type_mask = ALL_TYPES,
                                .urgent = true,
                                .reserve = true};
}

/* Returns the largest number of replicas on one machine of the shard: the most replicas that the
 * loss of one machine can take. */
static double max_replicas_on_a_machine(const mv_scheduler *scheduler, const mv_shard *shard)
{
    const GPtrArray *rotation = scheduler->agents->rotation;
    double largest = 0;
    for (guint i = 0; i < rotation->len; i++) {
        const mv_machine *machine = g_ptr_array_index(rotation, i);
        if (machine->shard == shard)
            largest = MAX(largest, mv_machine_replica_count(machine));
    }
    return largest;
}

static unsigned count_reserve_slots(const mv_scheduler *scheduler, const mv_shard *shard)
{
    const GPtrArray *rotation = scheduler->agents->rotation;
    unsigned slots = 0;
    for (guint i = 0; i < rotation->len; i++) {
        const mv_machine *machine = g_ptr_array_index(rotation, i);
        if (machine->shard == shard)
            slots += mv_services_reserve_slots_on(scheduler->context, shard, machine);
    }
    return slots;
}

void mv_services_update_reserve(mv_scheduler *scheduler, mv_shard *shard)
{
    const mv_context *context = scheduler->context;
    mv_resource_demand *reserve = &shard->reserve;
    double slots = reserve_for_services(scheduler, shard);
    if (reserves_before_first_service(context, shard)) {
        *reserve = initial_reserve();
        slots = MV_RESERVE_SLOTS_INITIAL;
    }
    reserve->type_mask = types_with_fast_fetch(context, reserve->type_mask, reserve->image_gb);
    shard->reserve_slots = 0;
    if (reserve->cores <= 0) {
        reserve->count = 0;
        return;
    }
    double largest_loss = max_replicas_on_a_machine(scheduler, shard);
    slots = MAX(slots, largest_loss);
    reserve->count = (unsigned)MIN(slots, MV_RESERVE_SLOTS_MAX);
    if (reserve->count)
        shard->reserve_slots = count_reserve_slots(scheduler, shard);
}

bool mv_services_can_release_slots(const mv_shard *shard, unsigned slots)
{
    return slots == 0 || shard->reserve_slots >= slots + shard->reserve.count;
}

bool mv_services_release_machine(const mv_context *context, mv_shard *shard,
                                 const mv_machine *machine)
{
    unsigned slots = mv_services_reserve_slots_on(context, shard, machine);
    if (!mv_services_can_release_slots(shard, slots))
        return false;
    shard->reserve_slots -= slots;
    return true;
}
