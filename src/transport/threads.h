/**
 * Starts threads with a small stack, and waits for conditions until a time of the monotonic clock.
 *
 * Hundreds of threads must fit into the memory of a controller, so each thread gets a stack of
 * MV_THREAD_STACK_BYTES instead of the system's default size.
 */
#ifndef MV_THREADS_H
#define MV_THREADS_H
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

/** The function that a thread runs. The return value is ignored. */
typedef void *(*mv_thread_fn)(void *argument);

/**
 * Starts up to `count` joinable threads that run `run(argument)`, and stops at the first thread
 * that the system refuses to start. Returns the number n of started threads. The first n items of
 * `threads` are valid, and the caller joins each of these threads.
 */
unsigned mv_threads_start(pthread_t *threads, unsigned count, mv_thread_fn run, void *argument);

/**
 * Starts one detached thread. Returns false if the system refuses to start the thread. In that case
 * `run` is not called and the caller still owns `argument`.
 */
bool mv_thread_start_detached(mv_thread_fn run, void *argument);

/** Initializes a condition variable whose deadlines are times of the monotonic clock. */
void mv_monotonic_cond_init(pthread_cond_t *cond);

/**
 * Waits for the condition variable until the monotonic time `deadline_us` in microseconds. The
 * caller holds the lock. Returns false once the deadline has passed.
 */
bool mv_monotonic_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock, gint64 deadline_us);
#endif
