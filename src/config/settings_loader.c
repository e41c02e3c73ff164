/** Loads the settings: first the platform's file, then the operators' file. */
#include "config/settings.h"

#include "config/operator_settings.h"
#include "config/platform_settings.h"
#include "config/toml_bridge.h"

#include <glib.h>

#define REASON_SIZE 300

mv_settings *mv_settings_load(const char *path, const char *operator_path,
                              mv_settings_error **error)
{
    char reason[REASON_SIZE];
    mv_toml *document = mv_toml_load(path, reason, sizeof reason);
    if (!document) {
        *error = mv_settings_error_new(MV_SETTINGS_UNREADABLE, path, reason);
        return NULL;
    }
    mv_settings *settings = g_new0(mv_settings, 1);
    settings->operator_settings = MV_OPERATOR_SETTINGS_DEFAULT;
    mv_toml_reader reader = {.document = document};
    mv_platform_settings_read(&reader, settings);
    mv_toml_free(document);
    *error = reader.error;
    if (!*error && operator_path)
        *error = mv_operator_settings_read(operator_path, &settings->operator_settings);
    if (!*error)
        return settings;
    mv_settings_free(settings);
    return NULL;
}
