#include "coordination/jobs/completion_writer.h"

#include "coordination/jobs/job_records.h"
#include "protocol/names.h"
#include "protocol/records.h"

#include <string.h>

static void format_shard_key(const mv_shard *shard, char *key, size_t size)
{
    g_snprintf(key, size, KEY_SHARD_PREFIX "%u", shard->index);
}

/* --- the end of a job --- */

/* Deletes as many completion records of the job as the transaction has room for. Garbage collection
 * deletes the remaining records. */
static void delete_chunks(const mv_job_table *jobs, const mv_job *job, mv_action *transaction)
{
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, job->chunk_revisions);
    while (g_hash_table_iter_next(&iter, &name, NULL) &&
           transaction->writes->len + 1 < jobs->context->limits.writes) {
        char key[MV_KEY_SIZE];
        g_snprintf(key, sizeof key, KEY_COMPLETION_PREFIX "%s/%s", job->spec.id, (char *)name);
        mv_transaction_delete(transaction, key);
    }
}

/* Adds the job's final record to the transaction, on condition that the job has none yet. Without
 * this precondition, a transaction that the state service carries out late would overwrite the
 * final record of a cancellation, and users would get two different final answers. */
static void put_final_record(const mv_job_table *jobs, const mv_job *job, bool done,
                             mv_action *transaction)
{
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, KEY_FINAL_PREFIX "%s", job->spec.id);
    if (!SAFETY_CHECK(FINAL_RECORD, false))
        mv_transaction_require(transaction, key, 0);
    double wall_time = mv_clock_wall_time(&jobs->context->clock);
    mv_transaction_put(transaction, key, mv_final_record_pack(done, job->spec.tasks, wall_time),
                       false);
}

/* Ends a job, as done or as cancelled, with one transaction, which deletes the live records and
 * writes the final record. Only the owner of the job's shard sends the transaction. The state
 * service commits the transaction only if neither the shard's grant nor the job's record has
 * changed. */
static void end_job(mv_job_table *jobs, mv_job *job, bool done)
{
    char job_key[MV_KEY_SIZE], shard_key[MV_KEY_SIZE];
    mv_action *transaction = mv_transaction_new(&jobs->context->actions, true);
    format_shard_key(job->home_shard, shard_key, sizeof shard_key);
    mv_transaction_require(transaction, shard_key, job->home_shard->revision);
    g_snprintf(job_key, sizeof job_key, KEY_JOB_PREFIX "%s", job->spec.id);
    if (!SAFETY_CHECK(FINAL_RECORD, false))
        mv_transaction_require(transaction, job_key, job->revision);
    mv_transaction_delete(transaction, job_key);
    delete_chunks(jobs, job, transaction);
    put_final_record(jobs, job, done, transaction);
    job->completing = true;
    if (job->completing_transaction)
        g_hash_table_remove(jobs->completing, &job->completing_transaction);
    job->completing_transaction = transaction->id;
    g_hash_table_insert(jobs->completing, &job->completing_transaction, job);
    job->last_flush_at = jobs->context->clock.now;
}

/* After a commit, the job stays marked as completing until the state cache shows that the job's
 * record is gone, at most for MV_JOB_END_RETRY_S. After a transaction that was too large, the job
 * stays marked for MV_JOB_END_RETRY_S, so that the retry waits as long. After any other result, the
 * transaction is sent again after MV_JOB_END_INTERVAL_S. */
static void completion_answered(mv_job_table *jobs, mv_job *job, mv_transaction_result result)
{
    g_hash_table_remove(jobs->completing, &job->completing_transaction);
    job->completing_transaction = 0;
    job->completing = result == MV_TRANSACTION_COMMITTED || result == MV_TRANSACTION_TOO_LARGE;
    if (job->completing)
        job->last_flush_at = jobs->context->clock.now;
}

void mv_completions_transaction_answered(mv_job_table *jobs, uint64_t id,
                                         mv_transaction_result result)
{
    const mv_clock *clock = &jobs->context->clock;
    mv_transaction_slot_answered(&jobs->flush_transaction, clock, id, result);
    mv_transaction_slot_answered(&jobs->gc_transaction, clock, id, result);
    mv_job *job = g_hash_table_lookup(jobs->completing, &id);
    if (job)
        completion_answered(jobs, job, result);
}

/* Returns whether the transaction that ends the job was sent so long ago that it has to be sent
 * again. */
