/* The session at the state service, and the copy of its records that is followed. */
#include "service/daemon_internal.h"

#include "bookkeeping/log.h"

#include <time.h>

/* --- session --- */

void *mv_daemon_session_routine(void *arg)
{
    mv_daemon *d = arg;
    uint64_t incarnation = 0; /* the first session's number names this process */
    bool have = false;
    do {
        double sent = mv_steady(), now;
        uint64_t hold = 0;
        mv_state_result r =
            have ? mv_state_session_renew(d->state) : mv_state_session_open(d->state, &hold);
        if (r == MV_STATE_OK && !have)
            mv_info("session", "hold=%" G_GUINT64_FORMAT, hold);
        if (r == MV_STATE_OK && !incarnation)
            incarnation = hold;
        mv_core *core = mv_daemon_enter(d, &now);
        if (r == MV_STATE_OK)
            mv_core_session(core, now, incarnation, sent);
        else if (r == MV_STATE_MISSING)
            mv_core_session(core, now, 0, sent);
        else
            mv_core_state_failed(core, now);
        mv_daemon_leave(d);
        have = r == MV_STATE_OK || (have && r != MV_STATE_MISSING);
        if (r != MV_STATE_OK)
            mv_log_limited(MV_LOG_INFO, "session_trouble", "result=%d have=%d", r, have);
        if (r == MV_STATE_MISSING)
            continue;
        if (!mv_daemon_rest(d, r == MV_STATE_OK ? MV_SESSION_RENEW_S : MV_SESSION_RETRY_S))
            break;
    } while (!mv_daemon_stopping(d));
    return NULL;
}

/* --- the copy of the records --- */

static void seen_listed(void *ctx, const char *key, GBytes *data, uint64_t stamp)
{
    mv_daemon *d = ctx;
    double now;
    (void)stamp;
    g_hash_table_add(d->listed, g_strdup(key));
    g_hash_table_add(d->known, g_strdup(key));
    mv_core *core = mv_daemon_enter(d, &now);
    mv_core_record(core, now, key, data, stamp);
    mv_daemon_leave(d);
}

static void seen_followed(void *ctx, const char *key, GBytes *data, uint64_t stamp)
{
    mv_daemon *d = ctx;
    double now;
    if (data)
        g_hash_table_add(d->known, g_strdup(key));
    else
        g_hash_table_remove(d->known, key);
    mv_core *core = mv_daemon_enter(d, &now);
    mv_core_record(core, now, key, data, stamp);
    mv_daemon_leave(d);
}

/* Lists all records; what was known and is not listed has been removed meanwhile. */
static bool list_records(mv_daemon *d, uint64_t *epoch)
{
    double began;
    d->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    mv_core *listing = mv_daemon_enter(d, &began);
    mv_core_listing(listing, began);
    mv_daemon_leave(d);
    mv_state_result r = mv_state_list(d->state, seen_listed, d, epoch);
    if (r == MV_STATE_OK) {
        GHashTableIter it;
        gpointer key;
        double now;
        mv_core *core = mv_daemon_enter(d, &now);
        g_hash_table_iter_init(&it, d->known);
        while (g_hash_table_iter_next(&it, &key, NULL))
            if (!g_hash_table_contains(d->listed, key)) {
                mv_core_record(core, now, key, NULL, 0);
                g_hash_table_iter_remove(&it);
            }
        mv_core_synced(core, now);
        mv_daemon_leave(d);
    }
    g_clear_pointer(&d->listed, g_hash_table_unref);
    return r == MV_STATE_OK;
}

static bool has_incarnation(mv_daemon *d)
{
    double now;
    mv_core *core = mv_daemon_enter(d, &now);
    bool yes = mv_core_in_session(core);
    mv_daemon_leave(d);
    return yes;
}

/* The more jobs there are, the more changes one watch may gather. */
static double follow_pause(mv_daemon *d)
{
    double now;
    const mv_core *core = mv_daemon_enter(d, &now);
    unsigned jobs = mv_core_jobs(core), holders = mv_core_holders(core);
    mv_daemon_leave(d);
    mv_state_share(d->state, holders);
    return MIN(MV_FOLLOW_PAUSE_MS + MV_FOLLOW_PER_JOB_MS * jobs, MV_FOLLOW_MOST_MS) / 1000.0;
}

/* Whether users ask more than the state service's limit has room for. The lock is held. */
static bool many_questions(const mv_daemon *d)
{
    return mv_core_jobs(d->core) / MV_POLL_S > MV_POLL_SHARE * d->conf->state_rps;
}

static unsigned watch_time(mv_daemon *d)
{
    double now;
    mv_daemon_enter(d, &now);
    bool shared = many_questions(d);
    mv_daemon_leave(d);
    return shared ? MV_FOLLOW_SHARED_MS : MV_FOLLOW_MS;
}

void *mv_daemon_follow_routine(void *arg)
{
    mv_daemon *d = arg;
    uint64_t epoch = 0;
    bool listed = false;
    /* Grants name the incarnation, so it has to be known before the first record is read. */
    while (!has_incarnation(d))
        if (!mv_daemon_rest(d, MV_SESSION_RETRY_S / 4))
            return NULL;
    while (!mv_daemon_stopping(d)) {
        double sent = mv_steady(), now;
        mv_state_result r = MV_STATE_OK;
        if (!listed)
            r = (listed = list_records(d, &epoch)) ? MV_STATE_OK : MV_STATE_REFUSED;
        else
            r = mv_state_follow(d->state, seen_followed, d, watch_time(d), &epoch);
        if (r == MV_STATE_GONE)
            listed = false;
        if (r == MV_STATE_OK) {
            mv_core *core = mv_daemon_enter(d, &now);
            mv_core_followed(core, now, sent);
            pthread_cond_broadcast(&d->followed);
            mv_daemon_leave(d);
        }
        if (!mv_daemon_rest(d, r == MV_STATE_OK ? follow_pause(d) : MV_SESSION_RETRY_S))
            break;
    }
    return NULL;
}

/* A watch that was sent after a question came, and answered, tells as much of every job as asking
 * the state service for this one does. With some 500 jobs about, users' questions alone came to its
 * limit, and submissions were refused for them. */
bool mv_daemon_caught_up(mv_daemon *d)
{
    struct timespec until = mv_steady_in(MV_POLL_WAIT_S);
    double now;
    const mv_core *core = mv_daemon_enter(d, &now);
    double came = now;
    bool wait = many_questions(d);
    while (wait && !d->stopping && mv_core_fresh_at(core) < came)
        wait = pthread_cond_timedwait(&d->followed, &d->lock, &until) == 0;
    bool fresh = wait && mv_core_fresh_at(core) >= came && mv_core_in_contact(core, mv_steady());
    mv_daemon_leave(d);
    return fresh;
}
