/**
 * Log with levels on standard error, with one line of "key=value" pairs for each event.
 *
 * Messages of libraries that use GLib's log are written in the same form. All functions except
 * mv_log_init may be called from any thread.
 */
#ifndef MV_LOG_H
#define MV_LOG_H
#include <glib.h>
#include <stdbool.h>

/**
 * Levels, from the most to the least important. An event is logged unless its level comes after the
 * configured level.
 */
typedef enum { MV_LOG_ERROR, MV_LOG_INFO, MV_LOG_DEBUG } mv_log_level;

/**
 * Sets the node's name, which is copied, and the level from the environment variable LOG_LEVEL. The
 * level is info if LOG_LEVEL is not set. If LOG_LEVEL names no level, the level is info and the
 * result is false. Called before other threads start.
 */
bool mv_log_init(const char *node_name);

/** Returns the configured level. */
mv_log_level mv_log_current(void);

/**
 * Logs an event. `event` is one word made of a noun and a verb, as in "server_started"; `format`
 * and its arguments give "key=value" pairs.
 */
void mv_log(mv_log_level level, const char *event, const char *format, ...) G_GNUC_PRINTF(3, 4);

/**
 * Logs an event that may repeat often. Each `event`, which must be a string literal, is printed at
 * most one time in MV_LOG_REPEAT_INTERVAL_S. The next line of that event gives the number of
 * suppressed lines under the key "repeated".
 */
void mv_log_limited(mv_log_level level, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/** Logs an event that requires action by an operator. */
#define mv_error(...) mv_log(MV_LOG_ERROR, __VA_ARGS__)
/** Logs an event that informs operators about normal operation. */
#define mv_info(...) mv_log(MV_LOG_INFO, __VA_ARGS__)
/** Logs an event for debugging. The arguments are evaluated only if the configured level is debug.
 */
#define mv_debug(...)                                                                              \
    do {                                                                                           \
        if (mv_log_current() >= MV_LOG_DEBUG)                                                      \
            mv_log(MV_LOG_DEBUG, __VA_ARGS__);                                                     \
    } while (0)
#endif
