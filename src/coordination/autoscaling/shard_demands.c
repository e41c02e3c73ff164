#include "coordination/autoscaling/shard_demands.h"

#include "coordination/agents/machine.h"
#include "coordination/autoscaling/idle_machines.h"
#include "coordination/autoscaling/scalable_jobs.h"
#include "coordination/jobs/runtime_estimator.h"
#include "coordination/scheduling/defragmentation.h"
#include "coordination/scheduling/services.h"

#include <string.h>

/* --- pending tasks --- */

static bool has_task_in_zone(const mv_job *job, guint zone)
{
    return zone < job->tasks_in_zone->len && g_array_index(job->tasks_in_zone, unsigned, zone) > 0;
}

/* Returns the zone in which the next task of a job has to run: the zone that the job requires, or,
 * if all its tasks must share a zone, the zone of the tasks that are placed. NULL: any zone. */
static const char *required_zone(const mv_agents *agents, const mv_job *job)
{
    if (job->spec.has_zone)
        return job->spec.zone_name;
    if (!job->spec.same_zone || !job->tasks_placed)
        return NULL;
    GHashTableIter iter;
    gpointer name, number;
    g_hash_table_iter_init(&iter, agents->zones);
    while (g_hash_table_iter_next(&iter, &name, &number))
        if (has_task_in_zone(job, GPOINTER_TO_UINT(number)))
            return name;
    return NULL;
}

static mv_resource_demand demand_of_job(const mv_autoscaler *autoscaler, mv_job *job,
                                        unsigned count)
{
    const mv_context *context = autoscaler->context;
    const mv_job_spec *spec = &job->spec;
    mv_resource_demand demand = {
        .cores = spec->cores,
        .gpus = spec->gpus,
        .ram_gb = spec->ram_gb,
        .runtime_s = mv_job_estimated_runtime(autoscaler->jobs, job),
        .type_mask = mv_job_type_mask(context, job),
        .spot = spec->spot,
        .service = spec->service,
        .starving = mv_job_is_starving(context, job),
        /* Capacity that a service waits for does not become free by itself, so its demand is always
         * urgent. */
        .urgent = job->guaranteed || spec->priority <= MV_PRIORITY_HIGH || spec->service,
        .count = count,
    };
    const char *zone = required_zone(autoscaler->agents, job);
    if (zone)
        g_strlcpy(demand.zone_name, zone, sizeof demand.zone_name);
    return demand;
}

static GArray *collect_demands(const mv_autoscaler *autoscaler, const mv_shard *shard)
{
    GArray *demands = g_array_new(FALSE, TRUE, sizeof(mv_resource_demand));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, autoscaler->jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mv_job *job = value;
        if (!job->team || job->home_shard != shard)
            continue;
        unsigned count = mv_job_scalable_tasks(job);
        if (!count || autoscaler->context->clock.now < job->backoff_until)
            continue;
        mv_resource_demand demand = demand_of_job(autoscaler, job, count);
        g_array_append_val(demands, demand);
    }
    if (shard->reserve.count)
        g_array_append_val(demands, shard->reserve);
    return demands;
}

/* --- machines --- */

/* Returns whether a machine is quarantined and certainly runs no tasks. A new owner of the shard
 * knows no task of a machine until the machine has reported under the owner's fencing token.
 * Without that condition, a machine that had been quarantined under an earlier grant was returned
 * to the cloud while it ran tasks. */
static bool is_empty_and_quarantined(const mv_machine *machine)
{
    bool rebuilt = machine->confirmed && !machine->unknown_tasks;
    return machine->quarantined && SAFETY_CHECK(QUARANTINE_REBUILT, rebuilt) &&
           !machine->placements->len;
}

/* Returns the seconds since the owner received the last heartbeat from a machine, or since the
 * owner began to accept the machine's heartbeats, if that is later. A new owner cannot have
 * received one before. Without this rule, each failover released the whole fleet as never booted.
 */
static double heartbeat_age_s(const mv_context *context, const mv_shard *shard,
                              const mv_machine *machine)
{
    double listening_since = MAX(shard->listening_since, machine->joined_partition_at);
    return context->clock.now - MAX(machine->last_heartbeat_at, listening_since);
}

static bool needs_fencing(const mv_context *context, const mv_machine *machine)
{
    return g_hash_table_size(machine->uncertain_attempts) > 0 &&
           context->clock.now > machine->uncertain_since + MV_FENCE_AFTER_S;
}

static bool is_departing(const mv_context *context, const mv_machine *machine)
{
    return machine->quarantined || machine->reclaim_at > 0 ||
           (machine->confirmed && mv_machine_controller_unreachable(context, machine));
}

static bool is_recently_reported(const mv_context *context, const mv_machine *machine)
{
    double timeout_s = MV_HEARTBEAT_TIMEOUT_INTERVALS * context->settings->report_s;
    return context->clock.now - machine->last_heartbeat_at < timeout_s;
}

