#include "coordination/autoscaling/instance_requests.h"

#include "coordination/autoscaling/adoption.h"
#include "coordination/membership/partition_writer.h"
#include "telemetry/log.h"

#include <string.h>

/* Seconds until a request that got no response is sent again. */
#define REQUEST_RETRY_S 1

static char *offer_key(const char *type_name, const char *zone_name, bool spot)
{
    return g_strdup_printf("%s/%s/%d", type_name, zone_name, spot);
}

/* --- offers --- */

/* Returns the price of a machine per task that would run on it, multiplied by the cost of waiting.
 * Urgent tasks wait until the machine has booted, so the boot time counts for their demand. A
 * replica that will use a reserve later waits only for its image, so the fetch time of the image
 * counts for a reserve. The price for other demand is not multiplied. */
static double weighted_price(const mv_machine_type *type, const mv_resource_demand *demand,
                             bool spot, unsigned tasks)
{
    double price = (spot ? type->spot_price : type->price) / tasks;
    if (demand->reserve)
        return price * (1 + demand->image_gb / MAX(type->image_gb_per_s, MV_RESOURCE_EPSILON));
    return demand->urgent ? price * (MV_BOOT_PENALTY_S + type->boot_s) : price;
}

static bool was_refused(const mv_autoscaler *autoscaler, const mv_machine_type *type,
                        const char *zone_name, bool spot)
{
    g_autofree char *key = offer_key(type->name, zone_name, spot);
    return g_hash_table_contains(autoscaler->refused_offers, key);
}

/* Replaces `best` by the cheapest offer of one machine type, if that offer is cheaper. A
 * `type_index` of -1 in `best` means that there is no offer yet. */
static void consider_type(const mv_autoscaler *autoscaler, const mv_resource_demand *demand,
                          guint type_index, unsigned tasks, mv_instance_offer *best)
{
    const mv_machine_type *type = mv_machine_catalog_get(&autoscaler->context->catalog, type_index);
    for (size_t zone = 0; zone < type->zone_count; zone++) {
        const char *zone_name = type->zones[zone];
        if (demand->zone_name[0] && strcmp(demand->zone_name, zone_name) != 0)
            continue;
        for (int spot = demand->spot ? 1 : 0; spot >= 0; spot--) {
            double price = weighted_price(type, demand, spot, tasks);
            bool costs_more = best->type_index >= 0 && price >= best->price;
            if (costs_more || was_refused(autoscaler, type, zone_name, spot))
                continue;
            *best = (mv_instance_offer){.type_index = (int)type_index,
                                        .zone_name = zone_name,
                                        .spot = spot,
                                        .price = price};
        }
    }
}

bool mv_instance_offer_cheapest(const mv_autoscaler *autoscaler, const mv_resource_demand *demand,
                                unsigned left, mv_instance_offer *offer)
{
    const mv_machine_catalog *catalog = &autoscaler->context->catalog;
    mv_instance_offer best = {.type_index = -1};
    for (guint i = 0; i < mv_machine_catalog_size(catalog); i++) {
        const mv_machine_type *type = mv_machine_catalog_get(catalog, i);
        unsigned slots = mv_demand_slots(demand, type->cores, type->gpus, type->ram_gb);
        unsigned tasks = MIN(slots, left);
        if ((demand->type_mask >> i & 1) && tasks > 0)
            consider_type(autoscaler, demand, i, tasks, &best);
    }
    if (best.type_index < 0)
        return false;
    *offer = best;
    return true;
}

static bool is_same_kind(const mv_instance_offer *offer, const mv_instance_offer *other)
{
    return offer->type_index == other->type_index && offer->spot == other->spot &&
           offer->shard == other->shard && strcmp(offer->zone_name, other->zone_name) == 0;
}

void mv_instance_offers_add(GArray *offers, const mv_instance_offer *offer, unsigned count)
{
    for (guint i = 0; i < offers->len; i++) {
        mv_instance_offer *existing = &g_array_index(offers, mv_instance_offer, i);
        if (is_same_kind(existing, offer)) {
            existing->count += count;
            return;
        }
    }
    mv_instance_offer added = *offer;
    added.count = count;
    g_array_append_val(offers, added);
}

/* --- requests --- */

/* Returns whether a request for the same type, zone, kind and shard is pending. Until the cloud
 * answers that request, the leader does not know how much capacity remains and sends no other. */
static bool is_requested(const mv_autoscaler *autoscaler, const mv_instance_offer *offer)
{
    const mv_machine_type *type =
        mv_machine_catalog_get(&autoscaler->context->catalog, (guint)offer->type_index);
    for (guint i = 0; i < autoscaler->requests->len; i++) {
        const mv_instance_request *request = g_ptr_array_index(autoscaler->requests, i);
        if (request->shard_index == offer->shard->index && request->spot == offer->spot &&
            strcmp(request->type_name, type->name) == 0 &&
            strcmp(request->zone_name, offer->zone_name) == 0)
            return true;
    }
    return false;
}

