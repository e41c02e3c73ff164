/**
 * Responses that several handlers use.
 */
#include "server/responses.h"

#include "constants.h"
#include "protocol/codec.h"
#include "protocol/names.h"

static int retry_after_s(int status)
{
    switch (status) {
    case MV_HTTP_STATUS_UNAVAILABLE:
        return MV_RETRY_AFTER_S;
    case MV_HTTP_STATUS_TOO_MANY_REQUESTS:
        return MV_OVERLOAD_RETRY_AFTER_S;
    default:
        return 0;
    }
}

void mv_response_error(mv_http_response *response, int status, const char *error,
                       const char *detail)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, detail ? 2 : 1);
    mv_write_text_field(writer, WIRE_ERROR, error);
    if (detail)
        mv_write_text_field(writer, WIRE_DETAIL, detail);
    response->status = status;
    response->body = mv_writer_finish(writer);
    response->retry_after_s = retry_after_s(status);
}

void mv_response_job(mv_http_response *response, int status, const char *id, const char *state)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 2);
    mv_write_text_field(writer, WIRE_ID, id);
    mv_write_text_field(writer, WIRE_STATUS, state);
    response->status = status;
    response->body = mv_writer_finish(writer);
}

void mv_response_job_progress(mv_http_response *response, int status, const char *id,
                              const char *state, unsigned done, unsigned running)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 4);
    mv_write_text_field(writer, WIRE_ID, id);
    mv_write_text_field(writer, WIRE_STATUS, state);
    mv_write_u64_field(writer, WIRE_DONE, done);
    mv_write_u64_field(writer, WIRE_RUNNING, running);
    response->status = status;
    response->body = mv_writer_finish(writer);
}
