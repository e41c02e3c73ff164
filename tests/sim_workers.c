/**
 * Messages between controllers and machines: commands, heartbeats, delayed commands and delayed
 * duplicates of heartbeats.
 *
 * A machine sends its heartbeats to one controller. If the machine gets no response, it tries the
 * next controller; if a controller redirects the machine, it uses the controller that was named.
 */
#include "sim_internal.h"

#include "controller_probe.h"

#include <string.h>

/** Share of heartbeats for which a duplicate is held for the next leader. */
#define HELD_HEARTBEAT_SHARE 0.1
/** If a machine gets no response to a heartbeat, it tries the next controller after
 * HEARTBEAT_RETRY_S. If the controller has no running process, the connection is refused, and the
 * machine tries the next controller after HEARTBEAT_REFUSED_RETRY_S. */
#define HEARTBEAT_RETRY_S 4
#define HEARTBEAT_REFUSED_RETRY_S 1
/** Longest interval between two steps of a machine that boots. */
#define BOOT_STEP_MAX_S 5

/** A command that reaches its machine after the sender has given up on the command. */
typedef struct {
    char worker[MV_NAME_SIZE];
    uint64_t fencing_token, agent_epoch;
    GArray *commands; /* mv_command */
} delayed_command;

/** The response to a heartbeat, in flight to the machine. */
typedef struct {
    char worker[MV_NAME_SIZE];
    uint64_t agent_epoch;
    double sent_at; /* time at which the machine sent the heartbeat */
    mv_heartbeat_response response;
} heartbeat_reply;

/* --- commands --- */

static void delayed_command_free(gpointer data)
{
    delayed_command *delayed = data;
    g_array_unref(delayed->commands);
    g_free(delayed);
}

static void deliver_delayed_command(sim *simulation, gpointer data)
{
    delayed_command *delayed = data;
    fake_worker *worker = sim_worker_by_id(simulation, delayed->worker);
    if (worker && !worker->gone && simulation->now >= worker->booted_at) {
        if (delayed->fencing_token < worker->fencing_token)
            sim_count_combination(simulation, SIM_DEPOSED_COMMANDS);
        fake_worker_receive_command(worker, delayed->fencing_token, delayed->agent_epoch,
                                    delayed->commands, simulation->now, sim_task_spec, simulation);
    }
    delayed_command_free(delayed);
}

static void delay_command(sim *simulation, const fake_worker *worker, const mv_action *action)
{
    const bool is_hung = simulation->now < worker->hung_until;
    const double delay =
        is_hung ? worker->hung_until - simulation->now : sim_random(simulation, 1, 90);
    delayed_command *delayed = g_new0(delayed_command, 1);
    g_strlcpy(delayed->worker, worker->id, sizeof delayed->worker);
    delayed->fencing_token = action->fencing_token;
    delayed->agent_epoch = action->agent_epoch;
    delayed->commands = g_array_ref(action->commands);
    sim_schedule_owned(simulation, delay, deliver_delayed_command, delayed, delayed_command_free);
}

/* Delays a command once by several seconds, if a draw says so, as a queue in the controller or a
 * slow link does. The machine later executes and answers the command. Returns true if the command
 * was delayed. */
static bool defer_slow(sim *simulation, sim_request *request)
{
    if (request->delayed || !sim_chance(simulation, simulation->plan->slow_commands))
        return false;
    request->delayed = true;
    sim_schedule_owned(simulation, sim_random(simulation, 2, 15), sim_execute_command, request,
                       sim_request_free);
    return true;
}

/* Drops a command that its sender may no longer send, as a controller checks right before it sends
 * a command. Returns true if the command was dropped; the request is then freed. */
static bool dropped_by_sender(sim *simulation, sim_request *request)
{
    sim_node *node = request->node;
    const double now = sim_steady_clock(simulation, node);
    if (!sim_request_sender_runs(request) ||
        mv_controller_action_is_valid(node->controller, now, request->action))
        return false;
    mv_controller_command_dropped(node->controller, now, request->action->id);
    sim_node_send_actions(simulation, node);
    sim_request_free(request);
    return true;
}

static bool command_reaches(const sim *simulation, const sim_node *node, const fake_worker *worker)
{
    const double now = simulation->now;
    const bool is_up = !worker->gone && now >= worker->booted_at && now >= worker->hung_until;
    const bool is_connected = now >= worker->partitioned_until &&
                              now >= worker->commands_blocked_until &&
                              now >= node->worker_cut_until;
    return is_up && is_connected && sim_zone_connected(simulation, node, worker);
}

/* Returns whether the command arrives only after its sender has given up on the command. Makes a
 * draw only if the machine is neither gone nor hung. */
static bool command_is_delayed(sim *simulation, const sim_node *node, const fake_worker *worker)
{
    return !worker->gone && (simulation->now < worker->hung_until ||
                             sim_chance(simulation, simulation->plan->message_delay) ||
                             simulation->now < node->worker_cut_until);
}

