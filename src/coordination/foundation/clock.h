/**
 * The time in the coordination code, which never reads a clock: the caller passes the time with
 * every event. All times are seconds of the monotonic clock unless a name says wall time.
 */
#ifndef MV_CLOCK_H
#define MV_CLOCK_H
#include <stdbool.h>

/** The time of the latest event. */
typedef struct {
    double now;              /**< seconds of the monotonic clock; never decreases */
    double wall_offset;      /**< wall time minus monotonic time, at the last tick */
    double last_tick_at;     /**< 0: there was no tick yet */
    double overloaded_until; /**< after a late tick, this process counts as overloaded until
                                this time, and a missing heartbeat is no sign of a failure */
} mv_clock;

/** Advances the clock to the time of an event. An earlier time changes nothing. */
void mv_clock_advance(mv_clock *clock, double now);
/**
 * Advances the clock to the time of a tick. Returns the seconds since the previous tick, or 0 for
 * the first tick. A large gap marks this process as overloaded until `overloaded_until`.
 */
double mv_clock_tick(mv_clock *clock, double now, double wall_now);
/**
 * Returns whether responses may lie unread because this process was late to get processor time.
 */
bool mv_clock_is_overloaded(const mv_clock *clock);
/** Returns the current wall time in seconds. */
double mv_clock_wall_time(const mv_clock *clock);
/** Converts a recorded wall time to seconds of the monotonic clock. The result is never in the
 * future. */
double mv_clock_steady_from_wall(const mv_clock *clock, double wall_time);
#endif
