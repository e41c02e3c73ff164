/**
 * Passes each record that the state service reports to the module that its key belongs to.
 */
#include "coordination/controller/controller_internal.h"

#include "coordination/agents/placement.h"
#include "coordination/jobs/job_records.h"
#include "coordination/membership/partition_cache.h"
#include "coordination/membership/state_cache.h"
#include "protocol/names.h"

#include <string.h>

/* Bytes of a shard number as text, including the terminating NUL. */
#define SHARD_NUMBER_SIZE 16

/* --- keys --- */

static bool parse_number(const char *text, unsigned limit, unsigned *number)
{
    guint64 value;
    if (!g_ascii_string_to_unsigned(text, 10, 0, limit - 1, &value, NULL))
        return false;
    *number = (unsigned)value;
    return true;
}

/* Parses a key that consists of a prefix and a shard number. */
static bool parse_shard_key(const char *key, const char *prefix, unsigned *shard)
{
    return g_str_has_prefix(key, prefix) &&
           parse_number(key + strlen(prefix), MV_SHARDS_MAX, shard);
}

/* Parses a key that consists of a prefix, a shard number, a slash and the number of a segment of
 * the shard's partition. */
static bool parse_segment_key(const char *key, const char *prefix, unsigned *shard,
                              unsigned *segment)
{
    char shard_number[SHARD_NUMBER_SIZE];
    const char *slash = strrchr(key, '/');
    const char *begin = key + strlen(prefix);
    if (!g_str_has_prefix(key, prefix) || slash < begin)
        return false;
    size_t length = (size_t)(slash - begin);
    if (length >= sizeof shard_number)
        return false;
    memcpy(shard_number, begin, length);
    shard_number[length] = 0;
    return parse_number(shard_number, MV_SHARDS_MAX, shard) &&
           parse_number(slash + 1, MV_SEGMENTS_MAX, segment);
}

/* Returns the part of the key after the prefix, or NULL if the key has another prefix. */
static const char *after_prefix(const char *key, const char *prefix)
{
    return g_str_has_prefix(key, prefix) ? key + strlen(prefix) : NULL;
}

/* --- records --- */

static void apply_machine_types(mv_context *context, const msgpack_object *object,
                                uint64_t revision)
{
    context->catalog.revision = object ? revision : 0;
    if (object && !context->catalog.types)
        context->catalog.types = mv_machine_types_parse(object);
}

static void apply_job_record(mv_controller *controller, const char *id,
                             const msgpack_object *object, uint64_t revision)
{
    mv_job_record_changed(&controller->jobs, id, object, revision);
    mv_job *job = mv_job_table_find(&controller->jobs, id);
    if (!job || !mv_job_record_cancel_requested(object) || EMULATES_FORMAT_1(&controller->context))
        return;
    job->cancellation_recorded = true;
    mv_cancellation_begin(controller, job);
}

static void apply_job_removal(mv_controller *controller, const char *id)
{
    mv_job *job = mv_job_table_find(&controller->jobs, id);
    if (!job)
        return;
    mv_placements_orphan(&controller->agents, job);
    mv_job_record_removed(&controller->jobs, job);
}

static void apply_job(mv_controller *controller, const char *id, const msgpack_object *object,
                      uint64_t revision)
{
    if (object)
        apply_job_record(controller, id, object, revision);
    else
        apply_job_removal(controller, id);
}

static void apply_record(mv_controller *controller, const char *key, const msgpack_object *object,
                         uint64_t revision)
{
    mv_membership *membership = &controller->membership;
    unsigned shard, segment;
    const char *name;
    if (strcmp(key, KEY_LEADER) == 0)
        mv_state_cache_apply_leader(membership, object, revision);
    else if (strcmp(key, KEY_TERM) == 0)
        mv_state_cache_apply_term(membership, object, revision);
    else if (strcmp(key, KEY_MACHINE_TYPES) == 0)
        apply_machine_types(&controller->context, object, revision);
    else if ((name = after_prefix(key, KEY_FORMAT_PREFIX)))
        mv_state_cache_apply_format(membership, name, object, revision);
    else if ((name = after_prefix(key, KEY_NODE_PREFIX)))
        mv_state_cache_apply_node(membership, name, object, revision);
    else if (parse_shard_key(key, KEY_SHARD_PREFIX, &shard))
        mv_state_cache_apply_shard(membership, shard, object, revision);
    else if (parse_segment_key(key, KEY_PARTITION_PREFIX, &shard, &segment))
        mv_partition_cache_apply_members(membership, shard, segment, object, revision);
    else if (parse_segment_key(key, KEY_OCCUPANCY_PREFIX, &shard, &segment))
        mv_partition_cache_apply_occupancy(membership, shard, segment, object, revision);
    else if ((name = after_prefix(key, KEY_JOB_PREFIX)))
        apply_job(controller, name, object, revision);
    else if ((name = after_prefix(key, KEY_COMPLETION_PREFIX)))
        mv_completion_record_changed(&controller->jobs, name, object, revision);
}

static mv_document *parse(GBytes *data)
{
    gsize size;
    const void *bytes = g_bytes_get_data(data, &size);
    return mv_document_parse(bytes, size);
}

void mv_controller_record_changed(mv_controller *controller, double now, const char *key,
                                  GBytes *data, uint64_t revision)
{
    mv_membership *membership = &controller->membership;
    mv_clock_advance(&controller->context.clock, now);
    if (!mv_state_cache_accept(membership, key, data == NULL, revision))
        return;
    bool same_transaction = revision && revision == membership->cache.departed_revision;
    if (!same_transaction)
        mv_partition_cache_remove_departed(membership);
    g_autoptr(mv_document) document = data ? parse(data) : NULL;
    apply_record(controller, key, document ? mv_document_root(document) : NULL, revision);
    controller->context.round_requested = true;
    if (membership->cache.loaded)
        mv_controller_run_due_work(controller);
}

/* --- lists and watches --- */

void mv_controller_relist_started(mv_controller *controller, double now)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_partition_cache_remove_departed(&controller->membership);
    mv_state_cache_relist_started(&controller->membership);
}

void mv_controller_cache_loaded(mv_controller *controller, double now)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_state_cache_loaded(&controller->membership);
}

void mv_controller_watch_caught_up(mv_controller *controller, double now, double sent)
{
    mv_clock_advance(&controller->context.clock, now);
    mv_state_cache_watch_answered(&controller->membership, sent);
    mv_partition_cache_remove_departed(&controller->membership);
    if (controller->launch_control.connectivity)
        mv_connectivity_watch_answered(controller->launch_control.connectivity, sent);
}
