/**
 * Checks the history of a run against the consistency rules of the service. The check reads only
 * the events that the caller passes, so a recorded history can be checked again later.
 *
 * The rules and the names under which a violation is reported:
 * - A task runs on at most one machine at a time (ran_twice).
 * - Controllers write at most one final record for a job (recorded_twice).
 * - The final state that a user receives never changes (went_back).
 * - The final state that a user receives is the recorded state (answer_without_record).
 * - The service never forgets an accepted job (forgotten).
 * - No task starts after a user was told that its job is cancelled (started_after_cancellation).
 * - No task of a job is on a machine longer than cancel_s after a user was told so (ran_cancelled).
 * - A job is called done only when each of its tasks has completed (not_done).
 * - The tasks of the team never need more cores than its limit (quota).
 * - No job that nobody submitted has a state (invented).
 * - No process ends by itself (process_ended), and none reports a violated invariant (invariant).
 * - In a complete run, every accepted job has a final record.
 */
#ifndef MV_HISTORY_CHECKER_H
#define MV_HISTORY_CHECKER_H
#include "history.h"

/** The result of a check: counts of jobs and task starts, and the violations found. */
typedef struct {
    unsigned jobs;            /**< accepted jobs; the next three fields count among them */
    unsigned done;            /**< jobs whose latest final record has the state WIRE_DONE */
    unsigned cancelled;       /**< jobs whose latest final record has the state WIRE_CANCELLED */
    unsigned unfinished;      /**< jobs without a final record */
    unsigned starts;          /**< starts of tasks on machines */
    unsigned repeated_starts; /**< starts of tasks that had already completed before */
    GPtrArray *violations;    /**< char *, one line each, in the order of detection; owned */
} mv_check_result;

/** What the check of a history has to know of its scenario. */
typedef struct {
    double cancel_s;     /**< 0: ran_cancelled is not checked */
    double exit_delay_s; /**< the history may contain the end of a task this much later than the end
                            itself: after a hang of its machine and until the machine's next
                            heartbeat. ran_cancelled allows this time in addition */
    unsigned
        team_tasks; /**< how many tasks the team's limit has room for; 0: quota is not checked */
} mv_check_limits;

/** Checks an array of mv_event. If `complete` is set, the run went on until every job had a final
 * state, so each accepted job without a final record is a violation. The caller frees the result
 * with mv_check_result_free. */
mv_check_result *mv_history_check(const GArray *events, const mv_check_limits *limits,
                                  bool complete);

/** Frees the result of a check; NULL is allowed. */
void mv_check_result_free(mv_check_result *result);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(mv_check_result, mv_check_result_free)
#endif
