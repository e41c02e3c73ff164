#include "coordination/scheduling/binding.h"

#include "coordination/agents/machine.h"
#include "coordination/agents/placement.h"
#include "coordination/scheduling/filter.h"
#include "coordination/scheduling/quota.h"
#include "coordination/scheduling/scoring.h"
#include "telemetry/log.h"

#include <stdlib.h>

/* The low bits of an attempt number: the counter of placements within one term. */
#define ATTEMPT_COUNTER_MASK ((1u << MV_ATTEMPT_BITS) - 1)

typedef struct {
    mv_machine *machine;
    mv_placement_score score;
    guint rotation_distance; /* places after the machine that is next in the rotation */
} scored_machine;

/* --- one task between rounds --- */

mv_machine *mv_scheduler_find_machine(const mv_scheduler *scheduler, mv_job *job)
{
    const GPtrArray *rotation = scheduler->agents->rotation;
    mv_machine *best = NULL;
    mv_placement_score best_score = {0};
    for (guint i = 0; i < rotation->len; i++) {
        mv_machine *machine = g_ptr_array_index(rotation, i);
        if (!mv_machine_may_take(scheduler->context, job, machine))
            continue;
        mv_placement_score score = mv_score_machine(scheduler, job, machine);
        if (best && !mv_score_is_better(&score, &best_score))
            continue;
        best = machine;
        best_score = score;
    }
    return best;
}

/* --- sorting machines within a round --- */

static gint compare_rotation_distances(gconstpointer left, gconstpointer right)
{
    const scored_machine *candidate = left, *other = right;
    return candidate->rotation_distance < other->rotation_distance
               ? -1
               : candidate->rotation_distance > other->rotation_distance;
}

static gint compare_scores(gconstpointer left, gconstpointer right)
{
    const scored_machine *candidate = left, *other = right;
    if (mv_score_is_better(&candidate->score, &other->score))
        return -1;
    if (mv_score_is_better(&other->score, &candidate->score))
        return 1;
    return compare_rotation_distances(left, right);
}

/* Returns the machines with room for a task of the job, best first; the caller frees the array.
 * Sets `*cached` to whether the job's image is on any machine of the job's shard that the job
 * allows and that is not draining, with room or without. */
static GArray *score_machines(mv_scheduler *scheduler, mv_job *job, bool *cached)
{
    const mv_context *context = scheduler->context;
    const GPtrArray *schedulable = scheduler->schedulable;
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(scored_machine));
    *cached = false;
    for (guint i = 0; i < schedulable->len; i++) {
        mv_machine *machine = g_ptr_array_index(schedulable, i);
        if (machine->shard != job->home_shard || !mv_job_allows_machine(context, job, machine))
            continue;
        /* The image on a draining machine does not count: a draining machine is used last, so no
         * task waits for room on it. */
        bool image_usable = !machine->draining && mv_machine_has_image(machine, job->image);
        *cached = *cached || image_usable;
        if (!mv_machine_fits_job(context, job, machine))
            continue;
        scored_machine candidate = {.machine = machine,
                                    .score = mv_score_machine(scheduler, job, machine),
                                    .rotation_distance =
                                        mv_scheduler_rotation_distance(scheduler, machine)};
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, compare_scores);
    scheduler->machines_examined += schedulable->len;
    return candidates;
}

/* Returns the index after the last candidate whose score equals the score of the candidate at
 * `from`. Sorts these equal candidates in rotation order, beginning with the machine that is next
 * in the rotation now. */
static guint end_of_group(const mv_scheduler *scheduler, GArray *candidates, guint from)
{
    scored_machine *first = &g_array_index(candidates, scored_machine, from);
    guint end = from;
    while (end < candidates->len) {
        scored_machine *candidate = &g_array_index(candidates, scored_machine, end);
        if (mv_score_is_better(&first->score, &candidate->score))
            break;
        candidate->rotation_distance =
            mv_scheduler_rotation_distance(scheduler, candidate->machine);
        end++;
    }
    qsort(first, end - from, sizeof *first, compare_rotation_distances);
    return end;
}

/* --- binding --- */

static uint64_t next_attempt(mv_scheduler *scheduler, const mv_machine *machine)
{
    /* The term in the high bits keeps attempt numbers of successive owners of the shard distinct;
     * the counter in the low bits keeps attempt numbers of one owner distinct. */
    uint64_t term = mv_machine_term(machine);
    return (term << MV_ATTEMPT_BITS) | (++scheduler->attempts & ATTEMPT_COUNTER_MASK);
}

static uint32_t take_pending_task(mv_job *job)
{
    guint last = job->pending->len - 1;
    uint32_t task = g_array_index(job->pending, uint32_t, last);
    g_array_set_size(job->pending, last);
    return task;
}

