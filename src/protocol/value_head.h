/**
 * Heads of MessagePack values. The head of a value is its first byte and the length, item count or
 * number behind it. Reading heads one after the other walks through a body without allocating
 * memory.
 */
#ifndef MV_VALUE_HEAD_H
#define MV_VALUE_HEAD_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The kinds of values. Binary data and extension types are missing, because they are not part of
 * the protocol. */
typedef enum {
    MV_VALUE_INVALID, /**< cut off, or not part of the protocol */
    MV_VALUE_NIL,
    MV_VALUE_FALSE,
    MV_VALUE_TRUE,
    MV_VALUE_UNSIGNED,
    MV_VALUE_NEGATIVE,
    MV_VALUE_FLOAT32,
    MV_VALUE_FLOAT64,
    MV_VALUE_TEXT,
    MV_VALUE_LIST,
    MV_VALUE_MAP
} mv_value_kind;

/** The content of a head. */
typedef struct {
    mv_value_kind kind;
    uint64_t bytes;    /**< size of the value without the values inside a list or map */
    uint64_t children; /**< number of values directly inside a list or map */
    /** Unsigned: the number. Negative: the number in two's complement. Float: its bits. Text: the
     * number of bytes of the text, which are the last bytes of the value. */
    uint64_t payload;
} mv_value_head;

/**
 * Reads the head of the value at `bytes`, of which `left` bytes are there, at least one. The value
 * itself may be longer than `left`.
 */
mv_value_head mv_value_head_read(const uint8_t *bytes, size_t left);
#endif
