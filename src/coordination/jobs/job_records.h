/**
 * Records of jobs in the state service, as the state cache shows them. An accepted job has one job
 * record and a set of completion records, each of which covers one chunk of the job's tasks.
 */
#ifndef MV_JOB_RECORDS_H
#define MV_JOB_RECORDS_H
#include "coordination/jobs/job.h"

/** Bytes of a chunk's name, including the terminating NUL. */
#define MV_CHUNK_NAME_SIZE 32

/**
 * Applies the record of an accepted job that is new or has changed. A record that cannot be parsed
 * is logged and left unchanged, because a later format may have written it.
 */
void mv_job_record_changed(mv_job_table *jobs, const char *id, const msgpack_object *object,
                           uint64_t revision);
/**
 * Removes a job whose record was deleted, which means that the job has ended. No placement may
 * point to the job any more.
 */
void mv_job_record_removed(mv_job_table *jobs, mv_job *job);
/**
 * Applies a completion record that is new, has changed or was deleted (`object` NULL). `name` is
 * the record's key without the prefix: the job id, a slash and the chunk name, as in "j-000412/0".
 */
void mv_completion_record_changed(mv_job_table *jobs, const char *name,
                                  const msgpack_object *object, uint64_t revision);

/**
 * Chooses how many tasks each completion record of the job covers. Records that were written with
 * another chunk size stay readable; their completions are written again with this size.
 */
void mv_job_layout_chunks(const mv_context *context, mv_job *job);
/**
 * Writes the name of a chunk to `name`, a buffer of `size` bytes: "0" for the first chunk of the
 * default size, "3.2048" for the fourth chunk of 2,048 tasks.
 */
void mv_chunk_format_name(const mv_job *job, unsigned chunk, char *name, size_t size);
/** Returns the revision of the job's completion record with this chunk name, or 0 without one. */
uint64_t mv_chunk_revision(const mv_job *job, const char *name);
/** Returns the completion record of a chunk for the present task states; owned by the caller. */
GBytes *mv_chunk_pack(const mv_job *job, unsigned chunk);
#endif
