/**
 * Overload: one controller gets more work than its processor, its queue of transactions or a single
 * shard can carry. The failures occurred in trials with 4,000 machines. The tests count messages
 * and records, not time, so a slow test machine does not change their result.
 *
 * Rules of the protocol page: "Limits and errors" of the state service, a transaction without a
 * response "may yet be executed later", and the cloud's machine list lags behind the fleet.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define JOB_ID "j-000001"
#define NODE_KEY KEY_NODE_PREFIX "n0"
#define FINAL_KEY KEY_FINAL_PREFIX JOB_ID

/* --- direct commands --- */

static void add_launches_of(gpointer action, gpointer count)
{
    *(unsigned *)count += count_launches(action, NULL);
}

/* Checks that the command window is back at its maximum after the time that its additive increase
 * needs, once the controller's ticks are on time again. */
static void assert_command_window_recovers(controller_fixture *fixture)
{
    const double recovery_s =
        MV_COMMANDS_IN_FLIGHT_MAX / MV_COMMAND_WINDOW_INCREASE * MV_TICK_S + 1;
    fixture->tick_s = 0;
    fixture_advance(fixture, recovery_s);
    g_assert_cmpfloat(inspect_command_window(fixture->controller), ==, MV_COMMANDS_IN_FLIGHT_MAX);
}

/* Returns the number of commands that a controller with late ticks has in flight while no agent
 * answers a command. The controller has tasks for every machine; tasks that no command launches are
 * launched by the responses to heartbeats. */
static unsigned commands_in_flight_when_late(void)
{
    controller_fixture fixture = {
        .machines = 400, .report_s = 5, .tick_s = 2 * MV_TICK_OVERLOADED_S};
    fixture_own_fleet(&fixture);
    fixture_advance(&fixture, 10); /* the agents answer the first probes; the window adapts */
    fixture.held_commands = g_queue_new();

    for (unsigned i = 0; i < JOBS; i++)
        fixture_add_batch_job(&fixture, i, 2);
    fixture_advance(&fixture, 3 * fixture.report_s);

    const unsigned in_flight = g_queue_get_length(fixture.held_commands);
    unsigned held_launches = 0;
    g_queue_foreach(fixture.held_commands, add_launches_of, &held_launches);
    g_assert_cmpuint(fixture.launches + held_launches, ==, JOBS * TASKS);
    assert_command_window_recovers(&fixture);
    free_held_actions(&fixture.held_commands);
    fixture_free(&fixture);
    return in_flight;
}

static void late_controller_sends_fewer_commands(void)
{
    g_assert_cmpuint(commands_in_flight_when_late(), <=, MV_COMMAND_WINDOW_MIN);
    g_assert_cmpuint(measure_without(MV_CHECK_COMMAND_WINDOW, commands_in_flight_when_late), >,
                     MV_COMMAND_WINDOW_MIN);
}

/* --- transactions --- */

static unsigned count_queued_writes(const GQueue *transactions, const char *key)
{
    unsigned count = 0;
    for (const GList *link = transactions->head; link; link = link->next)
        count += count_writes(link->data, key);
    return count;
}

/* Reports the result "unknown" to the controller for every transaction that the fixture holds. */
static void answer_held_transactions(controller_fixture *fixture)
{
    mv_action *action;
    while ((action = g_queue_pop_head(fixture->held_transactions))) {
        mv_controller_transaction_completed(fixture->controller, fixture->now, action->id,
                                            MV_TRANSACTION_UNKNOWN);
        mv_action_free(action);
    }
}

/* A job finishes while transactions wait in the controller's queue for half a minute. Returns how
 * often the controller queued a write of the job's final record or of its own node record,
 * whichever is more. */
static unsigned transactions_made_while_queued(void)
{
    controller_fixture fixture = {.machines = 4, .report_s = 1, .run_s = 2};
    fixture_own_fleet(&fixture);
    fixture_add_batch_job(&fixture, 1, 0.1);
    fixture_advance(&fixture, 0.5);
    fixture.held_transactions = g_queue_new();

    fixture_put_record(&fixture, NODE_KEY, NULL); /* as after the controller's session expired */
    fixture_advance(&fixture, 30);

    g_assert_cmpuint(fixture.launches, ==, TASKS);
    const unsigned final_records = count_queued_writes(fixture.held_transactions, FINAL_KEY);
    const unsigned node_records = count_queued_writes(fixture.held_transactions, NODE_KEY);
    g_assert_cmpuint(final_records, >=, 1);
    g_assert_cmpuint(node_records, >=, 1);
    /* After the result "unknown", the controller queues a write again if the state cache does not
     * show its record. */
    answer_held_transactions(&fixture);
    fixture_advance(&fixture, 1);
    g_assert_cmpuint(count_queued_writes(fixture.held_transactions, FINAL_KEY), ==, 1);
    g_assert_cmpuint(count_queued_writes(fixture.held_transactions, NODE_KEY), ==, 1);
    free_held_actions(&fixture.held_transactions);
    fixture_free(&fixture);
    return MAX(final_records, node_records);
}

