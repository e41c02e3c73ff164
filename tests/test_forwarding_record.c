/**
 * Tests of the record that makes a controller unhealthy whose forwarded requests get no answer.
 */
#include "server/forwarding_record.h"

#include "constants.h"

#include <glib.h>

static void add(mv_forwarding_record *record, double now, unsigned answered, unsigned unanswered)
{
    for (unsigned i = 0; i < answered; i++)
        mv_forwarding_record_add(record, now, true);
    for (unsigned i = 0; i < unanswered; i++)
        mv_forwarding_record_add(record, now, false);
}

/* Guards against a controller that stays healthy because some requests are answered. */
static void majority_unanswered_is_failing(void)
{
    mv_forwarding_record record = {0};
    add(&record, 100, 5, 5);
    g_assert_false(mv_forwarding_record_is_failing(&record, 100));
    add(&record, 100, 0, 1);
    g_assert_true(mv_forwarding_record_is_failing(&record, 100));
}

static void few_requests_show_nothing(void)
{
    mv_forwarding_record record = {0};
    add(&record, 100, 0, MV_FORWARDING_FAILURES_MIN - 1);
    g_assert_false(mv_forwarding_record_is_failing(&record, 100));
    add(&record, 100, 0, 1);
    g_assert_true(mv_forwarding_record_is_failing(&record, 100));
}

/* Guards against a controller that stays unhealthy after its users have gone, or after its requests
 * are answered again. */
static void old_requests_are_forgotten(void)
{
    mv_forwarding_record record = {0};
    add(&record, 100, 0, 50);
    g_assert_true(mv_forwarding_record_is_failing(&record, 100 + 1.5 * MV_FORWARDING_WINDOW_S));
    g_assert_false(mv_forwarding_record_is_failing(&record, 100 + 2 * MV_FORWARDING_WINDOW_S));
    add(&record, 100 + MV_FORWARDING_WINDOW_S, 10, 0);
    g_assert_true(mv_forwarding_record_is_failing(&record, 100 + MV_FORWARDING_WINDOW_S));
    g_assert_false(mv_forwarding_record_is_failing(&record, 100 + 2 * MV_FORWARDING_WINDOW_S));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forwarding-record/most", majority_unanswered_is_failing);
    g_test_add_func("/forwarding-record/few", few_requests_show_nothing);
    g_test_add_func("/forwarding-record/old", old_requests_are_forgotten);
    return g_test_run();
}
