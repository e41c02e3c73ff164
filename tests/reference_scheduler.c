#include "reference_scheduler.h"

#include "coordination/agents/machine.h"
#include "coordination/scheduling/binding.h"
#include "coordination/scheduling/filter.h"
#include "coordination/scheduling/scoring.h"

static unsigned mismatches;

/* Returns the machine that the reference definition chooses for one task of the job; NULL if no
 * machine has room. The function scores each machine anew and does not bind in batches. */
static const mv_machine *choose_by_reference(const mv_scheduler *scheduler, mv_job *job)
{
    const GPtrArray *rotation = scheduler->agents->rotation;
    const mv_context *context = scheduler->context;
    const mv_machine *best = NULL;
    mv_placement_score best_score = {0};
    for (guint i = 0; i < rotation->len; i++) {
        guint index = (scheduler->next_in_rotation + i) % rotation->len;
        const mv_machine *machine = g_ptr_array_index(rotation, index);
        if (context->clock.now < machine->launches_paused_until ||
            !mv_machine_may_take(context, job, machine))
            continue;
        mv_placement_score score = mv_score_machine(scheduler, job, machine);
        if (best && !mv_score_is_better(&score, &best_score))
            continue;
        best = machine;
        best_score = score;
    }
    return best;
}

void mv_binding_observed(const mv_scheduler *scheduler, mv_job *job, const mv_machine *machine)
{
    const mv_machine *reference = choose_by_reference(scheduler, job);
    mismatches += !reference || reference != machine;
}

unsigned reference_mismatches(void)
{
    return mismatches;
}
