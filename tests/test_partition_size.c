/**
 * One controller with a partition of full size: the controller takes over fleets of 1,850 and 4,000
 * machines with thousands of tasks, starts a large job while small jobs keep arriving, and prevents
 * a late launch command from starting a task a second time. The tests count the work, not the time,
 * so a slow test machine does not change their result.
 *
 * Rules of the protocol page: `ran_twice` and `ran_cancelled`; "Delayed messages" - a command
 * without a response may be executed minutes later -; after `clear` an agent no longer knows the
 * attempt, so a repeated launch starts the attempt again; only a response to a heartbeat renews the
 * agent's lease.
 */
#include "controller_helpers.h"
#include "reference_scheduler.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

/* --- failover with a whole fleet --- */

#define USUAL_FLEET 1850
#define EXAMINED_PER_TASK_MAX 60 /* machines, in a fleet of the usual size */

/* Adds jobs with small tasks and jobs with large tasks, which together fill the fleet. */
static void add_jobs_of_fleet(controller_fixture *fixture)
{
    for (unsigned i = 0; i < JOBS; i++)
        fixture_add_batch_job(fixture, i, i % 3 ? 2 : 16);
}

static void run_jobs_on_fleet(controller_fixture *fixture)
{
    start_controller(fixture);
    fixture_grant_shard(fixture, 5);
    fixture_put_partition(fixture);
    add_jobs_of_fleet(fixture);
    finish_loading(fixture);
    fixture_advance(fixture, 20);
    g_assert_cmpuint(fixture->launches, ==, JOBS * TASKS);
}

/* Checks that each scheduling round examines the machines for all tasks together. If the scheduler
 * placed the tasks one by one, it would examine all machines for each task. */
static void assert_machines_examined(const controller_fixture *fixture, unsigned per_task_max)
{
    const mv_controller_counters counters = read_counters(fixture);
    g_test_message("%" G_GUINT64_FORMAT " machines examined for %u tasks",
                   counters.machines_examined, fixture->launches);
    g_assert_cmpuint(counters.machines_examined, <, per_task_max * fixture->launches);
    g_assert_cmpuint(reference_mismatches(), ==, 0);
}

/* The shard's owner stops, and a new process with the same node name takes over under a new term.
 */
static void fail_over(controller_fixture *fixture)
{
    mv_controller_free(fixture->controller);
    mv_settings_free(fixture->settings);
    fixture_start(fixture);
    /* The partition's revision is below the grant's, as in a list of all records. */
    fixture_put_partition(fixture);
    add_jobs_of_fleet(fixture);
    fixture_grant_shard(fixture, 6);
    finish_loading(fixture);
}

static void assert_failover_starts_nothing_twice(unsigned machines, unsigned examined_per_task_max)
{
    controller_fixture fixture = {.machines = machines, .report_s = 5};
    run_jobs_on_fleet(&fixture);
    assert_machines_examined(&fixture, examined_per_task_max);

    fail_over(&fixture);
    const unsigned commands_before = fixture.commands;
    fixture_advance(&fixture, 12);

    g_assert_cmpuint(fixture.launches, ==, JOBS * TASKS);
    g_assert_cmpuint(read_counters(&fixture).tasks_running, ==, JOBS * TASKS);
    g_assert_cmpuint(fixture.commands - commands_before, <, 2 * machines);
    fixture_free(&fixture);
}

static void failover_with_usual_fleet(void)
{
    assert_failover_starts_nothing_twice(USUAL_FLEET, EXAMINED_PER_TASK_MAX);
}

/* In the largest fleet in use, the number of machines examined per task grows no faster than the
 * fleet. */
static void failover_with_largest_fleet(void)
{
    assert_failover_starts_nothing_twice(MACHINES, EXAMINED_PER_TASK_MAX * MACHINES / USUAL_FLEET);
}

/* --- a large job amid small ones --- */

#define LARGE_JOB 900000
#define LARGE_JOB_WAIT_MAX_S 240

/* More small jobs are always pending than the fleet can run. Returns the seconds until the first
 * task of a large job starts, which needs a whole machine of the usual type; 0: the task does not
 * start within 400 s. */
