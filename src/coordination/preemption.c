/* Making room: tasks stopped for work of higher urgency, or to give a team its guarantee. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <math.h>

/* PROTOCOL, "Preemption": a higher priority may take room from a lower one; a team's guarantee
 * from whatever another team runs beyond its own. Nothing else. */
static bool may_stop(const job *claimant, const job *victim)
{
    /* Replicas are few and small, and missed at once. */
    if (claimant->spec.service && claimant->spec.urgency < victim->spec.urgency)
        return true;
    /* Batch work that took a replica's place lost it to the replica again, within a second and
     * without end: only what has waited for long takes it. */
    if (mv_comes_first(victim) && !claimant->spec.service && !claimant->starved)
        return false;
    if (claimant->guaranteed && !victim->guaranteed && claimant->team != victim->team)
        return true;
    /* Work within a guarantee keeps its place against urgency alone. */
    return claimant->spec.urgency < victim->spec.urgency && !victim->guaranteed;
}

/* Seconds of a task's run that are lost if it is stopped without saving. */
static double unsaved_run(const mv_core *c, const placement *p, const job *j)
{
    double ran = p->running_at > 0 ? c->now - p->running_at : 0;
    return j->spec.mark_every_s > 0 ? fmod(ran, j->spec.mark_every_s) : ran;
}

/* Whether a task with checkpoints saves when it gives way: where that is cheaper than what it has
 * not saved yet, and the claimant can wait for it. Saving took five seconds of an aim of five. */
static bool saves_for(const mv_core *c, const job *claimant, const placement *p, const job *j)
{
    if (j->spec.mark_every_s <= 0 || p->running_at == 0)
        return false;
    double since = c->now - claimant->ready_at;
    double left = mv_start_aim(c, claimant) - since - MV_STOP_TRAVEL_S;
    bool in_time = left < 0 || j->spec.mark_cost_s < left;
    return in_time && j->spec.mark_cost_s < unsaved_run(c, p, j);
}

/* The core seconds that stopping it for the claimant would waste. */
static double lost_work(const mv_core *c, const job *claimant, const placement *p, const job *j)
{
    if (p->service) /* it serves somebody right now: last of all */
        return G_MAXFLOAT;
    double seconds = saves_for(c, claimant, p, j) ? j->spec.mark_cost_s : unsaved_run(c, p, j);
    return seconds * p->cores;
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

/* A launch that is still under way cannot be stopped for certain, and the first task of a job that
 * had starved is not stopped. */
static bool is_stoppable(const placement *p)
{
    return p->of && p->seen && !p->stopping && !p->kept;
}

/* Those on a machine that may give way to the claimant, least loss first, into `out`. */
static void victims_on(const mv_core *c, const job *claimant, const machine *m, GArray *out)
{
    g_array_set_size(out, 0);
    for (guint i = 0; i < m->placements->len; i++) {
        placement *p = g_ptr_array_index(m->placements, i);
        if (!is_stoppable(p) || !may_stop(claimant, p->of))
            continue;
        victim v = {.p = p, .lost = lost_work(c, claimant, p, p->of)};
        g_array_append_val(out, v);
    }
    if (out->len > 1)
        g_array_sort(out, by_loss);
}

/* Room there will be once all that is told to stop has gone, less what is promised already. */
mv_room mv_coming_room(const mv_core *c, const machine *m)
{
    mv_room r = mv_free_room(c, m);
    r.cores += m->ending.cores - m->promised.cores;
    r.cards += m->ending.cards - m->promised.cards;
    r.ram += m->ending.ram - m->promised.ram;
    return r;
}

bool mv_fits(const job *j, const mv_room *room)
{
    return j->spec.cores <= room->cores + MV_ROUNDING &&
           j->spec.cards <= room->cards + MV_ROUNDING && j->spec.ram_gb <= room->ram + MV_ROUNDING;
}

/* How many of the cheapest victims there are needed, and what they lose; -1: not enough. */
static int price_of(const mv_core *c, const job *j, const machine *m, const GArray *victims,
                    double *lost)
{
    mv_room room = mv_coming_room(c, m);
    *lost = 0;
    for (guint n = 0;; n++) {
        if (mv_fits(j, &room))
            return (int)n;
        if (n == victims->len)
            return -1;
        const victim *v = &g_array_index(victims, victim, n);
        mv_room_add(&room, v->p, 1);
        *lost += v->lost;
    }
}

typedef struct {
    machine *m;
    double lost;
} place_to_clear;

static gint by_price(gconstpointer a, gconstpointer b)
{
    const place_to_clear *x = a, *y = b;
    if (x->lost != y->lost)
        return x->lost < y->lost ? -1 : 1;
    return x->m->at < y->m->at ? -1 : x->m->at > y->m->at;
}

/* Machines where room can be made, cheapest first. */
static GArray *places_to_clear(mv_core *c, job *j, GArray *victims)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(place_to_clear));
    for (guint i = 0; i < c->open->len; i++) {
        machine *m = g_ptr_array_index(c->open, i);
        if (m->shard != j->home || !mv_allowed_on(c, j, m))
            continue;
        place_to_clear x = {.m = m};
        victims_on(c, j, m, victims);
        if (price_of(c, j, m, victims, &x.lost) < 0)
            continue;
        /* Where the image takes longer to come than the aim allows, the room is worth less. */
        double fetch = mv_fetch_left(c, j, m);
        x.lost += fetch > mv_start_aim(c, j) ? fetch * j->spec.cores : 0;
        g_array_append_val(out, x);
    }
    g_array_sort(out, by_price);
    return out;
}

