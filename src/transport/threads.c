/** Starts threads with a small stack. */
#include "transport/threads.h"

#include "constants.h"

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
