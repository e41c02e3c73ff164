/* Fair Root Input Size: a task goes where most of its image's bytes lie; tasks whose image is
 * cached nowhere go round the machines in turn. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

#include <stdlib.h>
#include <string.h>

/* Least work first makes large jobs late, and without end while small ones keep coming. So a job of
 * which nothing has run yet precedes its equals after a while, and everything after a longer one,
 * until its first task is placed: one task of one job at a time, so guarantees lose no more. */
static unsigned starved(const mv_core *c, const job *j)
{
    double age = c->now - j->accepted_at;
    if (j->n_placed || j->n_done || age < MV_STARVED_S || GUARD(STARVED, false))
        return 0;
    return age < MV_STARVED_MOST_S ? 1 : 2;
}

void mv_note_placed(mv_core *c, machine *m, job *j, placement *p)
{
    g_strlcpy(p->job, j->spec.id, sizeof p->job);
    p->session = m->session; // NOLINT(clang-analyzer-core.NullDereference): every caller has one
    p->team = j->team;
    p->cores = j->spec.cores;
    p->cards = j->spec.cards;
    p->ram_gb = j->spec.ram_gb;
    p->service = j->spec.service;
    p->placed_at = c->now;
    p->of = j;
    /* Stopped for others within a second, such a task was placed and stopped without end. */
    p->kept = starved(c, j) > 1;
    mv_room_add(&m->taken, p, 1);
    p->team->used_cores += p->cores;
    p->team->used_cards += p->cards;
    g_ptr_array_add(m->placements, p);
    j->state[p->index] = T_PLACED;
    mv_job_in_zone(j, m, 1);
    j->n_placed++;
}

/* --- limits --- */

/* Tasks of a predecessor on machines not yet heard of count at the most they can be. */
static void note_unknown(mv_core *c)
{
    g_ptr_array_set_size(c->silent, 0);
    for (guint i = 0; i < c->shards->len; i++)
        ((shard *)g_ptr_array_index(c->shards, i))->unknown = (mv_room){0};
    for (guint i = 0; i < c->rotation->len; i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        bool silent = mv_may_hold_tasks(m);
        const mv_type *t = mv_type_of(c, m);
        if (silent)
            g_ptr_array_add(c->silent, m);
        if (m->shard && t && !GUARD(UNKNOWN, !silent && !m->unknown_tasks)) {
            m->shard->unknown.cores += t->cores;
            m->shard->unknown.cards += t->cards;
        }
    }
}

/* None of its tasks found a place for so long that whatever is kept for others gives way: no job
 * may be left waiting while there is room. */
bool mv_waits_long(const mv_core *c, const job *j)
{
    bool recent = c->now <= MAX(j->ready_at, j->placed_at) + MV_WAITS_LONG_S;
    return j->waiting->len && !GUARD(WAITS_LONG, recent);
}

/* Work that must start soon finds room within its team's limit: the team's other work leaves some,
 * as much as such jobs lately took. A full limit was what most rush work waited for. */
static double kept_free(const mv_core *c, const job *j)
{
    const team *t = j->team;
    if (j->rush || j->spec.service || mv_waits_long(c, j))
        return 0;
    double keep = MIN(t->soon_size, MV_KEEP_SHARE * t->conf->cpus_max);
    /* Where the team's own work saves its progress, room is made when it is needed: kept free as
     * well, it left such work waiting for MV_WAITS_LONG_S. */
    return MAX(0, keep - t->soon_used - t->yielding_cores);
}

static bool within_limit(const mv_core *c, const job *j)
{
    const mv_team *t = j->team->conf;
    const mv_room *unknown = &j->home->unknown;
    bool cores_fit = t->cpus_max <= 0 || j->team->used_cores + unknown->cores +
                                                 j->team->held_cores + j->spec.cores +
                                                 kept_free(c, j) <=
                                             t->cpus_max + MV_ROUNDING;
    bool cards_fit = t->gpus_max <= 0 || j->team->used_cards + unknown->cards + j->spec.cards <=
                                             t->gpus_max + MV_ROUNDING;
    return GUARD(LIMIT, cores_fit && cards_fit);
}

