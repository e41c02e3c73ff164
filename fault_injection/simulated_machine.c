/**
 * Simulated machines: they send heartbeats, execute commands, and record in the history which tasks
 * start and exit.
 */
#include "simulated_machine.h"

#include "agent_codec.h"
#include "executed_commands.h"
#include "fake_worker.h"
#include "loopback_server.h"
#include "protocol/names.h"
#include "steady_clock.h"
#include "transport/http_client.h"

#include <microhttpd.h>
#include <pthread.h>
#include <string.h>

/* The published protocol sets this time for a heartbeat that receives no response. */
#define HEARTBEAT_TIMEOUT_MS 4000
#define TASK_CORES MV_SIMULATED_TASK_CORES
#define TASK_RAM_GB 1
#define HANG_POLL_US 5000

struct mv_simulated_machine {
    const mv_machine_options *options;
    pthread_mutex_t lock; /* guards all fields up to `deleted` */
    fake_worker *worker;
    /* "job/task/attempt" -> fake_task, a copy of each task as of the latest record_changes */
    GHashTable *recorded;
    mv_executed_commands *executed;
    bool repeats_commands; /* copies arrive of executed commands with forgotten attempts */
    bool repeats_all;      /* a copy of each executed command is due */
    bool stopping, hung, heartbeats_lost, deleted;
    mv_loopback_server *server;
    mv_relay *command_link;
    pthread_t thread;
};

/* --- history; the caller of each function holds the machine's lock --- */

static void record_event(const mv_simulated_machine *machine, mv_event_kind kind,
                         const fake_task *task)
{
    mv_event event = {.kind = kind,
                      .task = task->task,
                      .attempt = task->attempt,
                      .fencing_token = machine->worker->fencing_token};
    g_strlcpy(event.subject, machine->worker->id, sizeof event.subject);
    g_strlcpy(event.job_id, task->job_id, sizeof event.job_id);
    mv_history_add(machine->options->history, event);
}

static char *task_key(const fake_task *task)
{
    return g_strdup_printf("%s/%u/%" G_GUINT64_FORMAT, task->job_id, task->task, task->attempt);
}

static bool is_on_machine(const mv_simulated_machine *machine, const char *key)
{
    for (guint i = 0; i < machine->worker->tasks->len; i++) {
        g_autofree char *present = task_key(g_ptr_array_index(machine->worker->tasks, i));
        if (strcmp(present, key) == 0)
            return true;
    }
    return false;
}

/* Callback of g_hash_table_foreach_remove: returns TRUE if the task is no longer on the machine. If
 * the task had not exited before, the function records the task as lost. */
static gboolean record_if_gone(gpointer key, gpointer value, gpointer data)
{
    const mv_simulated_machine *machine = data;
    const fake_task *task = value;
    if (is_on_machine(machine, key))
        return FALSE;
    if (task->status != FAKE_TASK_EXITED)
        record_event(machine, MV_EVENT_LOST, task);
    return TRUE;
}

/* Records the start and the exit of a task if they occurred after the previous call. `before` is
 * the task as of that call, or NULL if the task is new. A task whose launch the worker refused
 * never started, so the function records nothing for that task. */
static void record_task(const mv_simulated_machine *machine, const fake_task *before,
                        const fake_task *task)
{
    const bool has_run = task->started_at > 0 && !task->never_runs;
    const bool had_exited = before && before->status == FAKE_TASK_EXITED;
    if (has_run && !before)
        record_event(machine, MV_EVENT_STARTED, task);
    if (has_run && !had_exited && task->exit_reason == MV_EXIT_DONE &&
        task->status == FAKE_TASK_EXITED)
        mv_completed_tasks_add(machine->options->completed, task->job_id, task->task);
    if (has_run && !had_exited && task->status == FAKE_TASK_EXITED)
        record_event(machine, task->exit_reason == MV_EXIT_DONE ? MV_EVENT_DONE : MV_EVENT_LOST,
                     task);
}

