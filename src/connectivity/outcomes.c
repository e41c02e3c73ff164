#include "connectivity/outcomes.h"

#include <roaring/roaring.h>
#include <string.h>

struct mv_outcomes {
    GTree *jobs; /* id -> roaring_bitmap_t: in order, so that packing can go on behind the last */
    size_t bytes, most_bytes;
    unsigned waiting;
    char packed_to[MV_ID_SIZE]; /* the last job of the last call; "": begin anew */
};

static gint by_id(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

static void free_set(gpointer set)
{
    roaring_bitmap_free(set);
}

mv_outcomes *mv_outcomes_new(size_t most_bytes)
{
    mv_outcomes *outcomes = g_new0(mv_outcomes, 1);
    outcomes->jobs = g_tree_new_full(by_id, NULL, g_free, free_set);
    outcomes->most_bytes = most_bytes;
    return outcomes;
}

void mv_outcomes_free(mv_outcomes *outcomes)
{
    if (!outcomes)
        return;
    g_tree_unref(outcomes->jobs);
    g_free(outcomes);
}

static size_t size_of(const roaring_bitmap_t *set)
{
    return MV_OUTCOME_JOB_BYTES + roaring_bitmap_portable_size_in_bytes(set);
}

bool mv_outcomes_add(mv_outcomes *outcomes, const char *job, uint32_t task)
{
    roaring_bitmap_t *set = g_tree_lookup(outcomes->jobs, job);
    if (set && roaring_bitmap_contains(set, task))
        return true;
    if (outcomes->bytes + MV_OUTCOME_JOB_BYTES > outcomes->most_bytes)
        return false;
    if (!set) {
        set = roaring_bitmap_create();
        g_tree_insert(outcomes->jobs, g_strdup(job), set);
        outcomes->bytes += size_of(set);
    }
    outcomes->bytes -= size_of(set);
    roaring_bitmap_add(set, task);
    outcomes->bytes += size_of(set);
    outcomes->waiting++;
    return true;
}

void mv_outcomes_recorded(mv_outcomes *outcomes, const char *job, uint32_t task)
{
    roaring_bitmap_t *set = g_tree_lookup(outcomes->jobs, job);
    if (!set || !roaring_bitmap_contains(set, task))
        return;
    outcomes->bytes -= size_of(set);
    roaring_bitmap_remove(set, task);
    outcomes->waiting--;
    if (roaring_bitmap_is_empty(set))
        g_tree_remove(outcomes->jobs, job);
    else
        outcomes->bytes += size_of(set);
}

void mv_outcomes_job_over(mv_outcomes *outcomes, const char *job)
{
    const roaring_bitmap_t *set = g_tree_lookup(outcomes->jobs, job);
    if (!set)
        return;
    outcomes->bytes -= size_of(set);
    outcomes->waiting -= (unsigned)roaring_bitmap_get_cardinality(set);
    g_tree_remove(outcomes->jobs, job);
}

unsigned mv_outcomes_waiting(const mv_outcomes *outcomes)
{
    return outcomes->waiting;
}

static GArray *tasks_of(const roaring_bitmap_t *set)
{
    guint n = (guint)roaring_bitmap_get_cardinality(set);
    GArray *tasks = g_array_sized_new(FALSE, FALSE, sizeof(uint32_t), n);
    g_array_set_size(tasks, n);
    roaring_bitmap_to_uint32_array(set, (uint32_t *)(void *)tasks->data);
    return tasks;
}

GArray *mv_outcomes_of(const mv_outcomes *outcomes, const char *job)
{
    const roaring_bitmap_t *set = g_tree_lookup(outcomes->jobs, job);
    return set ? tasks_of(set) : NULL;
}

/* --- between controllers --- */

typedef struct {
    mv_outcomes *outcomes;
    mv_outcome_filter wanted;
    void *context;
    size_t room;
    GPtrArray *out;
    bool full;
} packing;

static mv_outcome *pack_set(const char *job, const roaring_bitmap_t *set)
{
    mv_outcome *outcome = g_new0(mv_outcome, 1);
    size_t size = roaring_bitmap_portable_size_in_bytes(set);
    char *bytes = g_malloc(size);
    roaring_bitmap_portable_serialize(set, bytes);
    g_strlcpy(outcome->job, job, sizeof outcome->job);
    outcome->tasks = g_bytes_new_take(bytes, size);
    return outcome;
}

/* True ends the walk. */
static gboolean pack_one(gpointer job, gpointer set, gpointer data)
{
    packing *p = data;
    if (strcmp(job, p->outcomes->packed_to) <= 0 || !p->wanted(p->context, job))
        return FALSE;
    size_t size = size_of(set);
    p->full = size > p->room;
    if (p->full)
        return TRUE;
    p->room -= size;
    g_ptr_array_add(p->out, pack_set(job, set));
    return FALSE;
}

void mv_outcomes_pack(mv_outcomes *outcomes, mv_outcome_filter wanted, void *context,
                      size_t most_bytes, GPtrArray *out)
{
    packing p = {
        .outcomes = outcomes, .wanted = wanted, .context = context, .room = most_bytes, .out = out};
    g_tree_foreach(outcomes->jobs, pack_one, &p);
    const mv_outcome *last = out->len ? g_ptr_array_index(out, out->len - 1) : NULL;
    g_strlcpy(outcomes->packed_to, p.full && last ? last->job : "", sizeof outcomes->packed_to);
}

GArray *mv_outcome_read(const mv_outcome *outcome, uint32_t tasks)
{
    gsize size;
    const char *bytes = g_bytes_get_data(outcome->tasks, &size);
    size_t used = bytes ? roaring_bitmap_portable_deserialize_size(bytes, size) : 0;
    if (used == 0 || used != size)
        return NULL;
    roaring_bitmap_t *set = roaring_bitmap_portable_deserialize_safe(bytes, size);
    if (!set)
        return NULL;
    bool sound = !roaring_bitmap_is_empty(set) && roaring_bitmap_maximum(set) < tasks;
    GArray *read = sound ? tasks_of(set) : NULL;
    roaring_bitmap_free(set);
    return read;
}
