/**
 * Copies of direct commands that a machine has executed and answered. The protocol allows such a
 * copy to arrive minutes later; the machine executes the copy while fencing token and agent epoch
 * match.
 *
 * Some copies arrive at a random time. Others are held and arrive right after the event at which a
 * copy does most harm: the machine forgets an attempt that the command launches, the task runs on
 * another machine, the task's job is cancelled, a controller starts, or the machine hangs.
 */
#include "sim_internal.h"

#include <string.h>

/* Copies at a random time: half of them arrive within COPY_EARLY_S, the others up to COPY_LATE_S
 * after the command. */
#define COPY_EARLY_S 5
#define COPY_LATE_S 150
/* A held copy arrives up to this many seconds after the event for which it was held. */
#define COPY_AFTER_EVENT_S 0.3
/* Interval between two checks for events, in seconds. */
#define EVENT_CHECK_INTERVAL_S 0.02

/* Starts of controllers at which a copy arrives. */
#define COPY_STARTS 2

/* A copy of a command. */
typedef struct {
    char worker[MV_NAME_SIZE];
    uint64_t fencing_token, agent_epoch;
    GArray *commands; /* mv_command */
    sim_copy_event event;
    unsigned starts_left; /* starts of controllers that the copy still waits for */
} command_copy;

void sim_command_copy_free(gpointer data)
{
    command_copy *copy = data;
    g_array_unref(copy->commands);
    g_free(copy);
}

static const fake_task *find_attempt(const fake_worker *worker, const mv_command *command)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        const fake_task *task = g_ptr_array_index(worker->tasks, i);
        if (task->task == command->task && task->attempt == command->attempt &&
            strcmp(task->job_id, command->job_id) == 0)
            return task;
    }
    return NULL;
}

/* --- delivery --- */

static bool launches_forgotten_attempt(const fake_worker *worker, const command_copy *copy)
{
    for (guint i = 0; i < copy->commands->len; i++) {
        const mv_command *command = &g_array_index(copy->commands, mv_command, i);
        if (command->kind == MV_COMMAND_LAUNCH && !find_attempt(worker, command))
            return true;
    }
    return false;
}

static void deliver_copy(sim *simulation, gpointer data)
{
    command_copy *copy = data;
    fake_worker *worker = sim_worker_by_id(simulation, copy->worker);
    if (!worker->gone && simulation->now < worker->hung_until) {
        sim_schedule_owned(simulation, worker->hung_until - simulation->now, deliver_copy, copy,
                           sim_command_copy_free);
        return;
    }
    if (!worker->gone) {
        if (launches_forgotten_attempt(worker, copy))
            sim_count_combination(simulation, SIM_COPIES_OF_FORGOTTEN_LAUNCHES);
        fake_worker_receive_command(worker, copy->fencing_token, copy->agent_epoch, copy->commands,
                                    simulation->now, sim_task_spec, simulation);
    }
    sim_command_copy_free(copy);
}

static void schedule_copy(sim *simulation, double delay, command_copy *copy)
{
    sim_schedule_owned(simulation, delay, deliver_copy, copy, sim_command_copy_free);
}

/* --- drawing copies --- */

static bool has_launch(const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++)
        if (g_array_index(commands, mv_command, i).kind == MV_COMMAND_LAUNCH)
            return true;
    return false;
}

static command_copy *copy_command(const fake_worker *worker, const mv_action *action)
{
    command_copy *copy = g_new0(command_copy, 1);
    g_strlcpy(copy->worker, worker->id, sizeof copy->worker);
    copy->fencing_token = action->fencing_token;
    copy->agent_epoch = action->agent_epoch;
    copy->commands = g_array_ref(action->commands);
    return copy;
}

static command_copy *copy_again(const command_copy *copy)
{
    command_copy *again = g_memdup2(copy, sizeof *copy);
    again->commands = g_array_ref(copy->commands);
    return again;
}

