/**
 * Handlers of users' requests that submit, poll and cancel jobs.
 */
#include "server/job_endpoints.h"

#include "protocol/names.h"
#include "server/job_cancellation.h"
#include "server/job_transactions.h"
#include "server/responses.h"

#include <math.h>

/* --- responses --- */

static void respond_unreachable(mv_http_response *response)
{
    mv_response_error(response, MV_HTTP_STATUS_UNAVAILABLE, "state service out of reach", NULL);
}

static void respond_no_such_job(mv_http_response *response)
{
    mv_response_error(response, MV_HTTP_STATUS_NOT_FOUND, "no such job", NULL);
}

static const char *final_state_name(const mv_final_job *job)
{
    return job->done ? WIRE_DONE : WIRE_CANCELLED;
}

static void respond_active(const mv_request_services *services, const char *id,
                           mv_http_response *response)
{
    mv_job_summary summary;
    double now;
    const mv_controller *controller = mv_shared_controller_lock(services->controller, &now);
    mv_controller_job_status(controller, id, &summary);
    mv_shared_controller_unlock(services->controller);
    const bool started = summary.tasks_running || summary.tasks_done;
    mv_response_job_progress(response, MV_HTTP_STATUS_OK, id, started ? WIRE_RUNNING : WIRE_PENDING,
                             summary.tasks_done, summary.tasks_running);
}

/* Responds that a job was cancelled, but that users may be told so only in `wait_s` seconds. */
static void respond_unconfirmed(double wait_s, mv_http_response *response)
{
    mv_response_error(response, MV_HTTP_STATUS_UNAVAILABLE, "not decided",
                      "the owner of the job may still start tasks");
    response->retry_after_s = (int)CLAMP(ceil(wait_s), MV_RETRY_AFTER_S, MV_RETRY_AFTER_MAX_S);
}

/* Responds with the result of a lookup. Returns whether a peer may respond instead: a peer of a
 * version that knows no acknowledgements would tell the user too early that a job is cancelled. */
static mv_forwarding respond_with_lookup(const mv_request_services *services, const char *id,
                                         const mv_job_lookup *lookup, mv_http_response *response)
{
    switch (lookup->state) {
    case MV_JOB_FINAL:
        mv_response_job_progress(response, MV_HTTP_STATUS_OK, id, final_state_name(&lookup->final),
                                 lookup->final.done ? lookup->final.tasks : 0, 0);
        break;
    case MV_JOB_ACTIVE:
        respond_active(services, id, response);
        break;
    case MV_JOB_UNCONFIRMED:
        respond_unconfirmed(lookup->confirmed_in_s, response);
        return MV_FORWARDING_FORBIDDEN;
    case MV_JOB_UNKNOWN:
        respond_no_such_job(response);
        break;
    case MV_JOB_UNCERTAIN:
        respond_unreachable(response);
        break;
    }
    return MV_FORWARDING_ALLOWED;
}

/* --- submission --- */

/** The result of the checks that decide whether this controller may accept a job. */
typedef struct {
    mv_fit_result fit;
    unsigned home_shard;       /* set only if `fit` is MV_FIT_POSSIBLE */
    const char *invalid_field; /* the field that makes the job invalid; NULL: no field does */
    mv_forwarding forwarding;
} job_admission;

/* Decides whether this controller may accept the job. If the job's record would be too large, this
 * function drops the machine types that do not exist, and repeated types, from the job's list. */
