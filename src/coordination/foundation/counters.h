/** The counters of a controller that are exported as metrics. */
#ifndef MV_COUNTERS_H
#define MV_COUNTERS_H
#include "connectivity/link_report.h"

/** The uint64_t fields count from the start of the process; the others are current values. */
typedef struct {
    uint64_t rounds, placed, jobs_finished, requeued, preempted, task_failures, machines_rented,
        machines_released, shard_acquisitions, machines_moved, machines_examined, limits_reduced,
        stale_messages, link_reports, link_reports_rejected, launches_held, completions_learned,
        cancellations_begun, invariant_violations, token_raises;
    unsigned jobs, tasks_pending, tasks_running, machines, machines_confirmed,
        completions_unrecorded;
    mv_link_class link_class;
    bool launches_are_held;
} mv_controller_counters;
#endif
