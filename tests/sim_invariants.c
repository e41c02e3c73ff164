/**
 * Safety rules that the simulation checks at every moment of a run, whatever the faults: no task
 * runs twice, no task runs on a machine that its job excludes or after its job was cancelled, no
 * team exceeds its quota, and no record loses progress. A few rules are checked only if the plan
 * has no fault that explains the observation.
 *
 * Tests match the texts of violations with sim_assert_rule_breaks().
 */
#include "sim_internal.h"

#include "protocol/names.h"

#include <string.h>

/* A launch counts as early if the machine booted less than this many seconds before. */
#define EARLY_LAUNCH_S 5
/* After a controller has ended, another controller needs up to this many seconds to take over. */
#define TAKEOVER_S 6
/* A controller needs two heartbeat intervals plus this many seconds to detect that the heartbeats
 * of a machine do not arrive. */
#define UNREACHABLE_DETECTION_S 4

bool sim_plan_only_crashes(const sim_plan *plan)
{
    const bool network_fails =
        plan->message_delay || plan->message_loss || plan->state_cut || plan->worker_cut ||
        plan->machine_cut || plan->outage || plan->block_commands || plan->isolate ||
        plan->duplicate_heartbeats || plan->block_heartbeats || plan->zone_cut ||
        plan->leader_refused_then_outage || plan->slow_state_store || plan->relist ||
        plan->link_flapping || plan->state_responses_lost || plan->watches_lost ||
        plan->peer_outgoing_lost || plan->cut_at_events || plan->cut_count;
    const bool machines_pause = plan->machine_quick_restart || plan->machine_restart_in_epoch ||
                                plan->machine_restart_anew || plan->machine_hang ||
                                plan->reclaim_notice;
    const bool tasks_are_preempted =
        plan->latency_sensitive || plan->checkpointing || plan->services;
    return !network_fails && !machines_pause && !tasks_are_preempted;
}

/* --- tasks on machines --- */

static void check_exited_task(sim *simulation, sim_job *job, const fake_task *task)
{
    if (!job)
        return;
    if (task->exit_reason == MV_EXIT_DONE)
        job->completed[task->task] = true;
    if (task->exit_reason == MV_EXIT_STOPPED && !job->cancel_requested &&
        sim_plan_only_crashes(simulation->plan))
        sim_violation(simulation, "stopped %s/%u for nothing", task->job_id, task->task);
}

/* Reports a launch on a machine whose heartbeats reach no controller, if the controllers had time
 * to detect the missing heartbeats. Detection takes two heartbeat intervals plus
 * UNREACHABLE_DETECTION_S, and after the end of a controller the detection starts only when another
 * controller has taken over. The rule is not checked under plans that can cut off controllers or
 * that turn the launch gate on, because a controller that is cut off cannot detect missing
 * heartbeats. */
static void check_launch_target(sim *simulation, const fake_worker *worker, const fake_task *task)
{
    const sim_plan *plan = simulation->plan;
    const double taken_over_at =
        simulation->last_stop_at > 0 ? simulation->last_stop_at + TAKEOVER_S : 0;
    const double known_at = MAX(worker->heartbeats_blocked_from, taken_over_at) +
                            2 * simulation->nodes[0].settings->report_s + UNREACHABLE_DETECTION_S;
    const bool controllers_connected = !plan->outage && !plan->state_cut && !plan->isolate &&
                                       !plan->worker_cut && !plan->launch_gate;
    if (controllers_connected && simulation->now < worker->heartbeats_blocked_until &&
        task->started_at > known_at)
        sim_violation(simulation, "begun in vain: %s/%u on %s, whose heartbeats are lost",
                      task->job_id, task->task, worker->id);
}

/* Reports a task that began to run after its job was cancelled. Launches count from the moment at
 * which the machine has the image. The rule is checked only if controllers need the owner's
 * acknowledgement for a cancellation. */
static void check_start_after_cancellation(sim *simulation, const fake_worker *worker,
                                           const fake_task *task, const sim_job *job)
{
    const bool runs = simulation->now >= task->fetched_at;
    if (simulation->plan->acknowledged_cancellations && job->cancelled && runs &&
        task->fetched_at > job->cancelled_at)
        sim_violation(simulation, "started after cancellation: %s/%u on %s, cancelled at %.2f",
                      task->job_id, task->task, worker->id, job->cancelled_at);
}

