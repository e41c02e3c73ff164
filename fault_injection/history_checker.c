/**
 * The history checker. It checks the events one by one in their order, and then each job.
 */
#include "history_checker.h"

#include "protocol/names.h"

#include <string.h>

typedef struct {
    bool accepted;
    unsigned tasks;          /* number of tasks; 0: not known */
    double cancelled_at;     /* when a user was told that the job is cancelled; 0: nobody was */
    unsigned records;        /* number of final records that controllers wrote for the job */
    char recorded[16];       /* state in the latest final record; "" if there is none */
    char final_response[16]; /* final state that a user received; "" if there is none yet */
} job_history;

typedef struct {
    mv_check_result *result;
    const mv_check_limits *limits;
    GHashTable *on_machine; /* "job/task/attempt/machine" -> mv_event of the start, copied */
    GHashTable *jobs;       /* job id -> job_history */
    GHashTable *running_on; /* "job/task" -> id of the machine on which the task runs */
    GHashTable *completed;  /* set of "job/task" for tasks that completed at least one time */
} history_check;

static void add_violation(history_check *check, const mv_event *event, const char *rule)
{
    g_ptr_array_add(check->result->violations,
                    g_strdup_printf("at %.3f: %s %s/%u on %s %s", event->at, rule, event->job_id,
                                    event->task, event->subject, event->text));
}

static job_history *job_history_of(history_check *check, const char *id)
{
    job_history *job = g_hash_table_lookup(check->jobs, id);
    if (!job) {
        job = g_new0(job_history, 1);
        g_hash_table_insert(check->jobs, g_strdup(id), job);
    }
    return job;
}

/* --- tasks on machines --- */

static char *attempt_key(const mv_event *event)
{
    return g_strdup_printf("%s/%u/%" G_GUINT64_FORMAT "/%s", event->job_id, event->task,
                           event->attempt, event->subject);
}

/* Checks the end of a task, or the end of the history for a task that is still on its machine. */
static void check_stay(history_check *check, const mv_event *event, double ended_at)
{
    const mv_check_limits *limits = check->limits;
    const double answered_at = job_history_of(check, event->job_id)->cancelled_at;
    if (limits->cancel_s > 0 && answered_at > 0 &&
        ended_at > answered_at + limits->cancel_s + limits->exit_delay_s)
        add_violation(check, event, "ran_cancelled");
}

static void check_remaining_tasks(history_check *check, double ended_at)
{
    GHashTableIter iterator;
    gpointer start;
    g_hash_table_iter_init(&iterator, check->on_machine);
    while (g_hash_table_iter_next(&iterator, NULL, &start))
        check_stay(check, start, ended_at);
}

static void add_to_machine(history_check *check, const mv_event *event)
{
    g_hash_table_replace(check->on_machine, attempt_key(event), g_memdup2(event, sizeof *event));
    const unsigned limit = check->limits->team_tasks;
    if (limit && g_hash_table_size(check->on_machine) > limit)
        add_violation(check, event, "quota");
}

static void remove_from_machine(history_check *check, const mv_event *event)
{
    g_autofree char *key = attempt_key(event);
    if (g_hash_table_remove(check->on_machine, key))
        check_stay(check, event, event->at);
}

static void check_start(history_check *check, const mv_event *event, const char *task)
{
    const char *machine = g_hash_table_lookup(check->running_on, task);
    check->result->starts++;
    if (g_hash_table_contains(check->completed, task))
        check->result->repeated_starts++;
    if (machine && strcmp(machine, event->subject) != 0)
        add_violation(check, event, "ran_twice");
    if (strcmp(job_history_of(check, event->job_id)->final_response, WIRE_CANCELLED) == 0)
        add_violation(check, event, "started_after_cancellation");
    g_hash_table_replace(check->running_on, g_strdup(task), g_strdup(event->subject));
    add_to_machine(check, event);
}

static void check_exit(history_check *check, const mv_event *event, const char *task)
{
    const char *machine = g_hash_table_lookup(check->running_on, task);
    if (event->kind == MV_EVENT_DONE)
        g_hash_table_add(check->completed, g_strdup(task));
    remove_from_machine(check, event);
    if (machine && strcmp(machine, event->subject) == 0)
        g_hash_table_remove(check->running_on, task);
}

