#include "bookkeeping/log.h"

#include "constants.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

static mv_log_level current = MV_LOG_INFO;
static char node[MV_NAME_SIZE] = "-";
static GMutex limit_lock;
static GHashTable *limits; /* event -> repeat */

typedef struct {
    gint64 next_us;
    guint held;
} repeat;

static const char *const LEVELS[] = {"error", "info", "debug"};

/* g_log messages of libraries end in the same form as our own. */
static GLogWriterOutput writer(GLogLevelFlags level, const GLogField *fields, gsize n,
                               gpointer data)
{
    (void)data;
    mv_log_level ours = MV_LOG_DEBUG;
    if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING))
        ours = MV_LOG_ERROR;
    else if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
        ours = MV_LOG_INFO;
    if (ours > current)
        return G_LOG_WRITER_HANDLED;
    const char *text = "";
    for (gsize i = 0; i < n; i++)
        if (strcmp(fields[i].key, "MESSAGE") == 0)
            text = fields[i].value;
    char line[1024];
    int len = snprintf(line, sizeof line, "level=%s node=%s %s\n", LEVELS[ours], node, text);
    if (len < 0)
        return G_LOG_WRITER_UNHANDLED;
    if ((size_t)len >= sizeof line) {
        len = sizeof line - 1;
        line[len - 1] = '\n';
    }
    return write(STDERR_FILENO, line, (size_t)len) < 0 ? G_LOG_WRITER_UNHANDLED
                                                       : G_LOG_WRITER_HANDLED;
}

bool mv_log_init(const char *node_name)
{
    g_strlcpy(node, node_name, sizeof node);
    g_log_set_writer_func(writer, NULL, NULL);
    const char *want = g_getenv("LOG_LEVEL");
    if (!want || !*want)
        return true;
    for (int i = 0; i <= MV_LOG_DEBUG; i++)
        if (strcmp(want, LEVELS[i]) == 0) {
            current = (mv_log_level)i;
            return true;
        }
    return false;
}

mv_log_level mv_log_current(void)
{
    return current;
}

static void emit(mv_log_level level, const char *event, guint held, const char *format, va_list ap)
{
    static const GLogLevelFlags flags[] = {G_LOG_LEVEL_WARNING, G_LOG_LEVEL_INFO,
                                           G_LOG_LEVEL_DEBUG};
    char rest[900];
    if (vsnprintf(rest, sizeof rest, format, ap) < 0)
        return;
    if (held)
        g_log_structured(G_LOG_DOMAIN, flags[level], "MESSAGE", "event=%s %s repeated=%u", event,
                         rest, held);
    else
        g_log_structured(G_LOG_DOMAIN, flags[level], "MESSAGE", "event=%s %s", event, rest);
}

void mv_log(mv_log_level level, const char *event, const char *format, ...)
{
    if (level > current)
        return;
    va_list ap;
    va_start(ap, format);
    emit(level, event, 0, format, ap);
    va_end(ap);
}

void mv_log_limited(mv_log_level level, const char *event, const char *format, ...)
{
    if (level > current)
        return;
    gint64 now = g_get_monotonic_time();
    g_mutex_lock(&limit_lock);
    if (!limits)
        limits = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    repeat *r = g_hash_table_lookup(limits, event);
    if (!r) {
        r = g_new0(repeat, 1);
        g_hash_table_insert(limits, (gpointer)event, r); /* events are literals */
    }
    bool print = now >= r->next_us;
    guint held = r->held;
    r->held = print ? 0 : r->held + 1;
    if (print)
        r->next_us = now + (gint64)(MV_LOG_REPEAT_S * 1e6);
    g_mutex_unlock(&limit_lock);
    if (!print)
        return;
    va_list ap;
    va_start(ap, format);
    emit(level, event, held, format, ap);
    va_end(ap);
}
