#include "controllers.h"

#include "loopback.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define CANNOT_EXECUTE 127 /* exit status of a child that found no program */

mv_controllers *mv_controllers_new(const mv_controllers_options *options, unsigned n)
{
    mv_controllers *all = g_new0(mv_controllers, 1);
    all->options = *options;
    all->n = n;
    all->list = g_new0(mv_controller, n);
    for (unsigned i = 0; i < n; i++) {
        mv_controller *c = &all->list[i];
        c->listen = (uint16_t)free_port();
        c->back = (uint16_t)free_port();
        g_snprintf(c->address, sizeof c->address, "127.0.0.1:%u", c->listen);
        c->config = g_strdup_printf("%s/n%u.toml", options->directory, i);
        c->log = g_strdup_printf("%s/n%u.log", options->directory, i);
    }
    return all;
}

void mv_controllers_free(mv_controllers *all, bool keep)
{
    for (unsigned i = 0; i < all->n; i++) {
        mv_controllers_kill(all, i);
        if (!keep) {
            g_unlink(all->list[i].config);
            g_unlink(all->list[i].log);
        }
        g_free(all->list[i].config);
        g_free(all->list[i].log);
    }
    g_free(all->list);
    g_free(all);
}

bool mv_controllers_configure(const mv_controllers *all, unsigned which, uint16_t state,
                              uint16_t cloud, const uint16_t *backs)
{
    const mv_controller *c = &all->list[which];
    g_autoptr(GString) text = g_string_new(NULL);
    g_string_append_printf(text,
                           "node_name = \"n%u\"\nlisten = \"127.0.0.1:%u\"\n"
                           "back = \"127.0.0.1:%u\"\n",
                           which, c->listen, c->back);
    for (unsigned k = 0; k < all->n; k++)
        if (k != which)
            g_string_append_printf(
                text, "[[siblings]]\nnode_name = \"n%u\"\naddress = \"127.0.0.1:%u\"\n", k,
                backs[k]);
    g_string_append_printf(
        text,
        "[outside]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n[settings]\n"
        "count = %u\n[[settings.teams]]\nname = \"red\"\ncpus_max = 40.0\n"
        "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ncancel_s = %.1f\n"
        "[settings.state]\nrps = %.1f\nwrite_rps = 200.0\nvalue_kb = 16.0\ntxn_ops = 12\n"
        "[settings.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n",
        cloud, state, all->n, all->options.report_s, all->options.lease_s, all->options.cancel_s,
        all->options.state_rps);
    return g_file_set_contents(c->config, text->str, -1, NULL);
}

static void run_child(const mv_controllers *all, const mv_controller *c)
{
    const char *program = all->options.program, *operator_file = all->options.operator_file;
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* a rehearsal that fails leaves nobody behind */
    int log = open(c->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (log >= 0)
        dup2(log, STDERR_FILENO);
    if (operator_file)
        execl(program, program, "--operator", operator_file, "--config", c->config, NULL);
    else
        execl(program, program, "--config", c->config, NULL);
    _exit(CANNOT_EXECUTE);
}

bool mv_controllers_start(mv_controllers *all, unsigned which)
{
    mv_controller *c = &all->list[which];
    if (access(all->options.program, X_OK) != 0)
        return false;
    c->pid = fork();
    if (c->pid == 0)
        run_child(all, c);
    return c->pid > 0;
}

void mv_controllers_kill(mv_controllers *all, unsigned which)
{
    mv_controller *c = &all->list[which];
    if (c->pid <= 0)
        return;
    kill(c->pid, SIGKILL);
    waitpid(c->pid, NULL, 0);
    c->pid = 0;
}
