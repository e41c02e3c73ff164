/**
 * Executes a run of the simulation: a queue of events in the order of their times, one random
 * number generator, and a check of the rules after each event.
 *
 * A run ends with the first broken rule, when all faults are over and all jobs have ended, or at
 * the plan's deadline. The data of events that are still queued at that time is freed with
 * sim_event.free_data.
 */
#include "sim_internal.h"

#include <stdarg.h>
#include <string.h>

#define LIVENESS_CHECK_INTERVAL_S 1

/* --- events and random draws --- */

static gint compare_events(gconstpointer left, gconstpointer right, gpointer user_data)
{
    const sim_event *event = left, *other = right;
    (void)user_data;
    if (event->at != other->at)
        return event->at < other->at ? -1 : 1;
    if (event->sequence != other->sequence)
        return event->sequence < other->sequence ? -1 : 1;
    return 0;
}

void sim_schedule_owned(sim *simulation, double delay, sim_event_handler handler, gpointer data,
                        GDestroyNotify free_data)
{
    sim_event *event = g_new0(sim_event, 1);
    event->at = simulation->now + delay;
    event->sequence = ++simulation->last_event_sequence;
    event->handler = handler;
    event->data = data;
    event->free_data = free_data;
    g_sequence_insert_sorted(simulation->events, event, compare_events, NULL);
}

void sim_schedule(sim *simulation, double delay, sim_event_handler handler, gpointer data)
{
    sim_schedule_owned(simulation, delay, handler, data, NULL);
}

static void run_next_event(sim *simulation)
{
    GSequenceIter *first = g_sequence_get_begin_iter(simulation->events);
    const sim_event event = *(sim_event *)g_sequence_get(first);
    g_sequence_remove(first);
    simulation->now = event.at;
    event.handler(simulation, event.data);
}

double sim_random(sim *simulation, double low, double high)
{
    return g_rand_double_range(simulation->random, low, high);
}

bool sim_chance(sim *simulation, double probability)
{
    return g_rand_double(simulation->random) < probability;
}

sim_node *sim_random_node(sim *simulation)
{
    return &simulation->nodes[g_rand_int_range(simulation->random, 0, NODES)];
}

fake_worker *sim_random_worker(sim *simulation)
{
    if (simulation->workers->len == 0)
        return NULL;
    gint index = g_rand_int_range(simulation->random, 0, (gint)simulation->workers->len);
    return g_ptr_array_index(simulation->workers, (guint)index);
}

/* --- violations and counts --- */

void sim_violation(sim *simulation, const char *format, ...)
{
    va_list arguments;
    if (simulation->violation)
        return;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    simulation->violation = g_strdup_printf("at %.2f: %s", simulation->now, text);
}

void sim_count_any_combination(sim *simulation)
{
    if (simulation->plan->combination_count)
        ++*simulation->plan->combination_count;
}

void sim_count_combination(sim *simulation, sim_fault_combination combination)
{
    if (simulation->plan->combination == combination)
        sim_count_any_combination(simulation);
}

/* --- lookups --- */

sim_job *sim_job_by_id(const sim *simulation, const char *id)
{
    for (guint i = 0; i < simulation->jobs->len; i++) {
        sim_job *job = &g_array_index(simulation->jobs, sim_job, i);
        if (strcmp(job->id, id) == 0)
            return job;
    }
    return NULL;
}

fake_worker *sim_worker_by_id(const sim *simulation, const char *id)
{
    for (guint i = 0; i < simulation->workers->len; i++) {
        fake_worker *worker = g_ptr_array_index(simulation->workers, i);
        if (strcmp(worker->id, id) == 0)
            return worker;
    }
    return NULL;
}

