/**
 * Health checks of machines: stragglers, quarantine, heartbeat timeouts and unreachable commands.
 *
 * Every tick checks some of the machines, so that each machine is checked a few times a second. A
 * check has two steps, because between them the scheduler may move replicas off a machine that is
 * to be emptied.
 */
#ifndef MV_HEALTH_H
#define MV_HEALTH_H
#include "coordination/agents/agents.h"

/** Returns how many machines this tick has to check. */
guint mv_health_check_count(const mv_agents *agents);
/** Returns the next machine in the rotation, which must not be empty. */
mv_machine *mv_health_next_machine(mv_agents *agents);
/** First step of a check: updates the machine's slowdown and quarantines a straggler. */
void mv_health_check_slowdown(mv_agents *agents, mv_machine *machine);
/**
 * Second step of a check: quarantines the machine after failures, probes it after a heartbeat
 * timeout, marks it failed if it does not respond, and stops tasks before the cloud reclaims it.
 */
void mv_health_check_liveness(mv_agents *agents, mv_machine *machine);
#endif
