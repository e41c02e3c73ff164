/**
 * Simulated users: threads that submit, cancel and poll the jobs of a script.
 */
#include "simulated_users.h"

#include "protocol/messages.h"
#include "protocol/names.h"
#include "script.h"
#include "simulated_machine.h"
#include "user_client.h"

#include <microhttpd.h>
#include <pthread.h>
#include <string.h>

#define USER_THREADS 4
#define NEVER_SUBMITTED "j-999999" /* a job that no user submits */
#define USER_PAUSE_MS 100          /* pause of a user between two rounds over its jobs */
/* The published protocol sets how long users wait for a response: to a submission, and to a poll or
 * cancellation. */
#define SUBMIT_TIMEOUT_MS 5000
#define POLL_TIMEOUT_MS 2000

typedef enum { JOB_PLANNED, JOB_SUBMITTING, JOB_POLLING, JOB_FINISHED } job_state;

/* A job from the view of its user. While the users run, only the job's own user thread accesses the
 * job. */
typedef struct {
    char id[MV_ID_SIZE];
    double submit_at;
    double cancel_at; /* 0: the user never cancels the job */
    unsigned tasks;
    unsigned next_controller;
    job_state state;
} user_job;

typedef struct {
    mv_simulated_users *users;
    unsigned number;
    pthread_t thread;
} user;

struct mv_simulated_users {
    mv_users_options options;
    user_job *jobs;
    user threads[USER_THREADS];
    gint finished_jobs; /* accessed atomically */
    gint stopping;      /* accessed atomically */
};

static void plan_jobs(mv_simulated_users *users)
{
    users->jobs = g_new0(user_job, users->options.jobs);
    for (unsigned i = 0; i < users->options.jobs; i++) {
        g_snprintf(users->jobs[i].id, sizeof users->jobs[i].id, "j-%06u", i);
        users->jobs[i].next_controller = i;
    }
    for (guint i = 0; i < users->options.steps->len; i++) {
        const mv_step *step = &g_array_index(users->options.steps, mv_step, i);
        if (step->kind == MV_STEP_SUBMIT) {
            users->jobs[step->target_index].submit_at = step->at;
            users->jobs[step->target_index].tasks = step->tasks;
        } else if (step->kind == MV_STEP_CANCEL) {
            users->jobs[step->target_index].cancel_at = step->at;
        }
    }
}

static void record_response(const mv_simulated_users *users, mv_event_kind kind,
                            const user_job *job, const char *status)
{
    mv_event event = {.kind = kind, .task = kind == MV_EVENT_ACCEPTED ? job->tasks : 0};
    g_strlcpy(event.job_id, job->id, sizeof event.job_id);
    g_strlcpy(event.text, status, sizeof event.text);
    mv_history_add(users->options.history, event);
}

/* Returns the address of the controller for the job's next request. The requests of a job go to the
 * controllers in rotation. */
static const char *next_controller(const mv_simulated_users *users, user_job *job)
{
    const mv_controller_cluster *cluster = users->options.cluster;
    return cluster->nodes[job->next_controller++ % cluster->count].address;
}

static GBytes *submission(const mv_simulated_users *users, const user_job *job)
{
    mv_job_spec spec = {.priority = MV_PRIORITY_STANDARD,
                        .tasks = job->tasks,
                        .cores = MV_SIMULATED_TASK_CORES,
                        .ram_gb = 1,
                        .spot = true,
                        .estimated_runtime_s = users->options.estimated_runtime_s,
                        .deadline_s = -1};
    g_strlcpy(spec.id, job->id, sizeof spec.id);
    g_strlcpy(spec.class_name, "work", sizeof spec.class_name);
    g_strlcpy(spec.team_name, "red", sizeof spec.team_name);
    g_strlcpy(spec.image_name, "img", sizeof spec.image_name);
    mv_writer *writer = mv_writer_new();
    mv_job_spec_write(writer, &spec, 0);
    return mv_writer_finish(writer);
}

static void submit(const mv_simulated_users *users, user_job *job)
{
    char status[40];
    g_autoptr(GBytes) body = submission(users, job);
    const int http_status = mv_user_request(next_controller(users, job), "POST", WIRE_JOBS_PATH,
                                            body, SUBMIT_TIMEOUT_MS, status, sizeof status);
    if (http_status != MHD_HTTP_OK && http_status != MHD_HTTP_CREATED)
        return;
    record_response(users, MV_EVENT_ACCEPTED, job, status);
    job->state = JOB_POLLING;
}

static bool is_final_state(const char *status)
{
    return strcmp(status, WIRE_DONE) == 0 || strcmp(status, WIRE_CANCELLED) == 0;
}

/* --- repeated requests --- */

/* Records the response to a repeated request. Only a state of the job, a 404, and the refusal of a
 * job that was accepted say something about the rules. */
