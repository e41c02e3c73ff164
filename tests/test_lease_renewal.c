/**
 * Tests that an answer which renews an agent's lease stops the tasks of ended jobs.
 *
 * An answer of 200 lets all tasks of the machine run on for lease_s. Rule of the protocol page:
 * "POST /v2/runs/{id}/abort" - within cancel_s all tasks of a cancelled job must be gone.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define JOB_ID "j-000001"
#define JOB_KEY KEY_JOB_PREFIX JOB_ID
#define SMALL_FLEET 4
#define LARGE_FLEET (MV_HEALTH_CHECK_MIN + 1) /* machines of a shard that counts as large */
#define TERM 5                                /* of the grant that fixture_own_fleet() records */
#define LOADING_S 6     /* by then all machines have reported with the current fencing token */
#define OWNER_CHANGES 9 /* owners that each answer one heartbeat of a machine and end */
#define OWNER_LIFE_S 7.0

/* Returns a fixture in which machine 0 runs tasks of the job. */
static controller_fixture *fixture_new(unsigned machines)
{
    controller_fixture *fixture = g_new0(controller_fixture, 1);
    fixture->machines = machines;
    fixture->report_s = 5;
    fixture_own_fleet(fixture);
    fixture_advance(fixture, LOADING_S);
    fixture_add_batch_job(fixture, 1, 1);
    fixture_advance(fixture, LOADING_S);
    g_assert_cmpuint(fixture_running_tasks(fixture, 0), >, 0);
    return fixture;
}

static void lease_fixture_free(controller_fixture *fixture)
{
    fixture_free(fixture);
    g_free(fixture);
}

/* Returns the commands of the controller's answer, which must be 200. The caller owns the commands.
 */
static GArray *answer(controller_fixture *fixture, const mv_heartbeat *heartbeat)
{
    mv_heartbeat_response response;
    mv_controller_heartbeat(fixture->controller, fixture->now, heartbeat, &response);
    g_assert_cmpint(response.status, ==, 200);
    return response.commands;
}

static GArray *answer_next_heartbeat(controller_fixture *fixture)
{
    mv_heartbeat heartbeat;
    fixture_heartbeat(fixture, 0, &heartbeat);
    GArray *commands = answer(fixture, &heartbeat);
    mv_heartbeat_clear(&heartbeat);
    return commands;
}

static unsigned count_stops(const GArray *commands)
{
    unsigned stops = 0;
    for (guint i = 0; i < commands->len; i++)
        stops += g_array_index(commands, mv_command, i).kind == MV_COMMAND_STOP;
    return stops;
}

/* Guards against an answer of a new owner that renews the lease of a cancelled task. */
static void answer_under_old_token_stops_cancelled_task(void)
{
    controller_fixture *fixture = fixture_new(LARGE_FLEET);
    const unsigned running = fixture_running_tasks(fixture, 0);
    fixture_grant_shard(fixture, TERM + 1);
    fixture_put_record(fixture, JOB_KEY, NULL);

    g_autoptr(GArray) commands = answer_next_heartbeat(fixture);

    g_assert_cmpuint(count_stops(commands), ==, running);
    lease_fixture_free(fixture);
}

/* Guards against a cancelled task that runs on because each owner of its shard ends before the
 * machine's second heartbeat. */
static void cancelled_task_ends_while_owners_change(void)
{
    controller_fixture *fixture = fixture_new(LARGE_FLEET);
    fixture_put_record(fixture, JOB_KEY, NULL);
    for (unsigned i = 1; i <= OWNER_CHANGES; i++) {
        fixture_grant_shard(fixture, TERM + i);
        g_autoptr(GArray) commands = answer_next_heartbeat(fixture);
        fixture_execute_commands(fixture, 0, commands);
        fixture->fencing_tokens[0] = TERM + i;
        fixture_advance_idle(fixture, OWNER_LIFE_S);
    }
    g_assert_cmpuint(fixture_running_tasks(fixture, 0), ==, 0);
    lease_fixture_free(fixture);
}

/* Guards against cancelled tasks that run on because a newer message of the machine overtakes each
 * of its heartbeats. */
