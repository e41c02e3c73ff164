/**
 * Sends the controller's commands to the agents of machines.
 */
#include "server/command_executor.h"

#include "protocol/names.h"
#include "server/clocks.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "transport/http_client.h"

typedef struct {
    mv_command_executor *executor;
    unsigned index; /* index of the worker and of the worker's queue in command_queues.h */
} command_worker;

struct mv_command_executor {
    const mv_settings *settings;
    mv_shared_controller *controller;
    mv_thread_group *threads;
    command_worker workers[MV_COMMAND_WORKERS_MAX];
};

mv_command_executor *mv_command_executor_new(const mv_settings *settings,
                                             mv_shared_controller *controller,
                                             mv_thread_group *threads)
{
    mv_command_executor *executor = g_new0(mv_command_executor, 1);
    executor->settings = settings;
    executor->controller = controller;
    executor->threads = threads;
    for (unsigned i = 0; i < MV_COMMAND_WORKERS_MAX; i++)
        executor->workers[i] = (command_worker){.executor = executor, .index = i};
    return executor;
}

void mv_command_executor_free(mv_command_executor *executor)
{
    g_free(executor);
}

static void log_answer(const mv_action *command, int status, const mv_heartbeat *heartbeat,
                       double took_s)
{
    mv_debug("command_completed",
             "machine=%s command=%" G_GUINT64_FORMAT
             " status=%d commands=%u took_s=%.3f token=%" G_GUINT64_FORMAT
             " epoch=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT
             " reported_token=%" G_GUINT64_FORMAT,
             command->machine, command->id, status, command->commands->len, took_s,
             command->fencing_token, command->agent_epoch, heartbeat->sequence,
             heartbeat->fencing_token);
}

/* Reports the outcome of a command to the controller, with the agent's heartbeat if the response
 * holds a heartbeat. */
static void command_completed(mv_command_executor *executor, const mv_action *command,
                              const mv_http_result *result, double took_s)
{
    gsize size;
    const void *body = g_bytes_get_data(result->body, &size);
    g_autoptr(mv_document) document = result->status ? mv_document_parse(body, size) : NULL;
    mv_heartbeat heartbeat = {0};
    const bool parsed = document && mv_heartbeat_parse(mv_document_root(document), &heartbeat);
    log_answer(command, result->status, &heartbeat, took_s);
    double now;
    mv_controller *controller = mv_shared_controller_lock(executor->controller, &now);
    mv_controller_command_completed(controller, now, command->id, result->status,
                                    parsed ? &heartbeat : NULL);
    mv_shared_controller_unlock(executor->controller);
    mv_heartbeat_clear(&heartbeat);
}

static void send_command(mv_command_executor *executor, const mv_action *command)
{
    const double started = mv_monotonic_now();
    g_autoptr(GBytes) body =
        mv_commands_pack(command->fencing_token, command->agent_epoch, command->commands);
    mv_http_result result;
    mv_http_call("POST", command->address, WIRE_COMMANDS_PATH, body, command->timeout_ms, &result);
    const double took_s = mv_monotonic_now() - started;
    mv_metrics_record_latency(MV_LATENCY_COMMAND, took_s);
    mv_metrics_record_status(MV_LATENCY_COMMAND, result.status);
    command_completed(executor, command, &result, took_s);
    mv_http_result_clear(&result);
}

/* Sends the commands of one worker until the queues are closed. A helper has no machines of its own
 * and therefore keeps only the minimum number of connections open. */
static void run_worker(void *context)
{
    const command_worker *worker = context;
    mv_command_executor *executor = worker->executor;
    const bool has_machines = worker->index < MV_COMMAND_THREADS;
    if (has_machines)
        mv_http_client_set_connections(executor->settings->max_connections *
                                       MV_COMMAND_SOCKET_SHARE / MV_COMMAND_THREADS);
    mv_action *command;
    while ((command = mv_shared_controller_take_command(executor->controller, worker->index))) {
        if (mv_shared_controller_action_is_valid(executor->controller, command))
            send_command(executor, command);
        mv_action_free(command);
    }
}

/* Starts the thread of a worker. The command queues call this function for helpers, as an
 * mv_command_helper_start, with the controller's lock held. */
static bool start_worker(void *context, unsigned index)
{
    mv_command_executor *executor = context;
    return mv_thread_group_start(executor->threads, run_worker, &executor->workers[index]);
}

bool mv_command_executor_start(mv_command_executor *executor)
{
    bool started = true;
    for (unsigned i = 0; i < MV_COMMAND_THREADS && started; i++)
        started = start_worker(executor, i);
    if (started)
        mv_shared_controller_enable_command_helpers(executor->controller, start_worker, executor);
    return started;
}
