/**
 * Tests the fault injection kit: the history checker, scenarios and scripts, the relay, the
 * program, and a short run with real processes.
 */
#include "history_checker.h"
#include "loopback.h"
#include "relay.h"
#include "script.h"

#include <glib/gstdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define SHORT_SCENARIO SCENARIOS "/short.yaml"

/* --- history checker --- */

static const mv_check_limits LIMITS = {.cancel_s = 10, .exit_delay_s = 2, .team_tasks = 4};

static void add_event(GArray *events, mv_event_kind kind, const char *subject, const char *job,
                      uint32_t task, const char *text)
{
    mv_event event = {.at = events->len, .kind = kind, .task = task};
    g_strlcpy(event.subject, subject, sizeof event.subject);
    g_strlcpy(event.job_id, job, sizeof event.job_id);
    g_strlcpy(event.text, text, sizeof event.text);
    g_array_append_val(events, event);
}

/* Returns the history of a job of two tasks, which breaks no rule. The caller owns the events. */
static GArray *valid_history(void)
{
    GArray *events = g_array_new(FALSE, TRUE, sizeof(mv_event));
    add_event(events, MV_EVENT_UNKNOWN, "", "j-1", 0, "");
    add_event(events, MV_EVENT_ACCEPTED, "", "j-1", 0, "pending");
    add_event(events, MV_EVENT_STARTED, "vm-1", "j-1", 0, "");
    add_event(events, MV_EVENT_STARTED, "vm-2", "j-1", 1, "");
    add_event(events, MV_EVENT_LOST, "vm-2", "j-1", 1, "");
    add_event(events, MV_EVENT_STARTED, "vm-1", "j-1", 1, "");
    add_event(events, MV_EVENT_DONE, "vm-1", "j-1", 0, "");
    add_event(events, MV_EVENT_DONE, "vm-1", "j-1", 1, "");
    add_event(events, MV_EVENT_RECORDED, "", "j-1", 0, "done");
    add_event(events, MV_EVENT_RESPONDED, "", "j-1", 0, "done");
    return events;
}

/* Asserts that the checker finds exactly one violation, of the given rule, or none if `rule` is
 * NULL. */
static void assert_violation(const GArray *events, bool complete, const char *rule)
{
    g_autoptr(mv_check_result) result = mv_history_check(events, &LIMITS, complete);
    g_assert_cmpuint(result->violations->len, ==, rule ? 1 : 0);
    if (rule)
        g_assert_nonnull(strstr(g_ptr_array_index(result->violations, 0), rule));
}

static void valid_history_has_no_violations(void)
{
    g_autoptr(GArray) events = valid_history();
    assert_violation(events, true, NULL);
    g_autoptr(mv_check_result) result = mv_history_check(events, &LIMITS, true);
    g_assert_cmpuint(result->jobs, ==, 1);
    g_assert_cmpuint(result->done, ==, 1);
    g_assert_cmpuint(result->starts, ==, 3);
    g_assert_cmpuint(result->repeated_starts, ==, 0);
}

/* The checker finds each planted violation and reports no other violation. */
static void planted_violations_are_found(void)
{
    static const struct {
        mv_event_kind kind;
        const char *subject, *job, *text, *rule;
    } planted[] = {{MV_EVENT_RECORDED, "", "j-1", "withdrawn", "recorded_twice"},
                   {MV_EVENT_RESPONDED, "", "j-1", "pending", "went_back"},
                   {MV_EVENT_UNKNOWN, "", "j-1", "", "forgotten"},
                   {MV_EVENT_RESPONDED, "", "j-2", "done", "answer_without_record"},
                   {MV_EVENT_INVENTED, "", "j-9", "pending", "invented"},
                   {MV_EVENT_ENDED, "n1", "", "", "process_ended"},
                   {MV_EVENT_INVARIANT, "n1", "", "rule=stop_in_answer", "invariant"},
                   {MV_EVENT_ACCEPTED, "", "j-3", "pending", "no final record of j-3"}};
    for (size_t i = 0; i < G_N_ELEMENTS(planted); i++) {
        g_autoptr(GArray) events = valid_history();
        add_event(events, planted[i].kind, planted[i].subject, planted[i].job, 0, planted[i].text);
        assert_violation(events, true, planted[i].rule);
    }
}

