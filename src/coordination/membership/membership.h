/**
 * Membership: the live controllers, the leader, the leases of shards, and the state cache that
 * holds their records.
 *
 * The leader is the controller that the leader's record names. The leader grants shards, and each
 * grant gets a new term. All terms come from one counter that only rises. The terms that
 * controllers send to agents serve as fencing tokens.
 */
#ifndef MV_MEMBERSHIP_H
#define MV_MEMBERSHIP_H
#include "coordination/agents/agents.h"

/** A live controller. */
typedef struct {
    char node[MV_NAME_SIZE];
    uint64_t incarnation, revision;
    unsigned format; /**< format of the records that the controller writes; 0: not stated */
} mv_node_entry;

/** The revisions of the cached records, and how complete the cache is. */
typedef struct {
    bool loaded; /**< all records have been listed at least once */
    /** All records are being listed, or no watch sent after the list has been answered yet. */
    bool relisting;
    double relisted_at;    /**< when the last list of all records was complete */
    GHashTable *revisions; /**< key -> revision of its record in the cache */
    /** char *: ids of machines that a segment stopped naming and that may have to be removed. */
    GPtrArray *departed;
    uint64_t departed_revision; /**< revision of the last partition record that was read */
} mv_state_cache;

/** The state of this module. Times are seconds of the monotonic clock. The lease of a shard is in
 * mv_shard. */
typedef struct {
    mv_context *context;
    mv_job_table *jobs;
    const mv_launch_control *launch_control;
    mv_agents *agents;
    mv_state_cache cache;
    GHashTable *nodes; /**< name of a live controller -> mv_node_entry */
    /** Name of a controller known to use the current format -> revision of the record that says so.
     */
    GHashTable *formats;
    mv_lease_holder leader;
    uint64_t leader_revision; /**< 0: there is no leader */
    uint64_t term, term_revision;
    bool leading;         /**< this controller was the leader at the last tick */
    double leading_since; /**< when `leading` last changed */
    mv_transaction_slot node_transaction, leader_transaction, grant_transaction, format_transaction;
    /** A write of partitions with a new term, or a reservation of tokens. Only one may be in
     * flight: if several were, all but one would conflict on the counter of terms. */
    mv_transaction_slot term_transaction;
    double rebalanced_at; /**< when a shard was last moved for balance */
    /** Name of a controller that resigned a shard, because it reached no machine or because it
     * alone is isolated -> when its back-off ends. Until then the leader prefers other controllers.
     */
    GHashTable *resigned;
    GHashTable *released_names; /**< id of a machine returned to the cloud -> when */
} mv_membership;

/**
 * Initializes `membership` with an empty cache. `membership` borrows the other modules, which must
 * outlive it. The caller frees the contents with mv_membership_clear.
 */
void mv_membership_init(mv_membership *membership, mv_context *context, mv_job_table *jobs,
                        const mv_launch_control *launch_control, mv_agents *agents);
/** Frees the cache and the tables, but not `membership` itself. */
void mv_membership_clear(mv_membership *membership);

/**
 * Returns whether this process is the leader and its lease session is certainly valid. The leader's
 * record is bound to the session, so a record that the state cache read before the session began
 * does not count.
 */
bool mv_membership_is_leader(const mv_membership *membership);
/**
 * Returns whether this process is the leader and its state cache is recent enough to decide which
 * machines are needed: the state service does not check requests to the cloud.
 */
bool mv_membership_may_change_fleet(const mv_membership *membership);
/** Updates whether this process is the leader at this tick, and returns whether that changed. */
bool mv_membership_update_leading(mv_membership *membership);
/** Returns whether the process that holds the lease is alive: its entry in the state cache has the
 * same incarnation. */
bool mv_membership_holder_is_alive(const mv_membership *membership, const mv_lease_holder *holder);
/**
 * Returns whether every controller is known to read the current format. Records that a controller
 * of format 1 cannot read are written only while this is true. The entry of a live controller
 * states its format. A controller that is down counts as old unless a record says that it used the
 * current format.
 */
bool mv_membership_formats_are_current(const mv_membership *membership);

/** Records that a machine was returned to the cloud just now. */
void mv_membership_mark_released(mv_membership *membership, const char *machine);
/** Returns whether a machine was returned so recently that a delayed machine list may still name
 * it. */
bool mv_membership_was_released(const mv_membership *membership, const char *machine);
/** Forgets the returned machines that no delayed machine list can name any more. */
void mv_membership_forget_released(mv_membership *membership);
/**
 * Passes the result of an answered transaction to the slot, of this module or of a shard, that sent
 * the transaction. Ignores transactions of other modules.
 */
void mv_membership_transaction_answered(mv_membership *membership, uint64_t id,
                                        mv_transaction_result result);
#endif
