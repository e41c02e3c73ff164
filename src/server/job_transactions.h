/**
 * Transactions on the state service that create and cancel jobs for users' requests.
 *
 * All functions block on the state service and may take the controller's lock. If the state
 * service calls a transaction that creates or ends a job too large, the controller lowers its
 * limits for later transactions.
 */
#ifndef MV_JOB_TRANSACTIONS_H
#define MV_JOB_TRANSACTIONS_H
#include "server/request.h"

/**
 * Writes the live record of a new job. MV_STATE_STORE_CONFLICT means that the job already has a
 * live or a final record.
 */
mv_state_store_result mv_job_commit_submission(const mv_request_services *services,
                                               const mv_job_spec *job, unsigned home_shard);
/**
 * Replaces the live record of a job by a final record that says "cancelled", and deletes the job's
 * completion records. MV_STATE_STORE_CONFLICT means that the live record no longer has `revision`,
 * that the job already has a final record, or that the job's shard is no longer granted as `grant`
 * says. `grant` is the grant of the owner that acknowledged the cancellation; NULL: the version of
 * the owner knows no acknowledgements, and the final record says so.
 */
mv_state_store_result mv_job_commit_cancellation(const mv_request_services *services,
                                                 const char *id, uint64_t revision, unsigned tasks,
                                                 const mv_shard_grant *grant);
/**
 * Records in the live record of a job that a user asked to cancel the job, so that the owner of the
 * job's shard learns of the request from the state service and ends the job. Does nothing if the
 * record says so already, has another revision than `revision`, or would be too large.
 */
void mv_job_commit_cancellation_request(const mv_request_services *services, const char *id,
                                        uint64_t revision);
#endif
