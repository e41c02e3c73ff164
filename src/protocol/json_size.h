/**
 * The size of a MessagePack body in its JSON form, in which the protocol counts size limits.
 *
 * The form has no spaces. Texts are UTF-8 in which only quotation marks, backslashes and control
 * characters are escaped. A number that is not an integer type is written as the shortest decimal
 * number that reads as the same value, and has a decimal point or an exponent (4.0).
 *
 * Source: the head of the protocol page.
 */
#ifndef MV_JSON_SIZE_H
#define MV_JSON_SIZE_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Returns whether the JSON form of the body is larger than `limit` bytes. The cost is bounded by
 * the limit, not by the size of the body. A body that is not well-formed (document_check.h) has no
 * JSON form; its own size counts instead.
 */
bool mv_json_exceeds(const uint8_t *bytes, size_t size, size_t limit);
#endif
