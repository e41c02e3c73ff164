#include "coordination/autoscaling/adoption.h"

#include "coordination/agents/command_list.h"
#include "telemetry/log.h"

#include <string.h>

/* --- adoption --- */

static bool is_joining(const mv_shard *shard, const char *machine)
{
    for (guint i = 0; i < shard->joining->len; i++)
        if (strcmp(g_array_index(shard->joining, mv_partition_member, i).id, machine) == 0)
            return true;
    return false;
}

bool mv_adoption_is_member(const mv_autoscaler *autoscaler, const char *machine)
{
    const GPtrArray *shards = autoscaler->context->shards;
    for (guint i = 0; i < shards->len; i++)
        if (is_joining(g_ptr_array_index(shards, i), machine))
            return true;
    const mv_machine *known = mv_agents_find(autoscaler->agents, machine);
    return known && known->shard;
}

static unsigned shard_size(const mv_shard *shard)
{
    return shard->joining->len + shard->machine_count;
}

static mv_shard *smallest_shard(const mv_context *context)
{
    mv_shard *smallest = g_ptr_array_index(context->shards, 0);
    for (guint i = 1; i < context->shards->len; i++) {
        mv_shard *shard = g_ptr_array_index(context->shards, i);
        if (shard_size(shard) < shard_size(smallest))
            smallest = shard;
    }
    return smallest;
}

void mv_adoption_adopt(mv_autoscaler *autoscaler, const mv_partition_member *member)
{
    const mv_context *context = autoscaler->context;
    if (context->shards->len == 0 ||
        mv_membership_was_released(autoscaler->membership, member->id) ||
        mv_adoption_is_member(autoscaler, member->id))
        return;
    mv_shard *shard = smallest_shard(context);
    g_array_append_val(shard->joining, *member);
    mv_info("machine_adopted", "machine=%s shard=%u", member->id, shard->index);
}

/* --- probes --- */

static mv_partition_member member_of_heartbeat(const mv_context *context,
                                               const mv_heartbeat *heartbeat)
{
    mv_partition_member member = {.spot = heartbeat->spot,
                                  .rented_at_wall = mv_clock_wall_time(&context->clock)};
    g_strlcpy(member.id, heartbeat->machine, sizeof member.id);
    g_strlcpy(member.address, heartbeat->address, sizeof member.address);
    g_strlcpy(member.type_name, heartbeat->type_name, sizeof member.type_name);
    g_strlcpy(member.zone_name, heartbeat->zone_name, sizeof member.zone_name);
    return member;
}

/* Sends a command without entries, so the agent has nothing to execute. The command carries fencing
 * token 0: no token is lower, so the command does not raise the machine's token. */
static void send_probe(mv_autoscaler *autoscaler, const mv_partition_member *member,
                       uint64_t agent_epoch)
{
    mv_context *context = autoscaler->context;
    mv_unknown_probe *probe = g_new0(mv_unknown_probe, 1);
    mv_action *action = mv_action_new(&context->actions, MV_ACTION_COMMAND);
    g_strlcpy(action->machine, member->id, sizeof action->machine);
    g_strlcpy(action->address, member->address, sizeof action->address);
    action->agent_epoch = MAX(agent_epoch, 1);
    action->timeout_ms = MV_PROBE_TIMEOUT_MS;
    action->commands = mv_command_list_new();
    probe->member = *member;
    probe->command_id = action->id;
    probe->sent_at = context->clock.now;
    g_hash_table_insert(autoscaler->unknown_probes, probe->member.id, probe);
}

/* Returns whether a heartbeat is enough to adopt a machine. A heartbeat is enough only in the first
 * seconds of the very first leader, because no machine is older than that leader. A probe would
 * also delay the moment at which the leader knows the size of the fleet. Until that moment there is
 * only one shard, which gets all the first jobs. */
static bool adopts_without_probe(const mv_membership *membership)
{
    double adopts_until = membership->leading_since + MV_INITIAL_ADOPTION_S;
    return membership->leader.term == MV_TERM_INITIAL &&
           membership->context->clock.now < adopts_until;
}

void mv_adoption_probe(mv_autoscaler *autoscaler, const mv_heartbeat *heartbeat)
{
    const mv_membership *membership = autoscaler->membership;
    GHashTable *probes = autoscaler->unknown_probes;
    mv_partition_member member = member_of_heartbeat(autoscaler->context, heartbeat);
    if (adopts_without_probe(membership)) {
        mv_adoption_adopt(autoscaler, &member);
        return;
    }
    bool under_way = g_hash_table_contains(probes, heartbeat->machine);
    if (under_way || g_hash_table_size(probes) >= MV_UNKNOWN_PROBES_MAX ||
        mv_membership_was_released(membership, heartbeat->machine))
        return;
    send_probe(autoscaler, &member, heartbeat->agent_epoch);
}

static gboolean has_command(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((mv_unknown_probe *)value)->command_id == *(uint64_t *)data;
}

static mv_unknown_probe *find_probe(const mv_autoscaler *autoscaler, uint64_t command_id)
{
    return g_hash_table_find(autoscaler->unknown_probes, has_command, &command_id);
}

bool mv_adoption_is_probe(const mv_autoscaler *autoscaler, uint64_t command_id)
{
    return find_probe(autoscaler, command_id) != NULL;
}

void mv_adoption_probe_completed(mv_autoscaler *autoscaler, uint64_t command_id,
                                 const mv_heartbeat *heartbeat)
{
    mv_unknown_probe *probe = find_probe(autoscaler, command_id);
    if (!probe)
        return;
    bool is_there = heartbeat && strcmp(heartbeat->machine, probe->member.id) == 0;
    if (is_there && mv_membership_is_leader(autoscaler->membership))
        mv_adoption_adopt(autoscaler, &probe->member);
    g_hash_table_remove(autoscaler->unknown_probes, probe->member.id);
}

static gboolean probe_is_expired(gpointer key, gpointer value, gpointer data)
{
    const mv_context *context = data;
    (void)key;
    return context->clock.now > ((mv_unknown_probe *)value)->sent_at + MV_UNKNOWN_PROBE_TTL_S;
}

void mv_adoption_expire_probes(mv_autoscaler *autoscaler)
{
    g_hash_table_foreach_remove(autoscaler->unknown_probes, probe_is_expired, autoscaler->context);
}
