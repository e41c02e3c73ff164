/**
 * Lists the state service's records and watches them for changes, for the controller's cache.
 */
#include "server/state_watch.h"

#include "server/clocks.h"
#include "server/revision_history.h"
#include "telemetry/log.h"
#include "transport/threads.h"

#define SESSION_POLLS_PER_RETRY 4 /* polls for the first session in MV_SESSION_RETRY_S */
#define MILLISECONDS_PER_SECOND 1000.0

struct mv_state_watch {
    const mv_settings *settings;
    mv_shared_controller *controller;
    mv_state_store *state_store;
    mv_thread_group *threads;
    /* Only the watch's thread uses the fields from here to `listed`. */
    GHashTable *cached_keys; /* char *: the keys that the controller's cache holds */
    uint64_t store_revision; /* the next watch starts after this revision */
    /* Whether all records were listed and the state service has kept the events after
     * store_revision since then. If false, the records are listed before the next watch. */
    bool listed;
    /* The controller's lock guards the fields below. */
    pthread_cond_t caught_up; /* signalled when the cache is up to date or the watch stops */
    mv_revision_history history;
    bool stopping;
};

mv_state_watch *mv_state_watch_new(const mv_settings *settings, mv_shared_controller *controller,
                                   mv_state_store *state_store, mv_thread_group *threads)
{
    mv_state_watch *watch = g_new0(mv_state_watch, 1);
    watch->settings = settings;
    watch->controller = controller;
    watch->state_store = state_store;
    watch->threads = threads;
    watch->cached_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    mv_monotonic_cond_init(&watch->caught_up);
    return watch;
}

void mv_state_watch_free(mv_state_watch *watch)
{
    g_hash_table_unref(watch->cached_keys);
    pthread_cond_destroy(&watch->caught_up);
    g_free(watch);
}

void mv_state_watch_stop(mv_state_watch *watch)
{
    double now;
    mv_shared_controller_lock(watch->controller, &now);
    watch->stopping = true;
    pthread_cond_broadcast(&watch->caught_up);
    mv_shared_controller_unlock(watch->controller);
}

/* --- records --- */

/* Passes a change of one record on to the controller. `data` is NULL if the record was deleted. */
static void record_changed(void *context, const char *key, GBytes *data, uint64_t revision)
{
    mv_state_watch *watch = context;
    double now;
    if (data)
        g_hash_table_add(watch->cached_keys, g_strdup(key));
    else
        g_hash_table_remove(watch->cached_keys, key);
    mv_controller *controller = mv_shared_controller_lock(watch->controller, &now);
    mv_controller_record_changed(controller, now, key, data, revision);
    mv_shared_controller_unlock(watch->controller);
}

typedef struct {
    mv_state_watch *watch;
    GHashTable *keys; /* char *: the keys of the listed records */
} record_listing;

/* Passes a listed record on to the controller and remembers its key for finish_listing. */
static void record_listed(void *context, const char *key, GBytes *data, uint64_t revision)
{
    record_listing *listing = context;
    g_hash_table_add(listing->keys, g_strdup(key));
    record_changed(listing->watch, key, data, revision);
}

/* Reports to the controller that each cached record which the listing did not contain was deleted,
 * and then that the cache is loaded. A record that is missing from the listing was deleted since
 * the cache received it. */
static void finish_listing(const record_listing *listing)
{
    mv_state_watch *watch = listing->watch;
    GHashTableIter iterator;
    gpointer key;
    double now;
    mv_controller *controller = mv_shared_controller_lock(watch->controller, &now);
    g_hash_table_iter_init(&iterator, watch->cached_keys);
    while (g_hash_table_iter_next(&iterator, &key, NULL))
        if (!g_hash_table_contains(listing->keys, key)) {
            mv_controller_record_changed(controller, now, key, NULL, 0);
            g_hash_table_iter_remove(&iterator);
        }
    mv_controller_cache_loaded(controller, now);
    mv_shared_controller_unlock(watch->controller);
}

/* Lists all records and sets the revision from which the next watch starts. Returns false if the
 * listing failed. */
static bool list_records(mv_state_watch *watch)
{
    double now;
    mv_controller *controller = mv_shared_controller_lock(watch->controller, &now);
    mv_controller_relist_started(controller, now);
    mv_shared_controller_unlock(watch->controller);
    g_autoptr(GHashTable) keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    record_listing listing = {.watch = watch, .keys = keys};
    const mv_state_store_result result =
        mv_state_store_list(watch->state_store, record_listed, &listing, &watch->store_revision);
    if (result == MV_STATE_STORE_OK)
        finish_listing(&listing);
    return result == MV_STATE_STORE_OK;
}

/* --- length and interval of watches --- */

/* Returns whether users' polls, one per job every MV_POLL_INTERVAL_S, exceed MV_POLL_SHARE of the
 * state service's rate limit. If so, polls wait for the next watch instead of reading records. */
static bool polls_share_watches(const mv_state_watch *watch, const mv_controller *controller)
{
    const double polls_per_s = mv_controller_job_count(controller) / MV_POLL_INTERVAL_S;
    return polls_per_s > MV_POLL_SHARE * watch->settings->state_store_rps;
}