static void task_on_two_machines_is_a_violation(void)
{
    g_autoptr(GArray) events = valid_history();
    add_event(events, MV_EVENT_STARTED, "vm-1", "j-1", 7, "");
    add_event(events, MV_EVENT_STARTED, "vm-2", "j-1", 7, "");
    assert_violation(events, true, "ran_twice");
}

/* The checker finds a task that starts after a user was told that the job is cancelled. */
static void start_after_cancellation_is_a_violation(void)
{
    g_autoptr(GArray) events = g_array_new(FALSE, TRUE, sizeof(mv_event));
    add_event(events, MV_EVENT_ACCEPTED, "", "j-1", 0, "pending");
    add_event(events, MV_EVENT_STARTED, "vm-1", "j-1", 0, "");
    add_event(events, MV_EVENT_RECORDED, "", "j-1", 0, "withdrawn");
    add_event(events, MV_EVENT_STARTED, "vm-1", "j-1", 1, "");
    assert_violation(events, true, NULL);
    add_event(events, MV_EVENT_RESPONDED, "", "j-1", 0, "withdrawn");
    add_event(events, MV_EVENT_STARTED, "vm-1", "j-1", 2, "");
    assert_violation(events, true, "started_after_cancellation");
}

/* Appends an event at this time. */
static void add_event_at(GArray *events, double at, mv_event_kind kind, const char *subject,
                         const char *job, uint32_t task, const char *text)
{
    add_event(events, kind, subject, job, task, text);
    g_array_index(events, mv_event, events->len - 1).at = at;
}

/* Returns the history of a job that is cancelled at 1 while its task runs. The caller owns it. */
static GArray *cancelled_history(void)
{
    GArray *events = g_array_new(FALSE, TRUE, sizeof(mv_event));
    add_event_at(events, 0, MV_EVENT_ACCEPTED, "", "j-1", 1, "pending");
    add_event_at(events, 0.5, MV_EVENT_STARTED, "vm-1", "j-1", 0, "");
    add_event_at(events, 1, MV_EVENT_RECORDED, "", "j-1", 0, "withdrawn");
    add_event_at(events, 1, MV_EVENT_RESPONDED, "", "j-1", 0, "withdrawn");
    return events;
}

/* The checker finds a task that is on its machine for more than cancel_s after the answer, whether
 * it ends later or is there at the end, and allows the delay with which an end is recorded. */
static void stay_after_cancellation_is_a_violation(void)
{
    const double latest = 1 + LIMITS.cancel_s + LIMITS.exit_delay_s;
    g_autoptr(GArray) in_time = cancelled_history();
    add_event_at(in_time, latest, MV_EVENT_LOST, "vm-1", "j-1", 0, "");
    assert_violation(in_time, true, NULL);
    g_autoptr(GArray) late = cancelled_history();
    add_event_at(late, latest + 0.1, MV_EVENT_LOST, "vm-1", "j-1", 0, "");
    assert_violation(late, true, "ran_cancelled");
    g_autoptr(GArray) still_there = cancelled_history();
    add_event_at(still_there, latest + 0.1, MV_EVENT_FAULT, "", "", 0, "");
    assert_violation(still_there, true, "ran_cancelled");
}

static void done_before_all_tasks_is_a_violation(void)
{
    g_autoptr(GArray) events = g_array_new(FALSE, TRUE, sizeof(mv_event));
    add_event(events, MV_EVENT_ACCEPTED, "", "j-1", 2, "pending");
    add_event(events, MV_EVENT_STARTED, "vm-1", "j-1", 0, "");
    add_event(events, MV_EVENT_DONE, "vm-1", "j-1", 0, "");
    add_event(events, MV_EVENT_RECORDED, "", "j-1", 0, "done");
    add_event(events, MV_EVENT_RESPONDED, "", "j-1", 0, "done");
    assert_violation(events, true, "not_done");
}

static void more_tasks_than_the_limit_is_a_violation(void)
{
    g_autoptr(GArray) events = g_array_new(FALSE, TRUE, sizeof(mv_event));
    for (uint32_t i = 0; i < LIMITS.team_tasks; i++)
        add_event(events, MV_EVENT_STARTED, "vm-1", "j-1", i, "");
    assert_violation(events, false, NULL);
    add_event(events, MV_EVENT_STARTED, "vm-1", "j-1", LIMITS.team_tasks, "");
    assert_violation(events, false, "quota");
}

static void incomplete_run_needs_no_final_record(void)
{
    g_autoptr(GArray) events = valid_history();
    add_event(events, MV_EVENT_ACCEPTED, "", "j-3", 0, "pending");
    assert_violation(events, false, NULL);
}

