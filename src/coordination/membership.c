/* Election, terms, and who holds which shard. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <string.h>

/* --- records --- */

void mv_record_node(mv_core *c, const char *name, const msgpack_object *o, uint64_t stamp)
{
    mv_holder h;
    if (!o || !mv_holder_parse(o, &h)) {
        g_hash_table_remove(c->nodes, name);
        return;
    }
    node_entry *n = g_new0(node_entry, 1);
    g_strlcpy(n->node, name, sizeof n->node);
    n->incarnation = h.incarnation;
    n->stamp = stamp;
    mv_holder_clear(&h);
    g_hash_table_replace(c->nodes, n->node, n);
}

static shard *shard_get(mv_core *c, unsigned index)
{
    while (c->shards->len <= index) {
        shard *s = g_new0(shard, 1);
        s->index = c->shards->len;
        s->used = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        s->adds = g_array_new(FALSE, TRUE, sizeof(mv_member));
        g_ptr_array_add(c->shards, s);
    }
    return g_ptr_array_index(c->shards, index);
}

static void link_teams(mv_core *c, shard *s)
{
    for (size_t i = 0; i < c->conf->n_teams; i++) {
        team *t = &c->teams[i];
        if (t->shard == s)
            t->shard = NULL;
        for (guint k = 0; s->holder.teams && k < s->holder.teams->len; k++)
            if (strcmp(g_ptr_array_index(s->holder.teams, k), t->conf->name) == 0)
                t->shard = s;
    }
}

/* Everything remembered of a shard is stale once its term changes hands: who holds it now, even
 * we ourselves after a restart, learns from the workers' reports under the new term. */
static void forget_shard(mv_core *c, shard *s)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (((machine *)v)->shard == s)
            mv_reset_machine(c, v);
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        job *j = v;
        if (j->team && j->team->shard == s)
            mv_job_reset(c, j);
    }
}

void mv_record_shard(mv_core *c, unsigned index, const msgpack_object *o, uint64_t stamp)
{
    shard *s = shard_get(c, index);
    mv_holder h;
    if (!o || !mv_holder_parse(o, &h)) {
        s->stamp = 0;
        s->mine = false;
        return;
    }
    bool changed = h.term != s->holder.term;
    if (changed)
        forget_shard(c, s);
    mv_holder_clear(&s->holder);
    s->holder = h;
    s->stamp = stamp;
    link_teams(c, s);
    bool mine = c->incarnation && h.incarnation == c->incarnation &&
                strcmp(h.node, c->conf->node_name) == 0;
    if (changed) {
        s->grant_stamp = stamp;
        s->rebuilt = false;
        s->taken_at = c->now;
        if (mine)
            c->counts.takeovers++;
        mv_info("shard", "shard=%u holder=%s term=%" G_GUINT64_FORMAT " mine=%d", index, h.node,
                h.term, mine);
    }
    s->mine = mine;
}

void mv_record_block(mv_core *c, unsigned index, const msgpack_object *o, uint64_t stamp)
{
    shard *s = shard_get(c, index);
    s->block_stamp = o ? stamp : 0;
    g_autoptr(GArray) members = o ? mv_block_parse(o) : NULL;
    g_autoptr(GHashTable) present = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; members && i < members->len; i++) {
        const mv_member *b = &g_array_index(members, mv_member, i);
        machine *m = g_hash_table_lookup(c->machines, b->id);
        if (!m)
            m = mv_machine_new(c, b->id);
        g_hash_table_add(present, m->id);
        if (b->address[0])
            g_strlcpy(m->address, b->address, sizeof m->address);
        g_strlcpy(m->hull, b->hull, sizeof m->hull);
        g_strlcpy(m->yard, b->yard, sizeof m->yard);
        m->loaners = b->loaners;
        if (m->shard == s && m->member_term == b->term)
            continue;
        if (m->shard != s) {
            mv_reset_machine(c, m);
            m->rented_at = mv_from_wall(c, b->at);
            /* It entered the block under our grant: nothing of this block can be on it. */
            m->fresh = s->stamp != 0 && stamp > s->grant_stamp && c->synced;
        }
        m->shard = s;
        m->member_term = b->term;
        m->confirmed = false; /* a higher token has to be seen by the worker first */
        m->give_back = false;
    }
    GHashTableIter it;
    gpointer v;
    g_autoptr(GPtrArray) left = g_ptr_array_new();
    g_hash_table_iter_init(&it, c->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        machine *m = v;
        if (m->shard == s && !g_hash_table_contains(present, m->id))
            g_ptr_array_add(left, m);
    }
    for (guint i = 0; i < left->len; i++)
        mv_machine_left(c, g_ptr_array_index(left, i));
}

