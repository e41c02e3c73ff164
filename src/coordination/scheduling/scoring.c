#include "coordination/scheduling/scoring.h"

#include "coordination/agents/machine.h"

/* --- objectives and images --- */

double mv_job_start_objective_s(const mv_context *context, const mv_job *job)
{
    const mv_settings *settings = context->settings;
    double objective_s = job->start_objective_s;
    for (size_t i = 0; job->guaranteed && i < settings->objective_count; i++) {
        const mv_objective *objective = &settings->objectives[i];
        if (objective->kind == MV_OBJECTIVE_GUARANTEE)
            objective_s = MIN(objective_s, objective->within_s);
    }
    return objective_s;
}

bool mv_job_is_latency_sensitive(const mv_context *context, const mv_job *job)
{
    return mv_job_start_objective_s(context, job) < MV_LATENCY_SENSITIVE_S;
}

static double image_fetch_s(const mv_context *context, const mv_job *job, const mv_machine *machine)
{
    const mv_machine_type *type = mv_machine_type_of(context, machine);
    return type && type->image_gb_per_s > 0 ? job->spec.image_gb / type->image_gb_per_s : 0;
}

/* The wait is limited in three ways. The operators set a limit (`image_wait_s`). A wait that is
 * longer than the fetch of the image on this machine gains nothing. Work that has to start within
 * seconds may spend only the share MV_IMAGE_WAIT_SHARE of its start objective on the wait. */
double mv_image_wait_s(const mv_context *context, const mv_job *job, const mv_machine *machine)
{
    double share_s = MV_IMAGE_WAIT_SHARE * mv_job_start_objective_s(context, job);
    double limit_s = MIN(context->settings->operator_settings.image_wait_s, share_s);
    return MIN(limit_s, image_fetch_s(context, job, machine));
}

double mv_image_fetch_remaining_s(const mv_context *context, const mv_job *job,
                                  const mv_machine *machine)
{
    if (mv_machine_has_image(machine, job->image))
        return 0;
    double remaining_s = image_fetch_s(context, job, machine);
    for (guint i = 0; i < machine->placements->len; i++) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        bool fetches_image =
            placement->job && placement->running_at == 0 && placement->job->image == job->image;
        if (!fetches_image)
            continue;
        double fetched_s = context->clock.now - placement->placed_at;
        remaining_s = MIN(remaining_s, MAX(0, remaining_s - fetched_s));
    }
    return remaining_s;
}

/* --- scores --- */

static unsigned count_replicas_of(const mv_job *job, const mv_machine *machine)
{
    unsigned count = 0;
    for (guint i = 0; i < machine->placements->len; i++)
        count += ((const mv_placement *)g_ptr_array_index(machine->placements, i))->job == job;
    return count;
}

static bool job_failed_on_machine(const mv_job *job, const mv_machine *machine)
{
    return g_hash_table_size(machine->failed_jobs) &&
           g_hash_table_contains(machine->failed_jobs, job->spec.id);
}

/* Returns whether some pending job of the shard can run only on the type of this machine, while
 * this job can also run on a type that no pending job depends on. */
static bool is_scarce_for_other_jobs(const mv_job *job, const mv_machine *machine)
{
    uint32_t scarce = job->home_shard->scarce_types;
    return (scarce >> machine->type_index & 1) && (job->type_mask & ~scarce);
}

static void score_for_service(const mv_context *context, const mv_job *job,
                              const mv_machine *machine, double fetch_s, mv_placement_score *score)
{
    score->spot = machine->spot;
    score->replicas_here = count_replicas_of(job, machine);
    score->concentrates_replicas = score->replicas_here >= (job->spec.tasks + 1) / 2;
    score->slow_image_fetch = fetch_s > mv_job_start_objective_s(context, job);
}

mv_placement_score mv_score_machine(const mv_scheduler *scheduler, const mv_job *job,
                                    const mv_machine *machine)
{
    const mv_context *context = scheduler->context;
    const bool latency_sensitive = mv_job_is_latency_sensitive(context, job);
    const bool fetch_matters = latency_sensitive || job->spec.service;
    const bool has_image = mv_machine_has_image(machine, job->image);
    double fetch_s = fetch_matters ? mv_image_fetch_remaining_s(context, job, machine) : 0;
    mv_placement_score score = {
        .draining = machine->draining && !job->spec.service,
        .unreliable = mv_machine_is_slow(machine) || job_failed_on_machine(job, machine),
        .scarce_type = is_scarce_for_other_jobs(job, machine),
        .cached_image_gb = has_image ? MAX(job->spec.image_gb, MV_RESOURCE_EPSILON) : 0,
        .fetch_steps = latency_sensitive ? (int)(fetch_s / MV_FETCH_STEP_S) : 0,
    };
    if (job->spec.service)
        score_for_service(context, job, machine, fetch_s, &score);
    if (job->spec.cores < scheduler->largest_task_cores)
        score.cores_left = mv_machine_available(context, machine).cores;
    return score;
}

bool mv_score_is_better(const mv_placement_score *score, const mv_placement_score *other)
{
    if (score->unreliable != other->unreliable)
        return other->unreliable;
    if (score->draining != other->draining)
        return other->draining;
    if (score->scarce_type != other->scarce_type)
        return other->scarce_type;
    if (score->spot != other->spot)
        return other->spot;
    if (score->concentrates_replicas != other->concentrates_replicas)
        return other->concentrates_replicas;
    if (score->slow_image_fetch != other->slow_image_fetch)
        return other->slow_image_fetch;
    if (score->replicas_here != other->replicas_here)
        return score->replicas_here < other->replicas_here;
    if (score->cached_image_gb != other->cached_image_gb)
        return score->cached_image_gb > other->cached_image_gb;
    if (score->fetch_steps != other->fetch_steps)
        return score->fetch_steps < other->fetch_steps;
    return score->cores_left < other->cores_left - MV_RESOURCE_EPSILON;
}
