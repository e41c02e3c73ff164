/** Packs and parses the records that controllers keep in the state service. */
#include "protocol/records.h"

#include "protocol/names.h"

#include <math.h>
#include <string.h>

GBytes *mv_lease_holder_pack(const mv_lease_holder *holder)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 3 + (holder->teams ? 1u : 0u) + (holder->format ? 1u : 0u));
    mv_write_text_field(writer, RECORD_NODE, holder->node);
    mv_write_u64_field(writer, RECORD_INCARNATION, holder->incarnation);
    mv_write_u64_field(writer, RECORD_TERM, holder->term);
    if (holder->teams) {
        mv_write_text(writer, RECORD_TEAMS);
        mv_write_text_list(writer, holder->teams);
    }
    if (holder->format)
        mv_write_u64_field(writer, RECORD_FORMAT, holder->format);
    return mv_writer_finish(writer);
}

bool mv_lease_holder_parse(const msgpack_object *object, mv_lease_holder *out)
{
    memset(out, 0, sizeof *out);
    if (mv_field_read_text(object, RECORD_NODE, out->node, MV_NAME_SIZE) != MV_FIELD_PRESENT ||
        mv_field_read_u64(object, RECORD_INCARNATION, &out->incarnation) != MV_FIELD_PRESENT ||
        mv_field_read_u64(object, RECORD_TERM, &out->term) != MV_FIELD_PRESENT)
        return false;
    uint64_t format = 0;
    if (mv_field_read_u64(object, RECORD_FORMAT, &format) == MV_FIELD_PRESENT)
        out->format = (unsigned)MIN(format, G_MAXUINT);
    const msgpack_object_array *teams = mv_field_read_list(object, RECORD_TEAMS);
    out->teams = teams ? mv_text_list_copy(teams) : NULL;
    return true;
}

void mv_lease_holder_clear(mv_lease_holder *holder)
{
    g_clear_pointer(&holder->teams, g_ptr_array_unref);
}

/* Writes a machine of a partition. The state service limits the size of a value, so a field that is
 * false or 0 is left out: readers treat an absent field as false or 0. */
static void write_member(mv_writer *writer, const mv_partition_member *member)
{
    mv_write_map(writer, 5 + (member->spot ? 1u : 0u) + (member->term ? 1u : 0u));
    mv_write_text_field(writer, WIRE_ID, member->id);
    mv_write_text_field(writer, WIRE_ADDRESS, member->address);
    mv_write_text_field(writer, WIRE_MACHINE_TYPE, member->type_name);
    mv_write_text_field(writer, WIRE_ZONE, member->zone_name);
    if (member->spot)
        mv_write_bool_field(writer, WIRE_SPOT, true);
    if (member->term)
        mv_write_u64_field(writer, RECORD_TERM, member->term);
    mv_write_number_field(writer, RECORD_TIME, floor(member->rented_at_wall));
}

GBytes *mv_partition_pack(const GArray *members)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 1);
    mv_write_text(writer, RECORD_MACHINES);
    mv_write_list(writer, members->len);
    for (guint i = 0; i < members->len; i++)
        write_member(writer, &g_array_index(members, mv_partition_member, i));
    return mv_writer_finish(writer);
}

GArray *mv_partition_parse(const msgpack_object *object)
{
    const msgpack_object_array *list = mv_field_read_list(object, RECORD_MACHINES);
    if (!list)
        return NULL;
    GArray *members = g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
    for (uint32_t i = 0; i < list->size; i++) {
        const msgpack_object *item = &list->ptr[i];
        mv_partition_member member = {0};
        if (!mv_machine_identity_read(item, member.id, member.address, member.type_name,
                                      member.zone_name, &member.spot))
            continue;
        mv_field_read_u64(item, RECORD_TERM, &member.term);
        mv_field_read_number(item, RECORD_TIME, &member.rented_at_wall);
        g_array_append_val(members, member);
    }
    return members;
}

/* Packs a record that consists of one integer field. */
static GBytes *pack_integer(const char *name, uint64_t value)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 1);
    mv_write_u64_field(writer, name, value);
    return mv_writer_finish(writer);
}

GBytes *mv_format_pack(unsigned format)
{
    return pack_integer(RECORD_FORMAT, format);
}

GBytes *mv_counter_pack(uint64_t value)
{
    return pack_integer(RECORD_TERM, value);
}

bool mv_counter_parse(const msgpack_object *object, uint64_t *value)
{
    return mv_field_read_u64(object, RECORD_TERM, value) == MV_FIELD_PRESENT;
}

GBytes *mv_job_record_pack(const mv_job_spec *job, unsigned home_shard, double accepted_at_wall)
{
    mv_writer *writer = mv_writer_new();
    mv_job_spec_write(writer, job, 2);
    mv_write_u64_field(writer, RECORD_HOME_SHARD, home_shard);
    mv_write_number_field(writer, RECORD_TIME, accepted_at_wall);
    return mv_writer_finish(writer);
}

