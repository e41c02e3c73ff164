/* What is answered on each path. */
#include "bookkeeping/log.h"
#include "bookkeeping/metrics.h"
#include "protocol/names.h"
#include "service/daemon.h"
#include "service/operator_pages.h"

#include <pthread.h>
#include <string.h>

/* --- small answers --- */

static void say_error(mv_reply *r, int status, const char *error, const char *detail)
{
    mv_out *o = mv_out_new();
    mv_put_map(o, detail ? 2 : 1);
    mv_field_text(o, N_ERROR, error);
    if (detail)
        mv_field_text(o, N_DETAIL, detail);
    r->status = status;
    r->body = mv_out_take(o);
    r->retry_after = status == 503 ? MV_RETRY_AFTER_S : status == 429 ? MV_SHED_RETRY_S : 0;
}

static void say_job(mv_reply *r, int status, const char *id, const char *state, unsigned done,
                    unsigned running, bool counts)
{
    mv_out *o = mv_out_new();
    mv_put_map(o, counts ? 4 : 2);
    mv_field_text(o, N_ID, id);
    mv_field_text(o, N_STATUS, state);
    if (counts) {
        mv_field_u64(o, N_DONE, done);
        mv_field_u64(o, N_RUNNING, running);
    }
    r->status = status;
    r->body = mv_out_take(o);
}

/* --- ends of jobs, which never change and so may be remembered --- */

typedef struct {
    bool done;
    unsigned tasks;
} final;

static pthread_mutex_t finals_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *finals;

static bool final_recall(const char *id, final *out)
{
    pthread_mutex_lock(&finals_lock);
    const final *f = finals ? g_hash_table_lookup(finals, id) : NULL;
    if (f)
        *out = *f;
    pthread_mutex_unlock(&finals_lock);
    return f != NULL;
}

static void final_remember(const char *id, const final *f)
{
    pthread_mutex_lock(&finals_lock);
    if (!finals)
        finals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (g_hash_table_size(finals) >= MV_FINAL_CACHE)
        g_hash_table_remove_all(finals); /* the state service has them all */
    g_hash_table_replace(finals, g_strdup(id), g_memdup2(f, sizeof *f));
    pthread_mutex_unlock(&finals_lock);
}

/* --- fresh knowledge of a job --- */

typedef enum { KNOWN_ACTIVE, KNOWN_FINAL, KNOWN_NOT, KNOWN_UNSURE } knowledge;

static knowledge look_up_live(mv_daemon *d, const char *id, uint64_t *stamp, unsigned *tasks)
{
    if (mv_daemon_caught_up(d)) {
        mv_job_view v;
        double now;
        mv_core_job(mv_daemon_enter(d, &now), id, &v);
        mv_daemon_leave(d);
        *stamp = v.stamp;
        *tasks = v.tasks;
        return v.active ? KNOWN_ACTIVE : KNOWN_NOT;
    }
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, K_JOB "%s", id);
    GBytes *data = NULL;
    mv_state_result r = mv_state_get(mv_daemon_state(d), key, &data, stamp);
    if (r != MV_STATE_OK)
        return r == MV_STATE_MISSING ? KNOWN_NOT : KNOWN_UNSURE;
    gsize n;
    const void *p = g_bytes_get_data(data, &n);
    g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
    uint64_t count = 0;
    bool ok = doc && mv_get_u64(mv_doc_root(doc), N_PIECES, &count) == MV_GOT;
    g_bytes_unref(data);
    *tasks = (unsigned)count;
    return ok ? KNOWN_ACTIVE : KNOWN_UNSURE;
}

/* Never older than any answer given by any node: an end is for good, everything else is read
 * from the state service now. The live record first: a job only ever moves from there to its
 * final record. */
static knowledge look_up(mv_daemon *d, const char *id, final *end, uint64_t *stamp, unsigned *tasks)
{
    char key[MV_KEY_SIZE];
    if (final_recall(id, end))
        return KNOWN_FINAL;
    if (!mv_daemon_in_contact(d))
        return KNOWN_UNSURE; /* rather at once than after a time-out */
    knowledge live = look_up_live(d, id, stamp, tasks);
    if (live != KNOWN_NOT)
        return live;
    GBytes *data = NULL;
    g_snprintf(key, sizeof key, K_FINAL "%s", id);
    mv_state_result r = mv_state_get(mv_daemon_state(d), key, &data, stamp);
    if (r == MV_STATE_MISSING)
        return KNOWN_NOT;
    if (r != MV_STATE_OK)
        return KNOWN_UNSURE;
    gsize n;
    const void *p = g_bytes_get_data(data, &n);
    g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
    bool ok = doc && mv_final_parse(mv_doc_root(doc), &end->done, &end->tasks);
    g_bytes_unref(data);
    if (ok)
        final_remember(id, end);
    return ok ? KNOWN_FINAL : KNOWN_UNSURE;
}

