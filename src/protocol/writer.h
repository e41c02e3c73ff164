/**
 * Writes MessagePack into a growing buffer.
 *
 * The caller first states the number of fields of a map, or of items of a list, and then writes
 * exactly that number of fields or items. Counts and ids are written as unsigned integers, all
 * other numbers as doubles.
 *
 * Threads: only one thread at a time may use a writer.
 */
#ifndef MV_WRITER_H
#define MV_WRITER_H
#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/** A body under construction. Callers access the fields through the functions below only. */
typedef struct {
    msgpack_sbuffer buffer;
    msgpack_packer packer;
} mv_writer;

/** Returns a writer with an empty body; mv_writer_finish or mv_writer_free frees the writer. */
mv_writer *mv_writer_new(void);

/** Frees the writer and discards the body. NULL is allowed. */
void mv_writer_free(mv_writer *writer);

/** Returns the body, which the caller unrefs, and frees the writer. */
GBytes *mv_writer_finish(mv_writer *writer);

/** Begins a map; the caller then writes `fields` pairs of a text and a value. */
void mv_write_map(mv_writer *writer, size_t fields);

/** Begins a list; the caller then writes `items` values. */
void mv_write_list(mv_writer *writer, size_t items);

/** Writes a text. */
void mv_write_text(mv_writer *writer, const char *text);

/** Writes an unsigned integer. */
void mv_write_u64(mv_writer *writer, uint64_t value);

/** Writes a double. */
void mv_write_number(mv_writer *writer, double value);

/** Writes a boolean. */
void mv_write_bool(mv_writer *writer, bool value);

/** Writes nil. Readers treat a field with the value nil as absent. */
void mv_write_nil(mv_writer *writer);

/** Writes a value that was unpacked from a document. */
void mv_write_object(mv_writer *writer, const msgpack_object *object);

/** Writes a value that is already packed. The caller still owns `packed`. */
void mv_write_packed(mv_writer *writer, GBytes *packed);

/** Writes the texts (char *) in `texts` as a list. */
void mv_write_text_list(mv_writer *writer, const GPtrArray *texts);

/** Writes a map field: the name and a text. */
void mv_write_text_field(mv_writer *writer, const char *name, const char *value);

/** Writes a map field: the name and an unsigned integer. */
void mv_write_u64_field(mv_writer *writer, const char *name, uint64_t value);

/** Writes a map field: the name and a double. */
void mv_write_number_field(mv_writer *writer, const char *name, double value);

/** Writes a map field: the name and a boolean. */
void mv_write_bool_field(mv_writer *writer, const char *name, bool value);
#endif
