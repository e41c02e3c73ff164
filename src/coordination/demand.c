/* What each holder tells the leader: tasks that wait, its machines, and idle ones for others. */
#include "coordination/internal.h"

#include <string.h>

static mv_others others_of(const mv_core *c, const shard *s);

/* --- demand, by each holder --- */

static unsigned rentable_count(const job *j)
{
    const team *t = j->team;
    unsigned n = j->waiting->len;
    if (t->conf->cpus_max > 0 && j->spec.cores > 0) {
        double room = (t->conf->cpus_max - t->used_cores) / j->spec.cores;
        n = room <= 0 ? 0 : MIN(n, (unsigned)room);
    }
    return n;
}

/* Where its next task has to be: the zone it asked for, or the one that its first task is in. */
static const char *only_zone(const mv_core *c, const job *j)
{
    if (j->spec.has_zone)
        return j->spec.zone_name;
    GHashTableIter it;
    gpointer name, number;
    g_hash_table_iter_init(&it, c->zones);
    while (j->spec.together && j->n_placed && g_hash_table_iter_next(&it, &name, &number))
        if (GPOINTER_TO_UINT(number) < j->in_zone->len &&
            g_array_index(j->in_zone, unsigned, GPOINTER_TO_UINT(number)) > 0)
            return name;
    return NULL;
}

/* A new holder knows of no task there until the machine has reported: one that had been faulty
 * under an earlier grant was given back at work. */
static bool is_empty_and_faulty(const machine *m)
{
    bool rebuilt = m->confirmed && !m->unknown_tasks;
    return m->faulty && GUARD(FAULTY_REBUILT, rebuilt) && !m->placements->len;
}

static mv_demand *own_demand(mv_core *c, shard *s)
{
    mv_demand *d = g_new0(mv_demand, 1);
    g_strlcpy(d->node, c->conf->node_name, sizeof d->node);
    d->incarnation = c->incarnation;
    d->term = s->holder.term;
    d->shard = s->index;
    d->wants = g_array_new(FALSE, TRUE, sizeof(mv_want));
    d->notes = g_array_new(FALSE, TRUE, sizeof(mv_note));
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        job *j = v;
        unsigned n = j->team && j->home == s ? rentable_count(j) : 0;
        if (!n || c->now < j->backoff_until)
            continue;
        mv_want w = {.cores = j->spec.cores,
                     .cards = j->spec.cards,
                     .ram_gb = j->spec.ram_gb,
                     .run_s = mv_job_guess(c, j),
                     .types = mv_job_types(c, j),
                     .spot = j->spec.spot,
                     .service = j->spec.service,
                     .waits_long = mv_waits_long(c, j),
                     /* Room that a service waits for does not come by itself. */
                     .urgent = j->guaranteed || j->spec.urgency <= MV_HIGH || j->spec.service,
                     .count = n};
        const char *zone = only_zone(c, j);
        if (zone)
            g_strlcpy(w.zone_name, zone, sizeof w.zone_name);
        g_array_append_val(d->wants, w);
    }
    if (s->reserve.count)
        g_array_append_val(d->wants, s->reserve);
    unsigned heard = 0, silent = 0, deaf = 0, confirmed = 0;
    for (guint i = 0; i < c->rotation->len; i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        if (m->shard != s)
            continue;
        bool heard_now = c->now - m->heard_at < MV_HEARD_REPORTS * c->conf->report_s;
        bool leaving = m->faulty || m->notice_at > 0 || (m->confirmed && mv_is_mute(c, m));
        mv_note n = {.idle_s = m->placements->len || !m->confirmed ? 0 : c->now - m->idle_since,
                     /* A new holder has heard nobody yet: that is its own newness, not theirs.
                      * Without this every take-over gave back the whole fleet as never booted. */
                     .silent_s = c->now - MAX(MAX(m->heard_at, s->listening_since), m->entered_at),
                     .fence = g_hash_table_size(m->uncertain_attempts) > 0 &&
                              c->now > m->uncertain_since + MV_FENCE_AFTER_S,
                     .give_back = m->give_back || is_empty_and_faulty(m),
                     .lost = m->lost,
                     /* A holder that reaches no machine once took those that its predecessor
                      * had used for machines that never booted, and one that waited for its
                      * machine to show a raised token, that machine. */
                     .up = m->heard_at > 0 || m->used,
                     .heard = heard_now,
                     .leaving = leaving,
                     .vacated = m->vacate,
                     .offer = m->offer};
        n.used_cores = m->taken.cores;
        n.used_ram = m->taken.ram;
        mv_room kept = mv_kept_room(m);
        n.kept_cores = kept.cores;
        n.kept_ram = kept.ram;
        g_strlcpy(n.id, m->id, sizeof n.id);
        g_array_append_val(d->notes, n);
        heard += n.heard;
        silent += m->command_fails >= MV_PROBES_FAILED;
        deaf += m->deaf_fails >= MV_DEAF_FAILS;
        confirmed += m->confirmed;
    }
    /* Nobody answers us, or most hear nothing of us: it is rather we who are cut off than every
     * machine that died or went deaf. */
    s->mute = deaf > 0 && 2 * deaf > confirmed;
    /* Where hundreds should report, one interval without any tells it as well as several. */
    bool many_silent =
        s->n_machines >= MV_HEARD_MANY &&
        c->now > MAX(s->heard_at, s->listening_since) + MV_HEARD_MANY_REPORTS * c->conf->report_s;
    bool unheard = silent > 1 && (heard == 0 || many_silent) && c->now > c->late_until;
    d->resign = unheard || (s->mute && deaf > 1);
    return d;
}

