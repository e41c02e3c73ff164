/**
 * Packs and unpacks link health reports as protobuf messages.
 */
#include "server/link_report_codec.h"

#include "server/peer_codec.h"

/** A protobuf link report and the arrays of its repeated fields, which live until it is packed. */
typedef struct {
    Mv__LinkReport message;
    Mv__PeerLink *links;
    Mv__PeerLink **link_list;
    Mv__CompletionSet *completions;
    Mv__CompletionSet **completion_list;
} link_report_message;

/* Sets the repeated field `peers` of the message. */
static void fill_links(link_report_message *outgoing, const mv_link_report *report)
{
    const guint count = report->peers->len;
    outgoing->links = g_new0(Mv__PeerLink, count + 1);
    for (guint i = 0; i < count; i++) {
        mv_peer_link *from = &g_array_index(report->peers, mv_peer_link, i);
        Mv__PeerLink *to = &outgoing->links[i];
        mv__peer_link__init(to);
        to->node = from->peer;
        to->received_boot = from->received_boot;
        to->received_sequence = from->received_sequence;
        to->last_message_age_s = from->last_message_age_s;
        to->answered_request_age_s = from->answered_request_age_s;
    }
    outgoing->link_list = mv_repeated_field(outgoing->links, count, sizeof *outgoing->links);
    outgoing->message.n_peers = count;
    outgoing->message.peers = outgoing->link_list;
}

/* Sets the repeated field `completions` of the message. */
static void fill_completions(link_report_message *outgoing, const mv_link_report *report)
{
    const guint count = report->completions->len;
    outgoing->completions = g_new0(Mv__CompletionSet, count + 1);
    for (guint i = 0; i < count; i++) {
        mv_completion_set *from = g_ptr_array_index(report->completions, i);
        Mv__CompletionSet *to = &outgoing->completions[i];
        gsize size;
        mv__completion_set__init(to);
        to->job_id = from->job_id;
        to->tasks.data = (uint8_t *)g_bytes_get_data(from->tasks, &size);
        to->tasks.len = size;
    }
    outgoing->completion_list =
        mv_repeated_field(outgoing->completions, count, sizeof *outgoing->completions);
    outgoing->message.n_completions = count;
    outgoing->message.completions = outgoing->completion_list;
}

/* Builds the message of a report. The message points into `report`, which has to outlive it. */
static void link_report_message_init(link_report_message *outgoing, const mv_link_report *report)
{
    Mv__LinkReport *to = &outgoing->message;
    mv__link_report__init(to);
    to->node = (char *)report->node;
    to->boot = report->boot;
    to->incarnation = report->incarnation;
    to->sequence = report->sequence;
    to->link_class = (uint32_t)report->link_class;
    to->class_age_s = report->class_age_s;
    to->state_age_s = report->state_age_s;
    to->cache_age_s = report->cache_age_s;
    to->workers_age_s = report->workers_age_s;
    to->round_trip_s = report->round_trip_s;
    to->failures = report->failures;
    to->launches_held = report->launches_held;
    to->completions_unrecorded = report->completions_unrecorded;
    fill_links(outgoing, report);
    fill_completions(outgoing, report);
}

static void link_report_message_clear(link_report_message *outgoing)
{
    g_free(outgoing->links);
    g_free(outgoing->link_list);
    g_free(outgoing->completions);
    g_free(outgoing->completion_list);
}

GBytes *mv_link_report_pack(const mv_link_report *report)
{
    link_report_message outgoing;
    link_report_message_init(&outgoing, report);
    Mv__PeerRequest request = MV__PEER_REQUEST__INIT;
    request.kind_case = MV__PEER_REQUEST__KIND_LINK_REPORT;
    request.link_report = &outgoing.message;
    GBytes *bytes = mv_peer_request_pack(&request);
    link_report_message_clear(&outgoing);
    return bytes;
}

GBytes *mv_link_report_response_pack(const mv_link_report *report)
{
    link_report_message outgoing;
    link_report_message_init(&outgoing, report);
    Mv__PeerResponse response = MV__PEER_RESPONSE__INIT;
    response.link_report = &outgoing.message;
    GBytes *bytes = mv_peer_response_pack(&response);
    link_report_message_clear(&outgoing);
    return bytes;
}

/* Adds the message's links to the report. Returns false if the name of a peer is too long. */
static bool read_links(const Mv__LinkReport *message, mv_link_report *report)
{
    for (size_t i = 0; i < message->n_peers; i++) {
        const Mv__PeerLink *from = message->peers[i];
        mv_peer_link link = {.received_boot = from->received_boot,
                             .received_sequence = from->received_sequence,
                             .last_message_age_s = from->last_message_age_s,
                             .answered_request_age_s = from->answered_request_age_s};
        if (g_strlcpy(link.peer, from->node, sizeof link.peer) >= sizeof link.peer)
            return false;
        g_array_append_val(report->peers, link);
    }
    return true;
}

/* Adds the message's completions to the report. Returns false if a job ID is too long. */
static bool read_completions(const Mv__LinkReport *message, mv_link_report *report)
{
    for (size_t i = 0; i < message->n_completions; i++) {
        const Mv__CompletionSet *from = message->completions[i];
        mv_completion_set *completions = g_new0(mv_completion_set, 1);
        completions->tasks = g_bytes_new(from->tasks.data, from->tasks.len);
        g_ptr_array_add(report->completions, completions);
        const size_t id_length =
            g_strlcpy(completions->job_id, from->job_id, sizeof completions->job_id);
        if (id_length >= sizeof completions->job_id)
            return false;
    }
    return true;
}

mv_link_report *mv_link_report_unpack(const Mv__LinkReport *message)
{
    g_autoptr(mv_link_report) report = mv_link_report_new();
    const bool name_fits =
        g_strlcpy(report->node, message->node, sizeof report->node) < sizeof report->node;
    report->boot = message->boot;
    report->incarnation = message->incarnation;
    report->sequence = message->sequence;
    report->link_class = (mv_link_class)message->link_class;
    report->class_age_s = message->class_age_s;
    report->state_age_s = message->state_age_s;
    report->cache_age_s = message->cache_age_s;
    report->workers_age_s = message->workers_age_s;
    report->round_trip_s = message->round_trip_s;
    report->failures = message->failures;
    report->launches_held = message->launches_held;
    report->completions_unrecorded = message->completions_unrecorded;
    const bool valid = name_fits && message->link_class < MV_LINK_CLASSES &&
                       read_links(message, report) && read_completions(message, report);
    return valid ? g_steal_pointer(&report) : NULL;
}

void mv_link_report_message_received(mv_controller *controller, double now,
                                     const Mv__LinkReport *message)
{
    g_autoptr(mv_link_report) report = mv_link_report_unpack(message);
    g_autoptr(mv_link_report) malformed = report ? NULL : mv_link_report_new();
    mv_controller_link_report_received(controller, now, report ? report : malformed);
}