/* Returns the length of the next watch: short while polls wait for the watch that follows. */
static unsigned watch_length_ms(mv_state_watch *watch)
{
    double now;
    const mv_controller *controller = mv_shared_controller_lock(watch->controller, &now);
    const bool shared = polls_share_watches(watch, controller);
    mv_shared_controller_unlock(watch->controller);
    return shared ? MV_WATCH_LENGTH_SHARED_MS : MV_WATCH_LENGTH_MS;
}

/* Returns the pause before the next watch. The pause grows with the number of jobs, because more
 * jobs cause more changes, which one watch can then return together. Also tells the client of the
 * state service how many shard owners share the write budget. */
static double watch_interval_s(mv_state_watch *watch)
{
    double now;
    const mv_controller *controller = mv_shared_controller_lock(watch->controller, &now);
    const unsigned jobs = mv_controller_job_count(controller);
    const unsigned shard_owners = mv_controller_owner_count(controller);
    mv_shared_controller_unlock(watch->controller);
    mv_state_store_set_writers(watch->state_store, shard_owners);
    const double interval_ms = MV_WATCH_INTERVAL_MS + MV_WATCH_INTERVAL_PER_JOB_MS * jobs;
    return MIN(interval_ms, MV_WATCH_INTERVAL_MAX_MS) / MILLISECONDS_PER_SECOND;
}

/* --- thread --- */

static bool has_session(mv_state_watch *watch)
{
    double now;
    const mv_controller *controller = mv_shared_controller_lock(watch->controller, &now);
    const bool present = mv_controller_has_session(controller);
    mv_shared_controller_unlock(watch->controller);
    return present;
}

/* Tells the controller that its cache holds every change made before `sent`, and wakes the threads
 * that wait in mv_state_watch_wait_caught_up. */
static void report_caught_up(mv_state_watch *watch, double sent)
{
    double now;
    mv_controller *controller = mv_shared_controller_lock(watch->controller, &now);
    mv_controller_watch_caught_up(controller, now, sent);
    mv_revision_history_add(&watch->history, now, watch->store_revision);
    pthread_cond_broadcast(&watch->caught_up);
    mv_shared_controller_unlock(watch->controller);
    mv_debug("watch_answered", "revision=%" G_GUINT64_FORMAT " took_s=%.3f", watch->store_revision,
             now - sent);
}

/* Lists all records if a listing is due; otherwise waits for changes to the records. A listing is
 * due again if the state service has compacted the revision from which the watch started. */
static mv_state_store_result list_or_watch(mv_state_watch *watch)
{
    if (!watch->listed) {
        watch->listed = list_records(watch);
        return watch->listed ? MV_STATE_STORE_OK : MV_STATE_STORE_REFUSED;
    }
    const mv_state_store_result result = mv_state_store_watch(
        watch->state_store, record_changed, watch, watch_length_ms(watch), &watch->store_revision);
    if (result == MV_STATE_STORE_COMPACTED)
        watch->listed = false;
    return result;
}

static void run_watch(void *context)
{
    mv_state_watch *watch = context;
    /* Lease records name the incarnation of their holder, so this controller has to know its own
     * incarnation, which its first session sets, before the first record is read. */
    while (!has_session(watch))
        if (!mv_thread_group_sleep(watch->threads, MV_SESSION_RETRY_S / SESSION_POLLS_PER_RETRY))
            return;
    while (!mv_thread_group_is_stopping(watch->threads)) {
        const double sent = mv_monotonic_now();
        const bool ok = list_or_watch(watch) == MV_STATE_STORE_OK;
        if (ok)
            report_caught_up(watch, sent);
        const double pause_s = ok ? watch_interval_s(watch) : MV_SESSION_RETRY_S;
        if (!mv_thread_group_sleep(watch->threads, pause_s))
            break;
    }
}

bool mv_state_watch_start(mv_state_watch *watch)
{
    return mv_thread_group_start(watch->threads, run_watch, watch);
}

/* --- what the watch knows --- */

double mv_state_watch_revision_age(mv_state_watch *watch, uint64_t revision)
{
    double now;
    mv_shared_controller_lock(watch->controller, &now);
    const double age_s = mv_revision_history_age(&watch->history, now, revision);
    mv_shared_controller_unlock(watch->controller);
    return age_s;
}

bool mv_state_watch_wait_caught_up(mv_state_watch *watch)
{
    const struct timespec deadline = mv_monotonic_deadline(MV_POLL_WAIT_MAX_S);
    double arrived;
    const mv_controller *controller = mv_shared_controller_lock(watch->controller, &arrived);
    bool waiting = polls_share_watches(watch, controller);
    while (waiting && !watch->stopping && mv_controller_caught_up_to(controller) < arrived)
        waiting = mv_shared_controller_wait(watch->controller, &watch->caught_up, &deadline);
    const bool caught_up = waiting && mv_controller_caught_up_to(controller) >= arrived &&
                           mv_controller_state_reachable(controller, mv_monotonic_now());
    mv_shared_controller_unlock(watch->controller);
    return caught_up;
}
