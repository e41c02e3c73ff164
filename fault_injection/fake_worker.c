#include "fake_worker.h"

#include <string.h>

/* The HTTP statuses with which a worker answers commands, as in the published protocol. */
enum { STATUS_OK = 200, STATUS_CONFLICT = 409 };

#define FAKE_WORKER_CORES 16.0
#define CORES_EPSILON 1e-6
#define FAILING_TASK_RUN_S 0.5

fake_worker *fake_worker_new(const char *id, const char *type_name, bool spot, double lease_s)
{
    fake_worker *worker = g_new0(fake_worker, 1);
    g_strlcpy(worker->id, id, sizeof worker->id);
    g_strlcpy(worker->type_name, type_name, sizeof worker->type_name);
    g_strlcpy(worker->zone_name, "z", sizeof worker->zone_name);
    worker->spot = spot;
    worker->agent_epoch = 1;
    worker->lease_s = lease_s;
    worker->tasks = g_ptr_array_new_with_free_func(g_free);
    worker->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return worker;
}

void fake_worker_free(gpointer data)
{
    fake_worker *worker = data;
    g_ptr_array_unref(worker->tasks);
    g_hash_table_unref(worker->images);
    g_free(worker);
}

static void end_agent_epoch(fake_worker *worker, double now)
{
    worker->agent_epoch++;
    worker->lease_renewed_at = now;
    worker->changed = true;
    g_ptr_array_set_size(worker->tasks, 0);
}

void fake_worker_restart(fake_worker *worker, double now)
{
    end_agent_epoch(worker, now);
}

void fake_worker_restart_in_epoch(fake_worker *worker)
{
    worker->changed = true;
    g_ptr_array_set_size(worker->tasks, 0);
}

void fake_worker_restart_anew(fake_worker *worker, double now)
{
    end_agent_epoch(worker, now);
    worker->agent_epoch = 1;
    worker->sequence = worker->fencing_token = 0;
}

static void end_finished_tasks(fake_worker *worker, double now)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        fake_task *task = g_ptr_array_index(worker->tasks, i);
        if (task->status == FAKE_TASK_EXITED || now < task->ends_at)
            continue;
        worker->changed = true;
        task->status = FAKE_TASK_EXITED;
        if (task->exit_reason == MV_EXIT_NONE)
            task->exit_reason = MV_EXIT_DONE;
    }
}

void fake_worker_advance(fake_worker *worker, double now)
{
    if (now > worker->lease_renewed_at + worker->lease_s)
        end_agent_epoch(worker, now);
    end_finished_tasks(worker, now);
}

/* --- heartbeats --- */

static mv_task_phase phase_of(const fake_task *task, double now)
{
    if (task->status == FAKE_TASK_EXITED)
        return MV_TASK_EXITED;
    if (now < task->fetched_at)
        return MV_TASK_FETCHING_IMAGE;
    return task->saving ? MV_TASK_SAVING : MV_TASK_RUNNING;
}

static mv_reported_task report_task(const fake_task *task, double now)
{
    mv_reported_task reported = {
        .task = task->task, .attempt = task->attempt, .phase = phase_of(task, now)};
    reported.exit_reason = reported.phase == MV_TASK_EXITED ? task->exit_reason : MV_EXIT_NONE;
    g_strlcpy(reported.job_id, task->job_id, sizeof reported.job_id);
    return reported;
}

void fake_worker_heartbeat(fake_worker *worker, double now, mv_heartbeat *heartbeat)
{
    /* A completed task that was launched just now has exited already. */
    end_finished_tasks(worker, now);
    memset(heartbeat, 0, sizeof *heartbeat);
    g_strlcpy(heartbeat->machine, worker->id, sizeof heartbeat->machine);
    g_strlcpy(heartbeat->address, worker->address, sizeof heartbeat->address);
    g_strlcpy(heartbeat->type_name, worker->type_name, sizeof heartbeat->type_name);
    g_strlcpy(heartbeat->zone_name, worker->zone_name, sizeof heartbeat->zone_name);
    heartbeat->spot = worker->spot;
    heartbeat->agent_epoch = worker->agent_epoch;
    heartbeat->sequence = ++worker->sequence;
    heartbeat->fencing_token = worker->fencing_token;
    heartbeat->reclaim_notice_s = worker->reclaim_at > 0 ? MAX(worker->reclaim_at - now, 0) : -1;
    heartbeat->tasks = g_new0(mv_reported_task, worker->tasks->len + 1);
    for (guint i = 0; i < worker->tasks->len; i++)
        heartbeat->tasks[heartbeat->task_count++] =
            report_task(g_ptr_array_index(worker->tasks, i), now);
    worker->changed = false;
}

/* --- commands --- */

static bool is_task_of(const fake_task *task, const mv_command *command)
{
    return task->task == command->task && strcmp(task->job_id, command->job_id) == 0;
}

static fake_task *find_attempt(const fake_worker *worker, const mv_command *command)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        fake_task *task = g_ptr_array_index(worker->tasks, i);
        if (is_task_of(task, command) && task->attempt == command->attempt)
            return task;
    }
    return NULL;
}

static bool runs_other_attempt(const fake_worker *worker, const mv_command *command)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        const fake_task *task = g_ptr_array_index(worker->tasks, i);
        if (is_task_of(task, command) && task->attempt != command->attempt &&
            task->status != FAKE_TASK_EXITED)
            return true;
    }
    return false;
}

