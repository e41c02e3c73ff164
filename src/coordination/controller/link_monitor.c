/**
 * Monitors this controller's links to the state service, to the other controllers and to its
 * machines. Passes each observation to the connectivity package, and acts on the link class and the
 * launch scope that the package derives. Does nothing unless the operators set `launch_gate`.
 */
#include "coordination/controller/controller_internal.h"

#include "coordination/agents/machine.h"
#include "telemetry/log.h"

/* The wall time of the first tick, in microseconds, identifies a process to its peers: two
 * processes of one controller never start within the same microsecond. */
#define BOOT_UNITS_PER_S 1e6

/* --- observations --- */

/* Returns whether this controller should be receiving heartbeats from the machines of a shard: this
 * controller owns the shard, a machine of the shard has sent a heartbeat before, and this
 * controller has accepted heartbeats for longer than MV_RESIGN_AFTER_S. */
static bool should_report(const mv_context *context, const mv_shard *shard)
{
    if (!mv_shard_is_owned(context, shard) || shard->machine_count == 0 ||
        shard->last_heartbeat_at == 0)
        return false;
    double listening_since = MAX(shard->acquired_at, shard->listening_since);
    return context->clock.now > listening_since + MV_RESIGN_AFTER_S;
}

/* Tells the connectivity package whether heartbeats are expected from the machines of this
 * controller's shards, and when the last heartbeat under the terms of these shards arrived. No
 * heartbeat is expected while this process is overloaded, because heartbeats may then lie unread.
 */
static void observe_workers(mv_controller *controller)
{
    const mv_context *context = &controller->context;
    double last_heartbeat_at = 0;
    bool expected = false;
    for (guint i = 0; i < context->shards->len; i++) {
        const mv_shard *shard = g_ptr_array_index(context->shards, i);
        if (!should_report(context, shard))
            continue;
        expected = true;
        last_heartbeat_at = MAX(last_heartbeat_at, shard->last_heartbeat_at);
    }
    mv_connectivity_observe_workers(controller->launch_control.connectivity,
                                    expected && !mv_clock_is_overloaded(&context->clock),
                                    last_heartbeat_at);
}

void mv_controller_session_renewal_failed(mv_controller *controller, double now)
{
    mv_clock_advance(&controller->context.clock, now);
    if (controller->launch_control.connectivity)
        mv_connectivity_renewal_failed(controller->launch_control.connectivity);
}

void mv_controller_peer_probed(mv_controller *controller, double now, const char *peer, double sent,
                               bool answered)
{
    mv_clock_advance(&controller->context.clock, now);
    if (controller->launch_control.connectivity)
        mv_connectivity_peer_probed(controller->launch_control.connectivity, peer, sent, answered);
}

/* --- consequences of a change --- */

static const char *scope_name(mv_launch_scope scope)
{
    static const char *const NAMES[] = {[MV_LAUNCH_SCOPE_NONE] = "held",
                                        [MV_LAUNCH_SCOPE_GUARANTEED] = "guaranteed",
                                        [MV_LAUNCH_SCOPE_ALL] = "all"};
    return NAMES[scope];
}

/* Logs a change of the link class or of the launch scope. If the state service answers slowly, the
 * class changes every few seconds, so changes of the class alone are logged once in
 * MV_LOG_REPEAT_INTERVAL_S, with the number of suppressed lines. Every change of the scope is
 * logged. */
static void log_link_change(const mv_controller *controller, mv_link_change change)
{
    const mv_connectivity *connectivity = controller->launch_control.connectivity;
    const mv_launch_gate *gate = mv_connectivity_launch_gate(connectivity);
    const char *class_name = mv_link_class_name(mv_connectivity_link_class(connectivity));
    if (change == MV_LINK_CHANGE_CLASS)
        mv_log_limited(MV_LOG_INFO, "link_class_changed", "class=%s launches=%s", class_name,
                       scope_name(gate->scope));
    else
        mv_info("launch_scope_changed",
                "class=%s launches=%s break_count=%u hold_down_s=%.1f unrecorded_completions=%u",
                class_name, scope_name(gate->scope), gate->break_count, gate->hold_down_s,
                mv_completions_count(controller->jobs.unrecorded));
}

/* Requests a command to each machine whose launches were held, so that the machine need not wait
 * for the response to its next heartbeat. */
static void send_held_launches(mv_controller *controller)
{
    mv_agents *agents = &controller->agents;
    if (!mv_launch_allowed_any(&controller->launch_control))
        return;
    for (guint i = 0; i < agents->rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(agents->rotation, i);
        if (machine->placements->len && machine->confirmed)
            mv_machine_request_command(agents, machine);
    }
}

void mv_link_monitor_update(mv_controller *controller)
{
    mv_connectivity *connectivity = controller->launch_control.connectivity;
    mv_context *context = &controller->context;
    if (!connectivity)
        return;
    mv_link_change change = mv_connectivity_update(connectivity, context->clock.now,
                                                   mv_clock_is_overloaded(&context->clock));
    if (change == MV_LINK_CHANGE_NONE)
        return;
    log_link_change(controller, change);
    if (change != MV_LINK_CHANGE_SCOPE)
        return;
    context->round_requested = true;
    send_held_launches(controller);
}

