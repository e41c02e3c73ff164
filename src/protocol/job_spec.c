/** Parses, validates and writes the specification of a job. */
#include "protocol/job_spec.h"

#include "protocol/names.h"

#include <string.h>

#define JOB_FIELDS 20 /* number of fields of a job on the wire */

static const char *const PRIORITIES[] = {WIRE_PROD, WIRE_HIGH, WIRE_STANDARD, WIRE_IDLE};

bool mv_job_id_valid(const char *id)
{
    if (!g_str_has_prefix(id, WIRE_JOB_PREFIX) || strlen(id) >= MV_ID_SIZE)
        return false;
    const char *digits = id + strlen(WIRE_JOB_PREFIX);
    if (!*digits)
        return false;
    for (; *digits; digits++)
        if (!g_ascii_isdigit(*digits))
            return false;
    return true;
}

/* --- parsing: each function returns the wire name of the first invalid field, or NULL --- */

static const char *parse_identity(const msgpack_object *object, mv_job_spec *out)
{
    if (mv_field_read_text(object, WIRE_ID, out->id, sizeof out->id) != MV_FIELD_PRESENT ||
        !mv_job_id_valid(out->id))
        return WIRE_ID;
    if (mv_field_read_text(object, WIRE_CLASS, out->class_name, MV_NAME_SIZE) != MV_FIELD_PRESENT)
        return WIRE_CLASS;
    if (mv_field_read_text(object, WIRE_TEAM, out->team_name, MV_NAME_SIZE) != MV_FIELD_PRESENT)
        return WIRE_TEAM;
    return NULL;
}

static const char *parse_shape(const msgpack_object *object, mv_job_spec *out)
{
    const msgpack_object *shape = mv_field_find(object, WIRE_SHAPE);
    out->service = mv_text_is(shape, WIRE_SERVICE);
    if (!out->service && !mv_text_is(shape, WIRE_BATCH))
        return WIRE_SHAPE;
    const int priority =
        mv_text_index(mv_field_find(object, WIRE_PRIORITY), PRIORITIES, G_N_ELEMENTS(PRIORITIES));
    if (priority < 0)
        return WIRE_PRIORITY;
    out->priority = (mv_priority)priority;
    uint64_t tasks = 0;
    if (mv_field_read_u64(object, WIRE_TASKS, &tasks) != MV_FIELD_PRESENT || tasks < 1 ||
        tasks > MV_JOB_TASKS_MAX)
        return WIRE_TASKS;
    out->tasks = (uint32_t)tasks;
    return NULL;
}

static const char *parse_amounts(const msgpack_object *object, mv_job_spec *out)
{
    const struct {
        const char *name;
        double *value;
    } amounts[] = {{WIRE_CORES, &out->cores},
                   {WIRE_GPUS, &out->gpus},
                   {WIRE_RAM_GB, &out->ram_gb},
                   {WIRE_IMAGE_GB, &out->image_gb},
                   {WIRE_ESTIMATED_RUNTIME, &out->estimated_runtime_s},
                   {WIRE_CHECKPOINT_INTERVAL, &out->checkpoint_interval_s},
                   {WIRE_CHECKPOINT_COST, &out->checkpoint_cost_s}};
    for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++)
        if (!mv_field_read_amount(object, amounts[i].name, amounts[i].value))
            return amounts[i].name;
    if (out->cores <= 0 && out->gpus <= 0)
        return WIRE_CORES;
    return NULL;
}

static const char *parse_image(const msgpack_object *object, mv_job_spec *out)
{
    if (mv_field_read_text(object, WIRE_IMAGE, out->image_name, MV_NAME_SIZE) != MV_FIELD_PRESENT)
        return WIRE_IMAGE;
    return NULL;
}

static const char *parse_machine_types(const msgpack_object *object, mv_job_spec *out)
{
    const msgpack_object *types = mv_field_find(object, WIRE_MACHINE_TYPES);
    if (!types)
        return NULL;
    if (types->type != MSGPACK_OBJECT_ARRAY || types->via.array.size == 0)
        return WIRE_MACHINE_TYPES;
    out->type_name_count = types->via.array.size;
    out->type_names = g_malloc0_n(out->type_name_count, MV_NAME_SIZE);
    for (size_t i = 0; i < out->type_name_count; i++)
        if (!mv_text_copy(&types->via.array.ptr[i], out->type_names[i], MV_NAME_SIZE))
            return WIRE_MACHINE_TYPES;
    return NULL;
}

