/**
 * Preemption: which tasks the controller stops for a latency-sensitive job, and whether these tasks
 * get the time to save a checkpoint first.
 *
 * Rules of the protocol page: a stopped task ends within the grace period that the stop names, and
 * the task's work since its last checkpoint is lost; a team never has more than its quota.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define CHECKPOINT_INTERVAL_S 20.0
#define CHECKPOINT_COST_S 5.0
#define IDLE_JOB "j-000090"
#define IDLE_JOB_TASKS 8
#define TASK_CORES 8

/* Adds a batch job of idle priority that fills a machine of 64 cores. Its tasks save a checkpoint
 * every `checkpoint_interval_s` seconds; 0: never. */
static void add_idle_job(controller_fixture *fixture, double checkpoint_interval_s)
{
    mv_job_spec spec = {.priority = MV_PRIORITY_IDLE,
                        .tasks = IDLE_JOB_TASKS,
                        .cores = TASK_CORES,
                        .ram_gb = 8,
                        .spot = true,
                        .estimated_runtime_s = 300,
                        .checkpoint_interval_s = checkpoint_interval_s,
                        .checkpoint_cost_s = CHECKPOINT_COST_S};
    fixture_put_job(fixture, spec, IDLE_JOB, "refit", "img-1");
}

/* Sets the start objective of the job class "rush" to `within_s` seconds. */
static void set_start_objective(controller_fixture *fixture, double within_s)
{
    mv_objective *objective = g_new0(mv_objective, 1);
    objective->kind = MV_OBJECTIVE_WAIT;
    objective->within_s = within_s;
    g_strlcpy(objective->class_name, "rush", MV_NAME_SIZE);
    fixture->settings->objectives = objective;
    fixture->settings->objective_count = 1;
}

/* Grants the controller the shard with the only machine and waits for the machine's first
 * heartbeats. */
static void load_fleet(controller_fixture *fixture)
{
    fixture_grant_shard(fixture, 5);
    fixture_put_partition(fixture);
    finish_loading(fixture);
    fixture_advance(fixture, 3);
}

/* A latency-sensitive job whose class has the start objective `start_objective_s` arrives when the
 * tasks on the only machine have run for `ran_s` seconds. Returns the grace period in seconds of
 * the tasks that the controller stops for the job. */
static double grace_period_of_preempted(double start_objective_s, double ran_s)
{
    controller_fixture fixture = {.machines = 1, .report_s = 1};
    start_controller(&fixture);
    set_start_objective(&fixture, start_objective_s);
    load_fleet(&fixture);
    add_idle_job(&fixture, CHECKPOINT_INTERVAL_S);
    fixture_advance(&fixture, ran_s);
    g_assert_cmpuint(fixture_running_tasks(&fixture, 0), ==, IDLE_JOB_TASKS);
    g_assert_cmpuint(fixture.stops, ==, 0);

    fixture_add_batch_job(&fixture, 1, 4);
    fixture_advance(&fixture, 3);

    g_assert_cmpuint(fixture.stops, >, 0);
    const double grace_period_s = fixture.last_grace_period_s;
    fixture_free(&fixture);
    return grace_period_s;
}

/* A checkpoint takes 5 s. With a start objective of 5 s, the machine would be free too late, so the
 * tasks are stopped at once. With an objective of 15 s, the checkpoint ends in time and costs less
 * than the 8 s of work not saved yet, so the tasks save first. If the last checkpoint was saved
 * just before, saving again costs more than the unsaved work, so the tasks are stopped at once even
 * with an objective of 15 s. */
static void preempted_tasks_save_only_within_start_objective(void)
{
    g_assert_cmpfloat(grace_period_of_preempted(5, 10), ==, 0);
    g_assert_cmpfloat(grace_period_of_preempted(15, 10), ==, CHECKPOINT_COST_S);
    g_assert_cmpfloat(grace_period_of_preempted(15, CHECKPOINT_INTERVAL_S + 3), ==, 0);
}

/* Returns how many cores of its team's quota of 40 an idle job is allocated if latency-sensitive
 * jobs usually request more cores than the headroom has. */
static double cores_allocated_to_idle_job(double checkpoint_interval_s)
{
    controller_fixture fixture = {.machines = 1, .report_s = 1};
    start_controller(&fixture);
    fixture.settings->teams[0].cpus_max = 40;
    load_fleet(&fixture);
    set_latency_sensitive_job(fixture.controller, 0, 40, MV_PRIORITY_HIGH);

    add_idle_job(&fixture, checkpoint_interval_s);
    fixture_advance(&fixture, 5);

    const double allocated = inspect_team_allocated_cores(fixture.controller, 0);
    fixture_free(&fixture);
    return allocated;
}

/* Headroom of a quota is kept free for latency-sensitive jobs if the running tasks save no
 * checkpoints, because preempting them loses all of their work. If they do save checkpoints,
 * preemption is cheap, and the idle job may use the headroom. */
static void headroom_is_used_by_preemptible_tasks(void)
{
    g_assert_cmpfloat(cores_allocated_to_idle_job(0), ==, 32);
    g_assert_cmpfloat(cores_allocated_to_idle_job(CHECKPOINT_INTERVAL_S), ==, 40);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/preemption/saves-within-start-objective",
                    preempted_tasks_save_only_within_start_objective);
    g_test_add_func("/preemption/headroom-used-by-preemptible-tasks",
                    headroom_is_used_by_preemptible_tasks);
    return g_test_run();
}
