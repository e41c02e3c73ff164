/**
 * The launch gate decides which tasks a controller may launch, given the class of its links. The
 * gate fails safe: the gate closes at once when the controller is isolated from the state service,
 * and after a short grace period while the cause of the failure is unknown. The gate opens again
 * only after the link to the state service has been stable for a hold-down time, which doubles with
 * each break.
 *
 * The module is pure: the caller passes the time, in seconds of the monotonic clock. The module is
 * not thread-safe; the owner of the gate serializes the calls.
 */
#ifndef MV_LAUNCH_GATE_H
#define MV_LAUNCH_GATE_H
#include "config/settings.h"
#include "connectivity/link_report.h"

/** Which tasks the controller may launch. */
typedef enum {
    MV_LAUNCH_SCOPE_NONE,
    MV_LAUNCH_SCOPE_GUARANTEED, /**< tasks within their team's guarantee, and services */
    MV_LAUNCH_SCOPE_ALL
} mv_launch_scope;

/** The state of the gate. A zero-initialized gate is open, but the scope is NONE until the first
 * update, so nothing may be launched. */
typedef struct {
    bool closed;
    double broken_at;     /**< when the link to the state service last broke */
    double stable_since;  /**< start of the running hold-down time; 0: none is running */
    double hold_down_s;   /**< how long the link has to be stable before the gate opens */
    unsigned break_count; /**< number of breaks in a row, each at most MV_HOLD_DOWN_RESET_S
                               after the break before */
    mv_launch_scope scope;
} mv_launch_gate;

/** The input of one update of the gate. */
typedef struct {
    mv_link_class link_class;
    double state_unreachable_s; /**< how long the service has been unreachable; 0: reachable */
    double cache_caught_up_at;  /**< the state cache holds every change made before this time */
    bool overloaded; /**< this process got processor time late, which can itself cause a failure */
    mv_launch_without_state without_state; /**< operators' setting for a state service outage */
} mv_gate_input;

/** Updates the gate for the time `now`, which must not be earlier than that of the last update. */
void mv_launch_gate_update(mv_launch_gate *gate, double now, const mv_gate_input *input);
#endif
