/**
 * A group of threads that are started, stopped and joined together. Every long-running thread of
 * the server belongs to the group, except the threads of the HTTP and peer servers, which the
 * transport modules own.
 *
 * Locks: the group has a lock of its own and calls no other module while it holds that lock. All
 * functions may be called from any thread, also with the controller's lock held. The opposite order
 * does not occur: the controller's lock is never taken with the group's lock held.
 */
#ifndef MV_THREAD_GROUP_H
#define MV_THREAD_GROUP_H
#include <stdbool.h>

typedef struct mv_thread_group mv_thread_group;
/** The function that a thread runs. The function has to return soon after the group is stopped. */
typedef void (*mv_thread_function)(void *context);

/** Returns an empty group. The caller frees it after mv_thread_group_join. */
mv_thread_group *mv_thread_group_new(void);
/** Frees a group whose threads have been joined. */
void mv_thread_group_free(mv_thread_group *group);

/**
 * Starts a thread with a stack of MV_THREAD_STACK_BYTES. `context` has to be valid until the group
 * is joined. Returns false if the group is stopping or the system cannot create a thread.
 */
bool mv_thread_group_start(mv_thread_group *group, mv_thread_function function, void *context);
/**
 * Sleeps for `seconds`, or until the group is stopped if that is sooner. Returns false if the group
 * is stopping.
 */
bool mv_thread_group_sleep(mv_thread_group *group, double seconds);
/** Returns whether mv_thread_group_stop has been called. */
bool mv_thread_group_is_stopping(mv_thread_group *group);

/**
 * Stops the group: wakes all threads that sleep in mv_thread_group_sleep, and lets
 * mv_thread_group_start fail from now on.
 */
void mv_thread_group_stop(mv_thread_group *group);
/**
 * Waits until all threads have returned. The caller first calls mv_thread_group_stop and ends all
 * other waits of the threads, for example by closing the queues that the threads take from.
 */
void mv_thread_group_join(mv_thread_group *group);
#endif
