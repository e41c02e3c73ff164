#include "coordination/scheduling/defragmentation.h"

#include "coordination/agents/machine.h"
#include "coordination/agents/placement.h"
#include "coordination/jobs/runtime_estimator.h"
#include "coordination/scheduling/binding.h"
#include "telemetry/log.h"

typedef struct {
    mv_machine *machine;
    double wasted_price;
} drain_candidate;

/* Use of the cores of a shard's schedulable machines at one moment. Draining machines do not count.
 */
typedef struct {
    double free_cores, used_cores;
    GArray *candidates; /* drain_candidate: machines that may be drained, most wasteful first */
} shard_usage;

static double machine_cores(const mv_scheduler *scheduler, const mv_machine *machine)
{
    const mv_machine_type *type = mv_machine_type_of(scheduler->context, machine);
    return type ? type->cores : 0;
}

/* Returns the price per hour of the unused cores of a machine. */
static double wasted_price(const mv_scheduler *scheduler, const mv_machine *machine)
{
    return mv_machine_price_per_core(scheduler->context, machine) *
           mv_machine_available(scheduler->context, machine).cores;
}

/* Returns whether a machine may be drained. A machine with a replica may not, because replicas do
 * not end. A machine with the first task of a job that had starved may not, because that task must
 * not be stopped. */
static bool can_drain(const mv_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->service || placement->preemption_exempt)
            return false;
    }
    return true;
}

static gint compare_waste(gconstpointer left, gconstpointer right)
{
    const drain_candidate *candidate = left, *other = right;
    if (candidate->wasted_price != other->wasted_price)
        return candidate->wasted_price > other->wasted_price ? -1 : 1;
    guint index = candidate->machine->rotation_index;
    guint other_index = other->machine->rotation_index;
    return index < other_index ? -1 : index > other_index;
}

static void measure_machine(const mv_scheduler *scheduler, mv_machine *machine, shard_usage *usage)
{
    if (machine->draining)
        return;
    usage->free_cores += mv_machine_available(scheduler->context, machine).cores;
    usage->used_cores += machine->allocated.cores;
    drain_candidate candidate = {.machine = machine,
                                 .wasted_price = wasted_price(scheduler, machine)};
    if (candidate.wasted_price > 0 && can_drain(machine))
        g_array_append_val(usage->candidates, candidate);
}

static shard_usage measure_shard(const mv_scheduler *scheduler, const mv_shard *shard)
{
    shard_usage usage = {.candidates = g_array_new(FALSE, FALSE, sizeof(drain_candidate))};
    for (guint i = 0; i < scheduler->agents->rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(scheduler->agents->rotation, i);
        if (machine->shard == shard && mv_machine_is_schedulable(scheduler->context, machine))
            measure_machine(scheduler, machine, &usage);
    }
    g_array_sort(usage.candidates, compare_waste);
    return usage;
}

static void set_draining(const mv_scheduler *scheduler, mv_machine *machine, bool draining)
{
    machine->draining = draining;
    machine->draining_since = scheduler->context->clock.now;
    mv_debug("machine_drain_changed", "machine=%s draining=%d cores=%.1f", machine->id, draining,
             machine->allocated.cores);
}

static bool got_work_while_draining(const mv_machine *machine)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->placed_at > machine->draining_since)
            return true;
    }
    return false;
}

/* Ends the draining of each machine of the shard that got a task while draining: all other machines
 * were full, so the shard needs the machine. */
static void undrain_needed(const mv_scheduler *scheduler, const mv_shard *shard)
{
    for (guint i = 0; i < scheduler->agents->rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(scheduler->agents->rotation, i);
        if (machine->shard != shard || !machine->draining)
            continue;
        if (got_work_while_draining(machine))
            set_draining(scheduler, machine, false);
    }
}

/* Returns the seconds that the slowest machine type takes to boot. */
static double longest_boot_s(const mv_scheduler *scheduler)
{
    const mv_machine_catalog *catalog = &scheduler->context->catalog;
    double longest_s = 0;
    for (guint i = 0; i < mv_machine_catalog_size(catalog); i++)
        longest_s = MAX(longest_s, mv_machine_catalog_get(catalog, i)->boot_s);
    return longest_s;
}

