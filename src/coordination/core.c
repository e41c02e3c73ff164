/* The core as a whole: its life, its time, the records that reach it and the questions it answers.
 */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <string.h>

/* --- small questions --- */

uint64_t mv_session_ok(const mv_core *c)
{
    bool ok = c->session && c->now < c->contact + MV_SESSION_TTL_S - MV_SESSION_MARGIN_S;
    return ok ? c->incarnation : 0;
}

bool mv_core_in_contact(const mv_core *c, double now)
{
    return c->synced && c->session && now < c->contact + MV_SESSION_TTL_S - MV_SESSION_MARGIN_S;
}

bool mv_core_in_session(const mv_core *c)
{
    return c->incarnation != 0;
}

/* Past the session others may have taken over; the block lease still lets us serve workers, whose
 * tokens tell whose orders count. */
bool mv_holds(const mv_core *c, const shard *s)
{
    double lease = mv_settings_block_lease(c->conf) * (1 - MV_CLOCK_DRIFT);
    return s && s->mine && GUARD(LEASE, c->now < MIN(c->contact, c->replica_contact) + lease);
}

bool mv_leads(const mv_core *c)
{
    return mv_session_ok(c) && c->leader_stamp && c->leader.incarnation == c->incarnation &&
           strcmp(c->leader.node, c->conf->node_name) == 0;
}

bool mv_core_leads(const mv_core *c)
{
    return mv_leads(c);
}

double mv_wall(const mv_core *c)
{
    return c->now + c->wall_offset;
}

/* A recorded time of day on our steady clock, never in the future: a record read before the first
 * tick once gave a machine a birth so late that its silence was never noticed. */
double mv_from_wall(const mv_core *c, double at)
{
    return MIN(at - c->wall_offset, c->now);
}

/* Names that are compared for every machine and task go by number within a process, from 1 on. */
unsigned mv_number_of(GHashTable *names, const char *name)
{
    gpointer known = g_hash_table_lookup(names, name);
    if (!known) {
        known = GUINT_TO_POINTER(g_hash_table_size(names) + 1);
        g_hash_table_insert(names, g_strdup(name), known);
    }
    return GPOINTER_TO_UINT(known);
}

/* A transaction blocks a second try until it is answered, also while it waits for its turn and for
 * the limit of writes: made anew after some seconds, it conflicted with the first, conflicts count
 * against that limit, and so the queue grew with each. With 4,000 machines a controller that was
 * back waited 12 s to be announced. One that was answered blocks it until the copy shows what came
 * of it, or should: with the stamps of before, the next one conflicted too. How fresh the copy is
 * says too little: a watch without news takes seconds. */
bool mv_pending(const mv_core *c, txn_slot *t)
{
    if (t->id && c->now > t->until)
        t->id = 0;
    return t->id != 0 || (t->answered_at > 0 && c->now < t->answered_at + MV_COPY_LAG_S);
}

void mv_sent(const mv_core *c, txn_slot *t, const mv_action *a)
{
    t->id = a->id;
    t->at = c->now;
    t->until = c->now + (GUARD(QUEUED, false) ? MV_TXN_REPEAT_S : MV_TXN_LOST_S);
}

void mv_seen(const mv_core *c, txn_slot *t)
{
    t->seen_at = c->now;
    t->answered_at = 0;
}

static void answered(const mv_core *c, txn_slot *t, uint64_t id, mv_txn_outcome outcome)
{
    if (t->id != id)
        return;
    if (outcome == MV_TXN_TOO_LARGE) { /* the same is not sent again at once */
        t->until = c->now + MV_TXN_REPEAT_S;
        return;
    }
    t->id = 0;
    /* The news of it may have come before the answer. */
    bool unseen = outcome == MV_TXN_CONFLICT || (outcome == MV_TXN_OK && t->seen_at < t->at);
    t->answered_at = unseen && !t->not_awaited ? c->now : 0;
}

unsigned mv_core_holders(const mv_core *c)
{
    g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < c->shards->len; i++)
        g_hash_table_add(names, ((shard *)g_ptr_array_index(c->shards, i))->holder.node);
    return g_hash_table_size(names);
}

double mv_core_fresh_at(const mv_core *c)
{
    return c->replica_contact;
}

bool mv_core_settled(const mv_core *c)
{
    for (guint i = 0; i < c->shards->len; i++) {
        const shard *s = g_ptr_array_index(c->shards, i);
        if (!s->stamp || !mv_live(c, &s->holder))
            return false;
    }
    return c->synced && c->shards->len > 0;
}

