/**
 * Unrecorded completions, stored as one compressed bitmap of tasks for each job, ordered by job id.
 */
#include "connectivity/completions.h"

#include <roaring/roaring.h>
#include <string.h>

struct mv_unrecorded_completions {
    GTree *jobs;      /* job id -> roaring_bitmap_t, ordered so that packing can resume */
    size_t bytes;     /* sum of bytes_of over all jobs */
    size_t max_bytes; /* a task is refused unless `bytes` and MV_COMPLETIONS_JOB_BYTES together stay
                         within this */
    unsigned task_count;
    char last_packed_job[MV_ID_SIZE]; /* packing continues after this job; "": at the first job */
};

static gint compare_ids(gconstpointer left, gconstpointer right, gpointer data)
{
    (void)data;
    return strcmp(left, right);
}

static void free_bitmap(gpointer bitmap)
{
    roaring_bitmap_free(bitmap);
}

mv_unrecorded_completions *mv_completions_new(size_t max_bytes)
{
    mv_unrecorded_completions *completions = g_new0(mv_unrecorded_completions, 1);
    completions->jobs = g_tree_new_full(compare_ids, NULL, g_free, free_bitmap);
    completions->max_bytes = max_bytes;
    return completions;
}

void mv_completions_free(mv_unrecorded_completions *completions)
{
    if (!completions)
        return;
    g_tree_unref(completions->jobs);
    g_free(completions);
}

/* Returns the bytes that a job counts for: its serialized bitmap and a fixed overhead. */
static size_t bytes_of(const roaring_bitmap_t *bitmap)
{
    return MV_COMPLETIONS_JOB_BYTES + roaring_bitmap_portable_size_in_bytes(bitmap);
}

bool mv_completions_add(mv_unrecorded_completions *completions, const char *job, uint32_t task)
{
    roaring_bitmap_t *bitmap = g_tree_lookup(completions->jobs, job);
    if (bitmap && roaring_bitmap_contains(bitmap, task))
        return true;
    if (completions->bytes + MV_COMPLETIONS_JOB_BYTES > completions->max_bytes)
        return false;
    if (!bitmap) {
        bitmap = roaring_bitmap_create();
        g_tree_insert(completions->jobs, g_strdup(job), bitmap);
        completions->bytes += bytes_of(bitmap);
    }
    completions->bytes -= bytes_of(bitmap);
    roaring_bitmap_add(bitmap, task);
    completions->bytes += bytes_of(bitmap);
    completions->task_count++;
    return true;
}

void mv_completions_remove_task(mv_unrecorded_completions *completions, const char *job,
                                uint32_t task)
{
    roaring_bitmap_t *bitmap = g_tree_lookup(completions->jobs, job);
    if (!bitmap || !roaring_bitmap_contains(bitmap, task))
        return;
    completions->bytes -= bytes_of(bitmap);
    roaring_bitmap_remove(bitmap, task);
    completions->task_count--;
    if (roaring_bitmap_is_empty(bitmap))
        g_tree_remove(completions->jobs, job);
    else
        completions->bytes += bytes_of(bitmap);
}

void mv_completions_remove_job(mv_unrecorded_completions *completions, const char *job)
{
    const roaring_bitmap_t *bitmap = g_tree_lookup(completions->jobs, job);
    if (!bitmap)
        return;
    completions->bytes -= bytes_of(bitmap);
    completions->task_count -= (unsigned)roaring_bitmap_get_cardinality(bitmap);
    g_tree_remove(completions->jobs, job);
}

unsigned mv_completions_count(const mv_unrecorded_completions *completions)
{
    return completions->task_count;
}

static GArray *tasks_of(const roaring_bitmap_t *bitmap)
{
    const guint count = (guint)roaring_bitmap_get_cardinality(bitmap);
    GArray *tasks = g_array_sized_new(FALSE, FALSE, sizeof(uint32_t), count);
    g_array_set_size(tasks, count);
    roaring_bitmap_to_uint32_array(bitmap, (uint32_t *)(void *)tasks->data);
    return tasks;
}

GArray *mv_completions_of_job(const mv_unrecorded_completions *completions, const char *job)
{
    const roaring_bitmap_t *bitmap = g_tree_lookup(completions->jobs, job);
    return bitmap ? tasks_of(bitmap) : NULL;
}

/* --- exchange with other controllers --- */

typedef struct {
    const mv_unrecorded_completions *completions;
    mv_completion_filter filter;
    void *filter_context;
    size_t remaining_bytes;
    GPtrArray *sets;
    bool full;
} completion_packing;

static mv_completion_set *pack_set(const char *job, const roaring_bitmap_t *bitmap)
{
    mv_completion_set *completed = g_new0(mv_completion_set, 1);
    const size_t size = roaring_bitmap_portable_size_in_bytes(bitmap);
    char *bytes = g_malloc(size);
    roaring_bitmap_portable_serialize(bitmap, bytes);
    g_strlcpy(completed->job_id, job, sizeof completed->job_id);
    completed->tasks = g_bytes_new_take(bytes, size);
    return completed;
}

/* Packs one job during a traversal of the tree. TRUE ends the traversal: the job does not fit. */
static gboolean pack_job(gpointer job, gpointer bitmap, gpointer data)
{
    completion_packing *packing = data;
    const bool packed_before = strcmp(job, packing->completions->last_packed_job) <= 0;
    if (packed_before || !packing->filter(packing->filter_context, job))
        return FALSE;
    const size_t size = bytes_of(bitmap);
    packing->full = size > packing->remaining_bytes;
    if (packing->full)
        return TRUE;
    packing->remaining_bytes -= size;
    g_ptr_array_add(packing->sets, pack_set(job, bitmap));
    return FALSE;
}

void mv_completions_pack(mv_unrecorded_completions *completions, mv_completion_filter filter,
                         void *context, size_t max_bytes, GPtrArray *sets)
{
    completion_packing packing = {.completions = completions,
                                  .filter = filter,
                                  .filter_context = context,
                                  .remaining_bytes = max_bytes,
                                  .sets = sets};
    g_tree_foreach(completions->jobs, pack_job, &packing);
    const mv_completion_set *last = sets->len ? g_ptr_array_index(sets, sets->len - 1) : NULL;
    const char *continue_after = packing.full && last ? last->job_id : "";
    g_strlcpy(completions->last_packed_job, continue_after, sizeof completions->last_packed_job);
}

static roaring_bitmap_t *parse_bitmap(GBytes *serialized)
{
    gsize size;
    const char *bytes = g_bytes_get_data(serialized, &size);
    const size_t used = bytes ? roaring_bitmap_portable_deserialize_size(bytes, size) : 0;
    if (used == 0 || used != size)
        return NULL;
    return roaring_bitmap_portable_deserialize_safe(bytes, size);
}

GArray *mv_completion_set_read(const mv_completion_set *completed, uint32_t task_count)
{
    roaring_bitmap_t *bitmap = parse_bitmap(completed->tasks);
    if (!bitmap)
        return NULL;
    const bool is_valid =
        !roaring_bitmap_is_empty(bitmap) && roaring_bitmap_maximum(bitmap) < task_count;
    GArray *tasks = is_valid ? tasks_of(bitmap) : NULL;
    roaring_bitmap_free(bitmap);
    return tasks;
}
