#include "coordination/agents/command_queue.h"

#include "coordination/agents/command_list.h"
#include "coordination/agents/launch_fence.h"
#include "coordination/agents/lease_renewal.h"
#include "coordination/agents/machine.h"

/* Values of mv_machine.uncertain_attempts: whether the command that carries the launch is still in
 * flight, or was given up without an answer. */
#define LAUNCH_IN_FLIGHT GINT_TO_POINTER(0)
#define LAUNCH_GIVEN_UP GINT_TO_POINTER(1)

/* --- sending --- */

/* Records the launches of a command as uncertain, because each launch may arrive at any time until
 * the command is answered, which may never happen. Meanwhile a response to a heartbeat may carry
 * the same launch. In one failure a task was started, stopped and cleared through such responses
 * while the command waited in this controller's own queue for 13 s; the command then started the
 * task a second time. */
static void mark_launches_in_flight(const mv_context *context, mv_machine *machine,
                                    const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const mv_command *command = &g_array_index(commands, mv_command, i);
        if (command->kind != MV_COMMAND_LAUNCH)
            continue;
        if (g_hash_table_size(machine->uncertain_attempts) == 0)
            machine->uncertain_since = context->clock.now;
        g_autofree char *key = mv_attempt_key(command->job_id, command->task, command->attempt);
        /* An attempt that is recorded already keeps its value, because the earlier copy of the
         * launch may still arrive too. */
        if (!g_hash_table_contains(machine->uncertain_attempts, key))
            g_hash_table_insert(machine->uncertain_attempts, g_steal_pointer(&key),
                                LAUNCH_IN_FLIGHT);
    }
}

static unsigned command_timeout_ms(const mv_machine *machine, const GArray *commands)
{
    if (commands->len)
        return MV_COMMAND_TIMEOUT_MS;
    return MIN(MV_PROBE_TIMEOUT_MS * (1 + machine->unanswered_commands),
               (unsigned)MV_PROBE_TIMEOUT_MAX_MS);
}

static void send_command(mv_agents *agents, mv_machine *machine, GArray *commands)
{
    mv_context *context = agents->context;
    mv_action *action = mv_action_new(&context->actions, MV_ACTION_COMMAND);
    g_strlcpy(action->machine, machine->id, sizeof action->machine);
    g_strlcpy(action->address, machine->address, sizeof action->address);
    action->fencing_token = mv_machine_fencing_token(machine);
    action->agent_epoch = MAX(machine->agent_epoch, 1);
    action->timeout_ms = command_timeout_ms(machine, commands);
    action->commands = commands;
    mark_launches_in_flight(context, machine, commands);
    mv_command_list_log(commands, machine, action->fencing_token, action->id);
    machine->command_id = action->id;
    machine->command_sent_at = context->clock.now;
    g_hash_table_insert(agents->commands_in_flight, &machine->command_id, machine);
}

static bool launch_is_due(mv_agents *agents, const mv_placement *placement)
{
    return placement->job && !placement->reported && !placement->launch_sent &&
           !placement->stopping && mv_launch_allowed(agents->launch_control, placement->job);
}

static bool stop_is_due(const mv_placement *placement)
{
    bool should_stop = placement->stopping || mv_job_tasks_must_end(placement->job);
    return placement->reported && should_stop && placement->stop_sent_at == 0;
}

/* Returns the launches and stops that should not wait for the machine's next heartbeat. */
static GArray *collect_urgent_commands(mv_agents *agents, mv_machine *machine)
{
    GArray *commands = mv_command_list_new();
    if (!machine->confirmed)
        return commands;
    for (guint i = 0; i < machine->placements->len && commands->len < MV_RESPONSE_COMMANDS_MAX;
         i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (launch_is_due(agents, placement)) {
            mv_command_append_launch(commands, placement);
            placement->launch_sent = true;
            placement->launch_token = mv_machine_fencing_token(machine);
            mv_launch_fence_command_sent(machine, placement->launch_token);
        } else if (stop_is_due(placement)) {
            mv_command_append_stop(commands, placement);
            placement->stop_sent_at = agents->context->clock.now;
        }
    }
    return commands;
}

/* Sends the machine's command if one may be sent now. Returns whether the machine leaves the
 * command queue. */
static bool flush_machine_command(mv_agents *agents, mv_machine *machine)
{
    if (!machine->command_requested || !machine->address[0] || !machine->shard ||
        !mv_shard_is_owned(agents->context, machine->shard))
        return true;
    if (machine->command_id || agents->context->clock.now < machine->commands_paused_until)
        return false;
    machine->command_requested = false;
    GArray *commands = collect_urgent_commands(agents, machine);
    if (commands->len || !machine->confirmed || machine->probe_requested)
        send_command(agents, machine, commands);
    else
        g_array_unref(commands);
    machine->probe_requested = false;
    return true;
}

/* --- the window --- */

/* A direct command costs about ten times as much processor time as a response to a heartbeat, which
 * carries the same commands a little later. When controllers with processors for 1,200 machines had
 * 4,000 machines, direct commands took most of the processor time while the fleet booted:
 * heartbeats and users' requests were answered too late and sent again, and the controllers never
 * caught up. So an overloaded controller reduces direct commands first, by additive increase and
 * multiplicative decrease of the window. */
