/**
 * A shard of the fleet consists of a lease and a partition. The partition is the set of machines
 * that the shard's owner may use.
 *
 * Each group of fields has one module that writes the group. Membership writes the lease, the
 * segments and their transactions. Agents writes the counts of machines and heartbeats. Scheduling
 * and autoscaling write the groups with their names.
 */
#ifndef MV_SHARD_H
#define MV_SHARD_H
#include "coordination/foundation/resources.h"
#include "coordination/foundation/shard_demand.h"
#include "coordination/foundation/token_range.h"
#include "coordination/foundation/transaction_slot.h"
#include "protocol/records.h"

/**
 * A segment: one of the records in which a partition is stored. A partition needs several records,
 * because the size of a value in the state service is limited. Each record names some machines.
 */
typedef struct {
    unsigned index;
    uint64_t partition_revision; /**< revision of the partition record; 0: there is no record */
    uint64_t occupancy_revision; /**< revision of the occupancy record; 0: there is no record */
    guint recorded_members;      /**< number of machines that the partition record names; if the
                                    number exceeds that of `members`, a newer segment names the
                                    machines that are missing in `members` */
    GPtrArray *members;          /**< mv_machine, not owned */
    GHashTable *occupied_names; /**< machines that the occupancy record lists, because they may hold
                                   tasks */
    unsigned unrecorded_count;  /**< confirmed members that the occupancy record does not list */
    bool needs_write;           /**< the leader has to remove members or to fence them off */
    bool withdraws_transfer;    /**< the shard's owner withdraws machines that the owner declared
                                   transferable, by writing the occupancy record again */
} mv_partition_segment;

typedef struct mv_shard mv_shard;

/** A shard. The context owns all shards and never removes one. Times are seconds of the monotonic
 * clock. */
struct mv_shard {
    unsigned index;
    /* the lease */
    mv_lease_holder holder;
    uint64_t revision;       /**< revision of the shard record; 0: there is no record */
    uint64_t grant_revision; /**< revision of the shard record that began the current term */
    bool owned;              /**< the shard record names this process as the owner;
                                mv_shard_is_owned also checks the lease */
    bool was_owned;          /**< result of mv_shard_is_owned at the last tick */
    double acquired_at;      /**< when the current owner was granted the shard */
    bool rebuilt; /**< every machine that may hold tasks has reported to the current owner */
    unsigned resignations; /**< number of owners in a row that resigned, because they reached no
                              machine */
    /* fencing tokens, reserved by the owner */
    mv_token_range tokens;           /**< the range that the owner may use under this grant */
    mv_token_range requested_tokens; /**< the range of the reservation in flight */
    bool needs_tokens;               /**< a machine needs a token above the range */
    uint64_t token_transaction_id;   /**< the reservation in flight; 0: none */
    double tokens_reserved_at;       /**< when the last range was reserved; 0: none was */
    /* the partition */
    GPtrArray *segments; /**< mv_partition_segment */
    GArray *joining;     /**< mv_partition_member: machines that no partition record names yet */
    mv_transaction_slot partition_transaction, occupancy_transaction;
    double occupancy_recorded_at;
    /* agents */
    unsigned machine_count;
    double listening_since;   /**< the owner has accepted heartbeats of the shard's machines since
                                 this time */
    double last_heartbeat_at; /**< last heartbeat of any machine of the shard; 0: there was none */
    bool heartbeats_only; /**< heartbeats arrive, but commands reach less than half of the machines:
                             the link of this controller is probably faulty */
    /* scheduling */
    double last_job_at;       /**< arrival of the latest job whose home is this shard */
    mv_resources unknown_use; /**< within a scheduling round: maximum that machines with unknown
                                 tasks may use */
    uint32_t scarce_types; /**< within a scheduling round: machine types that are the only possible
                              type of some pending job */
    bool any_drained;      /**< a machine of the shard may be draining */
    mv_resource_demand reserve; /**< capacity that the services of the shard would need after the
                                   loss of a machine */
    unsigned
        reserve_slots; /**< number of such replicas that the machines of the shard have room for */
    /* autoscaling, by the owner */
    double demand_published_at;
    /* autoscaling, by the leader */
    mv_shard_demand *demand; /**< demand that the leader received last; NULL: none */
    double demand_received_at;
    bool demand_unmet; /**< the shard needs more machines than it has or is about to get */
    bool starving;     /**< the unmet demand includes a job that is starving */
    uint32_t service_types_lacking; /**< machine types that could run replicas with unmet demand;
                                       the cloud has none to offer */
};

/** Creates a shard that no controller has been granted yet. */
mv_shard *mv_shard_new(unsigned index);
/** Frees a shard, its segments and the last received demand, but not the machines. */
void mv_shard_free(mv_shard *shard);
/**
 * Takes the requested range of tokens into use if the transaction `id` is its reservation and was
 * committed. `now`: seconds of the monotonic clock. Ignores other transactions.
 */
void mv_shard_reservation_answered(mv_shard *shard, double now, uint64_t id,
                                   mv_transaction_result result);
/** Forgets the ranges of tokens, which belong to the grant that ends. */
void mv_shard_forget_tokens(mv_shard *shard);
/** Returns the segment with this index, and creates the segment if there is none. */
mv_partition_segment *mv_shard_segment(mv_shard *shard, unsigned index);
#endif
