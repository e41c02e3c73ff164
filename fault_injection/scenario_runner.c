/**
 * The scenario runner. It starts the environment, the controllers and the links between them,
 * injects the faults of the script while the simulated users submit the script's jobs, and then
 * stops everything.
 */
#include "scenario_runner.h"

#include "cluster_links.h"
#include "controller_cluster.h"
#include "environment.h"
#include "protocol/names.h"
#include "script.h"
#include "simulated_machine.h"
#include "simulated_users.h"
#include "transport/http_client.h"

#include <stdio.h>
#include <string.h>

#define FINISH_POLL_MS 100
#define HEARTBEAT_S 0.6 /* settings.workers.report_s of the controllers */
#define LEASE_S 6.0     /* settings.workers.lease_s of the controllers; also the machines' lease */
#define STATE_RPS 500.0 /* settings.state.rps of the controllers */
#define INVARIANT_EVENT "event=invariant_violated "
/* An end is recorded at the machine's next heartbeat, which may wait for the one before it. */
#define EXIT_RECORD_DELAY_S 5.0
#define MACHINE_HEARTBEAT_MS 200 /* pause of a simulated machine between two heartbeats */

G_DEFINE_QUARK(mv - scenario - run - error - quark, mv_scenario_run_error)

typedef struct {
    const mv_scenario *scenario;
    const mv_scenario_run_options *options;
    char *operator_file; /* path of the operator settings; NULL if the scenario needs none */
    GArray *steps;       /* elements are mv_step, ordered by time */
    mv_history *history;
    mv_environment *environment;
    mv_controller_cluster *cluster;
    mv_cluster_links *links;
} scenario_run;

/* --- faults --- */

static mv_link_fault link_fault_of(const mv_step *step)
{
    if (step->kind == MV_STEP_FAULT_END)
        return (mv_link_fault){0};
    const bool drops_both = step->mode == MV_FAULT_DROP_BOTH;
    return (mv_link_fault){.drop_requests = drops_both || step->mode == MV_FAULT_DROP_REQUESTS,
                           .drop_responses = drops_both || step->mode == MV_FAULT_DROP_RESPONSES,
                           .refuse = step->mode == MV_FAULT_REFUSE,
                           .delay_ms = step->mode == MV_FAULT_DELAY ? step->delay_ms : 0};
}

/* Kills a controller when its fault begins and starts the controller again when the fault ends.
 * Faults of one controller can overlap, so the controller may already run again when a fault ends.
 * Therefore the runner kills the controller before each restart too. Returns false if the start
 * fails. */
static bool kill_or_restart(scenario_run *run, const mv_step *step)
{
    mv_cluster_kill_node(run->cluster, step->target_index);
    return step->kind == MV_STEP_FAULT_BEGIN ||
           mv_cluster_start_node(run->cluster, step->target_index);
}

/* Kills the controller that a lease record names, and starts every controller that does not run
 * when the fault ends: which one was killed is known only during the run. */
static bool kill_holder_or_restart(scenario_run *run, const mv_step *step, const char *key)
{
    if (step->kind == MV_STEP_FAULT_BEGIN) {
        mv_cluster_kill_node(
            run->cluster, mv_environment_lease_holder(run->environment, key, step->target_index));
        return true;
    }
    for (unsigned i = 0; i < run->cluster->count; i++)
        if (run->cluster->nodes[i].pid == 0 && !mv_cluster_start_node(run->cluster, i))
            return false;
    return true;
}

static void set_all_state_links(const scenario_run *run, const mv_link_fault *fault)
{
    for (unsigned i = 0; i < run->cluster->count; i++)
        mv_cluster_links_set_state(run->links, i, fault);
}

/* Injects a fault into a link or a machine, or ends the fault. */
static void inject_environment_fault(const scenario_run *run, const mv_step *step)
{
    const mv_link_fault fault = link_fault_of(step);
    const bool begins = step->kind == MV_STEP_FAULT_BEGIN;
    switch (step->target) {
    case MV_FAULT_COMMAND_LINK:
        mv_environment_set_command_link(run->environment, step->target_index, &fault);
        break;
    case MV_FAULT_MACHINE:
        mv_environment_set_hung(run->environment, step->target_index, begins);
        break;
    case MV_FAULT_MACHINE_HEARTBEATS:
        mv_environment_set_heartbeats_lost(run->environment, step->target_index, begins);
        break;
    case MV_FAULT_COMMAND_COPIES:
        mv_environment_set_repeats_commands(run->environment, step->target_index, begins);
        break;
    case MV_FAULT_WATCHES:
        mv_environment_hold_watches(run->environment, begins);
        break;
    case MV_FAULT_LATE_TRANSACTIONS:
        mv_environment_delay_transactions(run->environment, begins);
        break;
    case MV_FAULT_CLOUD:
        mv_environment_set_cloud_down(run->environment, begins);
        break;
    default:
        set_all_state_links(run, &fault);
        break;
    }
}

