/**
 * Three real controller processes on loopback, of which the owner of a job loses the state store
 * while a user cancels the job through another controller.
 *
 * Rule of the protocol page: "POST /v2/runs/{id}/abort" - after the answer no task of the job may
 * be started.
 */
#include "linked_cluster.h"

#include "history_checker.h"
#include "protocol/codec.h"

#define MACHINES 2
#define TASK_RUN_S 0.5
#define MACHINE_LEASE_S 10
#define CANCEL_S 30
/* Tasks of the job that run before the user cancels it; many more wait. */
#define STARTED_TASKS 4
#define WAITING_JOB_TASKS 2000
/* Time in which an owner that does not know of the cancellation starts many more tasks. */
#define OBSERVATION_MS 4000
#define OUTAGE_AFTER_MS 500

static mv_history *history;

/* --- the cluster --- */

static void start_recorded_cluster(const char *directory, const char *operator_file)
{
    history = mv_history_open(NULL);
    const mv_environment_options environment_options = {.machines = MACHINES,
                                                        .run_s = TASK_RUN_S,
                                                        .lease_s = MACHINE_LEASE_S,
                                                        .heartbeat_ms = 200,
                                                        .history = history};
    const mv_cluster_options options = {.program = MV_PROGRAM,
                                        .directory = directory,
                                        .operator_file = operator_file,
                                        .report_s = 0.6,
                                        .lease_s = MACHINE_LEASE_S,
                                        .cancel_s = CANCEL_S,
                                        .state_rps = 200};
    environment = mv_environment_start(&environment_options);
    start_linked_controllers(&options);
}

/* --- the job --- */

static void submit_large_job(const char *id)
{
    char status[STATUS_SIZE];
    mv_job_spec spec = usual_job(id, "red", 2);
    spec.tasks = WAITING_JOB_TASKS;
    g_autoptr(GBytes) body = pack_submission(&spec);
    request_until_either("POST", WIRE_JOBS_PATH, body, 201, 200, status);
}

static unsigned count_starts(const char *id)
{
    g_autoptr(GArray) events = mv_history_events(history);
    unsigned starts = 0;
    for (guint i = 0; i < events->len; i++) {
        const mv_event *event = &g_array_index(events, mv_event, i);
        starts += event->kind == MV_EVENT_STARTED && strcmp(event->job_id, id) == 0;
    }
    return starts;
}

static void wait_for_starts(const char *id)
{
    for (unsigned step = 0; step < STEPS_MAX && count_starts(id) < STARTED_TASKS; step++)
        wait_step();
    g_assert_cmpuint(count_starts(id), >=, STARTED_TASKS);
}

/* Returns the index of the controller that owns the job according to the overview of `node`, or
 * NODES if the overview does not show the job. */
static unsigned owner_in_overview(unsigned node, const char *id)
{
    mv_http_result result;
    mv_http_call("GET", cluster->nodes[node].address, WIRE_OVERVIEW_PATH, NULL, REQUEST_TIMEOUT_MS,
                 &result);
    gsize size;
    const void *data = g_bytes_get_data(result.body, &size);
    g_autoptr(mv_document) document = mv_document_parse(data, size);
    const msgpack_object_array *jobs =
        document ? mv_field_read_list(mv_document_root(document), "jobs") : NULL;
    unsigned owner = NODES;
    for (uint32_t i = 0; jobs && i < jobs->size; i++) {
        char name[MV_NAME_SIZE] = "";
        mv_field_read_text(&jobs->ptr[i], "owner", name, sizeof name);
        if (mv_text_is(mv_field_find(&jobs->ptr[i], WIRE_ID), id))
            owner = (unsigned)g_ascii_strtoull(name + 1, NULL, 10);
    }
    mv_http_result_clear(&result);
    return owner;
}

/* Returns the index of the controller that owns the job. */
static unsigned find_owner(const char *id)
{
    unsigned owner = NODES;
    for (unsigned step = 0; step < STEPS_MAX && owner == NODES; step++) {
        owner = owner_in_overview(step % NODES, id);
        if (owner == NODES)
            wait_step();
    }
    g_assert_cmpuint(owner, <, NODES);
    return owner;
}

/* Cancels the job through one controller, as a user does who keeps a connection, and repeats the
 * request until the controller answers that the job is cancelled. Records the answer in the
 * history.
 */
static void cancel_at(unsigned node, const char *id)
{
    char path[PATH_SIZE], status[STATUS_SIZE] = "";
    g_snprintf(path, sizeof path, WIRE_JOBS_PATH "/%s/" WIRE_CANCEL, id);
    for (unsigned step = 0; step < STEPS_MAX && strcmp(status, WIRE_CANCELLED) != 0; step++)
        if (send_request(node, "POST", path, NULL, status) != 200)
            wait_step();
    g_assert_cmpstr(status, ==, WIRE_CANCELLED);
    mv_event event = {.kind = MV_EVENT_RESPONDED};
    g_strlcpy(event.job_id, id, sizeof event.job_id);
    g_strlcpy(event.text, status, sizeof event.text);
    mv_history_add(history, event);
}

