/**
 * Tests that an agent forgets an attempt only under a higher fencing token than that of the direct
 * commands that launched the attempt, and how the owner gets such tokens.
 *
 * Rule of the protocol page: "ran_twice". A copy of a direct command may arrive minutes after its
 * answer, and after a clear the agent would start the attempt again.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define JOB_ID "j-000001"
#define TERM 5      /* of the grant that fixture_own_fleet() records */
#define LOADING_S 6 /* by then the machine has reported, and the tokens are reserved */

/* A fixture whose only machine runs tasks of the job that a direct command launched. */
static controller_fixture *fixture_new(void)
{
    controller_fixture *fixture = g_new0(controller_fixture, 1);
    fixture->machines = 1;
    fixture->report_s = 1;
    fixture_own_fleet(fixture);
    fixture_advance(fixture, LOADING_S);
    fixture_add_batch_job(fixture, 1, 1);
    fixture_advance(fixture, LOADING_S);
    g_assert_cmpuint(fixture_running_tasks(fixture, 0), >, 0);
    return fixture;
}

static void fence_fixture_free(controller_fixture *fixture)
{
    fixture_free(fixture);
    g_free(fixture);
}

static void fail_all_tasks(controller_fixture *fixture)
{
    for (guint i = 0; i < fixture->tasks[0]->len; i++) {
        mv_reported_task *task = &g_array_index(fixture->tasks[0], mv_reported_task, i);
        task->phase = MV_TASK_EXITED;
        task->exit_reason = MV_EXIT_ERROR;
    }
    g_hash_table_remove_all(fixture->running_tasks);
}

/* Sends one heartbeat, whose answer the machine does not get. The caller unrefs the commands of the
 * answer. */
static mv_heartbeat_response answer_next_heartbeat(controller_fixture *fixture)
{
    mv_heartbeat heartbeat;
    mv_heartbeat_response response;
    fixture_advance_idle(fixture, 1);
    fixture_heartbeat(fixture, 0, &heartbeat);
    mv_controller_heartbeat(fixture->controller, fixture->now, &heartbeat, &response);
    mv_heartbeat_clear(&heartbeat);
    g_assert_cmpint(response.status, ==, 200);
    return response;
}

static unsigned count_commands(const GArray *commands, mv_command_kind kind)
{
    unsigned count = 0;
    for (guint i = 0; i < commands->len; i++)
        count += g_array_index(commands, mv_command, i).kind == kind;
    return count;
}

/* Guards against a clear under the token of the launch. */
static void clear_carries_higher_token_than_launch(void)
{
    controller_fixture *fixture = fixture_new();
    const uint64_t launch_token = fixture->fencing_tokens[0];
    fail_all_tasks(fixture);

    const mv_heartbeat_response response = answer_next_heartbeat(fixture);

    g_assert_cmpuint(count_commands(response.commands, MV_COMMAND_CLEAR), >, 0);
    g_assert_cmpuint(response.fencing_token, >, launch_token);
    g_assert_cmpuint(read_counters(fixture).invariant_violations, ==, 0);
    g_array_unref(response.commands);
    fence_fixture_free(fixture);
}

/* --- reservations --- */

typedef struct {
    unsigned reservations;
    uint64_t id, shard_revision;
} reservation_observation;

static void observe_reservation(controller_fixture *fixture, const mv_action *action, gpointer data)
{
    reservation_observation *observed = data;
    (void)fixture;
    if (count_writes(action, KEY_TERM) == 0 || count_writes_below(action, KEY_LEADER) > 0)
        return;
    observed->reservations++;
    observed->id = action->id;
    observed->shard_revision = fixture_precondition_revision(action, KEY_SHARD_PREFIX "0");
    g_assert_cmpuint(fixture_precondition_revision(action, KEY_TERM), >, 0);
}

/* Returns a fixture whose reservation of tokens is in flight, and whose machine runs tasks. */
static controller_fixture *fixture_without_tokens(reservation_observation *observed)
{
    controller_fixture *fixture = g_new0(controller_fixture, 1);
    fixture->machines = 1;
    fixture->report_s = 1;
    fixture->held_transactions = g_queue_new();
    fixture_own_fleet(fixture);
    fixture_advance(fixture, LOADING_S);
    fixture_add_batch_job(fixture, 1, 1);
    fixture_advance(fixture, LOADING_S);
    g_assert_cmpuint(fixture_running_tasks(fixture, 0), >, 0);
    mv_action *action;
    while ((action = g_queue_pop_head(fixture->held_transactions))) {
        observe_reservation(fixture, action, observed);
        mv_action_free(action);
    }
    return fixture;
}

