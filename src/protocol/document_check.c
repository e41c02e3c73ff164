/** Checks a MessagePack body before it is unpacked. */
#include "protocol/document_check.h"

#include "protocol/value_head.h"

bool mv_document_is_well_formed(const uint8_t *bytes, size_t size)
{
    size_t left = size;
    uint64_t expected = 1; /* values that still have to follow */
    while (expected > 0) {
        if (left == 0)
            return false;
        const mv_value_head head = mv_value_head_read(bytes, left);
        if (head.kind == MV_VALUE_INVALID || head.bytes > left)
            return false;
        bytes += head.bytes;
        left -= head.bytes;
        expected += head.children - 1;
        if (expected > left) /* each value takes at least one byte */
            return false;
    }
    return left == 0;
}
