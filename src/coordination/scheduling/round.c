#include "coordination/scheduling/round.h"

#include "coordination/agents/machine.h"
#include "coordination/scheduling/binding.h"
#include "coordination/scheduling/filter.h"
#include "coordination/scheduling/job_order.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/quota.h"

/* Lists the machines that may take tasks in this round. The list serves all jobs of the round. */
static void collect_schedulable_machines(mv_scheduler *scheduler)
{
    const mv_context *context = scheduler->context;
    const GPtrArray *rotation = scheduler->agents->rotation;
    g_ptr_array_set_size(scheduler->schedulable, 0);
    for (guint i = 0; i < rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(rotation, i);
        if (mv_machine_is_schedulable(context, machine) &&
            context->clock.now >= machine->launches_paused_until)
            g_ptr_array_add(scheduler->schedulable, machine);
    }
}

static void schedule_job(mv_scheduler *scheduler, mv_job *job)
{
    const double now = scheduler->context->clock.now;
    if (!job->pending->len || now < job->backoff_until)
        return;
    if (mv_job_may_be_running(scheduler, job) || !mv_launch_allowed(scheduler->launch_control, job))
        return;
    mv_bind_job(scheduler, job);
    mv_reserve_for_starved(scheduler, job);
    if (job->pending->len && now >= job->next_preemption_at)
        mv_preempt_for_job(scheduler, job);
}

static void run_round(mv_scheduler *scheduler)
{
    mv_context *context = scheduler->context;
    context->counters.rounds++;
    g_autoptr(GPtrArray) jobs = mv_scheduler_collect_jobs(scheduler);
    mv_scheduler_rank_jobs(scheduler, jobs);
    scheduler->machines_examined = jobs->len;
    g_ptr_array_set_size(scheduler->unschedulable, 0);
    if (context->counters.tasks_pending == 0 || !mv_launch_allowed_any(scheduler->launch_control))
        return;
    mv_quota_count_unknown_use(scheduler);
    collect_schedulable_machines(scheduler);
    mv_machines_clear_nominations(scheduler->agents);
    mv_scheduler_sort_by_claim(jobs);
    for (guint i = 0; i < jobs->len; i++)
        schedule_job(scheduler, g_ptr_array_index(jobs, i));
}

/* Returns the shortest time in seconds until the next round. The time grows with the number of
 * pending tasks and with the number of machines that the last round examined. */
static double round_interval_s(const mv_scheduler *scheduler)
{
    unsigned pending = scheduler->context->counters.tasks_pending;
    double for_tasks_s = MIN(MV_ROUND_INTERVAL_MIN_S + MV_ROUND_INTERVAL_PER_TASK_S * pending,
                             MV_ROUND_INTERVAL_MAX_S);
    double for_machines_s = MV_ROUND_INTERVAL_PER_MACHINE_S * scheduler->machines_examined;
    return MIN(MAX(for_tasks_s, for_machines_s), MV_ROUND_DEADLINE_S);
}

void mv_scheduler_run_due(mv_scheduler *scheduler)
{
    mv_context *context = scheduler->context;
    const double now = context->clock.now;
    /* Some obstacles to placing a task end without an event that requests a round: a pause of
     * launches expires, the wait for an image ends, or a machine without a recent heartbeat sends
     * one. When only events requested rounds, tasks waited a minute for the next event. */
    if (context->counters.tasks_pending && now >= scheduler->next_round_at + MV_ROUND_DEADLINE_S)
        context->round_requested = true;
    if (!context->round_requested || now < scheduler->next_round_at)
        return;
    context->round_requested = false;
    run_round(scheduler);
    context->counters.machines_examined += scheduler->machines_examined;
    scheduler->next_round_at = now + round_interval_s(scheduler);
}
