/**
 * The table of peers (the other controllers). For each peer the table holds whether the peer
 * answers this controller's requests, and the peer's newest link report.
 *
 * The module is pure: the caller passes all times, in seconds of the monotonic clock; 0 means
 * never. The module is not thread-safe; the owner of the table serializes the calls.
 */
#ifndef MV_PEER_TABLE_H
#define MV_PEER_TABLE_H
#include "config/settings.h"
#include "connectivity/link_report.h"

/** What this controller knows of one peer. */
typedef struct {
    const char *name;           /**< owned by the settings */
    double last_message_at;     /**< when the peer's last new report arrived */
    double answered_at;         /**< when the last request that the peer answered was sent */
    unsigned failures;          /**< requests in a row that the peer did not answer */
    uint64_t received_boot;     /**< process that made the newest received report; 0: none */
    uint64_t received_sequence; /**< sequence number of the newest received report, which confirms
                                   the report's receipt to the peer */
    mv_link_report *report;     /**< newest accepted report, owned; NULL: none */
    double report_as_of;        /**< the peer made `report` after this time */
} mv_peer_entry;

/** All peers, in the order of the settings. */
typedef struct {
    mv_peer_entry *entries;
    size_t count;
} mv_peer_table;

/** Sets up one entry for each peer of the settings, which must outlive the table. */
void mv_peer_table_init(mv_peer_table *table, const mv_settings *settings);

/** Frees the entries and their reports. */
void mv_peer_table_clear(mv_peer_table *table);

/** Returns the entry of the peer of that name, or NULL if the settings name no such peer. */
mv_peer_entry *mv_peer_table_find(const mv_peer_table *table, const char *name);

/** Returns whether every peer is unreachable: at least MV_PEER_LINK_FAILURES requests in a row
 * without an answer, and no answer for MV_PEER_LINK_TIMEOUT_S. Returns false if there are no
 * peers. */
bool mv_peer_table_is_unreachable(const mv_peer_table *table, double now);

/** Appends an mv_peer_link for each peer to `links`, with its ages as of `now`. */
void mv_peer_table_append_links(const mv_peer_table *table, double now, GArray *links);

/** Records whether the peer answered a request that was sent at `sent_at`. */
void mv_peer_entry_probed(mv_peer_entry *peer, double sent_at, bool answered);

/** Records the receipt of a valid report of the peer and copies the report if it is accepted.
 * `confirmed_at` is when this controller published the report whose receipt the peer's report
 * confirms; 0: the peer's report confirms none. Returns ACCEPTED, UNCONFIRMED or STALE. */
mv_link_report_status mv_peer_entry_receive(mv_peer_entry *peer, double now,
                                            const mv_link_report *report, double confirmed_at);

/** Returns the peer's newest accepted report, owned by the entry, or NULL if that report is missing
 * or at least MV_LINK_REPORT_TTL_S old. */
const mv_link_report *mv_peer_entry_recent_report(const mv_peer_entry *peer, double now);

/** Returns the seconds from `at` to `now`, at least 0, or MV_NEVER if `at` is 0. */
double mv_age_since(double at, double now);
#endif