static void check_record(history_check *check, const mv_event *event)
{
    job_history *job = job_history_of(check, event->job_id);
    if (++job->records > 1)
        add_violation(check, event, "recorded_twice");
    g_strlcpy(job->recorded, event->text, sizeof job->recorded);
}

static bool is_final_state(const char *state)
{
    return strcmp(state, WIRE_DONE) == 0 || strcmp(state, WIRE_CANCELLED) == 0;
}

static bool all_tasks_completed(const history_check *check, const char *job_id, unsigned tasks)
{
    for (unsigned i = 0; i < tasks; i++) {
        g_autofree char *task = g_strdup_printf("%s/%u", job_id, i);
        if (!g_hash_table_contains(check->completed, task))
            return false;
    }
    return true;
}

static void check_response(history_check *check, const mv_event *event)
{
    job_history *job = job_history_of(check, event->job_id);
    const bool is_final = is_final_state(event->text);
    if (job->final_response[0] && strcmp(job->final_response, event->text) != 0)
        add_violation(check, event, "went_back");
    if (is_final && strcmp(job->recorded, event->text) != 0)
        add_violation(check, event, "answer_without_record");
    if (strcmp(event->text, WIRE_DONE) == 0 &&
        !all_tasks_completed(check, event->job_id, job->tasks))
        add_violation(check, event, "not_done");
    if (strcmp(event->text, WIRE_CANCELLED) == 0 && job->cancelled_at == 0)
        job->cancelled_at = event->at;
    if (is_final)
        g_strlcpy(job->final_response, event->text, sizeof job->final_response);
}

static void check_event(history_check *check, const mv_event *event)
{
    char task[MV_ID_SIZE + 16];
    g_snprintf(task, sizeof task, "%s/%u", event->job_id, event->task);
    switch (event->kind) {
    case MV_EVENT_ACCEPTED:
        job_history_of(check, event->job_id)->accepted = true;
        job_history_of(check, event->job_id)->tasks = event->task;
        break;
    case MV_EVENT_STARTED:
        check_start(check, event, task);
        break;
    case MV_EVENT_DONE:
    case MV_EVENT_LOST:
        check_exit(check, event, task);
        break;
    case MV_EVENT_RECORDED:
        check_record(check, event);
        break;
    case MV_EVENT_RESPONDED:
        check_response(check, event);
        break;
    case MV_EVENT_UNKNOWN:
        if (job_history_of(check, event->job_id)->accepted)
            add_violation(check, event, "forgotten");
        break;
    case MV_EVENT_INVENTED:
        add_violation(check, event, "invented");
        break;
    case MV_EVENT_ENDED:
        add_violation(check, event, "process_ended");
        break;
    case MV_EVENT_INVARIANT:
        add_violation(check, event, "invariant");
        break;
    default:
        break;
    }
}

static void check_job(history_check *check, const char *id, const job_history *job, bool complete)
{
    mv_check_result *result = check->result;
    if (!job->accepted)
        return;
    result->jobs++;
    result->done += strcmp(job->recorded, WIRE_DONE) == 0;
    result->cancelled += strcmp(job->recorded, WIRE_CANCELLED) == 0;
    result->unfinished += job->records == 0;
    if (complete && job->records == 0)
        g_ptr_array_add(result->violations,
                        g_strdup_printf("at the end: no final record of %s", id));
}

static void check_jobs(history_check *check, bool complete)
{
    GHashTableIter iterator;
    gpointer id, job;
    g_hash_table_iter_init(&iterator, check->jobs);
    while (g_hash_table_iter_next(&iterator, &id, &job))
        check_job(check, id, job, complete);
}

mv_check_result *mv_history_check(const GArray *events, const mv_check_limits *limits,
                                  bool complete)
{
    g_autoptr(GHashTable) on_machine =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autoptr(GHashTable) jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autoptr(GHashTable) running_on =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autoptr(GHashTable) completed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    history_check check = {.result = g_new0(mv_check_result, 1),
                           .limits = limits,
                           .on_machine = on_machine,
                           .jobs = jobs,
                           .running_on = running_on,
                           .completed = completed};
    check.result->violations = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < events->len; i++)
        check_event(&check, &g_array_index(events, mv_event, i));
    if (events->len)
        check_remaining_tasks(&check, g_array_index(events, mv_event, events->len - 1).at);
    check_jobs(&check, complete);
    return check.result;
}

void mv_check_result_free(mv_check_result *result)
{
    if (!result)
        return;
    g_ptr_array_unref(result->violations);
    g_free(result);
}
