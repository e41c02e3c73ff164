/**
 * Unrecorded completions are tasks that this controller knows to be done and whose completion the
 * state service does not record yet. The controller holds them in memory, within a bound, until the
 * record is seen, even if another controller becomes the owner of the job. Only completions are
 * held, because no later attempt changes the fact that a task is done. A task that exited in any
 * other way is simply pending again.
 *
 * The module is pure and performs no I/O. The module is not thread-safe: the owner of the object
 * serializes the calls.
 */
#ifndef MV_COMPLETIONS_H
#define MV_COMPLETIONS_H
#include "connectivity/link_report.h"

typedef struct mv_unrecorded_completions mv_unrecorded_completions;

/** Returns an empty collection whose sets of tasks may take up to `max_bytes` in total; the caller
 * frees the collection with mv_completions_free. */
mv_unrecorded_completions *mv_completions_new(size_t max_bytes);

/** Frees the collection; NULL is allowed. */
void mv_completions_free(mv_unrecorded_completions *completions);

/** Adds a completed task. Returns true if the collection now holds the task, including if the task
 * was there before; returns false if the collection is full and the task was not added. */
bool mv_completions_add(mv_unrecorded_completions *completions, const char *job, uint32_t task);

/** Removes a task whose completion the state service records. */
void mv_completions_remove_task(mv_unrecorded_completions *completions, const char *job,
                                uint32_t task);

/** Removes all tasks of a job that has ended. The final record of the job exists, so the tasks need
 * no completion records any more. */
void mv_completions_remove_job(mv_unrecorded_completions *completions, const char *job);

/** Returns how many tasks the collection holds, over all jobs. */
unsigned mv_completions_count(const mv_unrecorded_completions *completions);

/** Returns the held tasks of a job as an ascending array of uint32_t, which the caller frees, or
 * NULL if no task of the job is held. */
GArray *mv_completions_of_job(const mv_unrecorded_completions *completions, const char *job);

/** Returns whether mv_completions_pack should pack the tasks of the job. */
typedef bool (*mv_completion_filter)(void *context, const char *job);

/** Appends one mv_completion_set to `sets` for each job that passes the filter; `sets` owns the
 * elements. The sets take up to `max_bytes` in total. If not all jobs fit, the next call continues
 * after the last packed job. */
void mv_completions_pack(mv_unrecorded_completions *completions, mv_completion_filter filter,
                         void *context, size_t max_bytes, GPtrArray *sets);

/** Returns the tasks of a set that a peer sent, as an array of uint32_t which the caller frees.
 * Returns NULL if the set is malformed or empty, or if the set names a task that a job of
 * `task_count` tasks does not have. */
GArray *mv_completion_set_read(const mv_completion_set *completed, uint32_t task_count);
#endif
