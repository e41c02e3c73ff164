/**
 * The state of the scheduler, with the data that a scheduling round collects once for all jobs.
 *
 * A round takes the jobs in the order of their claims. For each job the round filters the machines,
 * scores them by the Fair Root Input Size heuristic and binds tasks to them. If no machine has room
 * for a task, the round may preempt tasks of other jobs.
 */
#ifndef MV_SCHEDULER_H
#define MV_SCHEDULER_H
#include "coordination/agents/agents.h"

/** The state of the scheduler. The registries own the machines and jobs in the lists. */
typedef struct {
    mv_context *context;
    mv_job_table *jobs;
    mv_launch_control *launch_control;
    mv_agents *agents;
    guint next_in_rotation; /**< rotation index after the machine that got the last task */
    uint64_t attempts;      /**< placements so far; the low bits of an attempt number */
    double next_round_at;   /**< earliest start of the next round */
    /* set in each round */
    GPtrArray *schedulable;     /**< mv_machine: may take tasks; in rotation order */
    GPtrArray *unconfirmed;     /**< mv_machine: may hold tasks that this controller cannot know */
    GPtrArray *unschedulable;   /**< mv_job: its tasks found no machine in this round */
    double largest_task_cores;  /**< cores of the largest task of all owned jobs */
    unsigned machines_examined; /**< work of the last round, counted in examined machines */
} mv_scheduler;

/**
 * Initializes a scheduler before its first round. The scheduler borrows the other modules, which
 * must outlive the scheduler. The caller ends with mv_scheduler_clear().
 */
void mv_scheduler_init(mv_scheduler *scheduler, mv_context *context, mv_job_table *jobs,
                       mv_launch_control *launch_control, mv_agents *agents);
/** Frees the lists of a scheduler, but neither `scheduler` itself nor the machines and jobs. */
void mv_scheduler_clear(mv_scheduler *scheduler);
/** Returns how many places in the rotation a machine comes after the machine that is next. */
guint mv_scheduler_rotation_distance(const mv_scheduler *scheduler, const mv_machine *machine);
#endif
