#include "coordination/agents/health.h"

#include "coordination/agents/placement.h"
#include "telemetry/log.h"

/* Values of mv_machine.failed_jobs: whether the job has been seen to succeed on another machine. */
#define JOB_NOT_PROVEN GUINT_TO_POINTER(0)
#define JOB_SUCCEEDED GUINT_TO_POINTER(1)

/* --- rotation --- */

guint mv_health_check_count(const mv_agents *agents)
{
    guint machines = agents->rotation->len;
    return MIN(machines, MAX(MV_HEALTH_CHECK_MIN, machines / MV_HEALTH_CHECK_TICKS + 1));
}

mv_machine *mv_health_next_machine(mv_agents *agents)
{
    guint index = agents->next_health_check++ % agents->rotation->len;
    return g_ptr_array_index(agents->rotation, index);
}

/* --- stragglers --- */

/* Updates the machine's slowdown. A running task that has already taken much longer than the job's
 * other tasks shows a slow machine before the task ends, so the task's run time up to now raises
 * the slowdown. Without new samples the slowdown decays towards 1, because the cause may pass. */
static void update_slowdown(const mv_context *context, mv_machine *machine)
{
    const double now = context->clock.now;
    double decay = MV_SLOWDOWN_DECAY_PER_S * (now - machine->slowdown_updated_at);
    machine->slowdown += (1 - machine->slowdown) * MIN(1, decay);
    machine->slowdown_updated_at = now;
    for (guint i = 0; i < machine->placements->len; i++) {
        const mv_placement *placement = g_ptr_array_index(machine->placements, i);
        const mv_job *job = placement->job;
        if (!job || placement->running_at == 0 || job->runtime_samples < MV_SLOWDOWN_SAMPLES_MIN)
            continue;
        double usual_s = job->runtime_sum_s / job->runtime_samples;
        machine->slowdown = MAX(machine->slowdown, (now - placement->running_at) / usual_s);
    }
}

/* Quarantines a machine that is so slow that its tasks would finish sooner if they were restarted
 * on another machine. A quarantined machine is emptied and returned to the cloud. Replicas are not
 * stopped here: a replica loses no work by staying, and the scheduler moves the replica when
 * another machine has room. */
static void quarantine_straggler(mv_agents *agents, mv_machine *machine)
{
    if (machine->slowdown < MV_STRAGGLER_SLOWDOWN || machine->quarantined)
        return;
    machine->quarantined = true;
    mv_info("straggler_quarantined", "machine=%s slowdown=%.1f tasks=%u", machine->id,
            machine->slowdown, machine->placements->len);
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        if (placement->reported && !placement->service)
            mv_placement_stop(agents, machine, placement);
    }
    agents->context->round_requested = true;
}

void mv_health_check_slowdown(mv_agents *agents, mv_machine *machine)
{
    update_slowdown(agents->context, machine);
    quarantine_straggler(agents, machine);
}

/* --- failures --- */

static bool job_has_succeeded(const mv_job *job)
{
    return job && (job->tasks_done > 0 || (job->spec.service && job->tasks_running > 0));
}

/* Returns how many jobs failed on this machine but succeeded on another machine. Other failures do
 * not count against the machine, because a faulty job fails on every machine: when they were
 * counted, two faulty jobs quarantined every machine that had run their tasks. */
static unsigned count_proven_failures(const mv_agents *agents, mv_machine *machine)
{
    unsigned proven = 0;
    GHashTableIter iter;
    gpointer id, known;
    g_hash_table_iter_init(&iter, machine->failed_jobs);
    while (g_hash_table_iter_next(&iter, &id, &known)) {
        const mv_job *job = mv_job_table_find(agents->jobs, id);
        if (job_has_succeeded(job)) {
            g_hash_table_iter_replace(&iter, JOB_SUCCEEDED);
            proven++;
        } else if (known != JOB_NOT_PROVEN) {
            proven++;
        } else if (!job) {
            g_hash_table_iter_remove(&iter);
        }
    }
    return proven;
}

static void quarantine_after_failures(const mv_agents *agents, mv_machine *machine)
{
    unsigned proven = count_proven_failures(agents, machine);
    if (proven < MV_QUARANTINE_FAILED_JOBS || machine->quarantined)
        return;
    machine->quarantined = true;
    mv_info("machine_quarantined", "machine=%s jobs=%u", machine->id, proven);
}

/* --- missing heartbeats --- */

/* How long a machine has sent no heartbeat, and the limits that apply to the machine. */
typedef struct {
    double since;  /* in seconds of the monotonic clock; the gap never begins before this time */
    double gap_s;  /* time since the last heartbeat, or since `since` if that is later */
    bool expected; /* the machine has sent heartbeats before or may hold tasks */
    double probe_after_s;  /* a machine with a longer gap is probed */
    double failed_after_s; /* a machine with a longer gap that answers no probe is failed */
} heartbeat_gap;