/* --- scenarios and scripts --- */

static mv_scenario *load_short_scenario(void)
{
    g_autoptr(GError) error = NULL;
    mv_scenario *scenario = mv_scenario_load(SHORT_SCENARIO, &error);
    g_assert_no_error(error);
    g_assert_nonnull(scenario);
    return scenario;
}

static const mv_step *step_at(const GArray *steps, guint index)
{
    return &g_array_index(steps, mv_step, index);
}

static void script_has_steps_in_order_of_time(void)
{
    g_autoptr(mv_scenario) scenario = load_short_scenario();
    g_autoptr(GArray) steps = mv_script_generate(scenario, 5);
    g_assert_cmpuint(steps->len, >, scenario->jobs);
    for (guint i = 1; i < steps->len; i++)
        g_assert_true(step_at(steps, i)->at >= step_at(steps, i - 1)->at);
}

static void same_seed_gives_same_script(void)
{
    g_autoptr(mv_scenario) scenario = load_short_scenario();
    g_autoptr(GArray) first = mv_script_generate(scenario, 5);
    g_autoptr(GArray) second = mv_script_generate(scenario, 5);
    g_assert_cmpuint(first->len, ==, second->len);
    for (guint i = 0; i < first->len; i++) {
        g_autofree char *first_text = mv_step_describe(step_at(first, i));
        g_autofree char *second_text = mv_step_describe(step_at(second, i));
        g_assert_cmpstr(first_text, ==, second_text);
        g_assert_true(step_at(first, i)->at == step_at(second, i)->at);
    }
}

static void other_seed_gives_other_script(void)
{
    g_autoptr(mv_scenario) scenario = load_short_scenario();
    g_autoptr(GArray) first = mv_script_generate(scenario, 5);
    g_autoptr(GArray) second = mv_script_generate(scenario, 6);
    bool differs = first->len != second->len;
    for (guint i = 0; i < first->len && !differs; i++)
        differs = step_at(first, i)->at != step_at(second, i)->at;
    g_assert_true(differs);
}

static char *write_temporary_scenario(const char *text)
{
    char *path = NULL;
    const int fd = g_file_open_tmp("scenario-XXXXXX.yaml", &path, NULL);
    g_assert_cmpint(fd, >=, 0);
    close(fd);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    return path;
}

static void errors_name_field_and_place(void)
{
#define VALID_HEAD "controllers: 3\nmachines: 3\nseconds: 5\njobs: 4\nmost_tasks: 2\nrun_ms: 100\n"
    static const struct {
        const char *text;
        mv_scenario_error code;
        const char *field, *place;
    } invalid[] = {
        {VALID_HEAD "troubles:\n  - target: moon\n", MV_SCENARIO_ERROR_FILE, "target", "line:"},
        {VALID_HEAD "no_such: 1\ntroubles: []\n", MV_SCENARIO_ERROR_FILE, "no_such", "line:"},
        {VALID_HEAD "launch_gate: perhaps\ntroubles: []\n", MV_SCENARIO_ERROR_FILE, "launch_gate",
         "line:"},
        {"controllers: 99\nmachines: 3\nseconds: 5\njobs: 4\nmost_tasks: 2\nrun_ms: 100\n"
         "troubles: []\n",
         MV_SCENARIO_ERROR_RANGE, "controllers", "between 1 and 10"},
        {VALID_HEAD "troubles:\n  - {target: state, every_ms: 500, least_ms: 9, most_ms: 3}\n",
         MV_SCENARIO_ERROR_RANGE, "troubles[0]: most_ms", "between 9"},
        {VALID_HEAD "cancel_s: 3\ntroubles: []\n", MV_SCENARIO_ERROR_RANGE, "cancel_s",
         "between 13"},
        {VALID_HEAD "repeat_requests: often\ntroubles: []\n", MV_SCENARIO_ERROR_FILE,
         "repeat_requests", "line:"},
        {"controllers: 3\n", MV_SCENARIO_ERROR_FILE, "machines", ""}};
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_autoptr(GError) error = NULL;
        g_autofree char *path = write_temporary_scenario(invalid[i].text);
        g_assert_null(mv_scenario_load(path, &error));
        g_unlink(path);
        g_assert_error(error, MV_SCENARIO_ERROR, (gint)invalid[i].code);
        if (!strstr(error->message, invalid[i].field) || !strstr(error->message, invalid[i].place))
            g_error("%s: %s and %s expected", error->message, invalid[i].field, invalid[i].place);
    }
}

