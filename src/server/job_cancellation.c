/**
 * Cancellation of an active job: the owner's acknowledgement, then the transaction.
 */
#include "server/job_cancellation.h"

#include "server/clocks.h"
#include "server/job_transactions.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#define MICROSECONDS_PER_MILLISECOND 1000

/* --- the owner's acknowledgement --- */

static mv_cancellation_answer request_from_self(mv_shared_controller *shared,
                                                const mv_shard_grant *grant, const char *id)
{
    double now;
    mv_controller *controller = mv_shared_controller_lock(shared, &now);
    const mv_cancellation_answer answer =
        mv_controller_acknowledge_cancellation(controller, now, id, grant->shard, grant->term);
    mv_shared_controller_unlock(shared);
    return answer;
}

/* Asks the present owner of the shard once. Fills in the grant under which the owner was asked. */
static mv_cancellation_answer request_acknowledgement(const mv_request_services *services,
                                                      const char *id, unsigned shard,
                                                      mv_shard_grant *grant)
{
    double now;
    const mv_controller *controller = mv_shared_controller_lock(services->controller, &now);
    const bool granted = mv_controller_shard_grant(controller, shard, grant);
    mv_shared_controller_unlock(services->controller);
    if (!granted)
        return MV_CANCELLATION_NOT_OWNER;
    if (grant->is_own)
        return request_from_self(services->controller, grant, id);
    return mv_cancellation_client_request(services->cancellations, grant, id);
}

/* Returns whether the owner may give another answer within a moment: the shard may be granted to
 * another controller, and launches that are on their way to agents arrive or expire. */
static bool may_change(mv_cancellation_answer answer)
{
    return answer == MV_CANCELLATION_PENDING || answer == MV_CANCELLATION_NOT_OWNER;
}

/* Asks the owner of the shard until it acknowledges the cancellation, at most for MV_CANCEL_WAIT_S.
 * Fills in the grant under which the owner gave the answer that is returned. */
static mv_cancellation_answer await_acknowledgement(const mv_request_services *services,
                                                    const char *id, unsigned shard,
                                                    mv_shard_grant *grant)
{
    const double started = mv_monotonic_now();
    unsigned pause_ms = MV_CANCEL_PAUSE_MIN_MS;
    mv_cancellation_answer answer = request_acknowledgement(services, id, shard, grant);
    while (may_change(answer) && mv_monotonic_now() < started + MV_CANCEL_WAIT_S) {
        g_usleep(pause_ms * MICROSECONDS_PER_MILLISECOND);
        pause_ms = MIN(2 * pause_ms, MV_CANCEL_PAUSE_MAX_MS);
        answer = request_acknowledgement(services, id, shard, grant);
    }
    mv_metrics_record_latency(MV_LATENCY_ACKNOWLEDGEMENT, mv_monotonic_now() - started);
    return answer;
}

static const char *answer_name(mv_cancellation_answer answer)
{
    static const char *const NAMES[] = {[MV_CANCELLATION_UNSUPPORTED] = "unsupported",
                                        [MV_CANCELLATION_ACKNOWLEDGED] = "acknowledged",
                                        [MV_CANCELLATION_PENDING] = "pending",
                                        [MV_CANCELLATION_NOT_OWNER] = "not_owner",
                                        [MV_CANCELLATION_UNREACHABLE] = "unreachable"};
    return NAMES[answer];
}

/* --- the transaction --- */

static mv_cancel_result commit(const mv_request_services *services, const char *id,
                               const mv_job_lookup *lookup, const mv_shard_grant *grant)
{
    switch (mv_job_commit_cancellation(services, id, lookup->revision, lookup->tasks, grant)) {
    case MV_STATE_STORE_OK:
        return MV_CANCEL_COMMITTED;
    case MV_STATE_STORE_CONFLICT:
        return MV_CANCEL_CONFLICT;
    default:
        return MV_CANCEL_NOT_DECIDED;
    }
}

mv_cancel_result mv_job_cancel(const mv_request_services *services, const char *id,
                               const mv_job_lookup *lookup)
{
    mv_shard_grant grant = {0};
    const mv_cancellation_answer answer =
        await_acknowledgement(services, id, lookup->home_shard, &grant);
    if (answer == MV_CANCELLATION_ACKNOWLEDGED) {
        const mv_cancel_result result = commit(services, id, lookup, &grant);
        mv_debug("cancellation_acknowledged",
                 "job=%s shard=%u owner=%s term=%" G_GUINT64_FORMAT " committed=%d", id,
                 grant.shard, grant.node, grant.term, result == MV_CANCEL_COMMITTED);
        return result;
    }
    /* An owner of a version that knows no acknowledgements learns of the cancellation from the
     * state service alone. */
    if (answer == MV_CANCELLATION_UNSUPPORTED) {
        const mv_cancel_result result = commit(services, id, lookup, NULL);
        return result == MV_CANCEL_COMMITTED ? MV_CANCEL_UNCONFIRMED : result;
    }
    if (answer != MV_CANCELLATION_PENDING)
        mv_job_commit_cancellation_request(services, id, lookup->revision);
    mv_log_limited(MV_LOG_INFO, "cancellation_unacknowledged", "job=%s shard=%u owner=%s answer=%s",
                   id, lookup->home_shard, grant.node, answer_name(answer));
    return MV_CANCEL_UNACKNOWLEDGED;
}
