/**
 * Tests the log's limit on repeated messages while several threads log at once: at least one
 * message of each event is printed, and no message is counted twice.
 *
 * docs/OPERATIONS.md describes the format of the lines (`repeated=`) to the operators. This test
 * also runs with the thread sanitizer.
 */
#include "telemetry/log.h"

#include <glib/gstdio.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define THREADS 4
#define ROUNDS 100
#define MESSAGES_PER_EVENT ((guint64)THREADS * ROUNDS)

static const char *const EVENTS[] = {"first_event", "second_event", "third_event"};
static pthread_barrier_t all_started;

static void *log_all_events(void *unused)
{
    pthread_barrier_wait(&all_started);
    for (int round = 0; round < ROUNDS; round++)
        for (size_t i = 0; i < G_N_ELEMENTS(EVENTS); i++)
            mv_log_limited(MV_LOG_INFO, EVENTS[i], "round=%d", round);
    return unused;
}

static void run_logging_threads(void)
{
    pthread_t threads[THREADS];
    g_assert_cmpint(pthread_barrier_init(&all_started, NULL, THREADS), ==, 0);
    for (int i = 0; i < THREADS; i++)
        g_assert_cmpint(pthread_create(&threads[i], NULL, log_all_events, NULL), ==, 0);
    for (int i = 0; i < THREADS; i++)
        g_assert_cmpint(pthread_join(threads[i], NULL), ==, 0);
    pthread_barrier_destroy(&all_started);
}

/* Runs the threads and returns the text that they wrote to standard error. The caller frees the
 * text. */
static char *capture_log_of_threads(void)
{
    g_autofree char *path = NULL;
    char *text = NULL;
    const int file = g_file_open_tmp("mv-log-XXXXXX", &path, NULL);
    g_assert_cmpint(file, >=, 0);
    const int standard_error = dup(STDERR_FILENO);
    g_assert_cmpint(dup2(file, STDERR_FILENO), >=, 0);

    run_logging_threads();

    g_assert_cmpint(dup2(standard_error, STDERR_FILENO), >=, 0);
    close(standard_error);
    close(file);
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    g_unlink(path);
    return text;
}

/* At least one line of the event is printed. The printed lines and the messages counted as
 * suppressed are together at most the messages logged. The first line of the event counts no
 * suppressed messages, because nothing was suppressed before it. */
static void assert_repeats_limited(char *const *lines, const char *event)
{
    guint64 messages = 0;
    guint printed = 0;
    for (char *const *line = lines; *line; line++) {
        if (!strstr(*line, event))
            continue;
        const char *repeated = strstr(*line, "repeated=");
        g_assert_true(printed > 0 || !repeated);
        printed++;
        messages++;
        if (repeated)
            messages += g_ascii_strtoull(repeated + strlen("repeated="), NULL, 10);
    }
    g_assert_cmpuint(printed, >=, 1);
    g_assert_cmpuint(printed, <, MESSAGES_PER_EVENT);
    g_assert_cmpuint(messages, <=, MESSAGES_PER_EVENT);
}

static void repeated_messages_are_limited(void)
{
    g_assert_true(mv_log_init("n0"));
    g_autofree char *text = capture_log_of_threads();
    g_printerr("%s", text); /* also contains the reports of the thread sanitizer */
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (size_t i = 0; i < G_N_ELEMENTS(EVENTS); i++)
        assert_repeats_limited(lines, EVENTS[i]);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/log/repeated-messages-limited", repeated_messages_are_limited);
    return g_test_run();
}