static void record_repeated(const mv_simulated_users *users, const user_job *job, int http_status,
                            const char *status)
{
    const bool refused = http_status == MHD_HTTP_BAD_REQUEST ||
                         http_status == MHD_HTTP_UNPROCESSABLE_CONTENT ||
                         http_status == MHD_HTTP_NOT_FOUND;
    if (http_status == MHD_HTTP_OK || http_status == MHD_HTTP_CREATED)
        record_response(users, MV_EVENT_RESPONDED, job, status);
    else if (refused)
        record_response(users, MV_EVENT_UNKNOWN, job, status);
}

static void repeat_request(const mv_simulated_users *users, const user_job *job,
                           const char *address, const char *method, const char *suffix)
{
    char path[MV_ID_SIZE + 40];
    char status[40];
    g_snprintf(path, sizeof path, WIRE_JOBS_PATH "/%s%s", job->id, suffix);
    const int http_status =
        mv_user_request(address, method, path, NULL, POLL_TIMEOUT_MS, status, sizeof status);
    record_repeated(users, job, http_status, status);
}

static void repeat_submission(const mv_simulated_users *users, const user_job *job,
                              const char *address)
{
    char status[40];
    g_autoptr(GBytes) body = submission(users, job);
    const int http_status = mv_user_request(address, "POST", WIRE_JOBS_PATH, body,
                                            SUBMIT_TIMEOUT_MS, status, sizeof status);
    record_repeated(users, job, http_status, status);
}

static void poll_unknown_job(const mv_simulated_users *users, const char *address)
{
    char status[40];
    const int http_status = mv_user_request(address, "GET", WIRE_JOBS_PATH "/" NEVER_SUBMITTED,
                                            NULL, POLL_TIMEOUT_MS, status, sizeof status);
    const user_job unknown = {.id = NEVER_SUBMITTED};
    if (http_status == MHD_HTTP_OK)
        record_response(users, MV_EVENT_INVENTED, &unknown, status);
}

static void repeat_requests(const mv_simulated_users *users, const user_job *job)
{
    const mv_controller_cluster *cluster = users->options.cluster;
    for (unsigned i = 0; i < cluster->count; i++) {
        const char *address = cluster->nodes[i].address;
        repeat_request(users, job, address, "GET", "");
        if (job->cancel_at > 0)
            repeat_request(users, job, address, "POST", "/" WIRE_CANCEL);
        repeat_submission(users, job, address);
        poll_unknown_job(users, address);
    }
}

/* --- jobs --- */

/* Polls the state of the job, or cancels the job if the time for that has come; the controller
 * responds to both with the state. If the state is final, the job is finished. */
static void poll_or_cancel(mv_simulated_users *users, user_job *job, double now)
{
    char path[MV_ID_SIZE + 40];
    char status[40];
    const bool cancels = job->cancel_at > 0 && now >= job->cancel_at;
    g_snprintf(path, sizeof path, WIRE_JOBS_PATH "/%s%s", job->id, cancels ? "/" WIRE_CANCEL : "");
    const int http_status = mv_user_request(next_controller(users, job), cancels ? "POST" : "GET",
                                            path, NULL, POLL_TIMEOUT_MS, status, sizeof status);
    if (http_status == MHD_HTTP_NOT_FOUND)
        record_response(users, MV_EVENT_UNKNOWN, job, status);
    if (http_status != MHD_HTTP_OK || !is_final_state(status))
        return;
    record_response(users, MV_EVENT_RESPONDED, job, status);
    job->state = JOB_FINISHED;
    if (users->options.repeat_requests)
        repeat_requests(users, job);
    g_atomic_int_inc(&users->finished_jobs);
}

static void advance_job(mv_simulated_users *users, user_job *job)
{
    const double now = mv_history_now(users->options.history);
    if (job->state == JOB_PLANNED && now >= job->submit_at)
        job->state = JOB_SUBMITTING;
    if (job->state == JOB_SUBMITTING)
        submit(users, job);
    else if (job->state == JOB_POLLING)
        poll_or_cancel(users, job, now);
}

static void *user_thread(void *arg)
{
    const user *user = arg;
    mv_simulated_users *users = user->users;
    while (!g_atomic_int_get(&users->stopping)) {
        for (unsigned i = user->number; i < users->options.jobs; i += USER_THREADS)
            advance_job(users, &users->jobs[i]);
        g_usleep(USER_PAUSE_MS * 1000);
    }
    return NULL;
}

mv_simulated_users *mv_simulated_users_start(const mv_users_options *options)
{
    mv_simulated_users *users = g_new0(mv_simulated_users, 1);
    users->options = *options;
    plan_jobs(users);
    for (unsigned i = 0; i < USER_THREADS; i++) {
        user *user = &users->threads[i];
        user->users = users;
        user->number = i;
        const int error = pthread_create(&user->thread, NULL, user_thread, user);
        g_assert(error == 0);
    }
    return users;
}

bool mv_simulated_users_are_finished(const mv_simulated_users *users)
{
    return (unsigned)g_atomic_int_get(&users->finished_jobs) == users->options.jobs;
}

void mv_simulated_users_stop(mv_simulated_users *users)
{
    g_atomic_int_set(&users->stopping, 1);
    for (unsigned i = 0; i < USER_THREADS; i++)
        pthread_join(users->threads[i].thread, NULL);
    g_free(users->jobs);
    g_free(users);
}
