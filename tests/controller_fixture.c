/** The controller under test: its settings, its start, the execution of its actions, and a clock
 * that the test advances. */
#include "controller_fixture.h"

#include <string.h>

#define WALL_CLOCK_START_S 1e6
#define DEFAULT_TICK_S 0.1
/* Length of "vm-", which precedes the digits of a machine's name. */
#define MACHINE_NAME_PREFIX_LENGTH 3

/* --- start --- */

static mv_settings *create_settings(bool launch_gate)
{
    mv_settings *settings = g_new0(mv_settings, 1);
    g_strlcpy(settings->node_name, "n0", sizeof settings->node_name);
    settings->controller_count = 3;
    settings->peer_count = 2;
    settings->peers = g_new0(mv_peer_settings, 2);
    g_strlcpy(settings->peers[0].name, "n1", MV_NAME_SIZE);
    g_strlcpy(settings->peers[1].name, "n2", MV_NAME_SIZE);
    settings->team_count = 1;
    settings->teams = g_new0(mv_team_settings, 1);
    g_strlcpy(settings->teams[0].name, "a", MV_NAME_SIZE);
    settings->report_s = 5;
    settings->lease_s = 27;
    settings->cancel_s = 47;
    settings->state_store_rps = 120;
    settings->state_store_write_rps = 25;
    settings->value_kb = 8;
    settings->transaction_writes = 12;
    settings->cloud_rps = 5;
    settings->machine_list_lag_s = 8;
    settings->operator_settings =
        (mv_operator_settings){.image_wait_s = MV_IMAGE_WAIT_S,
                               .shard_lease_s = MV_SHARD_LEASE_S,
                               .idle_timeout_s = MV_IDLE_TIMEOUT_S,
                               .boot_timeout_factor = MV_BOOT_TIMEOUT_FACTOR,
                               .shards = 1,
                               .launch_gate = launch_gate};
    return settings;
}

static void tick(controller_fixture *fixture)
{
    mv_controller_tick(fixture->controller, fixture->now, WALL_CLOCK_START_S + fixture->now);
}

void fixture_create_machines(controller_fixture *fixture)
{
    fixture->running_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fixture->unanswered_commands = g_queue_new();
    for (unsigned i = 0; i < fixture->machines; i++)
        fixture->tasks[i] = g_array_new(FALSE, TRUE, sizeof(mv_reported_task));
}

void fixture_start(controller_fixture *fixture)
{
    fixture->settings = create_settings(fixture->launch_gate);
    fixture->controller = mv_controller_new(fixture->settings);
    fixture->now += 1;
    tick(fixture);
    mv_controller_session_renewed(fixture->controller, fixture->now, FIXTURE_INCARNATION,
                                  fixture->now);
    mv_controller_types_listed(fixture->controller, fixture->now, fixture_machine_types());
}

void fixture_own_fleet(controller_fixture *fixture)
{
    fixture_create_machines(fixture);
    fixture_start(fixture);
    fixture_grant_shard(fixture, 5);
    fixture_put_partition(fixture);
    mv_controller_cache_loaded(fixture->controller, fixture->now);
}

void fixture_free(controller_fixture *fixture)
{
    mv_controller_free(fixture->controller);
    mv_settings_free(fixture->settings);
    for (unsigned i = 0; i < fixture->machines; i++)
        g_array_unref(fixture->tasks[i]);
    g_hash_table_unref(fixture->running_tasks);
    g_queue_free_full(fixture->unanswered_commands, g_free);
}

/* --- actions --- */

static bool is_dead(const controller_fixture *fixture, const char *machine)
{
    char dead_machine[MV_NAME_SIZE];
    if (fixture->dead_machine == 0)
        return false;
    fixture_machine_id(fixture->dead_machine - 1, dead_machine, sizeof dead_machine);
    return strcmp(machine, dead_machine) == 0;
}

/* Returns the queue in which the test holds actions of this kind back, in order to look at each of
 * them; NULL if the fixture carries out actions of this kind at once. */
static GQueue *held_queue(const controller_fixture *fixture, mv_action_kind kind)
{
    switch (kind) {
    case MV_ACTION_COMMAND:
        return fixture->held_commands;
    case MV_ACTION_TRANSACTION:
        return fixture->held_transactions;
    default:
        return NULL;
    }
}

static void add_unanswered_command(controller_fixture *fixture, const mv_action *action)
{
    const unanswered_command unanswered = {
        .id = action->id, .times_out_at = fixture->now + action->timeout_ms / 1000.0};
    g_queue_push_tail(fixture->unanswered_commands, g_memdup2(&unanswered, sizeof unanswered));
}

