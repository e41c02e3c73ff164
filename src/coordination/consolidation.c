/* Consolidation: once no more jobs come, machines that the present work does not need are drained.
 * They get a task only where no other machine has room, so that they become empty and can be
 * returned. Spread over all machines, little work kept each of them from ever being idle: in the
 * last third of a day more than half of what was paid for was unused. */
#include "coordination/internal.h"

#include "bookkeeping/log.h"

static double total_cores(const mv_core *core, const machine *host)
{
    const mv_type *type = mv_type_of(core, host);
    return type ? type->cores : 0;
}

/* What the unused part of a machine costs, by the hour. */
static double wasted_price(const mv_core *core, const machine *host)
{
    return mv_price_per_core(core, host) * mv_free_room(core, host).cores;
}

/* Replicas do not end, and a task that its job had to wait long for is left alone. */
static bool can_drain(const machine *host)
{
    for (guint i = 0; i < host->placements->len; i++) {
        const placement *task = g_ptr_array_index(host->placements, i);
        if (task->service || task->kept)
            return false;
    }
    return true;
}

typedef struct {
    machine *host;
    double wasted;
} drain_candidate;

/* The machines of a block that may take tasks, at one moment. */
typedef struct {
    double free_cores, used_cores; /* of those that are not drained */
    GArray *candidates;            /* drain_candidate: of those, which could be */
} block_use;

static gint by_waste(gconstpointer a, gconstpointer b)
{
    const drain_candidate *x = a, *y = b;
    if (x->wasted != y->wasted)
        return x->wasted > y->wasted ? -1 : 1;
    return x->host->at < y->host->at ? -1 : x->host->at > y->host->at;
}

static void note_use(const mv_core *core, machine *host, block_use *use)
{
    if (host->draining)
        return;
    use->free_cores += mv_free_room(core, host).cores;
    use->used_cores += host->taken.cores;
    drain_candidate candidate = {.host = host, .wasted = wasted_price(core, host)};
    if (candidate.wasted > 0 && can_drain(host))
        g_array_append_val(use->candidates, candidate);
}

static block_use measure(const mv_core *core, const shard *block)
{
    block_use use = {.candidates = g_array_new(FALSE, FALSE, sizeof(drain_candidate))};
    for (guint i = 0; i < core->rotation->len; i++) {
        machine *host = g_ptr_array_index(core->rotation, i);
        if (host->shard == block && mv_usable(core, host))
            note_use(core, host, &use);
    }
    g_array_sort(use.candidates, by_waste);
    return use;
}

static void set_drained(const mv_core *core, machine *host, bool drained)
{
    host->draining = drained;
    host->draining_since = core->now;
    mv_debug("drain", "machine=%s drained=%d cores=%.1f", host->id, drained, host->taken.cores);
}

/* A drained machine that got work all the same is needed: everything else was full. */
static void keep_needed(const mv_core *core, const shard *block)
{
    for (guint i = 0; i < core->rotation->len; i++) {
        machine *host = g_ptr_array_index(core->rotation, i);
        if (host->shard != block || !host->draining)
            continue;
        for (guint k = 0; k < host->placements->len && host->draining; k++) {
            const placement *task = g_ptr_array_index(host->placements, k);
            if (task->placed_at > host->draining_since)
                set_drained(core, host, false);
        }
    }
}

/* How long the slowest type of machine takes to boot. */
static double longest_boot(const mv_core *core)
{
    double longest = 0;
    for (guint i = 0; core->types && i < core->types->len; i++)
        longest = MAX(longest, g_array_index(core->types, mv_type, i).ready_s);
    return longest;
}

/* While jobs keep coming, a machine that was returned is soon missed: it has to boot and to fetch
 * its images again. (Drained at any time, machines were cheaper and a guarantee held less often:
 * Pine Bluff's fleet 0.733 -> 0.714.) */
static bool is_quiet(const mv_core *core, const shard *block)
{
    return core->now > block->job_came_at + longest_boot(core);
}

/* Drains the most wasteful machines while the others have room for what is in use and a part more.
 */
static void choose_drained(mv_core *core, shard *block)
{
    block_use use = measure(core, block);
    double needed = use.used_cores * (1 + MV_DRAIN_SPARE);
    double capacity = use.free_cores + use.used_cores;
    for (guint i = 0; i < use.candidates->len && i < MV_DRAIN_AT_ONCE; i++) {
        machine *host = g_array_index(use.candidates, drain_candidate, i).host;
        capacity -= total_cores(core, host);
        if (capacity < needed)
            break;
        set_drained(core, host, true);
        block->any_drained = true;
    }
    g_array_unref(use.candidates);
}

/* Whether a task that saves its progress had better go on elsewhere: it has long to run yet, and
 * its start is old enough to count. */
static bool worth_moving(const mv_core *core, const placement *task)
{
    const job *owner = task->of;
    if (!owner || owner->spec.mark_every_s <= 0 || !task->seen || task->running_at == 0 ||
        task->stopping || task->kept)
        return false;
    double ran = core->now - task->running_at;
    double left = mv_job_guess(core, owner) - ran;
    return ran > MV_START_COUNTS_S && left > MV_MOVE_WORTH * owner->spec.mark_cost_s;
}

/* Stops tasks that save on a drained machine where another has room and their image: they are
 * placed there as usual once they have ended. Returns how many were tried. */
static unsigned move_tasks(mv_core *core, machine *host)
{
    unsigned tried = 0;
    for (guint i = 0; i < host->placements->len; i++) {
        placement *task = g_ptr_array_index(host->placements, i);
        if (!worth_moving(core, task))
            continue;
        tried++;
        machine *target = mv_room_for(core, task->of);
        if (!target || target->draining || !mv_has_image(target, task->of->image))
            continue;
        mv_promise(core, target, task->of);
        mv_stop_placement(core, host, task);
        mv_debug("move_task", "task=%s/%u from=%s to=%s", task->job, task->index, host->id,
                 target->id);
    }
    return tried;
}

static void drain_none(const mv_core *core, shard *block)
{
    if (!block->any_drained)
        return;
    block->any_drained = false;
    for (guint i = 0; i < core->rotation->len; i++) {
        machine *host = g_ptr_array_index(core->rotation, i);
        if (host->shard == block && host->draining)
            set_drained(core, host, false);
    }
}

void mv_consolidate(mv_core *core, shard *block)
{
    if (!is_quiet(core, block)) {
        drain_none(core, block);
        return;
    }
    if (block->any_drained)
        keep_needed(core, block);
    choose_drained(core, block);
    unsigned tried = 0;
    for (guint i = 0; i < core->rotation->len && tried < MV_MOVES_AT_ONCE; i++) {
        machine *host = g_ptr_array_index(core->rotation, i);
        if (host->draining && host->shard == block && mv_usable(core, host))
            tried += move_tasks(core, host);
    }
}
