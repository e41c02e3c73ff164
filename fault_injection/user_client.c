/**
 * Sends the HTTP requests of users to controllers.
 */
#include "user_client.h"

#include "protocol/codec.h"
#include "protocol/names.h"
#include "transport/http_client.h"

int mv_user_request(const char *address, const char *method, const char *path, GBytes *body,
                    unsigned timeout_ms, char *status, size_t size)
{
    mv_http_result response;
    mv_http_call(method, address, path, body, timeout_ms, &response);
    gsize response_size;
    const void *data = g_bytes_get_data(response.body, &response_size);
    g_autoptr(mv_document) document = mv_document_parse(data, response_size);
    *status = 0;
    if (document)
        mv_field_read_text(mv_document_root(document), WIRE_STATUS, status, size);
    const int http_status = response.status;
    mv_http_result_clear(&response);
    return http_status;
}
