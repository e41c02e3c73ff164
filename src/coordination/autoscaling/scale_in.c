#include "coordination/autoscaling/scale_in.h"

#include "coordination/agents/machine.h"
#include "coordination/membership/partition_writer.h"
#include "telemetry/log.h"

/* The leader waits for the response to a scale-in request for this many cloud time-outs. */
#define REQUEST_TIMEOUTS 3.0
/* Consecutive lists that lack a machine of an earlier list, after which the machine may be gone.
 * One list is not enough, because the cloud may return a list older than the list before. */
#define LISTS_MISSED_MAX 2
/* Heartbeat intervals without a heartbeat after which a machine that is missing from the cloud's
 * lists is released. */
#define GONE_HEARTBEATS 2
/* Heartbeat intervals without a heartbeat after which a machine that took too long to boot is
 * released. */
#define BOOT_HEARTBEATS 4
/* Assumed boot time of a machine of unknown type, in seconds. */
#define BOOT_DEFAULT_S 60

static bool has_recent_summary(const mv_context *context, const mv_machine *machine)
{
    return machine->summary_at > 0 && machine->summary_at > context->clock.now - MV_DEMAND_TTL_S;
}

/* Returns whether the cloud does not list a machine any more and the owner of the machine's shard
 * receives no heartbeats from the machine. */
static bool is_gone(const mv_context *context, const mv_machine *machine)
{
    double quiet_s = context->settings->report_s * GONE_HEARTBEATS;
    bool quiet =
        !has_recent_summary(context, machine) || machine->summary.since_heartbeat_s > quiet_s;
    return machine->lists_missed >= LISTS_MISSED_MAX && quiet;
}

static bool has_failed_to_boot(const mv_context *context, const mv_machine *machine)
{
    const mv_machine_type *type = mv_machine_type_of(context, machine);
    double usual_s = type ? type->boot_s : BOOT_DEFAULT_S;
    double timeout_s = context->settings->operator_settings.boot_timeout_factor * usual_s;
    bool took_too_long = context->clock.now - machine->rented_at > timeout_s;
    bool quiet = machine->summary.since_heartbeat_s > context->settings->report_s * BOOT_HEARTBEATS;
    return !machine->summary.has_booted && !mv_clock_is_overloaded(&context->clock) &&
           took_too_long && quiet;
}

/* Returns the reason to return a machine to the cloud; NULL: there is none. */
static const char *release_reason(const mv_context *context, const mv_machine *machine)
{
    if (machine->listed_failed)
        return "failed";
    if (is_gone(context, machine))
        return "gone";
    if (!has_recent_summary(context, machine))
        return NULL;
    if (machine->summary.release_pending)
        return "idle";
    if (machine->summary.failed)
        return "unresponsive";
    /* If the leader owns the machine's shard and has confirmed the machine by a heartbeat, then the
     * leader knows more than the last summary, which may be of a previous owner. Without this rule,
     * a machine that moved from an isolated controller's shard to the leader's got tasks and was
     * released as never booted within the same tenth of a second. */
    bool known_from_heartbeat = machine->shard->owned && machine->confirmed;
    if (!SAFETY_CHECK(RECENT_HEARTBEAT, !known_from_heartbeat))
        return NULL;
    return has_failed_to_boot(context, machine) ? "boot_timeout" : NULL;
}

static bool is_under_way(const mv_autoscaler *autoscaler)
{
    const mv_scale_in_request *request = &autoscaler->scale_in;
    double timeout_s = REQUEST_TIMEOUTS * MV_CLOUD_TIMEOUT_MS / 1000;
    return request->action_id && autoscaler->context->clock.now < request->requested_at + timeout_s;
}

static GPtrArray *collect_releases(const mv_autoscaler *autoscaler)
{
    const mv_context *context = autoscaler->context;
    const GPtrArray *rotation = autoscaler->agents->rotation;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < rotation->len && names->len < MV_SCALE_IN_BATCH; i++) {
        const mv_machine *machine = g_ptr_array_index(rotation, i);
        if (!machine->shard || machine->released)
            continue;
        const char *reason = release_reason(context, machine);
        if (!reason)
            continue;
        mv_info("machine_released",
                "machine=%s reason=%s shard=%u since_heartbeat_s=%.1f booted=%d age_s=%.0f",
                machine->id, reason, machine->shard->index, machine->summary.since_heartbeat_s,
                machine->summary.has_booted, context->clock.now - machine->rented_at);
        g_ptr_array_add(names, g_strdup(machine->id));
    }
    return names;
}

void mv_scale_in_tick(mv_autoscaler *autoscaler)
{
    mv_context *context = autoscaler->context;
    mv_scale_in_request *request = &autoscaler->scale_in;
    if (is_under_way(autoscaler))
        return;
    g_autoptr(GPtrArray) names = collect_releases(autoscaler);
    if (names->len == 0)
        return;
    mv_action *action = mv_action_new(&context->actions, MV_ACTION_SCALE_IN);
    action->machine_names = g_ptr_array_ref(names);
    request->action_id = action->id;
    request->requested_at = context->clock.now;
    g_clear_pointer(&request->machines, g_ptr_array_unref);
    request->machines = g_ptr_array_ref(names);
}

static void mark_released(const mv_autoscaler *autoscaler, const char *name)
{
    mv_machine *machine = mv_agents_find(autoscaler->agents, name);
    mv_membership_mark_released(autoscaler->membership, name);
    if (!machine || !machine->shard)
        return;
    machine->released = true;
    mv_shard_segment(machine->shard, machine->segment)->needs_write = true;
}

void mv_scale_in_completed(mv_autoscaler *autoscaler, uint64_t action_id, bool ok)
{
    mv_context *context = autoscaler->context;
    mv_scale_in_request *request = &autoscaler->scale_in;
    if (request->action_id != action_id)
        return;
    request->action_id = 0;
    if (!ok)
        return;
    for (guint i = 0; i < request->machines->len; i++)
        mark_released(autoscaler, g_ptr_array_index(request->machines, i));
    context->counters.machines_released += request->machines->len;
    for (guint i = 0; i < context->shards->len; i++)
        mv_partition_write(autoscaler->membership, g_ptr_array_index(context->shards, i));
}
