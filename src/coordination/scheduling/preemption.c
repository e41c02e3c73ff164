#include "coordination/scheduling/preemption.h"

#include "coordination/agents/machine.h"
#include "coordination/agents/placement.h"
#include "coordination/scheduling/filter.h"
#include "coordination/scheduling/job_order.h"
#include "coordination/scheduling/quota.h"
#include "coordination/scheduling/scoring.h"
#include "telemetry/log.h"

#include <math.h>

/* A task that may be preempted, and its machine. */
typedef struct {
    mv_machine *machine;
    mv_placement *placement;
    double lost_core_seconds;
} victim;

/* --- which tasks may be preempted, and at what cost --- */

static bool may_preempt(const mv_job *claimant, const mv_job *victim)
{
    const bool higher_priority = claimant->spec.priority < victim->spec.priority;
    /* A service may preempt any work of lower priority, also guaranteed work: replicas are few and
     * small, and users notice a missing replica at once. */
    if (claimant->spec.service && higher_priority)
        return true;
    /* If batch work preempted a replica of a service that precedes all jobs, the replica would
     * preempt that batch work again within a second, in an endless cycle. Therefore only a starved
     * batch job may preempt such a replica. */
    if (mv_job_precedes_all(victim) && !claimant->spec.service && !claimant->starvation_level)
        return false;
    if (claimant->guaranteed && !victim->guaranteed && claimant->team != victim->team)
        return true;
    /* Priority alone does not preempt work within a team's guarantee. */
    return higher_priority && !victim->guaranteed;
}

/* Returns whether a task may be preempted. A task that no heartbeat has shown yet may not, because
 * its launch may still be in flight and cannot be stopped for certain. The first task of a job that
 * had starved may not either, because such a task would be placed and stopped without end. */
static bool is_preemptible(const mv_placement *placement)
{
    return placement->job && placement->reported && !placement->stopping &&
           !placement->preemption_exempt;
}

/* Returns the seconds of run time that are lost if a task stops without writing a checkpoint. */
static double unsaved_run_s(const mv_context *context, const mv_placement *placement)
{
    double ran_s = placement->running_at > 0 ? context->clock.now - placement->running_at : 0;
    double interval_s = placement->job->spec.checkpoint_interval_s;
    return interval_s > 0 ? fmod(ran_s, interval_s) : ran_s;
}

/* Returns whether a task that is preempted for the claimant writes a checkpoint before it stops.
 * The checkpoint must take less time than the task has run since its last checkpoint. A checkpoint
 * can take as long as the claimant's whole start objective (both can be 5 s), so the checkpoint
 * must also end before the claimant misses that objective, unless the claimant has already missed
 * it. */
static bool saves_checkpoint_for(const mv_context *context, const mv_job *claimant,
                                 const mv_placement *placement)
{
    const mv_job_spec *spec = &placement->job->spec;
    if (spec->checkpoint_interval_s <= 0 || placement->running_at == 0)
        return false;
    double waited_s = context->clock.now - claimant->ready_at;
    double left_s = mv_job_start_objective_s(context, claimant) - waited_s - MV_STOP_LATENCY_S;
    bool in_time = left_s < 0 || spec->checkpoint_cost_s < left_s;
    return in_time && spec->checkpoint_cost_s < unsaved_run_s(context, placement);
}

/* Returns the core seconds that stopping a task for the claimant would waste. A replica is serving
 * users now, so the replica gets the highest possible cost and is preempted last. */
static double lost_core_seconds(const mv_context *context, const mv_job *claimant,
                                const mv_placement *placement)
{
    if (placement->service)
        return G_MAXFLOAT;
    double lost_s = saves_checkpoint_for(context, claimant, placement)
                        ? placement->job->spec.checkpoint_cost_s
                        : unsaved_run_s(context, placement);
    return lost_s * placement->cores;
}

static double loss_per_core(const victim *victim)
{
    return victim->lost_core_seconds / MAX(victim->placement->cores, MV_RESOURCE_EPSILON);
}

static gint compare_losses_per_core(gconstpointer left, gconstpointer right)
{
    double difference = loss_per_core(left) - loss_per_core(right);
    return difference < 0 ? -1 : difference > 0;
}

