/**
 * Monotonic and wall clock of the process, in seconds, and deadlines for condition variables.
 *
 * All functions are thread-safe, and no function blocks.
 */
#ifndef MV_CLOCKS_H
#define MV_CLOCKS_H
#include <time.h>

/**
 * Returns the time of the monotonic clock in seconds. Leases, timeouts and all times that the
 * controller compares are on this clock.
 */
double mv_monotonic_now(void);
/**
 * Returns the wall-clock time in seconds since 1970. Only times in records are on this clock.
 */
double mv_wall_clock_now(void);
/**
 * Returns the monotonic time `seconds` from now, as a deadline for pthread_cond_timedwait on a
 * condition variable that mv_monotonic_cond_init has initialized.
 */
struct timespec mv_monotonic_deadline(double seconds);
#endif