static bool completion_is_lost(const mv_job_table *jobs, const mv_job *job)
{
    bool queued = job->completing_transaction && !SAFETY_CHECK(QUEUED, false);
    double timeout_s = queued ? MV_TRANSACTION_LOST_S : MV_JOB_END_RETRY_S;
    return jobs->context->clock.now > job->last_flush_at + timeout_s;
}

static bool chunk_has_unrecorded_task(const mv_job *job, unsigned chunk)
{
    uint32_t base = chunk * job->tasks_per_chunk;
    uint32_t end = MIN(base + job->tasks_per_chunk, job->spec.tasks);
    for (uint32_t task = base; task < end; task++)
        if (job->task_states[task] == MV_TASK_STATE_DONE)
            return true;
    return false;
}

/* Marks the completion records whose tasks are done but not recorded, because a flush failed. The
 * next flush writes these records again. */
static void mark_unrecorded_chunks(mv_job *job)
{
    for (unsigned i = 0; i < job->chunk_count; i++)
        if (chunk_has_unrecorded_task(job, i))
            job->chunk_dirty[i] = true;
}

static bool may_end_now(const mv_job_table *jobs, const mv_job *job)
{
    bool paused = jobs->context->clock.now < job->last_flush_at + MV_JOB_END_INTERVAL_S;
    return !job->completing && !paused;
}

static bool is_done(const mv_job *job)
{
    return !job->spec.service && SAFETY_CHECK(ALL_DONE, job->tasks_done == job->spec.tasks);
}

/* Returns whether the owner has to end a job that a user cancels. Usually the controller that got
 * the user's request ends the job as soon as the owner has acknowledged the cancellation. The owner
 * ends the job if that controller does not, because otherwise the job would stay for ever, and if
 * that controller could not ask the owner and recorded the request instead. */
static bool should_end_cancelled(const mv_job_table *jobs, const mv_job *job)
{
    double wait_s = job->cancellation_recorded ? 0 : MV_CANCELLATION_TAKEOVER_S;
    return mv_job_launches_are_over(job) &&
           jobs->context->clock.now >= job->cancelling_since + wait_s;
}

static bool flush_was_lost(const mv_job_table *jobs, const mv_job *job)
{
    double flush_due_at = job->last_flush_at + 2 * MV_FLUSH_INTERVAL_S;
    return job->tasks_recorded < job->tasks_done && !jobs->flush_transaction.transaction_id &&
           jobs->context->clock.now > flush_due_at;
}

void mv_completions_complete_jobs(mv_job_table *jobs)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mv_job *job = value;
        if (!mv_job_is_owned(jobs->context, job))
            continue;
        bool may_end = may_end_now(jobs, job);
        if (may_end && is_done(job))
            end_job(jobs, job, true);
        else if (may_end && should_end_cancelled(jobs, job))
            end_job(jobs, job, false);
        else if (job->completing && completion_is_lost(jobs, job))
            job->completing = false;
        else if (flush_was_lost(jobs, job))
            mark_unrecorded_chunks(job);
    }
}

/* --- completion records --- */

/* A transaction that is filled with completion records of one shard. */
typedef struct {
    mv_action *transaction; /* NULL until the first record is added */
    const mv_shard *shard;
    unsigned writes;
    size_t bytes;
} flush;

static void begin_flush(mv_job_table *jobs, flush *flush)
{
    char key[MV_KEY_SIZE];
    if (flush->transaction)
        return;
    flush->transaction = mv_transaction_new(&jobs->context->actions, false);
    format_shard_key(flush->shard, key, sizeof key);
    mv_transaction_require(flush->transaction, key, flush->shard->revision);
}

static void flush_chunk(mv_job_table *jobs, flush *flush, mv_job *job, unsigned chunk)
{
    char key[MV_KEY_SIZE], job_key[MV_KEY_SIZE], name[MV_CHUNK_NAME_SIZE];
    begin_flush(jobs, flush);
    g_snprintf(job_key, sizeof job_key, KEY_JOB_PREFIX "%s", job->spec.id);
    mv_transaction_require(flush->transaction, job_key, job->revision);
    mv_chunk_format_name(job, chunk, name, sizeof name);
    g_snprintf(key, sizeof key, KEY_COMPLETION_PREFIX "%s/%s", job->spec.id, name);
    /* Without this precondition, the state service could carry out an unanswered transaction
     * seconds late and overwrite a newer completion record, so that tasks recorded as done would no
     * longer be recorded. */
    if (!SAFETY_CHECK(COMPLETION_REVISION, false))
        mv_transaction_require(flush->transaction, key, mv_chunk_revision(job, name));
    GBytes *data = mv_chunk_pack(job, chunk);
    flush->bytes += g_bytes_get_size(data) + sizeof key;
    mv_transaction_put(flush->transaction, key, data, false);
    job->chunk_dirty[chunk] = false;
    job->last_flush_at = jobs->context->clock.now;
    flush->writes++;
}

