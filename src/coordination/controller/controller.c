/**
 * Creates and frees a controller, runs its modules at each tick, and passes events that concern a
 * single module to that module.
 */
#include "coordination/controller/controller_internal.h"

#include "coordination/agents/command_queue.h"
#include "coordination/agents/health.h"
#include "coordination/autoscaling/adoption.h"
#include "coordination/autoscaling/cloud_lists.h"
#include "coordination/autoscaling/shard_demands.h"
#include "coordination/autoscaling/instance_requests.h"
#include "coordination/autoscaling/reconciler.h"
#include "coordination/autoscaling/scale_in.h"
#include "coordination/jobs/completion_writer.h"
#include "coordination/membership/election.h"
#include "coordination/membership/partition_cache.h"
#include "coordination/membership/shard_owner.h"
#include "coordination/scheduling/round.h"
#include "coordination/scheduling/services.h"

/* --- creation --- */

mv_controller *mv_controller_new(const mv_settings *settings)
{
    mv_controller *controller = g_new0(mv_controller, 1);
    mv_context *context = &controller->context;
    mv_job_table *jobs = &controller->jobs;
    mv_launch_control *launch_control = &controller->launch_control;
    mv_agents *agents = &controller->agents;
    mv_membership *membership = &controller->membership;
    mv_context_init(context, settings);
    mv_job_table_init(jobs, context);
    mv_launch_control_init(launch_control, context);
    mv_agents_init(agents, context, jobs, launch_control);
    mv_membership_init(membership, context, jobs, launch_control, agents);
    mv_scheduler_init(&controller->scheduler, context, jobs, launch_control, agents);
    mv_autoscaler_init(&controller->autoscaler, context, jobs, agents, membership,
                       &controller->scheduler);
    return controller;
}

void mv_controller_free(mv_controller *controller)
{
    if (!controller)
        return;
    mv_autoscaler_clear(&controller->autoscaler);
    mv_scheduler_clear(&controller->scheduler);
    mv_membership_clear(&controller->membership);
    mv_agents_clear(&controller->agents);
    mv_launch_control_clear(&controller->launch_control);
    mv_job_table_clear(&controller->jobs);
    mv_context_clear(&controller->context);
    g_free(controller);
}

mv_action *mv_controller_next_action(mv_controller *controller)
{
    return mv_action_list_take(&controller->context.actions);
}

/* --- time --- */

void mv_controller_run_due_work(mv_controller *controller)
{
    mv_scheduler_run_due(&controller->scheduler);
    mv_commands_flush(&controller->agents);
}

static void membership_tick(mv_controller *controller)
{
    const mv_context *context = &controller->context;
    mv_membership *membership = &controller->membership;
    if (!mv_lease_session_incarnation(&context->session, &context->clock))
        return;
    if (!mv_election_tick(membership) || !mv_membership_is_leader(membership))
        return;
    mv_shard_grants_tick(membership, &controller->autoscaler.listing.last);
    mv_election_correct_formats(membership);
}

static void health_tick(mv_controller *controller)
{
    mv_agents *agents = &controller->agents;
    mv_adoption_expire_probes(&controller->autoscaler);
    const guint count = mv_health_check_count(agents);
    for (guint i = 0; i < count; i++) {
        mv_machine *machine = mv_health_next_machine(agents);
        if (!machine->shard || !mv_shard_is_owned(&controller->context, machine->shard))
            continue;
        mv_health_check_slowdown(agents, machine);
        mv_services_move_replicas(&controller->scheduler, machine);
        mv_health_check_liveness(agents, machine);
    }
}

static void jobs_tick(mv_controller *controller)
{
    const mv_context *context = &controller->context;
    const mv_membership *membership = &controller->membership;
    if (!mv_lease_session_incarnation(&context->session, &context->clock))
        return;
    mv_completions_complete_jobs(&controller->jobs);
    if (mv_membership_is_leader(membership))
        mv_completions_collect_garbage(&controller->jobs, membership->leader_revision);
    mv_completions_flush(&controller->jobs);
}

void mv_controller_tick(mv_controller *controller, double now, double wall_now)
{
    double gap_s = mv_clock_tick(&controller->context.clock, now, wall_now);
    mv_command_window_adapt(&controller->agents, gap_s);
    mv_partition_cache_remove_departed(&controller->membership);
    mv_link_monitor_tick(controller);
    if (controller->membership.cache.loaded) {
        membership_tick(controller);
        mv_shard_owner_tick(&controller->membership);
        health_tick(controller);
        jobs_tick(controller);
        mv_reconciler_tick(&controller->autoscaler);
    }
    mv_controller_run_due_work(controller);
}

/* --- the session --- */

void mv_controller_session_renewed(mv_controller *controller, double now, uint64_t incarnation,
                                   double sent)
{
    mv_connectivity *connectivity = controller->launch_control.connectivity;
    mv_lease_session *session = &controller->context.session;
    mv_clock_advance(&controller->context.clock, now);
    if (!session->open)
        session->opened_at = sent;
    session->open = incarnation != 0;
    if (!session->open) {
        if (connectivity)
            mv_connectivity_session_lost(connectivity);
        return;
    }
    session->incarnation = incarnation;
    session->confirmed_at = MAX(session->confirmed_at, sent);
    if (connectivity)
        mv_connectivity_session_renewed(connectivity, controller->context.clock.now, incarnation,
                                        sent);
}

/* --- answers to actions --- */

void mv_controller_transaction_completed(mv_controller *controller, double now, uint64_t id,
                                         mv_transaction_result result)
{
    mv_clock_advance(&controller->context.clock, now);
    if (result == MV_TRANSACTION_TOO_LARGE)
        mv_context_reduce_limits(&controller->context);
    mv_membership_transaction_answered(&controller->membership, id, result);
    mv_completions_transaction_answered(&controller->jobs, id, result);
}

void mv_controller_scale_out_completed(mv_controller *controller, double now, uint64_t id,
                                       const GPtrArray *machines, bool refused)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_instance_request_completed(&controller->autoscaler, id, machines, refused);
}

void mv_controller_scale_in_completed(mv_controller *controller, double now, uint64_t id, bool ok)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_scale_in_completed(&controller->autoscaler, id, ok);
}

void mv_controller_machines_listed(mv_controller *controller, double now, uint64_t id,
                                   const GArray *listed, bool more)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_cloud_lists_page_received(&controller->autoscaler, id, listed, more);
}

void mv_controller_types_listed(mv_controller *controller, double now, GArray *types)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_cloud_lists_types_received(&controller->autoscaler, types);
}

/* --- demand --- */

mv_peer_demand mv_controller_shard_demand(mv_controller *controller, double now,
                                          mv_shard_demand *demand)
{
    mv_clock_advance(&controller->context.clock, now);
    return mv_demand_received(&controller->autoscaler, demand);
}

void mv_controller_peer_demand(mv_controller *controller, double now, mv_peer_demand peer_demand)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_demand_answered(&controller->autoscaler, &peer_demand);
}

/* --- limits --- */

void mv_controller_reduce_limits(mv_controller *controller)
{
    mv_context_reduce_limits(&controller->context);
}

unsigned mv_controller_max_writes(const mv_controller *controller)
{
    return controller->context.limits.writes;
}