static double wait_of_large_job_s(void)
{
    controller_fixture fixture = {
        .machines = 4, .report_s = 0.5, .run_s = 20, .watched = "j-900000"};
    unsigned next = 0;
    fixture_own_fleet(&fixture);
    for (; next < 12; next++)
        fixture_add_batch_job(&fixture, next, 2);
    fixture_advance(&fixture, 5);

    const double submitted_at = fixture.now;
    fixture_add_batch_job(&fixture, LARGE_JOB, 32);
    while (fixture.now < submitted_at + 400 && fixture.first_start == 0) {
        for (int k = 0; k < 2; k++)
            fixture_add_batch_job(&fixture, next++, 2);
        fixture_advance(&fixture, 5);
    }

    const double wait_s = fixture.first_start > 0 ? fixture.first_start - submitted_at : 0;
    fixture_free(&fixture);
    return wait_s;
}

static void large_job_starts_amid_small_ones(void)
{
    const double wait_s = wait_of_large_job_s();
    g_test_message("the large job started after %.0f s", wait_s);
    g_assert_cmpfloat(wait_s, >, 0);
    g_assert_cmpfloat(wait_s, <, LARGE_JOB_WAIT_MAX_S);
}

static void large_job_starves_without_check(void)
{
    mv_disabled_check = MV_CHECK_STARVATION;
    const double wait_s = wait_of_large_job_s();
    mv_disabled_check = MV_CHECK_NONE;
    g_assert_true(wait_s == 0 || wait_s > LARGE_JOB_WAIT_MAX_S);
}

/* --- late launches --- */

#define FIRST_JOB "j-000001"
#define SECOND_JOB "j-000002"

/* Returns the command that launches the first job's tasks on the only machine and that is still in
 * flight; the caller owns the command. */
static mv_action *hold_first_launch(controller_fixture *fixture)
{
    fixture_own_fleet(fixture);
    fixture_advance(fixture, 3);
    fixture->held_commands = g_queue_new();
    fixture_add_batch_job(fixture, 1, 0.1);
    fixture_advance(fixture, 0.5);
    mv_action *command = g_queue_pop_head(fixture->held_commands);
    g_assert_true(command && count_launches(command, FIRST_JOB) > 0);
    return command;
}

/* The agent answers a command with `status`. The caller decides whether the agent has executed the
 * command. */
static void answer_command(controller_fixture *fixture, const mv_action *command,
                           const mv_heartbeat *status)
{
    mv_controller_command_completed(fixture->controller, fixture->now, command->id, 200, status);
    fixture_run_actions(fixture);
}

/* The agent executes and answers all commands that are in flight. */
static void answer_held_commands(controller_fixture *fixture)
{
    mv_action *command;
    while ((command = g_queue_pop_head(fixture->held_commands))) {
        mv_heartbeat status;
        fixture_execute_commands(fixture, 0, command->commands);
        fixture_heartbeat(fixture, 0, &status);
        answer_command(fixture, command, &status);
        mv_heartbeat_clear(&status);
        mv_action_free(command);
    }
}

/* The controller launches the second job in the response to a heartbeat and sends the same launch
 * again in a command that stays in flight. Returns that command; the caller owns it. */
static mv_action *launch_second_job_twice(controller_fixture *fixture)
{
    mv_heartbeat status;
    mv_action *first = hold_first_launch(fixture);
    /* The agent executes the command, and the agent's next heartbeat overtakes the answer. */
    fixture_execute_commands(fixture, 0, first->commands);
    fixture_heartbeat(fixture, 0, &status);
    fixture_add_batch_job(fixture, 2, 0.1);
    g_assert_cmpuint(fixture_heartbeat_once(fixture, MV_COMMAND_LAUNCH, SECOND_JOB), >, 0);
    answer_command(fixture, first, &status);
    mv_heartbeat_clear(&status);
    mv_action_free(first);
    mv_action *copy = g_queue_pop_head(fixture->held_commands);
    g_assert_true(copy && count_launches(copy, SECOND_JOB) > 0);
    return copy;
}