static bool inject_fault(scenario_run *run, const mv_step *step)
{
    const mv_link_fault fault = link_fault_of(step);
    switch (step->target) {
    case MV_FAULT_STATE_LINK:
        mv_cluster_links_set_state(run->links, step->target_index, &fault);
        return true;
    case MV_FAULT_HEARTBEAT_LINK:
        mv_cluster_links_set_heartbeats(run->links, step->target_index, &fault);
        return true;
    case MV_FAULT_PEER_LINKS:
        mv_cluster_links_set_peers(run->links, step->target_index, &fault);
        return true;
    case MV_FAULT_CONTROLLER:
        return kill_or_restart(run, step);
    case MV_FAULT_LEADER:
        return kill_holder_or_restart(run, step, KEY_LEADER);
    case MV_FAULT_OWNER:
        return kill_holder_or_restart(run, step, KEY_SHARD_PREFIX "0");
    case MV_FAULT_PAUSE:
        mv_cluster_set_paused(run->cluster, step->target_index, step->kind == MV_STEP_FAULT_BEGIN);
        return true;
    default:
        inject_environment_fault(run, step);
        return true;
    }
}

/* Adds an event for each controller whose process has ended by itself. */
static void record_ended_processes(const scenario_run *run)
{
    for (unsigned i = 0; i < run->cluster->count; i++) {
        if (!mv_cluster_has_ended(run->cluster, i))
            continue;
        mv_event event = {.kind = MV_EVENT_ENDED};
        g_snprintf(event.subject, sizeof event.subject, "n%u", i);
        mv_history_add(run->history, event);
    }
}

/* Adds an event for each line of a controller's log that reports a violated invariant. */
static void record_violated_invariants(const scenario_run *run, unsigned controller)
{
    g_autofree char *log = NULL;
    if (!g_file_get_contents(run->cluster->nodes[controller].log, &log, NULL, NULL))
        return;
    for (const char *line = log; (line = strstr(line, INVARIANT_EVENT)); line++) {
        mv_event event = {.kind = MV_EVENT_INVARIANT};
        g_snprintf(event.subject, sizeof event.subject, "n%u", controller);
        const char *rule = line + strlen(INVARIANT_EVENT);
        g_strlcpy(event.text, rule, MIN(sizeof event.text, strcspn(rule, "\n") + 1));
        mv_history_add(run->history, event);
    }
}

static void record_fault(const scenario_run *run, const mv_step *step)
{
    g_autofree char *description = mv_step_describe(step);
    mv_event event = {.kind = MV_EVENT_FAULT};
    g_strlcpy(event.text, description, sizeof event.text);
    mv_history_add(run->history, event);
    if (!run->options->quiet)
        printf("%8.3f %s\n", mv_history_now(run->history), description);
}

static void wait_until(const scenario_run *run, double at)
{
    const double remaining_s = at - mv_history_now(run->history);
    if (remaining_s > 0)
        g_usleep((gulong)(remaining_s * G_USEC_PER_SEC));
}

/* Begins and ends all faults of the script at their times. Returns false as soon as a controller
 * cannot be started again. */
static bool inject_faults(scenario_run *run)
{
    for (guint i = 0; i < run->steps->len; i++) {
        const mv_step *step = &g_array_index(run->steps, mv_step, i);
        if (step->kind == MV_STEP_SUBMIT || step->kind == MV_STEP_CANCEL)
            continue; /* the threads of the simulated users perform these steps */
        wait_until(run, step->at);
        record_fault(run, step);
        record_ended_processes(run);
        if (!inject_fault(run, step))
            return false;
    }
    return true;
}

static void wait_for_jobs(const scenario_run *run, const mv_simulated_users *users)
{
    const double until = mv_history_now(run->history) + MV_SCENARIO_FINISH_TIMEOUT_S;
    while (!mv_simulated_users_are_finished(users) && mv_history_now(run->history) < until)
        g_usleep(FINISH_POLL_MS * 1000);
}

static bool run_script(scenario_run *run, bool *complete, GError **error)
{
    const mv_users_options user_options = {.steps = run->steps,
                                           .jobs = run->scenario->jobs,
                                           .estimated_runtime_s = run->scenario->run_ms / 1000.0,
                                           .repeat_requests = run->scenario->repeat_requests,
                                           .cluster = run->cluster,
                                           .history = run->history};
    mv_simulated_users *users = mv_simulated_users_start(&user_options);
    const bool injected = inject_faults(run);
    wait_until(run, run->scenario->seconds);
    if (injected)
        wait_for_jobs(run, users);
    else
        g_set_error(error, MV_SCENARIO_RUN_ERROR, MV_SCENARIO_RUN_ERROR_START,
                    "%s: cannot be started", run->options->program);
    *complete = mv_simulated_users_are_finished(users);
    mv_simulated_users_stop(users);
    record_ended_processes(run);
    for (unsigned i = 0; i < run->cluster->count; i++)
        record_violated_invariants(run, i);
    return injected;
}

/* --- set-up --- */

