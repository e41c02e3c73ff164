/**
 * Generates scripts. The order of the calls to the random number generator must not change, because
 * a different order gives a different script for the same seed.
 */
#include "script.h"

#define WARM_UP_S 3.0 /* no faults before this time: the controllers start and acquire shards */
#define CANCEL_DELAY_S_MAX 5 /* longest time from a job's submission to its cancellation */

static gint compare_steps(gconstpointer left, gconstpointer right)
{
    const mv_step *first = left;
    const mv_step *second = right;
    if (first->at != second->at)
        return first->at < second->at ? -1 : 1;
    if (first->kind != second->kind)
        return (int)first->kind - (int)second->kind;
    return (int)first->target_index - (int)second->target_index;
}

static void generate_jobs(const mv_scenario *scenario, GRand *random, GArray *steps)
{
    for (unsigned i = 0; i < scenario->jobs; i++) {
        mv_step submit = {.kind = MV_STEP_SUBMIT, .target_index = i};
        submit.at = g_rand_double_range(random, 0, scenario->seconds);
        submit.tasks = (unsigned)g_rand_int_range(random, 1, (gint)scenario->max_tasks + 1);
        mv_step cancel = {.kind = MV_STEP_CANCEL, .target_index = i};
        cancel.at = submit.at + g_rand_double_range(random, 0, CANCEL_DELAY_S_MAX);
        g_array_append_val(steps, submit);
        if (g_rand_double_range(random, 0, 100) < scenario->cancel_percent)
            g_array_append_val(steps, cancel);
    }
}

static void generate_faults(const mv_scenario *scenario, const mv_scenario_fault *fault,
                            GRand *random, GArray *steps)
{
    const bool targets_machines =
        fault->target == MV_FAULT_COMMAND_LINK || fault->target == MV_FAULT_MACHINE ||
        fault->target == MV_FAULT_MACHINE_HEARTBEATS || fault->target == MV_FAULT_COMMAND_COPIES;
    const gint targets = (gint)(targets_machines ? scenario->machines : scenario->controllers);
    const double interval_s = fault->interval_ms / 1000.0;
    double at = WARM_UP_S + g_rand_double_range(random, 0, interval_s);
    while (at < scenario->seconds) {
        const mv_step begin = {.at = at,
                               .kind = MV_STEP_FAULT_BEGIN,
                               .target_index = (unsigned)g_rand_int_range(random, 0, targets),
                               .target = fault->target,
                               .mode = fault->mode,
                               .delay_ms = fault->delay_ms};
        mv_step end = begin;
        end.kind = MV_STEP_FAULT_END;
        end.at = at + g_rand_double_range(random, fault->min_ms, fault->max_ms + 1) / 1000;
        g_array_append_val(steps, begin);
        g_array_append_val(steps, end);
        at += interval_s * g_rand_double_range(random, 0.5, 1.5);
    }
}

GArray *mv_script_generate(const mv_scenario *scenario, uint32_t seed)
{
    GArray *steps = g_array_new(FALSE, TRUE, sizeof(mv_step));
    g_autoptr(GRand) random = g_rand_new_with_seed(seed);
    generate_jobs(scenario, random, steps);
    for (unsigned i = 0; i < scenario->fault_count; i++)
        generate_faults(scenario, &scenario->faults[i], random, steps);
    g_array_sort(steps, compare_steps);
    return steps;
}

char *mv_step_describe(const mv_step *step)
{
    switch (step->kind) {
    case MV_STEP_SUBMIT:
        return g_strdup_printf("submit j-%06u tasks=%u", step->target_index, step->tasks);
    case MV_STEP_CANCEL:
        return g_strdup_printf("cancel j-%06u", step->target_index);
    default:
        return g_strdup_printf("%s %s %s %u", step->kind == MV_STEP_FAULT_BEGIN ? "begin" : "end",
                               mv_fault_target_name(step->target), mv_fault_mode_name(step->mode),
                               step->target_index);
    }
}