unsigned mv_core_jobs(const mv_core *c)
{
    return g_hash_table_size(c->jobs);
}

bool mv_core_ready(const mv_core *c)
{
    return c->synced && c->types && c->types->len > 0;
}

/* --- life --- */

static void free_rental(gpointer p)
{
    g_free(p);
}

static void free_shard(gpointer p)
{
    shard *s = p;
    mv_holder_clear(&s->holder);
    g_ptr_array_unref(s->parts);
    g_array_unref(s->adds);
    mv_demand_free(s->demand);
    g_free(s);
}

mv_core *mv_core_new(const mv_settings *conf)
{
    mv_core *c = g_new0(mv_core, 1);
    c->conf = conf;
    c->value_bytes = (size_t)(conf->value_kb * 1024);
    c->ops = conf->txn_ops;
    c->command_window = MV_COMMANDS_QUEUED;
    c->progress_txn.not_awaited = c->sweep_txn.not_awaited = true;
    c->formats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->orphans = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->left = g_ptr_array_new_with_free_func(g_free);
    c->stamps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    c->shards = g_ptr_array_new_with_free_func(free_shard);
    c->teams = g_new0(team, conf->n_teams);
    for (size_t i = 0; i < conf->n_teams; i++)
        c->teams[i].conf = &conf->teams[i];
    c->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, mv_machine_free);
    c->rotation = g_ptr_array_new();
    c->commandable = g_ptr_array_new();
    c->commands = g_hash_table_new(g_int64_hash, g_int64_equal);
    c->ending = g_hash_table_new(g_int64_hash, g_int64_equal);
    c->inquiries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    c->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->open = g_ptr_array_new();
    c->silent = g_ptr_array_new();
    c->promised = g_ptr_array_new();
    c->unplaced = g_ptr_array_new();
    c->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, mv_job_free);
    c->learnt = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->actions = g_queue_new();
    c->rentals = g_ptr_array_new_with_free_func(free_rental);
    mv_links_new(c);
    c->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->avoided = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->released_names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return c;
}

void mv_core_free(mv_core *c)
{
    if (!c)
        return;
    mv_action *a;
    while ((a = g_queue_pop_head(c->actions)))
        mv_action_free(a);
    g_queue_free(c->actions);
    mv_links_free(c);
    g_ptr_array_unref(c->rotation);
    g_ptr_array_unref(c->commandable);
    g_ptr_array_unref(c->open);
    g_ptr_array_unref(c->silent);
    g_ptr_array_unref(c->promised);
    g_ptr_array_unref(c->unplaced);
    g_hash_table_unref(c->commands);
    g_hash_table_unref(c->ending);
    g_hash_table_unref(c->inquiries);
    g_hash_table_unref(c->images);
    g_hash_table_unref(c->zones);
    g_hash_table_unref(c->machines);
    g_hash_table_unref(c->jobs);
    g_hash_table_unref(c->nodes);
    g_hash_table_unref(c->stamps);
    g_hash_table_unref(c->formats);
    g_hash_table_unref(c->orphans);
    g_ptr_array_unref(c->left);
    g_ptr_array_unref(c->shards);
    mv_holder_clear(&c->leader);
    g_hash_table_unref(c->learnt);
    g_ptr_array_unref(c->rentals);
    g_hash_table_unref(c->refused);
    g_hash_table_unref(c->released_names);
    g_hash_table_unref(c->avoided);
    g_clear_pointer(&c->list_seen, g_hash_table_unref);
    g_clear_pointer(&c->release_hosts, g_ptr_array_unref);
    g_clear_pointer(&c->types, g_array_unref);
    g_free(c->teams);
    g_free(c);
}

/* Rounds of decisions: events only ask for one, and the pause between rounds widens with what
 * waits, so that under load one round serves many events. */
void mv_settle(mv_core *c)
{
    /* Some obstacles end with time alone: a pause, a wait for an image, a first sign of life. With
     * no other event about, tasks waited a minute for the next. */
    if (c->counts.waiting && c->now >= c->next_round + MV_ROUND_LATEST_S)
        c->want_round = true;
    if (c->want_round && c->now >= c->next_round) {
        c->want_round = false;
        mv_place_round(c);
        c->counts.looked += c->work;
        double pause = MIN(MV_ROUND_S + MV_ROUND_PER_TASK_S * c->counts.waiting, MV_ROUND_MAX_S);
        c->next_round = c->now + MIN(MAX(pause, MV_ROUND_PER_WORK_S * c->work), MV_ROUND_LATEST_S);
    }
    mv_flush_commands(c);
}