static void check_task_of_job(sim *simulation, const fake_worker *worker, const fake_task *task,
                              sim_job *job)
{
    const double cancel_s = simulation->nodes[0].settings->cancel_s;
    const bool just_started = task->started_at == simulation->now;
    if (just_started && simulation->now < worker->booted_at + EARLY_LAUNCH_S)
        sim_count_combination(simulation, SIM_EARLY_LAUNCHES);
    if (just_started)
        job->idle_since = 0;
    if (strcmp(worker->zone_name, "z") == 0)
        job->tasks_in_zone_z++;
    else
        job->tasks_in_zone_y++;
    if (!job->spot && worker->spot)
        sim_violation(simulation, "wrong_place %s on %s", task->job_id, worker->id);
    if (job->cancelled && simulation->now > job->cancelled_at + cancel_s)
        sim_violation(simulation, "ran_cancelled %s/%u on %s", task->job_id, task->task,
                      worker->id);
    check_start_after_cancellation(simulation, worker, task, job);
}

/* Checks the tasks of one machine. `running` is the set of running tasks, as "job/task", that this
 * check has found on any machine; `used_cores` counts the cores in use by team. */
static void check_worker(sim *simulation, fake_worker *worker, GHashTable *running,
                         double *used_cores)
{
    if (worker->gone || simulation->now < worker->booted_at)
        return;
    fake_worker_advance(worker, simulation->now);
    for (guint i = 0; i < worker->tasks->len; i++) {
        const fake_task *task = g_ptr_array_index(worker->tasks, i);
        sim_job *job = sim_job_by_id(simulation, task->job_id);
        if (task->status == FAKE_TASK_EXITED) {
            check_exited_task(simulation, job, task);
            continue;
        }
        if (task->never_runs)
            continue;
        check_launch_target(simulation, worker, task);
        if (!g_hash_table_add(running, g_strdup_printf("%s/%u", task->job_id, task->task)))
            sim_violation(simulation, "ran_twice %s/%u", task->job_id, task->task);
        if (!job)
            continue;
        used_cores[job->team] += task->cores;
        check_task_of_job(simulation, worker, task, job);
    }
}

/* --- jobs and teams --- */

static void check_zones(sim *simulation, const sim_job *job)
{
    const unsigned in_z = job->tasks_in_zone_z, in_y = job->tasks_in_zone_y;
    const bool is_split = job->same_zone && in_z && in_y;
    const bool is_concentrated = job->spread_zones && MAX(in_z, in_y) > (job->task_count + 1) / 2;
    if (is_split || is_concentrated)
        sim_violation(simulation, "wrong_place %s: %u tasks in z, %u in y", job->id, in_z, in_y);
}

static bool exceeds_quota(int team, double cores)
{
    return sim_team_quotas[team] > 0 && cores > sim_team_quotas[team] + CORES_EPSILON;
}

void sim_check_rules(sim *simulation)
{
    g_autoptr(GHashTable) running = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    double used_cores[TEAM_COUNT] = {0};
    for (guint i = 0; i < simulation->jobs->len; i++) {
        sim_job *job = &g_array_index(simulation->jobs, sim_job, i);
        job->tasks_in_zone_z = job->tasks_in_zone_y = 0;
    }
    for (guint i = 0; i < simulation->workers->len; i++)
        check_worker(simulation, g_ptr_array_index(simulation->workers, i), running, used_cores);
    for (guint i = 0; i < simulation->jobs->len; i++)
        check_zones(simulation, &g_array_index(simulation->jobs, sim_job, i));
    for (int team = 0; team < TEAM_COUNT; team++)
        if (exceeds_quota(team, used_cores[team]))
            sim_violation(simulation, "quota %s uses %.1f of %.0f", sim_team_names[team],
                          used_cores[team], sim_team_quotas[team]);
}

static double team_cores(const sim *simulation, int team)
{
    double used_cores = 0;
    for (guint i = 0; i < simulation->workers->len; i++) {
        const fake_worker *worker = g_ptr_array_index(simulation->workers, i);
        for (guint k = 0; k < worker->tasks->len && !worker->gone; k++) {
            const fake_task *task = g_ptr_array_index(worker->tasks, k);
            const sim_job *job = sim_job_by_id(simulation, task->job_id);
            if (task->status == FAKE_TASK_RUNNING && job && job->team == team)
                used_cores += task->cores;
        }
    }
    return used_cores;
}

