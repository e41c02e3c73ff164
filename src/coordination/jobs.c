/* Jobs and their tasks: records, progress, ends. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <string.h>

bool mv_job_mine(const mv_core *c, const job *j)
{
    return j->team && mv_holds(c, j->home);
}

void mv_job_free(gpointer p)
{
    job *j = p;
    mv_job_clear(&j->spec);
    g_free(j->state);
    g_free(j->chunk_dirty);
    g_hash_table_unref(j->progress);
    g_array_unref(j->waiting);
    g_array_unref(j->in_zone);
    g_free(j);
}

/* Everything that is not done waits; reports will show what is placed. */
void mv_job_reset(mv_core *c, job *j)
{
    g_array_set_size(j->waiting, 0);
    g_array_set_size(j->in_zone, 0);
    j->n_placed = j->n_running = 0;
    for (uint32_t i = j->spec.tasks; i-- > 0;) {
        if (j->state[i] == T_PLACED)
            j->state[i] = T_WAIT;
        if (j->state[i] == T_WAIT)
            g_array_append_val(j->waiting, i);
    }
    j->ending = false;
    j->ready_at = c->now;
}

/* One task more, or less, in the zone of a machine. */
void mv_job_in_zone(job *j, const machine *m, int more)
{
    if (j->in_zone->len <= m->zone)
        g_array_set_size(j->in_zone, m->zone + 1);
    g_array_index(j->in_zone, unsigned, m->zone) += (unsigned)more;
}

bool mv_aims_at_class(const mv_objective *o, mv_objective_kind kind, const job *j)
{
    return o->kind == kind && strcmp(o->class_name, j->spec.class_name) == 0;
}

/* What the aims ask for jobs of this class, looked up once. */
static void note_aims(const mv_core *c, job *j)
{
    double due = j->spec.due_s < 0 ? G_MAXDOUBLE : j->spec.due_s;
    j->rush_aim = G_MAXDOUBLE;
    for (size_t i = 0; i < c->conf->n_objectives; i++) {
        const mv_objective *o = &c->conf->objectives[i];
        if (mv_aims_at_class(o, MV_OBJ_FINISHED, j))
            due = MIN(due, o->within_s);
        if (mv_aims_at_class(o, MV_OBJ_WAIT, j))
            j->rush_aim = MIN(j->rush_aim, o->within_s);
    }
    /* What is kept free within a limit is for work that comes and goes. */
    j->rush = j->rush_aim < G_MAXDOUBLE && !j->spec.service;
    if (j->spec.service)
        j->rush_aim = MIN(j->rush_aim, MV_SERVICE_START_S);
    j->finish_by = due == G_MAXDOUBLE ? due : j->accepted_at + due;
}

/* Bytes of a progress record but for its digits. */
#define PROGRESS_FRAME 48

/* How many tasks a progress record tells of: as always while all of a job's digits, at most those
 * of MV_CHUNK_TASKS, fit a value; otherwise few. An old controller knows only the first kind. */
static unsigned chunk_tasks(const mv_core *c, const job *j)
{
    double digits = MIN(j->spec.tasks, MV_CHUNK_TASKS) / 4.0;
    return digits + PROGRESS_FRAME <= (double)c->value_bytes || PLAYS_OLD(c) ? MV_CHUNK_TASKS
                                                                             : MV_CHUNK_SMALL;
}

/* Records written in another size stay readable; what they say is written again in this one. */
static void lay_out_chunks(const mv_core *c, job *j)
{
    unsigned tasks = chunk_tasks(c, j);
    if (j->chunk_tasks == tasks)
        return;
    bool again = j->chunk_tasks != 0;
    j->chunk_tasks = tasks;
    j->chunks = (j->spec.tasks + tasks - 1) / tasks;
    g_free(j->chunk_dirty);
    j->chunk_dirty = g_new0(bool, j->chunks);
    for (uint32_t i = 0; again && i < j->spec.tasks; i++)
        if (j->state[i] >= T_DONE)
            j->chunk_dirty[i / tasks] = true;
}

/* "0", or "3.2048" for the fourth record of 2,048 tasks. */
static void chunk_name(const job *j, unsigned chunk, char *out, size_t size)
{
    if (j->chunk_tasks == MV_CHUNK_TASKS)
        g_snprintf(out, size, "%u", chunk);
    else
        g_snprintf(out, size, "%u.%u", chunk, j->chunk_tasks);
}

