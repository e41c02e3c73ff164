/**
 * Check of a MessagePack body before the body is unpacked.
 *
 * The unpacker of the MessagePack library allocates memory for the number of items that the head of
 * a list states. A body of five bytes could therefore make the unpacker allocate gigabytes. This
 * check reads the heads of all values and allocates no memory.
 */
#ifndef MV_DOCUMENT_CHECK_H
#define MV_DOCUMENT_CHECK_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Returns true if the bytes are exactly one value, made of text, numbers, booleans, nil, lists and
 * maps, and if no list or map states more items than the remaining bytes can hold.
 */
bool mv_document_is_well_formed(const uint8_t *bytes, size_t size);
#endif
