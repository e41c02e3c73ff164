/** Latency histograms and response counters. */
#include "telemetry/metrics.h"

#include <gsl/gsl_histogram.h>
#include <pthread.h>

#define STATUS_CLASSES 6 /* class 0: no response; classes 1 to 5: status 1xx to 5xx */

/* Values of the label "what", in the order of mv_latency. They are part of the interface. */
static const char *const NAMES[MV_LATENCIES] = {"submit", "poll",    "abort",    "report",
                                                "txn",    "command", "cloud",    "acknowledge",
                                                "queue",  "forward", "peer_wait"};

/* Bounds of the buckets in seconds. They range from well below the time of one response to far
 * above every timeout. */
static const double BOUNDS[] = {0,   0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                0.1, 0.2,   0.5,   1,     2,    5,    3600};
#define BUCKETS (G_N_ELEMENTS(BOUNDS) - 1)

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gsl_histogram *latencies[MV_LATENCIES];          /* guarded by lock */
static guint64 responses[MV_LATENCIES][STATUS_CLASSES]; /* guarded by lock */

void mv_metrics_init(void)
{
    for (int i = 0; i < MV_LATENCIES; i++) {
        latencies[i] = gsl_histogram_alloc(BUCKETS);
        gsl_histogram_set_ranges(latencies[i], BOUNDS, G_N_ELEMENTS(BOUNDS));
    }
}

void mv_metrics_record_latency(mv_latency which, double seconds)
{
    const double last_bound = BOUNDS[BUCKETS];
    pthread_mutex_lock(&lock);
    if (latencies[which])
        gsl_histogram_increment(latencies[which], CLAMP(seconds, 0, last_bound - 1));
    pthread_mutex_unlock(&lock);
}

void mv_metrics_record_status(mv_latency which, int status)
{
    const int status_class = CLAMP(status / 100, 0, STATUS_CLASSES - 1);
    pthread_mutex_lock(&lock);
    responses[which][status_class]++;
    pthread_mutex_unlock(&lock);
}

/* Prints one histogram. Each bucket also counts all smaller buckets, as the Prometheus text format
 * requires. The caller holds the lock. */
static void print_histogram(GString *out, const char *name, const gsl_histogram *histogram)
{
    double count = 0;
    for (size_t i = 0; i < BUCKETS; i++) {
        count += gsl_histogram_get(histogram, i);
        g_string_append_printf(out, "mulleinvalve_seconds_bucket{what=\"%s\",le=\"%g\"} %.0f\n",
                               name, BOUNDS[i + 1], count);
    }
    g_string_append_printf(out, "mulleinvalve_seconds_count{what=\"%s\"} %.0f\n", name, count);
}

/* Prints the response counters that are not 0. The caller holds the lock. */
static void print_responses(GString *out, const char *name, const guint64 counts[STATUS_CLASSES])
{
    for (int status_class = 0; status_class < STATUS_CLASSES; status_class++)
        if (counts[status_class])
            g_string_append_printf(out,
                                   "mulleinvalve_answers{what=\"%s\",class=\"%dxx\"} "
                                   "%" G_GUINT64_FORMAT "\n",
                                   name, status_class, counts[status_class]);
}

GString *mv_metrics_print(void)
{
    GString *out = g_string_new("# TYPE mulleinvalve_seconds histogram\n");
    pthread_mutex_lock(&lock);
    for (int i = 0; i < MV_LATENCIES && latencies[i]; i++)
        print_histogram(out, NAMES[i], latencies[i]);
    g_string_append(out, "# TYPE mulleinvalve_answers counter\n");
    for (int i = 0; i < MV_LATENCIES; i++)
        print_responses(out, NAMES[i], responses[i]);
    pthread_mutex_unlock(&lock);
    return out;
}
