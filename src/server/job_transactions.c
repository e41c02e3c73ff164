/**
 * Transactions on the state service that create and cancel jobs.
 */
#include "server/job_transactions.h"

#include "protocol/names.h"
#include "server/clocks.h"

/* --- building and committing --- */

typedef struct {
    GArray *preconditions; /* mv_precondition */
    GArray *writes;        /* mv_write; the array owns the data of its elements */
} job_transaction;

static void free_write(gpointer write)
{
    g_clear_pointer(&((mv_write *)write)->data, g_bytes_unref);
}

static job_transaction transaction_new(void)
{
    job_transaction transaction = {.preconditions =
                                       g_array_new(FALSE, TRUE, sizeof(mv_precondition)),
                                   .writes = g_array_new(FALSE, TRUE, sizeof(mv_write))};
    g_array_set_clear_func(transaction.writes, free_write);
    return transaction;
}

/* Makes the commit fail unless the record `key` has this revision. Revision 0 requires that there
 * is no such record. */
static void require_revision(job_transaction *transaction, const char *key, uint64_t revision)
{
    mv_precondition precondition = {.revision = revision};
    g_strlcpy(precondition.key, key, sizeof precondition.key);
    g_array_append_val(transaction->preconditions, precondition);
}

/* Adds a put of `data`, which the transaction owns from now on. If `data` is NULL, the write
 * deletes the record instead. */
static void add_write(job_transaction *transaction, const char *key, GBytes *data)
{
    mv_write write = {.data = data};
    g_strlcpy(write.key, key, sizeof write.key);
    g_array_append_val(transaction->writes, write);
}

/* Commits the transaction and frees it. If the state service calls the transaction too large, the
 * controller lowers its limits for later transactions. */
static mv_state_store_result commit(const mv_request_services *services,
                                    job_transaction *transaction)
{
    const mv_state_store_result result = mv_state_store_commit(
        services->state_store, transaction->preconditions, transaction->writes, true);
    g_array_unref(transaction->preconditions);
    g_array_unref(transaction->writes);
    if (result == MV_STATE_STORE_TOO_LARGE) {
        double now;
        mv_controller_reduce_limits(mv_shared_controller_lock(services->controller, &now));
        mv_shared_controller_unlock(services->controller);
    }
    return result;
}

/* --- jobs --- */

typedef struct {
    char live[MV_KEY_SIZE], final[MV_KEY_SIZE];
} job_keys;

static job_keys job_record_keys(const char *id)
{
    job_keys keys;
    g_snprintf(keys.live, sizeof keys.live, KEY_JOB_PREFIX "%s", id);
    g_snprintf(keys.final, sizeof keys.final, KEY_FINAL_PREFIX "%s", id);
    return keys;
}

mv_state_store_result mv_job_commit_submission(const mv_request_services *services,
                                               const mv_job_spec *job, unsigned home_shard)
{
    const job_keys keys = job_record_keys(job->id);
    job_transaction transaction = transaction_new();
    require_revision(&transaction, keys.live, 0);
    require_revision(&transaction, keys.final, 0);
    add_write(&transaction, keys.live, mv_job_record_pack(job, home_shard, mv_wall_clock_now()));
    return commit(services, &transaction);
}

/* Adds the deletion of the job's completion records, counted as if each record held
 * MV_CHUNK_TASKS_MAX tasks. The leader's garbage collection later deletes the records that this
 * transaction leaves: records beyond the limit of writes, and further records of a job whose
 * records hold fewer tasks each. */
static void delete_completion_records(const mv_request_services *services,
                                      job_transaction *transaction, const char *id, unsigned tasks)
{
    const unsigned job_record_writes =
        2; /* the delete of the live record and the put of the final one */
    double now;
    const mv_controller *controller = mv_shared_controller_lock(services->controller, &now);
    const unsigned chunks_max = mv_controller_max_writes(controller) - job_record_writes;
    mv_shared_controller_unlock(services->controller);
    const unsigned chunks = (tasks + MV_CHUNK_TASKS_MAX - 1) / MV_CHUNK_TASKS_MAX;
    for (unsigned i = 0; i < MIN(chunks, chunks_max); i++) {
        char key[MV_KEY_SIZE];
        g_snprintf(key, sizeof key, KEY_COMPLETION_PREFIX "%s/%u", id, i);
        add_write(transaction, key, NULL);
    }
}

static void require_grant(job_transaction *transaction, const mv_shard_grant *grant)
{
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, KEY_SHARD_PREFIX "%u", grant->shard);
    require_revision(transaction, key, grant->revision);
}

mv_state_store_result mv_job_commit_cancellation(const mv_request_services *services,
                                                 const char *id, uint64_t revision, unsigned tasks,
                                                 const mv_shard_grant *grant)
{
    const job_keys keys = job_record_keys(id);
    job_transaction transaction = transaction_new();
    require_revision(&transaction, keys.live, revision);
    require_revision(&transaction, keys.final, 0);
    if (grant)
        require_grant(&transaction, grant);
    add_write(&transaction, keys.live, NULL);
    delete_completion_records(services, &transaction, id, tasks);
    const double now = mv_wall_clock_now();
    add_write(&transaction, keys.final,
              grant ? mv_final_record_pack(false, tasks, now)
                    : mv_final_record_pack_unacknowledged(tasks, now));
    return commit(services, &transaction);
}

/* Returns the live record of the job with the request to cancel the job, or NULL if the record has
 * another revision or says so already. */
static GBytes *read_with_request(const mv_request_services *services, const char *key,
                                 uint64_t revision)
{
    g_autoptr(GBytes) record = NULL;
    uint64_t present_revision = 0;
    if (mv_state_store_get(services->state_store, key, &record, &present_revision) !=
            MV_STATE_STORE_OK ||
        present_revision != revision)
        return NULL;
    gsize size;
    const void *data = g_bytes_get_data(record, &size);
    g_autoptr(mv_document) document = mv_document_parse(data, size);
    return document ? mv_job_record_request_cancellation(mv_document_root(document)) : NULL;
}

void mv_job_commit_cancellation_request(const mv_request_services *services, const char *id,
                                        uint64_t revision)
{
    const job_keys keys = job_record_keys(id);
    GBytes *record = read_with_request(services, keys.live, revision);
    if (!record)
        return;
    job_transaction transaction = transaction_new();
    require_revision(&transaction, keys.live, revision);
    add_write(&transaction, keys.live, record);
    /* The controller does not lower its limits if this record is too large, because the limits
     * allow every other record. */
    mv_state_store_commit(services->state_store, transaction.preconditions, transaction.writes,
                          true);
    g_array_unref(transaction.preconditions);
    g_array_unref(transaction.writes);
}
