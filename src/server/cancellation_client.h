/**
 * Asks the owners of shards on other controllers to acknowledge cancellations of jobs.
 *
 * Each peer has connections of its own for this, up to MV_CANCEL_CONNECTIONS_MAX, so that users'
 * requests which wait for a peer do not delay cancellations. After a peer gave no response, it
 * counts as unreachable for MV_CANCEL_PEER_PAUSE_MS without being asked.
 *
 * Thread-safe. mv_cancellation_client_request blocks on the network, so the caller must not hold
 * the controller's lock.
 */
#ifndef MV_CANCELLATION_CLIENT_H
#define MV_CANCELLATION_CLIENT_H
#include "config/settings.h"
#include "coordination/controller.h"

typedef struct mv_cancellation_client mv_cancellation_client;

/** Returns an unconnected client, which the caller frees. `settings` has to outlive the client. */
mv_cancellation_client *mv_cancellation_client_new(const mv_settings *settings);
/** Closes the connections and frees the client. No thread may use the client any more. */
void mv_cancellation_client_free(mv_cancellation_client *client);
/**
 * Asks the controller that holds the grant to acknowledge the cancellation of a job of the shard.
 * Returns its answer, or MV_CANCELLATION_UNREACHABLE if it gives none within MV_PEER_TIMEOUT_MS or
 * the settings do not name it.
 */
mv_cancellation_answer mv_cancellation_client_request(const mv_cancellation_client *client,
                                                      const mv_shard_grant *grant,
                                                      const char *job_id);
#endif