static bool parse_chunk(const char *name, unsigned *chunk, unsigned *tasks)
{
    char first[16];
    const char *dot = strchr(name, '.');
    guint64 n, size = MV_CHUNK_TASKS;
    if ((dot && (size_t)(dot - name) >= sizeof first) ||
        (dot && !g_ascii_string_to_unsigned(dot + 1, 10, 1, MV_MAX_TASKS, &size, NULL)))
        return false;
    g_strlcpy(first, name, dot ? (gsize)(dot - name) + 1 : sizeof first);
    if (!g_ascii_string_to_unsigned(first, 10, 0, MV_MAX_TASKS / size, &n, NULL))
        return false;
    *chunk = (unsigned)n;
    *tasks = (unsigned)size;
    return true;
}

static uint64_t progress_stamp(const job *j, const char *name)
{
    const uint64_t *stamp = g_hash_table_lookup(j->progress, name);
    return stamp ? *stamp : 0;
}

static job *job_new(mv_core *c, mv_job *spec, unsigned home, double at, uint64_t stamp)
{
    job *j = g_new0(job, 1);
    j->spec = *spec; /* takes its list */
    j->stamp = stamp;
    j->home = mv_shard_get(c, home);
    j->home->job_came_at = c->now;
    j->image = mv_number_of(c->images, spec->image_name);
    j->in_zone = g_array_new(FALSE, TRUE, sizeof(unsigned));
    j->accepted_at = mv_from_wall(c, at);
    j->state = g_new0(uint8_t, spec->tasks);
    j->progress = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    lay_out_chunks(c, j);
    j->waiting = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (size_t i = 0; i < c->conf->n_teams; i++)
        if (strcmp(c->conf->teams[i].name, spec->team_name) == 0)
            j->team = &c->teams[i];
    note_aims(c, j);
    mv_job_reset(c, j);
    return j;
}

/* The record went: the job is over. What still runs of it is stopped. */
static void job_over(mv_core *c, job *j)
{
    for (guint i = 0; i < c->rotation->len && j->n_placed; i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        if (m->shard != j->home)
            continue;
        for (guint k = 0; k < m->placements->len; k++) {
            placement *p = g_ptr_array_index(m->placements, k);
            if (p->of != j)
                continue;
            p->of = NULL;
            p->over_at = c->now;
            j->n_placed--;
            mv_want_command(c, m);
        }
    }
    if (j->n_done == j->spec.tasks)
        c->counts.finished++;
    if (c->outcomes)
        mv_outcomes_job_over(c->outcomes, j->spec.id);
    if (j->ending_txn)
        g_hash_table_remove(c->ending, &j->ending_txn);
    /* Those that were not removed along with it. */
    GHashTableIter it;
    gpointer name, known;
    g_hash_table_iter_init(&it, j->progress);
    while (g_hash_table_iter_next(&it, &name, &known))
        g_hash_table_replace(c->orphans, g_strdup_printf("%s/%s", j->spec.id, (char *)name),
                             g_memdup2(known, sizeof(uint64_t)));
    g_hash_table_remove(c->jobs, j->spec.id);
}

void mv_record_job(mv_core *c, const char *id, const msgpack_object *o, uint64_t stamp)
{
    job *j = g_hash_table_lookup(c->jobs, id);
    if (!o) {
        if (j)
            job_over(c, j);
        return;
    }
    if (j) {
        j->stamp = stamp;
        return;
    }
    mv_job spec;
    double at;
    unsigned home;
    if (!mv_accepted_parse(o, &spec, &home, &at) || strcmp(spec.id, id) != 0 ||
        (PLAYS_OLD(c) && spec.service)) {
        /* Perhaps of a later format: it is left as it is. */
        mv_log_limited(MV_LOG_INFO, "bad_record", "key=%s%s", K_JOB, id);
        mv_job_clear(&spec);
        return;
    }
    j = job_new(c, &spec, home, at, stamp);
    g_hash_table_insert(c->jobs, j->spec.id, j);
}

void mv_job_unwait(job *j, uint32_t task)
{
    for (guint k = j->waiting->len; k-- > 0;)
        if (g_array_index(j->waiting, uint32_t, k) == task) {
            g_array_remove_index(j->waiting, k);
            return;
        }
}