static char *write_operator_file(const mv_scenario *scenario, const char *directory)
{
    g_autoptr(GString) text = g_string_new(scenario->launch_gate ? "launch_gate: true\n" : "");
    if (scenario->shards)
        g_string_append_printf(text, "shards: %u\n", scenario->shards);
    if (text->len == 0)
        return NULL;
    g_autofree char *path = g_strdup_printf("%s/operator.yaml", directory);
    if (!g_file_set_contents(path, text->str, -1, NULL))
        return NULL;
    return g_steal_pointer(&path);
}

static mv_history *open_history(const char *directory, GError **error)
{
    g_autofree char *path = g_strdup_printf("%s/history.txt", directory);
    mv_history *history = mv_history_open(path);
    if (!history)
        g_set_error(error, MV_SCENARIO_RUN_ERROR, MV_SCENARIO_RUN_ERROR_HISTORY,
                    "%s: cannot be written", path);
    return history;
}

static mv_environment *start_environment(const scenario_run *run)
{
    const mv_environment_options options = {.machines = run->scenario->machines,
                                            .run_s = run->scenario->run_ms / 1000.0,
                                            .fetch_s = run->scenario->fetch_ms / 1000.0,
                                            .lease_s = LEASE_S,
                                            .heartbeat_ms = MACHINE_HEARTBEAT_MS,
                                            .deletes_machines = true,
                                            .history = run->history};
    return mv_environment_start(&options);
}

static mv_controller_cluster *new_cluster(const scenario_run *run)
{
    const mv_cluster_options options = {.program = run->options->program,
                                        .directory = run->options->directory,
                                        .operator_file = run->operator_file,
                                        .report_s = HEARTBEAT_S,
                                        .lease_s = LEASE_S,
                                        .cancel_s = run->scenario->cancel_s,
                                        .team_cores = run->scenario->team_cores,
                                        .state_rps = STATE_RPS};
    return mv_cluster_new(&options, run->scenario->controllers);
}

static bool configure_controllers(const scenario_run *run, GError **error)
{
    const uint16_t cloud_port = mv_environment_cloud_port(run->environment);
    for (unsigned i = 0; i < run->cluster->count; i++) {
        if (mv_cluster_configure(run->cluster, i, mv_cluster_links_state_port(run->links, i),
                                 cloud_port, mv_cluster_links_peer_ports(run->links, i)))
            continue;
        g_set_error(error, MV_SCENARIO_RUN_ERROR, MV_SCENARIO_RUN_ERROR_START,
                    "%s: cannot be started", run->cluster->nodes[i].config);
        return false;
    }
    return true;
}

static bool start_controllers(scenario_run *run, GError **error)
{
    for (unsigned i = 0; i < run->cluster->count; i++) {
        if (mv_cluster_start_node(run->cluster, i))
            continue;
        g_set_error(error, MV_SCENARIO_RUN_ERROR, MV_SCENARIO_RUN_ERROR_START,
                    "%s: cannot be started", run->options->program);
        return false;
    }
    return true;
}

static void set_up(scenario_run *run)
{
    mv_http_client_init();
    run->environment = start_environment(run);
    run->cluster = new_cluster(run);
    run->links = mv_cluster_links_start(run->cluster, mv_environment_state_port(run->environment));
    mv_environment_set_controllers(run->environment, mv_cluster_links_heartbeat_ports(run->links),
                                   run->cluster->count);
}

/* Stops the controllers first, because they use the environment and the links until they end. */
static void take_down(scenario_run *run)
{
    for (unsigned i = 0; i < run->cluster->count; i++)
        mv_cluster_kill_node(run->cluster, i);
    mv_environment_stop(run->environment);
    mv_cluster_links_stop(run->links);
    mv_cluster_free(run->cluster, true);
}

static mv_check_limits limits_of(const mv_scenario *scenario)
{
    return (mv_check_limits){.cancel_s = scenario->cancel_s,
                             .exit_delay_s = mv_scenario_max_hang_s(scenario) + EXIT_RECORD_DELAY_S,
                             .team_tasks = scenario->team_cores / MV_SIMULATED_TASK_CORES};
}

mv_scenario_run_result *mv_scenario_run(const mv_scenario *scenario, uint32_t seed,
                                        const mv_scenario_run_options *options, GError **error)
{
    scenario_run run = {.scenario = scenario, .options = options};
    mv_scenario_run_result *result = NULL;
    bool complete = false;
    run.history = open_history(options->directory, error);
    if (!run.history)
        return NULL;
    run.operator_file = write_operator_file(scenario, options->directory);
    run.steps = mv_script_generate(scenario, seed);
    set_up(&run);
    const bool played = configure_controllers(&run, error) && start_controllers(&run, error) &&
                        run_script(&run, &complete, error);
    take_down(&run);
    if (played) {
        result = g_new0(mv_scenario_run_result, 1);
        result->events = mv_history_events(run.history);
        result->limits = limits_of(scenario);
        result->complete = complete;
    }
    g_array_unref(run.steps);
    g_free(run.operator_file);
    mv_history_close(run.history);
    return result;
}

void mv_scenario_run_result_free(mv_scenario_run_result *result)
{
    if (!result)
        return;
    g_array_unref(result->events);
    g_free(result);
}
