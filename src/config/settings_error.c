/** Errors in settings. */
#include "config/settings_error.h"

mv_settings_error *mv_settings_error_new(mv_settings_error_kind kind, const char *field,
                                         const char *reason)
{
    mv_settings_error *error = g_new0(mv_settings_error, 1);
    error->kind = kind;
    error->field = g_strdup(field);
    error->text = g_strdup_printf("%s: %s", field, reason);
    return error;
}

void mv_settings_error_free(mv_settings_error *error)
{
    if (!error)
        return;
    g_free(error->field);
    g_free(error->text);
    g_free(error);
}
