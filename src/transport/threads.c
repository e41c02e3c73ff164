/** Threads with a small stack, and waits on the monotonic clock. */
#include "transport/threads.h"

#include "constants.h"

#define NANOSECONDS_PER_MICROSECOND 1000

unsigned mv_threads_start(pthread_t *threads, unsigned count, mv_thread_fn run, void *argument)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, MV_THREAD_STACK_BYTES);
    unsigned started = 0;
    while (started < count && pthread_create(&threads[started], &attributes, run, argument) == 0)
        started++;
    pthread_attr_destroy(&attributes);
    return started;
}

bool mv_thread_start_detached(mv_thread_fn run, void *argument)
{
    pthread_attr_t attributes;
    pthread_t thread;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, MV_THREAD_STACK_BYTES);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    const bool started = pthread_create(&thread, &attributes, run, argument) == 0;
    pthread_attr_destroy(&attributes);
    return started;
}

void mv_monotonic_cond_init(pthread_cond_t *cond)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(cond, &attributes);
    pthread_condattr_destroy(&attributes);
}

bool mv_monotonic_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock, gint64 deadline_us)
{
    const struct timespec deadline = {
        .tv_sec = (time_t)(deadline_us / G_USEC_PER_SEC),
        .tv_nsec = (long)(deadline_us % G_USEC_PER_SEC * NANOSECONDS_PER_MICROSECOND)};
    return pthread_cond_timedwait(cond, lock, &deadline) == 0;
}