/* How long an idle machine is kept: the dearer, the shorter; least, once it is drained. The
 * cheapest of the cloud is kept for the full time, for it costs little and takes long to boot
 * again. */
static double idle_time(const mv_core *c, const machine *m)
{
    if (m->draining)
        return MV_IDLE_LEAST_S;
    double cheapest = 0, own = mv_price_per_core(c, m);
    for (guint i = 0; c->types && i < c->types->len; i++) {
        const mv_type *t = &g_array_index(c->types, mv_type, i);
        double price = t->cores > 0 ? MIN(t->market, t->rate) / t->cores : 0;
        if (price > 0 && (cheapest == 0 || price < cheapest))
            cheapest = price;
    }
    double share = own > 0 ? MIN(1, cheapest / own) : 1;
    return MAX(MV_IDLE_LEAST_S, c->conf->tune.idle_return_s * share);
}

/* An idle machine is kept for a while; its second minute must at least have begun. */
static void offer_idle(mv_core *c, shard *s)
{
    unsigned spare = c->conf->tune.spare_machines;
    for (guint i = 0; i < c->rotation->len; i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        if (m->shard != s || m->give_back || !m->confirmed || m->placements->len ||
            m->unknown_tasks)
            continue;
        if (c->now - m->idle_since < idle_time(c, m) || c->now - m->rented_at < MV_MIN_CHARGE_S)
            continue;
        if (spare > 0) {
            spare--;
            continue;
        }
        if (mv_can_spare(c, s, m))
            m->give_back = true;
    }
}

/* --- idle machines for others ---
 *
 * A holder offers idle machines that its own waiting work cannot use when the leader says that
 * others want some. An offered machine gets no work. The leader moves it on condition that the
 * record of its use still has the stamp that the offer named; to take the offer back, the holder
 * writes that record anew. So no move, however late it is carried out, meets a machine that was put
 * to work again. */

/* Types of machine that waiting tasks of the shard could use: spot ones, and ordinary ones. */
static void wanted_here(mv_core *c, const shard *s, uint32_t *spot, uint32_t *ordinary)
{
    GHashTableIter it;
    gpointer v;
    *spot = *ordinary = 0;
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        job *j = v;
        if (!j->team || j->home != s || rentable_count(j) == 0)
            continue;
        uint32_t types = mv_job_types(c, j);
        *ordinary |= types;
        *spot |= j->spec.spot ? types : 0;
    }
}

static bool may_offer(const mv_core *c, const machine *m)
{
    return m->confirmed && m->used && !m->give_back && !m->faulty && !m->lost && !m->notice_at &&
           !mv_is_mute(c, m) && !m->unknown_tasks && !m->command_id && m->placements->len == 0 &&
           g_hash_table_size(m->uncertain_attempts) == 0 &&
           c->now - m->idle_since > MV_OFFER_IDLE_S;
}

/* Kept back are machines that a waiting task of ours could use, and a few for what comes next.
 * While any waiting task kept back all, one that fitted only the larger type held up hundreds. */
