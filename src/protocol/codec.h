/**
 * Parsing of MessagePack: checks and unpacks bodies, and reads their fields.
 *
 * Bodies come from users, agents, the cloud and the state service and can contain any bytes. A body
 * is therefore checked before it is unpacked (document_check.h), and each read function reports
 * whether the field is present, absent or invalid. writer.h has the functions that write
 * MessagePack.
 *
 * Threads: a document does not change after parsing, so any thread may read it.
 */
#ifndef MV_CODEC_H
#define MV_CODEC_H
#include "protocol/writer.h"

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/** An unpacked body. The objects of a document are valid until the document is freed. */
typedef struct mv_document mv_document;

/**
 * Copies and unpacks `bytes` into a document, which the caller frees with mv_document_free. Returns
 * NULL if `bytes` is NULL or is not exactly one well-formed value. A value consists of text,
 * numbers, booleans, nil, lists and maps only.
 */
mv_document *mv_document_parse(const void *bytes, size_t size);

/** Frees the document and all its objects. NULL is allowed. */
void mv_document_free(mv_document *document);

/** Returns the top-level value of the body; never NULL. The document owns the value. */
const msgpack_object *mv_document_root(const mv_document *document);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(mv_document, mv_document_free)

/** Result of reading a field. A field with the value nil counts as absent. */
typedef enum { MV_FIELD_PRESENT, MV_FIELD_ABSENT, MV_FIELD_INVALID } mv_field_result;

/** Returns the value of a field; NULL if the field is absent, or if `map` is NULL or not a map. */
const msgpack_object *mv_field_find(const msgpack_object *map, const char *name);

/** Copies a text like mv_text_copy. `out` becomes "" if the field is absent or invalid. */
mv_field_result mv_field_read_text(const msgpack_object *map, const char *name, char *out,
                                   size_t size);

/** Reads a non-negative integer. `*out` changes only if the result is MV_FIELD_PRESENT. */
mv_field_result mv_field_read_u64(const msgpack_object *map, const char *name, uint64_t *out);

/**
 * Reads a finite integer or floating-point number. For a number that is not finite, the function
 * returns MV_FIELD_INVALID, but still stores the number in `*out`.
 */
mv_field_result mv_field_read_number(const msgpack_object *map, const char *name, double *out);

/**
 * Reads a required amount of cores, gigabytes or seconds. Returns true if the field is a number
 * from 0 to 1e9; larger amounts are treated as errors.
 */
bool mv_field_read_amount(const msgpack_object *map, const char *name, double *out);

/** Reads a boolean. `*out` changes only if the result is MV_FIELD_PRESENT. */
mv_field_result mv_field_read_bool(const msgpack_object *map, const char *name, bool *out);

/** Returns the list in a field, owned by the document; NULL if there is no list in the field. */
const msgpack_object_array *mv_field_read_list(const msgpack_object *map, const char *name);

/** Returns whether the value is a text equal to `text`; false if `object` is NULL. */
bool mv_text_is(const msgpack_object *object, const char *text);

/** Returns the index of the value in `texts`, which has `count` items; -1 if no item is equal. */
int mv_text_index(const msgpack_object *object, const char *const *texts, int count);

/**
 * Copies a text and a terminating 0 byte into `out`. Returns false, and leaves `out` unchanged, if
 * the value is NULL, is not a text, is not valid UTF-8, contains a 0 byte, or does not fit into
 * `size` bytes with the terminating 0.
 */
bool mv_text_copy(const msgpack_object *object, char *out, size_t size);

/**
 * Returns copies of the texts in a list (char *). The caller unrefs the array, which frees the
 * copies. An item that mv_text_copy cannot copy into MV_NAME_SIZE bytes is left out.
 */
GPtrArray *mv_text_list_copy(const msgpack_object_array *list);
#endif
