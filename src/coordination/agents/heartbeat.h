/**
 * Reconciliation of heartbeats: what a heartbeat proves, and which commands the agent gets for it.
 *
 * These rules hold for heartbeats and for the answers to direct commands, which carry a heartbeat:
 * - A heartbeat that is not newer by (agent epoch, sequence) than all earlier heartbeats is a copy
 *   or arrived late. Such a heartbeat is stale and proves nothing.
 * - A newer heartbeat under an older fencing token proves the agent epoch only. Such a heartbeat
 *   may be a copy that is minutes old and is new only to a controller that has not owned the
 *   machine for long. So the heartbeat does not prove that the machine is alive, and a task that
 *   the heartbeat does not list may still be started by a command of an earlier owner.
 * - Only a newer heartbeat under the current owner's fencing token proves which tasks are on the
 *   machine.
 */
#ifndef MV_HEARTBEAT_H
#define MV_HEARTBEAT_H
#include "coordination/agents/agents.h"

/** What a heartbeat proves, by agent epoch, sequence and fencing token. */
typedef enum {
    MV_HEARTBEAT_STALE,     /**< proves nothing */
    MV_HEARTBEAT_OLD_TOKEN, /**< proves the agent epoch */
    MV_HEARTBEAT_CURRENT    /**< proves which tasks are on the machine */
} mv_heartbeat_order;

/** Returns what a heartbeat of the machine proves; changes nothing. */
mv_heartbeat_order mv_heartbeat_compare(const mv_machine *machine, const mv_heartbeat *heartbeat);
/**
 * Applies a heartbeat that is not stale to the machine, its placements and their jobs. Appends to
 * `commands` (mv_command) the commands for the agent.
 */
void mv_heartbeat_apply(mv_agents *agents, mv_machine *machine, const mv_heartbeat *heartbeat,
                        mv_heartbeat_order order, GArray *commands);
#endif
