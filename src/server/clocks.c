/**
 * Monotonic and wall clock of the process.
 */
#include "server/clocks.h"

#include <glib.h>

#define NANOSECONDS_PER_SECOND 1e9
#define MICROSECONDS_PER_SECOND 1e6

double mv_monotonic_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / NANOSECONDS_PER_SECOND;
}

double mv_wall_clock_now(void)
{
    return (double)g_get_real_time() / MICROSECONDS_PER_SECOND;
}

struct timespec mv_monotonic_deadline(double seconds)
{
    const double deadline_s = mv_monotonic_now() + seconds;
    struct timespec deadline = {.tv_sec = (time_t)deadline_s};
    deadline.tv_nsec = (long)((deadline_s - (double)deadline.tv_sec) * NANOSECONDS_PER_SECOND);
    return deadline;
}
