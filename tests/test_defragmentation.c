/**
 * Tests defragmentation. A controller drains machines that the present work does not need, returns
 * them to the cloud when no more jobs arrive, and places work on them again when a job arrives.
 *
 * Rules of the protocol page: a machine is charged by the second until it is gone; `ran_twice`: a
 * task that moves starts on its new machine only after it has left the old machine. The fixture
 * asserts `ran_twice` at every launch.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define QUIET_S 40.0 /* without new jobs; longer than the fixture's machines take to boot */
#define TASK_CORES 8
#define FLEET 8        /* machines; two have 64 cores, the others 32 */
#define FLEET_TASKS 40 /* tasks of TASK_CORES that fill the fleet's 320 cores */
#define CHECKPOINT_COST_S 5

/* Adds a job whose tasks use TASK_CORES cores each. With an interval of 0 s the job saves no
 * checkpoints. */
static void add_job(controller_fixture *fixture, const char *id, unsigned tasks,
                    double checkpoint_interval_s)
{
    mv_job_spec spec = {.priority = MV_PRIORITY_STANDARD,
                        .tasks = tasks,
                        .cores = TASK_CORES,
                        .ram_gb = 8,
                        .image_gb = 1,
                        .spot = true,
                        .estimated_runtime_s = 600,
                        .checkpoint_interval_s = checkpoint_interval_s,
                        .checkpoint_cost_s = CHECKPOINT_COST_S};
    fixture_put_job(fixture, spec, id, "refit", "img-1");
}

/* Makes the controller the owner of the fleet. The controller returns none of the machines, because
 * the operator settings allow it to keep all of them idle. */
static void hold_fleet_without_release(controller_fixture *fixture)
{
    fixture_own_fleet(fixture);
    fixture->settings->operator_settings.idle_machine_allowance = fixture->machines;
    fixture_advance(fixture, 3);
}

static unsigned draining_machines(const controller_fixture *fixture)
{
    return count_machines(fixture->controller, MACHINE_DRAINING);
}

/* Returns how many machines of the fleet the controller returns to the cloud within 80 s. Without
 * defragmentation the controller would keep an idle machine for ten minutes. One task runs at
 * first; if `jobs_keep_coming` is true, a job of one task arrives every 10 s. */
static unsigned machines_returned(bool jobs_keep_coming)
{
    controller_fixture fixture = {.machines = FLEET, .report_s = 1};
    fixture_own_fleet(&fixture);
    fixture.settings->operator_settings.idle_timeout_s = 600;
    fixture_advance(&fixture, 3);

    for (unsigned i = 0; i < 8; i++) {
        g_autofree char *id = g_strdup_printf("j-%06u", 100 + i);
        if (i == 0 || jobs_keep_coming)
            add_job(&fixture, id, 1, 0);
        fixture_advance(&fixture, 10);
    }

    g_assert_cmpuint(fixture.stops, ==, 0); /* tasks without checkpoints do not move */
    const unsigned returned = count_machines(fixture.controller, MACHINE_RELEASE_PENDING);
    fixture_free(&fixture);
    return returned;
}

/* When no more jobs arrive, the controller soon returns the machines without work and keeps the
 * machine that runs a task. While jobs keep arriving, the controller returns no machine. */
static void surplus_is_returned_when_no_jobs_come(void)
{
    const unsigned returned = machines_returned(false);
    g_assert_cmpuint(returned, >=, 6);
    g_assert_cmpuint(returned, <, FLEET);
    g_assert_cmpuint(machines_returned(true), ==, 0);
}

/* A new job ends the quiet period of the shard, and the draining machines take work again. */
static void draining_machines_take_new_jobs(void)
{
    controller_fixture fixture = {.machines = FLEET, .report_s = 1};
    hold_fleet_without_release(&fixture);
    add_job(&fixture, "j-000092", 2, 0);
    fixture_advance(&fixture, QUIET_S);
    g_assert_cmpuint(draining_machines(&fixture), >=, 4);

    add_job(&fixture, "j-000093", FLEET_TASKS - 2, 0);
    fixture_advance(&fixture, 5);

    g_assert_cmpuint(fixture.launches, ==, FLEET_TASKS);
    g_assert_cmpuint(draining_machines(&fixture), ==, 0);
    fixture_free(&fixture);
}