static void offer_machines(mv_core *c, shard *s)
{
    bool elsewhere = c->others_need_at > 0 && c->now < c->others_need_at + MV_DEMAND_OLD_S;
    /* A few that every block kept back were enough to leave a job waiting without end. */
    bool starve = c->others_starve_at > 0 && c->now < c->others_starve_at + MV_DEMAND_OLD_S;
    unsigned keep = starve ? 0 : s->n_machines / MV_OFFER_KEEP + 1;
    uint32_t spot, ordinary;
    wanted_here(c, s, &spot, &ordinary);
    for (guint i = 0; i < c->rotation->len; i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        if (m->shard != s || !mv_type_of(c, m))
            continue;
        bool here = (m->spot ? spot : ordinary) >> m->type & 1;
        if (m->vacate && !m->offer && may_offer(c, m)) {
            m->offer = mv_block_part(s, m->part)->used_stamp;
        } else if (m->offer && !m->vacate && (here || !elsewhere)) {
            mv_block_part(s, m->part)->withdraw = true;
        } else if (!m->offer && elsewhere && !here && may_offer(c, m)) {
            if (keep > 0)
                keep--;
            else if (starve || mv_can_spare(c, s, m))
                m->offer = mv_block_part(s, m->part)->used_stamp;
        }
    }
}

static void take_demand(const mv_core *c, shard *s, mv_demand *d)
{
    for (guint i = 0; i < d->notes->len; i++) {
        const mv_note *n = &g_array_index(d->notes, mv_note, i);
        machine *m = g_hash_table_lookup(c->machines, n->id);
        if (n->heard)
            s->passed_on = 0;
        if (!m || m->shard != s)
            continue;
        m->note = *n;
        m->note_at = c->now;
        if (n->fence)
            mv_block_part(s, m->part)->dirty = true;
    }
    mv_demand_free(s->demand);
    s->demand = d;
    s->demand_got_at = c->now;
}

void mv_tell_demand(mv_core *c)
{
    for (guint i = 0; i < c->shards->len; i++) {
        shard *s = g_ptr_array_index(c->shards, i);
        double pause = MV_DEMAND_S + MV_DEMAND_PER_MACHINE_S * s->n_machines;
        if (!mv_holds(c, s) || c->now < s->demand_at + pause)
            continue;
        s->demand_at = c->now;
        mv_note_reserve(c, s);
        mv_consolidate(c, s);
        offer_idle(c, s);
        mv_vacate_machine(c, s);
        offer_machines(c, s);
        mv_demand *d = own_demand(c, s);
        if (mv_leads(c)) {
            take_demand(c, s, d);
            mv_core_others_need(c, c->now, others_of(c, s));
        } else if (c->leader_stamp) {
            mv_action *a = mv_act(c, MV_ACT_DEMAND);
            a->demand = d;
            g_strlcpy(a->to, c->leader.node, sizeof a->to);
        } else {
            mv_demand_free(d);
        }
    }
}

static mv_others others_of(const mv_core *c, const shard *s)
{
    mv_others out = {0};
    for (guint i = 0; i < c->shards->len; i++) {
        const shard *other = g_ptr_array_index(c->shards, i);
        out.need = out.need || (other != s && other->unmet);
        out.starve = out.starve || (other != s && other->starving);
        out.lack |= other != s ? other->lacks : 0;
    }
    return out;
}

mv_others mv_core_demand(mv_core *c, double now, mv_demand *d)
{
    c->now = MAX(c->now, now);
    shard *s = d->shard < c->shards->len ? g_ptr_array_index(c->shards, d->shard) : NULL;
    /* The term too: what was said under an earlier grant to the same process holds no longer. */
    if (!mv_leads(c) || !s || s->holder.incarnation != d->incarnation ||
        s->holder.term != d->term || strcmp(s->holder.node, d->node) != 0) {
        mv_stale(c, "demand", d->node);
        mv_demand_free(d);
        return (mv_others){0};
    }
    take_demand(c, s, d);
    return others_of(c, s);
}

void mv_core_others_need(mv_core *c, double now, mv_others others)
{
    c->now = MAX(c->now, now);
    if (others.need)
        c->others_need_at = c->now;
    if (others.starve)
        c->others_starve_at = c->now;
    if (others.lack)
        c->others_lack_at = c->now;
    c->others_lack = others.lack;
}
