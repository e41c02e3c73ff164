#include "fake_cloud.h"

#include <string.h>

static void clear_type(gpointer data)
{
    g_free(((mv_machine_type *)data)->zones);
}

GArray *fake_types_new(void)
{
    GArray *types = g_array_new(FALSE, TRUE, sizeof(mv_machine_type));
    g_array_set_clear_func(types, clear_type);
    return types;
}

void fake_types_add(GArray *types, const char *name, mv_machine_type type)
{
    g_strlcpy(type.name, name, sizeof type.name);
    type.zone_count = 1;
    type.zones = g_malloc0(MV_NAME_SIZE);
    g_strlcpy(type.zones[0], "z", MV_NAME_SIZE);
    g_array_append_val(types, type);
}

void fake_types_add_zone(GArray *types)
{
    for (guint i = 0; i < types->len; i++) {
        mv_machine_type *type = &g_array_index(types, mv_machine_type, i);
        type->zone_count = 2;
        type->zones = g_realloc(type->zones, 2 * MV_NAME_SIZE);
        g_strlcpy(type->zones[1], "y", MV_NAME_SIZE);
    }
}