void mv_record_used(mv_core *c, unsigned index, const msgpack_object *o, uint64_t stamp)
{
    shard *s = shard_get(c, index);
    s->used_stamp = o ? stamp : 0;
    g_hash_table_remove_all(s->used);
    const msgpack_object_array *list = o ? mv_get_list(o, R_MACHINES) : NULL;
    for (uint32_t i = 0; list && i < list->size; i++) {
        char id[MV_NAME_SIZE], address[64];
        if (mv_get_text(&list->ptr[i], N_ID, id, sizeof id) != MV_GOT)
            continue;
        g_hash_table_add(s->used, g_strdup(id));
        machine *m = g_hash_table_lookup(c->machines, id);
        if (m && mv_get_text(&list->ptr[i], N_ADDRESS, address, sizeof address) == MV_GOT &&
            !m->address[0])
            g_strlcpy(m->address, address, sizeof m->address);
    }
}

/* --- election --- */

static void announce(mv_core *c)
{
    const node_entry *me = g_hash_table_lookup(c->nodes, c->conf->node_name);
    if ((me && me->incarnation == c->incarnation) ||
        mv_pending(&c->node_txn, c->node_txn_at, c->now))
        return;
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, K_NODE "%s", c->conf->node_name);
    mv_holder h = {.incarnation = c->incarnation};
    g_strlcpy(h.node, c->conf->node_name, sizeof h.node);
    mv_action *a = mv_txn(c, true);
    /* An entry of our own predecessor is overwritten: we are its only heir. */
    mv_txn_if(a, key, me ? me->stamp : 0);
    mv_txn_set(a, key, mv_holder_pack(&h), true);
    c->node_txn = a->id;
    c->node_txn_at = c->now;
}

static void stand_for_leader(mv_core *c)
{
    bool heir = c->leader_stamp && strcmp(c->leader.node, c->conf->node_name) == 0 &&
                c->leader.incarnation != c->incarnation;
    if ((c->leader_stamp && !heir) || mv_pending(&c->leader_txn, c->leader_txn_at, c->now))
        return;
    mv_holder h = {.incarnation = c->incarnation, .term = c->term + 1};
    g_strlcpy(h.node, c->conf->node_name, sizeof h.node);
    mv_action *a = mv_txn(c, true);
    mv_txn_if(a, K_LEADER, c->leader_stamp);
    mv_txn_if(a, K_TERM, c->term_stamp);
    mv_txn_set(a, K_LEADER, mv_holder_pack(&h), true);
    mv_txn_set(a, K_TERM, mv_counter_pack(h.term), false);
    c->leader_txn = a->id;
    c->leader_txn_at = c->now;
}

/* --- grants, by the leader --- */

static bool live(const mv_core *c, const mv_holder *h)
{
    const node_entry *n = g_hash_table_lookup(c->nodes, h->node);
    return n && n->incarnation == h->incarnation;
}

static unsigned load_of(const mv_core *c, const char *node)
{
    unsigned n = 0;
    for (guint i = 0; i < c->shards->len; i++) {
        const shard *s = g_ptr_array_index(c->shards, i);
        if (s->stamp && strcmp(s->holder.node, node) == 0 && live(c, &s->holder))
            n++;
    }
    return n;
}

/* The live controller with the fewest shards; the leader itself on a tie, for then the fleet and
 * the placement need no messages. `extra` counts shards given in the same transaction. */
static const node_entry *least_loaded(const mv_core *c, GHashTable *extra, const char *not_this)
{
    const node_entry *best = NULL;
    unsigned best_load = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->nodes);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const node_entry *n = v;
        if (not_this && strcmp(n->node, not_this) == 0)
            continue;
        unsigned load = load_of(c, n->node) + GPOINTER_TO_UINT(g_hash_table_lookup(extra, n->node));
        bool me = strcmp(n->node, c->conf->node_name) == 0;
        if (!best || load < best_load || (load == best_load && me)) {
            best = n;
            best_load = load;
        }
    }
    return best;
}

static unsigned wanted_shards(const mv_core *c)
{
    return c->conf->tune.shards ? c->conf->tune.shards : c->conf->count;
}

