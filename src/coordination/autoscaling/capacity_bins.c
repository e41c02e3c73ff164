#include "coordination/autoscaling/capacity_bins.h"

#include "coordination/agents/machine.h"
#include "coordination/autoscaling/instance_requests.h"

#include <string.h>

/* --- collecting --- */

void mv_capacity_bins_add(GArray *bins, const mv_machine_catalog *catalog, int type_index,
                          const char *zone_name, bool spot, const mv_shard *shard)
{
    if (type_index < 0)
        return;
    const mv_machine_type *type = mv_machine_catalog_get(catalog, (guint)type_index);
    mv_capacity_bin bin = {.cores = type->cores,
                           .gpus = type->gpus,
                           .ram_gb = type->ram_gb,
                           .type_index = type_index,
                           .zone_name = zone_name,
                           .spot = spot,
                           .shard = shard};
    g_array_append_val(bins, bin);
}

/* Returns whether a machine is about to leave its shard, so that its capacity does not count. */
static bool is_leaving(const mv_machine *machine)
{
    const mv_machine_summary *summary = &machine->summary;
    return machine->released ||
           (machine->summary_at > 0 &&
            (summary->release_pending || summary->failed || summary->departing));
}

static void add_machine(const mv_context *context, GArray *bins, const mv_machine *machine)
{
    const mv_machine_summary *summary = &machine->summary;
    if (!machine->shard || is_leaving(machine) || !mv_machine_type_of(context, machine))
        return;
    mv_capacity_bins_add(bins, &context->catalog, machine->type_index, machine->zone_name,
                         machine->spot, machine->shard);
    if (machine->summary_at <= 0)
        return;
    mv_capacity_bin *bin = &g_array_index(bins, mv_capacity_bin, bins->len - 1);
    bin->cores -= summary->used_cores;
    bin->ram_gb -= summary->used_ram_gb;
    bin->service_cores = summary->service_cores;
    bin->service_ram_gb = summary->service_ram_gb;
}

static void add_joining(const mv_machine_catalog *catalog, GArray *bins, const mv_shard *shard)
{
    for (guint i = 0; i < shard->joining->len; i++) {
        const mv_partition_member *member = &g_array_index(shard->joining, mv_partition_member, i);
        int type_index = mv_machine_catalog_find(catalog, member->type_name);
        mv_capacity_bins_add(bins, catalog, type_index, member->zone_name, member->spot, shard);
    }
}

static void add_requested(const mv_context *context, GArray *bins,
                          const mv_instance_request *request)
{
    const mv_shard *shard = g_ptr_array_index(context->shards, request->shard_index);
    int type_index = mv_machine_catalog_find(&context->catalog, request->type_name);
    for (unsigned i = 0; i < request->count; i++)
        mv_capacity_bins_add(bins, &context->catalog, type_index, request->zone_name, request->spot,
                             shard);
}

GArray *mv_capacity_bins_collect(const mv_autoscaler *autoscaler)
{
    const mv_context *context = autoscaler->context;
    const GPtrArray *rotation = autoscaler->agents->rotation;
    GArray *bins = g_array_new(FALSE, TRUE, sizeof(mv_capacity_bin));
    for (guint i = 0; i < rotation->len; i++)
        add_machine(context, bins, g_ptr_array_index(rotation, i));
    for (guint i = 0; i < context->shards->len; i++)
        add_joining(&context->catalog, bins, g_ptr_array_index(context->shards, i));
    for (guint i = 0; i < autoscaler->requests->len; i++)
        add_requested(context, bins, g_ptr_array_index(autoscaler->requests, i));
    return bins;
}

/* --- fitting --- */

static bool bin_is_allowed(const mv_resource_demand *demand, const mv_shard *shard,
                           const mv_capacity_bin *bin)
{
    bool type_allowed = demand->type_mask >> bin->type_index & 1;
    bool zone_allowed = !demand->zone_name[0] || strcmp(demand->zone_name, bin->zone_name) == 0;
    return bin->shard == shard && type_allowed && (!bin->spot || demand->spot) && zone_allowed;
}

/* Returns how many such tasks fit on the machine next to its replicas, when no other task runs
 * there. */
static unsigned slots_beside_services(const mv_machine_catalog *catalog,
                                      const mv_resource_demand *demand, const mv_capacity_bin *bin)
{
    const mv_machine_type *type = mv_machine_catalog_get(catalog, (guint)bin->type_index);
    return mv_demand_slots(demand, type->cores - bin->service_cores, type->gpus,
                           type->ram_gb - bin->service_ram_gb);
}

bool mv_capacity_bins_could_take(const GArray *bins, const mv_machine_catalog *catalog,
                                 const mv_resource_demand *demand, const mv_shard *shard)
{
    for (guint i = 0; i < bins->len; i++) {
        const mv_capacity_bin *bin = &g_array_index(bins, mv_capacity_bin, i);
        if (bin_is_allowed(demand, shard, bin) && slots_beside_services(catalog, demand, bin) > 0)
            return true;
    }
    return false;
}

unsigned mv_capacity_bins_missing_slots(const GArray *bins, const mv_machine_catalog *catalog,
                                        const mv_resource_demand *reserve, const mv_shard *shard)
{
    unsigned left = reserve->count;
    for (guint i = 0; i < bins->len && left; i++) {
        const mv_capacity_bin *bin = &g_array_index(bins, mv_capacity_bin, i);
        if (!bin_is_allowed(reserve, shard, bin))
            continue;
        unsigned slots = slots_beside_services(catalog, reserve, bin);
        left -= MIN(left, slots);
    }
    return left;
}

unsigned mv_capacity_bins_pack(GArray *bins, const mv_resource_demand *demand,
                               const mv_shard *shard, unsigned count)
{
    unsigned left = count;
    for (guint i = 0; i < bins->len && left; i++) {
        mv_capacity_bin *bin = &g_array_index(bins, mv_capacity_bin, i);
        if (!bin_is_allowed(demand, shard, bin))
            continue;
        unsigned slots = mv_demand_slots(demand, bin->cores, bin->gpus, bin->ram_gb);
        unsigned packed = MIN(left, slots);
        bin->cores -= packed * demand->cores;
        bin->gpus -= packed * demand->gpus;
        bin->ram_gb -= packed * demand->ram_gb;
        left -= packed;
    }
    return left;
}

double mv_capacity_bins_total_cores(const GArray *bins, const mv_machine_catalog *catalog)
{
    double cores = 0;
    for (guint i = 0; i < bins->len; i++) {
        const mv_capacity_bin *bin = &g_array_index(bins, mv_capacity_bin, i);
        cores += mv_machine_catalog_get(catalog, (guint)bin->type_index)->cores;
    }
    return cores;
}