/* Records in the history which tasks have started, exited or vanished since the previous call. A
 * task starts when the machine has its image; one that is stopped before never starts. */
static void record_changes(mv_simulated_machine *machine)
{
    if (!machine->options->history)
        return;
    const double now = mv_steady_now_s();
    g_hash_table_foreach_remove(machine->recorded, record_if_gone, machine);
    for (guint i = 0; i < machine->worker->tasks->len; i++) {
        const fake_task *task = g_ptr_array_index(machine->worker->tasks, i);
        char *key = task_key(task);
        const fake_task *before = g_hash_table_lookup(machine->recorded, key);
        const bool has_image = now >= task->fetched_at;
        if (!before && !has_image && task->status != FAKE_TASK_EXITED) {
            g_free(key);
            continue;
        }
        if (before || has_image)
            record_task(machine, before, task);
        g_hash_table_replace(machine->recorded, key, g_memdup2(task, sizeof *task));
    }
}

/* --- hangs --- */

/* Waits until the machine does not hang. Returns with the machine's lock taken. */
static void lock_when_running(mv_simulated_machine *machine)
{
    pthread_mutex_lock(&machine->lock);
    while (machine->hung && !machine->stopping) {
        pthread_mutex_unlock(&machine->lock);
        g_usleep(HANG_POLL_US);
        pthread_mutex_lock(&machine->lock);
    }
}

/* --- commands --- */

static fake_task_spec task_spec(void *context, const char *job, uint32_t task)
{
    const mv_machine_options *options = context;
    return (fake_task_spec){.completed = mv_completed_tasks_contain(options->completed, job, task),
                            .cores = TASK_CORES,
                            .ram_gb = TASK_RAM_GB,
                            .run_s = options->run_s,
                            .fetch_s = options->fetch_s,
                            .known = true};
}

static void write_heartbeat(mv_writer *writer, fake_worker *worker)
{
    mv_heartbeat heartbeat;
    fake_worker_heartbeat(worker, mv_steady_now_s(), &heartbeat);
    mv_agent_write_heartbeat(writer, &heartbeat);
    mv_heartbeat_clear(&heartbeat);
}

static int handle_commands(void *context, const mv_loopback_request *request, mv_writer *response)
{
    mv_simulated_machine *machine = context;
    uint64_t fencing_token = 0;
    uint64_t agent_epoch = 0;
    if (strcmp(request->path, WIRE_COMMANDS_PATH) != 0 ||
        mv_field_read_u64(request->body, WIRE_FENCING_TOKEN, &fencing_token) != MV_FIELD_PRESENT ||
        mv_field_read_u64(request->body, WIRE_AGENT_EPOCH, &agent_epoch) != MV_FIELD_PRESENT)
        return MHD_HTTP_BAD_REQUEST;
    g_autoptr(GArray) commands = mv_agent_read_commands(request->body);
    lock_when_running(machine);
    if (machine->deleted) {
        pthread_mutex_unlock(&machine->lock);
        return MHD_HTTP_SERVICE_UNAVAILABLE;
    }
    const int status =
        fake_worker_receive_command(machine->worker, fencing_token, agent_epoch, commands,
                                    mv_steady_now_s(), task_spec, (void *)machine->options);
    if (status == MHD_HTTP_OK)
        mv_executed_commands_add(machine->executed, fencing_token, agent_epoch, commands);
    record_changes(machine);
    write_heartbeat(response, machine->worker);
    pthread_mutex_unlock(&machine->lock);
    return status;
}

/* --- heartbeats --- */

typedef struct {
    uint64_t agent_epoch;
    double sent_at;
    GBytes *body; /* owned */
} sent_heartbeat;

/* Delivers the copies of executed commands that are due; the caller holds the machine's lock. */
static void repeat_commands(mv_simulated_machine *machine)
{
    if (!machine->repeats_commands || machine->deleted)
        return;
    mv_executed_commands_repeat(machine->executed, machine->worker, !machine->repeats_all,
                                mv_steady_now_s(), task_spec, (void *)machine->options);
    machine->repeats_all = false;
}

