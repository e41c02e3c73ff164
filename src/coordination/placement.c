/* Fair Root Input Size: a task goes where most of its image's bytes lie; tasks whose image is
 * cached nowhere go round the machines in turn. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <math.h>
#include <string.h>

void mv_note_placed(mv_core *c, machine *m, job *j, placement *p)
{
    g_strlcpy(p->job, j->spec.id, sizeof p->job);
    p->tenure = m->tenure;
    p->team = j->team;
    p->cores = j->spec.cores;
    p->cards = j->spec.cards;
    p->ram_gb = j->spec.ram_gb;
    p->placed_at = c->now;
    p->team->used_cores += p->cores;
    p->team->used_cards += p->cards;
    g_ptr_array_add(m->placements, p);
    j->state[p->piece] = T_PLACED;
    j->n_placed++;
}

static bool aims_at_class(const mv_objective *o, mv_objective_kind kind, const job *j)
{
    return o->kind == kind && strcmp(o->lane, j->spec.lane) == 0;
}

/* Whether the class of the job has an aim for its start, not just its team's guarantee. */
static bool rush(const mv_core *c, const job *j)
{
    for (size_t i = 0; i < c->conf->n_objectives; i++)
        if (aims_at_class(&c->conf->objectives[i], MV_OBJ_WAIT, j))
            return true;
    return false;
}

/* --- limits --- */

/* Tasks of a predecessor on machines not yet heard of count at the most they can be. */
static void unknown_use(const mv_core *c, const shard *s, double *cores, double *cards)
{
    *cores = *cards = 0;
    for (guint i = 0; i < c->turn->len; i++) {
        const machine *m = g_ptr_array_index(c->turn, i);
        const mv_type *t = mv_type_of(c, m);
        if (m->shard == s && t && !GUARD(UNKNOWN, !mv_may_hold_tasks(m) && !m->strangers)) {
            *cores += t->cores;
            *cards += t->cards;
        }
    }
}

double mv_unknown_cores(const mv_core *c, const shard *s)
{
    double cores, cards;
    unknown_use(c, s, &cores, &cards);
    return cores;
}

/* Work that must start soon finds room within its team's limit: the team's other work leaves some,
 * as much as such jobs lately took. A full limit was what most rush work waited for. */
static double kept_free(const mv_core *c, const job *j)
{
    const team *t = j->team;
    if (rush(c, j))
        return 0;
    double keep = MIN(t->soon_size, MV_KEEP_SHARE * t->conf->cpus_max);
    return MAX(0, keep - t->soon_used);
}

static bool within_limit(const mv_core *c, const job *j)
{
    const mv_team *t = j->team->conf;
    double cores, cards;
    if (t->cpus_max <= 0 && t->gpus_max <= 0)
        return true;
    unknown_use(c, j->team->shard, &cores, &cards);
    bool cores_fit =
        t->cpus_max <= 0 ||
        j->team->used_cores + cores + j->spec.cores + kept_free(c, j) <= t->cpus_max + MV_ROUNDING;
    bool cards_fit = t->gpus_max <= 0 ||
                     j->team->used_cards + cards + j->spec.cards <= t->gpus_max + MV_ROUNDING;
    return GUARD(LIMIT, cores_fit && cards_fit);
}

/* After a take-over a task known from before may run on a machine that is still silent. */
static bool perhaps_running(const mv_core *c, const job *j)
{
    const shard *s = j->team->shard;
    if (s->rebuilt || j->stamp > s->grant_stamp)
        return false;
    for (guint i = 0; i < c->turn->len; i++) {
        const machine *m = g_ptr_array_index(c->turn, i);
        bool holds_none =
            m->shard != s || !mv_may_hold_tasks(m) || (mv_type_of(c, m) && !mv_allowed_on(c, j, m));
        if (!GUARD(REBUILD, holds_none))
            return true;
    }
    return false;
}

/* --- zones --- */

static bool zone_ok(const mv_core *c, const job *j, const machine *m)
{
    if (!j->spec.together && !j->spec.apart)
        return true;
    unsigned here = 0, elsewhere = 0;
    for (guint i = 0; i < c->turn->len; i++) {
        const machine *other = g_ptr_array_index(c->turn, i);
        for (guint k = 0; k < other->placements->len; k++) {
            const placement *p = g_ptr_array_index(other->placements, k);
            if (strcmp(p->job, j->spec.id) != 0)
                continue;
            if (strcmp(other->yard, m->yard) == 0)
                here++;
            else
                elsewhere++;
        }
    }
    if (j->spec.together && elsewhere)
        return false;
    return !j->spec.apart || here + 1 <= (j->spec.pieces + 1) / 2;
}

/* --- choosing a machine --- */

