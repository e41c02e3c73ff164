/**
 * Three real processes on loopback with their fakes, and users of them: starting and killing nodes,
 * submissions, polls and cancellations at node after node.
 *
 * For one test program: `environment` and `cluster` are its own, set by start_cluster. Any thread
 * may send requests and pack their bodies; everything else is for the main thread.
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
#define STEPS_MAX 1200 /* that anything may take, however slow the machine */
#define REQUEST_TIMEOUT_MS 5000
#define PATH_SIZE 80
#define STATUS_SIZE 40
#define JOB_TASKS 12
#define SERVICE_REPLICAS 3

/** One in so many transactions is above the limit for writes, without notice: it is not carried
 * out, and everything here has to come about all the same. */
#define REFUSED_EVERY 6

/** The fakes of state store, cloud and agents. */
static mv_environment *environment;
/** The processes. */
static mv_controller_cluster *cluster;

/* --- processes --- */

/** Starts the process of a node. */
static inline void start_node(unsigned index)
{
    g_assert_true(mv_cluster_start_node(cluster, index));
}

/** Kills all processes, without any notice. */
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

/** The pause between two polls of the same thing. */
static inline void wait_step(void)
{
    g_usleep(STEP_MS * 1000);
}

/* --- users --- */

/** The HTTP status of one request at one node; `status` gets the job's status, if there is one. */
static inline int send_request(unsigned node, const char *method, const char *path, GBytes *body,
                               char status[STATUS_SIZE])
{
    return mv_user_request(cluster->nodes[node].address, method, path, body, REQUEST_TIMEOUT_MS,
                           status, STATUS_SIZE);
}

/** A batch job whose tasks run for two seconds. */
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

/** The body of a submission. The caller owns it. */
static inline GBytes *pack_submission(const mv_job_spec *spec)
{
    mv_writer *writer = mv_writer_new();
    mv_job_spec_write(writer, spec, 0);
    return mv_writer_finish(writer);
}

/** The submission of a job. The caller owns it. */
static inline GBytes *pack_job(const char *id, const char *team_name, double cores)
{
    const mv_job_spec spec = usual_job(id, team_name, cores);
    return pack_submission(&spec);
}

/** The submission of a service of the team "red". The caller owns it. */
static inline GBytes *pack_service(const char *id, double cores)
{
    mv_job_spec spec = usual_job(id, "red", cores);
    spec.service = true;
    spec.tasks = SERVICE_REPLICAS;
    spec.estimated_runtime_s = 0;
    return pack_submission(&spec);
}

/** The path under which a job is polled. */
static inline void format_job_path(char path[PATH_SIZE], const char *id)
{
    g_snprintf(path, PATH_SIZE, WIRE_JOBS_PATH "/%s", id);
}

/** Repeats a request at node after node until the HTTP status is one of the two; which it is. */
static inline int request_until_either(const char *method, const char *path, GBytes *body,
                                       int expected, int also_expected, char status[STATUS_SIZE])
{
    for (unsigned step = 0; step < STEPS_MAX; step++) {
        const int code = send_request(step % NODES, method, path, body, status);
        if (code == expected || code == also_expected)
            return code;
        wait_step();
    }
    g_error("%s %s: no answer %d or %d", method, path, expected, also_expected);
}

/** Repeats a request at node after node until it gets this HTTP status. */
static inline void request_until(const char *method, const char *path, GBytes *body, int expected)
{
    char status[STATUS_SIZE];
    request_until_either(method, path, body, expected, expected, status);
}

/** Submits a usual job of the team "red" until a node accepts it. */
static inline void submit(const char *id)
{
    char status[STATUS_SIZE];
    g_autoptr(GBytes) body = pack_job(id, "red", 2);
    request_until_either("POST", WIRE_JOBS_PATH, body, 201, 200, status);
}

/** Cancels the job; `status` gets what its user is told. */
static inline void cancel(const char *id, char status[STATUS_SIZE])
{
    char path[PATH_SIZE];
    g_snprintf(path, sizeof path, WIRE_JOBS_PATH "/%s/" WIRE_CANCEL, id);
    request_until_either("POST", path, NULL, 200, 200, status);
}

/** Polls node after node until the job has this status; it is never unknown meanwhile. */
static inline void wait_for_status(const char *id, const char *expected)
{
    char path[PATH_SIZE], status[STATUS_SIZE] = "";
    format_job_path(path, id);
    for (unsigned step = 0; step < STEPS_MAX; step++) {
        const int code = send_request(step % NODES, "GET", path, NULL, status);
        g_assert_cmpint(code, !=, 404); /* an accepted job is never forgotten */
        if (code == 200 && strcmp(status, expected) == 0)
            return;
        wait_step();
    }
    g_error("%s is not %s", id, expected);
}

/** Polls node after node until the job is done. */
static inline void wait_done(const char *id)
{
    wait_for_status(id, WIRE_DONE);
}

/** Starts the fakes, lets `fill_store` write to the state store, and starts the processes. The
 * caller keeps `directory`, where the processes have their files, until stop_cluster. */
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

/** Ends what start_cluster started. */
static inline void stop_cluster(void)
{
    mv_environment_stop(environment);
    mv_cluster_free(cluster, false);
}
#endif
