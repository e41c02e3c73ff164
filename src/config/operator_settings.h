/** Reads the operators' settings from their YAML file. Private to src/config. */
#ifndef MV_OPERATOR_SETTINGS_H
#define MV_OPERATOR_SETTINGS_H
#include "config/settings.h"
#include "config/settings_error.h"

/** The settings of a deployment whose operators provide no file. */
extern const mv_operator_settings MV_OPERATOR_SETTINGS_DEFAULT;

/**
 * Reads and checks a file. A field that the file does not contain stays unchanged in `out`. Returns
 * NULL on success, otherwise the first error, which the caller frees.
 */
mv_settings_error *mv_operator_settings_read(const char *path, mv_operator_settings *out);
#endif
