#include "coordination/autoscaling/idle_machines.h"

#include "coordination/agents/machine.h"
#include "coordination/agents/placement.h"
#include "coordination/autoscaling/scalable_jobs.h"
#include "coordination/scheduling/services.h"
#include "telemetry/log.h"

static bool was_demanded_recently(const mv_context *context, double demanded_at)
{
    return demanded_at > 0 && context->clock.now < demanded_at + MV_DEMAND_TTL_S;
}

/* --- release --- */

static double cheapest_price_per_core(const mv_machine_catalog *catalog)
{
    double cheapest = 0;
    for (guint i = 0; i < mv_machine_catalog_size(catalog); i++) {
        const mv_machine_type *type = mv_machine_catalog_get(catalog, i);
        double price = type->cores > 0 ? MIN(type->spot_price, type->price) / type->cores : 0;
        if (price > 0 && (cheapest == 0 || price < cheapest))
            cheapest = price;
    }
    return cheapest;
}

/* Returns how many seconds an idle machine is kept. A machine of the cloud's cheapest price per
 * core is kept for the full idle time-out, because it costs little and a replacement takes long to
 * boot. A more expensive machine is kept for less, and a draining machine for the minimum. */
static double idle_timeout_s(const mv_context *context, const mv_machine *machine)
{
    if (machine->draining)
        return MV_IDLE_TIMEOUT_MIN_S;
    double price = mv_machine_price_per_core(context, machine);
    double share = price > 0 ? MIN(1, cheapest_price_per_core(&context->catalog) / price) : 1;
    double timeout_s = context->settings->operator_settings.idle_timeout_s;
    return MAX(MV_IDLE_TIMEOUT_MIN_S, timeout_s * share);
}

/* Returns whether a machine has been idle for its time-out and is at least MV_CHARGE_MIN_S old. The
 * cloud charges at least MV_CHARGE_MIN_S for each machine, so an earlier release saves nothing. */
static bool is_due_for_release(const mv_context *context, const mv_machine *machine)
{
    if (machine->release_pending || !machine->confirmed || machine->placements->len ||
        machine->unknown_tasks)
        return false;
    double idle_s = context->clock.now - machine->idle_since;
    double age_s = context->clock.now - machine->rented_at;
    return idle_s >= idle_timeout_s(context, machine) && age_s >= MV_CHARGE_MIN_S;
}

void mv_idle_machines_release(mv_autoscaler *autoscaler, mv_shard *shard)
{
    const mv_context *context = autoscaler->context;
    const GPtrArray *rotation = autoscaler->agents->rotation;
    unsigned idle_allowance = context->settings->operator_settings.idle_machine_allowance;
    for (guint i = 0; i < rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(rotation, i);
        if (machine->shard != shard || !is_due_for_release(context, machine))
            continue;
        if (idle_allowance > 0)
            idle_allowance--;
        else if (mv_services_release_machine(context, shard, machine))
            machine->release_pending = true;
    }
}

/* --- transfer --- */

/* Machine types that pending tasks of the shard could use; one bit for each type. */
typedef struct {
    uint32_t spot, ordinary; /* types of spot machines, types of ordinary machines */
} demanded_types;

static demanded_types types_demanded_locally(const mv_autoscaler *autoscaler, const mv_shard *shard)
{
    demanded_types demanded = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, autoscaler->jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mv_job *job = value;
        if (!job->team || job->home_shard != shard || mv_job_scalable_tasks(job) == 0)
            continue;
        uint32_t types = mv_job_type_mask(autoscaler->context, job);
        demanded.ordinary |= types;
        demanded.spot |= job->spec.spot ? types : 0;
    }
    return demanded;
}

static bool is_transferable(const mv_context *context, const mv_machine *machine)
{
    bool healthy = !machine->release_pending && !machine->quarantined && !machine->failed &&
                   !machine->reclaim_at;
    if (!machine->confirmed || !machine->occupied || !healthy ||
        mv_machine_controller_unreachable(context, machine))
        return false;
    bool empty = !machine->unknown_tasks && machine->placements->len == 0 && !machine->command_id &&
                 g_hash_table_size(machine->uncertain_attempts) == 0;
    return empty && context->clock.now - machine->idle_since > MV_TRANSFERABLE_IDLE_S;
}

static void declare_transferable(mv_shard *shard, mv_machine *machine)
{
    machine->transferable_revision = mv_shard_segment(shard, machine->segment)->occupancy_revision;
}

/* The inputs for one pass that decides which machines of a shard are transferable. */
typedef struct {
    bool demanded_elsewhere, starving_elsewhere; /* whether other shards need idle machines, and
                                                    whether they need them for starving jobs */
    demanded_types demanded_here;
    unsigned retained; /* idle machines that this pass still has to retain for future tasks */
} transfer_policy;

static void update_transferable(mv_autoscaler *autoscaler, mv_shard *shard, mv_machine *machine,
                                transfer_policy *policy)
{
    const mv_context *context = autoscaler->context;
    const uint32_t types =
        machine->spot ? policy->demanded_here.spot : policy->demanded_here.ordinary;
    const bool demanded_here = types >> machine->type_index & 1;
    const bool declared = machine->transferable_revision != 0;
    if (machine->evicting && !declared && is_transferable(context, machine)) {
        declare_transferable(shard, machine);
        return;
    }
    if (declared && !machine->evicting && (demanded_here || !policy->demanded_elsewhere)) {
        mv_shard_segment(shard, machine->segment)->withdraws_transfer = true;
        return;
    }
    if (declared || !policy->demanded_elsewhere || demanded_here ||
        !is_transferable(context, machine))
        return;
    if (policy->retained > 0)
        policy->retained--;
    else if (policy->starving_elsewhere || mv_services_release_machine(context, shard, machine))
        declare_transferable(shard, machine);
}

