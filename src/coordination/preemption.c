/* Making room: tasks stopped for work of higher urgency, or to give a team its guarantee. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <string.h>

/* PROTOCOL, "Preemption": a higher priority may take room from a lower one; a team's guarantee
 * from whatever another team runs beyond its own. Nothing else. */
static bool may_stop(const job *claimant, const job *victim)
{
    if (claimant->guaranteed && !victim->guaranteed && claimant->team != victim->team)
        return true;
    /* Work within a guarantee keeps its place against urgency alone. */
    return claimant->spec.urgency < victim->spec.urgency && !victim->guaranteed;
}

/* The core seconds that stopping it would throw away. */
static double lost_work(const mv_core *c, const placement *p, const job *j)
{
    if (j->spec.mark_every_s > 0 || p->running_at == 0)
        return 0;
    return (c->now - p->running_at) * p->cores;
}

typedef struct {
    placement *p;
    double lost;
} victim;

static gint by_loss(gconstpointer a, gconstpointer b)
{
    const victim *x = a, *y = b;
    double d = x->lost / MAX(x->p->cores, MV_ROUNDING) - y->lost / MAX(y->p->cores, MV_ROUNDING);
    return d < 0 ? -1 : d > 0;
}

static GArray *victims_on(const mv_core *c, const job *claimant, const machine *m)
{
    GArray *out = g_array_new(FALSE, TRUE, sizeof(victim));
    for (guint i = 0; i < m->placements->len; i++) {
        placement *p = g_ptr_array_index(m->placements, i);
        const job *j = g_hash_table_lookup(c->jobs, p->job);
        /* A launch that is still under way cannot be stopped for certain. */
        if (!j || p->stopping || !p->seen || !may_stop(claimant, j))
            continue;
        victim v = {.p = p, .lost = lost_work(c, p, j)};
        g_array_append_val(out, v);
    }
    g_array_sort(out, by_loss);
    return out;
}

/* Room there will be once all that is told to stop has gone, less what is promised already. */
void mv_coming_room(const mv_core *c, const machine *m, double *cores, double *cards, double *ram)
{
    mv_machine_free_room(c, m, cores, cards, ram);
    *cores -= m->promised_cores;
    *cards -= m->promised_cards;
    *ram -= m->promised_ram;
    for (guint i = 0; i < m->placements->len; i++) {
        const placement *p = g_ptr_array_index(m->placements, i);
        if (!p->stopping)
            continue;
        *cores += p->cores;
        *cards += p->cards;
        *ram += p->ram_gb;
    }
}

bool mv_fits(const job *j, double cores, double cards, double ram)
{
    return j->spec.cores <= cores + MV_ROUNDING && j->spec.cards <= cards + MV_ROUNDING &&
           j->spec.ram_gb <= ram + MV_ROUNDING;
}

/* How many of the cheapest victims there are needed, and what they lose; -1: not enough. */
static int price_of(const mv_core *c, const job *j, const machine *m, const GArray *victims,
                    double *lost)
{
    double cores, cards, ram;
    mv_coming_room(c, m, &cores, &cards, &ram);
    *lost = 0;
    for (guint n = 0;; n++) {
        if (mv_fits(j, cores, cards, ram))
            return (int)n;
        if (n == victims->len)
            return -1;
        const victim *v = &g_array_index(victims, victim, n);
        cores += v->p->cores;
        cards += v->p->cards;
        ram += v->p->ram_gb;
        *lost += v->lost;
    }
}

static machine *cheapest(mv_core *c, const job *j, int *count)
{
    machine *best = NULL;
    double best_lost = 0;
    for (guint i = 0; i < c->turn->len; i++) {
        machine *m = g_ptr_array_index(c->turn, i);
        if (m->shard != j->team->shard || !mv_usable(c, m) || !mv_allowed_on(c, j, m))
            continue;
        double lost;
        g_autoptr(GArray) victims = victims_on(c, j, m);
        int n = price_of(c, j, m, victims, &lost);
        /* Where the image takes longer to come than the aim allows, the room is worth less. */
        double fetch = mv_fetch_left(c, j, m);
        lost += fetch > mv_start_aim(c, j) ? fetch * j->spec.cores : 0;
        if (n < 0 || (best && lost >= best_lost))
            continue;
        best = m;
        best_lost = lost;
        *count = n;
    }
    return best;
}

