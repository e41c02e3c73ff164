#include "play.h"

#include "ask.h"
#include "controllers.h"
#include "outside.h"
#include "protocol/names.h"
#include "transport/http_client.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define USERS 4           /* threads; each has its part of the jobs */
#define USER_PAUSE_MS 100 /* between two rounds of a user */
#define ANSWER_MS 5000    /* PROTOCOL: users wait so long for an answer to a submission */
#define POLL_MS 2000      /* and to a question */
#define REPORT_S 0.6      /* the times of the controllers' settings */
#define LEASE_S 6.0
#define CANCEL_S 30.0
#define STATE_RPS 500.0
#define MACHINE_REPORT_MS 200 /* between two reports of a machine */

typedef enum { USER_WAITS, USER_SUBMITS, USER_ASKS, USER_OVER } user_state;

/* A job as its user sees it. */
typedef struct {
    double submit_at, cancel_at; /* cancel_at 0: never */
    unsigned tasks, tries;
    user_state state;
} user_job;

typedef struct {
    const mv_scenario *scenario;
    const mv_play_options *options;
    mv_history *history;
    mv_outside *outside;
    mv_controllers *controllers;
    mv_relay **state_links, **report_links; /* one for each controller */
    mv_relay **peer_links;                  /* from i to k at i * n + k */
    GArray *steps;
    user_job *jobs;
    gint over;     /* jobs that are */
    gint stopping; /* users give up */
} stage;

typedef struct {
    stage *stage;
    unsigned number;
} user;

/* --- users --- */

static GBytes *submission(const stage *s, const char *id, unsigned tasks)
{
    mv_job j = {.urgency = MV_STANDARD, .tasks = tasks, .cores = 2, .ram_gb = 1, .spot = true};
    g_strlcpy(j.id, id, sizeof j.id);
    g_strlcpy(j.class_name, "work", sizeof j.class_name);
    g_strlcpy(j.team_name, "red", sizeof j.team_name);
    g_strlcpy(j.image_name, "img", sizeof j.image_name);
    j.guess_s = s->scenario->run_ms / 1000.0;
    j.due_s = -1;
    mv_out *out = mv_out_new();
    mv_job_write(out, &j, 0);
    return mv_out_take(out);
}

static void told(stage *s, mv_event_kind kind, const char *id, const char *status)
{
    mv_event event = {.kind = kind};
    g_strlcpy(event.job, id, sizeof event.job);
    g_strlcpy(event.text, status, sizeof event.text);
    mv_history_add(s->history, event);
}

/* One request of a user about a job, to the next controller in turn. */
static void user_step(stage *s, unsigned number)
{
    user_job *job = &s->jobs[number];
    char id[MV_ID_SIZE], path[MV_ID_SIZE + 40], status[40];
    g_snprintf(id, sizeof id, "j-%06u", number);
    unsigned at = (number + job->tries++) % s->controllers->n;
    const char *address = s->controllers->list[at].address;
    double now = mv_history_now(s->history);
    if (job->state == USER_SUBMITS) {
        g_autoptr(GBytes) body = submission(s, id, job->tasks);
        int code = mv_ask(address, "POST", N_RUNS, body, ANSWER_MS, status, sizeof status);
        if (code == 200 || code == 201) {
            told(s, MV_EVENT_ACCEPTED, id, status);
            job->state = USER_ASKS;
        }
        return;
    }
    bool cancels = job->cancel_at > 0 && now >= job->cancel_at;
    g_snprintf(path, sizeof path, N_RUNS "/%s%s", id, cancels ? "/" N_ABORT : "");
    int code =
        mv_ask(address, cancels ? "POST" : "GET", path, NULL, POLL_MS, status, sizeof status);
    if (code == 404)
        told(s, MV_EVENT_UNKNOWN, id, status);
    bool final = strcmp(status, N_DONE) == 0 || strcmp(status, N_WITHDRAWN) == 0;
    if (code != 200 || !final)
        return;
    told(s, MV_EVENT_ANSWERED, id, status);
    job->state = USER_OVER;
    g_atomic_int_inc(&s->over);
}