static job_admission check_admission(mv_shared_controller *shared, mv_job_spec *job)
{
    job_admission admission = {.forwarding = MV_FORWARDING_ALLOWED};
    double now;
    const mv_controller *controller = mv_shared_controller_lock(shared, &now);
    admission.fit = mv_controller_job_fits(controller, job);
    if (admission.fit == MV_FIT_POSSIBLE &&
        !mv_controller_home_shard(controller, job, &admission.home_shard))
        admission.fit = MV_FIT_UNKNOWN;
    const bool formats_current = mv_controller_all_formats_current(controller);
    /* Controllers of record format 1 accept batch jobs without an estimated runtime. The response
     * must not depend on which controller a user asks, so this controller rejects these jobs only
     * if all controllers read the current format. */
    const bool estimate_missing = !job->service && job->estimated_runtime_s <= 0 && formats_current;
    if (estimate_missing)
        admission.invalid_field = WIRE_ESTIMATED_RUNTIME;
    else if (admission.fit == MV_FIT_POSSIBLE && !mv_controller_trim_job_record(controller, job))
        admission.invalid_field = WIRE_MACHINE_TYPES;
    mv_shared_controller_unlock(shared);
    if (job->service && !formats_current && admission.fit == MV_FIT_POSSIBLE) {
        admission.fit = MV_FIT_UNKNOWN;
        /* A peer of record format 1 would reject the service with a final error, although the
         * service can be accepted once all controllers read the current format. */
        admission.forwarding = MV_FORWARDING_FORBIDDEN;
    }
    if (admission.invalid_field)
        admission.fit = MV_FIT_IMPOSSIBLE;
    return admission;
}

static mv_forwarding accept_job(const mv_request_services *services, const mv_job_spec *job,
                                unsigned home_shard, mv_http_response *response)
{
    if (!mv_shared_controller_state_reachable(services->controller)) {
        respond_unreachable(response);
        return MV_FORWARDING_ALLOWED;
    }
    const mv_state_store_result result = mv_job_commit_submission(services, job, home_shard);
    if (result == MV_STATE_STORE_OK) {
        mv_response_job(response, MV_HTTP_STATUS_CREATED, job->id, WIRE_PENDING);
        return MV_FORWARDING_ALLOWED;
    }
    if (result != MV_STATE_STORE_CONFLICT) {
        respond_unreachable(response);
        return MV_FORWARDING_ALLOWED;
    }
    mv_job_lookup lookup = mv_job_find(services, job->id);
    /* The commit failed because the job had a record. If the lookup finds no record, this
     * controller cannot tell the job's state. */
    if (lookup.state == MV_JOB_UNKNOWN)
        lookup.state = MV_JOB_UNCERTAIN;
    return respond_with_lookup(services, job->id, &lookup, response);
}

/* Responds to the submission of a job that this controller may not accept now. If the job has a
 * record, the response is the job's state: a job that was accepted stays accepted, even if limits
 * or machine types have changed since. */
static mv_forwarding respond_not_admitted(const mv_request_services *services,
                                          const mv_job_spec *job, const job_admission *admission,
                                          mv_http_response *response)
{
    const mv_job_lookup lookup = mv_job_find(services, job->id);
    mv_forwarding forwarding = admission->forwarding;
    if (lookup.state == MV_JOB_UNCONFIRMED)
        forwarding = MV_FORWARDING_FORBIDDEN;
    if (lookup.state != MV_JOB_UNKNOWN)
        respond_with_lookup(services, job->id, &lookup, response);
    else if (admission->invalid_field)
        mv_response_error(response, MV_HTTP_STATUS_BAD_REQUEST, "malformed",
                          admission->invalid_field);
    else if (admission->fit == MV_FIT_IMPOSSIBLE)
        mv_response_error(response, MV_HTTP_STATUS_UNPROCESSABLE, "can never run",
                          "no allowed machine or limit fits a task");
    else
        mv_response_error(response, MV_HTTP_STATUS_UNAVAILABLE,
                          "machine types or owners not known yet", NULL);
    return forwarding;
}

static mv_forwarding submit_job(const mv_request_services *services, mv_job_spec *job,
                                mv_http_response *response)
{
    const job_admission admission = check_admission(services->controller, job);
    if (admission.fit == MV_FIT_POSSIBLE)
        return accept_job(services, job, admission.home_shard, response);
    return respond_not_admitted(services, job, &admission, response);
}

