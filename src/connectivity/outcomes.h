/* Ends of tasks that were seen and are not recorded yet: kept in memory within a bound, whoever
 * owns the job meanwhile, until the record is seen. Only `done` is kept. It is a fact that no later
 * attempt changes; every other end only means that the task waits again. */
#ifndef MV_OUTCOMES_H
#define MV_OUTCOMES_H
#include "connectivity/view.h"

typedef struct mv_outcomes mv_outcomes;

/* `most_bytes`: what the sets of tasks may take in all. */
mv_outcomes *mv_outcomes_new(size_t most_bytes);
void mv_outcomes_free(mv_outcomes *outcomes);
/* False: the bound is reached, and nothing was kept. */
bool mv_outcomes_add(mv_outcomes *outcomes, const char *job, uint32_t task);
/* The record of the task is known. */
void mv_outcomes_recorded(mv_outcomes *outcomes, const char *job, uint32_t task);
/* The job is over: its final record stands. */
void mv_outcomes_job_over(mv_outcomes *outcomes, const char *job);
unsigned mv_outcomes_waiting(const mv_outcomes *outcomes);
/* The tasks of a job that are kept, in order; uint32_t. The caller frees; NULL: none. */
GArray *mv_outcomes_of(const mv_outcomes *outcomes, const char *job);

typedef bool (*mv_outcome_filter)(void *context, const char *job);
/* Adds to `out` what the filter wants, `most_bytes` of sets at most; where not all fit, the next
 * call goes on behind the last. */
void mv_outcomes_pack(mv_outcomes *outcomes, mv_outcome_filter wanted, void *context,
                      size_t most_bytes, GPtrArray *out);
/* The tasks that a set from a peer names, uint32_t; NULL if it is malformed or names one of `tasks`
 * or above. The caller frees. */
GArray *mv_outcome_read(const mv_outcome *outcome, uint32_t tasks);
#endif
