/**
 * Three real controller processes on loopback, with fakes of the systems around them. The functions
 * start and kill the processes and act as users, who submit, poll and cancel jobs and send each
 * retry to the next node.
 *
 * The header serves one test program, which has its own `environment` and `cluster`;
 * start_cluster() sets them. Any thread may send requests and pack their bodies; only the main
 * thread may call the other functions.
 */
#ifndef MV_PROCESS_CLUSTER_H
#define MV_PROCESS_CLUSTER_H
#include "user_client.h"
#include "controller_cluster.h"
#include "environment.h"

#include "protocol/names.h"
#include "transport/http_client.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define NODES 3
#define STEP_MS 100
/** Maximum number of polls or retries before a test fails. The limit is high enough for a slow
 * machine. */
#define STEPS_MAX 1200
#define REQUEST_TIMEOUT_MS 5000
#define PATH_SIZE 80
#define STATUS_SIZE 40
#define JOB_TASKS 12
#define SERVICE_REPLICAS 3

/** The fake state store refuses one in REFUSED_EVERY transactions as above the rate limit and does
 * not carry out that transaction. The controllers get no notice of this limit, and each test must
 * still reach its result. */
#define REFUSED_EVERY 6

/** The fakes of the state store, the cloud and the agents. */
static mv_environment *environment;
/** The controller processes. */
static mv_controller_cluster *cluster;

/* --- processes --- */

/** Starts the process of a node; ends the test if the process cannot be started. */
static inline void start_node(unsigned index)
{
    g_assert_true(mv_cluster_start_node(cluster, index));
}

/** Kills the processes of all nodes; the processes get no notice and cannot shut down in order. */
static inline void kill_all_nodes(void)
{
    for (unsigned i = 0; i < NODES; i++)
        mv_cluster_kill_node(cluster, i);
}

/** Starts the processes of all nodes. */
static inline void start_all_nodes(void)
{
    for (unsigned i = 0; i < NODES; i++)
        start_node(i);
}

/** Waits for the interval between two polls. */
static inline void wait_step(void)
{
    g_usleep(STEP_MS * 1000);
}

/* --- users --- */

/** Sends one request to one node and returns the HTTP status; 0 if there is no response. Writes the
 * job's status from the response to `status`, or "" if the response has none. */
static inline int send_request(unsigned node, const char *method, const char *path, GBytes *body,
                               char status[STATUS_SIZE])
{
    return mv_user_request(cluster->nodes[node].address, method, path, body, REQUEST_TIMEOUT_MS,
                           status, STATUS_SIZE);
}

/** Returns a batch job whose tasks have an estimated runtime of two seconds. */
static inline mv_job_spec usual_job(const char *id, const char *team_name, double cores)
{
    mv_job_spec spec = {.priority = MV_PRIORITY_STANDARD,
                        .tasks = JOB_TASKS,
                        .cores = cores,
                        .ram_gb = 1,
                        .spot = true,
                        .estimated_runtime_s = 2,
                        .deadline_s = -1};
    g_strlcpy(spec.id, id, sizeof spec.id);
    g_strlcpy(spec.class_name, "work", sizeof spec.class_name);
    g_strlcpy(spec.team_name, team_name, sizeof spec.team_name);
    g_strlcpy(spec.image_name, "img", sizeof spec.image_name);
    return spec;
}

/** Returns the body of the submission of a job. The caller owns the body. */
static inline GBytes *pack_submission(const mv_job_spec *spec)
{
    mv_writer *writer = mv_writer_new();
    mv_job_spec_write(writer, spec, 0);
    return mv_writer_finish(writer);
}

/** Returns the body of the submission of a usual_job(). The caller owns the body. */
static inline GBytes *pack_job(const char *id, const char *team_name, double cores)
{
    const mv_job_spec spec = usual_job(id, team_name, cores);
    return pack_submission(&spec);
}

/** Returns the body of the submission of a service of the team "red". The caller owns the body. */
static inline GBytes *pack_service(const char *id, double cores)
{
    mv_job_spec spec = usual_job(id, "red", cores);
    spec.service = true;
    spec.tasks = SERVICE_REPLICAS;
    spec.estimated_runtime_s = 0;
    return pack_submission(&spec);
}