static void bind_task(mv_scheduler *scheduler, mv_job *job, mv_machine *machine)
{
    mv_context *context = scheduler->context;
#ifdef MV_MUTATION_TESTING
    mv_binding_observed(scheduler, job, machine);
#endif
    mv_placement *placement = g_new0(mv_placement, 1);
    placement->task = take_pending_task(job);
    placement->attempt = next_attempt(scheduler, machine);
    mv_placement_add(scheduler->agents, machine, job, placement);
    if (job->latency_sensitive)
        job->team->latency_sensitive_cores += placement->cores;
    mv_machine_request_command(scheduler->agents, machine);
    scheduler->next_in_rotation = machine->rotation_index + 1;
    job->last_placed_at = context->clock.now;
    context->counters.placed++;
    mv_debug("task_placed",
             "task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s waited_s=%.2f cached=%d",
             job->spec.id, placement->task, placement->attempt, machine->id,
             context->clock.now - job->ready_at, mv_machine_has_image(machine, job->image));
}

/* Returns whether the job's tasks wait instead of starting on `best`. If `best` would have to fetch
 * the image and another machine has the image, that machine may get room. Waiting for that room is
 * better than fetching the image again, up to the limit that mv_image_wait_s() sets. */
static bool should_wait_for_image(const mv_context *context, const mv_job *job,
                                  const scored_machine *best, bool cached)
{
    if (!cached || best->score.cached_image_gb != 0)
        return false;
    return context->clock.now < job->ready_at + mv_image_wait_s(context, job, best->machine);
}

/* Candidates with equal scores, from index `from` to before `to`, and the smallest number of tasks
 * of the job that must stay pending. */
typedef struct {
    const GArray *candidates; /* scored_machine */
    guint from, to;
    guint pending_min;
} machine_group;

typedef enum { BIND_GROUP_FULL, BIND_FINISHED } bind_result;

/* Binds tasks of the job to a machine until the machine has no room, or only one task if `one_task`
 * is set. Sets `*bound` if a task was bound. Returns BIND_FINISHED if the team's limit is reached
 * or no further task may be bound. */
static bind_result bind_to_machine(mv_scheduler *scheduler, mv_job *job, mv_machine *machine,
                                   guint pending_min, bool one_task, bool *bound)
{
    const mv_context *context = scheduler->context;
    while (mv_machine_fits_job(context, job, machine) && mv_job_zones_allow(job, machine)) {
        if (job->pending->len <= pending_min || !mv_quota_allows(context, job))
            return BIND_FINISHED;
        bind_task(scheduler, job, machine);
        *bound = true;
        if (one_task)
            break;
    }
    return BIND_GROUP_FULL;
}

/* Binds tasks of the job to the machines of a group. If the job's tasks are smaller than the
 * largest task of all owned jobs, the machines with the fewest free cores come first, and each
 * machine is filled before the next machine gets a task. Otherwise each machine gets one task per
 * pass until no machine has room. */
static bind_result bind_to_group(mv_scheduler *scheduler, mv_job *job, const machine_group *group)
{
    const bool fullest_first = job->spec.cores < scheduler->largest_task_cores;
    bool bound = true;
    while (bound) {
        bound = false;
        for (guint i = group->from; i < group->to; i++) {
            mv_machine *machine = g_array_index(group->candidates, scored_machine, i).machine;
            if (bind_to_machine(scheduler, job, machine, group->pending_min, !fullest_first,
                                &bound) == BIND_FINISHED)
                return BIND_FINISHED;
        }
        if (fullest_first)
            break;
    }
    return BIND_GROUP_FULL;
}

static const scored_machine *first_in_allowed_zone(const mv_job *job, const GArray *candidates)
{
    for (guint i = 0; i < candidates->len; i++) {
        const scored_machine *candidate = &g_array_index(candidates, scored_machine, i);
        if (mv_job_zones_allow(job, candidate->machine))
            return candidate;
    }
    return NULL;
}

/* Binds replicas one by one and scores all machines again for each replica, because a bound replica
 * changes the scores of machines for the other replicas of the same service. */
static void bind_replicas(mv_scheduler *scheduler, mv_job *job)
{
    const mv_context *context = scheduler->context;
    bool cached;
    while (job->pending->len && mv_quota_allows(context, job)) {
        g_autoptr(GArray) candidates = score_machines(scheduler, job, &cached);
        const scored_machine *best = first_in_allowed_zone(job, candidates);
        if (!best || should_wait_for_image(context, job, best, cached))
            return;
        bind_task(scheduler, job, best->machine);
    }
}

/* Returns whether a task of this job cannot find a machine in this round, because a task of another
 * job of the shard found none although the other task requests no more resources and accepts at
 * least the same machines. Under overload this check rejects most jobs without examining the
 * fleet. */