static void answer_to_overtaken_heartbeat_stops_cancelled_task(void)
{
    controller_fixture *fixture = fixture_new(SMALL_FLEET);
    const unsigned running = fixture_running_tasks(fixture, 0);
    mv_heartbeat overtaken;
    fixture_heartbeat(fixture, 0, &overtaken);
    g_array_unref(answer_next_heartbeat(fixture));
    fixture_put_record(fixture, JOB_KEY, NULL);

    g_autoptr(GArray) commands = answer(fixture, &overtaken);

    g_assert_cmpuint(count_stops(commands), ==, running);
    mv_heartbeat_clear(&overtaken);
    lease_fixture_free(fixture);
}

/* Guards against a cancelled task that goes on saving a checkpoint that is of no use. */
static void saving_task_of_cancelled_job_is_stopped(void)
{
    controller_fixture *fixture = fixture_new(SMALL_FLEET);
    const unsigned running = fixture_running_tasks(fixture, 0);
    mv_controller_acknowledge_cancellation(fixture->controller, fixture->now, JOB_ID, 0, TERM);
    for (guint i = 0; i < fixture->tasks[0]->len; i++)
        g_array_index(fixture->tasks[0], mv_reported_task, i).phase = MV_TASK_SAVING;

    g_autoptr(GArray) commands = answer_next_heartbeat(fixture);

    g_assert_cmpuint(count_stops(commands), ==, running);
    lease_fixture_free(fixture);
}

/* Guards against an answer that renews the lease although the stops do not fit the answer. */
static void answer_without_all_stops_renews_no_lease(void)
{
    controller_fixture *fixture = fixture_new(SMALL_FLEET);
    mv_heartbeat heartbeat;
    mv_heartbeat_response response;
    fixture_heartbeat(fixture, 0, &heartbeat);
    heartbeat.task_count = MV_RESPONSE_COMMANDS_MAX + 1;
    g_free(heartbeat.tasks);
    heartbeat.tasks = g_new0(mv_reported_task, heartbeat.task_count);
    for (unsigned i = 0; i < heartbeat.task_count; i++) {
        heartbeat.tasks[i] = (mv_reported_task){.task = i, .phase = MV_TASK_RUNNING};
        g_strlcpy(heartbeat.tasks[i].job_id, "j-000009", sizeof heartbeat.tasks[i].job_id);
    }

    const GLogLevelFlags fatal = g_log_set_always_fatal(G_LOG_FATAL_MASK); /* one error is logged */
    mv_controller_heartbeat(fixture->controller, fixture->now, &heartbeat, &response);
    g_log_set_always_fatal(fatal);

    g_assert_cmpint(response.status, ==, 503);
    g_assert_cmpuint(read_counters(fixture).invariant_violations, ==, 1);
    g_array_unref(response.commands);
    mv_heartbeat_clear(&heartbeat);
    lease_fixture_free(fixture);
}

/* Without the check, the answers stop no task of a cancelled job. */
static void cancelled_check_is_needed(void)
{
    controller_fixture *fixture = fixture_new(SMALL_FLEET);
    mv_disabled_check = MV_CHECK_CANCELLED;
    fixture_grant_shard(fixture, TERM + 1);
    fixture_put_record(fixture, JOB_KEY, NULL);
    g_autoptr(GArray) commands = answer_next_heartbeat(fixture);
    g_assert_cmpuint(count_stops(commands), ==, 0);
    mv_disabled_check = MV_CHECK_NONE;
    lease_fixture_free(fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/lease-renewal/old-token", answer_under_old_token_stops_cancelled_task);
    g_test_add_func("/lease-renewal/owners-change", cancelled_task_ends_while_owners_change);
    g_test_add_func("/lease-renewal/overtaken-heartbeat",
                    answer_to_overtaken_heartbeat_stops_cancelled_task);
    g_test_add_func("/lease-renewal/saving", saving_task_of_cancelled_job_is_stopped);
    g_test_add_func("/lease-renewal/stops-do-not-fit", answer_without_all_stops_renews_no_lease);
    g_test_add_func("/lease-renewal/check-cancelled", cancelled_check_is_needed);
    return g_test_run();
}
