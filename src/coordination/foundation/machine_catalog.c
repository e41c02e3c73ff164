#include "coordination/foundation/machine_catalog.h"

#include <string.h>

guint mv_machine_catalog_size(const mv_machine_catalog *catalog)
{
    return catalog->types ? catalog->types->len : 0;
}

const mv_machine_type *mv_machine_catalog_get(const mv_machine_catalog *catalog, guint index)
{
    return &g_array_index(catalog->types, mv_machine_type, index);
}

int mv_machine_catalog_find(const mv_machine_catalog *catalog, const char *name)
{
    for (guint i = 0; i < mv_machine_catalog_size(catalog); i++)
        if (strcmp(mv_machine_catalog_get(catalog, i)->name, name) == 0)
            return (int)i;
    return -1;
}

static bool names_type(const mv_job_spec *spec, const mv_machine_type *type)
{
    for (size_t i = 0; i < spec->type_name_count; i++)
        if (strcmp(spec->type_names[i], type->name) == 0)
            return true;
    return spec->type_names == NULL;
}

static bool is_in_zone(const mv_job_spec *spec, const mv_machine_type *type)
{
    for (size_t i = 0; i < type->zone_count; i++)
        if (strcmp(type->zones[i], spec->zone_name) == 0)
            return true;
    return !spec->has_zone;
}

static bool fits_type(const mv_job_spec *spec, const mv_machine_type *type)
{
    return spec->cores <= type->cores && spec->gpus <= type->gpus && spec->ram_gb <= type->ram_gb;
}

uint32_t mv_machine_catalog_mask(const mv_machine_catalog *catalog, const mv_job_spec *spec)
{
    uint32_t mask = 0;
    for (guint i = 0; i < mv_machine_catalog_size(catalog); i++) {
        const mv_machine_type *type = mv_machine_catalog_get(catalog, i);
        if (fits_type(spec, type) && names_type(spec, type) && is_in_zone(spec, type))
            mask |= 1u << i;
    }
    return mask;
}
