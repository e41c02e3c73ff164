/* The leader's care for the fleet: what is rented, returned and listed. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <string.h>

/* --- the leader's books --- */

bool mv_fleet_was_released(const mv_core *c, const char *id)
{
    return g_hash_table_contains(c->released_names, id);
}

static void note_released(mv_core *c, const char *id)
{
    double *when = g_new(double, 1);
    machine *m = g_hash_table_lookup(c->machines, id);
    *when = c->now;
    g_hash_table_replace(c->released_names, g_strdup(id), when);
    if (!m || !m->shard)
        return;
    m->released = true;
    mv_block_part(m->shard, m->part)->dirty = true;
}

static gboolean old_release(gpointer key, gpointer value, gpointer data)
{
    const mv_core *c = data;
    (void)key;
    return c->now > *(double *)value + 4 * c->conf->list_lag_s + MV_RELEASED_KEEP_S;
}

static gboolean old_refusal(gpointer key, gpointer value, gpointer data)
{
    const mv_core *c = data;
    (void)key;
    return c->now > *(double *)value;
}

static void fleet_lead_lost(mv_core *c)
{
    g_ptr_array_set_size(c->rentals, 0);
    for (guint i = 0; i < c->shards->len; i++) {
        shard *s = g_ptr_array_index(c->shards, i);
        g_array_set_size(s->adds, 0);
        g_clear_pointer(&s->demand, mv_demand_free);
        s->demand_got_at = 0;
    }
    c->list_id = c->types_id = c->release_id = 0;
    c->listed_once = false;
    g_clear_pointer(&c->release_hosts, g_ptr_array_unref);
}

static bool added_already(const mv_core *c, const char *id)
{
    for (guint i = 0; i < c->shards->len; i++) {
        const shard *s = g_ptr_array_index(c->shards, i);
        for (guint k = 0; k < s->adds->len; k++)
            if (strcmp(g_array_index(s->adds, mv_member, k).id, id) == 0)
                return true;
    }
    const machine *m = g_hash_table_lookup(c->machines, id);
    return m && m->shard;
}

static unsigned size_of_shard(const shard *s)
{
    return s->adds->len + s->n_machines;
}

/* A machine that nobody holds: rented by a request that was answered late, or by a leader that
 * died before it could record it. */
void mv_fleet_adopt(mv_core *c, const mv_member *b)
{
    if (c->shards->len == 0 || mv_fleet_was_released(c, b->id) || added_already(c, b->id))
        return;
    shard *least = g_ptr_array_index(c->shards, 0);
    for (guint i = 1; i < c->shards->len; i++)
        if (size_of_shard(g_ptr_array_index(c->shards, i)) < size_of_shard(least))
            least = g_ptr_array_index(c->shards, i);
    g_array_append_val(least->adds, *b);
    mv_info("adopt", "machine=%s shard=%u", b->id, least->index);
}

void mv_core_rent_done(mv_core *c, double now, uint64_t id, const GPtrArray *hosts, bool refused)
{
    c->now = MAX(c->now, now);
    for (guint i = 0; i < c->rentals->len; i++) {
        rental *r = g_ptr_array_index(c->rentals, i);
        if (r->id != id)
            continue;
        if (!hosts && !refused) { /* it may have been carried out: the same name asks again */
            r->retry_at = c->now + 1;
            return;
        }
        unsigned got = hosts ? hosts->len : 0;
        if (got < r->number) {
            double *until = g_new(double, 1);
            *until = c->now + MV_REFUSED_PAUSE_S;
            g_hash_table_replace(c->refused, mv_offer_key(r->type_name, r->zone_name, r->spot),
                                 until);
        }
        mv_info("rented", "type=%s spot=%d asked=%u got=%u", r->type_name, r->spot, r->number, got);
        c->counts.rented += got;
        shard *s = g_ptr_array_index(c->shards, r->shard);
        for (guint k = 0; k < got; k++) {
            mv_member b = {.spot = r->spot, .at = mv_wall(c)};
            g_strlcpy(b.id, g_ptr_array_index(hosts, k), sizeof b.id);
            g_strlcpy(b.type_name, r->type_name, sizeof b.type_name);
            g_strlcpy(b.zone_name, r->zone_name, sizeof b.zone_name);
            if (!added_already(c, b.id))
                g_array_append_val(s->adds, b);
        }
        g_ptr_array_remove_index(c->rentals, i);
        mv_block_change(c, s);
        return;
    }
}

/* --- giving back --- */

static const char *reason_to_release(mv_core *c, machine *m)
{
    const mv_note *n = mv_note_of(m);
    const mv_type *t = mv_type_of(c, m);
    bool fresh_note = n && m->note_at > c->now - MV_DEMAND_OLD_S;
    if (m->listed_failed)
        return "failed";
    if (m->missing_lists >= 2 && (!fresh_note || n->silent_s > c->conf->report_s * 2))
        return "gone";
    if (!fresh_note)
        return NULL;
    if (n->give_back)
        return "idle";
    if (n->lost)
        return "silent";
    /* Of a machine of our own block we know more than our last note says: one that a cut controller
     * had kept until then came to us, got work and was returned within the same tenth of a second.
     */
    if (!GUARD(JUST_HEARD, !(m->shard->mine && m->confirmed)))
        return NULL;
    double boot = c->conf->tune.boot_factor * (t ? t->ready_s : 60);
    if (!n->up && c->now > c->late_until && c->now - m->rented_at > boot &&
        n->silent_s > c->conf->report_s * 4)
        return "no boot";
    return NULL;
}