bool sim_team_is_full(const sim *simulation, const sim_job *job)
{
    return exceeds_quota(job->team, team_cores(simulation, job->team) + job->cores);
}

/* --- records --- */

/* Notes that a job is cancelled when it has a final record that says so, because from then on any
 * controller that reads the record tells the user. If the owner did not acknowledge the
 * cancellation, because its release knows no acknowledgements, controllers tell the user only after
 * the time in which the owner may start tasks. */
static void mark_cancelled(sim *simulation, const mv_write *write)
{
    gsize size;
    const void *data = g_bytes_get_data(write->data, &size);
    g_autoptr(mv_document) document = mv_document_parse(data, size);
    sim_job *job = sim_job_by_id(simulation, write->key + strlen(KEY_FINAL_PREFIX));
    bool completed = false;
    unsigned tasks = 0;
    g_assert_true(mv_final_record_parse(mv_document_root(document), &completed, &tasks));
    if (completed || !job)
        return;
    job->cancelled = true;
    job->cancelled_at = simulation->now;
    if (!mv_final_record_is_acknowledged(mv_document_root(document)))
        job->cancelled_at += mv_settings_launch_bound_s(simulation->nodes[0].settings);
    sim_count_combination(simulation, SIM_CANCELLED);
}

void sim_check_final_records(sim *simulation, const GArray *writes)
{
    for (guint i = 0; i < writes->len; i++) {
        const mv_write *write = &g_array_index(writes, mv_write, i);
        if (!write->data || !g_str_has_prefix(write->key, KEY_FINAL_PREFIX))
            continue;
        if (!g_hash_table_add(simulation->final_records, g_strdup(write->key)))
            sim_violation(simulation, "answered twice %s", write->key);
        mark_cancelled(simulation, write);
    }
}

bool sim_job_ended(sim *simulation, const sim_job *job)
{
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, KEY_FINAL_PREFIX "%s", job->id);
    const fake_record *record = fake_state_store_get(simulation->state, key);
    if (!record)
        return false;
    gsize size;
    const void *data = g_bytes_get_data(record->data, &size);
    g_autoptr(mv_document) document = mv_document_parse(data, size);
    bool completed = false;
    unsigned tasks = 0;
    g_assert_true(mv_final_record_parse(mv_document_root(document), &completed, &tasks));
    if (completed && job->cancelled)
        sim_violation(simulation, "went_back %s", job->id);
    if (!completed && !job->cancel_requested)
        sim_violation(simulation, "went_back %s, called off by nobody", job->id);
    for (unsigned i = 0; completed && i < job->task_count; i++)
        if (!job->completed[i])
            sim_violation(simulation, "not_done %s/%u", job->id, i);
    return true;
}

bool sim_all_jobs_ended(sim *simulation)
{
    for (guint i = 0; i < simulation->jobs->len; i++)
        if (!sim_job_ended(simulation, &g_array_index(simulation->jobs, sim_job, i)))
            return false;
    return true;
}

/* Returns the bits of a completion record, with four tasks in each hexadecimal digit. The caller
 * frees the string. */
static GString *completion_bits(GBytes *record)
{
    gsize size;
    const void *data = g_bytes_get_data(record, &size);
    g_autoptr(mv_document) document = mv_document_parse(data, size);
    GString *bits = g_string_new(NULL);
    unsigned running = 0;
    g_assert_true(mv_completion_record_parse(mv_document_root(document), bits, &running));
    return bits;
}

void sim_check_completions(sim *simulation, const mv_write *write)
{
    const fake_record *record = fake_state_store_get(simulation->state, write->key);
    if (!write->data || !record || !g_str_has_prefix(write->key, KEY_COMPLETION_PREFIX))
        return;
    GString *before = completion_bits(record->data), *after = completion_bits(write->data);
    for (gsize i = 0; i < before->len; i++) {
        const int old_digit = g_ascii_xdigit_value(before->str[i]);
        const int new_digit = i < after->len ? g_ascii_xdigit_value(after->str[i]) : 0;
        if (old_digit & ~new_digit)
            sim_violation(simulation, "progress of %s went back", write->key);
    }
    g_string_free(before, TRUE);
    g_string_free(after, TRUE);
}
