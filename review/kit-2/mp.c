/* MessagePack: the kinds of values that the protocol page has. */
#include "kit.h"

#include <stdlib.h>
#include <string.h>

void buf_add(buf *b, const void *data, size_t len)
{
    if (b->len + len > b->cap) {
        b->cap = (b->len + len) * 2 + 64;
        b->data = realloc(b->data, b->cap);
    }
    memcpy(b->data + b->len, data, len);
    b->len += len;
}

void buf_free(buf *b)
{
    free(b->data);
    *b = (buf){0};
}

static void put(buf *b, uint8_t head, uint64_t value, unsigned bytes)
{
    uint8_t out[9] = {head};
    for (unsigned i = 0; i < bytes; i++)
        out[1 + i] = (uint8_t)(value >> (8 * (bytes - 1 - i)));
    buf_add(b, out, 1 + bytes);
}

void mp_map(buf *b, uint32_t n)
{
    if (n < 16)
        put(b, (uint8_t)(0x80 | n), 0, 0);
    else
        put(b, 0xde, n, 2);
}

void mp_list(buf *b, uint32_t n)
{
    if (n < 16)
        put(b, (uint8_t)(0x90 | n), 0, 0);
    else if (n < 65536)
        put(b, 0xdc, n, 2);
    else
        put(b, 0xdd, n, 4);
}

void mp_str(buf *b, const char *text)
{
    size_t n = strlen(text);
    if (n < 32)
        put(b, (uint8_t)(0xa0 | n), 0, 0);
    else if (n < 256)
        put(b, 0xd9, n, 1);
    else
        put(b, 0xda, n, 2);
    buf_add(b, text, n);
}

void mp_uint(buf *b, uint64_t value)
{
    if (value < 128)
        put(b, (uint8_t)value, 0, 0);
    else if (value < 65536)
        put(b, 0xcd, value, 2);
    else if (value < (1ull << 32))
        put(b, 0xce, value, 4);
    else
        put(b, 0xcf, value, 8);
}

void mp_num(buf *b, double value)
{
    uint64_t bits;
    memcpy(&bits, &value, 8);
    put(b, 0xcb, bits, 8);
}

void mp_bool(buf *b, bool value)
{
    put(b, value ? 0xc3 : 0xc2, 0, 0);
}

void mp_nil(buf *b)
{
    put(b, 0xc0, 0, 0);
}

void mp_raw(buf *b, const void *data, size_t len)
{
    buf_add(b, data, len);
}

/* --- parsing --- */

typedef struct {
    const uint8_t *at, *end;
    unsigned depth;
} cursor;

static bool number(cursor *c, unsigned bytes, uint64_t *out)
{
    if ((size_t)(c->end - c->at) < bytes)
        return false;
    *out = 0;
    for (unsigned i = 0; i < bytes; i++)
        *out = *out << 8 | *c->at++;
    return true;
}

static bool parse(cursor *c, val *v);

static bool container(cursor *c, val *v, vkind kind, uint64_t n)
{
    uint64_t items = kind == V_MAP ? 2 * n : n;
    if (items > (uint64_t)(c->end - c->at) || ++c->depth > 30)
        return false;
    v->kind = kind;
    v->n = (uint32_t)n;
    v->items = calloc(items + 1, sizeof *v->items);
    for (uint64_t i = 0; i < items; i++)
        if (!parse(c, &v->items[i]))
            return false;
    c->depth--;
    return true;
}

static bool text(cursor *c, val *v, uint64_t n)
{
    if (n > (uint64_t)(c->end - c->at))
        return false;
    v->kind = V_STR;
    v->str = malloc(n + 1);
    memcpy(v->str, c->at, n);
    v->str[n] = 0;
    c->at += n;
    return true;
}

static bool integer(val *v, uint64_t u)
{
    v->kind = V_UINT;
    v->u = u;
    v->num = (double)u;
    return true;
}

