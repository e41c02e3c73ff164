/* Election, terms, and who holds which shard. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <string.h>

/* --- election --- */

static void announce(mv_core *c)
{
    const node_entry *me = g_hash_table_lookup(c->nodes, c->conf->node_name);
    if ((me && me->incarnation == c->incarnation) || mv_pending(c, &c->node_txn))
        return;
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, K_NODE "%s", c->conf->node_name);
    mv_holder h = {.incarnation = c->incarnation, .format = PLAYS_OLD(c) ? 0 : MV_FORMAT};
    g_strlcpy(h.node, c->conf->node_name, sizeof h.node);
    mv_action *a = mv_txn(c, true);
    /* An entry of our own predecessor is overwritten: we are its only heir. */
    mv_txn_if(a, key, me ? me->stamp : 0);
    mv_txn_set(a, key, mv_holder_pack(&h), true);
    g_snprintf(key, sizeof key, K_FORMAT "%s", c->conf->node_name);
    if (!PLAYS_OLD(c) && !g_hash_table_contains(c->formats, c->conf->node_name)) {
        mv_txn_if(a, key, 0);
        mv_txn_set(a, key, mv_format_pack(MV_FORMAT), false);
    }
    mv_sent(c, &c->node_txn, a);
}

/* A controller that was put back to the old version is new no more, also while it is away. */
static void correct_formats(mv_core *c)
{
    GHashTableIter it;
    gpointer v;
    if (PLAYS_OLD(c) || mv_pending(c, &c->format_txn))
        return;
    g_hash_table_iter_init(&it, c->nodes);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const node_entry *n = v;
        const uint64_t *said = g_hash_table_lookup(c->formats, n->node);
        if (n->format >= MV_FORMAT || !said)
            continue;
        char key[MV_KEY_SIZE];
        mv_action *a = mv_txn(c, true);
        g_snprintf(key, sizeof key, K_NODE "%s", n->node);
        mv_txn_if(a, key, n->stamp);
        g_snprintf(key, sizeof key, K_FORMAT "%s", n->node);
        mv_txn_if(a, key, *said);
        mv_txn_remove(a, key);
        mv_sent(c, &c->format_txn, a);
        return;
    }
}

static void stand_for_leader(mv_core *c)
{
    bool heir = c->leader_stamp && strcmp(c->leader.node, c->conf->node_name) == 0 &&
                c->leader.incarnation != c->incarnation;
    if ((c->leader_stamp && !heir) || mv_pending(c, &c->leader_txn))
        return;
    mv_holder h = {.incarnation = c->incarnation, .term = c->term + 1};
    g_strlcpy(h.node, c->conf->node_name, sizeof h.node);
    mv_action *a = mv_txn(c, true);
    mv_txn_if(a, K_LEADER, c->leader_stamp);
    mv_txn_if(a, K_TERM, c->term_stamp);
    mv_txn_set(a, K_LEADER, mv_holder_pack(&h), true);
    mv_txn_set(a, K_TERM, mv_counter_pack(h.term), false);
    mv_sent(c, &c->leader_txn, a);
}

/* --- grants, by the leader --- */

bool mv_live(const mv_core *c, const mv_holder *h)
{
    const node_entry *n = g_hash_table_lookup(c->nodes, h->node);
    return n && n->incarnation == h->incarnation;
}

static unsigned load_of(const mv_core *c, const char *node)
{
    unsigned n = 0;
    for (guint i = 0; i < c->shards->len; i++) {
        const shard *s = g_ptr_array_index(c->shards, i);
        if (s->stamp && strcmp(s->holder.node, node) == 0 && mv_live(c, &s->holder))
            n++;
    }
    return n;
}

/* A controller that just resigned a block would, with no block left, have been the first to get
 * another, and kept its machines from everybody for as long again. */
static void avoid(mv_core *c, const char *node)
{
    double *until = g_new(double, 1);
    *until = c->now + MV_AVOID_S;
    g_hash_table_replace(c->avoided, g_strdup(node), until);
}

