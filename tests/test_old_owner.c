/**
 * One real controller on loopback, beside a controller of the version in production that owns the
 * only shard. The other controller is a fake that answers peers as that version does: it knows
 * neither requests to acknowledge a cancellation nor forwarded cancellations.
 *
 * Rule of the protocol page: "POST /v2/runs/{id}/abort" - after the answer no task of the job may
 * be started.
 */
#include "process_cluster.h"

#include "cluster_links.h"
#include "server/peer_codec.h"
#include "transport/peer.h"

#define CONTROLLERS 2
#define OLD_NODE 1
#define OLD_INCARNATION 999
#define JOB_ID "j-000001"
#define CANCEL_PATH WIRE_JOBS_PATH "/" JOB_ID "/" WIRE_CANCEL
/* With these times the shard lease is as short as a session. */
#define LEASE_S 2
#define CANCEL_S 9

static mv_cluster_links *links;
static mv_peer_server *old_peer_server;
static gint forwarded_cancellations; /* atomic; cancellations that the old version understands */
static gint forwarded_polls;         /* atomic */

/* --- the controller of the old version --- */

/* Answers as the version in production: a message of an unknown kind gets an empty response. */
static GBytes *answer_as_old_version(void *context, const mv_peer_message *message)
{
    (void)context;
    g_autoptr(Mv__PeerRequest) request =
        mv__peer_request__unpack(NULL, message->size, message->frame);
    Mv__PeerResponse response = MV__PEER_RESPONSE__INIT;
    if (request->kind_case == MV__PEER_REQUEST__KIND_FORWARDED) {
        const bool cancels = g_str_has_suffix(request->forwarded->path, WIRE_CANCEL);
        g_atomic_int_inc(cancels ? &forwarded_cancellations : &forwarded_polls);
        response.status = 503;
    }
    return mv_peer_response_pack(&response);
}

static void add_write(GArray *writes, const char *key, GBytes *data)
{
    mv_write write = {.data = data};
    g_strlcpy(write.key, key, sizeof write.key);
    g_array_append_val(writes, write);
}

/* Writes the records of the old controller, which leads and owns the only shard. */
static void write_old_records(void)
{
    g_autoptr(GPtrArray) teams = g_ptr_array_new();
    g_ptr_array_add(teams, (gpointer) "red");
    const mv_lease_holder node = {.node = "n1", .incarnation = OLD_INCARNATION, .format = 2};
    const mv_lease_holder leader = {.node = "n1", .incarnation = OLD_INCARNATION, .term = 1};
    const mv_lease_holder owner = {
        .node = "n1", .incarnation = OLD_INCARNATION, .term = 1, .teams = teams};
    const struct {
        const char *key;
        GBytes *data;
    } records[] = {{KEY_NODE_PREFIX "n1", mv_lease_holder_pack(&node)},
                   {KEY_LEADER, mv_lease_holder_pack(&leader)},
                   {KEY_TERM, mv_counter_pack(1)},
                   {KEY_SHARD_PREFIX "0", mv_lease_holder_pack(&owner)}};
    g_autoptr(GArray) preconditions = g_array_new(FALSE, TRUE, sizeof(mv_precondition));
    g_autoptr(GArray) writes = g_array_new(FALSE, TRUE, sizeof(mv_write));
    for (size_t i = 0; i < G_N_ELEMENTS(records); i++)
        add_write(writes, records[i].key, records[i].data);
    fake_state_store *store = mv_environment_lock(environment);
    g_assert_cmpint(fake_state_store_commit(store, preconditions, writes, 0), ==, 200);
    mv_environment_unlock(environment);
    for (size_t i = 0; i < G_N_ELEMENTS(records); i++)
        g_bytes_unref(records[i].data);
}

/* --- the cluster --- */

static void start_beside_old_controller(const char *directory)
{
    const mv_environment_options environment_options = {
        .machines = 1, .run_s = 1, .lease_s = LEASE_S, .heartbeat_ms = 300};
    const mv_cluster_options options = {.program = MV_PROGRAM,
                                        .directory = directory,
                                        .report_s = 0.5,
                                        .lease_s = LEASE_S,
                                        .cancel_s = CANCEL_S,
                                        .state_rps = 200};
    environment = mv_environment_start(&environment_options);
    cluster = mv_cluster_new(&options, CONTROLLERS);
    links = mv_cluster_links_start(cluster, mv_environment_state_port(environment));
    mv_environment_set_controllers(environment, mv_cluster_links_heartbeat_ports(links),
                                   CONTROLLERS);
    mv_endpoint endpoint = {.host = "127.0.0.1", .port = cluster->nodes[OLD_NODE].peer_port};
    old_peer_server = mv_peer_server_start(&endpoint, answer_as_old_version, NULL);
    g_assert_nonnull(old_peer_server);
    write_old_records();
    g_assert_true(mv_cluster_configure(cluster, 0, mv_cluster_links_state_port(links, 0),
                                       mv_environment_cloud_port(environment),
                                       mv_cluster_links_peer_ports(links, 0)));
    start_node(0);
}