static void enter(mv_core *c, double now)
{
    c->now = MAX(c->now, now);
}

void mv_core_tick(mv_core *c, double now, double wall_now)
{
    enter(c, now);
    c->wall_offset = wall_now - now;
    /* A process that gets its own time late gets every answer late: machines once were given back
     * as silent because their answers lay unread here. */
    double gap = c->ticked_at > 0 ? c->now - c->ticked_at : 0;
    if (gap > MV_TICK_LATE_S)
        c->late_until = c->now + MIN(MV_LATE_FACTOR * gap, MV_LATE_MAX_S);
    mv_adapt_command_window(c, gap);
    c->ticked_at = c->now;
    mv_settle_left(c);
    mv_links_tick(c);
    if (c->synced) {
        mv_membership_tick(c);
        mv_holders_tick(c);
        mv_machines_tick(c);
        mv_jobs_tick(c);
        mv_fleet_tick(c);
    }
    mv_settle(c);
}

void mv_core_session(mv_core *c, double now, uint64_t incarnation, double sent)
{
    enter(c, now);
    c->session = incarnation != 0;
    if (c->links && !incarnation)
        mv_connectivity_session_lost(c->links);
    if (!incarnation)
        return;
    c->incarnation = incarnation;
    c->contact = MAX(c->contact, sent);
    if (c->links)
        mv_connectivity_state_answered(c->links, c->now, incarnation, sent);
}

void mv_core_followed(mv_core *c, double now, double sent)
{
    enter(c, now);
    if (sent >= c->listed_at)
        c->listing = false;
    mv_settle_left(c);
    c->replica_contact = MAX(c->replica_contact, sent);
    if (c->links)
        mv_connectivity_followed(c->links, sent);
}

/* --- records --- */

static bool number(const char *text, unsigned limit, unsigned *out)
{
    guint64 n;
    if (!g_ascii_string_to_unsigned(text, 10, 0, limit - 1, &n, NULL))
        return false;
    *out = (unsigned)n;
    return true;
}

/* A prefix and the number of a shard. */
static bool indexed(const char *key, const char *prefix, unsigned *index)
{
    return g_str_has_prefix(key, prefix) && number(key + strlen(prefix), MV_MAX_SHARDS, index);
}

/* A prefix, the number of a shard, a slash and the number of a part of its block. */
static bool parted(const char *key, const char *prefix, unsigned *index, unsigned *part)
{
    char first[16];
    const char *slash = strrchr(key, '/');
    if (!g_str_has_prefix(key, prefix) || slash < key + strlen(prefix))
        return false;
    size_t n = (size_t)(slash - key) - strlen(prefix);
    if (n >= sizeof first)
        return false;
    memcpy(first, key + strlen(prefix), n);
    first[n] = 0;
    return number(first, MV_MAX_SHARDS, index) && number(slash + 1, MV_MAX_PARTS, part);
}

static void record_leader(mv_core *c, const msgpack_object *o, uint64_t stamp)
{
    mv_holder_clear(&c->leader);
    memset(&c->leader, 0, sizeof c->leader);
    c->leader_stamp = 0;
    if (o && mv_holder_parse(o, &c->leader))
        c->leader_stamp = stamp;
}

static void apply(mv_core *c, const char *key, const msgpack_object *o, uint64_t stamp)
{
    unsigned index, part;
    if (strcmp(key, K_LEADER) == 0) {
        record_leader(c, o, stamp);
    } else if (strcmp(key, K_TERM) == 0) {
        if (o && mv_counter_parse(o, &c->term))
            c->term_stamp = stamp;
        mv_seen(c, &c->term_txn);
    } else if (strcmp(key, K_TYPES) == 0) {
        c->types_stamp = o ? stamp : 0;
        if (o && !c->types)
            c->types = mv_types_parse(o);
    } else if (g_str_has_prefix(key, K_FORMAT)) {
        mv_record_format(c, key + strlen(K_FORMAT), o, stamp);
    } else if (g_str_has_prefix(key, K_NODE)) {
        mv_record_node(c, key + strlen(K_NODE), o, stamp);
    } else if (indexed(key, K_SHARD, &index)) {
        mv_record_shard(c, index, o, stamp);
    } else if (parted(key, K_BLOCK, &index, &part)) {
        mv_record_block(c, index, part, o, stamp);
    } else if (parted(key, K_USED, &index, &part)) {
        mv_record_used(c, index, part, o, stamp);
    } else if (g_str_has_prefix(key, K_JOB)) {
        mv_record_job(c, key + strlen(K_JOB), o, stamp);
    } else if (g_str_has_prefix(key, K_PROGRESS)) {
        mv_record_progress(c, key + strlen(K_PROGRESS), o, stamp);
    }
}

