/**
 * Write budget of the state service: a token bucket that limits this controller's write rate.
 *
 * The state service limits the writes of all controllers together. Each controller takes a token
 * for each write from a bucket that is refilled at the controller's share of that limit. A
 * deferrable write (such as a completion record) also takes a token from a second, smaller bucket,
 * whose rate is divided among the controllers that make deferrable writes. Deferrable writes
 * therefore do not use up the limit, and the state service does not refuse submissions, ends of
 * jobs and shard grants because of deferrable writes.
 *
 * Threads: every function may be called from any thread; the budget has a lock of its own.
 */
#ifndef MV_WRITE_BUDGET_H
#define MV_WRITE_BUDGET_H
#include <stdbool.h>

/** A write budget; opaque. */
typedef struct mv_write_budget mv_write_budget;

/**
 * Returns a budget with a full main bucket. `writes_per_s` is the state service's limit for all
 * controllers together. The caller frees the budget with mv_write_budget_free.
 */
mv_write_budget *mv_write_budget_new(double writes_per_s);
/** Frees the budget. NULL is allowed. No thread may be inside mv_write_budget_take. */
void mv_write_budget_free(mv_write_budget *budget);

/**
 * Sets the number of controllers, including this one, that share the rate of deferrable writes. 0
 * counts as 1.
 */
void mv_write_budget_set_writers(mv_write_budget *budget, unsigned writers);

/**
 * Takes the tokens for `count` writes; blocks until the budget has them. Deferrable writes
 * (`urgent` is false) can wait longer, because half of the main bucket is reserved for urgent
 * writes and because the second bucket limits deferrable writes if several controllers make them.
 */
void mv_write_budget_take(mv_write_budget *budget, unsigned count, bool urgent);

/**
 * Empties the main bucket and reduces this controller's share of the limit. Callers use this after
 * the state service refused a write over the rate limit: other controllers use the same limit, so
 * this controller writes less until the share has grown back over time.
 */
void mv_write_budget_throttle(mv_write_budget *budget);
#endif
