/** The plans of the simulation whose runs make up the behaviour fingerprint. */
#ifndef MV_BEHAVIOR_PLANS_H
#define MV_BEHAVIOR_PLANS_H
#include "sim.h"

typedef struct {
    const char *name; /* the name in the fingerprint's line, with static lifetime */
    sim_plan plan;
} behavior_plan;

/** Returns the plan of a run; the first run has the number 0. The runs take the plans in turn, and
 * each plan is run with one shard and with three shards. */
behavior_plan behavior_plan_of(unsigned run);
#endif
