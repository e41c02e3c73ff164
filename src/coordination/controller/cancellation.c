/**
 * Cancellations of jobs by users: whose acknowledgement a cancellation needs, and the
 * acknowledgement by the owner of the job's shard.
 *
 * Any controller may receive a user's cancellation, but only the owner of the job's shard launches
 * the job's tasks, also while the owner is cut off from the state service and cannot learn that
 * another controller has written the cancellation. Therefore the owner acknowledges a cancellation
 * before any controller writes it and answers the user.
 */
#include "coordination/controller/controller_internal.h"

#include "coordination/agents/placement.h"
#include "telemetry/log.h"

bool mv_controller_shard_grant(const mv_controller *controller, unsigned shard_index,
                               mv_shard_grant *grant)
{
    const mv_context *context = &controller->context;
    if (shard_index >= context->shards->len)
        return false;
    const mv_shard *shard = g_ptr_array_index(context->shards, shard_index);
    if (!shard->revision || !mv_membership_holder_is_alive(&controller->membership, &shard->holder))
        return false;
    *grant = (mv_shard_grant){.shard = shard_index,
                              .term = shard->holder.term,
                              .revision = shard->revision,
                              .is_own = shard->owned};
    g_strlcpy(grant->node, shard->holder.node, sizeof grant->node);
    return true;
}

/* Returns whether the shard was granted to this process under this term, as far as the state cache
 * shows. The lease may have expired: then this controller launches nothing, but it could launch
 * again when it reaches the state service again. */
static bool holds_grant(const mv_controller *controller, unsigned shard_index, uint64_t term)
{
    const GPtrArray *shards = controller->context.shards;
    if (shard_index >= shards->len)
        return false;
    const mv_shard *shard = g_ptr_array_index(shards, shard_index);
    return shard->owned && shard->holder.term == term;
}

void mv_cancellation_begin(mv_controller *controller, mv_job *job)
{
    if (job->cancelling)
        return;
    mv_job_begin_cancellation(&controller->context, job);
    mv_placements_cancel(&controller->agents, job);
    controller->context.counters.cancellations_begun++;
    mv_debug("cancellation_begun", "job=%s placed=%u running=%u", job->spec.id, job->tasks_placed,
             job->tasks_running);
}

mv_cancellation_answer mv_controller_acknowledge_cancellation(mv_controller *controller, double now,
                                                              const char *job_id,
                                                              unsigned shard_index, uint64_t term)
{
    mv_clock_advance(&controller->context.clock, now);
    if (!holds_grant(controller, shard_index, term))
        return MV_CANCELLATION_NOT_OWNER;
    mv_job *job = mv_job_table_find(&controller->jobs, job_id);
    if (!job || job->home_shard->index != shard_index)
        return MV_CANCELLATION_PENDING; /* the state cache does not show the job yet, or any more */
    mv_cancellation_begin(controller, job);
    mv_controller_run_due_work(controller);
    return SAFETY_CHECK(ACKNOWLEDGED, mv_job_launches_are_over(job)) ? MV_CANCELLATION_ACKNOWLEDGED
                                                                     : MV_CANCELLATION_PENDING;
}
