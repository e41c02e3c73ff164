#include "protocol/codec.h"

#include <math.h>
#include <string.h>

struct mv_doc {
    msgpack_unpacked unpacked;
    char *bytes; /* unpacked texts point into them */
};

static uint64_t big_endian(const uint8_t *p, unsigned n)
{
    uint64_t v = 0;
    for (unsigned i = 0; i < n; i++)
        v = v << 8 | p[i];
    return v;
}

/* What one value's head says: bytes it takes itself, and values that follow inside it. */
typedef struct {
    uint64_t bytes, inner;
    bool allowed;
} head;

static head sized(const uint8_t *p, size_t left, unsigned n, unsigned per)
{
    if (left < 1 + n)
        return (head){0};
    uint64_t len = big_endian(p + 1, n);
    if (per == 0) /* text */
        return (head){1 + n + len, 0, true};
    return (head){1 + n, len * per, true};
}

static head read_head(const uint8_t *p, size_t left)
{
    uint8_t t = *p;
    if (t <= 0x7f || t >= 0xe0 || t == 0xc0 || t == 0xc2 || t == 0xc3)
        return (head){1, 0, true};
    if (t <= 0x8f)
        return (head){1, 2u * (t & 0x0f), true};
    if (t <= 0x9f)
        return (head){1, t & 0x0f, true};
    if (t <= 0xbf)
        return (head){1 + (t & 0x1fu), 0, true};
    switch (t) {
    case 0xca:
        return (head){5, 0, true};
    case 0xcb:
        return (head){9, 0, true};
    case 0xcc:
    case 0xd0:
        return (head){2, 0, true};
    case 0xcd:
    case 0xd1:
        return (head){3, 0, true};
    case 0xce:
    case 0xd2:
        return (head){5, 0, true};
    case 0xcf:
    case 0xd3:
        return (head){9, 0, true};
    case 0xd9:
        return sized(p, left, 1, 0);
    case 0xda:
        return sized(p, left, 2, 0);
    case 0xdb:
        return sized(p, left, 4, 0);
    case 0xdc:
        return sized(p, left, 2, 1);
    case 0xdd:
        return sized(p, left, 4, 1);
    case 0xde:
        return sized(p, left, 2, 2);
    case 0xdf:
        return sized(p, left, 4, 2);
    default: /* binary and extension types are not spoken here */
        return (head){0};
    }
}

/* The unpacker reserves room for as many items as a list claims, so a body of five bytes could
 * ask for gigabytes: no value may claim more items than there are bytes left for them. */
static bool well_formed(const uint8_t *p, size_t left)
{
    uint64_t open = 1;
    while (open > 0) {
        if (left == 0)
            return false;
        head h = read_head(p, left);
        if (!h.allowed || h.bytes > left)
            return false;
        p += h.bytes;
        left -= h.bytes;
        open += h.inner - 1;
        if (open > left)
            return false;
    }
    return left == 0;
}

mv_doc *mv_doc_parse(const void *bytes, size_t size)
{
    if (!bytes || !well_formed(bytes, size))
        return NULL;
    mv_doc *doc = g_new0(mv_doc, 1);
    msgpack_unpacked_init(&doc->unpacked);
    doc->bytes = g_memdup2(bytes, size);
    size_t off = 0;
    if (msgpack_unpack_next(&doc->unpacked, doc->bytes, size, &off) == MSGPACK_UNPACK_SUCCESS)
        return doc;
    mv_doc_free(doc);
    return NULL;
}

void mv_doc_free(mv_doc *doc)
{
    if (!doc)
        return;
    msgpack_unpacked_destroy(&doc->unpacked);
    g_free(doc->bytes);
    g_free(doc);
}

const msgpack_object *mv_doc_root(const mv_doc *doc)
{
    return &doc->unpacked.data;
}

bool mv_text_is(const msgpack_object *o, const char *text)
{
    return o && o->type == MSGPACK_OBJECT_STR && o->via.str.size == strlen(text) &&
           memcmp(o->via.str.ptr, text, o->via.str.size) == 0;
}

bool mv_text_copy(const msgpack_object *o, char *out, size_t size)
{
    if (!o || o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size ||
        memchr(o->via.str.ptr, 0, o->via.str.size) ||
        !g_utf8_validate(o->via.str.ptr, o->via.str.size, NULL))
        return false;
    memcpy(out, o->via.str.ptr, o->via.str.size);
    out[o->via.str.size] = 0;
    return true;
}

