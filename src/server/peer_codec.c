/**
 * Packs and unpacks protobuf messages between controllers: requests, responses and shard demands.
 */
#include "server/peer_codec.h"

/* --- requests and responses --- */

void mv_peer_request_free(Mv__PeerRequest *request)
{
    mv__peer_request__free_unpacked(request, NULL);
}

void mv_peer_response_free(Mv__PeerResponse *response)
{
    mv__peer_response__free_unpacked(response, NULL);
}

GBytes *mv_peer_request_pack(const Mv__PeerRequest *request)
{
    const size_t size = mv__peer_request__get_packed_size(request);
    uint8_t *bytes = g_malloc(size);
    mv__peer_request__pack(request, bytes);
    return g_bytes_new_take(bytes, size);
}

GBytes *mv_peer_response_pack(const Mv__PeerResponse *response)
{
    const size_t size = mv__peer_response__get_packed_size(response);
    /* A response whose fields all have default values packs into 0 bytes, for which g_malloc would
     * return NULL. */
    uint8_t *bytes = g_malloc(size + 1);
    mv__peer_response__pack(response, bytes);
    return g_bytes_new_take(bytes, size);
}

void *mv_repeated_field(void *items, size_t count, size_t item_size)
{
    void **pointers = g_new0(void *, count + 1);
    for (size_t i = 0; i < count; i++)
        pointers[i] = (char *)items + i * item_size;
    return pointers;
}

/* --- shard demand --- */

static void fill_resource_demand(Mv__ResourceDemand *message, mv_resource_demand *demand)
{
    mv__resource_demand__init(message);
    message->cores = demand->cores;
    message->gpus = demand->gpus;
    message->ram_gb = demand->ram_gb;
    message->runtime_s = demand->runtime_s;
    message->type_mask = demand->type_mask;
    message->zone = demand->zone_name;
    message->spot = demand->spot;
    message->urgent = demand->urgent;
    message->reserve = demand->reserve;
    message->service = demand->service;
    message->starving = demand->starving;
    message->image_gb = demand->image_gb;
    message->count = demand->count;
}

static mv_resource_demand read_resource_demand(const Mv__ResourceDemand *message)
{
    mv_resource_demand demand = {.cores = message->cores,
                                 .gpus = message->gpus,
                                 .ram_gb = message->ram_gb,
                                 .runtime_s = message->runtime_s,
                                 .type_mask = message->type_mask,
                                 .spot = message->spot,
                                 .urgent = message->urgent,
                                 .reserve = message->reserve,
                                 .service = message->service,
                                 .starving = message->starving,
                                 .image_gb = message->image_gb,
                                 .count = message->count};
    g_strlcpy(demand.zone_name, message->zone, sizeof demand.zone_name);
    return demand;
}

static void fill_machine_summary(Mv__MachineSummary *message, mv_machine_summary *summary)
{
    mv__machine_summary__init(message);
    message->id = summary->id;
    message->idle_s = summary->idle_s;
    message->since_heartbeat_s = summary->since_heartbeat_s;
    message->used_cores = summary->used_cores;
    message->used_ram_gb = summary->used_ram_gb;
    message->service_cores = summary->service_cores;
    message->service_ram_gb = summary->service_ram_gb;
    message->needs_fencing = summary->needs_fencing;
    message->release_pending = summary->release_pending;
    message->failed = summary->failed;
    message->has_booted = summary->has_booted;
    message->departing = summary->departing;
    message->recently_reported = summary->recently_reported;
    message->transferable_revision = summary->transferable_revision;
    message->evicted_for_services = summary->evicted_for_services;
}

static mv_machine_summary read_machine_summary(const Mv__MachineSummary *message)
{
    mv_machine_summary summary = {.idle_s = message->idle_s,
                                  .since_heartbeat_s = message->since_heartbeat_s,
                                  .used_cores = message->used_cores,
                                  .used_ram_gb = message->used_ram_gb,
                                  .service_cores = message->service_cores,
                                  .service_ram_gb = message->service_ram_gb,
                                  .needs_fencing = message->needs_fencing,
                                  .release_pending = message->release_pending,
                                  .failed = message->failed,
                                  .has_booted = message->has_booted,
                                  .departing = message->departing,
                                  .recently_reported = message->recently_reported,
                                  .transferable_revision = message->transferable_revision,
                                  .evicted_for_services = message->evicted_for_services};
    g_strlcpy(summary.id, message->id, sizeof summary.id);
    return summary;
}

GBytes *mv_shard_demand_pack(const mv_shard_demand *demand)
{
    const guint demand_count = demand->demands->len;
    const guint machine_count = demand->machines->len;
    g_autofree Mv__ResourceDemand *demands = g_new0(Mv__ResourceDemand, demand_count + 1);
    g_autofree Mv__MachineSummary *machines = g_new0(Mv__MachineSummary, machine_count + 1);
    for (guint i = 0; i < demand_count; i++)
        fill_resource_demand(&demands[i], &g_array_index(demand->demands, mv_resource_demand, i));
    for (guint i = 0; i < machine_count; i++)
        fill_machine_summary(&machines[i], &g_array_index(demand->machines, mv_machine_summary, i));
    g_autofree Mv__ResourceDemand **demand_list =
        mv_repeated_field(demands, demand_count, sizeof *demands);
    g_autofree Mv__MachineSummary **machine_list =
        mv_repeated_field(machines, machine_count, sizeof *machines);
    Mv__ShardDemand message = MV__SHARD_DEMAND__INIT;
    message.node = (char *)demand->node;
    message.incarnation = demand->incarnation;
    message.shard = demand->shard;
    message.resigning = demand->resigning;
    message.term = demand->term;
    message.n_demands = demand_count;
    message.demands = demand_list;
    message.n_machines = machine_count;
    message.machines = machine_list;
    Mv__PeerRequest request = MV__PEER_REQUEST__INIT;
    request.kind_case = MV__PEER_REQUEST__KIND_DEMAND;
    request.demand = &message;
    return mv_peer_request_pack(&request);
}

mv_shard_demand *mv_shard_demand_unpack(const Mv__ShardDemand *message)
{
    mv_shard_demand *demand = g_new0(mv_shard_demand, 1);
    g_strlcpy(demand->node, message->node, sizeof demand->node);
    demand->incarnation = message->incarnation;
    demand->shard = message->shard;
    demand->resigning = message->resigning;
    demand->term = message->term;
    demand->demands = g_array_new(FALSE, TRUE, sizeof(mv_resource_demand));
    demand->machines = g_array_new(FALSE, TRUE, sizeof(mv_machine_summary));
    for (size_t i = 0; i < message->n_demands; i++) {
        const mv_resource_demand resource_demand = read_resource_demand(message->demands[i]);
        g_array_append_val(demand->demands, resource_demand);
    }
    for (size_t i = 0; i < message->n_machines; i++) {
        const mv_machine_summary summary = read_machine_summary(message->machines[i]);
        g_array_append_val(demand->machines, summary);
    }
    return demand;
}