mv_forwarding mv_endpoint_submit_job(const mv_request_services *services,
                                     const mv_http_request *request, mv_http_response *response)
{
    g_autoptr(mv_document) document = mv_request_parse_body(request);
    if (!document) {
        mv_response_error(response, MV_HTTP_STATUS_BAD_REQUEST, "malformed",
                          "a MessagePack map is needed");
        return MV_FORWARDING_ALLOWED;
    }
    mv_job_spec job;
    mv_forwarding forwarding = MV_FORWARDING_ALLOWED;
    const char *error = mv_job_spec_parse(mv_document_root(document), &job);
    if (error)
        mv_response_error(response, MV_HTTP_STATUS_BAD_REQUEST, "malformed", error);
    else
        forwarding = submit_job(services, &job, response);
    mv_job_spec_clear(&job);
    return forwarding;
}

/* --- poll and cancellation --- */

mv_forwarding mv_endpoint_poll_job(const mv_request_services *services, const char *id,
                                   mv_http_response *response)
{
    if (!mv_job_id_valid(id)) {
        respond_no_such_job(response);
        return MV_FORWARDING_ALLOWED;
    }
    const mv_job_lookup lookup = mv_job_find(services, id);
    return respond_with_lookup(services, id, &lookup, response);
}

/* Fills in the response to a cancellation. A cancellation that this controller reached the state
 * service for is not forwarded: its result is known, or the user may repeat the request. */
static mv_forwarding respond_to_cancellation(const mv_request_services *services, const char *id,
                                             mv_cancel_result result, mv_http_response *response)
{
    switch (result) {
    case MV_CANCEL_COMMITTED:
        mv_response_job(response, MV_HTTP_STATUS_OK, id, WIRE_CANCELLED);
        return MV_FORWARDING_FORBIDDEN;
    case MV_CANCEL_UNCONFIRMED:
        respond_unconfirmed(mv_settings_launch_bound_s(services->settings), response);
        return MV_FORWARDING_FORBIDDEN;
    case MV_CANCEL_UNACKNOWLEDGED:
        mv_response_error(response, MV_HTTP_STATUS_UNAVAILABLE, "not decided",
                          "the owner of the job has not acknowledged the cancellation yet");
        return MV_FORWARDING_FORBIDDEN;
    case MV_CANCEL_CONFLICT:
    case MV_CANCEL_NOT_DECIDED:
        break;
    }
    mv_response_error(response, MV_HTTP_STATUS_UNAVAILABLE, "not decided", NULL);
    return MV_FORWARDING_ALLOWED;
}

static mv_forwarding respond_inactive(const mv_request_services *services, const char *id,
                                      const mv_job_lookup *lookup, mv_http_response *response)
{
    if (lookup->state != MV_JOB_FINAL)
        return respond_with_lookup(services, id, lookup, response);
    mv_response_job(response, MV_HTTP_STATUS_OK, id, final_state_name(&lookup->final));
    return MV_FORWARDING_ALLOWED;
}

mv_forwarding mv_endpoint_cancel_job(const mv_request_services *services, const char *id,
                                     mv_http_response *response)
{
    mv_cancel_result result = MV_CANCEL_CONFLICT;
    if (!mv_job_id_valid(id)) {
        respond_no_such_job(response);
        return MV_FORWARDING_ALLOWED;
    }
    /* The job's record or owner may change between the lookup and the commit. */
    for (int attempt = 0; attempt < MV_CANCEL_ATTEMPTS && result == MV_CANCEL_CONFLICT; attempt++) {
        const mv_job_lookup lookup = mv_job_find(services, id);
        if (lookup.state != MV_JOB_ACTIVE)
            return respond_inactive(services, id, &lookup, response);
        result = mv_job_cancel(services, id, &lookup);
    }
    return respond_to_cancellation(services, id, result, response);
}
