#include "coordination/membership/partition_sizes.h"

#include <string.h>

/* Bytes of a member without the machine's id, address, type and zone: the field names, the encoding
 * and the time. */
#define MEMBER_OVERHEAD_BYTES 68
/* Bytes that a member of a spot machine takes in addition. */
#define MEMBER_SPOT_BYTES 16
/* Bytes that a member's own term takes in addition to the digits of the term. */
#define MEMBER_TERM_BYTES 8
/* Bytes of a machine in an occupancy record, without the machine's name and address. */
#define OCCUPANCY_OVERHEAD_BYTES 6

static size_t count_digits(uint64_t number)
{
    size_t digits = 0;
    for (uint64_t rest = number; rest; rest /= 10)
        digits++;
    return digits;
}

size_t mv_partition_member_bytes(const mv_partition_member *member)
{
    size_t texts = strlen(member->id) + strlen(member->address) + strlen(member->type_name) +
                   strlen(member->zone_name);
    size_t term = member->term ? MEMBER_TERM_BYTES + count_digits(member->term) : 0;
    return MEMBER_OVERHEAD_BYTES + texts + (member->spot ? MEMBER_SPOT_BYTES : 0) + term;
}

size_t mv_partition_members_bytes(const GArray *members)
{
    size_t bytes = 0;
    for (guint i = 0; i < members->len; i++)
        bytes += mv_partition_member_bytes(&g_array_index(members, mv_partition_member, i));
    return bytes;
}

size_t mv_partition_value_capacity(const mv_context *context)
{
    return context->limits.value_bytes - MV_VALUE_HEADROOM_BYTES;
}

bool mv_segment_fits(const mv_context *context, size_t bytes, guint members)
{
    bool is_small =
        bytes <= mv_partition_value_capacity(context) || members <= 1 || EMULATES_FORMAT_1(context);
    return members <= MV_SEGMENT_MACHINES_MAX && SAFETY_CHECK(VALUE_SIZE, is_small);
}

size_t mv_segment_occupancy_bytes(const mv_partition_segment *segment)
{
    size_t bytes = 0;
    for (guint i = 0; i < segment->members->len; i++) {
        const mv_machine *machine = g_ptr_array_index(segment->members, i);
        if (machine->occupied || machine->confirmed)
            bytes += strlen(machine->id) + strlen(machine->address) + OCCUPANCY_OVERHEAD_BYTES;
    }
    return bytes;
}

guint mv_partition_slice_end(const mv_context *context, const GArray *members, guint from)
{
    size_t bytes = 0;
    guint end = from;
    while (end < members->len) {
        bytes += mv_partition_member_bytes(&g_array_index(members, mv_partition_member, end));
        if (!mv_segment_fits(context, bytes, end + 1 - from))
            break;
        end++;
    }
    return end;
}