static void stop_victims(mv_core *c, const job *j, machine *m, int count)
{
    g_autoptr(GArray) victims = victims_on(c, j, m);
    for (int i = 0; i < count; i++) {
        const victim *v = &g_array_index(victims, victim, (guint)i);
        v->p->stopping = true;
        v->p->team->stopping_cores += v->p->cores;
        m->wants_command = true;
        c->counts.preempted++;
        mv_debug("preempt", "piece=%s/%u machine=%s for=%s lost=%.0f", v->p->job, v->p->piece,
                 m->id, j->spec.id, v->lost);
    }
}

/* Only work that is to start within seconds is worth the work it costs others. */
bool mv_starts_soon(const mv_core *c, const job *j)
{
    return mv_start_aim(c, j) < MV_SOON_S;
}

static void promise(machine *m, const job *j)
{
    m->promised_cores += j->spec.cores;
    m->promised_cards += j->spec.cards;
    m->promised_ram += j->spec.ram_gb;
    j->team->promised_cores += j->spec.cores;
}

/* Whether the team's limit, not the machines, stands in the way, even once all that is told to stop
 * has gone. */
static bool limit_short(const mv_core *c, const job *j)
{
    const team *t = j->team;
    double coming = t->used_cores - t->stopping_cores + t->promised_cores;
    return t->conf->cpus_max > 0 &&
           coming + mv_unknown_cores(c, t->shard) + j->spec.cores > t->conf->cpus_max + MV_ROUNDING;
}

/* Room within the limit: the team's own work of lower urgency that loses least gives way. */
static bool stop_own(mv_core *c, const job *j)
{
    machine *best = NULL;
    placement *which = NULL;
    double best_lost = 0;
    for (guint i = 0; i < c->turn->len; i++) {
        machine *m = g_ptr_array_index(c->turn, i);
        if (m->shard != j->team->shard || !mv_usable(c, m) || !mv_allowed_on(c, j, m))
            continue;
        for (guint k = 0; k < m->placements->len; k++) {
            placement *p = g_ptr_array_index(m->placements, k);
            const job *other = g_hash_table_lookup(c->jobs, p->job);
            if (!other || p->team != j->team || p->stopping || !p->seen ||
                p->cores < j->spec.cores || other->spec.urgency <= j->spec.urgency)
                continue;
            double lost = lost_work(c, p, other);
            if (which && lost >= best_lost)
                continue;
            best = m;
            which = p;
            best_lost = lost;
        }
    }
    if (!which)
        return false;
    which->stopping = true;
    which->team->stopping_cores += which->cores;
    best->wants_command = true;
    c->counts.preempted++;
    promise(best, j);
    mv_debug("preempt_own", "piece=%s/%u machine=%s for=%s lost=%.0f", which->job, which->piece,
             best->id, j->spec.id, best_lost);
    return true;
}

void mv_preempt_for(mv_core *c, job *j)
{
    for (unsigned i = 0; mv_starts_soon(c, j) && i < j->waiting->len; i++) {
        int count = 0;
        if (limit_short(c, j)) {
            if (!stop_own(c, j))
                return;
            continue;
        }
        machine *m = cheapest(c, j, &count);
        if (!m)
            return;
        if (count)
            stop_victims(c, j, m, count);
        promise(m, j);
    }
}

void mv_preempt_begin(mv_core *c)
{
    for (size_t i = 0; i < c->conf->n_teams; i++)
        c->teams[i].stopping_cores = c->teams[i].promised_cores = 0;
    for (guint i = 0; i < c->turn->len; i++) {
        machine *m = g_ptr_array_index(c->turn, i);
        m->promised_cores = m->promised_cards = m->promised_ram = 0;
        for (guint k = 0; k < m->placements->len; k++) {
            const placement *p = g_ptr_array_index(m->placements, k);
            p->team->stopping_cores += p->stopping ? p->cores : 0;
        }
    }
}