/* Key: "j-000412/0", the chunk last. */
void mv_record_progress(mv_core *c, const char *rest, const msgpack_object *o, uint64_t stamp)
{
    char id[MV_ID_SIZE];
    const char *slash = strchr(rest, '/');
    unsigned chunk, tasks;
    if (!slash || (size_t)(slash - rest) >= sizeof id || !parse_chunk(slash + 1, &chunk, &tasks) ||
        (PLAYS_OLD(c) && tasks != MV_CHUNK_TASKS))
        return;
    g_strlcpy(id, rest, (gsize)(slash - rest) + 1);
    job *j = g_hash_table_lookup(c->jobs, id);
    GHashTable *into = j ? j->progress : c->orphans;
    const char *name = j ? slash + 1 : rest;
    if (o)
        g_hash_table_replace(into, g_strdup(name), g_memdup2(&stamp, sizeof stamp));
    else
        g_hash_table_remove(into, name);
    g_autoptr(GString) bits = g_string_new(NULL);
    if (!j || !o || !mv_progress_parse(o, bits, &j->shown_running) || j->spec.service)
        return;
    uint32_t base = (uint32_t)chunk * tasks;
    for (uint32_t i = 0; i < tasks && base + i < j->spec.tasks; i++) {
        uint32_t task = base + i;
        bool set = i / 4 < bits->len && (g_ascii_xdigit_value(bits->str[i / 4]) >> (i % 4)) & 1;
        if (!set || j->state[task] == T_STORED)
            continue;
        if (j->state[task] != T_DONE) {
            j->n_done++;
            mv_job_unwait(j, task);
        }
        j->state[task] = T_STORED;
        j->n_stored++;
        mv_outcome_recorded(c, j, task);
    }
}

void mv_task_done(mv_core *c, job *j, uint32_t task)
{
    task_state st = j->state[task];
    if (st == T_DONE || st == T_STORED)
        return;
    /* A copy still placed elsewhere would go on for nothing: its machine's next report stops it. */
    if (st == T_WAIT)
        mv_job_unwait(j, task);
    j->state[task] = T_DONE;
    j->n_done++;
    j->fails = 0;
    j->chunk_dirty[task / j->chunk_tasks] = true;
    mv_outcome_seen(c, j, task);
    c->want_round = true;
}

void mv_task_requeue(mv_core *c, job *j, uint32_t task)
{
    if (j->waiting->len == 0)
        j->ready_at = c->now;
    j->state[task] = T_WAIT;
    g_array_append_val(j->waiting, task);
    c->want_round = true;
}

/* --- learning run times --- */

void mv_learn(mv_core *c, machine *m, job *j, double ran)
{
    if (j->run_n >= MV_PACE_PEERS)
        m->pace += (ran / (j->run_sum / j->run_n) - m->pace) * MV_PACE_SMOOTH;
    j->run_sum += ran;
    j->run_n++;
    if (j->spec.guess_s <= 0)
        return;
    learnt_class *l = g_hash_table_lookup(c->learnt, j->spec.class_name);
    if (!l) {
        l = g_new0(learnt_class, 1);
        l->ratio = 1;
        g_hash_table_insert(c->learnt, g_strdup(j->spec.class_name), l);
    }
    double ratio = CLAMP(ran / j->spec.guess_s, 0.05, 20);
    l->n++;
    l->ratio += (ratio - l->ratio) / MIN(l->n + 1, MV_LEARN_WINDOW);
}

double mv_job_guess(const mv_core *c, const job *j)
{
    const learnt_class *l = g_hash_table_lookup(c->learnt, j->spec.class_name);
    return j->spec.guess_s * (l ? l->ratio : 1);
}

/* --- what fits where --- */

static bool type_allowed(const mv_job *spec, const mv_type *t)
{
    if (spec->cores > t->cores || spec->cards > t->cards || spec->ram_gb > t->ram_gb)
        return false;
    bool named = spec->type_names == NULL;
    for (size_t i = 0; i < spec->n_type_names && !named; i++)
        named = strcmp(spec->type_names[i], t->name) == 0;
    if (!named)
        return false;
    bool zone = !spec->has_zone;
    for (size_t i = 0; i < t->n_zones && !zone; i++)
        zone = strcmp(t->zones[i], spec->zone_name) == 0;
    return zone;
}

