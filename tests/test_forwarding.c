/**
 * Three real controller processes on loopback, of which one loses the state store alone, so that it
 * has to forward its users' requests.
 *
 * Rule of the protocol page: `forgotten` - every poll for an accepted job fails for 90 s while most
 * others get answers. A user waits 2 s for the answer to a poll.
 */
#include "linked_cluster.h"

#define JOBS 64
/* With JOBS jobs, polls share watches: a controller answers each poll after its next watch. */
#define STATE_RPS 50
#define POLL_TIMEOUT_MS 2000
/* A user who gets no answer in this many polls counts as one who gets none for 90 s. */
#define ROUNDS 5
#define RUN_S 3600
/* A network between the controllers that is slow, but leaves time for an answer. */
#define SLOW_LINK_MS 150
/* Users who poll while the health of a node is observed, and the number of observations. */
#define HEALTH_USERS 8
#define HEALTH_STEPS_MAX 8

/* --- the cluster --- */

static void format_job_id(char id[MV_ID_SIZE], unsigned index)
{
    g_snprintf(id, MV_ID_SIZE, "j-%06u", index);
}

/* Starts the controllers and submits jobs that do not end during the test. */
static void start_cluster_with_jobs(const char *directory)
{
    char id[MV_ID_SIZE];
    const mv_environment_options environment_options = {
        .machines = 1, .run_s = RUN_S, .lease_s = 20, .heartbeat_ms = 300};
    const mv_cluster_options options = {.program = MV_PROGRAM,
                                        .directory = directory,
                                        .report_s = 0.6,
                                        .lease_s = 20,
                                        .cancel_s = 60,
                                        .state_rps = STATE_RPS};
    environment = mv_environment_start(&environment_options);
    start_linked_controllers(&options);
    for (unsigned i = 0; i < JOBS; i++) {
        format_job_id(id, i);
        submit(id);
    }
}

/* --- users --- */

/* A user who keeps a connection to one node and polls a job there. */
typedef struct {
    unsigned node, job;
    unsigned answers;
} polling_user;

static gpointer poll_job(gpointer data)
{
    polling_user *user = data;
    char id[MV_ID_SIZE], path[PATH_SIZE], status[STATUS_SIZE];
    format_job_id(id, user->job);
    format_job_path(path, id);
    for (unsigned round = 0; round < ROUNDS; round++)
        user->answers += mv_user_request(cluster->nodes[user->node].address, "GET", path, NULL,
                                         POLL_TIMEOUT_MS, status, sizeof status) == 200;
    return NULL;
}

/* Lets `count` users poll at the node at the same time, and returns how many of them got no answer.
 */
static unsigned count_unanswered_users(unsigned node, unsigned count)
{
    polling_user users[JOBS];
    GThread *threads[JOBS];
    unsigned unanswered = 0, answers = 0;
    for (unsigned i = 0; i < count; i++) {
        users[i] = (polling_user){.node = node, .job = i};
        threads[i] = g_thread_new("user", poll_job, &users[i]);
    }
    for (unsigned i = 0; i < count; i++) {
        g_thread_join(threads[i]);
        unanswered += users[i].answers == 0;
        answers += users[i].answers;
    }
    g_test_message("node %u: %u of %u users got no answer; %u of %u polls were answered", node,
                   unanswered, count, answers, count * ROUNDS);
    return unanswered;
}

/* Waits until the node answers a poll by its own link to the state store. */
static void heal_state_link(unsigned node)
{
    char path[PATH_SIZE], status[STATUS_SIZE];
    format_job_path(path, "j-000000");
    mv_cluster_links_set_state(links, node, &HEALED);
    for (unsigned step = 0; step < STEPS_MAX; step++) {
        if (send_request(node, "GET", path, NULL, status) == 200)
            return;
        wait_step();
    }
    g_error("node %u does not answer", node);
}

/* --- tests --- */

/* Guards against polls that are forwarded one at a time, so that most users of a controller that
 * alone lost the state store get no answer. Each controller loses it once, also the leader. */
static void many_polls_are_forwarded(void)
{
    for (unsigned node = 0; node < NODES; node++) {
        mv_cluster_links_set_state(links, node, &CUT);
        g_assert_cmpuint(count_unanswered_users(node, JOBS), ==, 0);
        heal_state_link(node);
    }
}

/* Guards against requests that wait for the first peer until their users have given up, while
 * another peer would serve them. */
static void paused_first_peer_is_passed_over(void)
{
    const unsigned node = NODES - 1, first_peer = 0, users = 8;
    const mv_link_fault slow = {.delay_ms = SLOW_LINK_MS};
    mv_cluster_links_set_peers(links, node, &slow);
    mv_cluster_links_set_state(links, node, &CUT);
    mv_cluster_set_paused(cluster, first_peer, true);
    g_assert_cmpuint(count_unanswered_users(node, users), ==, 0);
    mv_cluster_set_paused(cluster, first_peer, false);
    mv_cluster_links_set_peers(links, node, &HEALED);
    heal_state_link(node);
}

static int health_status(unsigned node)
{
    char status[STATUS_SIZE];
    return send_request(node, "GET", WIRE_HEALTH_PATH, NULL, status);
}

/* Lets users poll at the node until its health check has the expected status. */
static void poll_until_health_is(unsigned node, int expected)
{
    for (unsigned step = 0; step < HEALTH_STEPS_MAX; step++) {
        count_unanswered_users(node, HEALTH_USERS);
        if (health_status(node) == expected)
            return;
    }
    g_error("the health check of node %u does not return %d", node, expected);
}

/* Guards against a controller that calls itself healthy while the polls that it forwards get no
 * answer in time: its peers respond to health checks, but answer polls too late, because no watch
 * ends and the links are slow. */
static void unanswered_polls_make_unhealthy(void)
{
    const unsigned node = NODES - 1;
    const mv_link_fault slow = {.delay_ms = SLOW_LINK_MS};
    mv_cluster_links_set_state(links, node, &CUT);
    poll_until_health_is(node, 200);
    mv_environment_hold_watches(environment, true);
    mv_cluster_links_set_peers(links, node, &slow);
    poll_until_health_is(node, 503);
    mv_environment_hold_watches(environment, false);
    mv_cluster_links_set_peers(links, node, &HEALED);
    poll_until_health_is(node, 200);
    heal_state_link(node);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    signal(SIGPIPE, SIG_IGN);
    mv_http_client_init();
    g_autofree char *directory = g_dir_make_tmp("mv-XXXXXX", NULL);
    start_cluster_with_jobs(directory);
    g_test_add_func("/forwarding/many-polls", many_polls_are_forwarded);
    g_test_add_func("/forwarding/paused-first-peer", paused_first_peer_is_passed_over);
    g_test_add_func("/forwarding/unanswered-polls", unanswered_polls_make_unhealthy);
    const int result = g_test_run();
    stop_linked_cluster();
    g_rmdir(directory);
    return result;
}
