/**
 * Answers queries about jobs: whether a submitted job can run at all, which shard it belongs to,
 * and the progress of an accepted job.
 */
#include "coordination/controller/controller_internal.h"

#include <string.h>

/* --- before a job is accepted --- */

static bool is_within_quota(const mv_team_settings *team, const mv_job_spec *spec)
{
    /* All replicas of a service run at once. Of any other job, at least one task has to fit. */
    const double at_once = spec->service ? spec->tasks : 1;
    bool cores_fit =
        team->cpus_max <= 0 || at_once * spec->cores <= team->cpus_max + MV_RESOURCE_EPSILON;
    bool gpus_fit =
        team->gpus_max <= 0 || at_once * spec->gpus <= team->gpus_max + MV_RESOURCE_EPSILON;
    return cores_fit && gpus_fit;
}

mv_fit_result mv_controller_job_fits(const mv_controller *controller, const mv_job_spec *spec)
{
    const mv_context *context = &controller->context;
    const mv_team_settings *team = mv_settings_find_team(context->settings, spec->team_name);
    if (!team || !is_within_quota(team, spec))
        return MV_FIT_IMPOSSIBLE;
    if (!mv_controller_is_ready(controller))
        return MV_FIT_UNKNOWN;
    return mv_machine_catalog_mask(&context->catalog, spec) ? MV_FIT_POSSIBLE : MV_FIT_IMPOSSIBLE;
}

static bool is_among(const mv_job_spec *spec, size_t count, const char *type_name)
{
    for (size_t i = 0; i < count; i++)
        if (strcmp(spec->type_names[i], type_name) == 0)
            return true;
    return false;
}

bool mv_controller_trim_job_record(const mv_controller *controller, mv_job_spec *spec)
{
    const mv_context *context = &controller->context;
    if (mv_job_record_bytes(spec) <= context->limits.value_bytes)
        return true;
    size_t retained = 0;
    for (size_t i = 0; i < spec->type_name_count; i++) {
        const char *type_name = spec->type_names[i];
        bool exists = mv_machine_catalog_find(&context->catalog, type_name) >= 0;
        if (exists && !is_among(spec, retained, type_name))
            memmove(spec->type_names[retained++], type_name, MV_NAME_SIZE);
    }
    spec->type_name_count = retained;
    return retained && mv_job_record_bytes(spec) <= context->limits.value_bytes;
}

static unsigned count_granted_shards(const mv_context *context)
{
    unsigned count = 0;
    while (count < context->shards->len &&
           ((mv_shard *)g_ptr_array_index(context->shards, count))->revision)
        count++;
    return count;
}

static bool has_quota(const mv_team_settings *team)
{
    return team->cpus > 0 || team->cpus_max > 0 || team->gpus > 0 || team->gpus_max > 0;
}

/* All jobs of a team with a limit or a guarantee belong to the team's home shard, because a single
 * owner has to enforce both. The jobs of a team with neither are spread over all shards by their
 * ids, because no total over the team's jobs has to be kept. */
bool mv_controller_home_shard(const mv_controller *controller, const mv_job_spec *spec,
                              unsigned *shard)
{
    const mv_context *context = &controller->context;
    const mv_team *team = mv_context_team(context, spec->team_name);
    const unsigned granted = count_granted_shards(context);
    if (!team || !team->home_shard || granted == 0)
        return false;
    *shard = has_quota(team->settings) ? team->home_shard->index : g_str_hash(spec->id) % granted;
    return true;
}

/* --- jobs that were accepted --- */

void mv_controller_job_status(const mv_controller *controller, const char *id,
                              mv_job_summary *summary)
{
    const mv_job *job = mv_job_table_find(&controller->jobs, id);
    *summary = (mv_job_summary){0};
    if (!job)
        return;
    summary->active = true;
    summary->revision = job->revision;
    summary->tasks = job->spec.tasks;
    summary->home_shard = job->home_shard->index;
    summary->tasks_done = job->tasks_done;
    summary->owned = mv_job_is_owned(&controller->context, job);
    summary->tasks_running = summary->owned ? job->tasks_running : job->recorded_running;
    summary->chunk_count = job->chunk_count;
}