static void stop_for(mv_core *c, const job *claimant, machine *m, placement *p)
{
    p->abrupt = !saves_for(c, claimant, p, p->of);
    mv_stop_placement(c, m, p);
}

static void stop_victims(mv_core *c, const job *j, machine *m, const GArray *victims, int count)
{
    for (int i = 0; i < count; i++) {
        const victim *v = &g_array_index(victims, victim, (guint)i);
        stop_for(c, j, m, v->p);
        c->counts.preempted++;
        mv_debug("preempt", "task=%s/%u machine=%s for=%s lost=%.0f", v->p->job, v->p->index, m->id,
                 j->spec.id, v->lost);
    }
}

/* Only work that is to start within seconds is worth the work it costs others. */
bool mv_starts_soon(const mv_core *c, const job *j)
{
    return mv_start_aim(c, j) < MV_SOON_S;
}

void mv_promise(mv_core *c, machine *m, const job *j)
{
    if (m->promised.cores == 0 && m->promised.ram == 0 && m->promised.cards == 0)
        g_ptr_array_add(c->promised, m);
    m->promised.cores += j->spec.cores;
    m->promised.cards += j->spec.cards;
    m->promised.ram += j->spec.ram_gb;
    j->team->promised_cores += j->spec.cores;
}

/* Whether the team's limit, not the machines, stands in the way, even once all that is told to stop
 * has gone. */
static bool limit_short(const job *j)
{
    const team *t = j->team;
    double coming = t->used_cores - t->stopping_cores + t->promised_cores;
    return t->conf->cpus_max > 0 &&
           coming + j->home->unknown.cores + j->spec.cores > t->conf->cpus_max + MV_ROUNDING;
}

typedef struct {
    machine *m;
    victim v;
} own_victim;

static gint by_own_loss(gconstpointer a, gconstpointer b)
{
    const own_victim *x = a, *y = b;
    return x->v.lost < y->v.lost ? -1 : x->v.lost > y->v.lost;
}

/* Room within the limit: the team's own work of lower urgency that loses least gives way. */
static unsigned stop_own(mv_core *c, job *j, unsigned want)
{
    g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(own_victim));
    for (guint i = 0; i < c->open->len; i++) {
        machine *m = g_ptr_array_index(c->open, i);
        if (m->shard != j->home || !mv_allowed_on(c, j, m))
            continue;
        for (guint k = 0; k < m->placements->len; k++) {
            placement *p = g_ptr_array_index(m->placements, k);
            if (!is_stoppable(p) || p->team != j->team || p->cores < j->spec.cores ||
                p->of->spec.urgency <= j->spec.urgency)
                continue;
            own_victim x = {.m = m, .v = {.p = p, .lost = lost_work(c, j, p, p->of)}};
            g_array_append_val(list, x);
        }
    }
    g_array_sort(list, by_own_loss);
    unsigned n = MIN(want, list->len);
    for (unsigned i = 0; i < n; i++) {
        const own_victim *x = &g_array_index(list, own_victim, i);
        stop_for(c, j, x->m, x->v.p);
        c->counts.preempted++;
        mv_promise(c, x->m, j);
        mv_debug("preempt_own", "task=%s/%u machine=%s for=%s lost=%.0f", x->v.p->job,
                 x->v.p->index, x->m->id, j->spec.id, x->v.lost);
    }
    return n;
}

/* Room for up to `want` tasks: one sorted list of machines serves them all. */
static void clear_places(mv_core *c, job *j, unsigned want)
{
    g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(victim));
    g_autoptr(GArray) places = places_to_clear(c, j, victims);
    for (guint i = 0; i < places->len && want; i++) {
        machine *m = g_array_index(places, place_to_clear, i).m;
        while (want && !limit_short(j)) {
            double lost;
            victims_on(c, j, m, victims);
            int n = price_of(c, j, m, victims, &lost);
            if (n < 0)
                break;
            stop_victims(c, j, m, victims, n);
            mv_promise(c, m, j);
            want--;
        }
    }
}

void mv_preempt_for(mv_core *c, job *j)
{
    if (!mv_starts_soon(c, j))
        return;
    unsigned want = MIN(j->waiting->len, MV_PREEMPT_AT_ONCE);
    /* Promises last one round, so a small fleet, where a look costs little, is asked each time. */
    if (c->open->len > MV_WATCH_LEAST)
        j->next_preempt = c->now + MV_PREEMPT_PAUSE_S;
    c->work += MV_PREEMPT_WORK * c->open->len;
    if (limit_short(j))
        want -= stop_own(c, j, want);
    clear_places(c, j, want);
}

/* Promises hold within one round; those made for what is still waiting are made again. */
void mv_preempt_begin(mv_core *c)
{
    for (size_t i = 0; i < c->conf->n_teams; i++)
        c->teams[i].promised_cores = 0;
    for (guint i = 0; i < c->promised->len; i++)
        ((machine *)g_ptr_array_index(c->promised, i))->promised = (mv_room){0};
    g_ptr_array_set_size(c->promised, 0);
}