/* A team that no shard names goes to the shard with the least guaranteed to its teams. */
static bool add_missing_teams(const mv_core *c, mv_holder *holders, unsigned n)
{
    bool added = false;
    for (size_t i = 0; i < c->conf->n_teams; i++) {
        const mv_team *t = &c->conf->teams[i];
        unsigned best = 0;
        double best_sum = 0;
        bool found = false;
        for (unsigned k = 0; k < n && !found; k++) {
            double sum = 0;
            for (guint x = 0; x < holders[k].teams->len; x++) {
                const char *name = g_ptr_array_index(holders[k].teams, x);
                const mv_team *other = mv_settings_team(c->conf, name);
                found = found || strcmp(name, t->name) == 0;
                sum += other ? 1 + other->cpus : 0;
            }
            if (k == 0 || sum < best_sum) {
                best = k;
                best_sum = sum;
            }
        }
        if (found)
            continue;
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
    if (mv_pending(&c->grant_txn, c->grant_txn_at, c->now) || g_hash_table_size(c->nodes) == 0)
        return;
    unsigned n = c->shards->len ? c->shards->len : wanted_shards(c);
    n = MIN(n, c->conf->txn_ops - 1);
    g_autofree mv_holder *holders = g_new0(mv_holder, n);
    g_autofree bool *change = g_new0(bool, n);
    g_autoptr(GHashTable) extra = g_hash_table_new(g_str_hash, g_str_equal);
    const node_entry *moved_to = NULL;
    int moved = rebalance(c, &moved_to);
    uint64_t term = c->term;
    bool any = false;
    for (unsigned i = 0; i < n; i++) {
        shard *s = shard_get(c, i);
        holders[i] = s->holder;
        holders[i].teams = copy_teams(s->holder.teams);
        bool dead = !s->stamp || !live(c, &s->holder);
        const node_entry *to = dead              ? least_loaded(c, extra, NULL)
                               : resigned(c, s)  ? least_loaded(c, extra, s->holder.node)
                               : (int)i == moved ? moved_to
                                                 : NULL;
        if (!to)
            continue;
        s->passed_on += !dead && (int)i != moved;
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
        c->grant_txn = a->id;
        c->grant_txn_at = c->now;
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
    if (mv_leads(c))
        grant(c);
}

/* --- duties of a holder --- */

/* Machines that may hold tasks are recorded before the first launch: whoever takes over need not
 * wait for the others, which may still be booting. */
static void record_use(mv_core *c, shard *s)
{
    if (mv_pending(&s->used_txn, s->used_txn_at, c->now) || !mv_session_ok(c))
        return;
    bool missing = false;
    unsigned stale = 0;
    g_autoptr(GPtrArray) list = g_ptr_array_new();
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        machine *m = v;
        if (m->shard != s)
            continue;
        bool used = g_hash_table_contains(s->used, m->id);
        if (used || m->confirmed)
            g_ptr_array_add(list, m);
        missing = missing || (m->confirmed && !used);
    }
    stale = g_hash_table_size(s->used);
    if (!missing && stale < list->len + MV_USED_SLACK)
        return;
    mv_out *o = mv_out_new();
    mv_put_map(o, 1);
    mv_put_text(o, R_MACHINES);
    mv_put_list(o, list->len);
    for (guint i = 0; i < list->len; i++) {
        const machine *m = g_ptr_array_index(list, i);
        mv_put_map(o, 2);
        mv_field_text(o, N_ID, m->id);
        mv_field_text(o, N_ADDRESS, m->address);
    }
    char key[MV_KEY_SIZE], shard_key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, K_USED "%u", s->index);
    g_snprintf(shard_key, sizeof shard_key, K_SHARD "%u", s->index);
    mv_action *a = mv_txn(c, true);
    mv_txn_if(a, shard_key, s->stamp);
    mv_txn_if(a, key, s->used_stamp);
    mv_txn_set(a, key, mv_out_take(o), false);
    s->used_txn = a->id;
    s->used_txn_at = c->now;
}

static void check_rebuilt(mv_core *c, shard *s)
{
    if (s->rebuilt)
        return;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (((machine *)v)->shard == s && mv_may_hold_tasks(v))
            return;
    s->rebuilt = true;
    c->want_round = true;
    mv_info("rebuilt", "shard=%u term=%" G_GUINT64_FORMAT " after_s=%.2f", s->index, s->holder.term,
            c->now - s->taken_at);
}

void mv_holders_tick(mv_core *c)
{
    for (guint i = 0; i < c->shards->len; i++) {
        shard *s = g_ptr_array_index(c->shards, i);
        if (!mv_holds(c, s))
            continue;
        record_use(c, s);
        check_rebuilt(c, s);
    }
}
