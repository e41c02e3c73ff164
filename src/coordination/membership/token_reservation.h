/**
 * Reserves ranges of fencing tokens for the shards that this controller owns.
 *
 * A reservation moves the counter of terms on, on condition of the counter's revision and of the
 * shard's record. So a later owner's term is higher than every token of the range, whatever version
 * of the service grants the shard.
 */
#ifndef MV_TOKEN_RESERVATION_H
#define MV_TOKEN_RESERVATION_H
#include "coordination/membership/membership.h"

/** Sends a reservation for an owned shard that has no range yet or needs another one. */
void mv_token_reservation_tick(mv_membership *membership, mv_shard *shard);
#endif