static void transactions_are_queued_once(void)
{
    g_assert_cmpuint(transactions_made_while_queued(), ==, 1);
    g_assert_cmpuint(measure_without(MV_CHECK_QUEUED, transactions_made_while_queued), >, 1);
}

/* --- the first shards --- */

/* The first leader's open request for the machine list, and the number of shards it created. */
typedef struct {
    uint64_t list_id; /* of the unanswered request for the machine list; 0: none */
    unsigned shards_made;
} first_decisions;

static void read_first_decisions(controller_fixture *fixture, const mv_action *action,
                                 gpointer data)
{
    (void)fixture;
    first_decisions *decisions = data;
    if (action->kind == MV_ACTION_LIST_MACHINES)
        decisions->list_id = action->id;
    decisions->shards_made += count_writes_below(action, KEY_SHARD_PREFIX);
}

/* The cloud answers the request `id` with a list of `machines` machines, each one second old. */
static void answer_machine_list(controller_fixture *fixture, uint64_t id, unsigned machines)
{
    g_autoptr(GArray) list = g_array_new(FALSE, TRUE, sizeof(mv_listed_machine));
    for (unsigned i = 0; i < machines; i++) {
        mv_listed_machine machine = {.age_s = 1};
        fixture_machine_id(i, machine.id, sizeof machine.id);
        g_array_append_val(list, machine);
    }
    mv_controller_machines_listed(fixture->controller, fixture->now, id, list, false);
}

/* Makes the controller the leader of term 1 in a new deployment. The operators' settings set no
 * number of shards, and no team has guaranteed cores that show the size of the fleet, so the leader
 * derives the number of shards from the cloud's machine list. */
static void become_first_leader(controller_fixture *fixture)
{
    mv_lease_holder leader = {.node = "n0", .incarnation = 7, .term = 1};
    start_controller(fixture);
    fixture->settings->operator_settings.shards = 0;
    fixture_put_shard(fixture, NODE_KEY, "n0", 7, 0);
    fixture_put_record(fixture, KEY_TERM, mv_counter_pack(1));
    fixture_put_record(fixture, KEY_LEADER, mv_lease_holder_pack(&leader));
    finish_loading(fixture);
}

/* Returns the number of shards that the first leader creates within `seconds`. The cloud answers
 * after one second with a list of `machines` machines; 0: the cloud never answers. */
static unsigned shards_made_within(unsigned machines, double seconds)
{
    controller_fixture fixture = {.machines = 1, .report_s = 1, .now = 100};
    first_decisions decisions = {0};
    become_first_leader(&fixture);

    for (const double began = fixture.now; fixture.now < began + seconds;) {
        fixture_advance_idle(&fixture, MV_TICK_S);
        tick_controller(&fixture);
        take_actions(&fixture, read_first_decisions, &decisions);
        const bool cloud_answers = machines > 0 && fixture.now >= began + 1;
        if (!cloud_answers || decisions.list_id == 0)
            continue;
        answer_machine_list(&fixture, decisions.list_id, machines);
        decisions.list_id = 0;
    }

    fixture_free(&fixture);
    return decisions.shards_made;
}

static unsigned shards_made_before_list(void)
{
    return shards_made_within(MV_SHARD_PER_CONTROLLER_MACHINES, 0.9);
}

static void first_shards_await_machine_list(void)
{
    g_assert_cmpuint(shards_made_before_list(), ==, 0);
    g_assert_cmpuint(shards_made_within(MV_SHARD_PER_CONTROLLER_MACHINES, 2), ==, 3);
    g_assert_cmpuint(shards_made_within(MV_SHARD_PER_CONTROLLER_MACHINES - 1, 2), ==, 1);
    g_assert_cmpuint(shards_made_within(0, MV_FIRST_LIST_TIMEOUT_S - 0.5), ==, 0);
    g_assert_cmpuint(shards_made_within(0, MV_FIRST_LIST_TIMEOUT_S + 1), ==, 1);
    g_assert_cmpuint(measure_without(MV_CHECK_FIRST_LIST, shards_made_before_list), ==, 1);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/overload/fewer-commands", late_controller_sends_fewer_commands);
    g_test_add_func("/overload/transactions-queued-once", transactions_are_queued_once);
    g_test_add_func("/overload/first-shards-await-list", first_shards_await_machine_list);
    return g_test_run();
}