/* After a take-over a task known from before may run on a machine that is still silent. */
static bool perhaps_running(const mv_core *c, job *j)
{
    const shard *s = j->home;
    if (s->rebuilt || j->stamp > s->grant_stamp)
        return false;
    for (guint i = 0; i < c->silent->len; i++) {
        const machine *m = g_ptr_array_index(c->silent, i);
        bool holds_none = m->shard != s || (mv_type_of(c, m) && !mv_allowed_on(c, j, m));
        if (!GUARD(REBUILD, holds_none))
            return true;
    }
    return false;
}

/* --- zones --- */

static bool zone_ok(const job *j, const machine *m)
{
    if (GUARD(ZONE, !j->spec.together && !j->spec.apart))
        return true;
    unsigned here = m->zone < j->in_zone->len ? g_array_index(j->in_zone, unsigned, m->zone) : 0;
    if (j->spec.together && here < j->n_placed)
        return false;
    return !j->spec.apart || here + 1 <= (j->spec.tasks + 1) / 2;
}

/* --- choosing a machine --- */

static bool has_room(const mv_core *c, const job *j, const machine *m)
{
    if (m->placements->len >= MV_MAX_ON_MACHINE)
        return false;
    /* Room that others are being stopped for is not for whoever comes next. */
    mv_room now = mv_free_room(c, m), later = mv_coming_room(c, m);
    return mv_fits(j, &now) && mv_fits(j, &later);
}

typedef struct {
    machine *m;
    mv_worth w;
    guint turn; /* places after the one whose turn it is */
} candidate;

static gint by_worth(gconstpointer a, gconstpointer b)
{
    const candidate *x = a, *y = b;
    if (mv_better(&x->w, &y->w))
        return -1;
    if (mv_better(&y->w, &x->w))
        return 1;
    return x->turn < y->turn ? -1 : x->turn > y->turn;
}

/* Machines with room for a task of the job, best first; `cached` tells whether any machine at all,
 * with room or without, has its image. */
static GArray *candidates(mv_core *c, job *j, bool *cached)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(candidate));
    guint n = c->rotation->len;
    *cached = false;
    for (guint i = 0; i < c->open->len; i++) {
        machine *m = g_ptr_array_index(c->open, i);
        if (m->shard != j->home || !mv_allowed_on(c, j, m))
            continue;
        /* A drained machine is used last: no task waits for room on it. */
        *cached = *cached || (!m->draining && mv_has_image(m, j->image));
        if (!has_room(c, j, m))
            continue;
        candidate x = {
            .m = m, .w = mv_worth_of(c, j, m), .turn = (m->at + n - c->next_in_rotation % n) % n};
        g_array_append_val(out, x);
    }
    g_array_sort(out, by_worth);
    c->work += c->open->len;
    return out;
}

/* Whether the machine may take one more task of the job now. */
static bool may_take(const mv_core *c, job *j, const machine *m)
{
    return m->shard == j->home && mv_usable(c, m) && mv_allowed_on(c, j, m) && has_room(c, j, m) &&
           zone_ok(j, m);
}

/* The best machine with room for one more task of the job, outside of rounds. */
machine *mv_room_for(const mv_core *c, job *j)
{
    machine *best = NULL;
    mv_worth best_worth = {0};
    for (guint i = 0; i < c->rotation->len; i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        if (!may_take(c, j, m))
            continue;
        mv_worth w = mv_worth_of(c, j, m);
        if (best && !mv_better(&w, &best_worth))
            continue;
        best = m;
        best_worth = w;
    }
    return best;
}

#ifdef MV_BREAKABLE
unsigned mv_unlike_plain;

/* One task's machine by the plain definition, without the batches below. */
static const machine *choose_plainly(mv_core *c, job *j)
{
    const machine *best = NULL;
    mv_worth best_worth = {0};
    guint n = c->rotation->len;
    for (guint k = 0; k < n; k++) {
        const machine *m = g_ptr_array_index(c->rotation, (c->next_in_rotation + k) % n);
        if (c->now < m->no_room_until || !may_take(c, j, m))
            continue;
        mv_worth w = mv_worth_of(c, j, m);
        if (best && !mv_better(&w, &best_worth))
            continue;
        best = m;
        best_worth = w;
    }
    return best;
}
#endif