static double cores_in_use(const fake_worker *worker)
{
    double cores = 0;
    for (guint i = 0; i < worker->tasks->len; i++) {
        const fake_task *task = g_ptr_array_index(worker->tasks, i);
        if (task->status != FAKE_TASK_EXITED)
            cores += task->cores;
    }
    return cores;
}

/* Returns the reason for which the worker refuses a launch, or MV_EXIT_NONE if the worker accepts
 * the launch. */
static mv_exit_reason launch_refusal(const fake_worker *worker, const mv_command *command,
                                     const fake_task_spec *spec)
{
    if (!spec->known)
        return MV_EXIT_UNKNOWN_TASK;
    if (runs_other_attempt(worker, command))
        return MV_EXIT_DUPLICATE;
    if (cores_in_use(worker) + spec->cores > FAKE_WORKER_CORES + CORES_EPSILON)
        return MV_EXIT_NO_RESOURCES;
    return MV_EXIT_NONE;
}

static double run_time(const fake_task_spec *spec)
{
    if (spec->completed)
        return 0;
    return spec->fails ? FAILING_TASK_RUN_S : spec->run_s;
}

/* Launches a task unless the worker already has this attempt. If the worker refuses the launch, the
 * task is listed as exited, with the reason, until a controller clears the task. */
static void launch(fake_worker *worker, const mv_command *command, double now,
                   fake_task_lookup lookup, void *context)
{
    if (find_attempt(worker, command))
        return;
    const fake_task_spec spec = lookup(context, command->job_id, command->task);
    fake_task *task = g_new0(fake_task, 1);
    g_strlcpy(task->job_id, command->job_id, sizeof task->job_id);
    task->task = command->task;
    task->attempt = command->attempt;
    task->cores = spec.cores;
    task->ram_gb = spec.ram_gb;
    task->save_s = spec.save_s;
    task->status = FAKE_TASK_EXITED;
    task->exit_reason = launch_refusal(worker, command, &spec);
    if (task->exit_reason == MV_EXIT_NONE) {
        task->status = FAKE_TASK_RUNNING;
        task->exit_reason = spec.fails && !spec.completed ? MV_EXIT_ERROR : MV_EXIT_NONE;
        task->never_runs = spec.completed;
        task->started_at = now;
        task->fetched_at = now + spec.fetch_s;
        task->ends_at = task->fetched_at + run_time(&spec);
    }
    g_ptr_array_add(worker->tasks, task);
    worker->changed = true;
}

/* Stops a task. If the task runs and the grace period is long enough for the task to save its
 * state, the task exits when it has saved; otherwise the task exits at once without saving. */
static void stop(fake_worker *worker, fake_task *task, double grace_period_s, double now)
{
    task->exit_reason = MV_EXIT_STOPPED;
    worker->changed = true;
    if (task->save_s <= 0 || grace_period_s < task->save_s || now < task->fetched_at) {
        task->status = FAKE_TASK_EXITED;
    } else if (!task->saving) {
        task->saving = true;
        task->ends_at = now + task->save_s;
    }
}

static void execute(fake_worker *worker, const mv_command *command, double now,
                    fake_task_lookup lookup, void *context)
{
    if (command->kind == MV_COMMAND_LAUNCH) {
        launch(worker, command, now, lookup, context);
        return;
    }
    fake_task *task = find_attempt(worker, command);
    if (!task)
        return;
    const bool has_exited = task->status == FAKE_TASK_EXITED;
    if (command->kind == MV_COMMAND_STOP && !has_exited)
        stop(worker, task, command->grace_period_s, now);
    else if (command->kind == MV_COMMAND_CLEAR && has_exited)
        g_ptr_array_remove(worker->tasks, task);
}

void fake_worker_execute(fake_worker *worker, const GArray *commands, double now,
                         fake_task_lookup lookup, void *context)
{
    for (guint i = 0; commands && i < commands->len; i++)
        execute(worker, &g_array_index(commands, mv_command, i), now, lookup, context);
}

/* Returns whether the worker accepts a message from a controller, and stores the message's fencing
 * token if so. The worker rejects messages of another agent epoch and messages whose fencing token
 * is older than the stored token. */
static bool accept_controller(fake_worker *worker, uint64_t fencing_token, uint64_t agent_epoch)
{
    if (agent_epoch != worker->agent_epoch || fencing_token < worker->fencing_token)
        return false;
    if (fencing_token > worker->fencing_token)
        worker->changed = true;
    worker->fencing_token = fencing_token;
    return true;
}

bool fake_worker_receive_response(fake_worker *worker, uint64_t agent_epoch, double sent_at,
                                  uint64_t fencing_token, const GArray *commands, double now,
                                  fake_task_lookup lookup, void *context)
{
    fake_worker_advance(worker, now);
    if (!accept_controller(worker, fencing_token, agent_epoch))
        return false;
    worker->lease_renewed_at = MAX(worker->lease_renewed_at, sent_at);
    fake_worker_execute(worker, commands, now, lookup, context);
    return true;
}

int fake_worker_receive_command(fake_worker *worker, uint64_t fencing_token, uint64_t agent_epoch,
                                const GArray *commands, double now, fake_task_lookup lookup,
                                void *context)
{
    fake_worker_advance(worker, now);
    if (!accept_controller(worker, fencing_token, agent_epoch))
        return STATUS_CONFLICT;
    fake_worker_execute(worker, commands, now, lookup, context);
    return STATUS_OK;
}