static void *user_thread(void *arg)
{
    const user *u = arg;
    stage *s = u->stage;
    while (!g_atomic_int_get(&s->stopping)) {
        for (unsigned i = u->number; i < s->scenario->jobs; i += USERS) {
            user_job *job = &s->jobs[i];
            if (job->state == USER_WAITS && mv_history_now(s->history) >= job->submit_at)
                job->state = USER_SUBMITS;
            if (job->state == USER_SUBMITS || job->state == USER_ASKS)
                user_step(s, i);
        }
        g_usleep(USER_PAUSE_MS * 1000);
    }
    return NULL;
}

/* --- the script --- */

static mv_link_trouble trouble_of(const mv_step *step)
{
    if (step->kind == MV_STEP_END)
        return (mv_link_trouble){0};
    bool both = step->way == MV_SCRIPT_BOTH;
    return (mv_link_trouble){.lose_requests = both || step->way == MV_SCRIPT_REQUESTS,
                             .lose_answers = both || step->way == MV_SCRIPT_ANSWERS,
                             .refuse = step->way == MV_SCRIPT_REFUSED,
                             .delay_ms = step->way == MV_SCRIPT_SLOW ? step->delay_ms : 0};
}

static bool carry_out(stage *s, const mv_step *step)
{
    mv_link_trouble trouble = trouble_of(step);
    unsigned n = s->controllers->n, i = step->which;
    switch (step->target) {
    case MV_SCRIPT_STATE:
        mv_relay_set(s->state_links[i], &trouble);
        return true;
    case MV_SCRIPT_REPORTS:
        mv_relay_set(s->report_links[i], &trouble);
        return true;
    case MV_SCRIPT_PEERS:
        for (unsigned k = 0; k < n; k++)
            if (k != i)
                mv_relay_set(s->peer_links[i * n + k], &trouble);
        return true;
    case MV_SCRIPT_COMMANDS:
        mv_outside_set_commands(s->outside, i, &trouble);
        return true;
    default:
        mv_controllers_kill(s->controllers, i);
        return step->kind == MV_STEP_BEGIN || mv_controllers_start(s->controllers, i);
    }
}

static void wait_until(const stage *s, double at)
{
    double left = at - mv_history_now(s->history);
    if (left > 0)
        g_usleep((gulong)(left * 1e6));
}

static bool follow_script(stage *s)
{
    for (guint i = 0; i < s->steps->len; i++) {
        const mv_step *step = &g_array_index(s->steps, mv_step, i);
        if (step->kind == MV_STEP_SUBMIT || step->kind == MV_STEP_CANCEL)
            continue; /* the users' */
        wait_until(s, step->at);
        g_autofree char *what = mv_step_describe(step);
        mv_event event = {.kind = MV_EVENT_TROUBLE};
        g_strlcpy(event.text, what, sizeof event.text);
        mv_history_add(s->history, event);
        if (!s->options->quiet)
            printf("%8.3f %s\n", mv_history_now(s->history), what);
        if (!carry_out(s, step))
            return false;
    }
    return true;
}

static void plan_jobs(stage *s)
{
    s->jobs = g_new0(user_job, s->scenario->jobs);
    for (guint i = 0; i < s->steps->len; i++) {
        const mv_step *step = &g_array_index(s->steps, mv_step, i);
        if (step->kind == MV_STEP_SUBMIT) {
            s->jobs[step->which].submit_at = step->at;
            s->jobs[step->which].tasks = step->tasks;
        } else if (step->kind == MV_STEP_CANCEL) {
            s->jobs[step->which].cancel_at = step->at;
        }
    }
}

static bool play_script(stage *s, mv_play_result *result)
{
    user users[USERS];
    pthread_t threads[USERS];
    for (unsigned i = 0; i < USERS; i++) {
        users[i] = (user){s, i};
        int failed = pthread_create(&threads[i], NULL, user_thread, &users[i]);
        g_assert(failed == 0);
    }
    bool ok = follow_script(s);
    wait_until(s, s->scenario->seconds);
    double until = mv_history_now(s->history) + MV_PLAY_END_S;
    while (ok && (unsigned)g_atomic_int_get(&s->over) < s->scenario->jobs &&
           mv_history_now(s->history) < until)
        g_usleep(USER_PAUSE_MS * 1000);
    result->complete = (unsigned)g_atomic_int_get(&s->over) == s->scenario->jobs;
    g_atomic_int_set(&s->stopping, 1);
    for (unsigned i = 0; i < USERS; i++)
        pthread_join(threads[i], NULL);
    return ok;
}

