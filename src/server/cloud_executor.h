/**
 * The threads that send the controller's requests to the cloud: to scale out, to scale in, and to
 * list machines and machine types. The threads keep to the cloud's rate limit.
 */
#ifndef MV_CLOUD_EXECUTOR_H
#define MV_CLOUD_EXECUTOR_H
#include "config/settings.h"
#include "server/shared_controller.h"
#include "server/thread_group.h"

typedef struct mv_cloud_executor mv_cloud_executor;

/** Returns an executor, which the caller frees. The arguments have to outlive the executor. */
mv_cloud_executor *mv_cloud_executor_new(const mv_settings *settings,
                                         mv_shared_controller *controller,
                                         mv_thread_group *threads);
/** Frees the executor. Its threads must have been joined before. */
void mv_cloud_executor_free(mv_cloud_executor *executor);
/**
 * Starts the threads, which end when the queues are closed. Returns false if a thread cannot be
 * started.
 */
bool mv_cloud_executor_start(mv_cloud_executor *executor);
#endif
