/**
 * Responses that several handlers use: errors and the state of a job.
 *
 * All functions fill `response`, whose body the caller owns, and may be called from any thread.
 */
#ifndef MV_RESPONSES_H
#define MV_RESPONSES_H
#include "protocol/http_status.h"
#include "transport/http_server.h"

/**
 * Fills in an error with its text and a detail (NULL: no detail). With status 429 or 503, the
 * response also says after how many seconds the client may retry.
 */
void mv_response_error(mv_http_response *response, int status, const char *error,
                       const char *detail);
/** Fills in the state of a job without task counts. `state` is one of the WIRE_* values. */
void mv_response_job(mv_http_response *response, int status, const char *id, const char *state);
/** Fills in the state of a job with the numbers of its done and running tasks. */
void mv_response_job_progress(mv_http_response *response, int status, const char *id,
                              const char *state, unsigned done, unsigned running);
#endif
