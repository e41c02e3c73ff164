/**
 * Codec of the messages between controllers: demands and link reports keep their meaning when they
 * are packed and unpacked, messages of the previous version are read, malformed messages are
 * refused, and the largest message fits into a frame.
 *
 * The protocol page does not define the messages between controllers. During a rolling upgrade,
 * controllers of both versions read each other's messages.
 */
#include "server/link_report_codec.h"
#include "server/peer_codec.h"

#include <string.h>

static mv_shard_demand *demand_new(uint64_t term)
{
    mv_shard_demand *demand = g_new0(mv_shard_demand, 1);
    g_strlcpy(demand->node, "n1", sizeof demand->node);
    demand->term = term;
    demand->demands = g_array_new(FALSE, TRUE, sizeof(mv_resource_demand));
    demand->machines = g_array_new(FALSE, TRUE, sizeof(mv_machine_summary));
    return demand;
}

/* Returns the demand in a message between controllers; fails the test if the message has none. */
static mv_shard_demand *unpack_demand(const uint8_t *bytes, gsize size)
{
    Mv__PeerRequest *message = mv__peer_request__unpack(NULL, size, bytes);
    g_assert_nonnull(message);
    g_assert_cmpint(message->kind_case, ==, MV__PEER_REQUEST__KIND_DEMAND);
    mv_shard_demand *demand = mv_shard_demand_unpack(message->demand);
    mv__peer_request__free_unpacked(message, NULL);
    return demand;
}

static GBytes *pack_demand_with_reserve(void)
{
    const mv_resource_demand lacking = {
        .cores = 2, .count = 5, .image_gb = 1.5, .reserve = true, .service = true};
    const mv_machine_summary summary = {.id = "vm-000001",
                                        .used_cores = 4,
                                        .service_cores = 3,
                                        .service_ram_gb = 2,
                                        .evicted_for_services = true,
                                        .transferable_revision = 12};
    mv_shard_demand *demand = demand_new(7);
    g_array_append_val(demand->demands, lacking);
    g_array_append_val(demand->machines, summary);
    GBytes *packed = mv_shard_demand_pack(demand);
    mv_shard_demand_free(demand);
    return packed;
}

/* A peer reads a packed demand with the values that the sender set. */
static void demand_is_read_by_peer(void)
{
    g_autoptr(GBytes) packed = pack_demand_with_reserve();
    gsize size;
    const uint8_t *bytes = g_bytes_get_data(packed, &size);

    mv_shard_demand *demand = unpack_demand(bytes, size);

    const mv_resource_demand *lacking = &g_array_index(demand->demands, mv_resource_demand, 0);
    const mv_machine_summary *summary = &g_array_index(demand->machines, mv_machine_summary, 0);
    g_assert_true(lacking->reserve && lacking->service);
    g_assert_true(lacking->count == 5 && lacking->image_gb == 1.5);
    g_assert_true(summary->evicted_for_services && summary->transferable_revision == 12);
    g_assert_true(summary->service_cores == 3 && summary->service_ram_gb == 2);
    g_assert_true(summary->used_cores == 4 && demand->term == 7);
    mv_shard_demand_free(demand);
}

/* The previous version may send a machine summary with field 1 (the machine's name) only. The
 * fields that the previous version lacks are then read as zero or false. */
static void old_demand_is_read(void)
{
    static const uint8_t bytes[] = {0x0a, 0x0b, 0x0a, 0x02, 'n', '1', 0x2a,
                                    0x05, 0x0a, 0x03, 'v',  'm', '1'};
    mv_shard_demand *demand = unpack_demand(bytes, sizeof bytes);
    const mv_machine_summary *summary = &g_array_index(demand->machines, mv_machine_summary, 0);
    g_assert_true(!summary->evicted_for_services && summary->service_cores == 0);
    g_assert_cmpstr(summary->id, ==, "vm1");
    mv_shard_demand_free(demand);
}

/* Returns the link report of an isolated controller; the caller owns it. */
static mv_link_report *link_report_of_isolated(void)
{
    mv_link_report *report = mv_link_report_new();
    g_strlcpy(report->node, "n1", sizeof report->node);
    report->boot = 5;
    report->sequence = 1ull << 40;
    report->link_class = MV_LINKS_ISOLATED;
    report->state_age_s = MV_NEVER;
    report->launches_held = true;
    const mv_peer_link link = {
        .peer = "n0", .received_boot = 3, .received_sequence = 4, .last_message_age_s = 0.5};
    g_array_append_val(report->peers, link);
    mv_completion_set *completions = g_new0(mv_completion_set, 1);
    g_strlcpy(completions->job_id, "j-000001", sizeof completions->job_id);
    completions->tasks = g_bytes_new_static("\x01\x00\x02", 3);
    g_ptr_array_add(report->completions, completions);
    return report;
}

