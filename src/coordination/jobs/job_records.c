#include "coordination/jobs/job_records.h"

#include "protocol/names.h"
#include "telemetry/log.h"

#include <string.h>

/* Bytes of a completion record without its digits. */
#define COMPLETION_RECORD_FRAME 48
/* Tasks that one hex digit of a completion record covers: one bit for each task. */
#define TASKS_PER_DIGIT 4
/* Bytes of the chunk number in a chunk's name, including the terminating NUL. */
#define CHUNK_NUMBER_SIZE 16

/* --- jobs --- */

static bool parse_job_record(const mv_job_table *jobs, const msgpack_object *object, const char *id,
                             mv_job_spec *spec, unsigned *home_shard, double *accepted_at)
{
    if (!mv_job_record_parse(object, spec, home_shard, accepted_at) || strcmp(spec->id, id) != 0)
        return false;
    return !(EMULATES_FORMAT_1(jobs->context) && spec->service);
}

void mv_job_record_changed(mv_job_table *jobs, const char *id, const msgpack_object *object,
                           uint64_t revision)
{
    mv_job *job = mv_job_table_find(jobs, id);
    if (job) {
        job->revision = revision;
        return;
    }
    mv_job_spec spec;
    double accepted_at;
    unsigned home_shard;
    if (!parse_job_record(jobs, object, id, &spec, &home_shard, &accepted_at)) {
        mv_log_limited(MV_LOG_INFO, "record_malformed", "key=%s%s", KEY_JOB_PREFIX, id);
        mv_job_spec_clear(&spec);
        return;
    }
    job = mv_job_add(jobs, &spec, home_shard, accepted_at, revision);
    mv_job_layout_chunks(jobs->context, job);
}

/* Remembers the completion records that still exist after the job's record was deleted, so that
 * garbage collection deletes them. */
static void orphan_chunks(mv_job_table *jobs, const mv_job *job)
{
    GHashTableIter iter;
    gpointer name, revision;
    g_hash_table_iter_init(&iter, job->chunk_revisions);
    while (g_hash_table_iter_next(&iter, &name, &revision))
        g_hash_table_replace(jobs->orphaned_chunks,
                             g_strdup_printf("%s/%s", job->spec.id, (char *)name),
                             g_memdup2(revision, sizeof(uint64_t)));
}

void mv_job_record_removed(mv_job_table *jobs, mv_job *job)
{
    orphan_chunks(jobs, job);
    mv_job_remove(jobs, job);
}

/* --- chunks --- */

/* Returns MV_CHUNK_TASKS_MAX if the digits of the job's largest chunk fit a value of the state
 * service, otherwise MV_CHUNK_TASKS_SMALL. A controller of format 1 knows only
 * MV_CHUNK_TASKS_MAX. */
static unsigned choose_tasks_per_chunk(const mv_context *context, const mv_job *job)
{
    double digits = MIN(job->spec.tasks, MV_CHUNK_TASKS_MAX) / (double)TASKS_PER_DIGIT;
    bool fits = digits + COMPLETION_RECORD_FRAME <= (double)context->limits.value_bytes;
    return fits || EMULATES_FORMAT_1(context) ? MV_CHUNK_TASKS_MAX : MV_CHUNK_TASKS_SMALL;
}

void mv_job_layout_chunks(const mv_context *context, mv_job *job)
{
    unsigned tasks = choose_tasks_per_chunk(context, job);
    if (job->tasks_per_chunk == tasks)
        return;
    bool changes = job->tasks_per_chunk != 0;
    job->tasks_per_chunk = tasks;
    job->chunk_count = (job->spec.tasks + tasks - 1) / tasks;
    g_free(job->chunk_dirty);
    job->chunk_dirty = g_new0(bool, job->chunk_count);
    for (uint32_t i = 0; changes && i < job->spec.tasks; i++)
        if (job->task_states[i] >= MV_TASK_STATE_DONE)
            job->chunk_dirty[i / tasks] = true;
}

void mv_chunk_format_name(const mv_job *job, unsigned chunk, char *name, size_t size)
{
    if (job->tasks_per_chunk == MV_CHUNK_TASKS_MAX)
        g_snprintf(name, size, "%u", chunk);
    else
        g_snprintf(name, size, "%u.%u", chunk, job->tasks_per_chunk);
}

