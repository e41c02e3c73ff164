/**
 * Access of the simulated controllers to the cloud: capacity, scale-out and scale-in, and the lists
 * of machines and machine types.
 *
 * Scale-out requests are idempotent by their name: a repeated request returns the machines of the
 * first request. The list of machines is several seconds old when it arrives.
 */
#include "sim_internal.h"

#include <string.h>

#define BOOT_FAILURE_SHARE 0.05 /* share of machines that never finish booting */
#define LISTED_AGE_S 30
/* A machine that booted and was rented less than this many seconds ago must not be returned because
 * of jobs that fail on every machine. */
#define YOUNG_MACHINE_S 50
/* A late request to return machines is executed after LATE_RETURN_MIN_S to LATE_RETURN_SHORT_S, or
 * up to LATE_RETURN_LONG_S. */
#define LATE_RETURN_MIN_S 0.2
#define LATE_RETURN_SHORT_S 8
#define LATE_RETURN_LONG_S 150

static void complete(sim *simulation, sim_request *request)
{
    sim_request_complete(simulation, request, sim_random(simulation, 0.05, 0.3));
}

/* Returns whether the sender may still act as leader when its request is sent. If the sender may
 * not, the cloud does not execute the request, and the request ends without a response. */
static bool is_still_valid(sim *simulation, sim_request *request)
{
    sim_node *node = request->node;
    if (!sim_request_sender_runs(request) ||
        mv_controller_action_is_valid(node->controller, sim_steady_clock(simulation, node),
                                      request->action))
        return true;
    sim_request_complete(simulation, request, 0);
    return false;
}

/* Answers the request with HTTP status 503 during an outage of the cloud, without executing the
 * request. Returns true if the request was answered. */
static bool answered_unavailable(sim *simulation, sim_request *request)
{
    if (simulation->now >= simulation->cloud_outage_until)
        return false;
    request->status = SIM_HTTP_UNAVAILABLE;
    complete(simulation, request);
    return true;
}

/* Returns whether the cloud executes the request now. If not, the request has already been
 * scheduled again or completed, and the caller must not use the request any more. */
static bool is_accepted(sim *simulation, sim_request *request, sim_event_handler handler)
{
    return !sim_request_defer_frozen(simulation, request, handler) &&
           is_still_valid(simulation, request) && !answered_unavailable(simulation, request);
}

/* --- scale out --- */

static bool capacity_left(const sim *simulation, const char *zone_name)
{
    const guint small_zone_capacity = simulation->plan->small_zone;
    const bool is_small_zone = strcmp(zone_name, "y") == 0;
    const guint capacity = is_small_zone ? small_zone_capacity : CAPACITY - small_zone_capacity;
    guint machines = 0;
    for (guint i = 0; i < simulation->workers->len; i++) {
        const fake_worker *worker = g_ptr_array_index(simulation->workers, i);
        machines += !worker->gone && strcmp(worker->zone_name, zone_name) == 0;
    }
    return machines < capacity;
}

static double draw_boot_time(sim *simulation)
{
    if (sim_chance(simulation, BOOT_FAILURE_SHARE))
        return NEVER_S;
    return sim_random(simulation, 0.5, simulation->plan->quick_boot ? 2 : 15);
}

/* Creates a machine, which the run owns. */
static fake_worker *create_worker(sim *simulation, const mv_action *action)
{
    g_autofree char *id = g_strdup_printf("vm-%06u", ++simulation->last_worker_number);
    fake_worker *worker = fake_worker_new(id, action->type_name, action->spot,
                                          simulation->nodes[0].settings->lease_s);
    g_strlcpy(worker->address, id, sizeof worker->address);
    g_strlcpy(worker->zone_name, action->zone_name, sizeof worker->zone_name);
    worker->rented_at = simulation->now;
    worker->booted_at = simulation->now + draw_boot_time(simulation);
    worker->lease_renewed_at = worker->booted_at;
    worker->changed = true;
    g_ptr_array_add(simulation->workers, worker);
    return worker;
}

/* Creates the requested number of machines, or fewer if the capacity of the zone is exhausted.
 * Returns the names of the machines; the run owns the list. */
static GPtrArray *create_instances(sim *simulation, const mv_action *action)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_insert(simulation->instance_requests, g_strdup(action->name), names);
    for (unsigned i = 0; i < action->count && capacity_left(simulation, action->zone_name); i++) {
        fake_worker *worker = create_worker(simulation, action);
        g_ptr_array_add(names, g_strdup(worker->id));
        sim_schedule(simulation, sim_random(simulation, 0, 0.2), sim_worker_step, worker);
    }
    return names;
}

void sim_execute_scale_out(sim *simulation, gpointer data)
{
    sim_request *request = data;
    const mv_action *action = request->action;
    if (!is_accepted(simulation, request, sim_execute_scale_out))
        return;
    GPtrArray *names = g_hash_table_lookup(simulation->instance_requests, action->name);
    if (!names && capacity_left(simulation, action->zone_name))
        names = create_instances(simulation, action);
    else if (!names)
        request->refused = true;
    if (names && !sim_chance(simulation, simulation->plan->message_loss))
        request->machine_names = g_ptr_array_ref(names);
    complete(simulation, request);
}

/* --- scale in --- */

/* Returns whether every machine stays reachable and alive under the plan. If so, a controller must
 * not release a machine that runs a task. */
static bool plan_keeps_machines_reachable(const sim_plan *plan)
{
    return !plan->machine_crash && !plan->message_delay && !plan->message_loss &&
           !plan->machine_cut && !plan->block_commands && !plan->machine_quick_restart &&
           !plan->machine_restart_in_epoch && !plan->machine_restart_anew && !plan->machine_hang &&
           !plan->zone_cut;
}

