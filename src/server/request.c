/**
 * The body of a request.
 */
#include "server/request.h"

mv_document *mv_request_parse_body(const mv_http_request *request)
{
    gsize size;
    const void *data = g_bytes_get_data(request->body, &size);
    return mv_document_parse(data, size);
}
