/**
 * Seeded simulations in which the cloud executes requests to return machines from a fraction of a
 * second to minutes late, while leaders end, pause and are replaced. All rules are checked after
 * each step.
 *
 * Rule: a machine whose return any controller has requested gets no task as long as the request can
 * still be executed.
 */
#include "sim_assert.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define SEEDS 8
static const sim_plan LATE_RETURNS = {.late_returns = 0.5,
                                      .leader_crash = 15,
                                      .cancel = 0.2,
                                      .latency_sensitive = 0.3,
                                      .faults_end_at = 400,
                                      .deadline_at = 600,
                                      .shards = SIM_SHARDS_BY_SEED,
                                      .jobs = 50};

/* Checks that all rules hold, and that late requests returned machines. */
static void assert_rules_hold(sim_plan plan, guint32 first_seed)
{
    unsigned returned = 0;
    plan.returned_late = &returned;
    sim_assert_rules_hold(&plan, first_seed, SEEDS);
    g_assert_cmpuint(returned, >, 0);
}

/* Guards against a leader that puts the machines to work whose return its predecessor requested
 * right before it ended. */
static void leaders_end(void)
{
    assert_rules_hold(LATE_RETURNS, 1);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/late-returns/leaders-end", leaders_end);
    return g_test_run();
}
