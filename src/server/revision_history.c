/**
 * A ring of samples, one in MV_REVISION_SAMPLE_INTERVAL_S.
 */
#include "server/revision_history.h"

#include <glib.h>

static const mv_revision_sample *newest_sample(const mv_revision_history *history)
{
    const unsigned index = (history->next + MV_REVISION_SAMPLES - 1) % MV_REVISION_SAMPLES;
    return history->count ? &history->samples[index] : NULL;
}

void mv_revision_history_add(mv_revision_history *history, double now, uint64_t revision)
{
    const mv_revision_sample *newest = newest_sample(history);
    if (newest && now < newest->at + MV_REVISION_SAMPLE_INTERVAL_S)
        return;
    history->samples[history->next] = (mv_revision_sample){.at = now, .revision = revision};
    history->next = (history->next + 1) % MV_REVISION_SAMPLES;
    history->count = MIN(history->count + 1, MV_REVISION_SAMPLES);
}

double mv_revision_history_age(const mv_revision_history *history, double now, uint64_t revision)
{
    double age_s = 0;
    for (unsigned i = 0; i < history->count; i++) {
        const mv_revision_sample *sample = &history->samples[i];
        if (sample->revision >= revision)
            age_s = MAX(age_s, now - sample->at);
    }
    return age_s;
}
