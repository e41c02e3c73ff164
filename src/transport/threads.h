/**
 * Starts threads with a small stack.
 *
 * Hundreds of threads must fit into the memory of a controller, so each thread gets a stack of
 * MV_THREAD_STACK_BYTES instead of the system's default size.
 */
#ifndef MV_THREADS_H
#define MV_THREADS_H
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
#endif
