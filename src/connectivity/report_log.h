/**
 * The log of the link reports that this process has published: their sequence numbers and the
 * publication times of the newest reports.
 *
 * A peer's report names the newest report of this controller that the peer had received. The log
 * returns when that report was published, by this controller's own clock. The peer made its report
 * after that time, so the age of the peer's report is bounded, however long the network delayed it,
 * and the clocks of two controllers are never compared.
 *
 * The module is pure and not thread-safe; the owner of the struct serializes the calls.
 */
#ifndef MV_REPORT_LOG_H
#define MV_REPORT_LOG_H
#include "connectivity/link_report.h"

/** The log of one process. A zero-initialized log holds no report. */
typedef struct {
    uint64_t boot;     /**< number of this process; 0: nothing published yet */
    uint64_t sequence; /**< sequence number of the newest report */
    double published_at[MV_LINK_REPORTS_REMEMBERED]; /**< ring, by sequence number */
} mv_report_log;

/** Records that process `boot` publishes a report at `now`; returns the sequence number. */
uint64_t mv_report_log_append(mv_report_log *log, double now, uint64_t boot);

/** Returns when this process published the report whose receipt `link` confirms. Returns 0 if
 * `link` is NULL or confirms no report, if a former process published the report, or if the report
 * is too old for the log, which holds MV_LINK_REPORTS_REMEMBERED. */
double mv_report_log_confirmed_at(const mv_report_log *log, const mv_peer_link *link);
#endif
