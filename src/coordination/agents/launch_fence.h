/**
 * Fences off the direct commands that launched an attempt before the agent forgets the attempt.
 *
 * A copy of a direct command, whether the command was answered or not, may arrive minutes later,
 * and the agent executes the copy while fencing token and agent epoch match. An agent that no
 * longer knows an attempt would start it again. So the answer to a heartbeat that clears an attempt
 * carries a higher token than every command that launched the attempt: an agent that executes the
 * clear has seen that token and rejects the commands.
 *
 * The owner takes the higher token from the range that it has reserved (token_range.h). One raise
 * serves all exited tasks of a machine. Launches that were sent only in answers to heartbeats need
 * none, because an agent drops an answer that is late.
 */
#ifndef MV_LAUNCH_FENCE_H
#define MV_LAUNCH_FENCE_H
#include "coordination/agents/agents.h"

/** Records that a direct command under `token` carries launches to the machine. */
void mv_launch_fence_command_sent(mv_machine *machine, uint64_t token);
/**
 * Returns whether the next answer to a heartbeat of the machine may clear attempts: no raise of the
 * token is needed, or one is possible. If the shard's range has no token left for the machine, asks
 * for another range.
 */
bool mv_launch_fence_can_clear(const mv_context *context, mv_machine *machine);
/**
 * Returns whether every command that launched the placement's attempt is fenced off, as the
 * heartbeat shows, so that the task may be placed elsewhere although its agent no longer lists it.
 * If not, the next answer to a heartbeat raises the token.
 */
bool mv_launch_fence_has_passed(mv_machine *machine, const mv_placement *placement,
                                const mv_heartbeat *heartbeat);
/**
 * Raises the machine's token if the answer clears attempts or a placement waits for the raise. The
 * caller then sends the answer under the machine's token. If the answer would still carry a clear
 * that is not fenced, removes the clears and reports the violated invariant.
 */
void mv_launch_fence_complete_answer(mv_agents *agents, mv_machine *machine, GArray *commands);
#endif