unsigned sim_running_tasks(const sim *simulation, const sim_job *job)
{
    unsigned running = 0;
    for (guint i = 0; i < simulation->workers->len; i++) {
        const fake_worker *worker = g_ptr_array_index(simulation->workers, i);
        for (guint k = 0; k < worker->tasks->len && !worker->gone; k++) {
            const fake_task *task = g_ptr_array_index(worker->tasks, k);
            running += task->status == FAKE_TASK_RUNNING && strcmp(task->job_id, job->id) == 0;
        }
    }
    return running;
}

/* --- a run --- */

static void create_nodes(sim *simulation)
{
    for (guint i = 0; i < NODES; i++) {
        sim_node *node = &simulation->nodes[i];
        node->index = i;
        node->listed_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        node->settings = sim_settings_new(simulation->plan, i);
        node->clock_drift = sim_random(simulation, 0, MV_CLOCK_DRIFT);
        sim_schedule(simulation, sim_random(simulation, 0, 0.5), sim_node_step, node);
    }
}

static void sim_init(sim *simulation, guint32 seed, const sim_plan *plan)
{
    *simulation = (sim){.plan = plan, .random = g_rand_new_with_seed(seed)};
    simulation->events = g_sequence_new(g_free);
    simulation->state = fake_state_store_new();
    simulation->workers = g_ptr_array_new_with_free_func(fake_worker_free);
    simulation->held_heartbeats = g_ptr_array_new_with_free_func(sim_heartbeat_free);
    simulation->held_copies = g_ptr_array_new_with_free_func(sim_command_copy_free);
    simulation->instance_requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    simulation->final_records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    simulation->jobs = g_array_new(FALSE, TRUE, sizeof(sim_job));
    create_nodes(simulation);
    sim_create_jobs(simulation);
    sim_schedule(simulation, 0, sim_expire_leases, NULL);
    sim_schedule_faults(simulation);
    if (plan->services > 0)
        sim_schedule(simulation, plan->faults_end_at + SERVICE_OBSERVATION_S - 40,
                     sim_check_services, NULL);
}

static void free_event_data(gpointer data, gpointer user_data)
{
    const sim_event *event = data;
    (void)user_data;
    if (event->free_data)
        event->free_data(event->data);
}

/* Frees everything that the run owns except the violation text, which sim_run() returns to its
 * caller. */
static void sim_clear(sim *simulation)
{
    g_sequence_foreach(simulation->events, free_event_data, NULL);
    g_sequence_free(simulation->events);
    for (int i = 0; i < NODES; i++) {
        sim_node *node = &simulation->nodes[i];
        mv_controller_free(node->controller);
        mv_settings_free(node->settings);
        g_hash_table_unref(node->listed_keys);
    }
    for (guint i = 0; i < simulation->jobs->len; i++)
        g_free(g_array_index(simulation->jobs, sim_job, i).completed);
    g_array_unref(simulation->jobs);
    g_hash_table_unref(simulation->instance_requests);
    g_hash_table_unref(simulation->final_records);
    g_ptr_array_unref(simulation->workers);
    g_ptr_array_unref(simulation->held_heartbeats);
    g_ptr_array_unref(simulation->held_copies);
    fake_state_store_free(simulation->state);
    g_rand_free(simulation->random);
}

char *sim_run(guint32 seed, const sim_plan *plan)
{
    sim simulation;
    bool ended = false;
    double last_liveness_check = 0;
    sim_init(&simulation, seed, plan);
    while (!simulation.violation && !ended &&
           simulation.now < plan->faults_end_at + plan->deadline_at) {
        run_next_event(&simulation);
        sim_check_rules(&simulation);
        sim_release_command_copies(&simulation);
        if (simulation.now <= last_liveness_check + LIVENESS_CHECK_INTERVAL_S)
            continue;
        last_liveness_check = simulation.now;
        sim_check_liveness(&simulation);
        ended = sim_all_jobs_ended(&simulation) && simulation.now > plan->faults_end_at;
    }
    if (!simulation.violation && !ended)
        sim_check_stuck_jobs(&simulation);
    sim_clear(&simulation);
    return simulation.violation;
}