static void assert_no_start_after_cancellation(void)
{
    g_autoptr(GArray) events = mv_history_events(history);
    const mv_check_limits limits = {0};
    g_autoptr(mv_check_result) result = mv_history_check(events, &limits, false);
    for (guint i = 0; i < result->violations->len; i++)
        g_test_message("%s", (char *)g_ptr_array_index(result->violations, i));
    g_assert_cmpuint(result->violations->len, ==, 0);
}

static void heal_all(void)
{
    set_all_state_links(&HEALED);
    set_all_peer_links(&HEALED);
}

/* --- tests --- */

/* Guards against starts after the answer while the owner alone cannot learn of the cancellation,
 * because it lost the state store. */
static void owner_without_state_store_starts_nothing(void)
{
    const char *id = "j-000001";
    submit_large_job(id);
    wait_for_starts(id);
    const unsigned owner = find_owner(id);
    mv_cluster_links_set_state(links, owner, &CUT);
    cancel_at((owner + 1) % NODES, id);
    g_usleep(OBSERVATION_MS * 1000);
    assert_no_start_after_cancellation();
    heal_all();
}

/* Guards against starts after the answer in an outage that begins before the owner has learnt of
 * the cancellation: in an outage the owner goes on launching tasks. */
static void cancellation_before_outage_starts_nothing(void)
{
    const char *id = "j-000002";
    submit_large_job(id);
    wait_for_starts(id);
    const unsigned owner = find_owner(id);
    mv_cluster_links_set_state(links, owner, &CUT);
    cancel_at((owner + 1) % NODES, id);
    g_usleep(OUTAGE_AFTER_MS * 1000);
    set_all_state_links(&CUT);
    g_usleep(OBSERVATION_MS * 1000);
    assert_no_start_after_cancellation();
    heal_all();
}

/* Guards against starts after the answer by an owner that nobody can ask, because it lost the state
 * store and its peers, while it still reaches its machines. */
static void isolated_owner_starts_nothing(void)
{
    const char *id = "j-000003";
    submit_large_job(id);
    wait_for_starts(id);
    const unsigned owner = find_owner(id);
    mv_cluster_links_set_state(links, owner, &CUT);
    set_all_peer_links(&CUT);
    cancel_at((owner + 1) % NODES, id);
    g_usleep(OBSERVATION_MS * 1000);
    assert_no_start_after_cancellation();
    heal_all();
}

/* Guards against a cancellation that is never confirmed while no controller can ask the owner,
 * which reaches the state store. */
static void owner_without_peers_confirms(void)
{
    const char *id = "j-000005";
    submit_large_job(id);
    wait_for_starts(id);
    const unsigned owner = find_owner(id);
    set_all_peer_links(&CUT);
    cancel_at((owner + 1) % NODES, id);
    g_usleep(OUTAGE_AFTER_MS * 1000);
    assert_no_start_after_cancellation();
    heal_all();
}

/* Guards against starts in the time in which the owner has not seen the cancellation yet, although
 * nothing fails. */
static void connected_owner_starts_nothing(void)
{
    const char *id = "j-000004";
    submit_large_job(id);
    wait_for_starts(id);
    const unsigned owner = find_owner(id);
    cancel_at((owner + 1) % NODES, id);
    g_usleep(OUTAGE_AFTER_MS * 1000);
    assert_no_start_after_cancellation();
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    signal(SIGPIPE, SIG_IGN);
    mv_http_client_init();
    g_autofree char *directory = g_dir_make_tmp("mv-XXXXXX", NULL);
    g_autofree char *operator_file = g_build_filename(directory, "operator.yaml", NULL);
    g_assert_true(g_file_set_contents(operator_file, "launch_gate: true\n", -1, NULL));
    start_recorded_cluster(directory, operator_file);
    g_test_add_func("/cancellation-processes/connected", connected_owner_starts_nothing);
    g_test_add_func("/cancellation-processes/cut-off", owner_without_state_store_starts_nothing);
    g_test_add_func("/cancellation-processes/outage", cancellation_before_outage_starts_nothing);
    g_test_add_func("/cancellation-processes/isolated", isolated_owner_starts_nothing);
    g_test_add_func("/cancellation-processes/no-peers", owner_without_peers_confirms);
    const int result = g_test_run();
    stop_linked_cluster();
    mv_history_close(history);
    g_unlink(operator_file);
    g_rmdir(directory);
    return result;
}
