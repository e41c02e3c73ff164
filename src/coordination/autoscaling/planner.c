#include "coordination/autoscaling/planner.h"

#include "coordination/agents/machine.h"
#include "coordination/autoscaling/capacity_bins.h"
#include "coordination/autoscaling/instance_requests.h"
#include "coordination/membership/partition_transfer.h"

#include <string.h>

/* One run of the planner. */
typedef struct {
    mv_autoscaler *autoscaler;
    GArray *bins;       /* mv_capacity_bin */
    GArray *offers;     /* mv_instance_offer: machines that this run will request */
    bool small_backlog; /* the fleet can do all pending work in less than MV_BACKLOG_MIN_S */
} plan;

/* --- machines of other shards --- */

static bool demand_allows(const mv_resource_demand *demand, const mv_machine *machine)
{
    bool type_allowed = demand->type_mask >> machine->type_index & 1;
    bool zone_allowed = !demand->zone_name[0] || strcmp(demand->zone_name, machine->zone_name) == 0;
    bool purpose_allowed = !machine->summary.evicted_for_services || demand->service;
    return type_allowed && zone_allowed && purpose_allowed && (!machine->spot || demand->spot);
}

/* Returns whether the owner of a machine declared the machine transferable, as far as a recent
 * summary says, and has not withdrawn the declaration. */
static bool is_declared_transferable(const mv_context *context, const mv_machine *machine)
{
    const mv_machine_summary *summary = &machine->summary;
    bool recent = machine->summary_at > context->clock.now - MV_DEMAND_TTL_S / 2;
    if (!summary->transferable_revision || summary->release_pending || !recent)
        return false;
    uint64_t recorded = mv_shard_segment(machine->shard, machine->segment)->occupancy_revision;
    return summary->transferable_revision == recorded;
}

static bool is_movable(const mv_context *context, const mv_resource_demand *demand,
                       const mv_machine *machine, const mv_shard *to)
{
    if (!mv_machine_type_of(context, machine) || !machine->shard || machine->shard == to)
        return false;
    return !machine->released && !machine->moving && is_declared_transferable(context, machine) &&
           demand_allows(demand, machine);
}

/* Appends transferable machines for `left` tasks to `machines`, and marks them as moving. Returns
 * the number of tasks that still have no machine. */
static unsigned take_transferable(const mv_autoscaler *autoscaler, const mv_resource_demand *demand,
                                  const mv_shard *to, unsigned left, GPtrArray *machines)
{
    const mv_context *context = autoscaler->context;
    const GPtrArray *rotation = autoscaler->agents->rotation;
    for (guint i = 0; i < rotation->len && left; i++) {
        mv_machine *machine = g_ptr_array_index(rotation, i);
        if (!is_movable(context, demand, machine, to))
            continue;
        const mv_machine_type *type = mv_machine_type_of(context, machine);
        unsigned slots = mv_demand_slots(demand, type->cores, type->gpus, type->ram_gb);
        if (slots == 0)
            continue;
        left -= MIN(left, slots);
        machine->moving = true;
        g_ptr_array_add(machines, machine);
    }
    return left;
}

/* Transfers the machines that belong to the same shard as the first machine. A transfer takes
 * machines from one shard only; a later run of the planner transfers the machines of other shards.
 */
static void transfer_machines(mv_autoscaler *autoscaler, mv_shard *to, const GPtrArray *machines)
{
    if (machines->len) {
        mv_machine *first = g_ptr_array_index(machines, 0);
        mv_partition_transfer(autoscaler->membership, first->shard, to, machines);
    }
    mv_machines_clear_moving(autoscaler->agents);
}

/* --- instances from the cloud --- */

/* Plans instances of the offer's type, zone and kind for the tasks without a machine. Each run
 * plans one offer per demand, because a refusal by the cloud shows where the capacity of that offer
 * ends; the next run then chooses another offer. */
static void plan_instances(plan *plan, const mv_resource_demand *demand, const mv_shard *shard,
                           unsigned left, mv_instance_offer *offer)
{
    const mv_machine_catalog *catalog = &plan->autoscaler->context->catalog;
    const mv_machine_type *type = mv_machine_catalog_get(catalog, (guint)offer->type_index);
    unsigned slots = mv_demand_slots(demand, type->cores, type->gpus, type->ram_gb);
    unsigned count = MIN((left + slots - 1) / slots, MV_INSTANCE_REQUEST_MAX);
    offer->shard = shard;
    mv_instance_offers_add(plan->offers, offer, count);
    for (unsigned i = 0; i < count; i++)
        mv_capacity_bins_add(plan->bins, catalog, offer->type_index, offer->zone_name, offer->spot,
                             shard);
    if (!demand->reserve)
        mv_capacity_bins_pack(plan->bins, demand, shard, left);
}

/* Returns whether a demand can wait for the shard's machines. If the fleet will have done the
 * pending work before another machine has booted, then a new machine is of no use. Urgent demand
 * never waits. */