static void receive_command(sim *simulation, sim_request *request, fake_worker *worker)
{
    const mv_action *action = request->action;
    request->status =
        fake_worker_receive_command(worker, action->fencing_token, action->agent_epoch,
                                    action->commands, simulation->now, sim_task_spec, simulation);
    if (request->status == SIM_HTTP_OK)
        sim_draw_command_copies(simulation, worker, action);
    fake_worker_heartbeat(worker, simulation->now, &request->heartbeat);
    request->has_heartbeat = !sim_chance(simulation, simulation->plan->message_loss);
    if (request->has_heartbeat) {
        sim_request_complete(simulation, request, sim_random(simulation, 0.001, 0.05));
    } else {
        request->status = SIM_HTTP_NONE;
        sim_request_complete(simulation, request, REQUEST_TIMEOUT_S);
    }
}

void sim_execute_command(sim *simulation, gpointer data)
{
    sim_request *request = data;
    const mv_action *action = request->action;
    sim_node *node = request->node;
    if (defer_slow(simulation, request) ||
        sim_request_defer_frozen(simulation, request, sim_execute_command) ||
        dropped_by_sender(simulation, request))
        return;
    if (sim_request_sender_runs(request))
        sim_track_launches(simulation, node, action->commands);
    fake_worker *worker = sim_worker_by_id(simulation, action->machine);
    const bool is_delayed = worker && command_is_delayed(simulation, node, worker);
    if (is_delayed)
        delay_command(simulation, worker, action);
    if (worker && !is_delayed && command_reaches(simulation, node, worker))
        receive_command(simulation, request, worker);
    else
        sim_request_complete(simulation, request, REQUEST_TIMEOUT_S);
}

/* --- the controller that a machine sends its heartbeats to --- */

/* Returns the index of the controller to which the machine sends its heartbeats. fake_worker has no
 * field for the index, so the machine's address holds the index after an '@'. */
static guint target_of(const fake_worker *worker)
{
    const char *separator = strrchr(worker->address, '@');
    return separator ? (guint)g_ascii_strtoull(separator + 1, NULL, 10) : 0;
}

static void set_target(fake_worker *worker, guint index)
{
    g_snprintf(worker->address, sizeof worker->address, "%s@%u", worker->id, index);
}

static void set_next_target(fake_worker *worker)
{
    set_target(worker, (target_of(worker) + 1) % NODES);
}

/* Without a known name, the next one. */
static void follow_redirect(const sim *simulation, fake_worker *worker, const char *node_name)
{
    for (guint i = 0; i < NODES; i++)
        if (strcmp(simulation->nodes[i].settings->node_name, node_name) == 0) {
            set_target(worker, i);
            return;
        }
    set_next_target(worker);
}

/* --- heartbeats --- */

static void heartbeat_reply_free(gpointer data)
{
    heartbeat_reply *reply = data;
    g_clear_pointer(&reply->response.commands, g_array_unref);
    g_free(reply);
}

static void deliver_heartbeat(sim *simulation, sim_node *node, const mv_heartbeat *heartbeat,
                              mv_heartbeat_response *response)
{
    const sim_observer *witness = simulation->plan->witness;
    mv_controller_heartbeat(node->controller, sim_steady_clock(simulation, node), heartbeat,
                            response);
    if (witness)
        witness->answer(witness->user, node->index, simulation->now, response);
}

static void deliver_heartbeat_reply(sim *simulation, gpointer data)
{
    heartbeat_reply *reply = data;
    const mv_heartbeat_response *response = &reply->response;
    fake_worker *worker = sim_worker_by_id(simulation, reply->worker);
    const bool is_lost =
        simulation->now < worker->commands_blocked_until || simulation->now < worker->hung_until;
    if (!worker->gone && is_lost)
        set_next_target(worker);
    else if (!worker->gone && response->status == SIM_HTTP_OK)
        fake_worker_receive_response(worker, reply->agent_epoch, reply->sent_at,
                                     response->fencing_token, response->commands, simulation->now,
                                     sim_task_spec, simulation);
    heartbeat_reply_free(reply);
    sim_schedule(simulation, worker->changed ? 0.5 : sim_random(simulation, 0.7, 1.3),
                 sim_worker_step, worker);
}

static bool heartbeat_is_lost(sim *simulation, const sim_node *node, const fake_worker *worker)
{
    const double now = simulation->now;
    return now < node->frozen_until || now < node->worker_cut_until ||
           now < worker->partitioned_until || now < worker->heartbeats_blocked_until ||
           !sim_zone_connected(simulation, node, worker) || !node->running ||
           sim_chance(simulation, simulation->plan->message_loss);
}

/* --- duplicates of heartbeats --- */

void sim_heartbeat_free(gpointer data)
{
    mv_heartbeat_clear(data);
    g_free(data);
}

/* Copies a heartbeat. The list of tasks has one element more than `task_count`, so the list is
 * never empty. */