/* --- relay --- */

#define ARRIVAL_TIMEOUT_MS 30000 /* for bytes that must arrive, also on a slow machine */
#define LOSS_TIMEOUT_MS 150      /* for bytes that must not arrive */

typedef enum { ECHO_RECEIVED, ECHO_CONNECTION_ENDED, ECHO_TIMED_OUT } echo_result;

typedef struct {
    int listener;
    GThread *echo_thread;
    mv_relay *relay;
    uint16_t port; /* port of the relay */
} relay_fixture;

/* Accepts connections one after another and sends each received byte back. */
static gpointer serve_echo(gpointer data)
{
    const int listener = GPOINTER_TO_INT(data);
    int fd;
    while ((fd = accept(listener, NULL, NULL)) >= 0) {
        char byte;
        while (recv(fd, &byte, 1, 0) == 1)
            send(fd, &byte, 1, MSG_NOSIGNAL);
        close(fd);
    }
    return NULL;
}

static void relay_set_up(relay_fixture *fixture, gconstpointer data)
{
    (void)data;
    uint16_t echo_port;
    fixture->listener = mv_loopback_listen(&echo_port);
    g_assert_cmpint(fixture->listener, >=, 0);
    fixture->echo_thread = g_thread_new("echo", serve_echo, GINT_TO_POINTER(fixture->listener));
    fixture->relay = mv_relay_start(echo_port, &fixture->port);
    g_assert_nonnull(fixture->relay);
}

static void relay_tear_down(relay_fixture *fixture, gconstpointer data)
{
    (void)data;
    mv_relay_stop(fixture->relay);
    shutdown(fixture->listener, SHUT_RDWR);
    close(fixture->listener);
    g_thread_join(fixture->echo_thread);
}

static int connect_to_relay(const relay_fixture *fixture)
{
    const int fd = mv_loopback_connect(fixture->port);
    g_assert_cmpint(fd, >=, 0);
    return fd;
}