static bool is_known_unschedulable(const mv_scheduler *scheduler, mv_job *job)
{
    const uint32_t types = mv_job_type_mask(scheduler->context, job);
    const mv_job_spec *spec = &job->spec;
    for (guint i = 0; i < scheduler->unschedulable->len; i++) {
        const mv_job *other = g_ptr_array_index(scheduler->unschedulable, i);
        bool requests_less = other->spec.cores <= spec->cores && other->spec.gpus <= spec->gpus &&
                             other->spec.ram_gb <= spec->ram_gb;
        bool allows_more = (types & ~other->type_mask) == 0 && (other->spec.spot || !spec->spot);
        if (other->home_shard == job->home_shard && requests_less && allows_more)
            return true;
    }
    return false;
}

/* Records that no machine has room for a task of the job, for is_known_unschedulable(). A job with
 * a zone or a zone rule is not recorded, because machines in other zones may still have room. */
static void remember_unschedulable(mv_scheduler *scheduler, mv_job *job)
{
    const mv_job_spec *spec = &job->spec;
    bool anywhere = !spec->has_zone && !spec->same_zone && !spec->spread_zones;
    if (anywhere && scheduler->unschedulable->len < MV_UNSCHEDULABLE_KINDS_MAX)
        g_ptr_array_add(scheduler->unschedulable, job);
}

/* Binds tasks of a job that is not a service. A task bound to one machine does not change the score
 * of any other machine, so one sorted list of machines serves all tasks of the job. A severely
 * starved job precedes guaranteed jobs, so only one of its tasks is bound: guarantees lose no more
 * than that. */
static void bind_tasks(mv_scheduler *scheduler, mv_job *job)
{
    bool cached;
    const bool one_task = job->starvation_level > 1 && job->pending->len;
    g_autoptr(GArray) candidates = score_machines(scheduler, job, &cached);
    machine_group group = {.candidates = candidates,
                           .pending_min = one_task ? job->pending->len - 1 : 0};
    for (; group.from < candidates->len && job->pending->len > group.pending_min;
         group.from = group.to) {
        const scored_machine *first = &g_array_index(candidates, scored_machine, group.from);
        if (should_wait_for_image(scheduler->context, job, first, cached))
            return;
        group.to = end_of_group(scheduler, candidates, group.from);
        if (bind_to_group(scheduler, job, &group) == BIND_FINISHED)
            return;
    }
    if (job->pending->len > group.pending_min)
        remember_unschedulable(scheduler, job);
}

void mv_bind_job(mv_scheduler *scheduler, mv_job *job)
{
    if (is_known_unschedulable(scheduler, job))
        return;
    if (job->spec.service)
        bind_replicas(scheduler, job);
    else
        bind_tasks(scheduler, job);
}

/* --- starved jobs --- */

/* Returns the machine that will lack the least for a task of the job once the tasks that are
 * stopping have ended: the smallest sum of missing cores and missing GB of memory. Returns NULL if
 * the job allows no schedulable machine of its shard. */
static mv_machine *closest_machine(const mv_scheduler *scheduler, mv_job *job)
{
    const mv_context *context = scheduler->context;
    mv_machine *closest = NULL;
    double smallest_gap = 0;
    for (guint i = 0; i < scheduler->schedulable->len; i++) {
        mv_machine *machine = g_ptr_array_index(scheduler->schedulable, i);
        if (machine->shard != job->home_shard || !mv_job_allows_machine(context, job, machine))
            continue;
        mv_resources future = mv_machine_future_available(context, machine);
        double gap =
            MAX(job->spec.cores - future.cores, 0) + MAX(job->spec.ram_gb - future.ram_gb, 0);
        if (closest && gap >= smallest_gap)
            continue;
        closest = machine;
        smallest_gap = gap;
    }
    return closest;
}

/* Reserves cores of the team's limit for one task of the starved job, so that the team's other jobs
 * do not use up these cores. If the team's replicas leave too few cores of the limit for the task,
 * nothing is reserved: replicas do not end, so the task could not start anyway, and the useless
 * reservation kept a lost replica from being placed again. */
static void reserve_quota(const mv_job *job)
{
    mv_team *team = job->team;
    double lasting_cores = team->service_cores + job->spec.cores;
    if (lasting_cores <= team->settings->cpus_max + MV_RESOURCE_EPSILON)
        team->reserved_cores = MAX(team->reserved_cores, job->spec.cores);
}

void mv_reserve_for_starved(mv_scheduler *scheduler, mv_job *job)
{
    if (job->starvation_level < 2 || job->tasks_placed)
        return;
    if (!mv_quota_allows(scheduler->context, job)) {
        reserve_quota(job);
        return;
    }
    mv_machine *closest = closest_machine(scheduler, job);
    scheduler->machines_examined += scheduler->schedulable->len;
    if (closest)
        mv_machine_nominate(scheduler->agents, closest, job);
}
