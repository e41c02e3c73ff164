/** Faults of the simulated machines. */
#include "sim_faults.h"

#define RECLAIM_WAVE_SHARE (1.0 / 3)

static bool has_booted(const sim *simulation, const fake_worker *worker)
{
    return simulation->now > worker->booted_at;
}

void sim_crash_machine(sim *simulation)
{
    fake_worker *worker = sim_random_worker(simulation);
    if (worker)
        worker->gone = true;
}

void sim_reclaim_wave(sim *simulation)
{
    for (guint i = 0; i < simulation->workers->len; i++) {
        fake_worker *worker = g_ptr_array_index(simulation->workers, i);
        if (!worker->gone && worker->spot && sim_chance(simulation, RECLAIM_WAVE_SHARE))
            worker->gone = true;
    }
}

static void reclaim(sim *simulation, gpointer data)
{
    fake_worker *worker = data;
    (void)simulation;
    worker->gone = true;
}

static void count_moved_replicas(sim *simulation, const fake_worker *worker)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        const fake_task *task = g_ptr_array_index(worker->tasks, i);
        if (task->status == FAKE_TASK_RUNNING && sim_job_by_id(simulation, task->job_id)->service)
            sim_count_combination(simulation, SIM_MOVED_REPLICAS);
    }
}

void sim_reclaim_with_notice(sim *simulation)
{
    fake_worker *worker = sim_random_worker(simulation);
    if (!worker || !worker->spot || worker->gone || !has_booted(simulation, worker) ||
        worker->reclaim_at > 0)
        return;
    worker->reclaim_at = simulation->now + sim_random(simulation, 5, 15);
    worker->changed = true;
    sim_schedule(simulation, worker->reclaim_at - simulation->now, reclaim, worker);
    count_moved_replicas(simulation, worker);
}

void sim_partition_machine(sim *simulation)
{
    fake_worker *worker = sim_random_worker(simulation);
    if (worker)
        worker->partitioned_until = simulation->now + sim_random(simulation, 3, 25);
}

void sim_block_commands(sim *simulation)
{
    fake_worker *worker = sim_random_worker(simulation);
    if (!worker)
        return;
    const double duration_s = sim_chance(simulation, 0.5) ? sim_random(simulation, 2, 30) : NEVER_S;
    worker->commands_blocked_until = simulation->now + duration_s;
}

void sim_block_heartbeats(sim *simulation)
{
    fake_worker *worker = sim_random_worker(simulation);
    if (!worker || !has_booted(simulation, worker) ||
        simulation->now < worker->heartbeats_blocked_until)
        return;
    worker->heartbeats_blocked_from = simulation->now;
    worker->heartbeats_blocked_until = simulation->now + sim_random(simulation, 2, 40);
}

void sim_hang_machine(sim *simulation)
{
    fake_worker *worker = sim_random_worker(simulation);
    if (!worker || !has_booted(simulation, worker) || simulation->now < worker->hung_until)
        return;
    worker->hung_until = simulation->now + sim_random(simulation, 1, 20);
    for (guint i = 0; i < worker->tasks->len; i++) {
        fake_task *task = g_ptr_array_index(worker->tasks, i);
        const double hangs_s = worker->hung_until - simulation->now;
        task->ends_at += hangs_s;
        if (simulation->now < task->fetched_at)
            task->fetched_at += hangs_s;
    }
}

/* Returns a random machine that is up, or NULL if the drawn machine is not. */
static fake_worker *draw_running_worker(sim *simulation)
{
    fake_worker *worker = sim_random_worker(simulation);
    return worker && !worker->gone && has_booted(simulation, worker) ? worker : NULL;
}

void sim_quick_restart_machine(sim *simulation)
{
    fake_worker *worker = draw_running_worker(simulation);
    if (worker)
        fake_worker_restart(worker, simulation->now);
}

void sim_restart_machine_in_epoch(sim *simulation)
{
    fake_worker *worker = draw_running_worker(simulation);
    if (worker)
        fake_worker_restart_in_epoch(worker);
}

void sim_restart_machine_anew(sim *simulation)
{
    fake_worker *worker = draw_running_worker(simulation);
    if (worker)
        fake_worker_restart_anew(worker, simulation->now);
}