/* Makes all tasks of the job on the only machine exit with an error. */
static void fail_tasks_of(controller_fixture *fixture, const char *job_id)
{
    for (guint i = 0; i < fixture->tasks[0]->len; i++) {
        mv_reported_task *task = &g_array_index(fixture->tasks[0], mv_reported_task, i);
        if (strcmp(task->job_id, job_id) != 0)
            continue;
        task->phase = MV_TASK_EXITED;
        task->exit_reason = MV_EXIT_ERROR;
    }
}

/* The controller launches a task in the response to a heartbeat, and a copy of the launch is in
 * flight in a command for a long time. The task starts, fails and is placed again. If the
 * controller cleared the failed attempt before the command is answered, the copy would start the
 * attempt again. Returns 1 if the controller cleared the attempt before the answer, otherwise 0. */
static unsigned attempts_cleared_early(void)
{
    controller_fixture fixture = {.machines = 1, .report_s = 1};
    mv_heartbeat status;
    mv_action *copy = launch_second_job_twice(&fixture);
    /* This heartbeat reports the tasks as running. */
    fixture_heartbeat_once(&fixture, MV_COMMAND_CLEAR, SECOND_JOB);

    fail_tasks_of(&fixture, SECOND_JOB);
    const bool cleared_early = fixture_heartbeat_once(&fixture, MV_COMMAND_CLEAR, SECOND_JOB) > 0;

    fixture_heartbeat(&fixture, 0, &status);
    answer_command(&fixture, copy, &status);
    mv_heartbeat_clear(&status);
    mv_action_free(copy);
    answer_held_commands(&fixture);
    g_assert_true(cleared_early ||
                  fixture_heartbeat_once(&fixture, MV_COMMAND_CLEAR, SECOND_JOB) > 0);
    free_held_actions(&fixture.held_commands);
    fixture_free(&fixture);
    return cleared_early;
}

static void attempt_in_flight_is_not_cleared(void)
{
    g_assert_cmpuint(attempts_cleared_early(), ==, 0);
    g_assert_cmpuint(measure_without(MV_CHECK_LAUNCH_FENCE, attempts_cleared_early), ==, 1);
}

/* Puts a partition record in which the leader has raised the only machine's term. */
static void fence_machine(controller_fixture *fixture)
{
    mv_partition_member member = {
        .type_name = "big", .zone_name = "z", .spot = true, .rented_at_wall = 1e6, .term = 6};
    fixture_machine_id(0, member.id, sizeof member.id);
    g_autoptr(GArray) members = g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
    g_array_append_val(members, member);
    fixture_put_record(fixture, KEY_PARTITION_PREFIX "0/0", mv_partition_pack(members));
}

/* Sends a heartbeat of the only machine, which executes no command. Returns whether the controller
 * answered with status 200. */
static bool heartbeat_is_answered(controller_fixture *fixture)
{
    mv_heartbeat heartbeat;
    mv_heartbeat_response response;
    fixture_advance_idle(fixture, 1);
    fixture_heartbeat(fixture, 0, &heartbeat);
    mv_controller_heartbeat(fixture->controller, fixture->now, &heartbeat, &response);
    const bool answered = response.status == 200;
    if (answered)
        fixture->fencing_tokens[0] = response.fencing_token;
    if (response.commands)
        g_array_unref(response.commands);
    mv_heartbeat_clear(&heartbeat);
    return answered;
}

#define FENCED_AFTER_S 30

/* A job is cancelled while a launch of its tasks is still in flight and the machine keeps sending
 * heartbeats. If the controller answered the heartbeats, the agent's lease would hold, and the
 * launch could start a task at any later time. Returns how many heartbeats the controller answered
 * after the grace period that follows the cancellation and before the machine was fenced. Under the
 * higher fencing token, the controller has to answer heartbeats again. */
