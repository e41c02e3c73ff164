/** Reads the platform's settings from their TOML file. Private to src/config. */
#ifndef MV_PLATFORM_SETTINGS_H
#define MV_PLATFORM_SETTINGS_H
#include "config/settings.h"
#include "config/toml_reader.h"

/**
 * Reads and checks all fields and stores them in `settings`. Does not change
 * `settings->operator_settings`, but reads the default lease of a shard there, which is part of the
 * check of cancel_s. On failure `reader->error` is set. The caller frees `settings` in both cases.
 */
void mv_platform_settings_read(mv_toml_reader *reader, mv_settings *settings);
#endif