static void answer_command(controller_fixture *fixture, const mv_action *action)
{
    mv_heartbeat heartbeat;
    const char *digits = action->machine + MACHINE_NAME_PREFIX_LENGTH;
    const unsigned index = (unsigned)g_ascii_strtoull(digits, NULL, 10);
    uint64_t *fencing_token = &fixture->fencing_tokens[index];
    *fencing_token = MAX(*fencing_token, action->fencing_token);
    fixture_execute_commands(fixture, index, action->commands);
    fixture_heartbeat(fixture, index, &heartbeat);
    fixture->commands++;
    mv_controller_command_completed(fixture->controller, fixture->now, action->id, 200, &heartbeat);
    mv_heartbeat_clear(&heartbeat);
}

/* Commits a transaction and executes a command. Does nothing for actions to the cloud and to peers,
 * so the controller gets no response to them. */
static void execute_action(controller_fixture *fixture, const mv_action *action)
{
    if (action->kind == MV_ACTION_TRANSACTION)
        mv_controller_transaction_completed(fixture->controller, fixture->now, action->id,
                                            MV_TRANSACTION_COMMITTED);
    else if (action->kind == MV_ACTION_COMMAND && is_dead(fixture, action->machine))
        add_unanswered_command(fixture, action);
    else if (action->kind == MV_ACTION_COMMAND)
        answer_command(fixture, action);
}

void fixture_run_actions(controller_fixture *fixture)
{
    mv_action *action;
    while ((action = mv_controller_next_action(fixture->controller))) {
        GQueue *held = held_queue(fixture, action->kind);
        if (held) {
            g_queue_push_tail(held, action);
            continue;
        }
        execute_action(fixture, action);
        mv_action_free(action);
    }
}

static void fail_timed_out_commands(controller_fixture *fixture)
{
    for (guint n = g_queue_get_length(fixture->unanswered_commands); n > 0; n--) {
        unanswered_command *unanswered = g_queue_pop_head(fixture->unanswered_commands);
        if (fixture->now < unanswered->times_out_at) {
            g_queue_push_tail(fixture->unanswered_commands, unanswered);
            continue;
        }
        mv_controller_command_completed(fixture->controller, fixture->now, unanswered->id, 0, NULL);
        g_free(unanswered);
    }
}

/* --- time --- */

void fixture_advance_idle(controller_fixture *fixture, double seconds)
{
    fixture->now += seconds;
    mv_controller_session_renewed(fixture->controller, fixture->now, FIXTURE_INCARNATION,
                                  fixture->now);
    mv_controller_watch_caught_up(fixture->controller, fixture->now, fixture->now);
}

/* Delivers a heartbeat of the machine to the controller. The machine executes the commands of the
 * response unless it has seen a higher fencing token, which a newer owner of its shard issued. */
static void send_heartbeat(controller_fixture *fixture, unsigned index)
{
    mv_heartbeat heartbeat;
    mv_heartbeat_response response;
    fixture_heartbeat(fixture, index, &heartbeat);
    mv_controller_heartbeat(fixture->controller, fixture->now, &heartbeat, &response);
    if (response.status == 200 && response.fencing_token >= fixture->fencing_tokens[index]) {
        fixture->fencing_tokens[index] = response.fencing_token;
        fixture_execute_commands(fixture, index, response.commands);
    }
    if (response.commands)
        g_array_unref(response.commands);
    mv_heartbeat_clear(&heartbeat);
    fixture_run_actions(fixture);
}

void fixture_advance(controller_fixture *fixture, double seconds)
{
    const double tick_s = fixture->tick_s > 0 ? fixture->tick_s : DEFAULT_TICK_S;
    const double heartbeats_per_tick = fixture->machines * tick_s / fixture->report_s;
    const double until = fixture->now + seconds - 1e-9;
    while (fixture->now < until) {
        fixture_advance_idle(fixture, tick_s);
        tick(fixture);
        fail_timed_out_commands(fixture);
        fixture_run_actions(fixture);
        fixture->heartbeats_due += heartbeats_per_tick;
        for (; fixture->heartbeats_due >= 1; fixture->heartbeats_due--) {
            const unsigned index = fixture->next_heartbeat++ % fixture->machines;
            if (fixture->dead_machine != index + 1)
                send_heartbeat(fixture, index);
        }
    }
}

unsigned fixture_heartbeat_once(controller_fixture *fixture, mv_command_kind kind, const char *job)
{
    mv_heartbeat heartbeat;
    mv_heartbeat_response response;
    unsigned count = 0;
    fixture_advance_idle(fixture, 1);
    fixture_heartbeat(fixture, 0, &heartbeat);
    mv_controller_heartbeat(fixture->controller, fixture->now, &heartbeat, &response);
    g_assert_cmpint(response.status, ==, 200);
    for (guint i = 0; i < response.commands->len; i++) {
        const mv_command *command = &g_array_index(response.commands, mv_command, i);
        count += command->kind == kind && strcmp(command->job_id, job) == 0;
    }
    fixture_execute_commands(fixture, 0, response.commands);
    g_array_unref(response.commands);
    mv_heartbeat_clear(&heartbeat);
    fixture_run_actions(fixture);
    return count;
}
