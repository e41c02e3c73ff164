/**
 * The state cache: a copy of the records in the state service. The controller first lists all
 * records and then watches every change in order. This module checks the revision of each record
 * and applies the records of controllers, the leader, the term counter and shards;
 * partition_cache.h applies partitions, and the modules of jobs apply jobs and completions.
 */
#ifndef MV_STATE_CACHE_H
#define MV_STATE_CACHE_H
#include "coordination/membership/membership.h"

/**
 * Stores the revision of a record that was read, or forgets the record's revision if it was
 * `removed`. Returns false if the record is not newer than the cache (an older or the same
 * revision); the caller then ignores the record.
 */
bool mv_state_cache_accept(mv_membership *membership, const char *key, bool removed,
                           uint64_t revision);
/**
 * Marks the cache as incomplete while the controller lists all records again. The pages of the list
 * are read at different times, so a record that is missing from all pages may still exist. The
 * absence counts only after a watch that was sent after the last page has been answered.
 */
void mv_state_cache_relist_started(mv_membership *membership);
/** Marks the list of all records as complete. */
void mv_state_cache_loaded(mv_membership *membership);
/**
 * Records that the state service answered a watch that the controller sent at `sent`
 * (seconds of the monotonic clock): the cache holds every change made before that time.
 */
void mv_state_cache_watch_answered(mv_membership *membership, double sent);

/* The functions below apply one record. `object` is NULL if the record was removed or cannot be
 * parsed. */
/** Applies the leader's record. Without this record there is no leader. */
void mv_state_cache_apply_leader(mv_membership *membership, const msgpack_object *object,
                                 uint64_t revision);
/** Applies the counter of terms. If the record is missing, the last known term stays. */
void mv_state_cache_apply_term(mv_membership *membership, const msgpack_object *object,
                               uint64_t revision);
/**
 * Applies the entry of the controller called `name`. The entry exists while the controller's lease
 * session is alive.
 */
void mv_state_cache_apply_node(mv_membership *membership, const char *name,
                               const msgpack_object *object, uint64_t revision);
/**
 * Applies the record that the controller called `name` uses the current format. This record
 * outlives the controller's process, because a restarted controller is expected to run the same
 * version.
 */
void mv_state_cache_apply_format(mv_membership *membership, const char *name,
                                 const msgpack_object *object, uint64_t revision);
/**
 * Applies the lease of a shard. If the term is new, the cache forgets what it knows of the shard's
 * machines and jobs; heartbeats under the new term report this state again.
 */
void mv_state_cache_apply_shard(mv_membership *membership, unsigned index,
                                const msgpack_object *object, uint64_t revision);
#endif
