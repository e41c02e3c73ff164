#include "verdict.h"

#include <string.h>

typedef struct {
    bool accepted;
    unsigned records;
    char recorded[16], told[16]; /* states; "": none yet */
} job_story;

typedef struct {
    mv_verdict *verdict;
    GHashTable *jobs;      /* id -> job_story */
    GHashTable *on;        /* "job/task" -> machine on which it is */
    GHashTable *completed; /* "job/task" */
} judgement;

static void broken(judgement *j, const mv_event *e, const char *rule)
{
    g_ptr_array_add(j->verdict->broken, g_strdup_printf("at %.3f: %s %s/%u on %s %s", e->at, rule,
                                                        e->job, e->task, e->who, e->text));
}

static job_story *story_of(judgement *j, const char *id)
{
    job_story *story = g_hash_table_lookup(j->jobs, id);
    if (!story) {
        story = g_new0(job_story, 1);
        g_hash_table_insert(j->jobs, g_strdup(id), story);
    }
    return story;
}

static void started(judgement *j, const mv_event *e, const char *task)
{
    const char *other = g_hash_table_lookup(j->on, task);
    j->verdict->starts++;
    j->verdict->repeated += g_hash_table_contains(j->completed, task);
    if (other && strcmp(other, e->who) != 0)
        broken(j, e, "ran_twice");
    g_hash_table_replace(j->on, g_strdup(task), g_strdup(e->who));
}

static void left(judgement *j, const mv_event *e, const char *task)
{
    const char *machine = g_hash_table_lookup(j->on, task);
    if (e->kind == MV_EVENT_DONE)
        g_hash_table_add(j->completed, g_strdup(task));
    if (machine && strcmp(machine, e->who) == 0)
        g_hash_table_remove(j->on, task);
}

static void recorded(judgement *j, const mv_event *e)
{
    job_story *story = story_of(j, e->job);
    if (++story->records > 1)
        broken(j, e, "recorded_twice");
    g_strlcpy(story->recorded, e->text, sizeof story->recorded);
}

/* A final answer never changes, and is the one that was recorded. */
static void answered(judgement *j, const mv_event *e)
{
    job_story *story = story_of(j, e->job);
    bool final = strcmp(e->text, "done") == 0 || strcmp(e->text, "withdrawn") == 0;
    if (story->told[0] && strcmp(story->told, e->text) != 0)
        broken(j, e, "went_back");
    if (final && strcmp(story->recorded, e->text) != 0)
        broken(j, e, "answer_without_record");
    if (final)
        g_strlcpy(story->told, e->text, sizeof story->told);
}

static void judge_event(judgement *j, const mv_event *e)
{
    char task[MV_ID_SIZE + 16];
    g_snprintf(task, sizeof task, "%s/%u", e->job, e->task);
    switch (e->kind) {
    case MV_EVENT_ACCEPTED:
        story_of(j, e->job)->accepted = true;
        break;
    case MV_EVENT_STARTED:
        started(j, e, task);
        break;
    case MV_EVENT_DONE:
    case MV_EVENT_GONE:
        left(j, e, task);
        break;
    case MV_EVENT_RECORDED:
        recorded(j, e);
        break;
    case MV_EVENT_ANSWERED:
        answered(j, e);
        break;
    case MV_EVENT_UNKNOWN:
        if (story_of(j, e->job)->accepted)
            broken(j, e, "forgotten");
        break;
    default:
        break;
    }
}

static void judge_end(judgement *j, bool complete)
{
    GHashTableIter it;
    gpointer id, value;
    g_hash_table_iter_init(&it, j->jobs);
    while (g_hash_table_iter_next(&it, &id, &value)) {
        const job_story *story = value;
        if (!story->accepted)
            continue;
        j->verdict->jobs++;
        j->verdict->done += strcmp(story->recorded, "done") == 0;
        j->verdict->withdrawn += strcmp(story->recorded, "withdrawn") == 0;
        j->verdict->unfinished += story->records == 0;
        if (complete && story->records == 0)
            g_ptr_array_add(j->verdict->broken,
                            g_strdup_printf("at the end: no final record of %s", (char *)id));
    }
}

mv_verdict *mv_judge(const GArray *events, bool complete)
{
    judgement j = {.verdict = g_new0(mv_verdict, 1)};
    j.verdict->broken = g_ptr_array_new_with_free_func(g_free);
    j.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    j.on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    j.completed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < events->len; i++)
        judge_event(&j, &g_array_index(events, mv_event, i));
    judge_end(&j, complete);
    g_hash_table_unref(j.jobs);
    g_hash_table_unref(j.on);
    g_hash_table_unref(j.completed);
    return j.verdict;
}

void mv_verdict_free(mv_verdict *verdict)
{
    if (!verdict)
        return;
    g_ptr_array_unref(verdict->broken);
    g_free(verdict);
}