static void send_request(mv_autoscaler *autoscaler, mv_instance_request *request)
{
    mv_action *action = mv_action_new(&autoscaler->context->actions, MV_ACTION_SCALE_OUT);
    g_strlcpy(action->name, request->request_name, sizeof action->name);
    g_strlcpy(action->type_name, request->type_name, sizeof action->type_name);
    g_strlcpy(action->zone_name, request->zone_name, sizeof action->zone_name);
    action->spot = request->spot;
    action->count = request->count;
    request->action_id = action->id;
    request->retry_at = 0;
}

void mv_instances_request(mv_autoscaler *autoscaler, const mv_instance_offer *offer)
{
    const mv_machine_type *type =
        mv_machine_catalog_get(&autoscaler->context->catalog, (guint)offer->type_index);
    if (is_requested(autoscaler, offer))
        return;
    mv_instance_request *request = g_new0(mv_instance_request, 1);
    /* The name contains the leader's term, so no other leader uses the same name. */
    g_snprintf(request->request_name, sizeof request->request_name, "r-%" G_GUINT64_FORMAT "-%u",
               autoscaler->membership->leader.term, ++autoscaler->request_count);
    g_strlcpy(request->type_name, type->name, sizeof request->type_name);
    g_strlcpy(request->zone_name, offer->zone_name, sizeof request->zone_name);
    request->spot = offer->spot;
    request->count = MIN(offer->count, MV_INSTANCE_REQUEST_MAX);
    request->shard_index = offer->shard->index;
    g_ptr_array_add(autoscaler->requests, request);
    send_request(autoscaler, request);
}

static gboolean refusal_is_over(gpointer key, gpointer value, gpointer data)
{
    const mv_context *context = data;
    (void)key;
    return context->clock.now > *(double *)value;
}

void mv_instance_requests_tick(mv_autoscaler *autoscaler)
{
    g_hash_table_foreach_remove(autoscaler->refused_offers, refusal_is_over, autoscaler->context);
    for (guint i = 0; i < autoscaler->requests->len; i++) {
        mv_instance_request *request = g_ptr_array_index(autoscaler->requests, i);
        if (request->retry_at > 0 && autoscaler->context->clock.now > request->retry_at)
            send_request(autoscaler, request);
    }
}

/* --- answers --- */

static void mark_refused(mv_autoscaler *autoscaler, const mv_instance_request *request)
{
    double *until = g_new(double, 1);
    *until = autoscaler->context->clock.now + MV_CAPACITY_BACKOFF_S;
    g_hash_table_replace(autoscaler->refused_offers,
                         offer_key(request->type_name, request->zone_name, request->spot), until);
}

static void add_machine(mv_autoscaler *autoscaler, const mv_instance_request *request,
                        const char *machine)
{
    const mv_context *context = autoscaler->context;
    mv_shard *shard = g_ptr_array_index(context->shards, request->shard_index);
    mv_partition_member member = {.spot = request->spot,
                                  .rented_at_wall = mv_clock_wall_time(&context->clock)};
    g_strlcpy(member.id, machine, sizeof member.id);
    g_strlcpy(member.type_name, request->type_name, sizeof member.type_name);
    g_strlcpy(member.zone_name, request->zone_name, sizeof member.zone_name);
    if (!mv_adoption_is_member(autoscaler, member.id))
        g_array_append_val(shard->joining, member);
}

static void accept_machines(mv_autoscaler *autoscaler, const mv_instance_request *request,
                            const GPtrArray *machines)
{
    const unsigned received = machines ? machines->len : 0;
    if (received < request->count)
        mark_refused(autoscaler, request);
    mv_info("scale_out_completed", "type=%s spot=%d requested=%u granted=%u", request->type_name,
            request->spot, request->count, received);
    autoscaler->context->counters.machines_rented += received;
    for (unsigned i = 0; i < received; i++)
        add_machine(autoscaler, request, g_ptr_array_index(machines, i));
}

static int find_request(const mv_autoscaler *autoscaler, uint64_t action_id)
{
    for (guint i = 0; i < autoscaler->requests->len; i++) {
        const mv_instance_request *request = g_ptr_array_index(autoscaler->requests, i);
        if (request->action_id == action_id)
            return (int)i;
    }
    return -1;
}

void mv_instance_request_completed(mv_autoscaler *autoscaler, uint64_t action_id,
                                   const GPtrArray *machines, bool refused)
{
    const mv_context *context = autoscaler->context;
    int index = find_request(autoscaler, action_id);
    if (index < 0)
        return;
    mv_instance_request *request = g_ptr_array_index(autoscaler->requests, index);
    /* The cloud may have executed a request that got no response. The retry has the same name, so
     * the cloud does not start the machines a second time. */
    if (!machines && !refused) {
        request->retry_at = context->clock.now + REQUEST_RETRY_S;
        return;
    }
    mv_shard *shard = g_ptr_array_index(context->shards, request->shard_index);
    accept_machines(autoscaler, request, machines);
    g_ptr_array_remove_index(autoscaler->requests, (guint)index);
    mv_partition_write(autoscaler->membership, shard);
}