static bool has_room(const mv_core *c, const job *j, const machine *m)
{
    double cores, cards, ram, later_cores, later_cards, later_ram;
    if (m->placements->len >= MV_MAX_ON_MACHINE)
        return false;
    mv_machine_free_room(c, m, &cores, &cards, &ram);
    /* Room that others are being stopped for is not for whoever comes next. */
    mv_coming_room(c, m, &later_cores, &later_cards, &later_ram);
    return mv_fits(j, MIN(cores, later_cores), MIN(cards, later_cards), MIN(ram, later_ram));
}

/* The shortest time within which an aim wants this job's tasks started; G_MAXDOUBLE: none. */
double mv_start_aim(const mv_core *c, const job *j)
{
    double aim = G_MAXDOUBLE;
    for (size_t i = 0; i < c->conf->n_objectives; i++) {
        const mv_objective *o = &c->conf->objectives[i];
        bool applies =
            aims_at_class(o, MV_OBJ_WAIT, j) || (o->kind == MV_OBJ_GUARANTEE && j->guaranteed);
        if (applies)
            aim = MIN(aim, o->within_s);
    }
    return aim;
}

static double fetch_time(const mv_core *c, const job *j, const machine *m)
{
    const mv_type *t = mv_type_of(c, m);
    return t && t->pull_rate > 0 ? j->spec.pull_gb / t->pull_rate : 0;
}

/* Waiting for a cached image longer than fetching it here would take can gain nothing, and work
 * that should start within seconds has few to give away. */
static double image_wait(const mv_core *c, const job *j, const machine *m)
{
    double limit = MIN(c->conf->tune.image_wait_s, MV_START_SHARE * mv_start_aim(c, j));
    return MIN(limit, fetch_time(c, j, m));
}

/* What a machine is worth to a task: that it keeps pace with its fellows, then its image's bytes
 * cached there, then, for work that must start soon, how quickly it could be fetched, then, for a
 * task smaller than others about, how little room would be left. Strictly in turn, two-core tasks
 * came to sit on every machine and tasks of a machine's size fitted nowhere, with half of the cores
 * free. */
typedef struct {
    bool last; /* slower than its fellows, or a task of this job failed there */
    double bytes, fetch, left;
} worth;

/* Seconds until the image would be there; a fetch that is under way for another task counts. */
double mv_fetch_left(const mv_core *c, const job *j, const machine *m)
{
    if (mv_has_image(m, j->spec.bundle))
        return 0;
    double left = fetch_time(c, j, m);
    for (guint i = 0; i < m->placements->len; i++) {
        const placement *p = g_ptr_array_index(m->placements, i);
        const job *other = g_hash_table_lookup(c->jobs, p->job);
        if (other && p->running_at == 0 && strcmp(other->spec.bundle, j->spec.bundle) == 0)
            left = MIN(left, MAX(0, left - (c->now - p->placed_at)));
    }
    return left;
}

static worth worth_of(const mv_core *c, const job *j, const machine *m)
{
    worth w = {.last = mv_is_slow(m) || g_hash_table_contains(m->failed_jobs, j->spec.id),
               .bytes = mv_has_image(m, j->spec.bundle) ? MAX(j->spec.pull_gb, MV_ROUNDING) : 0};
    w.fetch = mv_starts_soon(c, j) ? mv_fetch_left(c, j, m) : 0;
    double cards, ram;
    if (j->spec.cores < c->large_cores)
        mv_machine_free_room(c, m, &w.left, &cards, &ram);
    return w;
}

static bool better(const worth *a, const worth *b)
{
    if (a->last != b->last)
        return b->last;
    if (a->bytes != b->bytes)
        return a->bytes > b->bytes;
    if (fabs(a->fetch - b->fetch) > MV_FETCH_STEP_S)
        return a->fetch < b->fetch;
    return a->left < b->left - MV_ROUNDING;
}

static machine *choose(mv_core *c, const job *j)
{
    bool cached_somewhere = false;
    machine *best = NULL;
    worth best_worth = {0};
    guint best_at = 0;
    for (guint k = 0; k < c->turn->len; k++) {
        guint at = (c->next_turn + k) % c->turn->len;
        machine *m = g_ptr_array_index(c->turn, at);
        if (m->shard != j->team->shard || !mv_usable(c, m) || c->now < m->no_room_until ||
            !mv_allowed_on(c, j, m))
            continue;
        worth w = worth_of(c, j, m);
        cached_somewhere = cached_somewhere || w.bytes > 0;
        if ((best && !better(&w, &best_worth)) || !has_room(c, j, m) || !zone_ok(c, j, m))
            continue;
        best = m;
        best_worth = w;
        best_at = at;
    }
    if (!best)
        return NULL;
    if (cached_somewhere && best_worth.bytes == 0 && c->now < j->ready_at + image_wait(c, j, best))
        return NULL; /* a machine that has the image may get room */
    c->next_turn = best_at + 1;
    return best;
}