static void say_known(mv_daemon *d, mv_reply *r, const char *id, knowledge k, const final *end)
{
    if (k == KNOWN_FINAL) {
        say_job(r, 200, id, end->done ? N_DONE : N_WITHDRAWN, end->done ? end->tasks : 0, 0, true);
    } else if (k == KNOWN_ACTIVE) {
        mv_job_view v;
        double now;
        mv_core_job(mv_daemon_enter(d, &now), id, &v);
        mv_daemon_leave(d);
        say_job(r, 200, id, v.running || v.done ? N_RUNNING : N_PENDING, v.done, v.running, true);
    } else if (k == KNOWN_NOT) {
        say_error(r, 404, "no such job", NULL);
    } else {
        say_error(r, 503, "state service out of reach", NULL);
    }
}

/* --- users --- */

static void note_too_large(mv_daemon *d, mv_state_result result)
{
    double now;
    if (result != MV_STATE_TOO_LARGE)
        return;
    mv_core_too_large(mv_daemon_enter(d, &now));
    mv_daemon_leave(d);
}

static void accept_job(mv_daemon *d, const mv_job *job, unsigned home, mv_reply *r)
{
    char live[MV_KEY_SIZE], gone[MV_KEY_SIZE];
    if (!mv_daemon_in_contact(d)) {
        say_error(r, 503, "state service out of reach", NULL);
        return;
    }
    g_snprintf(live, sizeof live, K_JOB "%s", job->id);
    g_snprintf(gone, sizeof gone, K_FINAL "%s", job->id);
    g_autoptr(GArray) conds = g_array_new(FALSE, TRUE, sizeof(mv_cond));
    g_autoptr(GArray) changes = g_array_new(FALSE, TRUE, sizeof(mv_change));
    mv_cond cond = {0};
    g_strlcpy(cond.key, live, sizeof cond.key);
    g_array_append_val(conds, cond);
    g_strlcpy(cond.key, gone, sizeof cond.key);
    g_array_append_val(conds, cond);
    mv_change change = {.data = mv_accepted_pack(job, home, (double)g_get_real_time() / 1e6)};
    g_strlcpy(change.key, live, sizeof change.key);
    g_array_append_val(changes, change);
    mv_state_result result = mv_state_txn(mv_daemon_state(d), conds, changes, true);
    g_bytes_unref(change.data);
    if (result == MV_STATE_OK) {
        say_job(r, 201, job->id, N_PENDING, 0, 0, false);
        return;
    }
    if (result != MV_STATE_CONFLICT) {
        note_too_large(d, result);
        say_error(r, 503, "state service out of reach", NULL);
        return;
    }
    final end = {0};
    uint64_t stamp;
    unsigned tasks;
    knowledge k = look_up(d, job->id, &end, &stamp, &tasks);
    say_known(d, r, job->id, k == KNOWN_NOT ? KNOWN_UNSURE : k, &end);
}

static void submit(mv_daemon *d, const uint8_t *body, size_t size, mv_reply *r)
{
    g_autoptr(mv_doc) doc = body ? mv_doc_parse(body, size) : NULL;
    if (!doc) {
        say_error(r, 400, "malformed", "a MessagePack map of at most 64 KiB is needed");
        return;
    }
    mv_job job;
    const char *bad = mv_job_parse(mv_doc_root(doc), &job);
    if (bad) {
        say_error(r, 400, "malformed", bad);
        mv_job_clear(&job);
        return;
    }
    double now;
    unsigned home = 0;
    const mv_core *core = mv_daemon_enter(d, &now);
    mv_fit fit = mv_core_fits(core, &job);
    if (fit == MV_FITS && !mv_core_home(core, &job, &home))
        fit = MV_CANNOT_SAY;
    bool all_new = mv_core_all_new(core);
    /* Old controllers took batch jobs without an estimate, and answers must not differ by version.
     */
    const char *invalid = !job.service && job.guess_s <= 0 && all_new         ? N_GUESS
                          : fit == MV_FITS && !mv_core_fit_record(core, &job) ? N_HULLS
                                                                              : NULL;
    mv_daemon_leave(d);
    if (job.service && !all_new && fit == MV_FITS) {
        fit = MV_CANNOT_SAY;
        r->here = true; /* an old peer would refuse it for good */
    }
    if (invalid)
        fit = MV_NEVER_FITS;
    if (fit == MV_FITS) {
        accept_job(d, &job, home, r);
    } else {
        /* An accepted job stays accepted, whatever the limits and types are by now. */
        final end = {0};
        uint64_t stamp;
        unsigned tasks;
        knowledge k = look_up(d, job.id, &end, &stamp, &tasks);
        if (k == KNOWN_NOT && invalid)
            say_error(r, 400, "malformed", invalid);
        else if (k == KNOWN_NOT && fit == MV_NEVER_FITS)
            say_error(r, 422, "can never run", "no allowed machine or limit fits a task");
        else if (k == KNOWN_NOT)
            say_error(r, 503, "machine types or owners not known yet", NULL);
        else
            say_known(d, r, job.id, k, &end);
    }
    mv_job_clear(&job);
}