/* Returns whether the shard has got no job for longer than the slowest machine type takes to boot.
 * While jobs keep arriving, a machine that was returned to the cloud is soon needed again, and a
 * new machine has to boot and to fetch the images first. Draining machines at any time made the
 * fleet cheaper, but a guarantee was met less often: in the simulation of the day plan for Pine
 * Bluff's fleet, the score of met objectives (1 is best) fell from 0.733 to 0.714. */
static bool arrivals_have_stopped(const mv_scheduler *scheduler, const mv_shard *shard)
{
    return scheduler->context->clock.now > shard->last_job_at + longest_boot_s(scheduler);
}

/* Drains the machines with the most expensive unused cores, as long as the other machines have room
 * for all cores in use plus the share MV_DRAIN_HEADROOM_SHARE. */
static void choose_machines_to_drain(mv_scheduler *scheduler, mv_shard *shard)
{
    shard_usage usage = measure_shard(scheduler, shard);
    double needed = usage.used_cores * (1 + MV_DRAIN_HEADROOM_SHARE);
    double capacity = usage.free_cores + usage.used_cores;
    for (guint i = 0; i < usage.candidates->len && i < MV_DRAIN_BATCH; i++) {
        mv_machine *machine = g_array_index(usage.candidates, drain_candidate, i).machine;
        capacity -= machine_cores(scheduler, machine);
        if (capacity < needed)
            break;
        set_draining(scheduler, machine, true);
        shard->any_drained = true;
    }
    g_array_unref(usage.candidates);
}

/* Returns whether a running task with checkpoints should move off a draining machine. The remaining
 * run time must exceed MV_MOVE_REMAINING_FACTOR times the time that a checkpoint takes. The task
 * must have run for longer than MV_START_COUNTS_AFTER_S, because the start of a task that is
 * stopped sooner does not count. */
static bool should_move(const mv_scheduler *scheduler, const mv_placement *placement)
{
    const mv_job *job = placement->job;
    if (!job || job->spec.checkpoint_interval_s <= 0)
        return false;
    bool is_running = placement->reported && placement->running_at > 0 && !placement->stopping;
    if (!is_running || placement->preemption_exempt)
        return false;
    double ran_s = scheduler->context->clock.now - placement->running_at;
    double remaining_s = mv_job_estimated_runtime(scheduler->jobs, job) - ran_s;
    return ran_s > MV_START_COUNTS_AFTER_S &&
           remaining_s > MV_MOVE_REMAINING_FACTOR * job->spec.checkpoint_cost_s;
}

/* Moves tasks with checkpoints off a draining machine. If a machine that is not draining has room
 * for a task and has cached the task's image, then that room is nominated and the task is stopped;
 * after the stop, a round places the task as usual. Returns the number of tasks that should move,
 * including tasks for which no other machine was found. */
static unsigned move_tasks(mv_scheduler *scheduler, mv_machine *machine)
{
    unsigned tried = 0;
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (!should_move(scheduler, placement))
            continue;
        tried++;
        mv_machine *target = mv_scheduler_find_machine(scheduler, placement->job);
        if (!target || target->draining || !mv_machine_has_image(target, placement->job->image))
            continue;
        mv_machine_nominate(scheduler->agents, target, placement->job);
        mv_placement_stop(scheduler->agents, machine, placement);
        mv_debug("task_moved", "task=%s/%u from=%s to=%s", placement->job_id, placement->task,
                 machine->id, target->id);
    }
    return tried;
}

static void undrain_all(const mv_scheduler *scheduler, mv_shard *shard)
{
    if (!shard->any_drained)
        return;
    shard->any_drained = false;
    for (guint i = 0; i < scheduler->agents->rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(scheduler->agents->rotation, i);
        if (machine->shard == shard && machine->draining)
            set_draining(scheduler, machine, false);
    }
}

void mv_defragment(mv_scheduler *scheduler, mv_shard *shard)
{
    if (!arrivals_have_stopped(scheduler, shard)) {
        undrain_all(scheduler, shard);
        return;
    }
    if (shard->any_drained)
        undrain_needed(scheduler, shard);
    choose_machines_to_drain(scheduler, shard);
    unsigned tried = 0;
    for (guint i = 0; i < scheduler->agents->rotation->len && tried < MV_MOVE_BATCH; i++) {
        mv_machine *machine = g_ptr_array_index(scheduler->agents->rotation, i);
        if (machine->draining && machine->shard == shard &&
            mv_machine_is_schedulable(scheduler->context, machine))
            tried += move_tasks(scheduler, machine);
    }
}
