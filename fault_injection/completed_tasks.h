/**
 * The tasks that some machine has completed. Their results are kept, so a machine that launches
 * such a task again only fetches its image. Thread-safe.
 */
#ifndef MV_COMPLETED_TASKS_H
#define MV_COMPLETED_TASKS_H
#include <stdbool.h>
#include <stdint.h>

typedef struct mv_completed_tasks mv_completed_tasks;

/** Returns an empty set, which the caller frees with mv_completed_tasks_free. */
mv_completed_tasks *mv_completed_tasks_new(void);
/** Frees the set. */
void mv_completed_tasks_free(mv_completed_tasks *completed);
/** Adds a task. */
void mv_completed_tasks_add(mv_completed_tasks *completed, const char *job_id, uint32_t task);
/** Returns whether the task has been added. */
bool mv_completed_tasks_contain(mv_completed_tasks *completed, const char *job_id, uint32_t task);
#endif
