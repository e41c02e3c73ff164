/** Placements: tasks on machines, and the resource sums and task counts that depend on them. */
#ifndef MV_PLACEMENT_H
#define MV_PLACEMENT_H
#include "coordination/agents/machine.h"

/** Returns the index of the task's placement in the machine's placements; -1: none. */
int mv_placement_find(const mv_machine *machine, const char *job_id, uint32_t task);
/**
 * Adds a placement of a task of the job. The caller has set `task` and `attempt` of the placement;
 * the machine takes ownership of the placement.
 */
void mv_placement_add(mv_agents *agents, mv_machine *machine, mv_job *job, mv_placement *placement);
/**
 * Removes and frees the placement at `index`. `requeue`: the placement's task becomes pending
 * again, unless the task is done.
 */
void mv_placement_remove(mv_agents *agents, mv_machine *machine, guint index, bool requeue);
/** Marks the placement as stopping and requests a command that stops its task. */
void mv_placement_stop(mv_agents *agents, mv_machine *machine, mv_placement *placement);
/**
 * Stops the task of a job that a user cancels, without a checkpoint. If no heartbeat has listed the
 * task yet, also requests a probe, whose answer shows whether the launch has arrived.
 */
void mv_placement_cancel(mv_agents *agents, mv_machine *machine, mv_placement *placement);
/** Calls mv_placement_cancel for each placement of the job. */
void mv_placements_cancel(mv_agents *agents, mv_job *job);
/**
 * Handles the end of a job: its placements no longer refer to the job, and its tasks are stopped.
 */
void mv_placements_orphan(mv_agents *agents, mv_job *job);
#endif