/* --- the stage --- */

static mv_relay *link_to(uint16_t target, uint16_t *port)
{
    mv_relay *relay = mv_relay_start(target, port);
    g_assert(relay);
    return relay;
}

/* Every link of every controller goes through a relay of its own. */
static bool set_up(stage *s, const char **failed)
{
    unsigned n = s->scenario->controllers;
    g_autofree uint16_t *reports = g_new0(uint16_t, n);
    s->state_links = g_new0(mv_relay *, n);
    s->report_links = g_new0(mv_relay *, n);
    s->peer_links = g_new0(mv_relay *, (gsize)n * n);
    for (unsigned i = 0; i < n; i++)
        s->report_links[i] = link_to(s->controllers->list[i].listen, &reports[i]);
    mv_outside_controllers(s->outside, reports, n);
    for (unsigned i = 0; i < n; i++) {
        uint16_t state;
        g_autofree uint16_t *backs = g_new0(uint16_t, n);
        s->state_links[i] = link_to(mv_outside_state_port(s->outside), &state);
        for (unsigned k = 0; k < n; k++)
            if (k != i)
                s->peer_links[i * n + k] = link_to(s->controllers->list[k].back, &backs[k]);
        *failed = s->controllers->list[i].config;
        if (!mv_controllers_configure(s->controllers, i, state, mv_outside_cloud_port(s->outside),
                                      backs))
            return false;
    }
    for (unsigned i = 0; i < n; i++) {
        *failed = s->options->program;
        if (!mv_controllers_start(s->controllers, i))
            return false;
    }
    return true;
}

static void take_down(stage *s)
{
    unsigned n = s->scenario->controllers;
    for (unsigned i = 0; i < n; i++)
        mv_controllers_kill(s->controllers, i);
    mv_outside_stop(s->outside);
    for (unsigned i = 0; i < n * n; i++)
        mv_relay_stop(s->peer_links[i]);
    for (unsigned i = 0; i < n; i++) {
        mv_relay_stop(s->state_links[i]);
        mv_relay_stop(s->report_links[i]);
    }
    g_free(s->peer_links);
    g_free(s->state_links);
    g_free(s->report_links);
    g_free(s->jobs);
    mv_controllers_free(s->controllers, true);
    g_array_unref(s->steps);
}

static char *operator_file(const mv_scenario *scenario, const char *directory)
{
    if (!scenario->launch_gate)
        return NULL;
    char *path = g_strdup_printf("%s/operator.yaml", directory);
    if (g_file_set_contents(path, "launch_gate: true\n", -1, NULL))
        return path;
    g_free(path);
    return NULL;
}

bool mv_play(const mv_scenario *scenario, uint32_t seed, const mv_play_options *options,
             mv_play_result *result, char *error, size_t error_size)
{
    g_autofree char *history_path = g_strdup_printf("%s/history.txt", options->directory);
    g_autofree char *operators = operator_file(scenario, options->directory);
    stage s = {.scenario = scenario, .options = options};
    s.history = mv_history_open(history_path);
    if (!s.history) {
        g_snprintf(error, error_size, "%s: cannot be written", history_path);
        return false;
    }
    mv_http_client_init();
    mv_outside_options around = {.machines = scenario->machines,
                                 .run_s = scenario->run_ms / 1000.0,
                                 .lease_s = LEASE_S,
                                 .report_ms = MACHINE_REPORT_MS,
                                 .history = s.history};
    mv_controllers_options processes = {.program = options->program,
                                        .directory = options->directory,
                                        .operator_file = operators,
                                        .report_s = REPORT_S,
                                        .lease_s = LEASE_S,
                                        .cancel_s = CANCEL_S,
                                        .state_rps = STATE_RPS};
    s.outside = mv_outside_start(&around);
    s.controllers = mv_controllers_new(&processes, scenario->controllers);
    s.steps = mv_script_draw(scenario, seed);
    plan_jobs(&s);
    const char *failed = NULL;
    bool ok = set_up(&s, &failed) && play_script(&s, result);
    if (!ok)
        g_snprintf(error, error_size, "%s: cannot be started", failed);
    take_down(&s);
    result->events = mv_history_events(s.history);
    mv_history_close(s.history);
    return ok;
}