uint32_t mv_type_mask(const mv_core *c, const mv_job *spec)
{
    uint32_t mask = 0;
    for (guint i = 0; c->types && i < c->types->len; i++)
        if (type_allowed(spec, &g_array_index(c->types, mv_type, i)))
            mask |= 1u << i;
    return mask;
}

uint32_t mv_job_types(const mv_core *c, job *j)
{
    if (j->types_of != c->types) {
        j->types = mv_type_mask(c, &j->spec);
        j->types_of = c->types;
    }
    return j->types;
}

bool mv_allowed_on(const mv_core *c, job *j, const machine *m)
{
    return mv_type_of(c, m) && (mv_job_types(c, j) >> m->type & 1) &&
           GUARD(KIND, !m->spot || j->spec.spot) &&
           (!j->spec.has_zone || strcmp(j->spec.zone_name, m->zone_name) == 0);
}

/* --- storing progress and ends --- */

static GBytes *pack_chunk(const job *j, unsigned chunk)
{
    uint32_t base = chunk * j->chunk_tasks;
    uint32_t n = MIN(j->chunk_tasks, j->spec.tasks - base);
    g_autoptr(GString) bits = g_string_sized_new(n / 4 + 2);
    for (uint32_t i = 0; i < n; i += 4) {
        int digit = 0;
        for (uint32_t k = 0; k < 4 && i + k < n; k++)
            digit |= (j->state[base + i + k] >= T_DONE) << k;
        g_string_append_c(bits, "0123456789abcdef"[digit]);
    }
    return mv_progress_pack(bits->str, j->n_running);
}

static void shard_key(const job *j, char *out, size_t size)
{
    g_snprintf(out, size, K_SHARD "%u", j->home->index);
}

/* One transaction ends a job: the live records go, the final one stays. Only the owner may, and
 * only while neither its grant nor the job's record has changed. */
static void end_job(mv_core *c, job *j)
{
    char key[MV_KEY_SIZE], owner[MV_KEY_SIZE];
    mv_action *a = mv_txn(c, true);
    shard_key(j, owner, sizeof owner);
    mv_txn_if(a, owner, j->home->stamp);
    g_snprintf(key, sizeof key, K_JOB "%s", j->spec.id);
    if (!GUARD(FINAL, false))
        mv_txn_if(a, key, j->stamp);
    mv_txn_remove(a, key);
    /* As many as there is room for; what is left is swept up. */
    GHashTableIter it;
    gpointer name;
    g_hash_table_iter_init(&it, j->progress);
    while (g_hash_table_iter_next(&it, &name, NULL) && a->changes->len + 1 < c->ops) {
        g_snprintf(key, sizeof key, K_PROGRESS "%s/%s", j->spec.id, (char *)name);
        mv_txn_remove(a, key);
    }
    g_snprintf(key, sizeof key, K_FINAL "%s", j->spec.id);
    /* Carried out late, it would else write a second final answer over a cancellation. */
    if (!GUARD(FINAL, false))
        mv_txn_if(a, key, 0);
    mv_txn_set(a, key, mv_final_pack(true, j->spec.tasks, mv_wall(c)), false);
    j->ending = true;
    if (j->ending_txn)
        g_hash_table_remove(c->ending, &j->ending_txn);
    j->ending_txn = a->id;
    g_hash_table_insert(c->ending, &j->ending_txn, j);
    j->flushed_at = c->now;
}

/* After OK the record's removal is on its way; what was too large waits as long. Anything else is
 * tried again. */
void mv_job_end_answered(mv_core *c, job *j, mv_txn_outcome outcome)
{
    g_hash_table_remove(c->ending, &j->ending_txn);
    j->ending_txn = 0;
    j->ending = outcome == MV_TXN_OK || outcome == MV_TXN_TOO_LARGE;
    if (j->ending)
        j->flushed_at = c->now;
}

/* Whether the end of a job was sent so long ago that it is sent again. */
static bool end_is_lost(const mv_core *c, const job *j)
{
    bool queued = j->ending_txn && !GUARD(QUEUED, false);
    return c->now > j->flushed_at + (queued ? MV_TXN_LOST_S : MV_END_REPEAT_S);
}

