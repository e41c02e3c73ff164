/**
 * Placements that a current heartbeat does not list: the task is gone, its launch has not arrived
 * yet, or the job ended before the launch arrived.
 */
#ifndef MV_MISSING_TASKS_H
#define MV_MISSING_TASKS_H
#include "coordination/agents/agents.h"

/**
 * Reconciles the placements that a newer heartbeat under the current term does not list. Appends to
 * `commands` (mv_command) the launches that are sent again.
 */
void mv_missing_tasks_reconcile(mv_agents *agents, mv_machine *machine,
                                const mv_heartbeat *heartbeat, GArray *commands);
/**
 * Returns whether a launch of a task may still arrive although its job ended more than
 * MV_CANCELLED_LAUNCH_GRACE_S ago. The owner must then refuse the machine's heartbeats: a heartbeat
 * that is answered renews the agent's lease, and under that lease a command that was delayed for
 * longer than cancel_s could still start the task. Without an answer the lease and the agent epoch
 * end. A higher fencing token makes the launch invalid sooner, but the owner has to request that
 * token in its published demand, and the leader has to record the token.
 */
bool mv_machine_cancelled_task_may_launch(const mv_context *context, const mv_machine *machine);
#endif
