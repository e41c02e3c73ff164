/* Judges a history: pure, so that a recorded one can be judged again. */
#ifndef MV_VERDICT_H
#define MV_VERDICT_H
#include "history.h"

typedef struct {
    unsigned jobs, done, withdrawn, unfinished;
    unsigned starts, repeated; /* starts of tasks, and of those that had completed before */
    GPtrArray *broken;         /* char *: what was broken, in the order in which it was */
} mv_verdict;

/* `complete`: the rehearsal was played to its end, so every accepted job must have its final
 * record. */
mv_verdict *mv_judge(const GArray *events, bool complete);
void mv_verdict_free(mv_verdict *verdict);
#endif
