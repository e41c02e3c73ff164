/**
 * Link reports. In a link report the sender tells another controller about the sender's own links
 * and about completions of tasks that the sender cannot record.
 *
 * A report is plain data without locks. The code that creates or receives a report owns the report.
 * Every function here may be called from any thread if only one thread at a time uses a report.
 */
#ifndef MV_LINK_REPORT_H
#define MV_LINK_REPORT_H
#include "constants.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How a controller classifies its own links. The numbers are part of the protocol between
 * controllers and must not change. */
typedef enum {
    MV_LINKS_UNKNOWN = 0,    /**< the state service has never answered */
    MV_LINKS_CONNECTED = 1,  /**< every link works */
    MV_LINKS_SUSPECTED = 2,  /**< the state service does not answer; cause not classified yet */
    MV_LINKS_ISOLATED = 3,   /**< only this controller gets no answers from the state service */
    MV_LINKS_OUTAGE = 4,     /**< the state service answers no controller */
    MV_LINKS_NO_PEERS = 5,   /**< no other controller answers */
    MV_LINKS_NO_WORKERS = 6, /**< no machine's heartbeat reaches the controller */
    MV_LINK_CLASSES          /**< number of classes */
} mv_link_class;

/** The result of processing a peer's report: accepted, or why the report was rejected. */
typedef enum {
    MV_LINK_REPORT_ACCEPTED,
    MV_LINK_REPORT_MALFORMED,
    MV_LINK_REPORT_UNKNOWN_NODE, /**< the settings name no controller of this name */
    MV_LINK_REPORT_STALE,        /**< not newer than the known report, or from a former process */
    MV_LINK_REPORT_UNCONFIRMED,  /**< confirms no recent report of this controller */
    MV_LINK_REPORT_STATUSES      /**< number of statuses */
} mv_link_report_status;

/** The age of an event that never happened. Any other age in a report is the number of seconds, 0
 * or more, from the event to the moment at which the report was made. */
#define MV_NEVER (-1.0)

/** The link from the sender of a report to one other controller, the peer. */
typedef struct {
    char peer[MV_NAME_SIZE];
    uint64_t received_boot;     /**< process of the newest report received from the peer; 0: none */
    uint64_t received_sequence; /**< sequence number of the newest report received; 0: none */
    double last_message_age_s;  /**< since the peer's last new report arrived */
    double answered_request_age_s; /**< since the last request that the peer answered was sent */
} mv_peer_link;

/** Completed tasks of one job, as a serialized Roaring bitmap. */
typedef struct {
    char job_id[MV_ID_SIZE];
    GBytes *tasks; /**< owned */
} mv_completion_set;

/** The report of one controller, the sender, on its links. */
typedef struct {
    char node[MV_NAME_SIZE];
    uint64_t boot;        /**< identifies the sender's process; a new number at each start */
    uint64_t incarnation; /**< incarnation of the sender's session, as in the leases; 0: none yet */
    uint64_t sequence;    /**< rises with each report of the process */
    mv_link_class link_class;
    double class_age_s;   /**< since the links got this class */
    double state_age_s;   /**< since the last answered session renewal was sent */
    double cache_age_s;   /**< since the last answered watch of the state service was sent */
    double workers_age_s; /**< since the last heartbeat of a machine arrived */
    double round_trip_s;  /**< time from request to answer of the last answered session renewal */
    unsigned failures;    /**< session renewals in a row that failed */
    bool launches_held;   /**< the sender launches nothing */
    unsigned completions_unrecorded; /**< completions that the sender has not recorded yet */
    GArray *peers;                   /**< mv_peer_link; owned */
    GPtrArray *completions;          /**< mv_completion_set; owned with its elements */
} mv_link_report;

/** Returns an empty report; the caller frees the report with mv_link_report_free. */
mv_link_report *mv_link_report_new(void);

/** Frees a report with its peers and completions; NULL is allowed. */
void mv_link_report_free(mv_link_report *report);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(mv_link_report, mv_link_report_free)

/** Returns a copy of the report without the completions; the caller frees the copy. */
mv_link_report *mv_link_report_copy(const mv_link_report *report);

/** Returns whether the sender, the numbers, the class and all ages of a received report are within
 * their ranges. */
bool mv_link_report_is_valid(const mv_link_report *report);

/** Returns the report's entry on the link from the sender to `node`, or NULL if the report has no
 * such entry. The report owns the entry. */
const mv_peer_link *mv_link_report_find_peer(const mv_link_report *report, const char *node);

/** Returns whether an age of a report is known (not MV_NEVER) and below `limit_s`. */
bool mv_link_age_is_below(double age_s, double limit_s);

/** Returns the name of a class as logs, metrics and the status command show the class, or "invalid"
 * for a number that is no class. The text is static. */
const char *mv_link_class_name(mv_link_class link_class);
#endif