void mv_command_window_adapt(mv_agents *agents, double tick_gap_s)
{
    double *window = &agents->command_window;
    if (tick_gap_s > MV_TICK_OVERLOADED_S && !SAFETY_CHECK(COMMAND_WINDOW, false))
        *window = MAX(*window * MV_COMMAND_WINDOW_DECREASE, MV_COMMAND_WINDOW_MIN);
    else
        *window = MIN(*window + MV_COMMAND_WINDOW_INCREASE, MV_COMMANDS_IN_FLIGHT_MAX);
}

static bool window_is_full(const mv_agents *agents)
{
    return g_hash_table_size(agents->commands_in_flight) >= agents->command_window;
}

void mv_commands_flush(mv_agents *agents)
{
    GPtrArray *queue = agents->command_queue;
    guint remaining = 0;
    if (window_is_full(agents))
        return; /* every event calls this function, so a full window skips the scan */
    for (guint i = 0; i < queue->len; i++) {
        mv_machine *machine = g_ptr_array_index(queue, i);
        if (!window_is_full(agents) && flush_machine_command(agents, machine))
            machine->in_command_queue = false;
        else
            queue->pdata[remaining++] = machine;
    }
    g_ptr_array_set_size(queue, (gint)remaining);
}

/* --- results --- */

mv_machine *mv_commands_find(const mv_agents *agents, uint64_t id)
{
    return g_hash_table_lookup(agents->commands_in_flight, &id);
}

/* Returns whether the launch of a command may still be sent. The job of a launch that has waited in
 * a queue may have been cancelled meanwhile, and after a network partition this controller could
 * not record the end of the task. */
static bool launch_is_allowed(mv_agents *agents, const mv_command *command)
{
    const mv_job *job = mv_job_table_find(agents->jobs, command->job_id);
    if (!job)
        return SAFETY_CHECK(CANCELLED_LAUNCH, false);
    return mv_launch_allowed(agents->launch_control, job);
}

static bool launches_are_allowed(mv_agents *agents, const mv_action *action)
{
    for (guint i = 0; i < action->commands->len; i++) {
        const mv_command *command = &g_array_index(action->commands, mv_command, i);
        if (command->kind == MV_COMMAND_LAUNCH && !launch_is_allowed(agents, command))
            return false;
    }
    return true;
}

bool mv_command_is_valid(mv_agents *agents, const mv_machine *machine, const mv_action *action)
{
    const mv_context *context = agents->context;
    return machine->shard && mv_shard_is_owned(context, machine->shard) &&
           action->fencing_token == mv_machine_fencing_token(machine) &&
           context->clock.now < machine->command_sent_at + MV_COMMAND_TTL_S &&
           launches_are_allowed(agents, action);
}

static gboolean launch_has_arrived(gpointer key, gpointer state, gpointer data)
{
    (void)key;
    (void)data;
    return state == LAUNCH_IN_FLIGHT;
}

void mv_command_arrived(mv_machine *machine)
{
    g_hash_table_foreach_remove(machine->uncertain_attempts, launch_has_arrived, NULL);
}

void mv_command_dropped(mv_agents *agents, mv_machine *machine)
{
    mv_machine_forget_command(agents, machine);
    mv_command_arrived(machine);
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        bool may_be_on_machine = placement->reported || placement->launch_unanswered;
        placement->launch_sent = placement->launch_sent && may_be_on_machine;
        placement->stop_sent_at = 0;
    }
    machine->probe_requested = true;
    mv_machine_request_command(agents, machine);
}

/* Counts an unanswered command. The command counts as a failed probe of the machine only if some
 * machine of the shard has sent a heartbeat since the command was sent; otherwise this controller's
 * own link may have failed. When failed probes were counted during a network partition, working
 * machines were released as the partition ended. */
static void count_unanswered(const mv_context *context, mv_machine *machine)
{
    bool listening = machine->shard &&
                     machine->shard->last_heartbeat_at > machine->command_sent_at &&
                     !mv_clock_is_overloaded(&context->clock);
    machine->commands_failed++;
    if (listening)
        machine->probes_failed++;
    /* The same condition holds for the count that makes a machine unreachable for commands. When
     * probes sent while this controller was isolated were counted there, a working machine was
     * found unreachable at its first heartbeat after the network partition, and was returned to the
     * cloud. */
    if (SAFETY_CHECK(OWN_ISOLATION, listening) && machine->unanswered_while_reporting++ == 0)
        machine->unreachable_while_reporting_since = context->clock.now;
    if (!machine->unreachable_since)
        machine->unreachable_since = context->clock.now;
    machine->unanswered_commands++;
}

/* Requests another probe after a pause that grows with each unanswered command. Without a probe the
 * machine could stay unused, because no task is placed on it until a command gets through. */
static void probe_again(mv_agents *agents, mv_machine *machine)
{
    const mv_context *context = agents->context;
    double pause_s = MV_PROBE_BACKOFF_S * machine->unanswered_commands;
    machine->probe_requested = true;
    mv_machine_request_command(agents, machine);
    machine->commands_paused_until = context->clock.now + MIN(pause_s, context->settings->report_s);
}

void mv_command_unanswered(mv_agents *agents, mv_machine *machine)
{
    count_unanswered(agents->context, machine);
    probe_again(agents, machine);
    GHashTableIter iter;
    g_hash_table_iter_init(&iter, machine->uncertain_attempts);
    while (g_hash_table_iter_next(&iter, NULL, NULL))
        g_hash_table_iter_replace(&iter, LAUNCH_GIVEN_UP);
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        bool unanswered = !placement->reported && placement->launch_sent;
        placement->launch_unanswered = placement->launch_unanswered || unanswered;
    }
}