static void free_without_tokens(controller_fixture *fixture)
{
    g_queue_free_full(fixture->held_transactions, (GDestroyNotify)mv_action_free);
    fence_fixture_free(fixture);
}

/* Sends a heartbeat with failed tasks. Returns the number of clears in the answer. */
static unsigned count_clears(controller_fixture *fixture)
{
    fail_all_tasks(fixture);
    const mv_heartbeat_response response = answer_next_heartbeat(fixture);
    const unsigned clears = count_commands(response.commands, MV_COMMAND_CLEAR);
    g_array_unref(response.commands);
    return clears;
}

/* Without tokens of its own, the owner clears nothing. The reservation is conditional on the grant
 * and on the counter. */
static void nothing_is_cleared_before_tokens_are_reserved(void)
{
    reservation_observation observed = {0};
    controller_fixture *fixture = fixture_without_tokens(&observed);
    g_assert_cmpuint(observed.reservations, ==, 1);
    g_assert_cmpuint(observed.shard_revision, >, 0);

    g_assert_cmpuint(count_clears(fixture), ==, 0);
    mv_controller_transaction_completed(fixture->controller, fixture->now, observed.id,
                                        MV_TRANSACTION_COMMITTED);
    g_assert_cmpuint(count_clears(fixture), >, 0);
    free_without_tokens(fixture);
}

static unsigned clears_without_tokens(void)
{
    reservation_observation observed = {0};
    controller_fixture *fixture = fixture_without_tokens(&observed);
    const unsigned clears = count_clears(fixture);
    free_without_tokens(fixture);
    return clears;
}

static void launch_fence_check_is_needed(void)
{
    g_assert_cmpuint(clears_without_tokens(), ==, 0);
    g_assert_cmpuint(measure_without(MV_CHECK_LAUNCH_FENCE, clears_without_tokens), >, 0);
}

/* Guards against the use of tokens that were reserved under an earlier grant. */
static void late_reservation_of_earlier_grant_is_ignored(void)
{
    reservation_observation observed = {0};
    controller_fixture *fixture = fixture_without_tokens(&observed);
    fixture_grant_shard(fixture, TERM + 1);
    mv_controller_transaction_completed(fixture->controller, fixture->now, observed.id,
                                        MV_TRANSACTION_COMMITTED);
    fixture->fencing_tokens[0] = TERM + 1;

    const mv_heartbeat_response response = answer_next_heartbeat(fixture);

    g_assert_cmpuint(response.fencing_token, ==, TERM + 1);
    g_array_unref(response.commands);
    free_without_tokens(fixture);
}

/* --- a machine that lost its tasks --- */

/* A machine comes back within a second, in the same agent epoch, without its running tasks. Guards
 * against a second placement while copies of their launches would still be executed. */
static void lost_task_is_placed_again_only_when_fenced(void)
{
    controller_fixture *fixture = fixture_new();
    const uint64_t launch_token = fixture->fencing_tokens[0];
    g_array_set_size(fixture->tasks[0], 0);
    g_hash_table_remove_all(fixture->running_tasks);

    const mv_heartbeat_response first = answer_next_heartbeat(fixture);
    g_assert_cmpuint(count_commands(first.commands, MV_COMMAND_LAUNCH), ==, 0);
    g_assert_cmpuint(first.fencing_token, >, launch_token);
    g_array_unref(first.commands);
    fixture_run_actions(fixture);
    g_assert_cmpuint(fixture_running_tasks(fixture, 0), ==, 0);

    fixture->fencing_tokens[0] = first.fencing_token;
    fixture_advance(fixture, LOADING_S);
    g_assert_cmpuint(fixture_running_tasks(fixture, 0), >, 0);
    fence_fixture_free(fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/launch-fence/clear-carries-higher-token",
                    clear_carries_higher_token_than_launch);
    g_test_add_func("/launch-fence/nothing-cleared-before-reservation",
                    nothing_is_cleared_before_tokens_are_reserved);
    g_test_add_func("/launch-fence/late-reservation", late_reservation_of_earlier_grant_is_ignored);
    g_test_add_func("/launch-fence/lost-task", lost_task_is_placed_again_only_when_fenced);
    g_test_add_func("/launch-fence/check-launch-fence", launch_fence_check_is_needed);
    return g_test_run();
}
