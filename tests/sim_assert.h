/** Assertions of tests about many runs of the simulation. */
#ifndef MV_SIM_ASSERT_H
#define MV_SIM_ASSERT_H
#include "sim.h"

#include "safety_checks.h"

/** Value of sim_plan.shards for a plan that runs with one shard under odd seeds and with three
 * shards under even seeds. */
#define SIM_SHARDS_BY_SEED 0

/** Runs the plan with `count` consecutive seeds, starting at `from`. The test fails and prints the
 * seed if a rule is broken or a placement differs from the reference scheduler. */
void sim_assert_rules_hold(const sim_plan *plan, guint32 from, guint32 count);
/** Disables a safety check and runs the plan with the seeds from `from` up to, but not including,
 * `to`. At least one seed must give a violation whose text contains `rule`, which shows that the
 * check is needed and that the simulation detects its absence. */
void sim_assert_rule_breaks(mv_safety_check check, const sim_plan *plan, const char *rule,
                            guint32 from, guint32 to);
#endif