static gint compare_losses(gconstpointer left, gconstpointer right)
{
    const victim *victim = left, *other = right;
    return victim->lost_core_seconds < other->lost_core_seconds
               ? -1
               : victim->lost_core_seconds > other->lost_core_seconds;
}

/* --- preempting --- */

static void preempt(mv_scheduler *scheduler, const mv_job *claimant, const victim *victim,
                    const char *event)
{
    mv_placement *placement = victim->placement;
    placement->skip_checkpoint = !saves_checkpoint_for(scheduler->context, claimant, placement);
    mv_placement_stop(scheduler->agents, victim->machine, placement);
    scheduler->context->counters.preempted++;
    mv_debug(event, "task=%s/%u machine=%s preempting_job=%s lost_core_s=%.0f", placement->job_id,
             placement->task, victim->machine->id, claimant->spec.id, victim->lost_core_seconds);
}

/* --- room on machines --- */

typedef struct {
    mv_machine *machine;
    double lost_core_seconds;
} preemption_plan;

/* Replaces `victims` by the tasks on a machine that the claimant may preempt, the smallest loss per
 * core first. */
static void collect_victims(const mv_context *context, const mv_job *claimant, mv_machine *machine,
                            GArray *victims)
{
    g_array_set_size(victims, 0);
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (!is_preemptible(placement) || !may_preempt(claimant, placement->job))
            continue;
        victim victim = {.machine = machine,
                         .placement = placement,
                         .lost_core_seconds = lost_core_seconds(context, claimant, placement)};
        g_array_append_val(victims, victim);
    }
    if (victims->len > 1)
        g_array_sort(victims, compare_losses_per_core);
}

/* Returns how many of the victims, taken in order, must stop so that a task of the job fits on the
 * machine; -1 if the task would not fit even if all victims stopped. Sets `*lost_core_seconds` to
 * the sum of the losses of the victims that must stop. */
static int count_victims_needed(const mv_context *context, const mv_job *job,
                                const mv_machine *machine, const GArray *victims,
                                double *lost_core_seconds)
{
    mv_resources available = mv_machine_future_available(context, machine);
    *lost_core_seconds = 0;
    for (guint count = 0; count <= victims->len; count++) {
        if (mv_job_fits_resources(job, &available))
            return (int)count;
        if (count == victims->len)
            break;
        const victim *next = &g_array_index(victims, victim, count);
        mv_resources_add_placement(&available, next->placement, 1);
        *lost_core_seconds += next->lost_core_seconds;
    }
    return -1;
}

static gint compare_plans(gconstpointer left, gconstpointer right)
{
    const preemption_plan *plan = left, *other = right;
    if (plan->lost_core_seconds != other->lost_core_seconds)
        return plan->lost_core_seconds < other->lost_core_seconds ? -1 : 1;
    guint index = plan->machine->rotation_index, other_index = other->machine->rotation_index;
    return index < other_index ? -1 : index > other_index;
}

/* Returns the core seconds that fetching the image adds to the cost of preempting on a machine. If
 * the fetch takes longer than the job's start objective allows, room on this machine is worth less
 * to the job, so the fetch time of all cores of a task is added; otherwise nothing is added. */
static double image_penalty(const mv_context *context, const mv_job *job, const mv_machine *machine)
{
    double fetch_s = mv_image_fetch_remaining_s(context, job, machine);
    return fetch_s > mv_job_start_objective_s(context, job) ? fetch_s * job->spec.cores : 0;
}

static bool is_candidate(const mv_context *context, mv_job *job, const mv_machine *machine)
{
    return machine->shard == job->home_shard && mv_job_allows_machine(context, job, machine);
}

/* Returns the machines where preemption can make room for a task of the job, cheapest first; the
 * caller frees the array. `victims` is scratch space. */
static GArray *plan_preemptions(const mv_scheduler *scheduler, mv_job *job, GArray *victims)
{
    const mv_context *context = scheduler->context;
    GArray *plans = g_array_new(FALSE, FALSE, sizeof(preemption_plan));
    for (guint i = 0; i < scheduler->schedulable->len; i++) {
        mv_machine *machine = g_ptr_array_index(scheduler->schedulable, i);
        if (!is_candidate(context, job, machine))
            continue;
        preemption_plan plan = {.machine = machine};
        collect_victims(context, job, machine, victims);
        if (count_victims_needed(context, job, machine, victims, &plan.lost_core_seconds) < 0)
            continue;
        plan.lost_core_seconds += image_penalty(context, job, machine);
        g_array_append_val(plans, plan);
    }
    g_array_sort(plans, compare_plans);
    return plans;
}