static void check_release(sim *simulation, const fake_worker *worker)
{
    const sim_plan *plan = simulation->plan;
    const bool is_young = simulation->now > worker->booted_at &&
                          simulation->now < worker->rented_at + YOUNG_MACHINE_S;
    if (sim_plan_only_crashes(plan) && !plan->machine_crash && is_young)
        sim_violation(simulation, "returned %s too soon after it was rented", worker->id);
    if (!plan_keeps_machines_reachable(plan))
        return;
    for (guint i = 0; i < worker->tasks->len && !worker->gone; i++) {
        const fake_task *task = g_ptr_array_index(worker->tasks, i);
        if (task->status == FAKE_TASK_RUNNING)
            sim_violation(simulation, "released %s at work", worker->id);
    }
}

/* A request to return machines that the cloud executes late. */
typedef struct {
    GPtrArray *names; /* char * */
    double sent_at;
} late_return;

static void free_late_return(gpointer data)
{
    late_return *late = data;
    g_ptr_array_unref(late->names);
    g_free(late);
}

/* A machine whose return was requested must not get a task after that, because the request can be
 * executed at any time. */
static void check_late_return(sim *simulation, const fake_worker *worker, double sent_at)
{
    for (guint i = 0; i < worker->tasks->len; i++) {
        const fake_task *task = g_ptr_array_index(worker->tasks, i);
        if (task->status == FAKE_TASK_RUNNING && task->started_at > sent_at)
            sim_violation(simulation, "returned %s, which got work after the request", worker->id);
    }
}

static void execute_late_return(sim *simulation, gpointer data)
{
    late_return *late = data;
    for (guint i = 0; i < late->names->len; i++) {
        fake_worker *worker = sim_worker_by_id(simulation, g_ptr_array_index(late->names, i));
        if (!worker || worker->gone)
            continue;
        check_late_return(simulation, worker, late->sent_at);
        worker->gone = true;
        if (simulation->plan->returned_late)
            (*simulation->plan->returned_late)++;
    }
    free_late_return(late);
}

/* Lets the cloud execute the request at a time from a fraction of a second to minutes later, while
 * its sender gets no response. */
static void execute_late(sim *simulation, sim_request *request)
{
    late_return *late = g_new0(late_return, 1);
    late->names = g_ptr_array_ref(request->action->machine_names);
    late->sent_at = simulation->now;
    const double longest_s = sim_chance(simulation, 0.5) ? LATE_RETURN_SHORT_S : LATE_RETURN_LONG_S;
    sim_schedule_owned(simulation, sim_random(simulation, LATE_RETURN_MIN_S, longest_s),
                       execute_late_return, late, free_late_return);
    request->status = SIM_HTTP_NONE;
    sim_request_complete(simulation, request, REQUEST_TIMEOUT_S);
}

void sim_execute_scale_in(sim *simulation, gpointer data)
{
    sim_request *request = data;
    if (!is_accepted(simulation, request, sim_execute_scale_in))
        return;
    const double late_share = simulation->plan->late_returns;
    if (late_share > 0 && sim_chance(simulation, late_share)) {
        execute_late(simulation, request);
        return;
    }
    const GPtrArray *names = request->action->machine_names;
    for (guint i = 0; i < names->len; i++) {
        fake_worker *worker = sim_worker_by_id(simulation, g_ptr_array_index(names, i));
        if (!worker)
            continue;
        check_release(simulation, worker);
        worker->gone = true;
    }
    const bool response_lost = sim_chance(simulation, simulation->plan->message_loss);
    request->status = response_lost ? SIM_HTTP_NONE : SIM_HTTP_OK;
    complete(simulation, request);
}

/* --- lists --- */

static mv_listed_machine describe(const sim *simulation, const fake_worker *worker)
{
    mv_listed_machine listed = {.spot = worker->spot,
                                .booting = simulation->now < worker->booted_at,
                                .age_s = LISTED_AGE_S};
    g_strlcpy(listed.id, worker->id, sizeof listed.id);
    g_strlcpy(listed.address, worker->address, sizeof listed.address);
    g_strlcpy(listed.type_name, worker->type_name, sizeof listed.type_name);
    g_strlcpy(listed.zone_name, worker->zone_name, sizeof listed.zone_name);
    return listed;
}

void sim_execute_list_machines(sim *simulation, gpointer data)
{
    sim_request *request = data;
    if (answered_unavailable(simulation, request))
        return;
    request->listed_machines = g_array_new(FALSE, TRUE, sizeof(mv_listed_machine));
    for (guint i = 0; i < simulation->workers->len; i++) {
        const fake_worker *worker = g_ptr_array_index(simulation->workers, i);
        if (worker->gone)
            continue;
        const mv_listed_machine listed = describe(simulation, worker);
        g_array_append_val(request->listed_machines, listed);
    }
    sim_request_complete(simulation, request, sim_random(simulation, 2, 8));
}

void sim_execute_list_types(sim *simulation, gpointer data)
{
    sim_request *request = data;
    if (sim_request_defer_frozen(simulation, request, sim_execute_list_types))
        return;
    if (sim_request_sender_runs(request)) {
        sim_node *node = request->node;
        mv_controller_types_listed(node->controller, sim_steady_clock(simulation, node),
                                   sim_machine_types(simulation->plan));
        sim_node_send_actions(simulation, node);
    }
    sim_request_free(request);
}
