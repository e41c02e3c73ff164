/**
 * The thread that keeps the controller's cache of the state service's records up to date. The
 * thread lists all records and then watches the records for changes. If the state service has
 * compacted the revision from which a watch starts, the thread lists all records again.
 */
#ifndef MV_STATE_WATCH_H
#define MV_STATE_WATCH_H
#include "config/settings.h"
#include "server/shared_controller.h"
#include "server/thread_group.h"
#include "storage/state_store.h"

typedef struct mv_state_watch mv_state_watch;

/** Returns a watch, which the caller frees. The arguments have to outlive the watch. */
mv_state_watch *mv_state_watch_new(const mv_settings *settings, mv_shared_controller *controller,
                                   mv_state_store *state_store, mv_thread_group *threads);
/** Frees the watch. Its thread must have been joined before. */
void mv_state_watch_free(mv_state_watch *watch);
/** Starts the watch's thread. Returns false if the thread cannot be started. */
bool mv_state_watch_start(mv_state_watch *watch);
/**
 * Wakes all callers of mv_state_watch_wait_caught_up and lets no later call wait. Takes the
 * controller's lock.
 */
void mv_state_watch_stop(mv_state_watch *watch);

/**
 * Returns for how many seconds a revision of the state service has certainly been in the past, as
 * far as this process remembers. Takes the controller's lock.
 */
double mv_state_watch_revision_age(mv_state_watch *watch, uint64_t revision);

/**
 * Waits, for MV_POLL_WAIT_MAX_S at most, until the cache holds every change made before the call.
 * Returns true if the caller may use the cache, and false if the caller has to read the record from
 * the state service. If users' polls stay within MV_POLL_SHARE of the state service's rate limit,
 * the function returns false at once, because each poll can then read the record from the state
 * service.
 *
 * Polls share watches because, with about 500 jobs, users' polls alone reached the rate limit of
 * the state service, which then refused submissions. The cache is then as current as a read: a
 * watch that was sent after a request arrived, and that has been answered, says as much about every
 * job as a read of that job's record does.
 *
 * Takes the controller's lock and releases it while it waits.
 */
bool mv_state_watch_wait_caught_up(mv_state_watch *watch);
#endif
