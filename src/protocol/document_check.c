/** Checks a MessagePack body before it is unpacked. */
#include "protocol/document_check.h"

/* First bytes of values, from the MessagePack specification. Binary data and extension types are
 * missing, because they are not part of the protocol. */
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

/* Content of the head of a value: of the first byte and of the length or item count behind it. */
typedef struct {
    uint64_t bytes;    /* size of the value without the values inside a list or map */
    uint64_t children; /* number of values directly inside a list or map */
    bool allowed;      /* false: cut off, or a type that is not part of the protocol */
} value_head;

static const value_head NOT_ALLOWED = {0};

static value_head scalar_head(uint64_t payload_bytes)
{
    return (value_head){.bytes = 1 + payload_bytes, .allowed = true};
}

static uint64_t read_big_endian(const uint8_t *bytes, unsigned count)
{
    uint64_t value = 0;
    for (unsigned i = 0; i < count; i++)
        value = value << 8 | bytes[i];
    return value;
}

static value_head text_head(const uint8_t *bytes, size_t left, unsigned length_bytes)
{
    if (left < 1 + length_bytes)
        return NOT_ALLOWED;
    return scalar_head(length_bytes + read_big_endian(bytes + 1, length_bytes));
}

static value_head container_head(const uint8_t *bytes, size_t left, unsigned count_bytes,
                                 unsigned values_per_item)
{
    if (left < 1 + count_bytes)
        return NOT_ALLOWED;
    const uint64_t items = read_big_endian(bytes + 1, count_bytes);
    return (value_head){
        .bytes = 1 + count_bytes, .children = items * values_per_item, .allowed = true};
}

/* Reads the head of a value whose length, item count or small number is part of the first byte.
 * Returns false, and does not set `*head`, for all other values. */
static bool read_short_head(uint8_t first, value_head *head)
{
    if (first <= POSITIVE_FIXINT_LAST || first >= NEGATIVE_FIXINT_FIRST)
        *head = scalar_head(0);
    else if (first <= FIXMAP_LAST)
        *head = (value_head){.bytes = 1, .children = 2 * (first & FIX_COUNT_MASK), .allowed = true};
    else if (first <= FIXARRAY_LAST)
        *head = (value_head){.bytes = 1, .children = first & FIX_COUNT_MASK, .allowed = true};
    else if (first <= FIXSTR_LAST)
        *head = scalar_head(first & FIX_LENGTH_MASK);
    else
        return false;
    return true;
}

static value_head read_head(const uint8_t *bytes, size_t left)
{
    value_head head;
    if (read_short_head(*bytes, &head))
        return head;
    switch (*bytes) {
    case TYPE_NIL:
    case TYPE_FALSE:
    case TYPE_TRUE:
        return scalar_head(0);
    case TYPE_UINT8:
    case TYPE_INT8:
        return scalar_head(1);
    case TYPE_UINT16:
    case TYPE_INT16:
        return scalar_head(2);
    case TYPE_FLOAT32:
    case TYPE_UINT32:
    case TYPE_INT32:
        return scalar_head(4);
    case TYPE_FLOAT64:
    case TYPE_UINT64:
    case TYPE_INT64:
        return scalar_head(8);
    case TYPE_STR8:
        return text_head(bytes, left, 1);
    case TYPE_STR16:
        return text_head(bytes, left, 2);
    case TYPE_STR32:
        return text_head(bytes, left, 4);
    case TYPE_ARRAY16:
        return container_head(bytes, left, 2, 1);
    case TYPE_ARRAY32:
        return container_head(bytes, left, 4, 1);
    case TYPE_MAP16:
        return container_head(bytes, left, 2, 2);
    case TYPE_MAP32:
        return container_head(bytes, left, 4, 2);
    default:
        return NOT_ALLOWED;
    }
}

bool mv_document_is_well_formed(const uint8_t *bytes, size_t size)
{
    size_t left = size;
    uint64_t expected = 1; /* values that still have to follow */
    while (expected > 0) {
        if (left == 0)
            return false;
        const value_head head = read_head(bytes, left);
        if (!head.allowed || head.bytes > left)
            return false;
        bytes += head.bytes;
        left -= head.bytes;
        expected += head.children - 1;
        if (expected > left) /* each value takes at least one byte */
            return false;
    }
    return left == 0;
}
