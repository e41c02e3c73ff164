/**
 * The script of a run: a list of steps, each with its time. A step submits a job, cancels a job, or
 * begins or ends a fault. The script is a pure function of scenario and seed: the same scenario and
 * seed give the same script on every computer.
 */
#ifndef MV_SCRIPT_H
#define MV_SCRIPT_H
#include "scenario.h"

/** The kinds of steps. */
typedef enum {
    MV_STEP_SUBMIT,
    MV_STEP_CANCEL,
    MV_STEP_FAULT_BEGIN,
    MV_STEP_FAULT_END
} mv_step_kind;

/** One step of a script. */
typedef struct {
    double at; /**< seconds since the run began */
    mv_step_kind kind;
    unsigned target_index;  /**< number of the job, controller or machine that the step affects */
    unsigned tasks;         /**< number of tasks, for MV_STEP_SUBMIT */
    mv_fault_target target; /**< for a fault: the kind of link, or a controller */
    mv_fault_mode mode;     /**< for a fault of a link: how the link fails */
    unsigned delay_ms;      /**< for MV_FAULT_DELAY: the delay in each direction */
} mv_step;

/** Generates the steps of a run, as an array of mv_step ordered by time. The caller frees the
 * array.
 */
GArray *mv_script_generate(const mv_scenario *scenario, uint32_t seed);

/** Returns a one-line description of a step, which the caller frees. */
char *mv_step_describe(const mv_step *step);
#endif
