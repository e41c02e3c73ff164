/** Runs of the simulation under assertions. */
#include "sim_assert.h"

#include "reference_scheduler.h"

#include <string.h>

static char *run_seed(const sim_plan *plan, guint32 seed)
{
    sim_plan seed_plan = *plan;
    if (seed_plan.shards == SIM_SHARDS_BY_SEED)
        seed_plan.shards = seed % 2 ? 1 : 3;
    return sim_run(seed, &seed_plan);
}

void sim_assert_rules_hold(const sim_plan *plan, guint32 from, guint32 count)
{
    for (guint32 seed = from; seed < from + count; seed++) {
        g_autofree char *violation = run_seed(plan, seed);
        if (violation)
            g_error("seed %u: %s", seed, violation);
        /* The scheduler places tasks in batches, while the reference scheduler places tasks one by
         * one. Both must give the same placements. */
        const unsigned mismatches = reference_mismatches();
        if (mismatches > 0)
            g_error("seed %u: %u placements differ from the reference", seed, mismatches);
    }
    g_test_message("seeds %u to %u", from, from + count - 1);
}

void sim_assert_rule_breaks(mv_safety_check check, const sim_plan *plan, const char *rule,
                            guint32 from, guint32 to)
{
    bool found = false;
    mv_disabled_check = check;
    for (guint32 seed = from; seed < to && !found; seed++) {
        g_autofree char *violation = run_seed(plan, seed);
        found = violation && strstr(violation, rule);
    }
    mv_disabled_check = MV_CHECK_NONE;
    g_assert_true(found);
}
