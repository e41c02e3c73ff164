/**
 * The processes of the simulated controllers: start, end, ticks, and the delivery of actions.
 *
 * Each action of a controller becomes a sim_request, which reaches the target system after a short
 * delay and returns with a response. If the process that sent the request has ended, the response
 * is lost. While a process is frozen, its steps and the messages to it wait.
 */
#include "sim_internal.h"

#include "controller_probe.h"

double sim_steady_clock(const sim *simulation, const sim_node *node)
{
    return STEADY_CLOCK_START_S + simulation->now * (1 + node->clock_drift);
}

/* --- requests --- */

void sim_request_free(gpointer data)
{
    sim_request *request = data;
    mv_action_free(request->action);
    mv_heartbeat_clear(&request->heartbeat);
    g_clear_pointer(&request->machine_names, g_ptr_array_unref);
    g_clear_pointer(&request->listed_machines, g_array_unref);
    g_free(request);
}

bool sim_request_sender_runs(const sim_request *request)
{
    return request->node->running &&
           request->node->process_generation == request->process_generation;
}

bool sim_request_defer_frozen(sim *simulation, sim_request *request, sim_event_handler handler)
{
    const double frozen_s = request->node->frozen_until - simulation->now;
    if (frozen_s <= 0)
        return false;
    sim_schedule_owned(simulation, frozen_s + sim_random(simulation, 0, 0.05), handler, request,
                       sim_request_free);
    return true;
}

/* Passes the response to the controller that sent the request. The kinds of actions that are not
 * listed here have no response. */
static void deliver_response(sim *simulation, const sim_request *request)
{
    mv_controller *controller = request->node->controller;
    const double now = sim_steady_clock(simulation, request->node);
    const uint64_t id = request->action->id;
    switch (request->action->kind) {
    case MV_ACTION_TRANSACTION:
        mv_controller_transaction_completed(controller, now, id, request->transaction_result);
        break;
    case MV_ACTION_COMMAND:
        mv_controller_command_completed(controller, now, id, request->status,
                                        request->has_heartbeat ? &request->heartbeat : NULL);
        break;
    case MV_ACTION_SCALE_OUT:
        mv_controller_scale_out_completed(controller, now, id, request->machine_names,
                                          request->refused);
        break;
    case MV_ACTION_SCALE_IN:
        mv_controller_scale_in_completed(controller, now, id, request->status == SIM_HTTP_OK);
        break;
    case MV_ACTION_LIST_MACHINES:
        mv_controller_machines_listed(controller, now, id, request->listed_machines, false);
        break;
    default:
        break;
    }
}

static void complete_request(sim *simulation, gpointer data)
{
    sim_request *request = data;
    if (sim_request_defer_frozen(simulation, request, complete_request))
        return;
    if (sim_request_sender_runs(request)) {
        deliver_response(simulation, request);
        sim_node_send_actions(simulation, request->node);
    }
    sim_request_free(request);
}

void sim_request_complete(sim *simulation, sim_request *request, double delay)
{
    sim_schedule_owned(simulation, delay, complete_request, request, sim_request_free);
}

void sim_node_send_actions(sim *simulation, sim_node *node)
{
    static const sim_event_handler handlers[] = {
        [MV_ACTION_TRANSACTION] = sim_execute_transaction,
        [MV_ACTION_COMMAND] = sim_execute_command,
        [MV_ACTION_SCALE_OUT] = sim_execute_scale_out,
        [MV_ACTION_SCALE_IN] = sim_execute_scale_in,
        [MV_ACTION_LIST_MACHINES] = sim_execute_list_machines,
        [MV_ACTION_LIST_TYPES] = sim_execute_list_types,
        [MV_ACTION_PUBLISH_DEMAND] = sim_execute_publish_demand};
    const sim_observer *witness = simulation->plan->witness;
    mv_action *action;
    while ((action = mv_controller_next_action(node->controller))) {
        if (witness)
            witness->action(witness->user, node->index, simulation->now, action);
        sim_request *request = g_new0(sim_request, 1);
        request->node = node;
        request->process_generation = node->process_generation;
        request->action = action;
        request->lease_id = node->lease_id;
        sim_schedule_owned(simulation, sim_random(simulation, 0.001, 0.02), handlers[action->kind],
                           request, sim_request_free);
    }
}

/* --- processes --- */

/* Sets the state store's limits in the settings of a controller. Under a plan that reduces the
 * limits, every process of the new release gets the reduced limits in its settings from its start,
 * unless the plan leaves them unannounced. A process of the old release gets the initial limits. */
static void set_state_store_limits(const sim_plan *plan, sim_node *node)
{
    const bool announced =
        !node->emulates_format_1 && plan->limits_reduced_at > 0 && !plan->limits_unannounced;
    node->settings->value_kb = announced ? REDUCED_VALUE_KB : INITIAL_VALUE_KB;
    node->settings->transaction_writes =
        announced ? REDUCED_TRANSACTION_WRITES : INITIAL_TRANSACTION_WRITES;
}

static void start_process(sim *simulation, sim_node *node)
{
    set_state_store_limits(simulation->plan, node);
    node->controller = mv_controller_new(node->settings);
    probe_emulate_format_1(node->controller, node->emulates_format_1);
    node->running = true;
    node->process_generation++;
    sim_release_copies_at_start(simulation);
    node->incarnation = node->lease_id = 0;
    node->has_session = node->is_listed = node->is_relisting = node->is_following = false;
    node->last_listed_key[0] = 0;
    node->next_log_entry = 0;
    node->cut_since = node->cut_healed_at = node->next_link_report_at = 0;
    mv_controller_tick(node->controller, sim_steady_clock(simulation, node),
                       WALL_CLOCK_START_S + simulation->now);
}

void sim_node_stop(sim *simulation, sim_node *node, double away_s)
{
    if (!node->running)
        return;
    simulation->last_stop_at = simulation->now;
    mv_controller_free(node->controller);
    node->controller = NULL;
    node->running = false;
    node->frozen_until = 0;
    node->restart_at = simulation->now + away_s;
}

static void step_process(sim *simulation, sim_node *node)
{
    if (!node->has_session || simulation->now >= node->next_renewal_at) {
        node->next_renewal_at = simulation->now + MV_SESSION_RENEW_S;
        sim_renew_session(simulation, node);
    }
    sim_read_state(simulation, node);
    sim_track_cut(simulation, node);
    const double wall_clock_error = sim_random(simulation, -0.5, 0.5);
    mv_controller_tick(node->controller, sim_steady_clock(simulation, node),
                       WALL_CLOCK_START_S + simulation->now + wall_clock_error);
    sim_release_held_heartbeats(simulation, node);
    sim_publish_link_reports(simulation, node);
    sim_node_send_actions(simulation, node);
}

void sim_node_step(sim *simulation, gpointer data)
{
    sim_node *node = data;
    if (!node->running && simulation->now >= node->restart_at)
        start_process(simulation, node);
    if (node->running && simulation->now >= node->frozen_until)
        step_process(simulation, node);
    sim_schedule(simulation, sim_random(simulation, 0.08, 0.15), sim_node_step, node);
}
