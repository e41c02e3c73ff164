/* MessagePack: bodies are checked before they are unpacked, and read by name. */
#ifndef MV_CODEC_H
#define MV_CODEC_H
#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* An unpacked body; its objects live as long as it does. */
typedef struct mv_doc mv_doc;

/* NULL when the bytes are not exactly one well-formed value made of text, numbers, booleans, nil,
 * lists and maps. */
mv_doc *mv_doc_parse(const void *bytes, size_t size);
void mv_doc_free(mv_doc *doc);
const msgpack_object *mv_doc_root(const mv_doc *doc);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(mv_doc, mv_doc_free)

typedef enum { MV_GOT, MV_ABSENT, MV_BAD } mv_got; /* nil counts as absent */

const msgpack_object *mv_get(const msgpack_object *map, const char *name);
mv_got mv_get_text(const msgpack_object *map, const char *name, char *out, size_t size);
mv_got mv_get_u64(const msgpack_object *map, const char *name, uint64_t *out);
mv_got mv_get_num(const msgpack_object *map, const char *name, double *out);
mv_got mv_get_bool(const msgpack_object *map, const char *name, bool *out);
const msgpack_object_array *mv_get_list(const msgpack_object *map, const char *name);
bool mv_text_is(const msgpack_object *o, const char *text);
bool mv_text_copy(const msgpack_object *o, char *out, size_t size);

/* Writing: a growing buffer; the caller says how many fields a map has. */
typedef struct {
    msgpack_sbuffer buf;
    msgpack_packer pk;
} mv_out;

mv_out *mv_out_new(void);
void mv_out_free(mv_out *o);
GBytes *mv_out_take(mv_out *o); /* ends the writer */
void mv_put_map(mv_out *o, size_t fields);
void mv_put_list(mv_out *o, size_t items);
void mv_put_text(mv_out *o, const char *text);
void mv_put_u64(mv_out *o, uint64_t v);
void mv_put_num(mv_out *o, double v);
void mv_put_bool(mv_out *o, bool v);
void mv_put_nil(mv_out *o);
void mv_put_raw(mv_out *o, GBytes *packed);
void mv_field_text(mv_out *o, const char *name, const char *v);
void mv_field_u64(mv_out *o, const char *name, uint64_t v);
void mv_field_num(mv_out *o, const char *name, double v);
void mv_field_bool(mv_out *o, const char *name, bool v);
#endif
