/** Scheduling rounds: run the steps of the scheduler for all owned jobs. */
#ifndef MV_ROUND_H
#define MV_ROUND_H
#include "coordination/scheduling/scheduler.h"

/**
 * Runs a round if a round is requested and due. Events only request a round, and the interval
 * between rounds grows with the number of pending tasks, so under load one round serves many
 * events.
 */
void mv_scheduler_run_due(mv_scheduler *scheduler);
#endif