static mv_machine_summary summarize(const mv_context *context, const mv_shard *shard,
                                    const mv_machine *machine)
{
    const bool is_idle = machine->confirmed && !machine->placements->len;
    const mv_resources services = mv_machine_service_resources(machine);
    mv_machine_summary summary = {
        .idle_s = is_idle ? context->clock.now - machine->idle_since : 0,
        .since_heartbeat_s = heartbeat_age_s(context, shard, machine),
        .used_cores = machine->allocated.cores,
        .used_ram_gb = machine->allocated.ram_gb,
        .service_cores = services.cores,
        .service_ram_gb = services.ram_gb,
        .needs_fencing = needs_fencing(context, machine),
        .release_pending = machine->release_pending || is_empty_and_quarantined(machine),
        .failed = machine->failed,
        .departing = is_departing(context, machine),
        .transferable_revision = machine->transferable_revision,
        /* An occupied machine has booted, because an owner has used it, even if this owner received
         * no heartbeat from it. Without this rule, an owner that reached no machine reported all
         * machines that its predecessor had used as never booted, and an owner that waited for a
         * machine to show a raised fencing token reported that machine as never booted. */
        .has_booted = machine->last_heartbeat_at > 0 || machine->occupied,
        .recently_reported = is_recently_reported(context, machine),
        .evicted_for_services = machine->evicting,
    };
    g_strlcpy(summary.id, machine->id, sizeof summary.id);
    return summary;
}

/* Counts of a shard's machines by reachability. */
typedef struct {
    unsigned recently_reported; /* the owner recently received a heartbeat */
    unsigned unresponsive;      /* MV_PROBES_FAILED_MAX or more commands in a row got no response */
    unsigned unreachable; /* MV_UNREACHABLE_COMMANDS or more commands got no response, although the
                             heartbeats of the machine may arrive */
    unsigned confirmed;   /* sent a heartbeat under the owner's present fencing token */
} reachability;

static GArray *summarize_machines(const mv_autoscaler *autoscaler, const mv_shard *shard,
                                  reachability *counts)
{
    const GPtrArray *rotation = autoscaler->agents->rotation;
    GArray *summaries = g_array_new(FALSE, TRUE, sizeof(mv_machine_summary));
    for (guint i = 0; i < rotation->len; i++) {
        const mv_machine *machine = g_ptr_array_index(rotation, i);
        if (machine->shard != shard)
            continue;
        mv_machine_summary summary = summarize(autoscaler->context, shard, machine);
        g_array_append_val(summaries, summary);
        counts->recently_reported += summary.recently_reported;
        counts->unresponsive += machine->commands_failed >= MV_PROBES_FAILED_MAX;
        counts->unreachable += machine->unanswered_commands >= MV_UNREACHABLE_COMMANDS;
        counts->confirmed += machine->confirmed;
    }
    return summaries;
}

/* --- resigning --- */

/* Returns whether a shard of at least MV_LARGE_SHARD_MACHINES machines received no heartbeat in the
 * last MV_LARGE_SHARD_TIMEOUT_INTERVALS. Of so many machines, at least one reports in every
 * interval, so one interval without any heartbeat is a sign that the owner is isolated. */
static bool is_large_and_quiet(const mv_context *context, const mv_shard *shard)
{
    double reported_at = MAX(shard->last_heartbeat_at, shard->listening_since);
    double timeout_s = MV_LARGE_SHARD_TIMEOUT_INTERVALS * context->settings->report_s;
    return shard->machine_count >= MV_LARGE_SHARD_MACHINES &&
           context->clock.now > reported_at + timeout_s;
}

/* Returns whether the owner should give up the shard to another controller. If no machine reports
 * to the owner and several answer no commands, or if the commands to most machines get no response,
 * then the owner is more likely isolated than all these machines have failed or become unreachable.
 */
static bool should_resign(const mv_context *context, const mv_shard *shard,
                          const reachability *counts)
{
    bool no_machine_reports = counts->recently_reported == 0 || is_large_and_quiet(context, shard);
    bool lost_contact =
        counts->unresponsive > 1 && no_machine_reports && !mv_clock_is_overloaded(&context->clock);
    return lost_contact || (shard->heartbeats_only && counts->unreachable > 1);
}

static mv_shard_demand *build_shard_demand(const mv_autoscaler *autoscaler, mv_shard *shard)
{
    const mv_context *context = autoscaler->context;
    reachability counts = {0};
    mv_shard_demand *demand = g_new0(mv_shard_demand, 1);
    g_strlcpy(demand->node, context->settings->node_name, sizeof demand->node);
    demand->incarnation = context->session.incarnation;
    demand->term = shard->holder.term;
    demand->shard = shard->index;
    demand->demands = collect_demands(autoscaler, shard);
    demand->machines = summarize_machines(autoscaler, shard, &counts);
    shard->heartbeats_only = counts.unreachable > 0 && 2 * counts.unreachable > counts.confirmed;
    demand->resigning = should_resign(context, shard, &counts);
    return demand;
}

/* --- the leader's side --- */

