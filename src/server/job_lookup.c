/**
 * Lookup of jobs in this controller's caches and in the state service.
 */
#include "server/job_lookup.h"

#include "protocol/names.h"

/* --- records --- */

/* Reads the record of a job from the state service. The caller frees `document`. The result
 * MV_STATE_STORE_OK with a `document` of NULL means that the record is there but malformed. */
static mv_state_store_result read_record(mv_state_store *store, const char *prefix, const char *id,
                                         mv_document **document, uint64_t *revision)
{
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, "%s%s", prefix, id);
    g_autoptr(GBytes) data = NULL;
    const mv_state_store_result result = mv_state_store_get(store, key, &data, revision);
    if (result != MV_STATE_STORE_OK)
        return result;
    gsize size;
    const void *bytes = g_bytes_get_data(data, &size);
    *document = mv_document_parse(bytes, size);
    return result;
}

/* Returns the state of a job whose record could not be read: the job is unknown only if the state
 * service said that there is no record. */
static mv_job_state state_without_record(mv_state_store_result result)
{
    return result == MV_STATE_STORE_NOT_FOUND ? MV_JOB_UNKNOWN : MV_JOB_UNCERTAIN;
}

/* --- live and final records --- */

static mv_job_state find_cached(const mv_request_services *services, const char *id,
                                mv_job_lookup *lookup)
{
    mv_job_summary summary;
    double now;
    const mv_controller *controller = mv_shared_controller_lock(services->controller, &now);
    mv_controller_job_status(controller, id, &summary);
    mv_shared_controller_unlock(services->controller);
    lookup->revision = summary.revision;
    lookup->tasks = summary.tasks;
    lookup->home_shard = summary.home_shard;
    return summary.active ? MV_JOB_ACTIVE : MV_JOB_UNKNOWN;
}

static mv_job_state find_live(const mv_request_services *services, const char *id,
                              mv_job_lookup *lookup)
{
    if (mv_state_watch_wait_caught_up(services->state_watch))
        return find_cached(services, id, lookup);
    g_autoptr(mv_document) document = NULL;
    const mv_state_store_result result =
        read_record(services->state_store, KEY_JOB_PREFIX, id, &document, &lookup->revision);
    if (result != MV_STATE_STORE_OK)
        return state_without_record(result);
    const msgpack_object *record = document ? mv_document_root(document) : NULL;
    uint64_t tasks = 0, home_shard = 0;
    const bool readable =
        record && mv_field_read_u64(record, WIRE_TASKS, &tasks) == MV_FIELD_PRESENT &&
        mv_field_read_u64(record, RECORD_HOME_SHARD, &home_shard) == MV_FIELD_PRESENT;
    lookup->tasks = (unsigned)tasks;
    lookup->home_shard = (unsigned)home_shard;
    return readable ? MV_JOB_ACTIVE : MV_JOB_UNCERTAIN;
}

/* Returns whether a cancellation was written so long ago that an owner which never learnt of it
 * starts no task any more. Sets how long that still takes. */
static bool owner_starts_nothing(const mv_request_services *services, mv_job_lookup *lookup)
{
    const double age_s = mv_state_watch_revision_age(services->state_watch, lookup->revision);
    lookup->confirmed_in_s = mv_settings_launch_bound_s(services->settings) - age_s;
    return lookup->confirmed_in_s <= 0;
}

static mv_job_state find_final(const mv_request_services *services, const char *id,
                               mv_job_lookup *lookup)
{
    g_autoptr(mv_document) document = NULL;
    const mv_state_store_result result =
        read_record(services->state_store, KEY_FINAL_PREFIX, id, &document, &lookup->revision);
    if (result != MV_STATE_STORE_OK)
        return state_without_record(result);
    const bool readable =
        document && mv_final_record_parse(mv_document_root(document), &lookup->final.done,
                                          &lookup->final.tasks);
    if (!readable)
        return MV_JOB_UNCERTAIN;
    if (!mv_final_record_is_acknowledged(mv_document_root(document)) &&
        !owner_starts_nothing(services, lookup))
        return MV_JOB_UNCONFIRMED;
    mv_final_job_cache_put(services->final_jobs, id, &lookup->final);
    return MV_JOB_FINAL;
}

mv_job_lookup mv_job_find(const mv_request_services *services, const char *id)
{
    mv_job_lookup lookup = {.state = MV_JOB_UNCERTAIN};
    if (mv_final_job_cache_get(services->final_jobs, id, &lookup.final)) {
        lookup.state = MV_JOB_FINAL;
        return lookup;
    }
    /* While the state service is out of reach, a read would end only with a timeout, so this
     * function returns MV_JOB_UNCERTAIN at once without a read. */
    if (!mv_shared_controller_state_reachable(services->controller))
        return lookup;
    /* The live record is looked up before the final record: a job moves from its live record to its
     * final one and never back, so a job that moves in between is found by the second lookup. */
    lookup.state = find_live(services, id, &lookup);
    if (lookup.state == MV_JOB_UNKNOWN)
        lookup.state = find_final(services, id, &lookup);
    return lookup;
}
