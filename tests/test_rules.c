/* Seeded runs of whole deployments, with every rule checked after each step; and the same with one
 * guard switched off, which must be noticed. */
#include "sim.h"

#include "coordination/internal.h"

#include <stdio.h>

mv_guard mv_broken_guard = MV_GUARD_NONE;

static const sim_plan CALM = {.cancel = 0.1, .until = 120, .settle = 200, .shards = 1, .jobs = 25};
static const sim_plan ROUGH = {.crash = 25,
                               .all_crash = 90,
                               .state_cut = 40,
                               .worker_cut = 50,
                               .outage = 70,
                               .die = 40,
                               .machine_cut = 6,
                               .lose = 0.02,
                               .hold = 0.02,
                               .cancel = 0.2,
                               .until = 200,
                               .settle = 900,
                               .shards = 1,
                               .jobs = 40};

static void expect_sound(const sim_plan *plan, guint32 from, guint32 n)
{
    for (guint32 seed = from; seed < from + n; seed++) {
        g_autofree char *broken = sim_run(seed, plan);
        if (broken)
            g_error("seed %u: %s", seed, broken);
    }
    g_test_message("seeds %u to %u", from, from + n - 1);
}

static void calm(void)
{
    expect_sound(&CALM, 1, 4);
}

static void calm_three_shards(void)
{
    sim_plan plan = CALM;
    plan.shards = 3;
    expect_sound(&plan, 11, 4);
}

static void rough(void)
{
    expect_sound(&ROUGH, 21, 10);
}

static void rough_three_shards(void)
{
    sim_plan plan = ROUGH;
    plan.shards = 3;
    expect_sound(&plan, 41, 10);
}

static void crashes_only(void)
{
    sim_plan plan = CALM;
    plan.crash = 8;
    plan.all_crash = 30;
    plan.settle = 400;
    expect_sound(&plan, 61, 6);
}

static void cut_from_workers(void)
{
    sim_plan plan = CALM;
    plan.worker_cut = 15;
    plan.settle = 400;
    expect_sound(&plan, 71, 6);
}

static void faulty_jobs(void)
{
    sim_plan plan = CALM;
    plan.cancel = 0.9; /* of which a third fail wherever they start */
    plan.jobs = 60;
    expect_sound(&plan, 91, 8);
}

static void late_messages(void)
{
    sim_plan plan = CALM;
    plan.lose = 0.05;
    plan.hold = 0.1;
    plan.settle = 400;
    expect_sound(&plan, 81, 6);
}

/* With a guard off, some seed must break the rule that the guard stands for. */
static void expect_broken(mv_guard guard, const sim_plan *plan, const char *rule)
{
    bool found = false;
    mv_broken_guard = guard;
    for (guint32 seed = 100; seed < 140 && !found; seed++) {
        g_autofree char *broken = sim_run(seed, plan);
        found = broken && strstr(broken, rule);
    }
    mv_broken_guard = MV_GUARD_NONE;
    g_assert_true(found);
}

static void guard_rebuild(void)
{
    expect_broken(MV_GUARD_REBUILD, &ROUGH, "ran_twice");
}

static void guard_unknown(void)
{
    sim_plan plan = ROUGH;
    plan.jobs = 90;
    expect_broken(MV_GUARD_UNKNOWN, &plan, "quota");
}

static void guard_limit(void)
{
    expect_broken(MV_GUARD_LIMIT, &ROUGH, "quota");
}

static void guard_released(void)
{
    expect_broken(MV_GUARD_RELEASED, &ROUGH, "ran_twice");
}

static void guard_kind(void)
{
    expect_broken(MV_GUARD_KIND, &CALM, "wrong_place");
}

static void guard_all_done(void)
{
    expect_broken(MV_GUARD_ALL_DONE, &CALM, "not_done");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rules/calm", calm);
    g_test_add_func("/rules/calm-three-shards", calm_three_shards);
    g_test_add_func("/rules/rough", rough);
    g_test_add_func("/rules/rough-three-shards", rough_three_shards);
    g_test_add_func("/rules/crashes", crashes_only);
    g_test_add_func("/rules/cut-from-workers", cut_from_workers);
    g_test_add_func("/rules/faulty-jobs", faulty_jobs);
    g_test_add_func("/rules/late-messages", late_messages);
    g_test_add_func("/guards/rebuild", guard_rebuild);
    g_test_add_func("/guards/unknown-use", guard_unknown);
    g_test_add_func("/guards/limit", guard_limit);
    g_test_add_func("/guards/released", guard_released);
    g_test_add_func("/guards/kind", guard_kind);
    g_test_add_func("/guards/all-done", guard_all_done);
    return g_test_run();
}
