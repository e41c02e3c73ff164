/** Filters: decide on which machines a task of a job may run. */
#ifndef MV_FILTER_H
#define MV_FILTER_H
#include "coordination/scheduling/scheduler.h"

/** Returns whether the job allows the type, the zone and the kind (spot or ordinary) of a machine.
 */
bool mv_job_allows_machine(const mv_context *context, mv_job *job, const mv_machine *machine);
/** Returns whether a task of the job fits into the available resources. */
bool mv_job_fits_resources(const mv_job *job, const mv_resources *available);
/**
 * Returns whether a machine has room for a task of the job now. Room that other tasks were stopped
 * for is nominated for the preempting job and does not count.
 */
bool mv_machine_fits_job(const mv_context *context, const mv_job *job, const mv_machine *machine);
/**
 * Returns whether the job's zone rules allow one more task in the zone of a machine, given the
 * zones of the job's placed tasks: one zone for all tasks, or at most half of the tasks in one
 * zone.
 */
bool mv_job_zones_allow(const mv_job *job, const mv_machine *machine);
/** Returns whether a machine passes all filters for one more task of the job now. */
bool mv_machine_may_take(const mv_context *context, mv_job *job, const mv_machine *machine);
/**
 * Returns whether a task of the job may be running on a machine that has sent no heartbeat since a
 * failover. If so, no task of the job may be launched, because the launch could start a task that
 * is already running. False for a job that was accepted after the failover.
 */
bool mv_job_may_be_running(const mv_scheduler *scheduler, mv_job *job);
#endif