static bool negative(val *v, int64_t i)
{
    if (i >= 0)
        return integer(v, (uint64_t)i);
    v->kind = V_NEG;
    v->num = (double)i;
    return true;
}

static bool parse_value(cursor *c, val *v)
{
    uint64_t n = 0;
    if (c->at >= c->end)
        return false;
    uint8_t head = *c->at++;
    if (head < 0x80)
        return integer(v, head);
    if (head < 0x90)
        return container(c, v, V_MAP, head & 15);
    if (head < 0xa0)
        return container(c, v, V_LIST, head & 15);
    if (head < 0xc0)
        return text(c, v, head & 31);
    if (head >= 0xe0)
        return negative(v, (int8_t)head);
    switch (head) {
    case 0xc0:
        return true;
    case 0xc2:
    case 0xc3:
        v->kind = V_BOOL;
        v->u = head == 0xc3;
        return true;
    case 0xca: {
        if (!number(c, 4, &n))
            return false;
        uint32_t bits = (uint32_t)n;
        float f;
        memcpy(&f, &bits, 4);
        v->kind = V_NUM;
        v->num = f;
        return true;
    }
    case 0xcb:
        if (!number(c, 8, &n))
            return false;
        v->kind = V_NUM;
        memcpy(&v->num, &n, 8);
        return true;
    case 0xcc:
    case 0xcd:
    case 0xce:
    case 0xcf:
        return number(c, 1u << (head - 0xcc), &n) && integer(v, n);
    case 0xd0:
        return number(c, 1, &n) && negative(v, (int8_t)n);
    case 0xd1:
        return number(c, 2, &n) && negative(v, (int16_t)n);
    case 0xd2:
        return number(c, 4, &n) && negative(v, (int32_t)n);
    case 0xd3:
        return number(c, 8, &n) && negative(v, (int64_t)n);
    case 0xd9:
    case 0xda:
    case 0xdb:
        return number(c, 1u << (head - 0xd9), &n) && text(c, v, n);
    case 0xdc:
    case 0xdd:
        return number(c, 2u << (head - 0xdc), &n) && container(c, v, V_LIST, n);
    case 0xde:
    case 0xdf:
        return number(c, 2u << (head - 0xde), &n) && container(c, v, V_MAP, n);
    default:
        return false;
    }
}

static bool parse(cursor *c, val *v)
{
    v->raw = c->at;
    bool ok = parse_value(c, v);
    v->raw_len = (size_t)(c->at - v->raw);
    return ok;
}

static void clear(val *v)
{
    free(v->str);
    for (uint32_t i = 0; v->items && i < (v->kind == V_MAP ? 2 * v->n : v->n); i++)
        clear(&v->items[i]);
    free(v->items);
}

val *mp_parse(const uint8_t *data, size_t len)
{
    cursor c = {data, data + len, 0};
    val *v = calloc(1, sizeof *v);
    if (len && parse(&c, v) && c.at == c.end)
        return v;
    val_free(v);
    return NULL;
}

void val_free(val *v)
{
    if (!v)
        return;
    clear(v);
    free(v);
}

const val *val_get(const val *map, const char *key)
{
    if (!map || map->kind != V_MAP)
        return NULL;
    for (uint32_t i = 0; i < map->n; i++)
        if (map->items[2 * i].kind == V_STR && strcmp(map->items[2 * i].str, key) == 0)
            return map->items[2 * i + 1].kind == V_NIL ? NULL : &map->items[2 * i + 1];
    return NULL;
}

const char *val_str(const val *map, const char *key)
{
    const val *v = val_get(map, key);
    return v && v->kind == V_STR ? v->str : "";
}

uint64_t val_uint(const val *map, const char *key)
{
    const val *v = val_get(map, key);
    return v && v->kind == V_UINT ? v->u : 0;
}

double val_num(const val *map, const char *key)
{
    const val *v = val_get(map, key);
    return v ? v->num : 0;
}

bool val_bool(const val *map, const char *key)
{
    const val *v = val_get(map, key);
    return v && v->kind == V_BOOL && v->u;
}