static void place(mv_core *c, job *j, machine *m)
{
    placement *p = g_new0(placement, 1);
    guint last = j->waiting->len - 1;
    p->piece = g_array_index(j->waiting, uint32_t, last);
    g_array_set_size(j->waiting, last);
    /* The term makes attempts of successive owners differ, the counter those of one owner. */
    p->attempt = (mv_token(m) << MV_ATTEMPT_BITS) | (++c->attempts & ((1u << MV_ATTEMPT_BITS) - 1));
    mv_note_placed(c, m, j, p);
    if (rush(c, j))
        j->team->soon_used += p->cores;
    m->wants_command = true;
    c->counts.placed++;
    mv_debug("place", "piece=%s/%u machine=%s waited_s=%.2f cached=%d", j->spec.id, p->piece, m->id,
             c->now - j->ready_at, mv_has_image(m, j->spec.bundle));
}

/* --- order --- */

static gint by_arrival(gconstpointer a, gconstpointer b)
{
    const job *x = *(job *const *)a, *y = *(job *const *)b;
    if (x->accepted_at != y->accepted_at)
        return x->accepted_at < y->accepted_at ? -1 : 1;
    return strcmp(x->spec.id, y->spec.id);
}

/* When the job should be over: its own deadline or the aim of its class, whichever is sooner. */
static double due_at(const mv_core *c, const job *j)
{
    double due = j->spec.due_s < 0 ? G_MAXDOUBLE : j->spec.due_s;
    for (size_t i = 0; i < c->conf->n_objectives; i++) {
        const mv_objective *o = &c->conf->objectives[i];
        if (aims_at_class(o, MV_OBJ_FINISHED, j))
            due = MIN(due, o->within_s);
    }
    return due == G_MAXDOUBLE ? due : j->accepted_at + due;
}

/* Guaranteed work first, then urgency; then what can still be in time before what cannot (serving
 * the hopeless first makes the rest hopeless too), and of that the least work first. */
static gint by_claim(gconstpointer a, gconstpointer b)
{
    const job *x = *(job *const *)a, *y = *(job *const *)b;
    if (x->guaranteed != y->guaranteed)
        return x->guaranteed ? -1 : 1;
    if (x->spec.urgency != y->spec.urgency)
        return x->spec.urgency < y->spec.urgency ? -1 : 1;
    if (x->doomed != y->doomed)
        return x->doomed ? 1 : -1;
    if (!x->doomed && x->work != y->work)
        return x->work < y->work ? -1 : 1;
    return by_arrival(a, b);
}

/* What a team's work that must start soon uses now, and how much such a job usually asks. */
static void note_soon(const mv_core *c, job *j)
{
    if (!rush(c, j))
        return;
    j->team->soon_used += j->n_placed * j->spec.cores;
    if (!j->counted)
        j->team->soon_size +=
            MV_SOON_SMOOTH * (j->spec.cores * j->spec.pieces - j->team->soon_size);
    j->counted = true;
}

/* A job is guaranteed when it fits its team's share along with the team's earlier unfinished
 * jobs. */
static void judge(mv_core *c, GPtrArray *jobs)
{
    g_autofree double *sum = g_new0(double, c->conf->n_teams);
    g_ptr_array_sort(jobs, by_arrival);
    c->large_cores = 0;
    for (size_t i = 0; i < c->conf->n_teams; i++)
        c->teams[i].soon_used = 0;
    for (guint i = 0; i < jobs->len; i++) {
        job *j = g_ptr_array_index(jobs, i);
        c->large_cores = MAX(c->large_cores, j->spec.cores);
        size_t t = (size_t)(j->team - c->teams);
        sum[t] += j->spec.cores * (j->spec.pieces - j->n_done);
        j->guaranteed = j->team->conf->cpus > 0 && sum[t] <= j->team->conf->cpus + MV_ROUNDING;
        double due = due_at(c, j);
        double run = mv_job_guess(c, j);
        j->doomed = due < c->now + run;
        j->work = j->spec.cores * j->waiting->len * run;
        note_soon(c, j);
    }
}

static void fill_from(mv_core *c, job *j)
{
    while (j->waiting->len && within_limit(c, j)) {
        machine *m = choose(c, j);
        if (!m)
            return;
        place(c, j, m);
    }
}

void mv_place_round(mv_core *c)
{
    c->counts.rounds++;
    g_autoptr(GPtrArray) jobs = g_ptr_array_new();
    unsigned waiting = 0, running = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        job *j = v;
        if (!mv_job_mine(c, j))
            continue;
        g_ptr_array_add(jobs, j);
        waiting += j->waiting->len;
        running += j->n_running;
    }
    judge(c, jobs);
    mv_preempt_begin(c);
    g_ptr_array_sort(jobs, by_claim);
    for (guint i = 0; i < jobs->len; i++) {
        job *j = g_ptr_array_index(jobs, i);
        if (!j->waiting->len || c->now < j->backoff_until || perhaps_running(c, j))
            continue;
        fill_from(c, j);
        if (j->waiting->len)
            mv_preempt_for(c, j);
    }
    c->counts.waiting = waiting;
    c->counts.running = running;
}