static void flush_job(mv_job_table *jobs, flush *flush, mv_job *job)
{
    unsigned max_writes = MIN(jobs->context->limits.writes, MV_FLUSH_BATCH);
    mv_job_layout_chunks(jobs->context, job);
    /* The other controllers read from the job's first completion record whether the job is pending
     * or running, and report that to users. Therefore the owner writes this record again when the
     * first task starts or the last task stops. */
    bool begins_or_stops = !job->cancelling && (!job->tasks_running || !job->recorded_running);
    if (job->tasks_running != job->recorded_running && begins_or_stops)
        job->chunk_dirty[0] = true;
    for (unsigned i = 0; i < job->chunk_count && flush->writes < max_writes; i++) {
        if (!job->chunk_dirty[i])
            continue;
        flush_chunk(jobs, flush, job, i);
        if (flush->bytes > MV_TRANSACTION_BYTES_MAX / 2)
            break;
    }
}

/* Writes the changed completion records of all jobs of the shard in one transaction. */
static void flush_shard(mv_job_table *jobs, const mv_shard *shard)
{
    const mv_clock *clock = &jobs->context->clock;
    if (mv_transaction_slot_busy(&jobs->flush_transaction, clock))
        return;
    flush flush = {.shard = shard};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, jobs->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mv_job *job = value;
        bool paused = clock->now < job->last_flush_at + MV_FLUSH_INTERVAL_S;
        if (job->team && job->home_shard == shard && !job->completing && !paused)
            flush_job(jobs, &flush, job);
    }
    if (flush.transaction)
        mv_transaction_slot_sent(&jobs->flush_transaction, clock, flush.transaction);
}

void mv_completions_flush(mv_job_table *jobs)
{
    const mv_context *context = jobs->context;
    for (guint i = 0; i < context->shards->len; i++) {
        const mv_shard *shard = g_ptr_array_index(context->shards, i);
        if (mv_shard_is_owned(context, shard))
            flush_shard(jobs, shard);
    }
}

/* --- garbage collection --- */

static void delete_orphan(mv_action *transaction, const char *name, uint64_t revision)
{
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, KEY_JOB_PREFIX "%s", name);
    *strrchr(key, '/') = 0;
    mv_transaction_require(transaction, key, 0);
    g_snprintf(key, sizeof key, KEY_COMPLETION_PREFIX "%s", name);
    mv_transaction_require(transaction, key, revision);
    mv_transaction_delete(transaction, key);
}

/* Deletes completion records of jobs that have ended. Such records remain if the transaction that
 * ended the job had no room for their deletion, or if a controller of format 1, which does not know
 * records of this chunk size, ended the job. A job that has ended is never created again; the
 * transaction nevertheless requires that none of these jobs has a live record. */
void mv_completions_collect_garbage(mv_job_table *jobs, uint64_t leader_revision)
{
    mv_context *context = jobs->context;
    mv_transaction_slot *slot = &jobs->gc_transaction;
    bool paused = context->clock.now < slot->sent_at + MV_GARBAGE_COLLECTION_INTERVAL_S;
    if (g_hash_table_size(jobs->orphaned_chunks) == 0 || paused ||
        mv_transaction_slot_busy(slot, &context->clock))
        return;
    mv_action *transaction = mv_transaction_new(&context->actions, false);
    GHashTableIter iter;
    gpointer name, revision;
    g_hash_table_iter_init(&iter, jobs->orphaned_chunks);
    while (g_hash_table_iter_next(&iter, &name, &revision) &&
           transaction->writes->len < context->limits.writes)
        delete_orphan(transaction, name, *(uint64_t *)revision);
    mv_transaction_require(transaction, KEY_LEADER, leader_revision);
    mv_transaction_slot_sent(slot, &context->clock, transaction);
}