static sent_heartbeat next_heartbeat(mv_simulated_machine *machine)
{
    mv_writer *writer = mv_writer_new();
    lock_when_running(machine);
    fake_worker_advance(machine->worker, mv_steady_now_s());
    repeat_commands(machine);
    record_changes(machine);
    sent_heartbeat heartbeat = {.agent_epoch = machine->worker->agent_epoch,
                                .sent_at = mv_steady_now_s()};
    write_heartbeat(writer, machine->worker);
    pthread_mutex_unlock(&machine->lock);
    heartbeat.body = mv_writer_finish(writer);
    return heartbeat;
}

/* Passes a controller's response to the worker. Returns false if the body has no fencing token,
 * because then the response is not from the controller that owns the machine. */
static bool apply_response(mv_simulated_machine *machine, const sent_heartbeat *heartbeat,
                           const msgpack_object *body)
{
    uint64_t fencing_token = 0;
    if (mv_field_read_u64(body, WIRE_FENCING_TOKEN, &fencing_token) != MV_FIELD_PRESENT)
        return false;
    g_autoptr(GArray) commands = mv_agent_read_commands(body);
    lock_when_running(machine);
    const bool given_up = mv_steady_now_s() > heartbeat->sent_at + HEARTBEAT_TIMEOUT_MS / 1000.0;
    if (machine->deleted || given_up) {
        pthread_mutex_unlock(&machine->lock);
        return false;
    }
    fake_worker_receive_response(machine->worker, heartbeat->agent_epoch, heartbeat->sent_at,
                                 fencing_token, commands, mv_steady_now_s(), task_spec,
                                 (void *)machine->options);
    record_changes(machine);
    pthread_mutex_unlock(&machine->lock);
    return true;
}

/* Returns the number of the controller to which the response redirects the machine, or `fallback`
 * if the response names no known controller. */
static unsigned redirect_target(const mv_machine_options *options, const msgpack_object *body,
                                unsigned fallback)
{
    char target[40] = "";
    mv_field_read_text(body, WIRE_REDIRECT_TO, target, sizeof target);
    for (unsigned i = 0; i < options->controller_count; i++) {
        char name[40];
        g_snprintf(name, sizeof name, "n%u", i);
        if (strcmp(name, target) == 0)
            return i;
    }
    return fallback;
}

/* Sends one heartbeat to a controller and returns the number of the controller that receives the
 * next heartbeat. That is the same controller if the controller accepted the heartbeat, the owner
 * named in the response if the controller redirected the machine, and otherwise the next controller
 * by number. */
static unsigned send_heartbeat(mv_simulated_machine *machine, unsigned controller)
{
    const mv_machine_options *options = machine->options;
    const sent_heartbeat heartbeat = next_heartbeat(machine);
    g_autoptr(GBytes) body = heartbeat.body;
    mv_http_result result;
    mv_http_call("POST", options->controllers[controller], WIRE_HEARTBEAT_PATH, body,
                 HEARTBEAT_TIMEOUT_MS, &result);
    gsize size;
    const void *data = g_bytes_get_data(result.body, &size);
    g_autoptr(mv_document) document = mv_document_parse(data, size);
    const msgpack_object *response = document ? mv_document_root(document) : NULL;
    unsigned next = (controller + 1) % options->controller_count;
    if (response && result.status == MHD_HTTP_OK && apply_response(machine, &heartbeat, response))
        next = controller;
    else if (response && result.status == MHD_HTTP_MISDIRECTED_REQUEST)
        next = redirect_target(options, response, next);
    mv_http_result_clear(&result);
    return next;
}

static bool is_stopping(mv_simulated_machine *machine)
{
    pthread_mutex_lock(&machine->lock);
    const bool stopping = machine->stopping || machine->deleted;
    pthread_mutex_unlock(&machine->lock);
    return stopping;
}

