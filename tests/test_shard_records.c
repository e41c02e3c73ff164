/**
 * Shard records: the leader grants each shard to a suitable controller, and the records that assign
 * the teams to shards stay within the state store's limits.
 *
 * Rules of the protocol page: at most `txn_ops` writes in a transaction and `value_kb` KiB per
 * value.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define VALUE_BYTES_MAX 1024

/* --- owners --- */

static void commit_transaction(controller_fixture *fixture, const mv_action *action, gpointer data)
{
    (void)data;
    if (action->kind == MV_ACTION_TRANSACTION)
        fixture_apply_transaction(fixture, action);
}

/* Controller n1 tells the leader that n1 resigns as the owner of its shard. */
static void resign_as_owner(controller_fixture *fixture)
{
    mv_shard_demand *demand = fixture_offer_machine(5, 0);
    demand->resigning = true;
    g_array_set_size(demand->machines, 0);
    mv_controller_shard_demand(fixture->controller, fixture->now, demand);
}

static bool owns_any_shard(controller_fixture *fixture, const char *node)
{
    for (unsigned shard = 0; shard < 3; shard++)
        if (strcmp(fixture_shard_owner(fixture, shard), node) == 0)
            return true;
    return false;
}

/* A controller that reaches no machine resigns as the owner of its shard. For a while, the leader
 * grants the controller no other shard, although it owns the fewest. */
static void resigned_owner_gets_no_shard(void)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1};
    bool handed_on = false;
    start_controller(&fixture);
    fixture_lead(&fixture, 3);
    finish_loading(&fixture);

    for (int i = 0; i < 500; i++) {
        fixture_advance_idle(&fixture, MV_TICK_S);
        if (!handed_on)
            resign_as_owner(&fixture);
        tick_controller(&fixture);
        take_actions(&fixture, commit_transaction, NULL);
        handed_on = handed_on || strcmp(fixture_shard_owner(&fixture, 1), "n1") != 0;
        g_assert_false(handed_on && owns_any_shard(&fixture, "n1"));
    }

    g_assert_true(handed_on);
    fixture_free(&fixture);
}

/* --- many teams --- */

#define TEAMS 60
#define TEAM_SHARDS 3
#define TEAM_WRITES_MAX 8

/* A state store with the limits of the fixture's settings, and the controller's lease in it. */
typedef struct {
    fake_state_store *store;
    uint64_t lease;
} leased_store;

/* Commits a transaction to the state store and gives the written records to the controller's state
 * cache. */
static void commit_to_store(controller_fixture *fixture, const mv_action *action, gpointer data)
{
    const leased_store *state = data;
    if (action->kind != MV_ACTION_TRANSACTION)
        return;
    const guint before = state->store->log->len;
    const int status =
        fake_state_store_commit(state->store, action->preconditions, action->writes, state->lease);
    g_assert_cmpint(status, ==, 200);
    for (guint i = before; i < state->store->log->len; i++) {
        const fake_record *record = g_ptr_array_index(state->store->log, i);
        mv_controller_record_changed(fixture->controller, fixture->now, record->key, record->data,
                                     record->revision);
    }
    mv_controller_transaction_completed(fixture->controller, fixture->now, action->id,
                                        MV_TRANSACTION_COMMITTED);
}

/* Starts a controller with sixty teams and small limits while the state store is empty. */
static void start_with_many_teams(controller_fixture *fixture)
{
    start_controller(fixture);
    mv_controller_free(fixture->controller);
    g_free(fixture->settings->teams);
    fixture->settings->team_count = TEAMS;
    fixture->settings->teams = g_new0(mv_team_settings, TEAMS);
    for (unsigned i = 0; i < TEAMS; i++)
        g_snprintf(fixture->settings->teams[i].name, MV_NAME_SIZE, "coatings-lab-%02u", i);
    fixture->settings->value_kb = VALUE_BYTES_MAX / 1024.0;
    fixture->settings->transaction_writes = TEAM_WRITES_MAX;
    fixture->settings->operator_settings.shards = TEAM_SHARDS;
    fixture->controller = mv_controller_new(fixture->settings);
    mv_controller_types_listed(fixture->controller, fixture->now, fixture_machine_types());
    mv_controller_session_renewed(fixture->controller, fixture->now, 7, fixture->now);
    finish_loading(fixture);
}

/* With sixty teams and values of at most 1 KiB, no write of the first leader is too large, and
 * every team is assigned to a shard. */
static void many_teams_fit_into_shard_records(void)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1};
    leased_store state = {.store = fake_state_store_new()};
    state.store->value_bytes = VALUE_BYTES_MAX;
    state.store->max_writes = TEAM_WRITES_MAX;
    state.lease = fake_lease_open(state.store, 1e6, 0);
    start_with_many_teams(&fixture);

    for (int i = 0; i < 100; i++) {
        fixture.now += MV_TICK_S;
        mv_controller_session_renewed(fixture.controller, fixture.now, 7, fixture.now);
        tick_controller(&fixture);
        take_actions(&fixture, commit_to_store, &state);
        mv_controller_watch_caught_up(fixture.controller, fixture.now, fixture.now);
    }

    unsigned teams = 0;
    for (unsigned shard = 0; shard < inspect_shard_count(fixture.controller); shard++)
        teams += inspect_shard_team_count(fixture.controller, shard);
    g_assert_cmpuint(inspect_shard_count(fixture.controller), ==, TEAM_SHARDS);
    g_assert_cmpuint(teams, ==, TEAMS);
    fake_state_store_free(state.store);
    fixture_free(&fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/shard-records/many-teams", many_teams_fit_into_shard_records);
    g_test_add_func("/shard-records/resigned-owner", resigned_owner_gets_no_shard);
    return g_test_run();
}
