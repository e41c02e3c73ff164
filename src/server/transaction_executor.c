/**
 * Commits the controller's transactions to the state service.
 */
#include "server/transaction_executor.h"

#include "server/clocks.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

struct mv_transaction_executor {
    mv_shared_controller *controller;
    mv_state_store *state_store;
};

mv_transaction_executor *mv_transaction_executor_new(mv_shared_controller *controller,
                                                     mv_state_store *state_store)
{
    mv_transaction_executor *executor = g_new0(mv_transaction_executor, 1);
    executor->controller = controller;
    executor->state_store = state_store;
    return executor;
}

void mv_transaction_executor_free(mv_transaction_executor *executor)
{
    g_free(executor);
}

static mv_transaction_result transaction_result(mv_state_store_result result)
{
    switch (result) {
    case MV_STATE_STORE_OK:
        return MV_TRANSACTION_COMMITTED;
    case MV_STATE_STORE_CONFLICT:
        return MV_TRANSACTION_CONFLICT;
    case MV_STATE_STORE_TOO_LARGE:
        return MV_TRANSACTION_TOO_LARGE;
    default:
        return MV_TRANSACTION_UNKNOWN;
    }
}

/* Commits one transaction and reports the result to the controller. */
static void execute(mv_transaction_executor *executor, const mv_action *action)
{
    const double started = mv_monotonic_now();
    const mv_state_store_result result = mv_state_store_commit(
        executor->state_store, action->preconditions, action->writes, action->urgent);
    const double took_s = mv_monotonic_now() - started;
    mv_metrics_record_latency(MV_LATENCY_TRANSACTION, took_s);
    mv_debug("transaction_completed", "key=%s result=%d took_s=%.3f",
             action->writes->len ? g_array_index(action->writes, mv_write, 0).key : "-", result,
             took_s);
    double now;
    mv_controller *controller = mv_shared_controller_lock(executor->controller, &now);
    mv_controller_transaction_completed(controller, now, action->id, transaction_result(result));
    mv_shared_controller_unlock(executor->controller);
}

static void execute_all(mv_transaction_executor *executor, mv_action_queue_name queue)
{
    mv_action *action;
    while ((action = mv_shared_controller_take_action(executor->controller, queue))) {
        execute(executor, action);
        mv_action_free(action);
    }
}

static void run_urgent(void *context)
{
    execute_all(context, MV_QUEUE_URGENT_TRANSACTIONS);
}

static void run_deferrable(void *context)
{
    execute_all(context, MV_QUEUE_DEFERRABLE_TRANSACTIONS);
}

bool mv_transaction_executor_start(mv_transaction_executor *executor, mv_thread_group *threads)
{
    bool started = mv_thread_group_start(threads, run_deferrable, executor);
    for (int i = 0; i < MV_TRANSACTION_THREADS && started; i++)
        started = mv_thread_group_start(threads, run_urgent, executor);
    return started;
}