static void poll_job(mv_daemon *d, const char *id, mv_reply *r)
{
    final end = {0};
    uint64_t stamp;
    unsigned tasks;
    if (!mv_job_id_valid(id)) {
        say_error(r, 404, "no such job", NULL);
        return;
    }
    say_known(d, r, id, look_up(d, id, &end, &stamp, &tasks), &end);
}

static mv_state_result withdraw(mv_daemon *d, const char *id, uint64_t stamp, unsigned tasks)
{
    char key[MV_KEY_SIZE];
    g_autoptr(GArray) conds = g_array_new(FALSE, TRUE, sizeof(mv_cond));
    g_autoptr(GArray) changes = g_array_new(FALSE, TRUE, sizeof(mv_change));
    mv_cond cond = {.stamp = stamp};
    g_snprintf(cond.key, sizeof cond.key, K_JOB "%s", id);
    g_array_append_val(conds, cond);
    mv_change change = {0};
    g_strlcpy(change.key, cond.key, sizeof change.key);
    g_array_append_val(changes, change);
    g_snprintf(cond.key, sizeof cond.key, K_FINAL "%s", id);
    cond.stamp = 0;
    g_array_append_val(conds, cond);
    /* Those that have no room here, or that were written in another size, are swept up. */
    double now;
    unsigned chunks = (tasks + MV_CHUNK_TASKS - 1) / MV_CHUNK_TASKS;
    unsigned most = mv_core_ops(mv_daemon_enter(d, &now)) - 2;
    mv_daemon_leave(d);
    for (unsigned i = 0; i < MIN(chunks, most); i++) {
        g_snprintf(key, sizeof key, K_PROGRESS "%s/%u", id, i);
        g_strlcpy(change.key, key, sizeof change.key);
        g_array_append_val(changes, change);
    }
    g_snprintf(change.key, sizeof change.key, K_FINAL "%s", id);
    change.data = mv_final_pack(false, tasks, (double)g_get_real_time() / 1e6);
    g_array_append_val(changes, change);
    mv_state_result result = mv_state_txn(mv_daemon_state(d), conds, changes, true);
    g_bytes_unref(change.data);
    note_too_large(d, result);
    return result;
}

static void abort_job(mv_daemon *d, const char *id, mv_reply *r)
{
    if (!mv_job_id_valid(id)) {
        say_error(r, 404, "no such job", NULL);
        return;
    }
    for (int try = 0; try < MV_ABORT_TRIES; try++) {
        final end = {0};
        uint64_t stamp = 0;
        unsigned tasks = 0;
        knowledge k = look_up(d, id, &end, &stamp, &tasks);
        if (k == KNOWN_FINAL) {
            say_job(r, 200, id, end.done ? N_DONE : N_WITHDRAWN, 0, 0, false);
            return;
        }
        if (k != KNOWN_ACTIVE) {
            say_known(d, r, id, k, &end);
            return;
        }
        mv_state_result result = withdraw(d, id, stamp, tasks);
        if (result == MV_STATE_OK) {
            say_job(r, 200, id, N_WITHDRAWN, 0, 0, false);
            return;
        }
        if (result != MV_STATE_CONFLICT)
            break;
    }
    say_error(r, 503, "not decided", NULL);
}

/* --- workers --- */

static void report(mv_daemon *d, const uint8_t *body, size_t size, mv_reply *r)
{
    g_autoptr(mv_doc) doc = body ? mv_doc_parse(body, size) : NULL;
    mv_report rep;
    memset(&rep, 0, sizeof rep);
    if (!doc || !mv_report_parse(mv_doc_root(doc), &rep)) {
        mv_report_clear(&rep);
        say_error(r, 400, "malformed", NULL);
        return;
    }
    double now;
    mv_report_answer a;
    mv_core *core = mv_daemon_enter(d, &now);
    mv_core_report(core, now, &rep, &a);
    mv_daemon_leave(d);
    mv_debug("report", "machine=%s sequence=%" G_GUINT64_FORMAT " tasks=%zu status=%d orders=%u",
             rep.host, rep.sequence, rep.n_tasks, a.status, a.orders ? a.orders->len : 0);
    r->status = a.status;
    if (a.status == 200) {
        r->body = mv_orders_pack(a.token, 0, a.orders);
    } else if (a.status == 421) {
        mv_out *o = mv_out_new();
        mv_put_map(o, a.redirect_to[0] ? 1 : 0);
        if (a.redirect_to[0])
            mv_field_text(o, N_STEWARD, a.redirect_to);
        r->body = mv_out_take(o);
    } else {
        say_error(r, a.status, "not now", NULL);
    }
    if (a.orders)
        g_array_unref(a.orders);
    mv_report_clear(&rep);
}