void sim_draw_command_copies(sim *simulation, const fake_worker *worker, const mv_action *action)
{
    const sim_plan *plan = simulation->plan;
    if (!has_launch(action->commands))
        return;
    if (plan->command_copies > 0 && sim_chance(simulation, plan->command_copies)) {
        const double delay = sim_chance(simulation, 0.5)
                                 ? sim_random(simulation, 0.05, COPY_EARLY_S)
                                 : sim_random(simulation, COPY_EARLY_S, COPY_LATE_S);
        schedule_copy(simulation, delay, copy_command(worker, action));
    }
    if (plan->copies_after_events > 0 && sim_chance(simulation, plan->copies_after_events)) {
        command_copy *copy = copy_command(worker, action);
        copy->event = plan->copy_event;
        if (copy->event == SIM_COPY_ANY_EVENT)
            copy->event = (sim_copy_event)g_rand_int_range(simulation->random,
                                                           SIM_COPY_ANY_EVENT + 1, SIM_COPY_EVENTS);
        copy->starts_left = COPY_STARTS;
        g_ptr_array_add(simulation->held_copies, copy);
    }
}

/* --- events --- */

static bool runs_elsewhere(const sim *simulation, const fake_worker *worker,
                           const mv_command *command)
{
    for (guint i = 0; i < simulation->workers->len; i++) {
        const fake_worker *other = g_ptr_array_index(simulation->workers, i);
        for (guint k = 0; k < other->tasks->len && other != worker && !other->gone; k++) {
            const fake_task *task = g_ptr_array_index(other->tasks, k);
            if (task->task == command->task && task->status == FAKE_TASK_RUNNING &&
                strcmp(task->job_id, command->job_id) == 0)
                return true;
        }
    }
    return false;
}

static bool is_completed(const sim *simulation, const mv_command *command)
{
    const sim_job *job = sim_job_by_id(simulation, command->job_id);
    return job && job->completed[command->task];
}

static bool is_cancelled_for(const sim *simulation, const mv_command *command, double seconds)
{
    const sim_job *job = sim_job_by_id(simulation, command->job_id);
    return job && job->cancelled && simulation->now > job->cancelled_at + seconds;
}

static bool event_has_occurred(const sim *simulation, const fake_worker *worker,
                               const command_copy *copy, const mv_command *command)
{
    switch (copy->event) {
    case SIM_COPY_AFTER_FORGOTTEN:
        return !find_attempt(worker, command);
    case SIM_COPY_AFTER_DONE:
        return !find_attempt(worker, command) && is_completed(simulation, command);
    case SIM_COPY_AFTER_NEW_TERM:
        return worker->fencing_token > copy->fencing_token + MV_TOKEN_RANGE;
    case SIM_COPY_AFTER_ELSEWHERE:
        return runs_elsewhere(simulation, worker, command);
    case SIM_COPY_AFTER_CANCELLED:
        return is_cancelled_for(simulation, command, 0);
    case SIM_COPY_AFTER_CANCEL_S:
        return is_cancelled_for(simulation, command, simulation->nodes[0].settings->cancel_s);
    case SIM_COPY_AFTER_HANG:
        return simulation->now < worker->hung_until;
    default:
        return false; /* sim_release_copies_at_start releases the other copies */
    }
}

static bool is_due(const sim *simulation, const command_copy *copy)
{
    const fake_worker *worker = sim_worker_by_id(simulation, copy->worker);
    for (guint i = 0; i < copy->commands->len; i++) {
        const mv_command *command = &g_array_index(copy->commands, mv_command, i);
        if (command->kind == MV_COMMAND_LAUNCH &&
            event_has_occurred(simulation, worker, copy, command))
            return true;
    }
    return false;
}

/* Delivers a held copy soon. The event of the delivery owns the copy from then on. */
static void release_copy(sim *simulation, guint index)
{
    GPtrArray *held = simulation->held_copies;
    command_copy *copy = g_ptr_array_steal_index_fast(held, index);
    schedule_copy(simulation, sim_random(simulation, 0, COPY_AFTER_EVENT_S), copy);
}

void sim_release_command_copies(sim *simulation)
{
    if (simulation->now < simulation->copies_checked_at + EVENT_CHECK_INTERVAL_S)
        return;
    simulation->copies_checked_at = simulation->now;
    for (guint i = simulation->held_copies->len; i-- > 0;)
        if (is_due(simulation, g_ptr_array_index(simulation->held_copies, i)))
            release_copy(simulation, i);
}

void sim_release_copies_at_start(sim *simulation)
{
    for (guint i = simulation->held_copies->len; i-- > 0;) {
        command_copy *copy = g_ptr_array_index(simulation->held_copies, i);
        if (copy->event != SIM_COPY_AFTER_CONTROLLER)
            continue;
        if (--copy->starts_left == 0)
            release_copy(simulation, i);
        else
            schedule_copy(simulation, sim_random(simulation, 0, COPY_AFTER_EVENT_S),
                          copy_again(copy));
    }
}
