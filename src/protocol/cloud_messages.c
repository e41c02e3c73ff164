/** Parses responses of the cloud and packs requests to the cloud. */
#include "protocol/cloud_messages.h"

#include "protocol/names.h"

#include <string.h>

#define MACHINE_TYPE_FIELDS 10

/* --- machine types --- */

static void clear_machine_type(gpointer data)
{
    mv_machine_type *type = data;
    g_free(type->zones);
}

static gint compare_by_name(gconstpointer left, gconstpointer right)
{
    const mv_machine_type *left_type = left, *right_type = right;
    return strcmp(left_type->name, right_type->name);
}

static void parse_zones(const msgpack_object *object, mv_machine_type *out)
{
    const msgpack_object_array *zones = mv_field_read_list(object, WIRE_ZONES);
    const size_t size = zones ? zones->size : 0;
    out->zones = g_malloc0_n(size + 1, MV_NAME_SIZE);
    for (size_t i = 0; i < size; i++)
        if (mv_text_copy(&zones->ptr[i], out->zones[out->zone_count], MV_NAME_SIZE))
            out->zone_count++;
}

/* Reads a machine type. Returns false, and allocates nothing, if the name, the cores or the memory
 * is absent or invalid, because the scheduler cannot use such a type. An absent optional field gets
 * a default. */
static bool parse_machine_type(const msgpack_object *object, mv_machine_type *out)
{
    if (mv_field_read_text(object, WIRE_NAME, out->name, MV_NAME_SIZE) != MV_FIELD_PRESENT ||
        !mv_field_read_amount(object, WIRE_CORES, &out->cores) ||
        !mv_field_read_amount(object, WIRE_RAM_GB, &out->ram_gb))
        return false;
    out->image_cache_gb = 1;
    out->image_gb_per_s = 1;
    out->boot_s = 1;
    mv_field_read_number(object, WIRE_GPUS, &out->gpus);
    mv_field_read_number(object, WIRE_LOCAL_DISK_GB, &out->image_cache_gb);
    mv_field_read_number(object, WIRE_IMAGE_FETCH_RATE, &out->image_gb_per_s);
    mv_field_read_number(object, WIRE_PRICE, &out->price);
    out->spot_price = out->price;
    mv_field_read_number(object, WIRE_SPOT_PRICE, &out->spot_price);
    mv_field_read_number(object, WIRE_BOOT_TIME, &out->boot_s);
    parse_zones(object, out);
    return true;
}

GArray *mv_machine_types_parse(const msgpack_object *object)
{
    const msgpack_object_array *list = mv_field_read_list(object, WIRE_MACHINE_TYPES);
    if (!list)
        return NULL;
    GArray *types = g_array_new(FALSE, TRUE, sizeof(mv_machine_type));
    g_array_set_clear_func(types, clear_machine_type);
    for (uint32_t i = 0; i < list->size && types->len < MV_MACHINE_TYPES_MAX; i++) {
        mv_machine_type type = {0};
        if (parse_machine_type(&list->ptr[i], &type))
            g_array_append_val(types, type);
    }
    g_array_sort(types, compare_by_name);
    return types;
}

static void write_machine_type(mv_writer *writer, const mv_machine_type *type)
{
    mv_write_map(writer, MACHINE_TYPE_FIELDS);
    mv_write_text_field(writer, WIRE_NAME, type->name);
    mv_write_number_field(writer, WIRE_CORES, type->cores);
    mv_write_number_field(writer, WIRE_GPUS, type->gpus);
    mv_write_number_field(writer, WIRE_RAM_GB, type->ram_gb);
    mv_write_number_field(writer, WIRE_LOCAL_DISK_GB, type->image_cache_gb);
    mv_write_number_field(writer, WIRE_IMAGE_FETCH_RATE, type->image_gb_per_s);
    mv_write_number_field(writer, WIRE_PRICE, type->price);
    mv_write_number_field(writer, WIRE_SPOT_PRICE, type->spot_price);
    mv_write_number_field(writer, WIRE_BOOT_TIME, type->boot_s);
    mv_write_text(writer, WIRE_ZONES);
    mv_write_list(writer, type->zone_count);
    for (size_t i = 0; i < type->zone_count; i++)
        mv_write_text(writer, type->zones[i]);
}

GBytes *mv_machine_types_pack(const GArray *types)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 1);
    mv_write_text(writer, WIRE_MACHINE_TYPES);
    mv_write_list(writer, types->len);
    for (guint i = 0; i < types->len; i++)
        write_machine_type(writer, &g_array_index(types, mv_machine_type, i));
    return mv_writer_finish(writer);
}

/* --- machines --- */

bool mv_machine_identity_read(const msgpack_object *object, char id[MV_NAME_SIZE],
                              char address[MV_ADDRESS_SIZE], char type_name[MV_NAME_SIZE],
                              char zone_name[MV_NAME_SIZE], bool *spot)
{
    mv_field_read_text(object, WIRE_ADDRESS, address, MV_ADDRESS_SIZE);
    mv_field_read_text(object, WIRE_MACHINE_TYPE, type_name, MV_NAME_SIZE);
    mv_field_read_text(object, WIRE_ZONE, zone_name, MV_NAME_SIZE);
    mv_field_read_bool(object, WIRE_SPOT, spot);
    return mv_field_read_text(object, WIRE_ID, id, MV_NAME_SIZE) == MV_FIELD_PRESENT;
}

static bool parse_listed_machine(const msgpack_object *object, mv_listed_machine *out)
{
    if (!mv_machine_identity_read(object, out->id, out->address, out->type_name, out->zone_name,
                                  &out->spot))
        return false;
    const msgpack_object *status = mv_field_find(object, WIRE_STATUS);
    mv_field_read_number(object, WIRE_AGE, &out->age_s);
    out->failed = mv_text_is(status, WIRE_FAILED);
    out->booting = mv_text_is(status, WIRE_BOOTING);
    return true;
}

GArray *mv_machine_list_parse(const msgpack_object *object, bool *more)
{
    const msgpack_object_array *list = mv_field_read_list(object, WIRE_MACHINES);
    if (!list || mv_field_read_bool(object, WIRE_MORE, more) != MV_FIELD_PRESENT)
        return NULL;
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(mv_listed_machine));
    for (uint32_t i = 0; i < list->size; i++) {
        mv_listed_machine machine = {0};
        if (parse_listed_machine(&list->ptr[i], &machine))
            g_array_append_val(machines, machine);
    }
    return machines;
}

GPtrArray *mv_machine_names_parse(const msgpack_object *object)
{
    const msgpack_object_array *list = mv_field_read_list(object, WIRE_MACHINES);
    return list ? mv_text_list_copy(list) : NULL;
}

GBytes *mv_machine_names_pack(const GPtrArray *names)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 1);
    mv_write_text(writer, WIRE_MACHINES);
    mv_write_text_list(writer, names);
    return mv_writer_finish(writer);
}

GBytes *mv_instance_request_pack(const char *request_name, const char *type_name,
                                 const char *zone_name, bool spot, unsigned count)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 5);
    mv_write_text_field(writer, WIRE_REQUEST_NAME, request_name);
    mv_write_text_field(writer, WIRE_MACHINE_TYPE, type_name);
    mv_write_text_field(writer, WIRE_ZONE, zone_name);
    mv_write_bool_field(writer, WIRE_SPOT, spot);
    mv_write_u64_field(writer, WIRE_COUNT, count);
    return mv_writer_finish(writer);
}
