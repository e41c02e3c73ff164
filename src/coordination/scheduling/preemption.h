/**
 * Preemption: stops tasks to make room for work of higher priority or for a team's guarantee.
 *
 * The PROTOCOL page, section "Preemption", allows two cases and no other. Work of higher priority
 * may take room from work of lower priority. Work within a team's guarantee may take room from
 * whatever another team runs beyond the guarantee of that other team.
 */
#ifndef MV_PREEMPTION_H
#define MV_PREEMPTION_H
#include "coordination/scheduling/scheduler.h"

/**
 * Preempts other tasks to make room for pending tasks of a latency-sensitive job, and nominates the
 * room for the job within this round. Does nothing for other jobs.
 */
void mv_preempt_for_job(mv_scheduler *scheduler, mv_job *job);
#endif
