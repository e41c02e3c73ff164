/** Lifecycle of a machine record: a new owner or term, and the end of the machine. */
#ifndef MV_MACHINE_LIFECYCLE_H
#define MV_MACHINE_LIFECYCLE_H
#include "coordination/agents/agents.h"

/**
 * Clears what was recorded of the machine's tasks and commands under an earlier term, and does not
 * requeue the tasks. The cached images and the slowdown stay valid and are kept.
 */
void mv_machine_reset(mv_agents *agents, mv_machine *machine);
/**
 * Requeues the tasks of a machine that is in no partition any more, and frees the machine. The
 * machine's tasks have certainly ended, because a machine leaves its partition only when the cloud
 * has answered its release or when it is moved while idle.
 */
void mv_machine_departed(mv_agents *agents, mv_machine *machine);
#endif
