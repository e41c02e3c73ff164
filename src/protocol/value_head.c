/** Reads the heads of MessagePack values. */
#include "protocol/value_head.h"

/* First bytes of values, from the MessagePack specification. */
enum {
    POSITIVE_FIXINT_LAST = 0x7f,
    FIXMAP_LAST = 0x8f,
    FIXARRAY_LAST = 0x9f,
    FIXSTR_LAST = 0xbf,
    TYPE_NIL = 0xc0,
    TYPE_FALSE = 0xc2,
    TYPE_TRUE = 0xc3,
    TYPE_FLOAT32 = 0xca,
    TYPE_FLOAT64 = 0xcb,
    TYPE_UINT8 = 0xcc,
    TYPE_UINT16 = 0xcd,
    TYPE_UINT32 = 0xce,
    TYPE_UINT64 = 0xcf,
    TYPE_INT8 = 0xd0,
    TYPE_INT16 = 0xd1,
    TYPE_INT32 = 0xd2,
    TYPE_INT64 = 0xd3,
    TYPE_STR8 = 0xd9,
    TYPE_STR16 = 0xda,
    TYPE_STR32 = 0xdb,
    TYPE_ARRAY16 = 0xdc,
    TYPE_ARRAY32 = 0xdd,
    TYPE_MAP16 = 0xde,
    TYPE_MAP32 = 0xdf,
    NEGATIVE_FIXINT_FIRST = 0xe0
};

#define FIX_COUNT_MASK 0x0fu  /* number of items in the first byte of a short map or list */
#define FIX_LENGTH_MASK 0x1fu /* number of bytes in the first byte of a short text */
#define BITS_PER_BYTE 8u

static const mv_value_head INVALID = {.kind = MV_VALUE_INVALID};

static uint64_t read_big_endian(const uint8_t *bytes, unsigned count)
{
    uint64_t value = 0;
    for (unsigned i = 0; i < count; i++)
        value = value << BITS_PER_BYTE | bytes[i];
    return value;
}

static mv_value_head simple_head(mv_value_kind kind)
{
    return (mv_value_head){.kind = kind, .bytes = 1};
}

/* Reads an unsigned integer or a float of `count` bytes behind the first byte. */
static mv_value_head number_head(mv_value_kind kind, const uint8_t *bytes, size_t left,
                                 unsigned count)
{
    if (left < 1 + count)
        return INVALID;
    return (mv_value_head){
        .kind = kind, .bytes = 1 + count, .payload = read_big_endian(bytes + 1, count)};
}

/* Reads a signed integer of `count` bytes behind the first byte. */
static mv_value_head signed_head(const uint8_t *bytes, size_t left, unsigned count)
{
    mv_value_head head = number_head(MV_VALUE_UNSIGNED, bytes, left, count);
    const uint64_t sign_bit = (uint64_t)1 << (count * BITS_PER_BYTE - 1);
    if (head.kind == MV_VALUE_INVALID || !(head.payload & sign_bit))
        return head;
    head.kind = MV_VALUE_NEGATIVE;
    head.payload |= ~(sign_bit - 1); /* extends the sign to 64 bits */
    return head;
}

static mv_value_head text_head(const uint8_t *bytes, size_t left, unsigned length_bytes)
{
    if (left < 1 + length_bytes)
        return INVALID;
    const uint64_t length = read_big_endian(bytes + 1, length_bytes);
    return (mv_value_head){
        .kind = MV_VALUE_TEXT, .bytes = 1 + length_bytes + length, .payload = length};
}

static mv_value_head container_head(mv_value_kind kind, const uint8_t *bytes, size_t left,
                                    unsigned count_bytes)
{
    if (left < 1 + count_bytes)
        return INVALID;
    const uint64_t items = read_big_endian(bytes + 1, count_bytes);
    return (mv_value_head){.kind = kind,
                           .bytes = 1 + count_bytes,
                           .children = kind == MV_VALUE_MAP ? 2 * items : items};
}

/* Reads the head of a value whose length, item count or small number is part of the first byte. The
 * kind is invalid for all other values. */
static mv_value_head short_head(uint8_t first)
{
    if (first <= POSITIVE_FIXINT_LAST)
        return (mv_value_head){.kind = MV_VALUE_UNSIGNED, .bytes = 1, .payload = first};
    if (first >= NEGATIVE_FIXINT_FIRST)
        return (mv_value_head){
            .kind = MV_VALUE_NEGATIVE, .bytes = 1, .payload = (uint64_t)(int64_t)(int8_t)first};
    if (first <= FIXMAP_LAST)
        return (mv_value_head){
            .kind = MV_VALUE_MAP, .bytes = 1, .children = 2 * (first & FIX_COUNT_MASK)};
    if (first <= FIXARRAY_LAST)
        return (mv_value_head){
            .kind = MV_VALUE_LIST, .bytes = 1, .children = first & FIX_COUNT_MASK};
    if (first > FIXSTR_LAST)
        return INVALID;
    const uint64_t length = first & FIX_LENGTH_MASK;
    return (mv_value_head){.kind = MV_VALUE_TEXT, .bytes = 1 + length, .payload = length};
}

/* Reads the head of a number whose type is the first byte. The kind is invalid for all other
 * values. */
static mv_value_head long_number_head(const uint8_t *bytes, size_t left)
{
    switch (*bytes) {
    case TYPE_FLOAT32:
        return number_head(MV_VALUE_FLOAT32, bytes, left, 4);
    case TYPE_FLOAT64:
        return number_head(MV_VALUE_FLOAT64, bytes, left, 8);
    case TYPE_UINT8:
        return number_head(MV_VALUE_UNSIGNED, bytes, left, 1);
    case TYPE_UINT16:
        return number_head(MV_VALUE_UNSIGNED, bytes, left, 2);
    case TYPE_UINT32:
        return number_head(MV_VALUE_UNSIGNED, bytes, left, 4);
    case TYPE_UINT64:
        return number_head(MV_VALUE_UNSIGNED, bytes, left, 8);
    case TYPE_INT8:
        return signed_head(bytes, left, 1);
    case TYPE_INT16:
        return signed_head(bytes, left, 2);
    case TYPE_INT32:
        return signed_head(bytes, left, 4);
    case TYPE_INT64:
        return signed_head(bytes, left, 8);
    default:
        return INVALID;
    }
}

static mv_value_head long_head(const uint8_t *bytes, size_t left)
{
    switch (*bytes) {
    case TYPE_NIL:
        return simple_head(MV_VALUE_NIL);
    case TYPE_FALSE:
        return simple_head(MV_VALUE_FALSE);
    case TYPE_TRUE:
        return simple_head(MV_VALUE_TRUE);
    case TYPE_STR8:
        return text_head(bytes, left, 1);
    case TYPE_STR16:
        return text_head(bytes, left, 2);
    case TYPE_STR32:
        return text_head(bytes, left, 4);
    case TYPE_ARRAY16:
        return container_head(MV_VALUE_LIST, bytes, left, 2);
    case TYPE_ARRAY32:
        return container_head(MV_VALUE_LIST, bytes, left, 4);
    case TYPE_MAP16:
        return container_head(MV_VALUE_MAP, bytes, left, 2);
    case TYPE_MAP32:
        return container_head(MV_VALUE_MAP, bytes, left, 4);
    default:
        return long_number_head(bytes, left);
    }
}

mv_value_head mv_value_head_read(const uint8_t *bytes, size_t left)
{
    const mv_value_head head = short_head(*bytes);
    return head.kind == MV_VALUE_INVALID ? long_head(bytes, left) : head;
}
