/* Fair Root Input Size: what a machine is worth to a task, and how long it pays to wait for a
 * better one. */
#include "coordination/internal.h"

/* The shortest time within which an aim wants this job's tasks started; G_MAXDOUBLE: none. */
double mv_start_aim(const mv_core *c, const job *j)
{
    double aim = j->rush_aim;
    for (size_t i = 0; j->guaranteed && i < c->conf->n_objectives; i++) {
        const mv_objective *o = &c->conf->objectives[i];
        if (o->kind == MV_OBJ_GUARANTEE)
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
double mv_image_wait(const mv_core *c, const job *j, const machine *m)
{
    double limit = MIN(c->conf->tune.image_wait_s, MV_START_SHARE * mv_start_aim(c, j));
    return MIN(limit, fetch_time(c, j, m));
}

/* Seconds until the image would be there; a fetch that is under way for another task counts. */
double mv_fetch_left(const mv_core *c, const job *j, const machine *m)
{
    if (mv_has_image(m, j->image))
        return 0;
    double left = fetch_time(c, j, m);
    for (guint i = 0; i < m->placements->len; i++) {
        const placement *p = g_ptr_array_index(m->placements, i);
        if (p->of && p->running_at == 0 && p->of->image == j->image)
            left = MIN(left, MAX(0, left - (c->now - p->placed_at)));
    }
    return left;
}

static unsigned replicas_on(const job *j, const machine *m)
{
    unsigned n = 0;
    for (guint i = 0; i < m->placements->len; i++)
        n += ((const placement *)g_ptr_array_index(m->placements, i))->of == j;
    return n;
}

mv_worth mv_worth_of(const mv_core *c, const job *j, const machine *m)
{
    bool failed_here =
        g_hash_table_size(m->failed_jobs) && g_hash_table_contains(m->failed_jobs, j->spec.id);
    bool soon = mv_starts_soon(c, j);
    double fetch_left = soon || j->spec.service ? mv_fetch_left(c, j, m) : 0;
    mv_worth w = {.draining = m->draining && !j->spec.service,
                  .last = mv_is_slow(m) || failed_here,
                  .spared = (j->home->needed >> m->type & 1) && (j->types & ~j->home->needed),
                  .bytes = mv_has_image(m, j->image) ? MAX(j->spec.pull_gb, MV_ROUNDING) : 0};
    if (j->spec.service) {
        w.brief = m->spot;
        w.replicas = replicas_on(j, m);
        w.crowded = w.replicas >= (j->spec.tasks + 1) / 2;
        w.slow = fetch_left > mv_start_aim(c, j);
    }
    w.fetch = soon ? (int)(fetch_left / MV_FETCH_STEP_S) : 0;
    if (j->spec.cores < c->large_cores)
        w.left = mv_free_room(c, m).cores;
    return w;
}

bool mv_better(const mv_worth *a, const mv_worth *b)
{
    if (a->last != b->last)
        return b->last;
    if (a->draining != b->draining)
        return b->draining;
    if (a->spared != b->spared)
        return b->spared;
    if (a->brief != b->brief)
        return b->brief;
    if (a->crowded != b->crowded)
        return b->crowded;
    if (a->slow != b->slow)
        return b->slow;
    if (a->replicas != b->replicas)
        return a->replicas < b->replicas;
    if (a->bytes != b->bytes)
        return a->bytes > b->bytes;
    if (a->fetch != b->fetch)
        return a->fetch < b->fetch;
    return a->left < b->left - MV_ROUNDING;
}