static bool is_avoided(const mv_core *c, const char *node)
{
    const double *until = g_hash_table_lookup(c->avoided, node);
    return until && c->now < *until;
}

/* The live controller with the fewest shards, one that is not shunned first; the leader itself on a
 * tie, for then the fleet and the placement need no messages. `extra` counts shards given in the
 * same transaction. */
static const node_entry *least_loaded(const mv_core *c, GHashTable *extra, const char *not_this)
{
    const node_entry *best = NULL;
    unsigned best_load = 0;
    bool best_avoided = false;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->nodes);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const node_entry *n = v;
        if (not_this && strcmp(n->node, not_this) == 0)
            continue;
        unsigned load = load_of(c, n->node) + GPOINTER_TO_UINT(g_hash_table_lookup(extra, n->node));
        bool me = strcmp(n->node, c->conf->node_name) == 0;
        bool avoided = is_avoided(c, n->node);
        bool better =
            avoided != best_avoided ? best_avoided : load < best_load || (load == best_load && me);
        if (!best || better) {
            best = n;
            best_load = load;
            best_avoided = avoided;
        }
    }
    return best;
}

/* Machines that the teams' guarantees alone would fill, or that are there already. */
static double fleet_size(const mv_core *c)
{
    double most = 0, guaranteed = 0;
    for (guint i = 0; c->types && i < c->types->len; i++)
        most = MAX(most, g_array_index(c->types, mv_type, i).cores);
    for (size_t i = 0; i < c->conf->n_teams; i++)
        guaranteed += c->conf->teams[i].cpus;
    return MAX(most > 0 ? guaranteed / most : 0, (double)MAX(c->rotation->len, c->listed_machines));
}

/* Whether enough is known to say how large the fleet will be: the types, and the machines there
 * are. With one block until 399 machines were recorded, 12 s after the start, one controller got
 * all the jobs of that time; the machines followed them, and it broke down under two thirds of a
 * fleet of 4,000. A cloud that does not answer holds nothing up for long. */
static bool can_tell_fleet_size(const mv_core *c)
{
    bool waited = c->led && c->now > c->led_since + MV_FIRST_LIST_S;
    return c->types && GUARD(FIRST_LIST, c->listed_once || waited);
}

/* One block keeps the room of a small fleet together; a large one is more than one controller's
 * processor can serve. Shards are only ever added, so that noise moves nothing. */
static unsigned wanted_shards(const mv_core *c)
{
    if (c->conf->tune.shards)
        return c->conf->tune.shards;
    return fleet_size(c) >= MV_SPLIT_MACHINES ? c->conf->count : 1;
}

/* A team that no shard names goes to the shard with the least guaranteed to its teams. */
static bool add_missing_teams(const mv_core *c, mv_holder *holders, unsigned n)
{
    bool added = false;
    for (size_t i = 0; i < c->conf->n_teams; i++) {
        const mv_team *t = &c->conf->teams[i];
        unsigned best = n;
        double best_sum = 0;
        bool found = false;
        for (unsigned k = 0; k < n && !found; k++) {
            double sum = 0;
            size_t bytes = MV_HOLDER_BYTES + strlen(t->name);
            for (guint x = 0; x < holders[k].teams->len; x++) {
                const char *name = g_ptr_array_index(holders[k].teams, x);
                const mv_team *other = mv_settings_team(c->conf, name);
                found = found || strcmp(name, t->name) == 0;
                sum += other ? 1 + other->cpus : 0;
                bytes += strlen(name) + 3;
            }
            if (bytes <= c->value_bytes && (best == n || sum < best_sum)) {
                best = k;
                best_sum = sum;
            }
        }
        if (found)
            continue;
        if (best == n) {
            mv_log_limited(MV_LOG_INFO, "limit_too_small", "limit=value_kb team=%s", t->name);
            continue;
        }
        g_ptr_array_add(holders[best].teams, g_strdup(t->name));
        added = true;
    }
    return added;
}

static GPtrArray *copy_teams(const GPtrArray *from)
{
    GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; from && i < from->len; i++)
        g_ptr_array_add(out, g_strdup(g_ptr_array_index(from, i)));
    return out;
}

