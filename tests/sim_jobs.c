/**
 * Users of the simulation: the jobs, the times of their submission and their cancellation.
 *
 * Users write directly to the state store, in the way in which a controller writes on behalf of a
 * user. Only an outage of the state store delays these writes, so a cancellation happens at the
 * time that the plan asks for.
 */
#include "sim_internal.h"

#include "controller_probe.h"
#include "protocol/names.h"

#define RETRY_S 1

static sim_job *job_at(sim *simulation, gpointer index)
{
    return &g_array_index(simulation->jobs, sim_job, GPOINTER_TO_UINT(index));
}

fake_task_spec sim_task_spec(void *context, const char *job_id, uint32_t task)
{
    const sim *simulation = context;
    const sim_job *job = sim_job_by_id(simulation, job_id);
    if (!job || !job->accepted)
        return (fake_task_spec){0};
    fake_task_spec spec = {
        .cores = job->cores, .ram_gb = 1, .known = true, .fails = job->always_fails};
    spec.run_s = job->service ? NEVER_S : job->run_s;
    spec.fetch_s = simulation->plan->image_fetch_s;
    if (!job->service && simulation->plan->uneven_runtimes > 0 && task == 0)
        spec.run_s *= simulation->plan->uneven_runtimes;
    spec.completed = !job->service && job->completed[task];
    if (job->checkpoints)
        spec.save_s = sim_profile(simulation->plan)->checkpoint_cost_s;
    return spec;
}

/* --- records --- */

static mv_priority priority_of(const sim_job *job)
{
    if (job->latency_sensitive)
        return MV_PRIORITY_HIGH;
    return job->checkpoints ? MV_PRIORITY_IDLE : MV_PRIORITY_STANDARD;
}

static GBytes *pack_job(const sim *simulation, const sim_job *job)
{
    const sim_site_profile *profile = sim_profile(simulation->plan);
    const unsigned shard = (unsigned)job->team % MAX(simulation->plan->shards, 1);
    mv_job_spec spec = {.priority = priority_of(job),
                        .tasks = job->task_count,
                        .cores = job->cores,
                        .ram_gb = 1,
                        .spot = job->spot,
                        .service = job->service,
                        .same_zone = job->same_zone,
                        .spread_zones = job->spread_zones,
                        .estimated_runtime_s = job->service ? 0 : job->run_s,
                        .deadline_s = -1};
    if (job->checkpoints) {
        spec.checkpoint_interval_s = profile->checkpoint_interval_s;
        spec.checkpoint_cost_s = profile->checkpoint_cost_s;
    }
    g_strlcpy(spec.id, job->id, sizeof spec.id);
    g_strlcpy(spec.class_name, job->latency_sensitive ? "rush" : "work", sizeof spec.class_name);
    g_strlcpy(spec.team_name, sim_team_names[job->team], sizeof spec.team_name);
    g_strlcpy(spec.image_name, "img", sizeof spec.image_name);
    return mv_job_record_pack(&spec, shard, WALL_CLOCK_START_S + simulation->now);
}

static void add_write(GArray *writes, const char *key, GBytes *data)
{
    mv_write write = {.data = data};
    g_strlcpy(write.key, key, sizeof write.key);
    g_array_append_val(writes, write);
}

static void add_precondition(GArray *preconditions, const char *key, uint64_t revision)
{
    mv_precondition precondition = {.revision = revision};
    g_strlcpy(precondition.key, key, sizeof precondition.key);
    g_array_append_val(preconditions, precondition);
}

/* Writes the live record of a job, or removes the live record if `live_record` is NULL. Also writes
 * `final_record` if it is not NULL. The write succeeds only if the live record has the given
 * revision and the job has no final record. The caller keeps the ownership of both records. */