/* A list of many records comes in pages, each newer than the one before, and changes are followed
 * from the first page on: what a later page showed already must not go back to what it was. */
static bool is_no_news(mv_core *c, const char *key, const GBytes *data, uint64_t stamp)
{
    const uint64_t *known = g_hash_table_lookup(c->stamps, key);
    if (known && stamp && stamp < *known) {
        mv_stale(c, "record", key);
        return true;
    }
    /* The same once more, as lists bring it: what was decided on it since stays. Read as news, the
     * record of used machines took offers back that the leader could still act upon. */
    if (known && !GUARD(REPEATED, stamp != *known))
        return true;
    if (data)
        g_hash_table_replace(c->stamps, g_strdup(key), g_memdup2(&stamp, sizeof stamp));
    else
        g_hash_table_remove(c->stamps, key);
    return false;
}

void mv_core_record(mv_core *c, double now, const char *key, GBytes *data, uint64_t stamp)
{
    enter(c, now);
    if (is_no_news(c, key, data, stamp))
        return;
    if (stamp != c->left_stamp || !stamp)
        mv_settle_left(c);
    g_autoptr(mv_doc) doc = NULL;
    if (data) {
        gsize n;
        const void *p = g_bytes_get_data(data, &n);
        doc = mv_doc_parse(p, n);
    }
    apply(c, key, doc ? mv_doc_root(doc) : NULL, stamp);
    c->want_round = true;
    if (c->synced)
        mv_settle(c);
}

void mv_core_listing(mv_core *c, double now)
{
    enter(c, now);
    mv_settle_left(c);
    c->listing = true;
    c->listed_at = G_MAXDOUBLE;
}

void mv_core_synced(mv_core *c, double now)
{
    enter(c, now);
    c->synced = true;
    c->listed_at = c->now;
}

/* Controllers that start while the cloud is silent take the types from this record; without it
 * none of them could accept a job until the cloud was back. */
static void keep_types(mv_core *c)
{
    if (!mv_leads(c) || c->types_stamp)
        return;
    g_autoptr(GBytes) packed = mv_types_pack(c->types);
    /* MessagePack is shorter than the form that the limit counts, by less than half here. */
    if (2 * g_bytes_get_size(packed) > c->value_bytes) {
        mv_log_limited(MV_LOG_INFO, "limit_too_small", "limit=value_kb record=" K_TYPES);
        return;
    }
    mv_action *a = mv_txn(c, false);
    mv_txn_if(a, K_LEADER, c->leader_stamp);
    mv_txn_if(a, K_TYPES, 0);
    mv_txn_set(a, K_TYPES, g_bytes_ref(packed), false);
}

void mv_core_types(mv_core *c, double now, GArray *types)
{
    enter(c, now);
    c->types_id = 0;
    if (!types)
        return;
    g_clear_pointer(&c->types, g_array_unref);
    c->types = types;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        ((machine *)v)->type = -1;
    c->want_round = true;
    keep_types(c);
}

/* --- outcomes of transactions --- */

void mv_core_txn_done(mv_core *c, double now, uint64_t id, mv_txn_outcome outcome)
{
    enter(c, now);
    if (outcome == MV_TXN_TOO_LARGE)
        mv_core_too_large(c);
    txn_slot *slots[] = {&c->node_txn,  &c->leader_txn, &c->grant_txn, &c->progress_txn,
                         &c->sweep_txn, &c->format_txn, &c->term_txn};
    for (size_t i = 0; i < G_N_ELEMENTS(slots); i++)
        answered(c, slots[i], id, outcome);
    for (guint i = 0; i < c->shards->len; i++) {
        shard *s = g_ptr_array_index(c->shards, i);
        answered(c, &s->used_txn, id, outcome);
        answered(c, &s->block_txn, id, outcome);
    }
    job *ended = g_hash_table_lookup(c->ending, &id);
    if (ended)
        mv_job_end_answered(c, ended, outcome);
}

/* What is older than what is known, or repeats or contradicts it, is passed over and counted. */
void mv_stale(mv_core *c, const char *what, const char *of)
{
    c->counts.stale++;
    mv_log_limited(MV_LOG_INFO, "stale", "what=%s of=%s", what, of);
}

