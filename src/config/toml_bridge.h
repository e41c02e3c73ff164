/**
 * A small C interface to toml++, a C++ parser, because no maintained C parser for TOML is packaged.
 *
 * Paths have the form "settings.teams[0].name". These functions throw no exception, except when
 * memory is exhausted.
 */
#ifndef MV_TOML_BRIDGE_H
#define MV_TOML_BRIDGE_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** A parsed file; opaque. */
typedef struct mv_toml mv_toml;

/** The outcome of reading a path. */
typedef enum { MV_TOML_OK, MV_TOML_MISSING, MV_TOML_WRONG_TYPE } mv_toml_status;

/**
 * Parses a file. The caller frees the result with mv_toml_free. On failure returns NULL and writes
 * the reason to `error`, truncated to `error_size` bytes.
 */
mv_toml *mv_toml_load(const char *path, char *error, size_t error_size);

/** Frees a parsed file. NULL is allowed. */
void mv_toml_free(mv_toml *document);

/**
 * Copies a text and its final 0 to `out`. Returns MV_TOML_WRONG_TYPE also if the text contains a 0
 * byte or does not fit into `size` bytes. `out` changes only if the result is MV_TOML_OK.
 */
mv_toml_status mv_toml_string(const mv_toml *document, const char *path, char *out, size_t size);

/** Reads an integer or a float. `out` changes only if the result is MV_TOML_OK. */
mv_toml_status mv_toml_number(const mv_toml *document, const char *path, double *out);

/** Reads the length of a list. `out` changes only if the result is MV_TOML_OK. */
mv_toml_status mv_toml_count(const mv_toml *document, const char *path, size_t *out);

#ifdef __cplusplus
}
#endif
#endif