static void stop_beside_old_controller(void)
{
    mv_cluster_kill_node(cluster, 0);
    mv_peer_server_free(old_peer_server);
    mv_environment_stop(environment);
    mv_cluster_links_stop(links);
    mv_cluster_free(cluster, false);
}

static int request_at_new(const char *method, const char *path, GBytes *body,
                          char status[STATUS_SIZE])
{
    return send_request(0, method, path, body, status);
}

static void submit_at_new(void)
{
    char status[STATUS_SIZE];
    int code = 0;
    g_autoptr(GBytes) body = pack_job(JOB_ID, "red", 2);
    for (unsigned step = 0; step < STEPS_MAX && code != 201; step++) {
        code = request_at_new("POST", WIRE_JOBS_PATH, body, status);
        if (code != 201)
            wait_step();
    }
    g_assert_cmpint(code, ==, 201);
}

static bool has_record(const char *key)
{
    const fake_state_store *store = mv_environment_lock(environment);
    const bool found = fake_state_store_get(store, key) != NULL;
    mv_environment_unlock(environment);
    return found;
}

/* --- tests --- */

/* Guards against a cancellation that a controller of this version confirms, also to a poll or a
 * repeated submission, while an owner of the old version may still start tasks of the job. */
static void cancellation_is_confirmed_after_launch_bound(void)
{
    char status[STATUS_SIZE] = "";
    g_autoptr(GBytes) body = pack_job(JOB_ID, "red", 2);
    submit_at_new();
    g_assert_cmpint(request_at_new("POST", CANCEL_PATH, NULL, status), ==, 503);
    g_assert_true(has_record(KEY_FINAL_PREFIX JOB_ID));
    g_assert_false(has_record(KEY_JOB_PREFIX JOB_ID));
    g_assert_cmpint(request_at_new("GET", WIRE_JOBS_PATH "/" JOB_ID, NULL, status), ==, 503);
    g_assert_cmpint(request_at_new("POST", WIRE_JOBS_PATH, body, status), ==, 503);

    int code = 503;
    for (unsigned step = 0; step < STEPS_MAX && code == 503; step++) {
        wait_step();
        code = request_at_new("POST", CANCEL_PATH, NULL, status);
    }
    g_assert_cmpint(code, ==, 200);
    g_assert_cmpstr(status, ==, WIRE_CANCELLED);
    request_at_new("GET", WIRE_JOBS_PATH "/" JOB_ID, NULL, status);
    g_assert_cmpstr(status, ==, WIRE_CANCELLED);
    g_assert_cmpint(g_atomic_int_get(&forwarded_cancellations), ==, 0);
}

/* Guards against a cancellation that a controller without the state store lets a controller of the
 * old version confirm. Polls are still forwarded to that version. */
static void old_version_confirms_no_forwarded_cancellation(void)
{
    const mv_link_fault cut = {.drop_requests = true, .drop_responses = true};
    char status[STATUS_SIZE] = "";
    mv_cluster_links_set_state(links, 0, &cut);
    for (unsigned step = 0; step < STEPS_MAX && !g_atomic_int_get(&forwarded_polls); step++) {
        request_at_new("GET", WIRE_JOBS_PATH "/j-000002", NULL, status);
        wait_step();
    }
    g_assert_cmpint(g_atomic_int_get(&forwarded_polls), >, 0);
    const int code = request_at_new("POST", WIRE_JOBS_PATH "/j-000002/" WIRE_CANCEL, NULL, status);
    g_assert_cmpint(code, ==, 503);
    g_assert_cmpint(g_atomic_int_get(&forwarded_cancellations), ==, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    signal(SIGPIPE, SIG_IGN);
    mv_http_client_init();
    g_autofree char *directory = g_dir_make_tmp("mv-XXXXXX", NULL);
    start_beside_old_controller(directory);
    g_test_add_func("/old-owner/confirmed-after-launch-bound",
                    cancellation_is_confirmed_after_launch_bound);
    g_test_add_func("/old-owner/no-forwarded-cancellation",
                    old_version_confirms_no_forwarded_cancellation);
    const int result = g_test_run();
    stop_beside_old_controller();
    g_rmdir(directory);
    return result;
}