static unsigned heartbeats_answered_before_fencing(void)
{
    controller_fixture fixture = {.machines = 1, .report_s = 1};
    unsigned answered_count = 0;
    mv_action *launch = hold_first_launch(&fixture);
    /* The command gets no answer, so the agent may still receive it later. */
    mv_controller_command_completed(fixture.controller, fixture.now, launch->id, 0, NULL);
    fixture_put_record(&fixture, KEY_JOB_PREFIX FIRST_JOB, NULL);

    for (int second = 0; second < FENCED_AFTER_S + 10; second++) {
        if (second == FENCED_AFTER_S)
            fence_machine(&fixture);
        const bool fenced = second >= FENCED_AFTER_S;
        const bool answered = heartbeat_is_answered(&fixture);
        answered_count += answered && !fenced && second > MV_CANCELLED_LAUNCH_GRACE_S;
        g_assert_true(answered || !fenced);
    }

    mv_action_free(launch);
    free_held_actions(&fixture.held_commands);
    fixture_free(&fixture);
    return answered_count;
}

static void lease_ends_where_cancelled_task_may_start(void)
{
    g_assert_cmpuint(heartbeats_answered_before_fencing(), ==, 0);
    g_assert_cmpuint(measure_without(MV_CHECK_LATE_LAUNCH, heartbeats_answered_before_fencing), >,
                     0);
}

/* --- outages and quiet times --- */

/* The state store is down for longer than the shard's lease, and the controller stands still too:
 * it has no session, no state watch and no tick. Afterwards the controller ticks until its own
 * ticks no longer count as late. */
static void pass_outage(controller_fixture *fixture)
{
    fixture->now += 80;
    tick_controller(fixture);
    g_assert_false(inspect_shard_owned(fixture->controller, 0));
    pass_ticks_only(fixture, 120);
    fixture_advance_idle(fixture, MV_TICK_S);
}

/* The state store fails and recovers. Returns how many machines with tasks the controller counts as
 * failed because their heartbeats were rejected in the meantime, summed over the ticks of the next
 * second. */
static unsigned machines_failed_after_outage(void)
{
    controller_fixture fixture = {.machines = 60, .report_s = 5};
    unsigned failed = 0;
    fixture_own_fleet(&fixture);
    for (unsigned i = 0; i < 4; i++)
        fixture_add_batch_job(&fixture, i, 2);
    fixture_advance(&fixture, 12);
    g_assert_true(inspect_shard_owned(fixture.controller, 0));

    pass_outage(&fixture);
    for (int i = 0; i < 10; i++) {
        pass_ticks_only(&fixture, 1);
        failed += count_machines(fixture.controller, MACHINE_FAILED);
    }

    g_assert_true(inspect_shard_owned(fixture.controller, 0));
    fixture_free(&fixture);
    return failed;
}

static void outage_is_no_heartbeat_timeout(void)
{
    g_assert_cmpuint(machines_failed_after_outage(), ==, 0);
    g_assert_cmpuint(measure_without(MV_CHECK_LISTENING, machines_failed_after_outage), >, 0);
}

/* Launches on the only machine are paused, and no other event triggers a scheduling round. The
 * controller has to start a round when the pause ends. */
static void round_follows_when_launch_pause_ends(void)
{
    controller_fixture fixture = {.machines = 1, .report_s = 1};
    fixture_own_fleet(&fixture);
    fixture_advance(&fixture, 5);
    pause_launches(fixture.controller, "vm-000000", fixture.now + 3);

    fixture_add_batch_job(&fixture, 1, 0.1);
    fixture_advance(&fixture, 2);
    g_assert_cmpuint(fixture.launches, ==, 0);
    fixture_advance(&fixture, 3);

    g_assert_cmpuint(fixture.launches, ==, TASKS);
    fixture_free(&fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/partition-size/failover", failover_with_usual_fleet);
    g_test_add_func("/partition-size/failover-largest", failover_with_largest_fleet);
    g_test_add_func("/partition-size/large-job-starts", large_job_starts_amid_small_ones);
    g_test_add_func("/partition-size/check-starvation", large_job_starves_without_check);
    g_test_add_func("/partition-size/attempt-in-flight", attempt_in_flight_is_not_cleared);
    g_test_add_func("/partition-size/cancelled-launch-in-flight",
                    lease_ends_where_cancelled_task_may_start);
    g_test_add_func("/partition-size/outage-is-no-heartbeat-timeout",
                    outage_is_no_heartbeat_timeout);
    g_test_add_func("/partition-size/round-after-launch-pause",
                    round_follows_when_launch_pause_ends);
    return g_test_run();
}
