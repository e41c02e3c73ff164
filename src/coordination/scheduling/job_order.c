#include "coordination/scheduling/job_order.h"

#include "coordination/jobs/runtime_estimator.h"

#include <string.h>

/* --- collecting --- */

/* If the job has pending tasks and only one machine type can run them, marks that type as scarce in
 * the job's shard, so that other jobs prefer other types. */
static void mark_scarce_type(const mv_context *context, mv_job *job)
{
    uint32_t types = mv_job_type_mask(context, job);
    bool only_one = types && !(types & (types - 1));
    if (job->pending->len && only_one)
        job->home_shard->scarce_types |= types;
}

GPtrArray *mv_scheduler_collect_jobs(mv_scheduler *scheduler)
{
    mv_context *context = scheduler->context;
    GPtrArray *jobs = g_ptr_array_new();
    context->counters.tasks_pending = context->counters.tasks_running = 0;
    for (guint i = 0; i < context->shards->len; i++)
        ((mv_shard *)g_ptr_array_index(context->shards, i))->scarce_types = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, scheduler->jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mv_job *job = value;
        if (!mv_job_is_owned(context, job))
            continue;
        g_ptr_array_add(jobs, job);
        mark_scarce_type(context, job);
        context->counters.tasks_pending += job->pending->len;
        context->counters.tasks_running += job->tasks_running;
    }
    return jobs;
}

/* --- ranking --- */

static gint compare_arrival(gconstpointer left, gconstpointer right)
{
    const mv_job *job = *(mv_job *const *)left, *other = *(mv_job *const *)right;
    if (job->accepted_at != other->accepted_at)
        return job->accepted_at < other->accepted_at ? -1 : 1;
    return strcmp(job->spec.id, other->spec.id);
}

static void reset_team_sums(mv_team *team)
{
    team->latency_sensitive_cores = team->preemptible_cores = 0;
    team->reserved_cores = team->service_cores = 0;
}

/* Adds the cores that a latency-sensitive job uses now to the sum of its team. When the job is
 * ranked for the first time, its size also enters the smoothed usual size of the team's
 * latency-sensitive jobs. */
static void update_latency_sensitive_use(mv_job *job)
{
    mv_team *team = job->team;
    if (!job->latency_sensitive)
        return;
    team->latency_sensitive_priority = job->spec.priority;
    team->latency_sensitive_cores += job->tasks_placed * job->spec.cores;
    if (!job->counted_in_usual_size) {
        double job_cores = job->spec.cores * job->spec.tasks;
        team->latency_sensitive_job_cores +=
            MV_LATENCY_SENSITIVE_SMOOTHING * (job_cores - team->latency_sensitive_job_cores);
    }
    job->counted_in_usual_size = true;
}

/* Adds the job's cores to the team's cores that latency-sensitive work of the same team can preempt
 * with little loss, if the job has a lower priority and writes checkpoints. */
static void update_preemptible_use(const mv_job *job)
{
    bool gives_way = job->spec.priority > job->team->latency_sensitive_priority;
    if (job->spec.checkpoint_interval_s > 0 && gives_way)
        job->team->preemptible_cores += job->tasks_placed * job->spec.cores;
}

/* Returns whether a job is within its team's guarantee: the unfinished tasks of this job and of all
 * earlier jobs of the team must fit into the guaranteed cores. `*team_cores` holds the cores of the
 * earlier jobs; the cores of this job are added to them. */
static bool is_guaranteed(const mv_job *job, double *team_cores)
{
    const double guaranteed_cores = job->team->settings->cpus;
    *team_cores += job->spec.cores * (job->spec.tasks - job->tasks_done);
    return guaranteed_cores > 0 && *team_cores <= guaranteed_cores + MV_RESOURCE_EPSILON;
}

static void rank_job(mv_scheduler *scheduler, mv_job *job)
{
    const mv_context *context = scheduler->context;
    double runtime_s = mv_job_estimated_runtime(scheduler->jobs, job);
    job->deadline_unreachable = job->deadline_at < context->clock.now + runtime_s;
    job->starvation_level = mv_job_starvation_level(context, job);
    job->team->service_cores += job->spec.service ? job->tasks_placed * job->spec.cores : 0;
    job->pending_core_seconds = job->spec.cores * job->pending->len * runtime_s;
    update_latency_sensitive_use(job);
    update_preemptible_use(job);
}

void mv_scheduler_rank_jobs(mv_scheduler *scheduler, GPtrArray *jobs)
{
    const mv_context *context = scheduler->context;
    const size_t team_count = context->settings->team_count;
    g_autofree double *cores_of_team = g_new0(double, team_count);
    g_ptr_array_sort(jobs, compare_arrival);
    scheduler->largest_task_cores = 0;
    for (size_t i = 0; i < team_count; i++)
        reset_team_sums(&context->teams[i]);
    for (guint i = 0; i < jobs->len; i++) {
        mv_job *job = g_ptr_array_index(jobs, i);
        scheduler->largest_task_cores = MAX(scheduler->largest_task_cores, job->spec.cores);
        job->guaranteed = is_guaranteed(job, &cores_of_team[job->team - context->teams]);
        rank_job(scheduler, job);
    }
}

/* --- sorting --- */

bool mv_job_precedes_all(const mv_job *job)
{
    return job->spec.service && (job->guaranteed || job->spec.priority == MV_PRIORITY_PROD);
}

static gint compare_claims(gconstpointer left, gconstpointer right)
{
    const mv_job *job = *(mv_job *const *)left, *other = *(mv_job *const *)right;
    if (mv_job_precedes_all(job) != mv_job_precedes_all(other))
        return mv_job_precedes_all(job) ? -1 : 1;
    if ((job->starvation_level > 1) != (other->starvation_level > 1))
        return job->starvation_level > 1 ? -1 : 1;
    if (job->guaranteed != other->guaranteed)
        return job->guaranteed ? -1 : 1;
    if (job->spec.priority != other->spec.priority)
        return job->spec.priority < other->spec.priority ? -1 : 1;
    if (job->starvation_level != other->starvation_level)
        return job->starvation_level ? -1 : 1;
    if (job->deadline_unreachable != other->deadline_unreachable)
        return job->deadline_unreachable ? 1 : -1;
    if (!job->deadline_unreachable && job->pending_core_seconds != other->pending_core_seconds)
        return job->pending_core_seconds < other->pending_core_seconds ? -1 : 1;
    return compare_arrival(left, right);
}

void mv_scheduler_sort_by_claim(GPtrArray *jobs)
{
    g_ptr_array_sort(jobs, compare_claims);
}
