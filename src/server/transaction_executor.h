/**
 * The threads that commit the controller's transactions to the state service:
 * MV_TRANSACTION_THREADS threads for urgent transactions, and one thread for deferrable
 * transactions, which can wait for the write budget.
 */
#ifndef MV_TRANSACTION_EXECUTOR_H
#define MV_TRANSACTION_EXECUTOR_H
#include "server/shared_controller.h"
#include "server/thread_group.h"
#include "storage/state_store.h"

typedef struct mv_transaction_executor mv_transaction_executor;

/** Returns an executor, which the caller frees. The arguments have to outlive the executor. */
mv_transaction_executor *mv_transaction_executor_new(mv_shared_controller *controller,
                                                     mv_state_store *state_store);
/** Frees the executor. Its threads must have been joined before. */
void mv_transaction_executor_free(mv_transaction_executor *executor);
/**
 * Starts the threads, which end when the queues are closed. Returns false if a thread cannot be
 * started.
 */
bool mv_transaction_executor_start(mv_transaction_executor *executor, mv_thread_group *threads);
#endif