/* Tasks that the team's quota kept pending, and that fit on no other machine, are placed on
 * draining machines too. These machines then count as needed, although no new job has arrived. */
static void draining_machines_take_pending_tasks(void)
{
    controller_fixture fixture = {.machines = FLEET, .report_s = 1};
    hold_fleet_without_release(&fixture);
    fixture.settings->teams[0].cpus_max = 2 * TASK_CORES;
    add_job(&fixture, "j-000096", FLEET_TASKS, 0);
    fixture_advance(&fixture, QUIET_S);
    g_assert_cmpuint(fixture.launches, ==, 2);
    g_assert_cmpuint(draining_machines(&fixture), >=, 4);

    fixture.settings->teams[0].cpus_max = FLEET_TASKS * TASK_CORES;
    fixture_advance(&fixture, 5);

    g_assert_cmpuint(fixture.launches, ==, FLEET_TASKS);
    g_assert_cmpuint(draining_machines(&fixture), ==, 0);
    fixture_free(&fixture);
}

/* Completes the tasks of the job on the machine. */
static void complete_tasks_of(controller_fixture *fixture, unsigned machine, const char *job_id)
{
    for (guint k = 0; k < fixture->tasks[machine]->len; k++) {
        mv_reported_task *task = &g_array_index(fixture->tasks[machine], mv_reported_task, k);
        if (strcmp(task->job_id, job_id) != 0)
            continue;
        g_autofree char *name = g_strdup_printf("%s/%u", task->job_id, task->task);
        task->phase = MV_TASK_EXITED;
        task->exit_reason = MV_EXIT_DONE;
        g_hash_table_remove(fixture->running_tasks, name);
    }
}

static unsigned machines_with_tasks(const controller_fixture *fixture)
{
    unsigned count = 0;
    for (unsigned i = 0; i < fixture->machines; i++)
        count += fixture_running_tasks(fixture, i) > 0;
    return count;
}

/* Tasks with checkpoints leave a draining machine if other machines have room and already hold the
 * image of the tasks. */
static void tasks_with_checkpoints_move(void)
{
    controller_fixture fixture = {.machines = 4, .report_s = 1};
    hold_fleet_without_release(&fixture);
    add_job(&fixture, "j-000094", 5, 20);
    fixture_advance(&fixture, 5);
    add_job(&fixture, "j-000095", 15, 0); /* both jobs together use all 160 cores */
    fixture_advance(&fixture, 5);
    g_assert_cmpuint(fixture.launches, ==, 20);

    for (unsigned i = 0; i < 4; i++)
        complete_tasks_of(&fixture, i, "j-000095");
    fixture_advance(&fixture, QUIET_S + MV_START_COUNTS_AFTER_S + 20);

    g_assert_cmpuint(fixture.stops, >, 0);
    g_assert_cmpfloat(fixture.last_grace_period_s, ==, CHECKPOINT_COST_S);
    g_assert_cmpuint(g_hash_table_size(fixture.running_tasks), ==, 5);
    g_assert_cmpuint(machines_with_tasks(&fixture), <, 4);
    fixture_free(&fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/defragmentation/surplus-is-returned", surplus_is_returned_when_no_jobs_come);
    g_test_add_func("/defragmentation/draining-machines-take-new-jobs",
                    draining_machines_take_new_jobs);
    g_test_add_func("/defragmentation/draining-machines-take-pending-tasks",
                    draining_machines_take_pending_tasks);
    g_test_add_func("/defragmentation/tasks-with-checkpoints-move", tasks_with_checkpoints_move);
    return g_test_run();
}
