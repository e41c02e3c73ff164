/**
 * Implementation of the history: an array of events behind a mutex, and a text file to which each
 * event is appended.
 */
#include "history.h"

#include <pthread.h>
#include <stdio.h>

struct mv_history {
    pthread_mutex_t lock; /* guards `events` and `file` */
    GArray *events;       /* elements are mv_event */
    FILE *file;           /* NULL if the history is held in memory only */
    gint64 began_us;      /* monotonic time at which the history was opened */
};

/* The names of the event kinds in the history file. They must not change, because people and
 * scripts read recorded histories. */
static const char *const KIND_NAMES[MV_EVENT_KINDS] = {
    "accepted", "started", "done",     "gone",  "recorded", "answered",
    "unknown",  "trouble", "invented", "ended", "invariant"};

mv_history *mv_history_open(const char *path)
{
    FILE *file = path ? fopen(path, "w") : NULL;
    if (path && !file)
        return NULL;
    mv_history *history = g_new0(mv_history, 1);
    pthread_mutex_init(&history->lock, NULL);
    history->events = g_array_new(FALSE, TRUE, sizeof(mv_event));
    history->file = file;
    history->began_us = g_get_monotonic_time();
    return history;
}

void mv_history_close(mv_history *history)
{
    if (!history)
        return;
    if (history->file)
        fclose(history->file);
    g_array_unref(history->events);
    pthread_mutex_destroy(&history->lock);
    g_free(history);
}

double mv_history_now(const mv_history *history)
{
    return (double)(g_get_monotonic_time() - history->began_us) / 1e6;
}

static const char *text_or_dash(const char *text)
{
    return text[0] ? text : "-";
}

/* Appends one event to the file and flushes the file, so that the file is complete even if the
 * program is killed. */
static void write_event(FILE *file, const mv_event *event)
{
    fprintf(file, "%.3f %s who=%s job=%s task=%u attempt=%lu token=%lu %s\n", event->at,
            KIND_NAMES[event->kind], text_or_dash(event->subject), text_or_dash(event->job_id),
            event->task, (unsigned long)event->attempt, (unsigned long)event->fencing_token,
            event->text);
    fflush(file);
}

void mv_history_add(mv_history *history, mv_event event)
{
    pthread_mutex_lock(&history->lock);
    event.at = mv_history_now(history);
    g_array_append_val(history->events, event);
    if (history->file)
        write_event(history->file, &event);
    pthread_mutex_unlock(&history->lock);
}

GArray *mv_history_events(mv_history *history)
{
    pthread_mutex_lock(&history->lock);
    GArray *copy = g_array_copy(history->events);
    pthread_mutex_unlock(&history->lock);
    return copy;
}