static heartbeat_gap measure_gap(const mv_context *context, const mv_machine *machine)
{
    const double interval_s = context->settings->report_s;
    double joined_at = MAX(machine->joined_partition_at, machine->rented_at);
    heartbeat_gap gap = {
        .since = MAX(machine->shard->listening_since, joined_at),
        .expected = machine->last_heartbeat_at > 0 || mv_machine_may_hold_tasks(machine),
        .probe_after_s = MV_PROBE_HEARTBEATS * interval_s,
        .failed_after_s = MV_FAILED_HEARTBEATS * interval_s,
    };
    gap.gap_s = context->clock.now - MAX(machine->last_heartbeat_at, gap.since);
    /* Users notice a lost replica at once, but heartbeats are seconds apart: waiting for heartbeats
     * took 9 s of the 12 s until a lost replica was running again. Machines with replicas are few,
     * so this controller probes them without waiting for an overdue heartbeat. */
    if (mv_machine_replica_count(machine) > 0) {
        gap.probe_after_s = MIN(gap.probe_after_s, MV_REPLICA_PROBE_AFTER_S);
        gap.failed_after_s = MIN(gap.failed_after_s, MV_REPLICA_FAILED_AFTER_S);
    }
    return gap;
}

/* Returns whether this controller should send a command to an unconfirmed machine. After a failover
 * the new owner probes machines instead of waiting until each agent has found the new owner. In a
 * large shard the owner probes only machines that are still unconfirmed after MV_PROBE_GRACE_S,
 * because 1,000 probes cost the owner more than 1,000 heartbeats. */
static bool should_contact(const mv_context *context, const mv_machine *machine)
{
    double contacted_at = MAX(machine->shard->listening_since, machine->fenced_response_at);
    bool in_grace = machine->shard->machine_count > MV_HEALTH_CHECK_MIN &&
                    context->clock.now < contacted_at + MV_PROBE_GRACE_S;
    bool is_up = machine->last_sign_at || mv_machine_may_hold_tasks(machine);
    return !machine->confirmed && !in_grace && machine->address[0] && is_up;
}

/* Requests a probe of a machine whose heartbeat is overdue. A heartbeat may be lost, and the agent
 * may send the retry to another controller first, so a machine is probed before it is failed. */
static void probe_overdue(mv_agents *agents, mv_machine *machine, const heartbeat_gap *gap)
{
    if (should_contact(agents->context, machine))
        mv_machine_request_command(agents, machine);
    bool overdue = gap->expected && gap->gap_s > gap->probe_after_s;
    if (!overdue || !machine->address[0])
        return;
    machine->probe_requested = true;
    mv_machine_request_command(agents, machine);
}

/* Returns whether an unconfirmed machine has left enough probes unanswered to be failed without the
 * wait for its heartbeats. After a failover the new owner probes every machine, and all tasks from
 * before the failover wait until the last machine has answered or is failed: 100 dead machines once
 * delayed a failover by 20 s. A machine that has given a sign of life since this controller began
 * to listen gets one more probe. */
static bool unconfirmed_probes_failed(const mv_machine *machine, const heartbeat_gap *gap)
{
    unsigned extra_probes = machine->last_sign_at > gap->since ? 1 : 0;
    return !machine->confirmed && machine->probes_failed >= MV_PROBES_FAILED_MAX + extra_probes;
}

static bool is_lost(const mv_context *context, const mv_machine *machine, const heartbeat_gap *gap)
{
    if (!gap->expected || mv_clock_is_overloaded(&context->clock))
        return false;
    bool no_answer = machine->probes_failed > MV_PROBES_FAILED_MAX || !machine->address[0];
    double final_timeout_s = MV_FAILED_ANYWAY_HEARTBEATS * context->settings->report_s;
    return (no_answer && gap->gap_s > gap->failed_after_s) ||
           unconfirmed_probes_failed(machine, gap) || gap->gap_s > final_timeout_s;
}

/* Updates whether the machine is failed. The tasks of a failed machine stay placed until no
 * partition names the machine any more, because a missing heartbeat does not prove that the tasks
 * ended. */
static void update_failed(mv_agents *agents, mv_machine *machine, const heartbeat_gap *gap)
{
    bool lost = is_lost(agents->context, machine, gap);
    bool unreachable = mv_machine_commands_unreachable(agents->context, machine);
    if ((lost || unreachable) && !machine->failed)
        mv_info("machine_failed",
                "machine=%s since_heartbeat_s=%.1f commands_unreachable=%d tasks=%u", machine->id,
                gap->gap_s, unreachable, machine->placements->len);
    machine->failed = lost || unreachable;
    while (lost && SAFETY_CHECK(RELEASED, false) && machine->placements->len)
        mv_placement_remove(agents, machine, machine->placements->len - 1, true);
}

/* --- reclaim notices --- */

/* Stops tasks with checkpoints early enough that each task can save a checkpoint before the
 * cloud reclaims the machine. Tasks without checkpoints keep running, because they may still finish
 * before that time.
 */
static void stop_before_reclaim(mv_agents *agents, mv_machine *machine)
{
    if (!machine->reclaim_at)
        return;
    double left_s = machine->reclaim_at - agents->context->clock.now;
    for (guint i = 0; i < machine->placements->len; i++) {
        mv_placement *placement = g_ptr_array_index(machine->placements, i);
        const mv_job *job = placement->job;
        if (!job || placement->stopping || placement->service ||
            job->spec.checkpoint_interval_s <= 0)
            continue;
        if (left_s < job->spec.checkpoint_cost_s + MV_RECLAIM_HEADROOM_S)
            mv_placement_stop(agents, machine, placement);
    }
}

void mv_health_check_liveness(mv_agents *agents, mv_machine *machine)
{
    quarantine_after_failures(agents, machine);
    heartbeat_gap gap = measure_gap(agents->context, machine);
    probe_overdue(agents, machine, &gap);
    update_failed(agents, machine, &gap);
    stop_before_reclaim(agents, machine);
}
