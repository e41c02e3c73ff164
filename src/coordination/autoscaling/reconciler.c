#include "coordination/autoscaling/reconciler.h"

#include "coordination/autoscaling/cloud_lists.h"
#include "coordination/autoscaling/shard_demands.h"
#include "coordination/autoscaling/instance_requests.h"
#include "coordination/autoscaling/planner.h"
#include "coordination/autoscaling/scale_in.h"
#include "coordination/membership/partition_writer.h"
#include "telemetry/log.h"

static void forget_shard_demands(const mv_context *context)
{
    for (guint i = 0; i < context->shards->len; i++) {
        mv_shard *shard = g_ptr_array_index(context->shards, i);
        g_array_set_size(shard->joining, 0);
        g_clear_pointer(&shard->demand, mv_shard_demand_free);
        shard->demand_received_at = 0;
    }
}

/* Discards requests, lists and demand when this controller gains or loses leadership. A controller
 * that has lost it must not continue the requests, and a new leader has none of its own yet. */
static void leadership_changed(mv_autoscaler *autoscaler)
{
    g_ptr_array_set_size(autoscaler->requests, 0);
    forget_shard_demands(autoscaler->context);
    autoscaler->context->catalog.request_id = 0;
    autoscaler->listing.action_id = 0;
    autoscaler->listing.last.complete = false;
    autoscaler->scale_in.action_id = 0;
    g_clear_pointer(&autoscaler->scale_in.machines, g_ptr_array_unref);
    mv_info("leadership_changed", "leader=%d term=%" G_GUINT64_FORMAT,
            autoscaler->membership->leading, autoscaler->membership->leader.term);
}

static void reconcile_partitions(const mv_autoscaler *autoscaler)
{
    const mv_context *context = autoscaler->context;
    for (guint i = 0; i < context->shards->len; i++) {
        mv_shard *shard = g_ptr_array_index(context->shards, i);
        if (mv_transaction_slot_busy(&shard->partition_transaction, &context->clock))
            continue;
        mv_partition_reconcile(autoscaler->membership, shard);
        mv_partition_write(autoscaler->membership, shard);
    }
}

void mv_reconciler_tick(mv_autoscaler *autoscaler)
{
    mv_membership *membership = autoscaler->membership;
    mv_demand_publish(autoscaler);
    if (mv_membership_update_leading(membership))
        leadership_changed(autoscaler);
    /* This call must follow leadership_changed(), which discards list requests. In the other order,
     * a new leader's first machine list request was discarded as soon as it had been sent. */
    mv_cloud_lists_request(autoscaler);
    if (!membership->leading)
        return;
    mv_membership_forget_released(membership);
    mv_instance_requests_tick(autoscaler);
    reconcile_partitions(autoscaler);
    if (!mv_membership_may_change_fleet(membership))
        return;
    mv_planner_run(autoscaler);
    mv_scale_in_tick(autoscaler);
}