/* --- limits --- */

/* Limits may fall without notice. A change that was refused is made anew with what is left. */
void mv_core_too_large(mv_core *c)
{
    c->value_bytes = MAX(c->value_bytes / 2, (size_t)MV_VALUE_LEAST);
    c->ops = MAX(c->ops / 2, MV_OPS_LEAST);
    c->counts.halved++;
    mv_log_limited(MV_LOG_INFO, "limits_halved", "value_bytes=%zu txn_ops=%u", c->value_bytes,
                   c->ops);
}

unsigned mv_core_ops(const mv_core *c)
{
    return c->ops;
}

bool mv_core_fit_record(const mv_core *c, mv_job *job)
{
    if (mv_accepted_bytes(job) <= c->value_bytes)
        return true;
    size_t kept = 0;
    for (size_t i = 0; i < job->n_type_names; i++) {
        bool known = false, again = false;
        for (guint t = 0; c->types && t < c->types->len && !known; t++)
            known = strcmp(g_array_index(c->types, mv_type, t).name, job->type_names[i]) == 0;
        for (size_t k = 0; k < kept && !again; k++)
            again = strcmp(job->type_names[k], job->type_names[i]) == 0;
        if (known && !again)
            memmove(job->type_names[kept++], job->type_names[i], MV_NAME_SIZE);
    }
    job->n_type_names = kept;
    return kept && mv_accepted_bytes(job) <= c->value_bytes;
}

/* --- questions --- */

mv_fit mv_core_fits(const mv_core *c, const mv_job *spec)
{
    const mv_team *t = mv_settings_team(c->conf, spec->team_name);
    if (!t)
        return MV_NEVER_FITS;
    /* All replicas of a service run at once; of other jobs one task at least. */
    double at_once = spec->service ? spec->tasks : 1;
    if ((t->cpus_max > 0 && at_once * spec->cores > t->cpus_max + MV_ROUNDING) ||
        (t->gpus_max > 0 && at_once * spec->cards > t->gpus_max + MV_ROUNDING))
        return MV_NEVER_FITS;
    if (!mv_core_ready(c))
        return MV_CANNOT_SAY;
    return mv_type_mask(c, spec) ? MV_FITS : MV_NEVER_FITS;
}

static unsigned shards_granted(const mv_core *c)
{
    unsigned n = 0;
    while (n < c->shards->len && ((shard *)g_ptr_array_index(c->shards, n))->stamp)
        n++;
    return n;
}

/* A team's limit and guarantee are one owner's to keep, so its jobs all go to its shard. Jobs of a
 * team that has neither spread over all shards, as no sum binds them. */
bool mv_core_home(const mv_core *c, const mv_job *spec, unsigned *home)
{
    const team *t = NULL;
    for (size_t i = 0; i < c->conf->n_teams && !t; i++)
        if (strcmp(c->conf->teams[i].name, spec->team_name) == 0)
            t = &c->teams[i];
    unsigned n = shards_granted(c);
    if (!t || !t->shard || n == 0)
        return false;
    bool bound =
        t->conf->cpus > 0 || t->conf->cpus_max > 0 || t->conf->gpus > 0 || t->conf->gpus_max > 0;
    *home = bound ? t->shard->index : g_str_hash(spec->id) % n;
    return true;
}

void mv_core_job(const mv_core *c, const char *id, mv_job_view *out)
{
    memset(out, 0, sizeof *out);
    const job *j = g_hash_table_lookup(c->jobs, id);
    if (!j)
        return;
    out->active = true;
    out->stamp = j->stamp;
    out->tasks = j->spec.tasks;
    out->done = j->n_done;
    out->owner = mv_job_mine(c, j);
    out->running = out->owner ? j->n_running : j->shown_running;
    out->chunks = j->chunks;
}

void mv_core_counts_get(const mv_core *c, mv_core_counts *out)
{
    *out = c->counts;
    out->jobs = g_hash_table_size(c->jobs);
    out->machines = g_hash_table_size(c->machines);
    out->machines_up = 0;
    out->outcomes_waiting = c->outcomes ? mv_outcomes_waiting(c->outcomes) : 0;
    out->links = c->links ? mv_connectivity_class(c->links) : MV_LINKS_UNKNOWN;
    out->held = c->links && mv_connectivity_gate(c->links)->scope == MV_LAUNCH_NOTHING;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        out->machines_up += ((machine *)v)->confirmed;
}
