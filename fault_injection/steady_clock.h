/**
 * The steady clock that all fake systems share.
 */
#ifndef MV_STEADY_CLOCK_H
#define MV_STEADY_CLOCK_H
#include <glib.h>

/** Returns the seconds since an arbitrary moment on a clock that never goes backwards. All threads
 * of the process share the clock. */
static inline double mv_steady_now_s(void)
{
    return (double)g_get_monotonic_time() / G_USEC_PER_SEC;
}
#endif
