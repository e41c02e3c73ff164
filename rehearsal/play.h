/* Plays a script against real processes of the service, and returns what happened. */
#ifndef MV_PLAY_H
#define MV_PLAY_H
#include "history.h"
#include "scenario.h"

typedef struct {
    const char *program;   /* the service */
    const char *directory; /* of settings, logs and the history */
    bool quiet;            /* no line for each step */
} mv_play_options;

typedef struct {
    GArray *events; /* mv_event */
    bool complete;  /* every accepted job came to its end within MV_PLAY_END_S */
} mv_play_result;

#define MV_PLAY_END_S                                                                              \
    180 /* after the last trouble, for all jobs to end, however slow the machine */

/* False: something could not be started, which `error` names. */
bool mv_play(const mv_scenario *scenario, uint32_t seed, const mv_play_options *options,
             mv_play_result *result, char *error, size_t error_size);
#endif