/* Moves one shard when a controller came back and another holds two more than it. */
static int rebalance(mv_core *c, const node_entry **to)
{
    if (c->now < c->rebalanced_at + MV_REBALANCE_S)
        return -1;
    g_autoptr(GHashTable) none = g_hash_table_new(g_str_hash, g_str_equal);
    const node_entry *low = least_loaded(c, none, NULL);
    if (!low)
        return -1;
    unsigned least = load_of(c, low->node);
    for (guint i = 0; i < c->shards->len; i++) {
        const shard *s = g_ptr_array_index(c->shards, i);
        if (s->stamp && load_of(c, s->holder.node) >= least + 2) {
            *to = low;
            c->rebalanced_at = c->now;
            return (int)i;
        }
    }
    return -1;
}

/* Its holder reaches the state service but no machine: another may. Once all have tried it is the
 * machines that are silent, and going round would only keep that from being noticed. */
static bool resigned(const mv_core *c, const shard *s)
{
    return s->passed_on + 1 < g_hash_table_size(c->nodes) && s->demand && s->demand->resign &&
           s->demand_got_at > s->taken_at + MV_RESIGN_S &&
           c->now < s->demand_got_at + MV_DEMAND_OLD_S;
}

/* One transaction grants every shard that has no live holder, each under a new term. */
static void grant(mv_core *c)
{
    if (mv_pending(c, &c->grant_txn) || g_hash_table_size(c->nodes) == 0)
        return;
    if (c->shards->len == 0 && !can_tell_fleet_size(c))
        return;
    unsigned n = MAX(c->shards->len, wanted_shards(c));
    n = MIN(MIN(n, c->ops - 1), MV_MAX_SHARDS);
    g_autofree mv_holder *holders = g_new0(mv_holder, n);
    g_autofree bool *change = g_new0(bool, n);
    g_autoptr(GHashTable) extra = g_hash_table_new(g_str_hash, g_str_equal);
    const node_entry *moved_to = NULL;
    int moved = rebalance(c, &moved_to);
    uint64_t term = c->term;
    bool any = false;
    for (unsigned i = 0; i < n; i++) {
        shard *s = mv_shard_get(c, i);
        holders[i] = s->holder;
        holders[i].teams = copy_teams(s->holder.teams);
        bool dead = !s->stamp || !mv_live(c, &s->holder);
        const node_entry *to = dead ? least_loaded(c, extra, NULL)
                               : resigned(c, s) || mv_holder_gave_up(c, s)
                                   ? least_loaded(c, extra, s->holder.node)
                               : (int)i == moved ? moved_to
                                                 : NULL;
        if (!to)
            continue;
        if (!dead && (int)i != moved) {
            s->passed_on++;
            avoid(c, s->holder.node);
        }
        g_hash_table_insert(
            extra, (gpointer)to->node,
            GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(extra, to->node)) + 1));
        g_strlcpy(holders[i].node, to->node, sizeof holders[i].node);
        holders[i].incarnation = to->incarnation;
        holders[i].term = ++term;
        change[i] = any = true;
    }
    if (add_missing_teams(c, holders, n))
        for (unsigned i = 0; i < n; i++) {
            change[i] = any = true;
            holders[i].term = ++term;
        }
    if (any) {
        mv_action *a = mv_txn(c, true);
        mv_txn_if(a, K_LEADER, c->leader_stamp);
        mv_txn_if(a, K_TERM, c->term_stamp);
        mv_txn_set(a, K_TERM, mv_counter_pack(term), false);
        for (unsigned i = 0; i < n; i++) {
            char key[MV_KEY_SIZE];
            g_snprintf(key, sizeof key, K_SHARD "%u", i);
            if (!change[i])
                continue;
            mv_txn_if(a, key, ((shard *)g_ptr_array_index(c->shards, i))->stamp);
            mv_txn_set(a, key, mv_holder_pack(&holders[i]), false);
        }
        mv_sent(c, &c->grant_txn, a);
    }
    for (unsigned i = 0; i < n; i++)
        mv_holder_clear(&holders[i]);
}