static void place(mv_core *c, job *j, machine *m)
{
#ifdef MV_BREAKABLE
    mv_unlike_plain += choose_plainly(c, j) != m;
#endif
    placement *p = g_new0(placement, 1);
    guint last = j->waiting->len - 1;
    p->index = g_array_index(j->waiting, uint32_t, last);
    g_array_set_size(j->waiting, last);
    /* The term makes attempts of successive owners differ, the counter those of one owner. */
    p->attempt = (mv_token(m) << MV_ATTEMPT_BITS) | (++c->attempts & ((1u << MV_ATTEMPT_BITS) - 1));
    mv_note_placed(c, m, j, p);
    if (j->rush)
        j->team->soon_used += p->cores;
    mv_want_command(c, m);
    c->next_in_rotation = m->at + 1;
    j->placed_at = c->now;
    c->counts.placed++;
    mv_debug("place", "task=%s/%u machine=%s waited_s=%.2f cached=%d", j->spec.id, p->index, m->id,
             c->now - j->ready_at, mv_has_image(m, j->image));
}

/* --- order --- */

static gint by_arrival(gconstpointer a, gconstpointer b)
{
    const job *x = *(job *const *)a, *y = *(job *const *)b;
    if (x->accepted_at != y->accepted_at)
        return x->accepted_at < y->accepted_at ? -1 : 1;
    return strcmp(x->spec.id, y->spec.id);
}

/* A service that is short of replicas: they are few and small, and users miss them at once. */
bool mv_comes_first(const job *j)
{
    return j->spec.service && (j->guaranteed || j->spec.urgency == MV_PROD);
}

/* Guaranteed work first, then urgency; then what can still be in time before what cannot (serving
 * the hopeless first makes the rest hopeless too), and of that the least work first. */
static gint by_claim(gconstpointer a, gconstpointer b)
{
    const job *x = *(job *const *)a, *y = *(job *const *)b;
    if (mv_comes_first(x) != mv_comes_first(y))
        return mv_comes_first(x) ? -1 : 1;
    if ((x->starved > 1) != (y->starved > 1))
        return x->starved > 1 ? -1 : 1;
    if (x->guaranteed != y->guaranteed)
        return x->guaranteed ? -1 : 1;
    if (x->spec.urgency != y->spec.urgency)
        return x->spec.urgency < y->spec.urgency ? -1 : 1;
    if (x->starved != y->starved)
        return x->starved ? -1 : 1;
    if (x->doomed != y->doomed)
        return x->doomed ? 1 : -1;
    if (!x->doomed && x->work != y->work)
        return x->work < y->work ? -1 : 1;
    return by_arrival(a, b);
}

/* What a team's work that must start soon uses now, and how much such a job usually asks. */
static void note_soon(job *j)
{
    if (!j->rush)
        return;
    j->team->soon_urgency = j->spec.urgency;
    j->team->soon_used += j->n_placed * j->spec.cores;
    if (!j->counted)
        j->team->soon_size += MV_SOON_SMOOTH * (j->spec.cores * j->spec.tasks - j->team->soon_size);
    j->counted = true;
}

/* What of the team's own work gives way to such work with little loss. */
static void note_yielding(const job *j)
{
    if (j->spec.mark_every_s > 0 && j->spec.urgency > j->team->soon_urgency)
        j->team->yielding_cores += j->n_placed * j->spec.cores;
}

static void forget_sums(team *t)
{
    t->soon_used = t->yielding_cores = 0;
    t->held_cores = t->service_cores = 0;
}

/* A job is guaranteed when it fits its team's share along with the team's earlier unfinished
 * jobs. */