/* The owner retains machines that a pending task of its shard could use, and a few for future
 * tasks. A pending task retains only machines of the types that it could use: when any pending task
 * retained all machines, one task that fitted only the larger type blocked hundreds of machines. If
 * a job of another shard starves, the owner retains none for future tasks: when every shard
 * retained a few, such a job waited without end. */
void mv_idle_machines_update_transferable(mv_autoscaler *autoscaler, mv_shard *shard)
{
    const mv_context *context = autoscaler->context;
    const mv_received_peer_demand *peers = &autoscaler->peer_demand;
    const GPtrArray *rotation = autoscaler->agents->rotation;
    transfer_policy policy = {
        .demanded_elsewhere = was_demanded_recently(context, peers->idle_machines_needed_at),
        .starving_elsewhere = was_demanded_recently(context, peers->starving_at),
        .demanded_here = types_demanded_locally(autoscaler, shard),
    };
    if (!policy.starving_elsewhere)
        policy.retained = shard->machine_count / MV_TRANSFERABLE_RETAINED_DIVISOR + 1;
    for (guint i = 0; i < rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(rotation, i);
        if (machine->shard == shard && mv_machine_type_of(context, machine))
            update_transferable(autoscaler, shard, machine, &policy);
    }
}

/* --- eviction for services of other shards --- */

static void stop_all_tasks(mv_agents *agents, mv_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->reported && !placement->stopping)
            mv_placement_stop(agents, machine, placement);
    }
}

static bool must_stay(const mv_placement *placement)
{
    bool top_priority = placement->job && placement->job->spec.priority == MV_PRIORITY_PROD;
    return placement->service || placement->preemption_exempt || top_priority;
}

static bool any_must_stay(const mv_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++)
        if (must_stay(g_ptr_array_index(machine->placements, i)))
            return true;
    return false;
}

static double lost_core_seconds(const mv_context *context, const mv_machine *machine)
{
    double lost = 0;
    for (guint i = 0; i < machine->placements->len; i++) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->running_at > 0)
            lost += (context->clock.now - placement->running_at) * placement->cores;
    }
    return lost;
}

static bool may_evict(const mv_autoscaler *autoscaler, const mv_shard *shard,
                      const mv_machine *machine)
{
    const mv_context *context = autoscaler->context;
    if (machine->spot || !mv_machine_type_of(context, machine))
        return false;
    bool type_demanded = autoscaler->peer_demand.service_types >> machine->type_index & 1;
    if (!type_demanded || any_must_stay(machine))
        return false;
    unsigned slots = mv_services_reserve_slots_on(context, shard, machine);
    return mv_services_can_release_slots(shard, slots) &&
           mv_machine_is_schedulable(context, machine);
}

/* Returns the machine of the shard from which batch work is being evicted and which has not left
 * the shard yet; NULL: there is none. */
static mv_machine *find_evicting(const mv_agents *agents, const mv_shard *shard)
{
    for (guint i = 0; i < agents->rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(agents->rotation, i);
        if (machine->shard == shard && machine->evicting)
            return machine;
    }
    return NULL;
}

static void cancel_evictions(const mv_agents *agents, const mv_shard *shard)
{
    for (guint i = 0; i < agents->rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(agents->rotation, i);
        if (machine->shard == shard)
            machine->evicting = false;
    }
}

static mv_machine *choose_eviction(const mv_autoscaler *autoscaler, const mv_shard *shard,
                                   double *smallest_loss)
{
    const GPtrArray *rotation = autoscaler->agents->rotation;
    mv_machine *chosen = NULL;
    for (guint i = 0; i < rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(rotation, i);
        if (machine->shard != shard || !may_evict(autoscaler, shard, machine))
            continue;
        double lost = lost_core_seconds(autoscaler->context, machine);
        if (chosen && lost >= *smallest_loss)
            continue;
        chosen = machine;
        *smallest_loss = lost;
    }
    return chosen;
}

void mv_idle_machines_evict_for_services(mv_autoscaler *autoscaler, mv_shard *shard)
{
    const mv_received_peer_demand *peers = &autoscaler->peer_demand;
    if (!was_demanded_recently(autoscaler->context, peers->service_types_needed_at)) {
        cancel_evictions(autoscaler->agents, shard);
        return;
    }
    mv_machine *evicting = find_evicting(autoscaler->agents, shard);
    if (evicting) {
        stop_all_tasks(autoscaler->agents, evicting);
        return;
    }
    double lost = 0;
    mv_machine *chosen = choose_eviction(autoscaler, shard, &lost);
    if (!chosen)
        return;
    chosen->evicting = true;
    mv_info("machine_evicted", "machine=%s tasks=%u lost_core_s=%.0f", chosen->id,
            chosen->placements->len, lost);
    stop_all_tasks(autoscaler->agents, chosen);
}
