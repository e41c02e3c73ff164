/**
 * Direct commands to machines: at most one command is in flight to each machine, and the command
 * window limits how many are in flight to all machines together. Machines that want a command wait
 * in a first-in-first-out queue. The commands of a machine are collected only when they are sent,
 * so that commands never become stale in this queue.
 */
#ifndef MV_COMMAND_QUEUE_H
#define MV_COMMAND_QUEUE_H
#include "coordination/agents/agents.h"

/**
 * Adapts the command window to `tick_gap_s`, the seconds between the last two ticks: late ticks
 * show that this controller is overloaded.
 */
void mv_command_window_adapt(mv_agents *agents, double tick_gap_s);
/** Sends commands to the waiting machines, in order, as far as the command window allows. */
void mv_commands_flush(mv_agents *agents);
/** Returns the machine to which the command with this id is in flight, or NULL. */
mv_machine *mv_commands_find(const mv_agents *agents, uint64_t id);
/**
 * Returns whether a command that was decided earlier may still be sent: the shard, the fencing
 * token and the launch gate still allow it, and it has not expired.
 */
bool mv_command_is_valid(mv_agents *agents, const mv_machine *machine, const mv_action *action);
/** Handles a command that was not sent because it was no longer valid; requests a new one. */
void mv_command_dropped(mv_agents *agents, mv_machine *machine);
/**
 * Handles a command that got no answer: its launches may still arrive minutes later, so they stay
 * uncertain, and the machine is probed again.
 */
void mv_command_unanswered(mv_agents *agents, mv_machine *machine);
/** Handles the answer to a command: none of the command's launches is in flight any more. */
void mv_command_arrived(mv_machine *machine);
#endif
