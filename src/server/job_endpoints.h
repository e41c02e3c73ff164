/**
 * Handlers of users' requests that submit, poll and cancel jobs.
 *
 * The handlers block on the state service and take the controller's lock. Each handler fills
 * `response`, whose body the caller owns. With a 503 this controller says that it cannot decide the
 * request; the caller may then forward the request to a peer.
 */
#ifndef MV_JOB_ENDPOINTS_H
#define MV_JOB_ENDPOINTS_H
#include "server/request.h"

/** Whether the caller may forward the request to a peer if the response is a 503. */
typedef enum { MV_FORWARDING_ALLOWED, MV_FORWARDING_FORBIDDEN } mv_forwarding;

/**
 * Handles the POST of a job. The request is idempotent: a job that was accepted stays accepted, and
 * the response to a repeated submission is the job's state. Returns whether the request may be
 * forwarded.
 */
mv_forwarding mv_endpoint_submit_job(const mv_request_services *services,
                                     const mv_http_request *request, mv_http_response *response);
/** Handles the GET of a job's state. Returns whether the request may be forwarded. */
mv_forwarding mv_endpoint_poll_job(const mv_request_services *services, const char *id,
                                   mv_http_response *response);
/**
 * Handles the POST that cancels a job. If the job has ended already, the response says how the job
 * ended. Returns whether the request may be forwarded.
 */
mv_forwarding mv_endpoint_cancel_job(const mv_request_services *services, const char *id,
                                     mv_http_response *response);
#endif
