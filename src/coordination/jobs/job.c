#include "coordination/jobs/job.h"

#include "telemetry/log.h"

#include <string.h>

/* The pause after a failure doubles with each consecutive failure of the job, but at most this many
 * times (see MV_RETRY_BASE_S). */
#define BACKOFF_DOUBLINGS_MAX 6u

static void free_job(gpointer data)
{
    mv_job *job = data;
    mv_job_spec_clear(&job->spec);
    g_free(job->task_states);
    g_free(job->chunk_dirty);
    g_hash_table_unref(job->chunk_revisions);
    g_array_unref(job->pending);
    g_array_unref(job->tasks_in_zone);
    g_free(job);
}

void mv_job_table_init(mv_job_table *jobs, mv_context *context)
{
    *jobs = (mv_job_table){.context = context};
    jobs->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
    jobs->orphaned_chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    jobs->completing = g_hash_table_new(g_int64_hash, g_int64_equal);
    jobs->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    jobs->estimates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    /* Each write of a completion record requires the record's own revision, so the next transaction
     * need not wait until the state cache shows the previous one. */
    jobs->flush_transaction.cache_not_awaited = true;
    jobs->gc_transaction.cache_not_awaited = true;
    if (context->settings->operator_settings.launch_gate)
        jobs->unrecorded = mv_completions_new(MV_COMPLETIONS_BYTES_MAX);
}

void mv_job_table_clear(mv_job_table *jobs)
{
    mv_completions_free(jobs->unrecorded);
    g_hash_table_unref(jobs->completing);
    g_hash_table_unref(jobs->by_id);
    g_hash_table_unref(jobs->orphaned_chunks);
    g_hash_table_unref(jobs->images);
    g_hash_table_unref(jobs->estimates);
}

mv_job *mv_job_table_find(const mv_job_table *jobs, const char *id)
{
    return g_hash_table_lookup(jobs->by_id, id);
}

bool mv_objective_applies(const mv_objective *objective, mv_objective_kind kind, const mv_job *job)
{
    return objective->kind == kind && strcmp(objective->class_name, job->spec.class_name) == 0;
}

/* Copies the objectives of the job's class into the job, so that they are looked up only once. */
static void apply_objectives(const mv_settings *settings, mv_job *job)
{
    double due_s = job->spec.deadline_s < 0 ? G_MAXDOUBLE : job->spec.deadline_s;
    job->start_objective_s = G_MAXDOUBLE;
    for (size_t i = 0; i < settings->objective_count; i++) {
        const mv_objective *objective = &settings->objectives[i];
        if (mv_objective_applies(objective, MV_OBJECTIVE_FINISHED, job))
            due_s = MIN(due_s, objective->within_s);
        if (mv_objective_applies(objective, MV_OBJECTIVE_WAIT, job))
            job->start_objective_s = MIN(job->start_objective_s, objective->within_s);
    }
    /* A service never counts as latency-sensitive, because the headroom that a team keeps free in
     * its limit for latency-sensitive work is meant for jobs that end. */
    job->latency_sensitive = job->start_objective_s < G_MAXDOUBLE && !job->spec.service;
    if (job->spec.service)
        job->start_objective_s = MIN(job->start_objective_s, MV_SERVICE_START_OBJECTIVE_S);
    job->deadline_at = due_s == G_MAXDOUBLE ? due_s : job->accepted_at + due_s;
}

mv_job *mv_job_add(mv_job_table *jobs, const mv_job_spec *spec, unsigned home_shard,
                   double accepted_at, uint64_t revision)
{
    mv_context *context = jobs->context;
    mv_job *job = g_new0(mv_job, 1);
    job->spec = *spec;
    job->revision = revision;
    job->home_shard = mv_context_shard(context, home_shard);
    job->home_shard->last_job_at = context->clock.now;
    job->team = mv_context_team(context, spec->team_name);
    job->image = mv_intern_name(jobs->images, spec->image_name);
    job->accepted_at = mv_clock_steady_from_wall(&context->clock, accepted_at);
    job->tasks_in_zone = g_array_new(FALSE, TRUE, sizeof(unsigned));
    job->task_states = g_new0(uint8_t, spec->tasks);
    job->pending = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    job->chunk_revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    apply_objectives(context->settings, job);
    mv_job_reset(context, job);
    g_hash_table_insert(jobs->by_id, job->spec.id, job);
    return job;
}

void mv_job_remove(mv_job_table *jobs, mv_job *job)
{
    if (job->tasks_done == job->spec.tasks)
        jobs->context->counters.jobs_finished++;
    if (jobs->unrecorded)
        mv_completions_remove_job(jobs->unrecorded, job->spec.id);
    if (job->completing_transaction)
        g_hash_table_remove(jobs->completing, &job->completing_transaction);
    g_hash_table_remove(jobs->by_id, job->spec.id);
}

void mv_job_reset(const mv_context *context, mv_job *job)
{
    g_array_set_size(job->pending, 0);
    g_array_set_size(job->tasks_in_zone, 0);
    job->tasks_placed = job->tasks_running = 0;
    for (uint32_t i = job->spec.tasks; i-- > 0;) {
        if (job->task_states[i] == MV_TASK_STATE_PLACED)
            job->task_states[i] = MV_TASK_STATE_PENDING;
        if (job->task_states[i] == MV_TASK_STATE_PENDING && !job->cancelling)
            g_array_append_val(job->pending, i);
    }
    job->completing = false;
    job->ready_at = context->clock.now;
}