static void give_back(mv_core *c)
{
    if (c->release_id && c->now < c->release_at + 3.0 * MV_CLOUD_TIMEOUT_MS / 1000)
        return;
    g_autoptr(GPtrArray) hosts = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < c->rotation->len; i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        const char *why = m->shard && !m->released ? reason_to_release(c, m) : NULL;
        if (!why || hosts->len >= MV_MAX_RELEASE)
            continue;
        mv_info("release", "machine=%s why=%s shard=%u silent_s=%.1f up=%d age_s=%.0f", m->id, why,
                m->shard->index, m->note.silent_s, m->note.up, c->now - m->rented_at);
        g_ptr_array_add(hosts, g_strdup(m->id));
    }
    if (hosts->len == 0)
        return;
    mv_action *a = mv_act(c, MV_ACT_RELEASE);
    a->hosts = g_ptr_array_ref(hosts);
    c->release_id = a->id;
    c->release_at = c->now;
    g_clear_pointer(&c->release_hosts, g_ptr_array_unref);
    c->release_hosts = g_ptr_array_ref(hosts);
}

void mv_core_release_done(mv_core *c, double now, uint64_t id, bool ok)
{
    c->now = MAX(c->now, now);
    if (c->release_id != id)
        return;
    c->release_id = 0;
    if (!ok)
        return;
    for (guint i = 0; i < c->release_hosts->len; i++)
        note_released(c, g_ptr_array_index(c->release_hosts, i));
    c->counts.released += c->release_hosts->len;
    for (guint i = 0; i < c->shards->len; i++)
        mv_block_change(c, g_ptr_array_index(c->shards, i));
}

/* --- the cloud's list --- */

static void read_list(mv_core *c)
{
    c->listed_once = true;
    c->listed_machines = g_hash_table_size(c->list_seen);
    for (guint i = 0; i < c->rotation->len; i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        bool seen = g_hash_table_contains(c->list_seen, m->id);
        /* Lists may go back in time; two in a row without a machine that was listed agree. */
        m->missing_lists = m->listed && !seen ? m->missing_lists + 1 : 0;
        m->listed = m->listed || seen;
    }
}

void mv_core_list_page(mv_core *c, double now, uint64_t id, const GArray *listed, bool more)
{
    c->now = MAX(c->now, now);
    if (c->list_id != id)
        return;
    c->list_id = 0;
    if (!listed)
        return;
    for (guint i = 0; i < listed->len; i++) {
        const mv_listed *l = &g_array_index(listed, mv_listed, i);
        g_hash_table_add(c->list_seen, g_strdup(l->id));
        machine *m = g_hash_table_lookup(c->machines, l->id);
        if (m) {
            m->listed_failed = l->failed;
            if (!m->address[0])
                g_strlcpy(m->address, l->address, sizeof m->address);
        } else if (mv_leads(c) && l->age_s > MV_ADOPT_AGE_S) {
            mv_member b = {.spot = l->spot, .at = mv_wall(c) - l->age_s};
            g_strlcpy(b.id, l->id, sizeof b.id);
            g_strlcpy(b.address, l->address, sizeof b.address);
            g_strlcpy(b.type_name, l->type_name, sizeof b.type_name);
            g_strlcpy(b.zone_name, l->zone_name, sizeof b.zone_name);
            mv_fleet_adopt(c, &b);
        }
    }
    if (!more || listed->len == 0) {
        read_list(c);
        return;
    }
    mv_action *a = mv_act(c, MV_ACT_LIST);
    g_strlcpy(a->name, g_array_index(listed, mv_listed, listed->len - 1).id, sizeof a->name);
    c->list_id = a->id;
}

static void ask_cloud(mv_core *c)
{
    bool late = c->now > c->types_asked_at + 2.0 * MV_CLOUD_TIMEOUT_MS / 1000;
    if ((!c->types_id || late) &&
        (c->types_asked_at == 0 ||
         c->now > c->types_asked_at + (c->types && c->types_stamp ? MV_TYPES_EVERY_S : 1))) {
        c->types_id = mv_act(c, MV_ACT_TYPES)->id;
        c->types_asked_at = c->now;
    }
    if (!mv_leads(c))
        return;
    if ((c->list_at == 0 || c->now > c->list_at + MV_LIST_EVERY_S) &&
        (!c->list_id || c->now > c->list_at + 4 * MV_CLOUD_TIMEOUT_MS / 1000.0)) {
        g_clear_pointer(&c->list_seen, g_hash_table_unref);
        c->list_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        c->list_id = mv_act(c, MV_ACT_LIST)->id;
        c->list_at = c->now;
    }
}

void mv_fleet_tick(mv_core *c)
{
    mv_tell_demand(c);
    bool lead = mv_leads(c);
    if (lead != c->led) {
        fleet_lead_lost(c);
        c->led = lead;
        c->led_since = c->now;
        mv_info("leader", "leads=%d term=%" G_GUINT64_FORMAT, lead, c->leader.term);
    }
    /* After that: a new leader's first list was asked for and forgotten at once. */
    ask_cloud(c);
    if (!lead)
        return;
    g_hash_table_foreach_remove(c->released_names, old_release, c);
    g_hash_table_foreach_remove(c->refused, old_refusal, c);
    for (guint i = 0; i < c->rentals->len; i++) {
        rental *r = g_ptr_array_index(c->rentals, i);
        if (r->retry_at > 0 && c->now > r->retry_at)
            mv_ask_rental(c, r);
    }
    for (guint i = 0; i < c->shards->len; i++) {
        shard *s = g_ptr_array_index(c->shards, i);
        if (mv_pending(c, &s->block_txn))
            continue;
        mv_block_settle(c, s);
        mv_block_change(c, s);
    }
    mv_size_fleet(c);
    give_back(c);
}
