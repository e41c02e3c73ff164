/**
 * Reads fields of the platform's file and checks each one. Private to src/config.
 *
 * Each function reads one field by its path ("settings.teams[0].name") and records an error in the
 * reader, which keeps only the first error. The caller may read more fields after an error, because
 * the loader discards all values if there is an error.
 */
#ifndef MV_TOML_READER_H
#define MV_TOML_READER_H
#include "config/endpoint.h"
#include "config/settings_error.h"
#include "config/toml_bridge.h"

/** A document, and the first error that was found in it. */
typedef struct {
    const mv_toml *document;  /* borrowed */
    mv_settings_error *error; /* NULL: no error yet; the code that made the reader frees it */
} mv_toml_reader;

/** Records an error, unless the reader already holds an error. */
void mv_toml_reader_fail(mv_toml_reader *reader, mv_settings_error_kind kind, const char *path,
                         const char *reason);

/** Reads a required text that is not empty and fits into `size` bytes with its final 0. */
void mv_toml_read_text(mv_toml_reader *reader, const char *path, char *out, size_t size);

/** Reads a text that may be empty or absent. If the text is absent, `out` does not change. */
void mv_toml_read_optional_text(mv_toml_reader *reader, const char *path, char *out, size_t size);

/** Reads a required endpoint. */
void mv_toml_read_endpoint(mv_toml_reader *reader, const char *path, mv_endpoint *out);

/**
 * Reads a required number within [low, high]. Returns `low` if the field is absent or not a finite
 * number.
 */
double mv_toml_read_number(mv_toml_reader *reader, const char *path, double low, double high);

/** Reads a number within [low, high]. Returns `absent` if the field is absent. */
double mv_toml_read_optional_number(mv_toml_reader *reader, const char *path, double low,
                                    double high, double absent);

/** Returns the length of a list of tables, or 0 if the list is absent. */
size_t mv_toml_read_length(mv_toml_reader *reader, const char *path);
#endif