bool mv_job_is_owned(const mv_context *context, const mv_job *job)
{
    return job->team && mv_shard_is_owned(context, job->home_shard);
}

void mv_job_count_in_zone(mv_job *job, unsigned zone, int change)
{
    if (job->tasks_in_zone->len <= zone)
        g_array_set_size(job->tasks_in_zone, zone + 1);
    g_array_index(job->tasks_in_zone, unsigned, zone) += (unsigned)change;
}

void mv_job_task_not_pending(mv_job *job, uint32_t task)
{
    for (guint i = job->pending->len; i-- > 0;) {
        if (g_array_index(job->pending, uint32_t, i) != task)
            continue;
        g_array_remove_index(job->pending, i);
        return;
    }
}

/* Keeps the completion in memory until the state cache shows its record, also while another
 * controller owns the job. */
static void remember_completion(const mv_job_table *jobs, const mv_job *job, uint32_t task)
{
    if (jobs->unrecorded && !mv_completions_add(jobs->unrecorded, job->spec.id, task))
        mv_log_limited(MV_LOG_INFO, "completions_full", "job=%s", job->spec.id);
}

void mv_job_task_completed(mv_job_table *jobs, mv_job *job, uint32_t task)
{
    mv_task_state state = job->task_states[task];
    if (state == MV_TASK_STATE_DONE || state == MV_TASK_STATE_RECORDED)
        return;
    /* A copy of the task may still be placed on another machine. That copy is useless now, and the
     * controller stops it in the response to that machine's next heartbeat. */
    if (state == MV_TASK_STATE_PENDING)
        mv_job_task_not_pending(job, task);
    job->task_states[task] = MV_TASK_STATE_DONE;
    job->tasks_done++;
    job->failures = 0;
    job->chunk_dirty[task / job->tasks_per_chunk] = true;
    remember_completion(jobs, job, task);
    jobs->context->round_requested = true;
}

void mv_job_task_recorded(mv_job_table *jobs, mv_job *job, uint32_t task)
{
    if (job->task_states[task] == MV_TASK_STATE_RECORDED)
        return;
    if (job->task_states[task] != MV_TASK_STATE_DONE) {
        job->tasks_done++;
        mv_job_task_not_pending(job, task);
    }
    job->task_states[task] = MV_TASK_STATE_RECORDED;
    job->tasks_recorded++;
    if (jobs->unrecorded)
        mv_completions_remove_task(jobs->unrecorded, job->spec.id, task);
}

void mv_job_task_requeue(mv_context *context, mv_job *job, uint32_t task)
{
    job->task_states[task] = MV_TASK_STATE_PENDING;
    if (job->cancelling)
        return;
    if (job->pending->len == 0)
        job->ready_at = context->clock.now;
    g_array_append_val(job->pending, task);
    context->round_requested = true;
}

void mv_job_back_off(const mv_context *context, mv_job *job)
{
    job->failures++;
    double pause_s = MV_RETRY_BASE_S * (1 << MIN(job->failures, BACKOFF_DOUBLINGS_MAX));
    job->backoff_until = context->clock.now + MIN(pause_s, MV_RETRY_MAX_S);
}

void mv_job_begin_cancellation(const mv_context *context, mv_job *job)
{
    if (job->cancelling)
        return;
    job->cancelling = true;
    job->cancelling_since = context->clock.now;
    g_array_set_size(job->pending, 0);
}

bool mv_job_launches_are_over(const mv_job *job)
{
    return job->cancelling && job->home_shard->rebuilt && job->tasks_placed == job->tasks_running;
}

uint32_t mv_job_type_mask(const mv_context *context, mv_job *job)
{
    const mv_machine_catalog *catalog = &context->catalog;
    if (job->type_mask_source != catalog->types) {
        job->type_mask = mv_machine_catalog_mask(catalog, &job->spec);
        job->type_mask_source = catalog->types;
    }
    return job->type_mask;
}

/* The scheduler places the job with the least pending work first, so a large job would wait for as
 * long as small jobs keep arriving. Therefore a job of which no task has been placed precedes jobs
 * of the same guarantee and priority after MV_STARVED_AFTER_S. After MV_STARVED_SEVERELY_AFTER_S,
 * the job precedes all jobs except services that precede all jobs (mv_job_precedes_all). The
 * precedence ends when the job's first task is placed, so that guaranteed work gives way to one
 * task of one job at a time and to no more. */
unsigned mv_job_starvation_level(const mv_context *context, const mv_job *job)
{
    double age_s = context->clock.now - job->accepted_at;
    bool has_begun = job->tasks_placed || job->tasks_done;
    bool may_starve = !has_begun && !job->cancelling;
    if (!may_starve || age_s < MV_STARVED_AFTER_S || SAFETY_CHECK(STARVATION, false))
        return 0;
    return age_s < MV_STARVED_SEVERELY_AFTER_S ? 1 : 2;
}

bool mv_job_is_starving(const mv_context *context, const mv_job *job)
{
    double waiting_since = MAX(job->ready_at, job->last_placed_at);
    bool recent = context->clock.now <= waiting_since + MV_STARVATION_TIMEOUT_S;
    return job->pending->len && !SAFETY_CHECK(STARVATION_TIMEOUT, recent);
}
