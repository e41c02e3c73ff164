/**
 * Writes the results of jobs to the state service: the completion records of their tasks and the
 * final record of each job. Only the owner of a job's shard writes these records, and each
 * transaction requires that the shard is still granted to this owner. The leader deletes the
 * completion records that remain after their jobs have ended.
 */
#ifndef MV_COMPLETION_WRITER_H
#define MV_COMPLETION_WRITER_H
#include "coordination/jobs/job.h"

/**
 * Sends the transaction that ends each owned job whose tasks are all done. Marks the completion
 * records that have to be written again because an earlier write was lost.
 */
void mv_completions_complete_jobs(mv_job_table *jobs);
/** Writes the changed completion records of the jobs of owned shards. */
void mv_completions_flush(mv_job_table *jobs);
/**
 * Deletes completion records of jobs that have ended. Only the leader's controller calls this;
 * `leader_revision` is the revision of the leader record.
 */
void mv_completions_collect_garbage(mv_job_table *jobs, uint64_t leader_revision);
/**
 * Handles the result of a transaction. Transactions that this module did not send are ignored.
 */
void mv_completions_transaction_answered(mv_job_table *jobs, uint64_t id,
                                         mv_transaction_result result);
#endif