static bool can_wait(const plan *plan, const mv_resource_demand *demand, const mv_shard *shard)
{
    const mv_machine_catalog *catalog = &plan->autoscaler->context->catalog;
    return plan->small_backlog && !demand->urgent &&
           mv_capacity_bins_could_take(plan->bins, catalog, demand, shard);
}

/* --- one shard --- */

/* Returns how many of the demanded tasks fit on no machine of the shard, present or expected. */
static unsigned count_unmet(plan *plan, const mv_resource_demand *demand, const mv_shard *shard)
{
    const mv_machine_catalog *catalog = &plan->autoscaler->context->catalog;
    if (demand->reserve)
        return mv_capacity_bins_missing_slots(plan->bins, catalog, demand, shard);
    return mv_capacity_bins_pack(plan->bins, demand, shard, demand->count);
}

static void plan_demand(plan *plan, const mv_resource_demand *demand, mv_shard *shard,
                        GPtrArray *moved)
{
    unsigned left = count_unmet(plan, demand, shard);
    /* The reserve of a shard without services does not count as unmet. If it counted, owners of
     * other shards would withhold idle machines from work for a reserve that no service needs. */
    bool counts_as_unmet = !demand->reserve || demand->service;
    shard->demand_unmet = shard->demand_unmet || (left > 0 && counts_as_unmet);
    shard->starving = shard->starving || (left > 0 && demand->starving);
    left = take_transferable(plan->autoscaler, demand, shard, left, moved);
    if (!left)
        return;
    mv_instance_offer offer;
    bool offered = mv_instance_offer_cheapest(plan->autoscaler, demand, left, &offer);
    /* Without an offer, the cloud has no capacity for the replicas: an offer that the cloud refused
     * is left out until its back-off ends. */
    if (demand->service && !offered)
        shard->service_types_lacking |= demand->type_mask;
    if (offered && !can_wait(plan, demand, shard))
        plan_instances(plan, demand, shard, left, &offer);
}

static void plan_shard(plan *plan, mv_shard *shard, bool urgent)
{
    const mv_context *context = plan->autoscaler->context;
    if (!shard->demand || shard->demand_received_at < context->clock.now - MV_DEMAND_TTL_S)
        return;
    g_autoptr(GPtrArray) moved = g_ptr_array_new();
    const GArray *demands = shard->demand->demands;
    for (guint i = 0; i < demands->len; i++) {
        const mv_resource_demand *demand = &g_array_index(demands, mv_resource_demand, i);
        if (demand->urgent == urgent)
            plan_demand(plan, demand, shard, moved);
    }
    transfer_machines(plan->autoscaler, shard, moved);
}

/* --- the fleet --- */

static void add_demanded_core_seconds(const mv_shard *shard, double *core_seconds)
{
    if (!shard->demand)
        return;
    for (guint i = 0; i < shard->demand->demands->len; i++) {
        const mv_resource_demand *demand =
            &g_array_index(shard->demand->demands, mv_resource_demand, i);
        *core_seconds += demand->count * demand->cores * demand->runtime_s;
    }
}

/* Returns how many seconds the fleet, with its booting machines, needs for all pending work. */
static double backlog_s(const mv_context *context, const GArray *bins)
{
    double cores = mv_capacity_bins_total_cores(bins, &context->catalog);
    double core_seconds = 0;
    for (guint i = 0; i < context->shards->len; i++)
        add_demanded_core_seconds(g_ptr_array_index(context->shards, i), &core_seconds);
    return cores > 0 ? core_seconds / cores : G_MAXDOUBLE;
}

static void reset_unmet_demand(const mv_context *context)
{
    for (guint i = 0; i < context->shards->len; i++) {
        mv_shard *shard = g_ptr_array_index(context->shards, i);
        shard->demand_unmet = shard->starving = false;
        shard->service_types_lacking = 0;
    }
}

static void plan_shards(plan *plan, bool urgent)
{
    const GPtrArray *shards = plan->autoscaler->context->shards;
    for (guint i = 0; i < shards->len; i++)
        plan_shard(plan, g_ptr_array_index(shards, i), urgent);
}

void mv_planner_run(mv_autoscaler *autoscaler)
{
    const mv_context *context = autoscaler->context;
    if (mv_machine_catalog_size(&context->catalog) == 0 ||
        context->clock.now < autoscaler->planned_at + MV_DEMAND_INTERVAL_S)
        return;
    autoscaler->planned_at = context->clock.now;
    g_autoptr(GArray) bins = mv_capacity_bins_collect(autoscaler);
    g_autoptr(GArray) offers = g_array_new(FALSE, TRUE, sizeof(mv_instance_offer));
    plan plan = {.autoscaler = autoscaler,
                 .bins = bins,
                 .offers = offers,
                 .small_backlog = backlog_s(context, bins) < MV_BACKLOG_MIN_S};
    reset_unmet_demand(context);
    plan_shards(&plan, true);
    plan_shards(&plan, false);
    for (guint i = 0; i < offers->len; i++)
        mv_instances_request(autoscaler, &g_array_index(offers, mv_instance_offer, i));
}