/* --- dispatch --- */

typedef enum { P_NONE, P_SUBMIT, P_POLL, P_ABORT, P_REPORT, P_HEALTH, P_METRICS, P_OVERVIEW } place;

static place find_place(const char *method, const char *path, char *id, size_t id_size)
{
    bool get = strcmp(method, "GET") == 0, post = strcmp(method, "POST") == 0;
    if (strcmp(path, N_REPORT) == 0)
        return post ? P_REPORT : P_NONE;
    if (strcmp(path, N_RUNS) == 0)
        return post ? P_SUBMIT : P_NONE;
    if (get && strcmp(path, N_HEALTHZ) == 0)
        return P_HEALTH;
    if (get && strcmp(path, N_METRICS) == 0)
        return P_METRICS;
    if (get && strcmp(path, N_OVERVIEW) == 0)
        return P_OVERVIEW;
    if (!g_str_has_prefix(path, N_RUNS "/"))
        return P_NONE;
    const char *rest = path + strlen(N_RUNS "/");
    const char *slash = strchr(rest, '/');
    size_t len = slash ? (size_t)(slash - rest) : strlen(rest);
    if (len >= id_size) /* longer than any id: known to be unknown */
        len = 0;
    memcpy(id, rest, len);
    id[len] = 0;
    if (!slash)
        return get ? P_POLL : P_NONE;
    return post && strcmp(slash + 1, N_ABORT) == 0 ? P_ABORT : P_NONE;
}

void mv_route_local(mv_daemon *d, const char *method, const char *path, const uint8_t *body,
                    size_t size, mv_reply *r)
{
    char id[MV_ID_SIZE] = "";
    place p = find_place(method, path, id, sizeof id);
    if (p == P_SUBMIT)
        submit(d, body, size, r);
    else if (p == P_POLL)
        poll_job(d, id, r);
    else if (p == P_ABORT)
        abort_job(d, id, r);
    else
        say_error(r, 404, "no such path", NULL);
}

static void users(mv_daemon *d, place p, const char *method, const char *path, const uint8_t *body,
                  size_t size, mv_reply *r)
{
    gint64 began = g_get_monotonic_time();
    mv_route_local(d, method, path, body, size, r);
    mv_reply other = {0};
    if (r->status == 503 && !r->here && mv_daemon_pass_on(d, method, path, body, size, &other)) {
        g_clear_pointer(&r->body, g_bytes_unref);
        *r = other;
    }
    mv_latency which = p == P_SUBMIT ? MV_LAT_SUBMIT : p == P_POLL ? MV_LAT_POLL : MV_LAT_ABORT;
    double took = (double)(g_get_monotonic_time() - began) / 1e6;
    mv_metrics_latency(which, took);
    mv_metrics_status(which, r->status);
    mv_debug("user", "method=%s path=%s status=%d took_s=%.3f", method, path, r->status, took);
}

bool mv_route_at_once(const char *method, const char *path)
{
    char id[MV_ID_SIZE];
    place p = find_place(method, path, id, sizeof id);
    return p != P_SUBMIT && p != P_POLL && p != P_ABORT;
}

/* A poll can be repeated without harm, so polls are sent away before submissions and cancellations.
 * Reports are answered at once and wait for nothing. */
unsigned mv_route_may_wait(const char *method, const char *path)
{
    char id[MV_ID_SIZE];
    bool poll = find_place(method, path, id, sizeof id) == P_POLL;
    return poll ? MV_POLLS_WAITING : MV_REQUESTS_WAITING;
}

void mv_route_busy(const char *method, const char *path, mv_reply *r)
{
    char id[MV_ID_SIZE];
    bool submission = find_place(method, path, id, sizeof id) == P_SUBMIT;
    say_error(r, submission ? 429 : 503, "too many requests at once", NULL);
}

void mv_route(mv_daemon *d, const char *method, const char *path, const uint8_t *body, size_t size,
              mv_reply *r)
{
    char id[MV_ID_SIZE] = "";
    place p = find_place(method, path, id, sizeof id);
    switch (p) {
    case P_REPORT:
        report(d, body, size, r);
        mv_metrics_status(MV_LAT_REPORT, r->status);
        break;
    case P_HEALTH:
        mv_page_health(d, r);
        break;
    case P_METRICS:
        mv_page_metrics(d, r);
        break;
    case P_OVERVIEW:
        mv_page_overview(d, r);
        break;
    case P_NONE:
        say_error(r, 404, "no such path", NULL);
        break;
    default:
        users(d, p, method, path, body, size, r);
    }
}
