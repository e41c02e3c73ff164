/**
 * Packs and parses the records that controllers keep in the state service.
 *
 * Keys and formats of records never change, because controllers of two versions read the same
 * records during an upgrade. MV_FORMAT_CURRENT is the number of the newest format. names.h defines
 * the keys and the field names. Every `pack` function returns bytes that the caller unrefs.
 */
#ifndef MV_RECORDS_H
#define MV_RECORDS_H
#include "protocol/messages.h"

/**
 * The owner of a shard. A shard consists of some teams and a partition of the machines. The same
 * type also serves for the entry of a controller (KEY_NODE_PREFIX) and for the leader (KEY_LEADER);
 * these two records have no teams.
 */
typedef struct {
    char node[MV_NAME_SIZE];
    uint64_t incarnation, term;
    GPtrArray *teams; /* names (char *), owned, or NULL */
    unsigned format;  /* entry of a controller: MV_FORMAT_CURRENT of its version; 0: not stated */
} mv_lease_holder;

/** A machine of a partition. */
typedef struct {
    char id[MV_NAME_SIZE], address[MV_ADDRESS_SIZE], type_name[MV_NAME_SIZE],
        zone_name[MV_NAME_SIZE];
    bool spot;
    uint64_t term; /* the machine's own term, which replaces the term of the shard's owner if the
                      machine's is higher; 0: the machine has no term of its own */
    double rented_at_wall; /* time of the request to the cloud: wall clock, in full seconds */
} mv_partition_member;

/** Packs an owner. The record has no teams if `teams` is NULL, and no format if `format` is 0. */
GBytes *mv_lease_holder_pack(const mv_lease_holder *holder);

/**
 * Parses an owner. Returns false if node, incarnation or term is absent or invalid. The caller
 * clears `out` in both cases.
 */
bool mv_lease_holder_parse(const msgpack_object *object, mv_lease_holder *out);

/** Frees the list of teams in `holder`, not `holder` itself. */
void mv_lease_holder_clear(mv_lease_holder *holder);

/** Packs a segment of a partition; `members` is an array of mv_partition_member. */
GBytes *mv_partition_pack(const GArray *members);

/**
 * Parses a segment of a partition into an array of mv_partition_member, which the caller unrefs.
 * Returns NULL if the record has no list of machines. A machine without an id is left out.
 */
GArray *mv_partition_parse(const msgpack_object *object);

/** Packs a record with `format`, the number of the record format that a controller writes. */
GBytes *mv_format_pack(unsigned format);

/** Packs a record of one integer. The field has the same name in all versions of the service. */
GBytes *mv_counter_pack(uint64_t value);

/** Parses a record of one integer. Returns false if the field is absent or invalid. */
bool mv_counter_parse(const msgpack_object *object, uint64_t *value);

/**
 * Packs an accepted job, together with the index of the job's shard and the time of acceptance by
 * the wall clock.
 */
GBytes *mv_job_record_pack(const mv_job_spec *job, unsigned home_shard, double accepted_at_wall);

/**
 * Parses an accepted job. If the result is true, the caller clears `job`. If a field is absent or
 * invalid, the result is false and `job` owns nothing.
 */
bool mv_job_record_parse(const msgpack_object *object, mv_job_spec *job, unsigned *home_shard,
                         double *accepted_at_wall);

/** Returns whether the record of an accepted job says that a user asked to cancel the job. */
bool mv_job_record_cancel_requested(const msgpack_object *object);

/**
 * Packs a copy of the record of an accepted job that also says that a user asked to cancel the job.
 * The copy keeps all fields, also those that only a later version knows. Returns NULL if `object`
 * is not a map or says so already.
 */
GBytes *mv_job_record_request_cancellation(const msgpack_object *object);

/**
 * Returns the size of a job's record in bytes, as the limits of the state service count the size.
 * The result is an upper estimate, which can be slightly too high.
 */
size_t mv_job_record_bytes(const mv_job_spec *job);

/**
 * Packs the completion record of one chunk of a job: the bitmap of completed tasks as hex digits,
 * and the number of running tasks of the whole job.
 */
GBytes *mv_completion_record_pack(const char *bits, unsigned running);

/**
 * Parses a completion record and overwrites `bits`. `*running` becomes 0 if the field is absent.
 * Returns false, and leaves `bits` and `*running` unchanged, if the record is invalid.
 */
bool mv_completion_record_parse(const msgpack_object *object, GString *bits, unsigned *running);

/**
 * Packs the outcome of a job (done or cancelled), the number of the job's tasks, and the end time
 * by the wall clock.
 */
GBytes *mv_final_record_pack(bool done, unsigned tasks, double ended_at_wall);

/**
 * Packs the outcome of a job that was cancelled without the acknowledgement of its owner, whose
 * version knows no acknowledgements.
 */
GBytes *mv_final_record_pack_unacknowledged(unsigned tasks, double ended_at_wall);

/** Returns whether the record does not say that the owner has not acknowledged the cancellation. */
bool mv_final_record_is_acknowledged(const msgpack_object *object);

/**
 * Parses the outcome of a job. Returns false if the outcome or the number of tasks is absent or
 * invalid.
 */
bool mv_final_record_parse(const msgpack_object *object, bool *done, unsigned *tasks);
#endif