static mv_heartbeat *copy_heartbeat(const mv_heartbeat *heartbeat)
{
    mv_heartbeat *copy = g_memdup2(heartbeat, sizeof *heartbeat);
    copy->tasks =
        g_memdup2(heartbeat->tasks, (heartbeat->task_count + 1) * sizeof(mv_reported_task));
    return copy;
}

/* Delivers a duplicate of a heartbeat to a random controller, possibly long after the machine is
 * gone. The response is discarded. */
static void deliver_duplicate(sim *simulation, gpointer data)
{
    mv_heartbeat *heartbeat = data;
    sim_node *node = sim_random_node(simulation);
    if (node->running && simulation->now >= node->worker_cut_until &&
        simulation->now >= node->frozen_until) {
        mv_heartbeat_response response;
        deliver_heartbeat(simulation, node, heartbeat, &response);
        if (response.commands)
            g_array_unref(response.commands);
        sim_node_send_actions(simulation, node);
    }
    sim_heartbeat_free(heartbeat);
}

static void schedule_duplicate(sim *simulation, double delay, mv_heartbeat *heartbeat)
{
    sim_schedule_owned(simulation, delay, deliver_duplicate, heartbeat, sim_heartbeat_free);
}

static void draw_duplicates(sim *simulation, const mv_heartbeat *heartbeat)
{
    const sim_plan *plan = simulation->plan;
    if (sim_chance(simulation, plan->duplicate_heartbeats)) {
        const double delay = sim_chance(simulation, 0.5) ? sim_random(simulation, 0.5, 8)
                                                         : sim_random(simulation, 8, 120);
        schedule_duplicate(simulation, delay, copy_heartbeat(heartbeat));
    }
    if (plan->duplicates_for_next_leader && sim_chance(simulation, HELD_HEARTBEAT_SHARE))
        g_ptr_array_add(simulation->held_heartbeats, copy_heartbeat(heartbeat));
}

void sim_release_held_heartbeats(sim *simulation, const sim_node *node)
{
    GPtrArray *held = simulation->held_heartbeats;
    if (!mv_controller_is_leader(node->controller) ||
        probe_leader_term(node->controller) == simulation->last_leader_term)
        return;
    simulation->last_leader_term = probe_leader_term(node->controller);
    for (guint i = 0; i < held->len; i++) {
        schedule_duplicate(simulation, sim_random(simulation, 0, 0.5), g_ptr_array_index(held, i));
        sim_count_combination(simulation, SIM_DUPLICATES_FOR_NEXT_LEADER);
    }
    /* The scheduled events own the heartbeats now, so the array must not free them. */
    g_ptr_array_set_free_func(held, NULL);
    g_ptr_array_set_size(held, 0);
    g_ptr_array_set_free_func(held, sim_heartbeat_free);
}

/* --- a machine's steps --- */

static void send_heartbeat(sim *simulation, sim_node *node, fake_worker *worker)
{
    mv_heartbeat heartbeat;
    heartbeat_reply *reply = g_new0(heartbeat_reply, 1);
    mv_heartbeat_response *response = &reply->response;
    g_strlcpy(reply->worker, worker->id, sizeof reply->worker);
    fake_worker_heartbeat(worker, simulation->now, &heartbeat);
    reply->agent_epoch = worker->agent_epoch;
    reply->sent_at = simulation->now;
    draw_duplicates(simulation, &heartbeat);
    deliver_heartbeat(simulation, node, &heartbeat, response);
    mv_heartbeat_clear(&heartbeat);
    if (response->commands)
        sim_track_launches(simulation, node, response->commands);
    sim_node_send_actions(simulation, node);
    if (response->status == SIM_HTTP_MISDIRECTED)
        follow_redirect(simulation, worker, response->redirect_to);
    else if (response->status != SIM_HTTP_OK)
        set_next_target(worker);
    sim_schedule_owned(simulation, sim_random(simulation, 0.001, 0.3), deliver_heartbeat_reply,
                       reply, heartbeat_reply_free);
}

void sim_worker_step(sim *simulation, gpointer data)
{
    fake_worker *worker = data;
    if (worker->gone)
        return;
    if (simulation->now < worker->booted_at) {
        const double boots_in_s = worker->booted_at - simulation->now;
        sim_schedule(simulation, MIN(boots_in_s, BOOT_STEP_MAX_S), sim_worker_step, worker);
        return;
    }
    fake_worker_advance(worker, simulation->now);
    if (simulation->now < worker->hung_until) {
        sim_schedule(simulation, worker->hung_until - simulation->now, sim_worker_step, worker);
        return;
    }
    sim_node *node = &simulation->nodes[target_of(worker)];
    if (!heartbeat_is_lost(simulation, node, worker)) {
        send_heartbeat(simulation, node, worker);
        return;
    }
    set_next_target(worker);
    sim_schedule(simulation, node->running ? HEARTBEAT_RETRY_S : HEARTBEAT_REFUSED_RETRY_S,
                 sim_worker_step, worker);
}
