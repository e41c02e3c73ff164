/**
 * Implementation of the controller processes: settings files, start with fork and exec, and kill.
 */
#include "controller_cluster.h"

#include "loopback.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define EXIT_CANNOT_EXECUTE 127 /* exit status of a child that cannot execute the program */
#define LOG_FILE_MODE 0644

mv_controller_cluster *mv_cluster_new(const mv_cluster_options *options, unsigned count)
{
    mv_controller_cluster *cluster = g_new0(mv_controller_cluster, 1);
    cluster->options = *options;
    cluster->count = count;
    cluster->nodes = g_new0(mv_controller_process, count);
    for (unsigned i = 0; i < count; i++) {
        mv_controller_process *node = &cluster->nodes[i];
        node->listen_port = (uint16_t)mv_loopback_free_port();
        node->peer_port = (uint16_t)mv_loopback_free_port();
        g_snprintf(node->address, sizeof node->address, "127.0.0.1:%u", node->listen_port);
        node->config = g_strdup_printf("%s/n%u.toml", options->directory, i);
        node->log = g_strdup_printf("%s/n%u.log", options->directory, i);
    }
    return cluster;
}

void mv_cluster_free(mv_controller_cluster *cluster, bool keep_files)
{
    for (unsigned i = 0; i < cluster->count; i++) {
        mv_controller_process *node = &cluster->nodes[i];
        mv_cluster_kill_node(cluster, i);
        if (!keep_files) {
            g_unlink(node->config);
            g_unlink(node->log);
        }
        g_free(node->config);
        g_free(node->log);
    }
    g_free(cluster->nodes);
    g_free(cluster);
}

/* --- settings --- */

static void append_node(GString *text, const mv_controller_process *node, unsigned index)
{
    g_string_append_printf(text,
                           "node_name = \"n%u\"\nlisten = \"127.0.0.1:%u\"\n"
                           "back = \"127.0.0.1:%u\"\n",
                           index, node->listen_port, node->peer_port);
}

static void append_peer(GString *text, unsigned index, uint16_t port)
{
    g_string_append_printf(text, "[[siblings]]\nnode_name = \"n%u\"\naddress = \"127.0.0.1:%u\"\n",
                           index, port);
}

static void append_shared_settings(GString *text, const mv_controller_cluster *cluster,
                                   uint16_t state_port, uint16_t cloud_port)
{
    const mv_cluster_options *options = &cluster->options;
    g_string_append_printf(
        text,
        "[outside]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n[settings]\n"
        "count = %u\n[[settings.teams]]\nname = \"red\"\ncpus_max = %.1f\n"
        "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ncancel_s = %.1f\n"
        "[settings.state]\nrps = %.1f\nwrite_rps = 200.0\nvalue_kb = 16.0\ntxn_ops = 12\n"
        "[settings.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n",
        cloud_port, state_port, cluster->count,
        options->team_cores > 0 ? options->team_cores : MV_CLUSTER_TEAM_CORES, options->report_s,
        options->lease_s, options->cancel_s, options->state_rps);
}

bool mv_cluster_configure(const mv_controller_cluster *cluster, unsigned index, uint16_t state_port,
                          uint16_t cloud_port, const uint16_t *peer_ports)
{
    const mv_controller_process *node = &cluster->nodes[index];
    g_autoptr(GString) text = g_string_new(NULL);
    append_node(text, node, index);
    for (unsigned i = 0; i < cluster->count; i++)
        if (i != index)
            append_peer(text, i, peer_ports[i]);
    append_shared_settings(text, cluster, state_port, cloud_port);
    return g_file_set_contents(node->config, text->str, -1, NULL);
}

/* --- processes --- */

/* Replaces the child process by a controller. The function runs between fork and exec in a process
 * with several threads, so it may make only async-signal-safe calls. */
static void execute_node(const mv_controller_cluster *cluster, const mv_controller_process *node)
{
    const char *program = cluster->options.program;
    const char *operator_file = cluster->options.operator_file;
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* the controller must not outlive a run that fails */
    const int log = open(node->log, O_WRONLY | O_CREAT | O_APPEND, LOG_FILE_MODE);
    if (log >= 0)
        dup2(log, STDERR_FILENO);
    if (operator_file)
        execl(program, program, "--operator", operator_file, "--config", node->config, NULL);
    else
        execl(program, program, "--config", node->config, NULL);
    _exit(EXIT_CANNOT_EXECUTE);
}

bool mv_cluster_start_node(mv_controller_cluster *cluster, unsigned index)
{
    mv_controller_process *node = &cluster->nodes[index];
    if (access(cluster->options.program, X_OK) != 0)
        return false;
    node->pid = fork();
    if (node->pid == 0)
        execute_node(cluster, node);
    return node->pid > 0;
}

void mv_cluster_set_paused(const mv_controller_cluster *cluster, unsigned index, bool paused)
{
    const pid_t pid = cluster->nodes[index].pid;
    if (pid > 0)
        kill(pid, paused ? SIGSTOP : SIGCONT);
}

bool mv_cluster_has_ended(mv_controller_cluster *cluster, unsigned index)
{
    mv_controller_process *node = &cluster->nodes[index];
    if (node->pid <= 0 || waitpid(node->pid, NULL, WNOHANG) != node->pid)
        return false;
    node->pid = 0;
    return true;
}

void mv_cluster_kill_node(mv_controller_cluster *cluster, unsigned index)
{
    mv_controller_process *node = &cluster->nodes[index];
    if (node->pid <= 0)
        return;
    kill(node->pid, SIGKILL);
    waitpid(node->pid, NULL, 0);
    node->pid = 0;
}