static const char *parse_placement(const msgpack_object *object, mv_job_spec *out)
{
    const mv_field_result zone =
        mv_field_read_text(object, WIRE_ZONE, out->zone_name, MV_NAME_SIZE);
    if (zone == MV_FIELD_INVALID)
        return WIRE_ZONE;
    out->has_zone = zone == MV_FIELD_PRESENT;
    const struct {
        const char *name;
        bool *value;
    } flags[] = {{WIRE_SAME_ZONE, &out->same_zone},
                 {WIRE_SPREAD_ZONES, &out->spread_zones},
                 {WIRE_SPOT, &out->spot}};
    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++)
        if (mv_field_read_bool(object, flags[i].name, flags[i].value) != MV_FIELD_PRESENT)
            return flags[i].name;
    return NULL;
}

static const char *parse_deadline(const msgpack_object *object, mv_job_spec *out)
{
    out->deadline_s = -1;
    const mv_field_result deadline = mv_field_read_number(object, WIRE_DEADLINE, &out->deadline_s);
    const bool negative = deadline == MV_FIELD_PRESENT && out->deadline_s < 0;
    return deadline == MV_FIELD_INVALID || negative ? WIRE_DEADLINE : NULL;
}

const char *mv_job_spec_parse(const msgpack_object *object, mv_job_spec *out)
{
    /* If several fields are invalid, the error names the one that the earliest step checks. */
    static const char *(*const STEPS[])(const msgpack_object *, mv_job_spec *) = {
        parse_identity,      parse_shape,     parse_amounts, parse_image,
        parse_machine_types, parse_placement, parse_deadline};
    memset(out, 0, sizeof *out);
    if (!object || object->type != MSGPACK_OBJECT_MAP)
        return "not a map";
    const char *wrong_field = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(STEPS) && !wrong_field; i++)
        wrong_field = STEPS[i](object, out);
    return wrong_field;
}

/* --- writing --- */

static void write_machine_types(mv_writer *writer, const mv_job_spec *job)
{
    mv_write_text(writer, WIRE_MACHINE_TYPES);
    if (!job->type_names) {
        mv_write_nil(writer);
        return;
    }
    mv_write_list(writer, job->type_name_count);
    for (size_t i = 0; i < job->type_name_count; i++)
        mv_write_text(writer, job->type_names[i]);
}

static void write_zone(mv_writer *writer, const mv_job_spec *job)
{
    mv_write_text(writer, WIRE_ZONE);
    if (job->has_zone)
        mv_write_text(writer, job->zone_name);
    else
        mv_write_nil(writer);
}

static void write_deadline(mv_writer *writer, const mv_job_spec *job)
{
    mv_write_text(writer, WIRE_DEADLINE);
    if (job->deadline_s >= 0)
        mv_write_number(writer, job->deadline_s);
    else
        mv_write_nil(writer);
}

void mv_job_spec_write(mv_writer *writer, const mv_job_spec *job, size_t extra_fields)
{
    mv_write_map(writer, JOB_FIELDS + extra_fields);
    mv_write_text_field(writer, WIRE_ID, job->id);
    mv_write_text_field(writer, WIRE_CLASS, job->class_name);
    mv_write_text_field(writer, WIRE_TEAM, job->team_name);
    mv_write_text_field(writer, WIRE_SHAPE, job->service ? WIRE_SERVICE : WIRE_BATCH);
    mv_write_text_field(writer, WIRE_PRIORITY, PRIORITIES[job->priority]);
    mv_write_u64_field(writer, WIRE_TASKS, job->tasks);
    mv_write_number_field(writer, WIRE_CORES, job->cores);
    mv_write_number_field(writer, WIRE_GPUS, job->gpus);
    mv_write_number_field(writer, WIRE_RAM_GB, job->ram_gb);
    mv_write_text_field(writer, WIRE_IMAGE, job->image_name);
    mv_write_number_field(writer, WIRE_IMAGE_GB, job->image_gb);
    write_machine_types(writer, job);
    write_zone(writer, job);
    mv_write_bool_field(writer, WIRE_SAME_ZONE, job->same_zone);
    mv_write_bool_field(writer, WIRE_SPREAD_ZONES, job->spread_zones);
    mv_write_bool_field(writer, WIRE_SPOT, job->spot);
    mv_write_number_field(writer, WIRE_ESTIMATED_RUNTIME, job->estimated_runtime_s);
    mv_write_number_field(writer, WIRE_CHECKPOINT_INTERVAL, job->checkpoint_interval_s);
    mv_write_number_field(writer, WIRE_CHECKPOINT_COST, job->checkpoint_cost_s);
    write_deadline(writer, job);
}

void mv_job_spec_clear(mv_job_spec *job)
{
    g_clear_pointer(&job->type_names, g_free);
    job->type_name_count = 0;
}
