/**
 * Ranges of fencing tokens that the owner of a shard has reserved.
 *
 * All tokens come from the counter of terms (KEY_TERM). An owner that moves the counter on by some
 * numbers may use these numbers as tokens for its machines, one after another and without a further
 * write: every later grant, and every term that the leader gives to a machine, is higher.
 */
#ifndef MV_TOKEN_RANGE_H
#define MV_TOKEN_RANGE_H
#include <stdbool.h>
#include <stdint.h>

/** The tokens from `first` to `last`, both included; `last` 0: none. */
typedef struct {
    uint64_t first, last;
} mv_token_range;
#endif
