/**
 * For how long revisions of the state service have been in the past. A record with a revision was
 * written before any response of the state service that shows this or a later revision.
 *
 * The module is pure: the caller passes all times, in seconds of the monotonic clock. It is not
 * thread-safe; the owner of the history serializes the calls.
 */
#ifndef MV_REVISION_HISTORY_H
#define MV_REVISION_HISTORY_H
#include "constants.h"

#include <stdint.h>

/** A revision that the state service had reached by a time. */
typedef struct {
    double at;
    uint64_t revision;
} mv_revision_sample;

/** The samples, as a ring. A zero-initialized history has none. */
typedef struct {
    mv_revision_sample samples[MV_REVISION_SAMPLES];
    unsigned next;  /**< index of the sample that is replaced next */
    unsigned count; /**< number of samples */
} mv_revision_history;

/**
 * Notes that the state service has reached `revision` at `now`. Keeps one sample in
 * MV_REVISION_SAMPLE_INTERVAL_S.
 */
void mv_revision_history_add(mv_revision_history *history, double now, uint64_t revision);
/**
 * Returns for how many seconds the revision has certainly been in the past: at most as long as the
 * oldest sample, and 0 if no sample shows the revision.
 */
double mv_revision_history_age(const mv_revision_history *history, double now, uint64_t revision);
#endif
