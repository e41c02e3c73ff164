#include "coordination/scheduling/quota.h"

#include "coordination/agents/machine.h"

static void reset_unknown_use(const mv_context *context)
{
    for (guint i = 0; i < context->shards->len; i++) {
        mv_shard *shard = g_ptr_array_index(context->shards, i);
        shard->unknown_use = (mv_resources){0};
    }
}

void mv_quota_count_unknown_use(mv_scheduler *scheduler)
{
    const mv_context *context = scheduler->context;
    const GPtrArray *rotation = scheduler->agents->rotation;
    g_ptr_array_set_size(scheduler->unconfirmed, 0);
    reset_unknown_use(context);
    for (guint i = 0; i < rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(rotation, i);
        const mv_machine_type *type = mv_machine_type_of(context, machine);
        bool unconfirmed = mv_machine_may_hold_tasks(machine);
        if (unconfirmed)
            g_ptr_array_add(scheduler->unconfirmed, machine);
        bool all_known = !unconfirmed && !machine->unknown_tasks;
        if (!machine->shard || !type || SAFETY_CHECK(UNKNOWN_USE, all_known))
            continue;
        machine->shard->unknown_use.cores += type->cores;
        machine->shard->unknown_use.gpus += type->gpus;
    }
}

/* Returns the cores of the team's limit that a job must leave free as headroom for the team's
 * latency-sensitive jobs: the usual size of such a job, at most MV_HEADROOM_SHARE_MAX of the limit,
 * less the cores that such jobs use now. Without headroom, most latency-sensitive work waited
 * because the limit of its team was full. The cores of the team's preemptible tasks with
 * checkpoints are subtracted too, because preemption frees those cores when latency-sensitive work
 * needs them. When headroom was left free in addition to those cores, work with checkpoints waited
 * for MV_STARVATION_TIMEOUT_S. Latency-sensitive jobs, services and starving jobs leave nothing
 * free. */
static double headroom_cores(const mv_context *context, const mv_job *job)
{
    const mv_team *team = job->team;
    if (job->latency_sensitive || job->spec.service || mv_job_is_starving(context, job))
        return 0;
    double max_cores = MV_HEADROOM_SHARE_MAX * team->settings->cpus_max;
    double headroom = MIN(team->latency_sensitive_job_cores, max_cores);
    return MAX(0, headroom - team->latency_sensitive_cores - team->preemptible_cores);
}

bool mv_quota_allows(const mv_context *context, const mv_job *job)
{
    const mv_team *team = job->team;
    const mv_team_settings *quota = team->settings;
    const mv_resources *unknown = &job->home_shard->unknown_use;
    double cores = team->used_cores + unknown->cores + team->reserved_cores + job->spec.cores +
                   headroom_cores(context, job);
    double gpus = team->used_gpus + unknown->gpus + job->spec.gpus;
    bool cores_fit = quota->cpus_max <= 0 || cores <= quota->cpus_max + MV_RESOURCE_EPSILON;
    bool gpus_fit = quota->gpus_max <= 0 || gpus <= quota->gpus_max + MV_RESOURCE_EPSILON;
    return SAFETY_CHECK(QUOTA, cores_fit && gpus_fit);
}

bool mv_quota_is_exhausted(const mv_job *job)
{
    const mv_team *team = job->team;
    const double max_cores = team->settings->cpus_max;
    double future_cores = team->used_cores - team->stopping_cores + team->nominated_cores;
    double needed_cores = future_cores + job->home_shard->unknown_use.cores + job->spec.cores;
    return max_cores > 0 && needed_cores > max_cores + MV_RESOURCE_EPSILON;
}
