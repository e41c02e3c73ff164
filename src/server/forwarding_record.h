/**
 * Counts whether users' requests that this controller forwarded were answered in time, over the
 * last MV_FORWARDING_WINDOW_S to twice that time.
 *
 * The functions are pure: the caller passes the monotonic time in seconds, and guards the record.
 */
#ifndef MV_FORWARDING_RECORD_H
#define MV_FORWARDING_RECORD_H
#include <stdbool.h>

/** Numbers of forwarded requests. */
typedef struct {
    unsigned answered, unanswered;
} mv_forwarding_counts;

/** The record. A zeroed record has counted nothing. */
typedef struct {
    double window_started_at;
    mv_forwarding_counts current, previous; /* of this window and of the one before */
} mv_forwarding_record;

/** Counts one request. */
void mv_forwarding_record_add(mv_forwarding_record *record, double now, bool answered);

/**
 * Returns whether this controller fails its users: most of the requests, and at least
 * MV_FORWARDING_FAILURES_MIN, had no answer in time.
 */
bool mv_forwarding_record_is_failing(const mv_forwarding_record *record, double now);
#endif
