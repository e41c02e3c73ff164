/** Counts the bytes of the JSON form of a body, value by value. */
#include "protocol/json_size.h"

#include "protocol/document_check.h"
#include "protocol/value_head.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NUMBER_SIZE 40
#define QUOTES 2
#define BRACKETS 2
#define SHORT_ESCAPE 2 /* bytes of an escaped character such as \n */
#define LONG_ESCAPE 6  /* bytes of an escaped character such as \u0001 */
#define SIGN 1
#define DECIMAL_ZERO 2 /* bytes of ".0" */

/* Above this, not every integer has a float64 of its own. */
#define EXACT_INTEGER_MAX 9007199254740992.0

static size_t text_size(const uint8_t *text, size_t length)
{
    size_t size = QUOTES;
    for (size_t i = 0; i < length; i++) {
        if (text[i] == '"' || text[i] == '\\' || (text[i] && strchr("\b\f\n\r\t", text[i])))
            size += SHORT_ESCAPE;
        else
            size += text[i] < ' ' ? LONG_ESCAPE : 1;
    }
    return size;
}

static size_t digit_count(uint64_t number)
{
    size_t digits = 1;
    for (; number >= 10; number /= 10)
        digits++;
    return digits;
}

/* Returns whether the text reads as this value, of a float32 or a float64. */
static bool parses_as(const char *text, double value, bool is_float32)
{
    return is_float32 ? strtof(text, NULL) == (float)value : strtod(text, NULL) == value;
}

static size_t fraction_size(double value, bool is_float32)
{
    char text[NUMBER_SIZE];
    const int digits_max = is_float32 ? 9 : 17; /* always enough to tell two values apart */
    size_t size = 0;
    for (int digits = is_float32 ? 6 : 15; digits <= digits_max; digits++) {
        size = (size_t)snprintf(text, sizeof text, "%.*g", digits, value);
        if (parses_as(text, value, is_float32))
            break;
    }
    return strpbrk(text, ".e") ? size : size + DECIMAL_ZERO;
}

static size_t float_size(double value, bool is_float32)
{
    if (!isfinite(value))
        return strlen("null");
    if (fabs(value) >= EXACT_INTEGER_MAX || value != floor(value))
        return fraction_size(value, is_float32);
    return digit_count((uint64_t)fabs(value)) + DECIMAL_ZERO + (signbit(value) ? SIGN : 0);
}

static size_t float32_size(uint64_t bits)
{
    const uint32_t low_bits = (uint32_t)bits;
    float value;
    memcpy(&value, &low_bits, sizeof value);
    return float_size((double)value, true);
}

static size_t float64_size(uint64_t bits)
{
    double value;
    memcpy(&value, &bits, sizeof value);
    return float_size(value, false);
}

/* Returns the brackets, colons and commas of a list or map. */
static size_t container_size(const mv_value_head *head)
{
    const uint64_t separators = head->children ? head->children - 1 : 0;
    return (size_t)separators + BRACKETS;
}

/* Returns the JSON bytes of a value, without the values inside a list or map. */
static size_t value_size(const uint8_t *bytes, const mv_value_head *head)
{
    switch (head->kind) {
    case MV_VALUE_NIL:
        return strlen("null");
    case MV_VALUE_FALSE:
        return strlen("false");
    case MV_VALUE_TRUE:
        return strlen("true");
    case MV_VALUE_UNSIGNED:
        return digit_count(head->payload);
    case MV_VALUE_NEGATIVE:
        return digit_count(-head->payload) + SIGN;
    case MV_VALUE_FLOAT32:
        return float32_size(head->payload);
    case MV_VALUE_FLOAT64:
        return float64_size(head->payload);
    case MV_VALUE_TEXT:
        return text_size(bytes + head->bytes - head->payload, head->payload);
    case MV_VALUE_LIST:
    case MV_VALUE_MAP:
        return container_size(head);
    case MV_VALUE_INVALID:
        break;
    }
    return 0;
}

bool mv_json_exceeds(const uint8_t *bytes, size_t size, size_t limit)
{
    if (!mv_document_is_well_formed(bytes, size))
        return size > limit;
    const uint8_t *end = bytes + size;
    size_t total = 0;
    while (bytes < end && total <= limit) {
        const mv_value_head head = mv_value_head_read(bytes, (size_t)(end - bytes));
        total += value_size(bytes, &head);
        bytes += head.bytes;
    }
    return total > limit;
}