static void accept_demand(const mv_autoscaler *autoscaler, mv_shard *shard, mv_shard_demand *demand)
{
    const double now = autoscaler->context->clock.now;
    for (guint i = 0; i < demand->machines->len; i++) {
        const mv_machine_summary *summary = &g_array_index(demand->machines, mv_machine_summary, i);
        mv_machine *machine = mv_agents_find(autoscaler->agents, summary->id);
        if (summary->recently_reported)
            shard->resignations = 0;
        if (!machine || machine->shard != shard)
            continue;
        machine->summary = *summary;
        machine->summary_at = now;
        if (summary->needs_fencing)
            mv_shard_segment(shard, machine->segment)->needs_write = true;
    }
    mv_shard_demand_free(shard->demand);
    shard->demand = demand;
    shard->demand_received_at = now;
}

static mv_peer_demand demand_of_peers(const mv_context *context, const mv_shard *shard)
{
    mv_peer_demand peer_demand = {0};
    for (guint i = 0; i < context->shards->len; i++) {
        const mv_shard *peer = g_ptr_array_index(context->shards, i);
        if (peer == shard)
            continue;
        peer_demand.idle_machines_needed = peer_demand.idle_machines_needed || peer->demand_unmet;
        peer_demand.starving = peer_demand.starving || peer->starving;
        peer_demand.service_types |= peer->service_types_lacking;
    }
    return peer_demand;
}

static mv_shard *find_granted_shard(const mv_context *context, const mv_shard_demand *demand)
{
    if (demand->shard >= context->shards->len)
        return NULL;
    mv_shard *shard = g_ptr_array_index(context->shards, demand->shard);
    /* The term must match too: demand that the same process published under an earlier grant is
     * stale. */
    bool same_grant = shard->holder.incarnation == demand->incarnation &&
                      shard->holder.term == demand->term &&
                      strcmp(shard->holder.node, demand->node) == 0;
    return same_grant ? shard : NULL;
}

mv_peer_demand mv_demand_received(mv_autoscaler *autoscaler, mv_shard_demand *demand)
{
    mv_context *context = autoscaler->context;
    mv_shard *shard = find_granted_shard(context, demand);
    if (!mv_membership_is_leader(autoscaler->membership) || !shard) {
        mv_context_count_stale(context, "demand", demand->node);
        mv_shard_demand_free(demand);
        return (mv_peer_demand){0};
    }
    accept_demand(autoscaler, shard, demand);
    return demand_of_peers(context, shard);
}

void mv_demand_answered(mv_autoscaler *autoscaler, const mv_peer_demand *peer_demand)
{
    mv_received_peer_demand *received = &autoscaler->peer_demand;
    const double now = autoscaler->context->clock.now;
    if (peer_demand->idle_machines_needed)
        received->idle_machines_needed_at = now;
    if (peer_demand->starving)
        received->starving_at = now;
    if (peer_demand->service_types)
        received->service_types_needed_at = now;
    received->service_types = peer_demand->service_types;
}

/* --- publishing --- */

static bool is_due(const mv_context *context, const mv_shard *shard)
{
    double interval_s =
        MV_DEMAND_INTERVAL_S + MV_DEMAND_INTERVAL_PER_MACHINE_S * shard->machine_count;
    return mv_shard_is_owned(context, shard) &&
           context->clock.now >= shard->demand_published_at + interval_s;
}

static void manage_machines(mv_autoscaler *autoscaler, mv_shard *shard)
{
    mv_services_update_reserve(autoscaler->scheduler, shard);
    mv_defragment(autoscaler->scheduler, shard);
    mv_idle_machines_release(autoscaler, shard);
    mv_idle_machines_evict_for_services(autoscaler, shard);
    mv_idle_machines_update_transferable(autoscaler, shard);
}

static void publish(mv_autoscaler *autoscaler, mv_shard *shard, mv_shard_demand *demand)
{
    const mv_membership *membership = autoscaler->membership;
    mv_context *context = autoscaler->context;
    if (mv_membership_is_leader(membership)) {
        accept_demand(autoscaler, shard, demand);
        mv_peer_demand peer_demand = demand_of_peers(context, shard);
        mv_demand_answered(autoscaler, &peer_demand);
    } else if (membership->leader_revision) {
        mv_action *action = mv_action_new(&context->actions, MV_ACTION_PUBLISH_DEMAND);
        action->demand = demand;
        g_strlcpy(action->to, membership->leader.node, sizeof action->to);
    } else {
        mv_shard_demand_free(demand);
    }
}

void mv_demand_publish(mv_autoscaler *autoscaler)
{
    const mv_context *context = autoscaler->context;
    for (guint i = 0; i < context->shards->len; i++) {
        mv_shard *shard = g_ptr_array_index(context->shards, i);
        if (!is_due(context, shard))
            continue;
        shard->demand_published_at = context->clock.now;
        manage_machines(autoscaler, shard);
        publish(autoscaler, shard, build_shard_demand(autoscaler, shard));
    }
}