void mv_membership_tick(mv_core *c)
{
    if (!mv_session_ok(c))
        return;
    announce(c);
    const node_entry *me = g_hash_table_lookup(c->nodes, c->conf->node_name);
    if (!me || me->incarnation != c->incarnation)
        return;
    stand_for_leader(c);
    if (!mv_leads(c))
        return;
    grant(c);
    correct_formats(c);
}

/* --- duties of a holder --- */

static void add_used(const shard *s, const block_part *k, mv_action *a)
{
    char key[MV_KEY_SIZE];
    g_autoptr(GPtrArray) used = g_ptr_array_new();
    for (guint i = 0; i < k->members->len; i++) {
        machine *m = g_ptr_array_index(k->members, i);
        if (m->used || m->confirmed)
            g_ptr_array_add(used, m);
    }
    g_snprintf(key, sizeof key, K_USED "%u/%u", s->index, k->index);
    mv_txn_if(a, key, k->used_stamp);
    mv_txn_set(a, key, mv_used_pack(used), false);
}

static block_part *most_unrecorded(const shard *s, const block_part *const *taken, unsigned n)
{
    block_part *best = NULL;
    for (guint i = 0; i < s->parts->len; i++) {
        block_part *k = g_ptr_array_index(s->parts, i);
        bool chosen = k->unrecorded == 0 && !k->withdraw;
        for (unsigned x = 0; x < n && !chosen; x++)
            chosen = taken[x] == k;
        if (!chosen && (!best || k->unrecorded > best->unrecorded))
            best = k;
    }
    return best;
}

/* Machines that may hold tasks are recorded before the first launch: whoever takes over need not
 * wait for the others, which may still be booting. While a large fleet boots, each part would be
 * written again for every machine: a pause lets several share a write. */
static void record_use(mv_core *c, shard *s)
{
    double pause = s->parts->len > MV_RECORD_PARTS ? MV_RECORD_PAUSE_S : 0;
    if (mv_pending(c, &s->used_txn) || !mv_session_ok(c) || c->now < s->recorded_at + pause)
        return;
    const block_part *taken[MV_RECORD_PARTS];
    mv_action *a = NULL;
    char shard_key[MV_KEY_SIZE];
    for (unsigned n = 0; n < MIN(MV_RECORD_PARTS, c->ops); n++) {
        block_part *k = most_unrecorded(s, taken, n);
        if (!k)
            break;
        if (!a) {
            a = mv_txn(c, true);
            g_snprintf(shard_key, sizeof shard_key, K_SHARD "%u", s->index);
            mv_txn_if(a, shard_key, s->stamp);
        }
        add_used(s, k, a);
        taken[n] = k;
    }
    if (!a)
        return;
    mv_sent(c, &s->used_txn, a);
    s->recorded_at = c->now;
}

static void check_rebuilt(mv_core *c, shard *s)
{
    if (s->rebuilt)
        return;
    for (guint i = 0; i < c->rotation->len; i++) {
        const machine *m = g_ptr_array_index(c->rotation, i);
        if (m->shard == s && mv_may_hold_tasks(m))
            return;
    }
    s->rebuilt = true;
    c->want_round = true;
    mv_info("rebuilt", "shard=%u term=%" G_GUINT64_FORMAT " after_s=%.2f", s->index, s->holder.term,
            c->now - s->taken_at);
}

/* Without word from the state service reports are sent away. When it is back, nobody has been heard
 * for as long as that took: machines at work were given up, all at once, for our own silence. */
static void note_holding(const mv_core *c, shard *s)
{
    bool holds = mv_holds(c, s);
    if (!GUARD(LISTENING, !holds || s->held))
        s->listening_since = c->now;
    s->held = holds;
}

void mv_holders_tick(mv_core *c)
{
    for (guint i = 0; i < c->shards->len; i++) {
        shard *s = g_ptr_array_index(c->shards, i);
        note_holding(c, s);
        if (!s->held)
            continue;
        record_use(c, s);
        check_rebuilt(c, s);
    }
}