/** Writes the URL path under which users poll the job to `path`. */
static inline void format_job_path(char path[PATH_SIZE], const char *id)
{
    g_snprintf(path, PATH_SIZE, WIRE_JOBS_PATH "/%s", id);
}

/** Sends a request to one node after another until the HTTP status is one of the two expected ones,
 * and returns that HTTP status. Ends the test after STEPS_MAX requests. */
static inline int request_until_either(const char *method, const char *path, GBytes *body,
                                       int expected, int also_expected, char status[STATUS_SIZE])
{
    for (unsigned step = 0; step < STEPS_MAX; step++) {
        const int code = send_request(step % NODES, method, path, body, status);
        if (code == expected || code == also_expected)
            return code;
        wait_step();
    }
    g_error("%s %s: no node returned HTTP status %d or %d", method, path, expected, also_expected);
}

/** Sends a request to one node after another until the HTTP status is the expected one. Ends the
 * test after STEPS_MAX requests. */
static inline void request_until(const char *method, const char *path, GBytes *body, int expected)
{
    char status[STATUS_SIZE];
    request_until_either(method, path, body, expected, expected, status);
}

/** Submits a usual_job() of the team "red" to one node after another until a node accepts the job.
 * Ends the test after STEPS_MAX requests. */
static inline void submit(const char *id)
{
    char status[STATUS_SIZE];
    g_autoptr(GBytes) body = pack_job(id, "red", 2);
    request_until_either("POST", WIRE_JOBS_PATH, body, 201, 200, status);
}

/** Cancels the job and writes the job's status from the response to `status`. */
static inline void cancel(const char *id, char status[STATUS_SIZE])
{
    char path[PATH_SIZE];
    g_snprintf(path, sizeof path, WIRE_JOBS_PATH "/%s/" WIRE_CANCEL, id);
    request_until_either("POST", path, NULL, 200, 200, status);
}

/** Polls one node after another until the job has this status. Ends the test after STEPS_MAX polls,
 * or if a node answers that the job is unknown. */
static inline void wait_for_status(const char *id, const char *expected)
{
    char path[PATH_SIZE], status[STATUS_SIZE] = "";
    format_job_path(path, id);
    for (unsigned step = 0; step < STEPS_MAX; step++) {
        const int code = send_request(step % NODES, "GET", path, NULL, status);
        g_assert_cmpint(code, !=, 404); /* the controllers must not lose an accepted job */
        if (code == 200 && strcmp(status, expected) == 0)
            return;
        wait_step();
    }
    g_error("job %s did not reach the status %s", id, expected);
}

/** Polls one node after another until the job is done. */
static inline void wait_done(const char *id)
{
    wait_for_status(id, WIRE_DONE);
}

/** Starts the fakes, calls `fill_store` to write to the state store, and starts the processes. The
 * processes keep their files in `directory`, which the caller must not remove before
 * stop_cluster().
 */
static inline void start_cluster(const char *directory, void (*fill_store)(void))
{
    const mv_environment_options environment_options = {.machines = 4,
                                                        .run_s = 1.5,
                                                        .lease_s = 20,
                                                        .heartbeat_ms = 300,
                                                        .refuse_every = REFUSED_EVERY};
    const mv_cluster_options cluster_options = {.program = MV_PROGRAM,
                                                .directory = directory,
                                                .report_s = 0.6,
                                                .lease_s = 20,
                                                .cancel_s = 60,
                                                .state_rps = 5};
    uint16_t listen_ports[NODES], peer_ports[NODES];
    environment = mv_environment_start(&environment_options);
    cluster = mv_cluster_new(&cluster_options, NODES);
    for (unsigned i = 0; i < NODES; i++) {
        listen_ports[i] = cluster->nodes[i].listen_port;
        peer_ports[i] = cluster->nodes[i].peer_port;
    }
    mv_environment_set_controllers(environment, listen_ports, NODES);
    fill_store();
    for (unsigned i = 0; i < NODES; i++) {
        g_assert_true(mv_cluster_configure(cluster, i, mv_environment_state_port(environment),
                                           mv_environment_cloud_port(environment), peer_ports));
        start_node(i);
    }
}

/** Stops the fakes, kills the processes and removes their files. */
static inline void stop_cluster(void)
{
    mv_environment_stop(environment);
    mv_cluster_free(cluster, false);
}
#endif