static void judge(mv_core *c, GPtrArray *jobs)
{
    g_autofree double *sum = g_new0(double, c->conf->n_teams);
    g_ptr_array_sort(jobs, by_arrival);
    c->large_cores = 0;
    for (size_t i = 0; i < c->conf->n_teams; i++)
        forget_sums(&c->teams[i]);
    for (guint i = 0; i < jobs->len; i++) {
        job *j = g_ptr_array_index(jobs, i);
        c->large_cores = MAX(c->large_cores, j->spec.cores);
        size_t t = (size_t)(j->team - c->teams);
        sum[t] += j->spec.cores * (j->spec.tasks - j->n_done);
        j->guaranteed = j->team->conf->cpus > 0 && sum[t] <= j->team->conf->cpus + MV_ROUNDING;
        double run = mv_job_guess(c, j);
        j->doomed = j->finish_by < c->now + run;
        j->starved = starved(c, j);
        j->team->service_cores += j->spec.service ? j->n_placed * j->spec.cores : 0;
        j->work = j->spec.cores * j->waiting->len * run;
        note_soon(j);
        note_yielding(j);
    }
}

/* Whether a task that asks for no more than this one found no machine in this round. Under overload
 * most jobs learn so without a look at the fleet. */
static bool hopeless(const mv_core *c, job *j)
{
    uint32_t types = mv_job_types(c, j);
    for (guint i = 0; i < c->unplaced->len; i++) {
        const job *x = g_ptr_array_index(c->unplaced, i);
        if (x->home == j->home && x->spec.cores <= j->spec.cores &&
            x->spec.cards <= j->spec.cards && x->spec.ram_gb <= j->spec.ram_gb &&
            (types & ~x->types) == 0 && (x->spec.spot || !j->spec.spot))
            return true;
    }
    return false;
}

static void note_unplaced(mv_core *c, job *j)
{
    bool anywhere = !j->spec.has_zone && !j->spec.together && !j->spec.apart;
    if (anywhere && c->unplaced->len < MV_UNPLACED_KINDS)
        g_ptr_array_add(c->unplaced, j);
}

static gint by_turn(gconstpointer a, gconstpointer b)
{
    const candidate *x = a, *y = b;
    return x->turn < y->turn ? -1 : x->turn > y->turn;
}

/* The end of those that are worth as much as the one at `from`; they come in turn from the machine
 * that is next now. */
static guint group_of(const mv_core *c, GArray *list, guint from)
{
    candidate *first = &g_array_index(list, candidate, from);
    guint to = from, n = c->rotation->len;
    while (to < list->len && !mv_better(&first->w, &g_array_index(list, candidate, to).w)) {
        candidate *x = &g_array_index(list, candidate, to++);
        x->turn = (x->m->at + n - c->next_in_rotation % n) % n;
    }
    qsort(first, to - from, sizeof *first, by_turn);
    return to;
}

/* One task on each machine of a group, again and again; or, where the fullest comes first, as many
 * as it takes on one after the other. False: the limit is reached, or nothing is left to place. */
static bool fill_group(mv_core *c, job *j, const GArray *list, guint from, guint to, guint least)
{
    bool fullest = j->spec.cores < c->large_cores, any = true;
    while (any) {
        any = false;
        for (guint i = from; i < to; i++) {
            machine *m = g_array_index(list, candidate, i).m;
            while (has_room(c, j, m) && zone_ok(j, m)) {
                if (j->waiting->len <= least || !within_limit(c, j))
                    return false;
                place(c, j, m);
                any = !fullest;
                if (!fullest)
                    break;
            }
        }
    }
    return true;
}

/* Replicas are placed one by one: each changes what the next machine is worth to its mates. */
static void place_replicas(mv_core *c, job *j)
{
    bool cached;
    while (j->waiting->len && within_limit(c, j)) {
        g_autoptr(GArray) list = candidates(c, j, &cached);
        guint i = 0;
        while (i < list->len && !zone_ok(j, g_array_index(list, candidate, i).m))
            i++;
        if (i == list->len)
            return;
        const candidate *best = &g_array_index(list, candidate, i);
        if (cached && best->w.bytes == 0 && c->now < j->ready_at + mv_image_wait(c, j, best->m))
            return;
        place(c, j, best->m);
    }
}

/* Places tasks on the best machines. What is told to each machine does not change another's worth,
 * so one sorted list serves all tasks of the job. */
