/**
 * The log of the link reports that this process has published.
 */
#include "connectivity/report_log.h"

uint64_t mv_report_log_append(mv_report_log *log, double now, uint64_t boot)
{
    log->boot = boot;
    log->sequence++;
    log->published_at[log->sequence % MV_LINK_REPORTS_REMEMBERED] = now;
    return log->sequence;
}

double mv_report_log_confirmed_at(const mv_report_log *log, const mv_peer_link *link)
{
    if (!link || !log->boot || link->received_boot != log->boot)
        return 0;
    const uint64_t sequence = link->received_sequence;
    const bool was_published = sequence > 0 && sequence <= log->sequence;
    const bool is_remembered = sequence + MV_LINK_REPORTS_REMEMBERED > log->sequence;
    if (!was_published || !is_remembered)
        return 0;
    return log->published_at[sequence % MV_LINK_REPORTS_REMEMBERED];
}
