/**
 * Binding: places pending tasks on machines by the Fair Root Input Size heuristic.
 *
 * A task goes to the machine that has cached the most bytes of the task's image. Tasks whose image
 * no machine has cached are spread over the machines round-robin.
 */
#ifndef MV_BINDING_H
#define MV_BINDING_H
#include "coordination/scheduling/scheduler.h"

/**
 * Binds pending tasks of a job to the best machines until no machine has room or the limit of the
 * job's team is reached.
 */
void mv_bind_job(mv_scheduler *scheduler, mv_job *job);
/**
 * Reserves resources for a severely starved job whose tasks fit on no machine. The machine that
 * lacks least for a task is nominated, so that this machine takes no other task; if the team's
 * limit is the obstacle, cores of the limit are reserved instead. Each round repeats the
 * reservation until a task fits. Without the reservation, small tasks would fill every gap that a
 * large task waits for.
 */
void mv_reserve_for_starved(mv_scheduler *scheduler, mv_job *job);
/**
 * Returns the best machine with room for one more task of the job, or NULL if no machine has room.
 * The function is for use between rounds.
 */
mv_machine *mv_scheduler_find_machine(const mv_scheduler *scheduler, mv_job *job);

#ifdef MV_MUTATION_TESTING
/** The tests define this function (tests/reference_scheduler.c); each binding of a task calls it.
 */
void mv_binding_observed(const mv_scheduler *scheduler, mv_job *job, const mv_machine *machine);
#endif
#endif
