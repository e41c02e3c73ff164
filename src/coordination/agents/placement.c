#include "coordination/agents/placement.h"

#include <string.h>

int mv_placement_find(const mv_machine *machine, const char *job_id, uint32_t task)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->task == task && strcmp(placement->job_id, job_id) == 0)
            return (int)i;
    }
    return -1;
}

void mv_placement_add(mv_agents *agents, mv_machine *machine, mv_job *job, mv_placement *placement)
{
    const mv_context *context = agents->context;
    g_strlcpy(placement->job_id, job->spec.id, sizeof placement->job_id);
    placement->agent_epoch =
        machine->agent_epoch; // NOLINT(clang-analyzer-core.NullDereference): no caller passes NULL
    placement->team = job->team;
    placement->cores = job->spec.cores;
    placement->gpus = job->spec.gpus;
    placement->ram_gb = job->spec.ram_gb;
    placement->service = job->spec.service;
    placement->placed_at = context->clock.now;
    placement->job = job;
    /* The first task of a job that has starved severely is never preempted: without this exemption
     * the task was preempted within a second, placed again and preempted again without end. */
    placement->preemption_exempt = mv_job_starvation_level(context, job) > 1;
    mv_resources_add_placement(&machine->allocated, placement, 1);
    placement->team->used_cores += placement->cores;
    placement->team->used_gpus += placement->gpus;
    g_ptr_array_add(machine->placements, placement);
    job->task_states[placement->task] = MV_TASK_STATE_PLACED;
    mv_job_count_in_zone(job, machine->zone, 1);
    job->tasks_placed++;
}

static void release_resources(const mv_context *context, mv_machine *machine,
                              const mv_placement *placement)
{
    placement->team->used_cores -= placement->cores;
    placement->team->used_gpus -= placement->gpus;
    mv_resources_add_placement(&machine->allocated, placement, -1);
    if (placement->stopping) {
        mv_resources_add_placement(&machine->releasing, placement, -1);
        placement->team->stopping_cores -= placement->cores;
    }
    /* When the last placement ends, the sums are set to 0, because adding and subtracting fractions
     * leaves rounding errors. */
    if (machine->placements->len == 1) {
        machine->allocated = machine->releasing = (mv_resources){0};
        machine->idle_since = context->clock.now;
    }
}

void mv_placement_remove(mv_agents *agents, mv_machine *machine, guint index, bool requeue)
{
    mv_context *context = agents->context;
    const mv_placement *placement = g_ptr_array_index(machine->placements, index);
    mv_job *job = placement->job;
    release_resources(context, machine, placement);
    if (job) {
        mv_job_count_in_zone(job, machine->zone, -1);
        job->tasks_placed--;
        job->tasks_running -= placement->running_at > 0;
        if (requeue && job->task_states[placement->task] == MV_TASK_STATE_PLACED) {
            mv_job_task_requeue(context, job, placement->task);
            context->counters.requeued++;
        }
    }
    g_ptr_array_remove_index_fast(machine->placements, index);
    context->round_requested = true;
}

void mv_placement_stop(mv_agents *agents, mv_machine *machine, mv_placement *placement)
{
    if (!placement->stopping) {
        placement->stopping = true;
        mv_resources_add_placement(&machine->releasing, placement, 1);
        placement->team->stopping_cores += placement->cores;
    }
    mv_machine_request_command(agents, machine);
}

void mv_placement_cancel(mv_agents *agents, mv_machine *machine, mv_placement *placement)
{
    if (SAFETY_CHECK(CANCELLED, false))
        return;
    placement->skip_checkpoint = true;
    machine->probe_requested = machine->probe_requested || !placement->reported;
    mv_placement_stop(agents, machine, placement);
}

static unsigned cancel_on_machine(mv_agents *agents, mv_machine *machine, const mv_job *job)
{
    unsigned cancelled = 0;
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->job != job)
            continue;
        mv_placement_cancel(agents, machine, placement);
        cancelled++;
    }
    return cancelled;
}

void mv_placements_cancel(mv_agents *agents, mv_job *job)
{
    unsigned remaining = job->tasks_placed;
    for (guint i = 0; i < agents->rotation->len && remaining; i++) {
        mv_machine *machine = g_ptr_array_index(agents->rotation, i);
        if (machine->shard == job->home_shard)
            remaining -= cancel_on_machine(agents, machine, job);
    }
}

static void orphan_on_machine(mv_agents *agents, mv_machine *machine, mv_job *job)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->job != job)
            continue;
        placement->job = NULL;
        placement->job_ended_at = agents->context->clock.now;
        job->tasks_placed--;
        mv_machine_request_command(agents, machine);
    }
}

void mv_placements_orphan(mv_agents *agents, mv_job *job)
{
    for (guint i = 0; i < agents->rotation->len && job->tasks_placed; i++) {
        mv_machine *machine = g_ptr_array_index(agents->rotation, i);
        if (machine->shard == job->home_shard)
            orphan_on_machine(agents, machine, job);
    }
}