bool mv_job_record_cancel_requested(const msgpack_object *object)
{
    bool requested = false;
    mv_field_read_bool(object, RECORD_CANCEL_REQUESTED, &requested);
    return requested;
}

GBytes *mv_job_record_request_cancellation(const msgpack_object *object)
{
    if (object->type != MSGPACK_OBJECT_MAP || mv_field_find(object, RECORD_CANCEL_REQUESTED))
        return NULL;
    const msgpack_object_map *fields = &object->via.map;
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, (size_t)fields->size + 1);
    for (uint32_t i = 0; i < fields->size; i++) {
        mv_write_object(writer, &fields->ptr[i].key);
        mv_write_object(writer, &fields->ptr[i].val);
    }
    mv_write_bool_field(writer, RECORD_CANCEL_REQUESTED, true);
    return mv_writer_finish(writer);
}

/* Bytes of a job record without the job's texts: field names, heads of values, and numbers. A
 * record that says that a user asked to cancel the job is not larger. */
#define JOB_RECORD_FIXED_BYTES 480
#define TEXT_HEAD_BYTES_MAX 3

size_t mv_job_record_bytes(const mv_job_spec *job)
{
    size_t bytes = JOB_RECORD_FIXED_BYTES + strlen(job->id) + strlen(job->class_name) +
                   strlen(job->team_name) + strlen(job->image_name) + strlen(job->zone_name);
    for (size_t i = 0; i < job->type_name_count; i++)
        bytes += strlen(job->type_names[i]) + TEXT_HEAD_BYTES_MAX;
    return bytes;
}

bool mv_job_record_parse(const msgpack_object *object, mv_job_spec *job, unsigned *home_shard,
                         double *accepted_at_wall)
{
    uint64_t shard = 0;
    if (mv_job_spec_parse(object, job) == NULL &&
        mv_field_read_number(object, RECORD_TIME, accepted_at_wall) == MV_FIELD_PRESENT &&
        mv_field_read_u64(object, RECORD_HOME_SHARD, &shard) == MV_FIELD_PRESENT &&
        shard < MV_SHARDS_MAX) {
        *home_shard = (unsigned)shard;
        return true;
    }
    mv_job_spec_clear(job);
    return false;
}

GBytes *mv_completion_record_pack(const char *bits, unsigned running)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 2);
    mv_write_text_field(writer, RECORD_COMPLETION_BITS, bits);
    mv_write_u64_field(writer, WIRE_RUNNING, running);
    return mv_writer_finish(writer);
}

bool mv_completion_record_parse(const msgpack_object *object, GString *bits, unsigned *running)
{
    const msgpack_object *digits = mv_field_find(object, RECORD_COMPLETION_BITS);
    uint64_t count = 0;
    if (!digits || digits->type != MSGPACK_OBJECT_STR ||
        mv_field_read_u64(object, WIRE_RUNNING, &count) == MV_FIELD_INVALID)
        return false;
    g_string_truncate(bits, 0);
    g_string_append_len(bits, digits->via.str.ptr, digits->via.str.size);
    *running = (unsigned)count;
    return true;
}

/* Begins a final record with room for `extra_fields` further fields. */
static mv_writer *begin_final_record(bool done, unsigned tasks, double ended_at_wall,
                                     size_t extra_fields)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 3 + extra_fields);
    mv_write_text_field(writer, WIRE_STATUS, done ? WIRE_DONE : WIRE_CANCELLED);
    mv_write_u64_field(writer, WIRE_TASKS, tasks);
    mv_write_number_field(writer, RECORD_TIME, ended_at_wall);
    return writer;
}

GBytes *mv_final_record_pack(bool done, unsigned tasks, double ended_at_wall)
{
    return mv_writer_finish(begin_final_record(done, tasks, ended_at_wall, 0));
}

GBytes *mv_final_record_pack_unacknowledged(unsigned tasks, double ended_at_wall)
{
    mv_writer *writer = begin_final_record(false, tasks, ended_at_wall, 1);
    mv_write_bool_field(writer, RECORD_UNACKNOWLEDGED, true);
    return mv_writer_finish(writer);
}

bool mv_final_record_is_acknowledged(const msgpack_object *object)
{
    bool unacknowledged = false;
    mv_field_read_bool(object, RECORD_UNACKNOWLEDGED, &unacknowledged);
    return !unacknowledged;
}

bool mv_final_record_parse(const msgpack_object *object, bool *done, unsigned *tasks)
{
    uint64_t count = 0;
    if (mv_field_read_u64(object, WIRE_TASKS, &count) != MV_FIELD_PRESENT)
        return false;
    const msgpack_object *status = mv_field_find(object, WIRE_STATUS);
    *tasks = (unsigned)count;
    *done = mv_text_is(status, WIRE_DONE);
    return *done || mv_text_is(status, WIRE_CANCELLED);
}