/* Lets the worker's clock run on without a heartbeat. */
static void skip_heartbeat(mv_simulated_machine *machine)
{
    const sent_heartbeat heartbeat = next_heartbeat(machine);
    g_bytes_unref(heartbeat.body);
}

static bool heartbeats_are_lost(mv_simulated_machine *machine)
{
    pthread_mutex_lock(&machine->lock);
    const bool lost = machine->heartbeats_lost;
    pthread_mutex_unlock(&machine->lock);
    return lost;
}

static void *heartbeat_thread(void *arg)
{
    mv_simulated_machine *machine = arg;
    unsigned controller = 0;
    while (!is_stopping(machine)) {
        if (heartbeats_are_lost(machine))
            skip_heartbeat(machine);
        else
            controller = send_heartbeat(machine, controller);
        g_usleep(machine->options->heartbeat_ms * 1000ul);
    }
    return NULL;
}

/* --- start and stop --- */

mv_simulated_machine *mv_simulated_machine_start(const mv_machine_options *options, const char *id,
                                                 const char *type_name, bool spot)
{
    mv_simulated_machine *machine = g_new0(mv_simulated_machine, 1);
    fake_worker *worker = fake_worker_new(id, type_name, spot, options->lease_s);
    worker->lease_renewed_at = mv_steady_now_s();
    machine->options = options;
    machine->worker = worker;
    machine->recorded = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    machine->executed = mv_executed_commands_new();
    pthread_mutex_init(&machine->lock, NULL);
    machine->server = mv_loopback_server_start(handle_commands, machine);
    uint16_t port = 0;
    machine->command_link = mv_relay_start(mv_loopback_server_port(machine->server), &port);
    g_assert_nonnull(machine->command_link);
    g_snprintf(worker->address, sizeof worker->address, "127.0.0.1:%u", port);
    const int error = pthread_create(&machine->thread, NULL, heartbeat_thread, machine);
    g_assert_cmpint(error, ==, 0);
    return machine;
}

void mv_simulated_machine_set_command_link(mv_simulated_machine *machine,
                                           const mv_link_fault *fault)
{
    mv_relay_set(machine->command_link, fault);
}

void mv_simulated_machine_set_hung(mv_simulated_machine *machine, bool hung)
{
    pthread_mutex_lock(&machine->lock);
    machine->hung = hung;
    pthread_mutex_unlock(&machine->lock);
}

void mv_simulated_machine_set_heartbeats_lost(mv_simulated_machine *machine, bool lost)
{
    pthread_mutex_lock(&machine->lock);
    machine->heartbeats_lost = lost;
    pthread_mutex_unlock(&machine->lock);
}

void mv_simulated_machine_set_repeats_commands(mv_simulated_machine *machine, bool repeats)
{
    pthread_mutex_lock(&machine->lock);
    machine->repeats_commands = machine->repeats_all = repeats;
    pthread_mutex_unlock(&machine->lock);
}

void mv_simulated_machine_delete(mv_simulated_machine *machine)
{
    pthread_mutex_lock(&machine->lock);
    machine->deleted = true;
    g_ptr_array_set_size(machine->worker->tasks, 0);
    record_changes(machine);
    pthread_mutex_unlock(&machine->lock);
}

const char *mv_simulated_machine_id(const mv_simulated_machine *machine)
{
    return machine->worker->id;
}

void mv_simulated_machine_request_stop(mv_simulated_machine *machine)
{
    pthread_mutex_lock(&machine->lock);
    machine->stopping = true;
    pthread_mutex_unlock(&machine->lock);
}

void mv_simulated_machine_free(mv_simulated_machine *machine)
{
    mv_simulated_machine_request_stop(machine);
    pthread_join(machine->thread, NULL);
    mv_relay_stop(machine->command_link);
    mv_loopback_server_stop(machine->server);
    fake_worker_free(machine->worker);
    g_hash_table_unref(machine->recorded);
    mv_executed_commands_free(machine->executed);
    pthread_mutex_destroy(&machine->lock);
    g_free(machine);
}
