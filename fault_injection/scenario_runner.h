/**
 * Runs a scenario against real controller processes and returns the history of the run.
 */
#ifndef MV_SCENARIO_RUNNER_H
#define MV_SCENARIO_RUNNER_H
#include "history_checker.h"
#include "scenario.h"

/** Longest time, in seconds, that the runner waits for all jobs to reach a final state after the
 * scenario's `seconds` are over. The limit is wide so that it also suffices on a slow computer. */
#define MV_SCENARIO_FINISH_TIMEOUT_S 180

/** Options of a run. The strings must stay valid during mv_scenario_run. */
typedef struct {
    const char *program;   /**< path of the service's executable */
    const char *directory; /**< existing directory for settings, logs and the history file */
    bool quiet;            /**< true: do not print a line for each fault that begins or ends */
} mv_scenario_run_options;

/** The result of a run. */
typedef struct {
    GArray *events;         /**< the history, elements are mv_event; owned */
    mv_check_limits limits; /**< what the history checker has to know of the scenario */
    bool complete;          /**< users received a final state of every job within
                               MV_SCENARIO_FINISH_TIMEOUT_S */
} mv_scenario_run_result;

/** Reasons why a run fails. The error message names the file concerned. */
typedef enum {
    MV_SCENARIO_RUN_ERROR_HISTORY, /**< the history file cannot be written */
    MV_SCENARIO_RUN_ERROR_START,   /**< a controller cannot be configured or started */
} mv_scenario_run_error;

/** The GError domain of the errors that mv_scenario_run sets. */
#define MV_SCENARIO_RUN_ERROR (mv_scenario_run_error_quark())

/** Returns the quark of MV_SCENARIO_RUN_ERROR. */
GQuark mv_scenario_run_error_quark(void);

/** Runs the script that the scenario and `seed` generate, and blocks until the run is over, which
 * takes the scenario's `seconds` and up to MV_SCENARIO_FINISH_TIMEOUT_S. All processes and threads
 * of the run have ended when the function returns. The caller must ignore SIGPIPE, and frees the
 * result with mv_scenario_run_result_free. Returns NULL and sets `error` if the run fails. */
mv_scenario_run_result *mv_scenario_run(const mv_scenario *scenario, uint32_t seed,
                                        const mv_scenario_run_options *options, GError **error);

/** Frees the result of a run; NULL is allowed. */
void mv_scenario_run_result_free(mv_scenario_run_result *result);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(mv_scenario_run_result, mv_scenario_run_result_free)
#endif
