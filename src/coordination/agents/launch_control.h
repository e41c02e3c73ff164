/**
 * Launch control: whether this controller may start tasks now. The launch gate may forbid all
 * launches, and a cancellation forbids the launches of its job. The controller asks when it places
 * a task, when it puts a launch into a command or a response, and again before it sends a command.
 */
#ifndef MV_LAUNCH_CONTROL_H
#define MV_LAUNCH_CONTROL_H
#include "connectivity/connectivity.h"
#include "coordination/jobs/job.h"

/** The launch gate of this controller, and the state of the links on which the gate depends. */
typedef struct {
    mv_context *context;
    mv_connectivity *connectivity; /**< NULL: the operator settings do not enable the launch gate */
    uint64_t boot;                 /**< identifies this process to its peers; 0: no tick yet */
} mv_launch_control;

/**
 * Initializes the launch control, with link monitoring if the operator settings enable the launch
 * gate. `context` is borrowed and must outlive it; call mv_launch_control_clear at the end.
 */
void mv_launch_control_init(mv_launch_control *launch_control, mv_context *context);
/** Frees the link monitoring, but not `launch_control` itself. */
void mv_launch_control_clear(mv_launch_control *launch_control);
/**
 * Returns whether tasks of the job may be started. Counts a held launch if the launch gate forbids
 * it.
 */
bool mv_launch_allowed(mv_launch_control *launch_control, const mv_job *job);
/** Returns whether tasks of at least some jobs may be started. */
bool mv_launch_allowed_any(const mv_launch_control *launch_control);
#endif