/* Makes room for one task of the job on a machine and nominates that room for the job. Returns
 * whether this was possible. `victims` is scratch space. */
static bool preempt_on_machine(mv_scheduler *scheduler, mv_job *job, mv_machine *machine,
                               GArray *victims)
{
    const mv_context *context = scheduler->context;
    double lost;
    collect_victims(context, job, machine, victims);
    int needed = count_victims_needed(context, job, machine, victims, &lost);
    if (needed < 0)
        return false;
    for (int i = 0; i < needed; i++)
        preempt(scheduler, job, &g_array_index(victims, victim, (guint)i), "task_preempted");
    mv_machine_nominate(scheduler->agents, machine, job);
    return true;
}

/* Makes room for up to `needed` tasks of the job. One sorted list of machines serves all
 * these tasks.
 */
static void preempt_on_machines(mv_scheduler *scheduler, mv_job *job, unsigned needed)
{
    g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(victim));
    g_autoptr(GArray) plans = plan_preemptions(scheduler, job, victims);
    unsigned made = 0;
    for (guint i = 0; i < plans->len && made < needed; i++) {
        mv_machine *machine = g_array_index(plans, preemption_plan, i).machine;
        while (made < needed && !mv_quota_is_exhausted(job)) {
            if (!preempt_on_machine(scheduler, job, machine, victims))
                break;
            made++;
        }
    }
}

/* --- room within the team's limit --- */

/* Returns whether a task of the same team may be preempted for the job: the task has a lower
 * priority and at least as many cores as a task of the job, so stopping the task frees enough
 * cores within the team's limit. */
static bool may_preempt_within_team(const mv_job *job, const mv_placement *placement)
{
    return is_preemptible(placement) && placement->team == job->team &&
           placement->cores >= job->spec.cores &&
           placement->job->spec.priority > job->spec.priority;
}

static void collect_team_victims(const mv_context *context, const mv_job *job, mv_machine *machine,
                                 GArray *victims)
{
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (!may_preempt_within_team(job, placement))
            continue;
        victim victim = {.machine = machine,
                         .placement = placement,
                         .lost_core_seconds = lost_core_seconds(context, job, placement)};
        g_array_append_val(victims, victim);
    }
}

/* Preempts up to `needed` tasks of the job's own team that have a lower priority, those with the
 * smallest loss first, and nominates their room for the job. Returns how many were preempted. */
static unsigned preempt_within_team(mv_scheduler *scheduler, mv_job *job, unsigned needed)
{
    const mv_context *context = scheduler->context;
    g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(victim));
    for (guint i = 0; i < scheduler->schedulable->len; i++) {
        mv_machine *machine = g_ptr_array_index(scheduler->schedulable, i);
        if (is_candidate(context, job, machine))
            collect_team_victims(context, job, machine, victims);
    }
    g_array_sort(victims, compare_losses);
    unsigned count = MIN(needed, victims->len);
    for (unsigned i = 0; i < count; i++) {
        const victim *chosen = &g_array_index(victims, victim, i);
        preempt(scheduler, job, chosen, "task_preempted_by_team");
        mv_machine_nominate(scheduler->agents, chosen->machine, job);
    }
    return count;
}

void mv_preempt_for_job(mv_scheduler *scheduler, mv_job *job)
{
    const mv_context *context = scheduler->context;
    const guint machines = scheduler->schedulable->len;
    if (!mv_job_is_latency_sensitive(context, job))
        return;
    unsigned needed = MIN(job->pending->len, MV_PREEMPTION_BATCH);
    /* A nomination lasts for one round. In a small fleet an examination costs little, so the
     * machines are examined and nominated again in every round; in a large fleet the job waits for
     * MV_PREEMPTION_INTERVAL_S between two examinations. */
    if (machines > MV_HEALTH_CHECK_MIN)
        job->next_preemption_at = context->clock.now + MV_PREEMPTION_INTERVAL_S;
    scheduler->machines_examined += MV_PREEMPTION_COST_FACTOR * machines;
    if (mv_quota_is_exhausted(job))
        needed -= preempt_within_team(scheduler, job, needed);
    preempt_on_machines(scheduler, job, needed);
}
