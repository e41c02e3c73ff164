#include "coordination/foundation/clock.h"

#include "constants.h"

#include <glib.h>

void mv_clock_advance(mv_clock *clock, double now)
{
    clock->now = MAX(clock->now, now);
}

double mv_clock_tick(mv_clock *clock, double now, double wall_now)
{
    mv_clock_advance(clock, now);
    clock->wall_offset = wall_now - now;
    double gap_s = clock->last_tick_at > 0 ? clock->now - clock->last_tick_at : 0;
    /* A process whose ticks are late also reads every response late. Without this rule, a
     * controller released working machines as failed because their responses lay unread. */
    if (gap_s > MV_TICK_LATE_S)
        clock->overloaded_until = clock->now + MIN(MV_OVERLOAD_FACTOR * gap_s, MV_OVERLOAD_MAX_S);
    clock->last_tick_at = clock->now;
    return gap_s;
}

bool mv_clock_is_overloaded(const mv_clock *clock)
{
    return clock->now < clock->overloaded_until;
}

double mv_clock_wall_time(const mv_clock *clock)
{
    return clock->now + clock->wall_offset;
}

/* The result is never in the future: before the first tick the offset of the wall time is unknown,
 * and a machine whose record was read then got a start time so late that its missing heartbeats
 * were never noticed. */
double mv_clock_steady_from_wall(const mv_clock *clock, double wall_time)
{
    return MIN(wall_time - clock->wall_offset, clock->now);
}