static void fill_from(mv_core *c, job *j)
{
    bool cached;
    guint least = j->starved > 1 && j->waiting->len ? j->waiting->len - 1 : 0;
    if (hopeless(c, j))
        return;
    if (j->spec.service) {
        place_replicas(c, j);
        return;
    }
    g_autoptr(GArray) list = candidates(c, j, &cached);
    for (guint from = 0, to; from < list->len && j->waiting->len > least; from = to) {
        const candidate *first = &g_array_index(list, candidate, from);
        if (cached && first->w.bytes == 0 && c->now < j->ready_at + mv_image_wait(c, j, first->m))
            return; /* a machine that has the image may get room */
        to = group_of(c, list, from);
        if (!fill_group(c, j, list, from, to, least))
            return;
    }
    if (j->waiting->len > least)
        note_unplaced(c, j);
}

/* Where a starved job's task fits nowhere, the machine that comes closest takes nothing else until
 * it does: small tasks would fill each gap that a large one waits for. */
static void hold_room(mv_core *c, job *j)
{
    machine *best = NULL;
    double best_lack = 0;
    if (j->starved < 2 || j->n_placed)
        return;
    if (!within_limit(c, j)) {
        /* The same for the limit of its team, unless replicas, which do not end, leave no room for
         * it: held for nothing, it kept a lost replica from coming back. */
        double lasting = j->team->service_cores + j->spec.cores;
        if (lasting <= j->team->conf->cpus_max + MV_ROUNDING)
            j->team->held_cores = MAX(j->team->held_cores, j->spec.cores);
        return;
    }
    for (guint i = 0; i < c->open->len; i++) {
        machine *m = g_ptr_array_index(c->open, i);
        if (m->shard != j->home || !mv_allowed_on(c, j, m))
            continue;
        mv_room room = mv_coming_room(c, m);
        double lack = MAX(j->spec.cores - room.cores, 0) + MAX(j->spec.ram_gb - room.ram, 0);
        if (best && lack >= best_lack)
            continue;
        best = m;
        best_lack = lack;
    }
    c->work += c->open->len;
    if (best)
        mv_promise(c, best, j);
}

/* Jobs of ours that wait, with what the order needs; `waiting` and `running` count tasks. */
static GPtrArray *jobs_of_round(mv_core *c)
{
    GPtrArray *jobs = g_ptr_array_new();
    c->counts.waiting = c->counts.running = 0;
    for (guint i = 0; i < c->shards->len; i++)
        ((shard *)g_ptr_array_index(c->shards, i))->needed = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        job *j = v;
        if (!mv_job_mine(c, j))
            continue;
        g_ptr_array_add(jobs, j);
        c->counts.waiting += j->waiting->len;
        uint32_t types = mv_job_types(c, j);
        if (j->waiting->len && types && !(types & (types - 1)))
            j->home->needed |= types; /* the only one that takes it */
        c->counts.running += j->n_running;
    }
    return jobs;
}

/* Machines that may take something in this round, looked up once for all its jobs. */
static void open_machines(mv_core *c)
{
    g_ptr_array_set_size(c->open, 0);
    for (guint i = 0; i < c->rotation->len; i++) {
        machine *m = g_ptr_array_index(c->rotation, i);
        if (mv_usable(c, m) && c->now >= m->no_room_until)
            g_ptr_array_add(c->open, m);
    }
}

void mv_place_round(mv_core *c)
{
    c->counts.rounds++;
    g_autoptr(GPtrArray) jobs = jobs_of_round(c);
    judge(c, jobs);
    c->work = jobs->len;
    g_ptr_array_set_size(c->unplaced, 0);
    if (c->counts.waiting == 0 || !mv_may_launch_any(c))
        return;
    note_unknown(c);
    open_machines(c);
    mv_preempt_begin(c);
    g_ptr_array_sort(jobs, by_claim);
    for (guint i = 0; i < jobs->len; i++) {
        job *j = g_ptr_array_index(jobs, i);
        if (!j->waiting->len || c->now < j->backoff_until || perhaps_running(c, j) ||
            !mv_may_launch(c, j))
            continue;
        fill_from(c, j);
        hold_room(c, j);
        if (j->waiting->len && c->now >= j->next_preempt)
            mv_preempt_for(c, j);
    }
}
