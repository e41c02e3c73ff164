/** Levelled logs on standard error, written through GLib's structured log. */
#include "telemetry/log.h"

#include "constants.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_SIZE 1024
#define PAIRS_SIZE 900

static const char *const LEVEL_NAMES[] = {"error", "info", "debug"};

/* mv_log_init sets these variables before other threads start. They do not change afterwards. */
static mv_log_level configured_level = MV_LOG_INFO;
static char node[MV_NAME_SIZE] = "-";

/* The time from which an event may be printed again, and how many times the event has been
 * suppressed since it was last printed. */
typedef struct {
    gint64 next_us;
    guint suppressed;
} repeat_limit;

/* This is a pthread mutex and not a GMutex, because GLib is not built with the thread sanitizer.
 * The sanitizer therefore reports a data race on all data that a GMutex guards (seen in the test
 * "log" under that sanitizer). */
static pthread_mutex_t limits_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *limits; /* event -> repeat_limit; guarded by limits_lock */

/* Returns the level that corresponds to GLib's flags. */
static mv_log_level level_of_flags(GLogLevelFlags flags)
{
    if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING))
        return MV_LOG_ERROR;
    if (flags & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
        return MV_LOG_INFO;
    return MV_LOG_DEBUG;
}

/* Returns the value of the field MESSAGE, or an empty text if there is no such field. */
static const char *message_of_fields(const GLogField *fields, gsize count)
{
    const char *message = "";
    for (gsize i = 0; i < count; i++)
        if (strcmp(fields[i].key, "MESSAGE") == 0)
            message = fields[i].value;
    return message;
}

/* GLib calls this for each message of the service and of its libraries. Writes each line in one
 * call of write, so that lines of different threads do not mix. A line of LINE_SIZE bytes or more
 * is truncated. */
static GLogWriterOutput write_line(GLogLevelFlags flags, const GLogField *fields, gsize count,
                                   gpointer unused)
{
    (void)unused;
    const mv_log_level level = level_of_flags(flags);
    if (level > configured_level)
        return G_LOG_WRITER_HANDLED;
    char line[LINE_SIZE];
    int length = snprintf(line, sizeof line, "level=%s node=%s %s\n", LEVEL_NAMES[level], node,
                          message_of_fields(fields, count));
    if (length < 0)
        return G_LOG_WRITER_UNHANDLED;
    if ((size_t)length >= sizeof line) {
        length = sizeof line - 1;
        line[length - 1] = '\n';
    }
    const bool written = write(STDERR_FILENO, line, (size_t)length) >= 0;
    return written ? G_LOG_WRITER_HANDLED : G_LOG_WRITER_UNHANDLED;
}

bool mv_log_init(const char *node_name)
{
    g_strlcpy(node, node_name, sizeof node);
    g_log_set_writer_func(write_line, NULL, NULL);
    const char *level_name = g_getenv("LOG_LEVEL");
    if (!level_name || !*level_name)
        return true;
    for (int i = 0; i <= MV_LOG_DEBUG; i++)
        if (strcmp(level_name, LEVEL_NAMES[i]) == 0) {
            configured_level = (mv_log_level)i;
            return true;
        }
    return false;
}

mv_log_level mv_log_current(void)
{
    return configured_level;
}

/* Formats an event and passes it to GLib's log. */
static void emit(mv_log_level level, const char *event, guint suppressed, const char *format,
                 va_list arguments)
{
    static const GLogLevelFlags FLAGS[] = {G_LOG_LEVEL_WARNING, G_LOG_LEVEL_INFO,
                                           G_LOG_LEVEL_DEBUG};
    char pairs[PAIRS_SIZE];
    if (vsnprintf(pairs, sizeof pairs, format, arguments) < 0)
        return;
    if (suppressed)
        g_log_structured(G_LOG_DOMAIN, FLAGS[level], "MESSAGE", "event=%s %s repeated=%u", event,
                         pairs, suppressed);
    else
        g_log_structured(G_LOG_DOMAIN, FLAGS[level], "MESSAGE", "event=%s %s", event, pairs);
}

void mv_log(mv_log_level level, const char *event, const char *format, ...)
{
    if (level > configured_level)
        return;
    va_list arguments;
    va_start(arguments, format);
    emit(level, event, 0, format, arguments);
    va_end(arguments);
}

/* Returns the repeat limit of an event, and creates the limit on the event's first use. The caller
 * holds limits_lock. */
static repeat_limit *limit_of_event(const char *event)
{
    if (!limits)
        limits = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    repeat_limit *limit = g_hash_table_lookup(limits, event);
    if (!limit) {
        limit = g_new0(repeat_limit, 1);
        g_hash_table_insert(limits, (gpointer)event,
                            limit); /* no copy: events are string literals */
    }
    return limit;
}

/* Returns whether the event may be printed now. If so, `*suppressed` is the number of times that
 * the event was suppressed since it was last printed; otherwise this time is counted as suppressed.
 */
static bool may_print(const char *event, guint *suppressed)
{
    const gint64 now_us = g_get_monotonic_time();
    pthread_mutex_lock(&limits_lock);
    repeat_limit *limit = limit_of_event(event);
    const bool allowed = now_us >= limit->next_us;
    *suppressed = limit->suppressed;
    if (allowed) {
        limit->suppressed = 0;
        limit->next_us = now_us + (gint64)(MV_LOG_REPEAT_INTERVAL_S * G_USEC_PER_SEC);
    } else {
        limit->suppressed++;
    }
    pthread_mutex_unlock(&limits_lock);
    return allowed;
}

void mv_log_limited(mv_log_level level, const char *event, const char *format, ...)
{
    guint suppressed = 0;
    if (level > configured_level || !may_print(event, &suppressed))
        return;
    va_list arguments;
    va_start(arguments, format);
    emit(level, event, suppressed, format, arguments);
    va_end(arguments);
}
