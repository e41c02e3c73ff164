#include "coordination/agents/machine.h"

uint64_t mv_machine_term(const mv_machine *machine)
{
    return machine->shard ? MAX(machine->shard->holder.term, machine->member_term) : 0;
}

uint64_t mv_machine_fencing_token(const mv_machine *machine)
{
    return machine->shard ? MAX(mv_machine_term(machine), machine->raised_token) : 0;
}

const mv_machine_type *mv_machine_type_of(const mv_context *context, const mv_machine *machine)
{
    const mv_machine_catalog *catalog = &context->catalog;
    if (!catalog->types)
        return NULL;
    if (machine->type_index < 0)
        ((mv_machine *)machine)->type_index = mv_machine_catalog_find(catalog, machine->type_name);
    return machine->type_index < 0 ? NULL
                                   : mv_machine_catalog_get(catalog, (guint)machine->type_index);
}

double mv_machine_price_per_core(const mv_context *context, const mv_machine *machine)
{
    const mv_machine_type *type = mv_machine_type_of(context, machine);
    if (!type || type->cores <= 0)
        return 0;
    return (machine->spot ? type->spot_price : type->price) / type->cores;
}

/* --- reachability --- */

bool mv_machine_may_hold_tasks(const mv_machine *machine)
{
    return machine->shard && !machine->confirmed && !machine->known_empty && machine->occupied;
}

bool mv_machine_controller_unreachable(const mv_context *context, const mv_machine *machine)
{
    double listening_since = MAX(machine->shard->listening_since, machine->joined_partition_at);
    double since = MAX(machine->lease_renewed_at, listening_since);
    double timeout_s = MV_SCHEDULABLE_HEARTBEATS * context->settings->report_s;
    bool renewed = context->clock.now - since < timeout_s;
    return !SAFETY_CHECK(CONTROLLER_UNREACHABLE,
                         renewed || mv_clock_is_overloaded(&context->clock));
}

bool mv_machine_commands_unreachable(const mv_context *context, const mv_machine *machine)
{
    const double now = context->clock.now;
    const double interval_s = context->settings->report_s;
    bool reports_arrive =
        machine->last_heartbeat_at > machine->unreachable_since &&
        now < machine->last_heartbeat_at + MV_HEARTBEAT_TIMEOUT_INTERVALS * interval_s;
    const double unreachable_s = now - machine->unreachable_while_reporting_since;
    const double timeout_s =
        (machine->shard->heartbeats_only ? MV_PARTITIONED_HEARTBEATS : MV_UNREACHABLE_HEARTBEATS) *
        interval_s;
    bool enough_missed = machine->unanswered_while_reporting >= MV_UNREACHABLE_COMMANDS;
    return !SAFETY_CHECK(COMMANDS_UNREACHABLE, false) && machine->unreachable_since > 0 &&
           reports_arrive && enough_missed && unreachable_s > timeout_s &&
           !mv_clock_is_overloaded(&context->clock);
}

void mv_machine_command_delivered(mv_machine *machine)
{
    machine->unreachable_since = machine->unreachable_while_reporting_since = 0;
    machine->unanswered_commands = machine->unanswered_while_reporting = 0;
}

/* --- schedulable --- */

/* Returns whether the machine's state, apart from its heartbeats, forbids new tasks on it. */
static bool is_withheld(const mv_machine *machine)
{
    bool leaves_partition = machine->release_pending || machine->evicting ||
                            machine->transferable_revision || machine->departing;
    bool unhealthy = machine->unreachable_since || machine->quarantined || machine->failed ||
                     machine->reclaim_at;
    return leaves_partition || unhealthy || machine->unknown_tasks;
}

bool mv_machine_is_schedulable(const mv_context *context, const mv_machine *machine)
{
    if (!machine->shard || !machine->confirmed || !machine->occupied || is_withheld(machine))
        return false;
    double timeout_s = MV_SCHEDULABLE_HEARTBEATS * context->settings->report_s;
    bool reported = context->clock.now - machine->last_heartbeat_at < timeout_s;
    return reported && mv_shard_is_owned(context, machine->shard) &&
           !mv_machine_controller_unreachable(context, machine);
}

bool mv_machine_is_slow(const mv_machine *machine)
{
    return machine->slowdown > MV_SLOW_SLOWDOWN;
}

void mv_machine_observe_runtime(mv_machine *machine, const mv_job *job, double runtime_s)
{
    if (job->runtime_samples < MV_SLOWDOWN_SAMPLES_MIN)
        return;
    double usual_s = job->runtime_sum_s / job->runtime_samples;
    machine->slowdown += (runtime_s / usual_s - machine->slowdown) * MV_SLOWDOWN_SMOOTHING;
}

