/**
 * The controller as a composition of its modules. Only tests and the files of this folder, which
 * pass each event to one module, include this header.
 */
#ifndef MV_CONTROLLER_INTERNAL_H
#define MV_CONTROLLER_INTERNAL_H
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/controller.h"

/**
 * The modules, the lowest one first. Each module has pointers only to modules that precede it in
 * this list. The modules are initialized in this order and cleared in the reverse order.
 */
struct mv_controller {
    mv_context context;
    mv_job_table jobs;
    mv_launch_control launch_control;
    mv_agents agents;
    mv_membership membership;
    mv_scheduler scheduler;
    mv_autoscaler autoscaler;
};

/**
 * Classifies this controller's links as of the present time. If launches become allowed, requests
 * commands to the machines whose launches were held. Does nothing if the launch gate is off.
 */
void mv_link_monitor_update(mv_controller *controller);
/**
 * Records whether heartbeats of this controller's machines arrive, then calls
 * mv_link_monitor_update. Does nothing if the launch gate is off.
 */
void mv_link_monitor_tick(mv_controller *controller);
/**
 * Begins the cancellation of a job, unless it has begun: launches none of its tasks any more, and
 * stops those that this controller, as the owner of the job's shard, has launched.
 */
void mv_cancellation_begin(mv_controller *controller, mv_job *job);
/** Runs a scheduling round if one is due, then sends commands. Called after each event. */
void mv_controller_run_due_work(mv_controller *controller);
#endif