/* Packs the report into a message and returns the unpacked message, which the caller frees; fails
 * the test if the message carries no link report. */
static Mv__PeerRequest *unpack_link_report_message(const mv_link_report *report)
{
    g_autoptr(GBytes) packed = mv_link_report_pack(report);
    gsize size;
    const uint8_t *bytes = g_bytes_get_data(packed, &size);
    Mv__PeerRequest *message = mv__peer_request__unpack(NULL, size, bytes);
    g_assert_true(message && message->kind_case == MV__PEER_REQUEST__KIND_LINK_REPORT);
    return message;
}

static void assert_same_link_report(const mv_link_report *read, const mv_link_report *sent)
{
    g_assert_cmpstr(read->node, ==, "n1");
    g_assert_true(read->sequence == 1ull << 40 && read->boot == 5 && read->launches_held);
    g_assert_true(read->link_class == MV_LINKS_ISOLATED && read->state_age_s == MV_NEVER);
    const mv_peer_link *link = &g_array_index(read->peers, mv_peer_link, 0);
    g_assert_true(link->received_boot == 3 && link->received_sequence == 4);
    g_assert_true(link->last_message_age_s == 0.5);
    const mv_completion_set *read_set = g_ptr_array_index(read->completions, 0);
    const mv_completion_set *sent_set = g_ptr_array_index(sent->completions, 0);
    g_assert_true(g_bytes_equal(read_set->tasks, sent_set->tasks));
}

/* A peer reads a link report with the values that the sender set. The peer refuses a link report
 * with an unknown link class or with a node name that is too long. */
static void link_report_is_read_by_peer(void)
{
    g_autoptr(mv_link_report) sent = link_report_of_isolated();
    Mv__PeerRequest *message = unpack_link_report_message(sent);
    g_autoptr(mv_link_report) read = mv_link_report_unpack(message->link_report);
    assert_same_link_report(read, sent);

    message->link_report->link_class = 99;
    g_assert_null(mv_link_report_unpack(message->link_report));
    message->link_report->link_class = MV_LINKS_ISOLATED;
    g_autofree char *name = message->link_report->node;
    message->link_report->node = g_strnfill(MV_NAME_SIZE, 'x');
    g_assert_null(mv_link_report_unpack(message->link_report));
    mv__peer_request__free_unpacked(message, NULL);

    /* What the version before link reports makes of it: a message of no kind that it knows. */
    g_autoptr(GBytes) response = mv_link_report_response_pack(sent);
    gsize size;
    const uint8_t *bytes = g_bytes_get_data(response, &size);
    Mv__PeerResponse *unpacked = mv__peer_response__unpack(NULL, size, bytes);
    g_assert_true(unpacked && unpacked->link_report && unpacked->status == 0);
    mv__peer_response__free_unpacked(unpacked, NULL);
}

#define LARGEST_FLEET 4000

/* If one shard holds the whole fleet, the shard's owner describes every machine to the leader in
 * one message, which must fit into a frame. */
static void demand_of_largest_fleet_fits_into_frame(void)
{
    mv_shard_demand *demand = demand_new(1 << 20);
    for (unsigned i = 0; i < LARGEST_FLEET; i++) {
        mv_machine_summary summary = {.idle_s = 0.1,
                                      .since_heartbeat_s = 0.1,
                                      .used_cores = 31.5,
                                      .used_ram_gb = 63.5,
                                      .service_cores = 1.5,
                                      .service_ram_gb = 1.5,
                                      .transferable_revision = 1 << 30,
                                      .needs_fencing = true,
                                      .release_pending = true,
                                      .failed = true,
                                      .has_booted = true,
                                      .recently_reported = true,
                                      .departing = true,
                                      .evicted_for_services = true};
        g_snprintf(summary.id, sizeof summary.id, "vm-%06u", i);
        g_array_append_val(demand->machines, summary);
    }
    g_autoptr(GBytes) packed = mv_shard_demand_pack(demand);
    mv_shard_demand_free(demand);
    g_test_message("%zu bytes", g_bytes_get_size(packed));
    g_assert_cmpuint(g_bytes_get_size(packed), <=, MV_FRAME_BYTES_MAX);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-codec/demands", demand_is_read_by_peer);
    g_test_add_func("/peer-codec/old-demand", old_demand_is_read);
    g_test_add_func("/peer-codec/link-reports", link_report_is_read_by_peer);
    g_test_add_func("/peer-codec/demand-of-largest-fleet", demand_of_largest_fleet_fits_into_frame);
    return g_test_run();
}