static bool commit_job(sim *simulation, const sim_job *job, uint64_t revision, GBytes *live_record,
                       GBytes *final_record)
{
    g_autoptr(GArray) preconditions = g_array_new(FALSE, TRUE, sizeof(mv_precondition));
    g_autoptr(GArray) writes = g_array_new(FALSE, TRUE, sizeof(mv_write));
    g_autofree char *live_key = g_strconcat(KEY_JOB_PREFIX, job->id, NULL);
    g_autofree char *final_key = g_strconcat(KEY_FINAL_PREFIX, job->id, NULL);
    g_autofree char *completion_key = g_strconcat(KEY_COMPLETION_PREFIX, job->id, "/0", NULL);
    add_precondition(preconditions, live_key, revision);
    add_precondition(preconditions, final_key, 0);
    add_write(writes, live_key, live_record);
    if (final_record) {
        add_write(writes, final_key, final_record);
        add_write(writes, completion_key, NULL);
    }
    if (fake_state_store_commit(simulation->state, preconditions, writes, 0) != SIM_HTTP_OK)
        return false;
    sim_check_final_records(simulation, writes);
    return true;
}

/* --- cancellation --- */

void sim_cancel_job(sim *simulation, gpointer data)
{
    sim_job *job = job_at(simulation, data);
    if (simulation->plan->acknowledged_cancellations) {
        if (!job->cancel_requested)
            sim_cancel_through_controllers(simulation, data);
        return;
    }
    if (simulation->now < simulation->outage_until) {
        sim_schedule(simulation, RETRY_S, sim_cancel_job, data);
        return;
    }
    g_autofree char *key = g_strconcat(KEY_JOB_PREFIX, job->id, NULL);
    const fake_record *record = fake_state_store_get(simulation->state, key);
    if (!record)
        return;
    g_autoptr(GBytes) final_record = mv_final_record_pack(false, job->task_count, simulation->now);
    job->cancel_requested = commit_job(simulation, job, record->revision, NULL, final_record);
    if (sim_team_is_full(simulation, job))
        sim_count_combination(simulation, SIM_CANCELLED_AT_LIMIT);
    if (job->cancel_at_completion)
        sim_count_any_combination(simulation);
}

/* Checks the job's tasks every 0.02 s until the last task has ended. Then the user cancels the job,
 * at once or up to 1.5 s later. */
static void cancel_at_completion(sim *simulation, gpointer data)
{
    const sim_job *job = job_at(simulation, data);
    for (unsigned i = 0; i < job->task_count; i++)
        if (!job->completed[i]) {
            sim_schedule(simulation, 0.02, cancel_at_completion, data);
            return;
        }
    sim_schedule(simulation, sim_random(simulation, 0, 1.5), sim_cancel_job, data);
}

static void schedule_cancellation(sim *simulation, const sim_job *job, gpointer index)
{
    const sim_plan *plan = simulation->plan;
    if (job->service) {
        const double services_end_in_s =
            plan->faults_end_at + SERVICE_OBSERVATION_S - simulation->now;
        sim_schedule(simulation, MAX(services_end_in_s, 1), sim_cancel_job, index);
    } else if (job->cancel_at_completion) {
        sim_schedule(simulation, 0.05, cancel_at_completion, index);
    } else if (job->cancel_after_s > 0 && plan->leader_refused_then_outage > 0) {
        /* The fault leader_refused_then_outage cancels the job. If the job was accepted after the
         * last occurrence of the fault, the job is cancelled when the faults end. */
        sim_schedule(simulation, plan->faults_end_at - simulation->now, sim_cancel_job, index);
    } else if (job->cancel_after_s > 0) {
        sim_schedule(simulation, job->cancel_after_s, sim_cancel_job, index);
    }
}

/* --- submission --- */

/* Decides, as a controller does, whether to refuse a service: the controller accepts a service only
 * if it knows that all controllers can read the record of a service. */
static bool service_refused(sim *simulation)
{
    bool any_emulates_format_1 = false;
    for (int i = 0; i < NODES; i++)
        any_emulates_format_1 = any_emulates_format_1 || simulation->nodes[i].emulates_format_1;
    const sim_node *node = sim_random_node(simulation);
    const bool refused = !node->running || node->emulates_format_1 ||
                         !probe_cache_is_loaded(node->controller) ||
                         !mv_controller_all_formats_current(node->controller);
    if (!refused && any_emulates_format_1)
        sim_violation(simulation, "service accepted before all were new");
    return refused;
}