static bool parse_chunk_name(const char *name, unsigned *chunk, unsigned *tasks)
{
    char chunk_text[CHUNK_NUMBER_SIZE];
    guint64 number, size = MV_CHUNK_TASKS_MAX;
    const char *dot = strchr(name, '.');
    if (dot) {
        if ((size_t)(dot - name) >= sizeof chunk_text)
            return false;
        if (!g_ascii_string_to_unsigned(dot + 1, 10, 1, MV_JOB_TASKS_MAX, &size, NULL))
            return false;
    }
    g_strlcpy(chunk_text, name, dot ? (gsize)(dot - name) + 1 : sizeof chunk_text);
    if (!g_ascii_string_to_unsigned(chunk_text, 10, 0, MV_JOB_TASKS_MAX / size, &number, NULL))
        return false;
    *chunk = (unsigned)number;
    *tasks = (unsigned)size;
    return true;
}

uint64_t mv_chunk_revision(const mv_job *job, const char *name)
{
    const uint64_t *revision = g_hash_table_lookup(job->chunk_revisions, name);
    return revision ? *revision : 0;
}

GBytes *mv_chunk_pack(const mv_job *job, unsigned chunk)
{
    uint32_t base = chunk * job->tasks_per_chunk;
    uint32_t count = MIN(job->tasks_per_chunk, job->spec.tasks - base);
    g_autoptr(GString) bits = g_string_sized_new(count / TASKS_PER_DIGIT + 2);
    for (uint32_t first = 0; first < count; first += TASKS_PER_DIGIT) {
        int digit = 0;
        for (uint32_t i = 0; i < TASKS_PER_DIGIT && first + i < count; i++)
            digit |= (job->task_states[base + first + i] >= MV_TASK_STATE_DONE) << i;
        g_string_append_c(bits, "0123456789abcdef"[digit]);
    }
    return mv_completion_record_pack(bits->str, job->tasks_running);
}

/* --- completion records --- */

static bool bit_is_set(const GString *bits, uint32_t index)
{
    uint32_t digit = index / TASKS_PER_DIGIT;
    return digit < bits->len &&
           (g_ascii_xdigit_value(bits->str[digit]) >> (index % TASKS_PER_DIGIT)) & 1;
}

static void remember_revision(GHashTable *revisions, const char *name, const msgpack_object *object,
                              uint64_t revision)
{
    if (object)
        g_hash_table_replace(revisions, g_strdup(name), g_memdup2(&revision, sizeof revision));
    else
        g_hash_table_remove(revisions, name);
}

static void apply_completion_record(mv_job_table *jobs, mv_job *job, const msgpack_object *object,
                                    unsigned chunk, unsigned tasks)
{
    g_autoptr(GString) bits = g_string_new(NULL);
    if (!mv_completion_record_parse(object, bits, &job->recorded_running) || job->spec.service)
        return;
    uint32_t base = (uint32_t)chunk * tasks;
    for (uint32_t i = 0; i < tasks && base + i < job->spec.tasks; i++)
        if (bit_is_set(bits, i))
            mv_job_task_recorded(jobs, job, base + i);
}

void mv_completion_record_changed(mv_job_table *jobs, const char *name,
                                  const msgpack_object *object, uint64_t revision)
{
    char id[MV_ID_SIZE];
    const char *slash = strchr(name, '/');
    unsigned chunk, tasks;
    if (!slash || (size_t)(slash - name) >= sizeof id)
        return;
    if (!parse_chunk_name(slash + 1, &chunk, &tasks))
        return;
    if (EMULATES_FORMAT_1(jobs->context) && tasks != MV_CHUNK_TASKS_MAX)
        return;
    g_strlcpy(id, name, (gsize)(slash - name) + 1);
    mv_job *job = mv_job_table_find(jobs, id);
    if (!job) {
        remember_revision(jobs->orphaned_chunks, name, object, revision);
        return;
    }
    remember_revision(job->chunk_revisions, slash + 1, object, revision);
    if (object)
        apply_completion_record(jobs, job, object, chunk, tasks);
}