static echo_result send_byte(int fd, unsigned timeout_ms)
{
    char byte = 'x';
    const struct timeval timeout = {.tv_sec = timeout_ms / 1000,
                                    .tv_usec = (timeout_ms % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    send(fd, &byte, 1, MSG_NOSIGNAL);
    const ssize_t received = recv(fd, &byte, 1, 0);
    if (received == 1)
        return ECHO_RECEIVED;
    return received == 0 ? ECHO_CONNECTION_ENDED : ECHO_TIMED_OUT;
}

static void relay_drops_one_direction_until_healed(relay_fixture *fixture, gconstpointer data)
{
    (void)data;
    const mv_link_fault dropping = {.drop_responses = true};
    const mv_link_fault healed = {0};
    const int fd = connect_to_relay(fixture);
    g_assert_cmpint(send_byte(fd, ARRIVAL_TIMEOUT_MS), ==, ECHO_RECEIVED);
    mv_relay_set(fixture->relay, &dropping);
    g_assert_cmpint(send_byte(fd, LOSS_TIMEOUT_MS), ==, ECHO_TIMED_OUT);
    /* When the fault ends, the relay closes a connection that has lost data; a new connection
     * works. */
    mv_relay_set(fixture->relay, &healed);
    g_assert_cmpint(send_byte(fd, ARRIVAL_TIMEOUT_MS), !=, ECHO_RECEIVED);
    close(fd);
    const int new_fd = connect_to_relay(fixture);
    g_assert_cmpint(send_byte(new_fd, ARRIVAL_TIMEOUT_MS), ==, ECHO_RECEIVED);
    close(new_fd);
}

static void relay_refuses_connections(relay_fixture *fixture, gconstpointer data)
{
    (void)data;
    const mv_link_fault refusing = {.refuse = true};
    const int before = connect_to_relay(fixture);
    g_assert_cmpint(send_byte(before, ARRIVAL_TIMEOUT_MS), ==, ECHO_RECEIVED);
    close(before);
    mv_relay_set(fixture->relay, &refusing);
    const int fd = connect_to_relay(fixture);
    g_assert_cmpint(send_byte(fd, ARRIVAL_TIMEOUT_MS), !=, ECHO_RECEIVED);
    close(fd);
}

/* --- the program --- */

typedef struct {
    int status;
    char *out, *err;
} program_result;

static void program_result_clear(program_result *result)
{
    g_free(result->out);
    g_free(result->err);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(program_result, program_result_clear)

static program_result run_program(const char *subcommand, const char *scenario, const char *service)
{
    g_autofree char *directory = g_dir_make_tmp("fault-injection-XXXXXX", NULL);
    const char *argv[] = {FAULT_INJECTION, subcommand, scenario,      "--seed",  "3", "--program",
                          service,         "-q",       "--directory", directory, NULL};
    program_result result = {0};
    int status = -1;
    g_assert_true(g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &result.out,
                               &result.err, &status, NULL));
    g_assert_true(WIFEXITED(status));
    result.status = WEXITSTATUS(status);
    return result;
}

/* Pauses, kills of the leader and of the owner, hung machines, outages and repeated requests. */
static void soak_holds_every_rule(void)
{
    g_auto(program_result) result = run_program("soak", SCENARIOS "/soak.yaml", MV_PROGRAM);
    if (result.status != 0)
        g_error("%s%s", result.out, result.err);
    g_assert_nonnull(strstr(result.out, "seeds 1: 1 passed, 0 failed, 0 not run"));
}

/* Three real controllers run while their links break and heal in one direction. Every job
 * must get exactly one final response. */
static void short_scenario_holds_every_rule(void)
{
    g_auto(program_result) result = run_program("run", SHORT_SCENARIO, MV_PROGRAM);
    if (result.status != 0)
        g_error("%s%s", result.out, result.err);
    g_assert_nonnull(strstr(result.out, "every rule held"));
    g_assert_nonnull(strstr(result.out, "jobs         40 accepted"));
}

static void missing_service_is_an_error(void)
{
    g_auto(program_result) result = run_program("run", SHORT_SCENARIO, "/no/such/program");
    g_assert_cmpint(result.status, ==, 2);
    g_assert_nonnull(strstr(result.err, "/no/such/program: cannot be started"));
}

static void missing_scenario_is_an_error(void)
{
    g_auto(program_result) result = run_program("run", "/no/such/scenario", MV_PROGRAM);
    g_assert_cmpint(result.status, ==, 2);
    g_assert_nonnull(strstr(result.err, "/no/such/scenario"));
}

static void unknown_subcommand_is_an_error(void)
{
    g_auto(program_result) result = run_program("dance", SHORT_SCENARIO, MV_PROGRAM);
    g_assert_cmpint(result.status, ==, 2);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fault-injection/checker/valid", valid_history_has_no_violations);
    g_test_add_func("/fault-injection/checker/violations", planted_violations_are_found);
    g_test_add_func("/fault-injection/checker/two-machines", task_on_two_machines_is_a_violation);
    g_test_add_func("/fault-injection/checker/cancelled", start_after_cancellation_is_a_violation);
    g_test_add_func("/fault-injection/checker/stay", stay_after_cancellation_is_a_violation);
    g_test_add_func("/fault-injection/checker/not-done", done_before_all_tasks_is_a_violation);
    g_test_add_func("/fault-injection/checker/quota", more_tasks_than_the_limit_is_a_violation);
    g_test_add_func("/fault-injection/checker/incomplete", incomplete_run_needs_no_final_record);
    g_test_add_func("/fault-injection/script/order", script_has_steps_in_order_of_time);
    g_test_add_func("/fault-injection/script/same-seed", same_seed_gives_same_script);
    g_test_add_func("/fault-injection/script/other-seed", other_seed_gives_other_script);
    g_test_add_func("/fault-injection/scenario/errors", errors_name_field_and_place);
    g_test_add("/fault-injection/relay/one-way", relay_fixture, NULL, relay_set_up,
               relay_drops_one_direction_until_healed, relay_tear_down);
    g_test_add("/fault-injection/relay/refuses", relay_fixture, NULL, relay_set_up,
               relay_refuses_connections, relay_tear_down);
    g_test_add_func("/fault-injection/program/no-service", missing_service_is_an_error);
    g_test_add_func("/fault-injection/program/no-scenario", missing_scenario_is_an_error);
    g_test_add_func("/fault-injection/program/subcommand", unknown_subcommand_is_an_error);
    g_test_add_func("/fault-injection/program/short", short_scenario_holds_every_rule);
    g_test_add_func("/fault-injection/program/soak", soak_holds_every_rule);
    return g_test_run();
}
