/**
 * The table of peers: records answers to requests, accepts or rejects the peers' link reports, and
 * lists the links to the peers for this controller's own report.
 */
#include "connectivity/peer_table.h"

#include <string.h>

void mv_peer_table_init(mv_peer_table *table, const mv_settings *settings)
{
    table->count = settings->peer_count;
    table->entries = g_new0(mv_peer_entry, table->count + 1);
    for (size_t i = 0; i < table->count; i++)
        table->entries[i].name = settings->peers[i].name;
}

void mv_peer_table_clear(mv_peer_table *table)
{
    for (size_t i = 0; i < table->count; i++)
        mv_link_report_free(table->entries[i].report);
    g_clear_pointer(&table->entries, g_free);
    table->count = 0;
}

mv_peer_entry *mv_peer_table_find(const mv_peer_table *table, const char *name)
{
    for (size_t i = 0; i < table->count; i++)
        if (strcmp(table->entries[i].name, name) == 0)
            return &table->entries[i];
    return NULL;
}

static bool is_unreachable(const mv_peer_entry *peer, double now)
{
    return peer->failures >= MV_PEER_LINK_FAILURES &&
           now >= peer->answered_at + MV_PEER_LINK_TIMEOUT_S;
}

bool mv_peer_table_is_unreachable(const mv_peer_table *table, double now)
{
    for (size_t i = 0; i < table->count; i++)
        if (!is_unreachable(&table->entries[i], now))
            return false;
    return table->count > 0;
}

double mv_age_since(double at, double now)
{
    return at > 0 ? MAX(now - at, 0) : MV_NEVER;
}

void mv_peer_table_append_links(const mv_peer_table *table, double now, GArray *links)
{
    for (size_t i = 0; i < table->count; i++) {
        const mv_peer_entry *peer = &table->entries[i];
        mv_peer_link link = {.received_boot = peer->received_boot,
                             .received_sequence = peer->received_sequence,
                             .last_message_age_s = mv_age_since(peer->last_message_at, now),
                             .answered_request_age_s = mv_age_since(peer->answered_at, now)};
        g_strlcpy(link.peer, peer->name, sizeof link.peer);
        g_array_append_val(links, link);
    }
}

void mv_peer_entry_probed(mv_peer_entry *peer, double sent_at, bool answered)
{
    if (!answered) {
        peer->failures++;
        return;
    }
    peer->failures = 0;
    peer->answered_at = MAX(peer->answered_at, sent_at);
}

/* Returns whether `report` is newer than the report that the entry holds. Two reports of the same
 * process are ordered by their sequence numbers. Boot numbers have no order, so two reports of
 * different processes of the peer are ordered by when this controller published the reports that
 * they confirm: the later process cannot confirm an older report than the former process did. */
static bool is_newer(const mv_peer_entry *peer, const mv_link_report *report, double confirmed_at)
{
    if (!peer->report)
        return true;
    if (peer->report->boot == report->boot)
        return report->sequence > peer->report->sequence;
    return confirmed_at > peer->report_as_of;
}

/* Records the report as received, unless this report or a newer report of the same process was
 * received before. The next report of this controller confirms the receipt to the peer. */
static void confirm_receipt(mv_peer_entry *peer, double now, const mv_link_report *report)
{
    if (report->boot == peer->received_boot && report->sequence <= peer->received_sequence)
        return;
    peer->received_boot = report->boot;
    peer->received_sequence = report->sequence;
    peer->last_message_at = now;
}

mv_link_report_status mv_peer_entry_receive(mv_peer_entry *peer, double now,
                                            const mv_link_report *report, double confirmed_at)
{
    /* Receipt is confirmed even if the peer's report itself confirms nothing: otherwise two
     * controllers that have just started would each wait for the other's first confirmation. */
    confirm_receipt(peer, now, report);
    if (confirmed_at == 0)
        return MV_LINK_REPORT_UNCONFIRMED;
    if (!is_newer(peer, report, confirmed_at))
        return MV_LINK_REPORT_STALE;
    mv_link_report_free(peer->report);
    peer->report = mv_link_report_copy(report);
    peer->report_as_of = confirmed_at;
    return MV_LINK_REPORT_ACCEPTED;
}

const mv_link_report *mv_peer_entry_recent_report(const mv_peer_entry *peer, double now)
{
    const bool is_recent = peer->report && now < peer->report_as_of + MV_LINK_REPORT_TTL_S;
    return is_recent ? peer->report : NULL;
}