/* Many chunks of many jobs of one shard share a transaction. */
static void flush_progress(mv_core *c, shard *s)
{
    if (mv_pending(c, &c->progress_txn))
        return;
    mv_action *a = NULL;
    unsigned ops = 0;
    size_t bytes = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        job *j = v;
        if (!j->team || j->home != s || j->ending || c->now < j->flushed_at + MV_FLUSH_S)
            continue;
        lay_out_chunks(c, j);
        if (j->n_running != j->shown_running && (!j->n_running || !j->shown_running))
            j->chunk_dirty[0] = true; /* others tell users pending or running by it */
        for (unsigned i = 0; i < j->chunks && ops < MIN(c->ops, MV_FLUSH_OPS); i++) {
            if (!j->chunk_dirty[i])
                continue;
            char key[MV_KEY_SIZE], job_key[MV_KEY_SIZE], name[32];
            if (!a) {
                a = mv_txn(c, false);
                shard_key(j, key, sizeof key);
                mv_txn_if(a, key, s->stamp);
            }
            g_snprintf(job_key, sizeof job_key, K_JOB "%s", j->spec.id);
            mv_txn_if(a, job_key, j->stamp);
            chunk_name(j, i, name, sizeof name);
            g_snprintf(key, sizeof key, K_PROGRESS "%s/%s", j->spec.id, name);
            /* Without this, one that had got no answer overwrote newer ones when it was carried out
             * seconds later, and tasks recorded as done were unrecorded. */
            if (!GUARD(PROGRESS, false))
                mv_txn_if(a, key, progress_stamp(j, name));
            GBytes *data = pack_chunk(j, i);
            bytes += g_bytes_get_size(data) + sizeof key;
            mv_txn_set(a, key, data, false);
            j->chunk_dirty[i] = false;
            j->flushed_at = c->now;
            ops++;
            if (bytes > MV_TXN_BYTES / 2)
                break;
        }
    }
    if (!a)
        return;
    mv_sent(c, &c->progress_txn, a);
}

/* Progress records of jobs that are over: their end had no room for them, or an old controller did
 * not know them. No such job can come again, and a condition says that there is none. */
void mv_sweep(mv_core *c)
{
    if (g_hash_table_size(c->orphans) == 0 || c->now < c->sweep_txn.at + MV_SWEEP_S ||
        mv_pending(c, &c->sweep_txn))
        return;
    mv_action *a = mv_txn(c, false);
    GHashTableIter it;
    gpointer rest, stamp;
    g_hash_table_iter_init(&it, c->orphans);
    while (g_hash_table_iter_next(&it, &rest, &stamp) && a->changes->len < c->ops) {
        char key[MV_KEY_SIZE];
        g_snprintf(key, sizeof key, K_JOB "%s", (char *)rest);
        *strrchr(key, '/') = 0;
        mv_txn_if(a, key, 0);
        g_snprintf(key, sizeof key, K_PROGRESS "%s", (char *)rest);
        mv_txn_if(a, key, *(uint64_t *)stamp);
        mv_txn_remove(a, key);
    }
    mv_txn_if(a, K_LEADER, c->leader_stamp);
    mv_sent(c, &c->sweep_txn, a);
}

/* Whatever a flush that failed left out is written again. */
static void mark_unstored(job *j)
{
    for (unsigned i = 0; i < j->chunks; i++) {
        uint32_t base = i * j->chunk_tasks;
        for (uint32_t k = 0; k < j->chunk_tasks && base + k < j->spec.tasks; k++)
            if (j->state[base + k] == T_DONE) {
                j->chunk_dirty[i] = true;
                break;
            }
    }
}

void mv_jobs_tick(mv_core *c)
{
    if (!mv_session_ok(c))
        return;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        job *j = v;
        if (!mv_job_mine(c, j))
            continue;
        if (!j->spec.service && GUARD(ALL_DONE, j->n_done == j->spec.tasks) && !j->ending &&
            c->now >= j->flushed_at + MV_END_PAUSE_S)
            end_job(c, j);
        else if (j->ending && end_is_lost(c, j))
            j->ending = false;
        else if (j->n_stored < j->n_done && !c->progress_txn.id &&
                 c->now > j->flushed_at + 2 * MV_FLUSH_S)
            mark_unstored(j);
    }
    if (mv_leads(c))
        mv_sweep(c);
    for (guint i = 0; i < c->shards->len; i++)
        if (mv_holds(c, g_ptr_array_index(c->shards, i)))
            flush_progress(c, g_ptr_array_index(c->shards, i));
}
