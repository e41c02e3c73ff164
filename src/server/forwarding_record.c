/**
 * Counts whether forwarded requests were answered in time.
 */
#include "server/forwarding_record.h"

#include "constants.h"

/* Begins the window to which `now` belongs. */
static void advance(mv_forwarding_record *record, double now)
{
    const double age_s = now - record->window_started_at;
    if (age_s < MV_FORWARDING_WINDOW_S)
        return;
    const mv_forwarding_counts none = {0};
    record->previous = age_s < 2 * MV_FORWARDING_WINDOW_S ? record->current : none;
    record->current = none;
    record->window_started_at = now;
}

void mv_forwarding_record_add(mv_forwarding_record *record, double now, bool answered)
{
    advance(record, now);
    if (answered)
        record->current.answered++;
    else
        record->current.unanswered++;
}

bool mv_forwarding_record_is_failing(const mv_forwarding_record *record, double now)
{
    mv_forwarding_record latest = *record;
    advance(&latest, now);
    const unsigned answered = latest.current.answered + latest.previous.answered;
    const unsigned unanswered = latest.current.unanswered + latest.previous.unanswered;
    return unanswered >= MV_FORWARDING_FAILURES_MIN && unanswered > answered;
}