const msgpack_object *mv_get(const msgpack_object *map, const char *name)
{
    if (!map || map->type != MSGPACK_OBJECT_MAP)
        return NULL;
    for (uint32_t i = 0; i < map->via.map.size; i++)
        if (mv_text_is(&map->via.map.ptr[i].key, name)) {
            const msgpack_object *v = &map->via.map.ptr[i].val;
            return v->type == MSGPACK_OBJECT_NIL ? NULL : v;
        }
    return NULL;
}

mv_got mv_get_text(const msgpack_object *map, const char *name, char *out, size_t size)
{
    const msgpack_object *o = mv_get(map, name);
    out[0] = 0;
    if (!o)
        return MV_ABSENT;
    return mv_text_copy(o, out, size) ? MV_GOT : MV_BAD;
}

mv_got mv_get_u64(const msgpack_object *map, const char *name, uint64_t *out)
{
    const msgpack_object *o = mv_get(map, name);
    if (!o)
        return MV_ABSENT;
    if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return MV_BAD;
    *out = o->via.u64;
    return MV_GOT;
}

mv_got mv_get_num(const msgpack_object *map, const char *name, double *out)
{
    const msgpack_object *o = mv_get(map, name);
    if (!o)
        return MV_ABSENT;
    switch (o->type) {
    case MSGPACK_OBJECT_FLOAT32:
    case MSGPACK_OBJECT_FLOAT64:
        *out = o->via.f64;
        break;
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
        *out = (double)o->via.u64;
        break;
    case MSGPACK_OBJECT_NEGATIVE_INTEGER:
        *out = (double)o->via.i64;
        break;
    default:
        return MV_BAD;
    }
    return isfinite(*out) ? MV_GOT : MV_BAD;
}

mv_got mv_get_bool(const msgpack_object *map, const char *name, bool *out)
{
    const msgpack_object *o = mv_get(map, name);
    if (!o)
        return MV_ABSENT;
    if (o->type != MSGPACK_OBJECT_BOOLEAN)
        return MV_BAD;
    *out = o->via.boolean;
    return MV_GOT;
}

const msgpack_object_array *mv_get_list(const msgpack_object *map, const char *name)
{
    const msgpack_object *o = mv_get(map, name);
    return o && o->type == MSGPACK_OBJECT_ARRAY ? &o->via.array : NULL;
}

mv_out *mv_out_new(void)
{
    mv_out *o = g_new0(mv_out, 1);
    msgpack_sbuffer_init(&o->buf);
    msgpack_packer_init(&o->pk, &o->buf, msgpack_sbuffer_write);
    return o;
}

void mv_out_free(mv_out *o)
{
    if (!o)
        return;
    msgpack_sbuffer_destroy(&o->buf);
    g_free(o);
}

GBytes *mv_out_take(mv_out *o)
{
    size_t size = o->buf.size;
    char *data = msgpack_sbuffer_release(&o->buf);
    mv_out_free(o);
    return g_bytes_new_with_free_func(data, size, free, data);
}

void mv_put_map(mv_out *o, size_t fields)
{
    msgpack_pack_map(&o->pk, fields);
}

void mv_put_list(mv_out *o, size_t items)
{
    msgpack_pack_array(&o->pk, items);
}

void mv_put_text(mv_out *o, const char *text)
{
    size_t n = strlen(text);
    msgpack_pack_str(&o->pk, n);
    msgpack_pack_str_body(&o->pk, text, n);
}

void mv_put_u64(mv_out *o, uint64_t v)
{
    msgpack_pack_uint64(&o->pk, v);
}

void mv_put_num(mv_out *o, double v)
{
    msgpack_pack_double(&o->pk, v);
}

void mv_put_bool(mv_out *o, bool v)
{
    if (v)
        msgpack_pack_true(&o->pk);
    else
        msgpack_pack_false(&o->pk);
}

void mv_put_nil(mv_out *o)
{
    msgpack_pack_nil(&o->pk);
}

void mv_put_raw(mv_out *o, GBytes *packed)
{
    gsize n;
    const void *p = g_bytes_get_data(packed, &n);
    msgpack_sbuffer_write(&o->buf, p, n);
}

void mv_field_text(mv_out *o, const char *name, const char *v)
{
    mv_put_text(o, name);
    mv_put_text(o, v);
}

void mv_field_u64(mv_out *o, const char *name, uint64_t v)
{
    mv_put_text(o, name);
    mv_put_u64(o, v);
}

void mv_field_num(mv_out *o, const char *name, double v)
{
    mv_put_text(o, name);
    mv_put_num(o, v);
}

void mv_field_bool(mv_out *o, const char *name, bool v)
{
    mv_put_text(o, name);
    mv_put_bool(o, v);
}