void mv_link_monitor_tick(mv_controller *controller)
{
    mv_launch_control *launch_control = &controller->launch_control;
    if (!launch_control->connectivity)
        return;
    if (!launch_control->boot)
        launch_control->boot =
            (uint64_t)(mv_clock_wall_time(&controller->context.clock) * BOOT_UNITS_PER_S);
    observe_workers(controller);
    mv_link_monitor_update(controller);
}

/* --- link reports --- */

bool mv_controller_publishes_link_reports(const mv_controller *controller)
{
    return controller->launch_control.connectivity != NULL;
}

double mv_controller_link_report_interval(const mv_controller *controller)
{
    return mv_connectivity_publish_interval(controller->launch_control.connectivity,
                                            controller->context.clock.now);
}

/* Returns whether this controller cannot write the completion records of a job, because another
 * controller owns the job or because the state service is out of reach. */
static bool cannot_record(void *context, const char *job_id)
{
    const mv_controller *controller = context;
    const mv_job *job = mv_job_table_find(&controller->jobs, job_id);
    if (!job)
        return false;
    bool can_write = mv_job_is_owned(&controller->context, job) &&
                     mv_connectivity_state_is_reachable(controller->launch_control.connectivity,
                                                        controller->context.clock.now);
    return !can_write;
}

mv_link_report *mv_controller_link_report(mv_controller *controller, double now)
{
    const mv_launch_control *launch_control = &controller->launch_control;
    mv_unrecorded_completions *unrecorded = controller->jobs.unrecorded;
    mv_clock_advance(&controller->context.clock, now);
    mv_link_monitor_update(controller);
    mv_link_report *report = mv_connectivity_publish(
        launch_control->connectivity, controller->context.clock.now, launch_control->boot);
    report->completions_unrecorded = mv_completions_count(unrecorded);
    if (!SAFETY_CHECK(COMPLETIONS, false))
        mv_completions_pack(unrecorded, cannot_record, controller,
                            MV_COMPLETIONS_PUBLISHED_BYTES_MAX, report->completions);
    return report;
}

static void adopt_completion_set(mv_controller *controller, const mv_completion_set *set)
{
    mv_context *context = &controller->context;
    mv_job *job = mv_job_table_find(&controller->jobs, set->job_id);
    if (!job || job->spec.service)
        return;
    g_autoptr(GArray) tasks = mv_completion_set_read(set, job->spec.tasks);
    if (!tasks) {
        mv_context_count_stale(context, "completion", set->job_id);
        return;
    }
    for (guint i = 0; i < tasks->len; i++) {
        uint32_t task = g_array_index(tasks, uint32_t, i);
        context->counters.completions_learned += job->task_states[task] < MV_TASK_STATE_DONE;
        mv_job_task_completed(&controller->jobs, job, task);
    }
}

/* Marks as done the tasks that a peer reports as completed. A completed task stays completed,
 * whichever controller reports the completion. If two controllers both act as the job's owner,
 * either of them may write the completion first: each write requires the shard's grant, and writing
 * the same completion again changes nothing. */
static void adopt_completions(mv_controller *controller, const mv_link_report *report)
{
    for (guint i = 0; i < report->completions->len; i++)
        adopt_completion_set(controller, g_ptr_array_index(report->completions, i));
}

/* Returns whether a report was rejected because it cannot be parsed or comes from a node that the
 * settings do not name. Either reason indicates a fault. Other rejected reports are normal, for
 * example those that a peer sent before it restarted. */
static bool is_invalid_report(mv_link_report_status status)
{
    return status == MV_LINK_REPORT_MALFORMED || status == MV_LINK_REPORT_UNKNOWN_NODE;
}

static void reject_link_report(mv_controller *controller, const mv_link_report *report,
                               mv_link_report_status status)
{
    static const char *const REASONS[MV_LINK_REPORT_STATUSES] = {
        [MV_LINK_REPORT_ACCEPTED] = "accepted",         [MV_LINK_REPORT_MALFORMED] = "malformed",
        [MV_LINK_REPORT_UNKNOWN_NODE] = "unknown_node", [MV_LINK_REPORT_STALE] = "stale",
        [MV_LINK_REPORT_UNCONFIRMED] = "unconfirmed",
    };
    controller->context.counters.link_reports_rejected++;
    mv_log_limited(is_invalid_report(status) ? MV_LOG_INFO : MV_LOG_DEBUG, "link_report_rejected",
                   "from=%s reason=%s", report->node, REASONS[status]);
}

void mv_controller_link_report_received(mv_controller *controller, double now,
                                        const mv_link_report *report)
{
    mv_connectivity *connectivity = controller->launch_control.connectivity;
    mv_context *context = &controller->context;
    mv_clock_advance(&context->clock, now);
    if (!connectivity)
        return;
    mv_link_report_status status =
        mv_connectivity_receive(connectivity, context->clock.now, report);
    if (status == MV_LINK_REPORT_ACCEPTED) {
        context->counters.link_reports++;
        mv_link_monitor_update(controller);
    } else {
        reject_link_report(controller, report, status);
    }
    if (!is_invalid_report(status))
        adopt_completions(controller, report);
    mv_controller_run_due_work(controller);
}