static void submit_job(sim *simulation, gpointer data)
{
    sim_job *job = job_at(simulation, data);
    if (simulation->now < simulation->outage_until ||
        (job->service && service_refused(simulation))) {
        sim_schedule(simulation, RETRY_S, submit_job, data);
        return;
    }
    g_autoptr(GBytes) live_record = pack_job(simulation, job);
    job->accepted = commit_job(simulation, job, 0, live_record, NULL);
    schedule_cancellation(simulation, job, data);
}

/* --- drawing jobs from the plan --- */

/* Returns true with the given probability. If the probability is 0, makes no draw. */
static bool chance_if_planned(sim *simulation, double probability)
{
    return probability > 0 && sim_chance(simulation, probability);
}

static void draw_constraints(sim *simulation, sim_job *job)
{
    const sim_plan *plan = simulation->plan;
    job->same_zone = plan->small_zone && sim_chance(simulation, 0.3);
    job->spread_zones = plan->small_zone && !job->same_zone && sim_chance(simulation, 0.4);
    job->latency_sensitive = chance_if_planned(simulation, plan->latency_sensitive);
    job->checkpoints =
        !job->latency_sensitive && chance_if_planned(simulation, plan->checkpointing);
    job->service = chance_if_planned(simulation, plan->services);
}

static void make_service(sim_job *job)
{
    job->task_count = 1 + job->task_count % 4;
    job->cores = 2;
    job->always_fails = false;
    job->spot = true; /* Spot and other machines share one capacity. If a service could
                       * not use spot machines, idle spot machines would block its replicas. */
}

static sim_job draw_job(sim *simulation, unsigned number)
{
    const sim_plan *plan = simulation->plan;
    sim_job job = {0};
    g_snprintf(job.id, sizeof job.id, "j-%06u", number);
    job.team = g_rand_int_range(simulation->random, 0, TEAM_COUNT);
    job.task_count = (unsigned)g_rand_int_range(simulation->random, 1, 20);
    job.cores = g_rand_int_range(simulation->random, 1, 5) * 2;
    job.run_s = sim_random(simulation, 2, 25);
    job.spot = sim_chance(simulation, 0.7);
    if (plan->single_tasks)
        job.task_count = 1;
    if (sim_chance(simulation, plan->cancel))
        job.cancel_after_s = sim_random(simulation, 0.1, 40);
    job.always_fails = job.cancel_after_s > 0 && sim_chance(simulation, 0.3);
    draw_constraints(simulation, &job);
    if (job.service)
        make_service(&job);
    if (plan->uneven_runtimes > 0)
        job.task_count = 2 + job.task_count % 2;
    job.cancel_at_completion = chance_if_planned(simulation, plan->cancel_at_completion);
    if (plan->leader_refused_then_outage > 0 && job.cancel_after_s > 0) {
        job.run_s = 4 * simulation->nodes[0].settings->cancel_s;
        job.always_fails = false;
    }
    job.completed = g_new0(bool, job.task_count);
    return job;
}

static double draw_submission_time(sim *simulation)
{
    const sim_plan *plan = simulation->plan;
    const double at = sim_random(simulation, 0, plan->faults_end_at * 0.8);
    if (!chance_if_planned(simulation, plan->burst))
        return at;
    return plan->faults_end_at * 0.4 + sim_random(simulation, 0, 10);
}

void sim_create_jobs(sim *simulation)
{
    for (unsigned i = 0; i < simulation->plan->jobs; i++) {
        const sim_job job = draw_job(simulation, i + 1);
        g_array_append_val(simulation->jobs, job);
        sim_schedule(simulation, draw_submission_time(simulation), submit_job, GUINT_TO_POINTER(i));
    }
}