void mv_machine_record_failure(const mv_agents *agents, mv_machine *machine, mv_job *job)
{
    agents->context->counters.task_failures++;
    mv_job_back_off(agents->context, job);
    g_hash_table_insert(machine->failed_jobs, g_strdup(job->spec.id), GUINT_TO_POINTER(0));
}

/* --- resources --- */

void mv_resources_add_placement(mv_resources *resources, const mv_placement *placement,
                                double factor)
{
    resources->cores += factor * placement->cores;
    resources->gpus += factor * placement->gpus;
    resources->ram_gb += factor * placement->ram_gb;
}

mv_resources mv_machine_available(const mv_context *context, const mv_machine *machine)
{
    const mv_machine_type *type = mv_machine_type_of(context, machine);
    const mv_resources *allocated = &machine->allocated;
    if (!type)
        return (mv_resources){-allocated->cores, -allocated->gpus, -allocated->ram_gb};
    return (mv_resources){type->cores - allocated->cores, type->gpus - allocated->gpus,
                          type->ram_gb - allocated->ram_gb};
}

mv_resources mv_machine_future_available(const mv_context *context, const mv_machine *machine)
{
    mv_resources available = mv_machine_available(context, machine);
    available.cores += machine->releasing.cores - machine->nominated.cores;
    available.gpus += machine->releasing.gpus - machine->nominated.gpus;
    available.ram_gb += machine->releasing.ram_gb - machine->nominated.ram_gb;
    return available;
}

mv_resources mv_machine_service_resources(const mv_machine *machine)
{
    mv_resources resources = {0};
    for (guint i = 0; i < machine->placements->len; i++) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->service)
            mv_resources_add_placement(&resources, placement, 1);
    }
    return resources;
}

unsigned mv_machine_replica_count(const mv_machine *machine)
{
    unsigned count = 0;
    for (guint i = 0; i < machine->placements->len; i++)
        count += ((const mv_placement *)g_ptr_array_index(machine->placements, i))->service;
    return count;
}

void mv_machine_nominate(mv_agents *agents, mv_machine *machine, const mv_job *job)
{
    mv_resources *nominated = &machine->nominated;
    if (nominated->cores == 0 && nominated->ram_gb == 0 && nominated->gpus == 0)
        g_ptr_array_add(agents->nominated, machine);
    nominated->cores += job->spec.cores;
    nominated->gpus += job->spec.gpus;
    nominated->ram_gb += job->spec.ram_gb;
    job->team->nominated_cores += job->spec.cores;
}

void mv_machines_clear_nominations(mv_agents *agents)
{
    const mv_context *context = agents->context;
    for (size_t i = 0; i < context->settings->team_count; i++)
        context->teams[i].nominated_cores = 0;
    for (guint i = 0; i < agents->nominated->len; i++)
        ((mv_machine *)g_ptr_array_index(agents->nominated, i))->nominated = (mv_resources){0};
    g_ptr_array_set_size(agents->nominated, 0);
}

/* --- images --- */

static int find_image(const mv_machine *machine, unsigned image)
{
    for (guint i = machine->images->len; i-- > 0;)
        if (g_array_index(machine->images, mv_cached_image, i).image == image)
            return (int)i;
    return -1;
}

bool mv_machine_has_image(const mv_machine *machine, unsigned image)
{
    return find_image(machine, image) >= 0;
}

static void evict_images(const mv_machine_type *type, mv_machine *machine)
{
    double total_gb = 0;
    for (guint i = 0; i < machine->images->len; i++)
        total_gb += g_array_index(machine->images, mv_cached_image, i).size_gb;
    while (total_gb > type->image_cache_gb && machine->images->len > 1) {
        total_gb -= g_array_index(machine->images, mv_cached_image, 0).size_gb;
        g_array_remove_index(machine->images, 0);
    }
}

void mv_machine_touch_image(const mv_context *context, mv_machine *machine, const mv_job *job)
{
    mv_cached_image image = {.image = job->image, .size_gb = job->spec.image_gb};
    int index = find_image(machine, job->image);
    if (index >= 0 && (guint)index == machine->images->len - 1)
        return;
    if (index >= 0)
        g_array_remove_index(machine->images, (guint)index);
    g_array_append_val(machine->images, image);
    const mv_machine_type *type = mv_machine_type_of(context, machine);
    if (type)
        evict_images(type, machine);
}

/* --- commands --- */

void mv_machine_request_command(mv_agents *agents, mv_machine *machine)
{
    machine->command_requested = true;
    if (!machine->in_command_queue)
        g_ptr_array_add(agents->command_queue, machine);
    machine->in_command_queue = true;
}

void mv_machine_forget_command(mv_agents *agents, mv_machine *machine)
{
    if (machine->command_id)
        g_hash_table_remove(agents->commands_in_flight, &machine->command_id);
    machine->command_id = 0;
}
