/**
 * Write budget of the state service: a token bucket for all writes of this controller, and a second
 * bucket for deferrable writes, which take tokens from both.
 */
#include "storage/write_budget.h"

#include "constants.h"

#include <glib.h>
#include <pthread.h>

/* A waiting writer checks the budget again after this time at the latest, because a refusal or a
 * change of the number of writers can alter the refill rate meanwhile. */
#define WAIT_MAX_S 1
/* Microseconds that are added to each sleep, so that the tokens are in the bucket when the writer
 * wakes up. */
#define WAIT_EXTRA_US 1000

struct mv_write_budget {
    double limit; /* writes per second that the state service allows all controllers together */
    pthread_mutex_t lock;  /* guards the fields below */
    double rate_share;     /* controller's fraction of `limit`, 1 at most; reduced by refusals */
    unsigned writer_count; /* controllers that make deferrable writes, including this one */
    double available; /* tokens: writes that may be sent now; below 0 after an oversized write */
    double deferrable_available; /* tokens of the second bucket, for deferrable writes */
    gint64 refilled_at_us;
};

mv_write_budget *mv_write_budget_new(double writes_per_s)
{
    mv_write_budget *budget = g_new0(mv_write_budget, 1);
    budget->limit = writes_per_s;
    budget->rate_share = 1;
    budget->available = writes_per_s;
    budget->writer_count = 1;
    budget->refilled_at_us = g_get_monotonic_time();
    pthread_mutex_init(&budget->lock, NULL);
    return budget;
}

void mv_write_budget_free(mv_write_budget *budget)
{
    if (!budget)
        return;
    pthread_mutex_destroy(&budget->lock);
    g_free(budget);
}

void mv_write_budget_set_writers(mv_write_budget *budget, unsigned writers)
{
    pthread_mutex_lock(&budget->lock);
    budget->writer_count = MAX(writers, 1);
    pthread_mutex_unlock(&budget->lock);
}

void mv_write_budget_throttle(mv_write_budget *budget)
{
    pthread_mutex_lock(&budget->lock);
    budget->rate_share = MAX(budget->rate_share * MV_WRITE_RATE_DECREASE, MV_WRITE_RATE_SHARE_MIN);
    budget->available = MIN(budget->available, 0);
    pthread_mutex_unlock(&budget->lock);
}

/* Returns the refill rate of the main bucket in writes per second. The caller holds the lock. */
static double refill_rate(const mv_write_budget *budget)
{
    return budget->limit * budget->rate_share;
}

/* Adds tokens to both buckets, and raises `rate_share`, for the time since the last refill. The
 * caller holds the lock. */
static void refill(mv_write_budget *budget)
{
    const gint64 now_us = g_get_monotonic_time();
    const double elapsed_s = (double)(now_us - budget->refilled_at_us) / G_USEC_PER_SEC;
    const double rate = refill_rate(budget);
    const double deferrable_rate = budget->limit * MV_DEFERRABLE_WRITE_SHARE / budget->writer_count;
    const double deferrable_max = MAX(deferrable_rate, MV_FLUSH_BATCH);
    budget->available = MIN(rate, budget->available + elapsed_s * rate);
    budget->rate_share = MIN(1, budget->rate_share + elapsed_s * MV_WRITE_RATE_INCREASE);
    budget->deferrable_available =
        MIN(deferrable_max, budget->deferrable_available + elapsed_s * deferrable_rate);
    budget->refilled_at_us = now_us;
}

/* Returns the seconds until the main bucket has tokens for `count` writes. Deferrable writes have
 * to leave half of the bucket for urgent writes, unless the bucket is full. The caller holds the
 * lock. */
static double wait_for_writes(const mv_write_budget *budget, unsigned count, bool urgent)
{
    const double rate = refill_rate(budget);
    const double reserved = urgent ? 0 : rate / 2;
    const double missing = MIN(count + reserved, rate) - budget->available;
    return MAX(missing, 0) / rate;
}

/* Returns the seconds until the second bucket has tokens for `count` deferrable writes; 0 or
 * less if the bucket has the tokens now. The caller holds the lock. */
static double wait_for_deferrable_writes(const mv_write_budget *budget, unsigned count)
{
    const double missing = MIN(count, (double)MV_FLUSH_BATCH) - budget->deferrable_available;
    return missing * budget->writer_count / (budget->limit * MV_DEFERRABLE_WRITE_SHARE);
}

/* Takes the tokens for `count` writes and returns 0. If tokens are missing, takes none and returns
 * the seconds to wait before the next attempt. The second bucket limits deferrable writes only if
 * several controllers make them. The caller holds the lock. */
static double try_take(mv_write_budget *budget, unsigned count, bool urgent)
{
    refill(budget);
    double wait_s = wait_for_writes(budget, count, urgent);
    const bool limit_is_shared = budget->writer_count > 1;
    if (!urgent && limit_is_shared)
        wait_s = MAX(wait_s, wait_for_deferrable_writes(budget, count));
    if (wait_s > 0)
        return wait_s;
    budget->available -= count;
    if (!urgent)
        budget->deferrable_available -= count;
    return 0;
}

void mv_write_budget_take(mv_write_budget *budget, unsigned count, bool urgent)
{
    for (;;) {
        pthread_mutex_lock(&budget->lock);
        const double wait_s = try_take(budget, count, urgent);
        pthread_mutex_unlock(&budget->lock);
        if (wait_s <= 0)
            return;
        g_usleep((gulong)(MIN(wait_s, WAIT_MAX_S) * G_USEC_PER_SEC) + WAIT_EXTRA_US);
    }
}
