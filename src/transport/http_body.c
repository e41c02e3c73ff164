/** The body of a request while the HTTP server receives it. */
#include "transport/http_body.h"

#include "constants.h"
#include "protocol/json_size.h"

void mv_http_body_init(mv_http_body *body)
{
    *body = (mv_http_body){.bytes = g_byte_array_new()};
}

/* Frees the part of the body that was received. */
static void drop(mv_http_body *body, mv_body_verdict verdict)
{
    body->verdict = verdict;
    g_clear_pointer(&body->bytes, g_byte_array_unref);
}

/* Returns whether a body that has become large may stay in memory. */
static bool may_keep_large(mv_http_body *body, unsigned *large_bodies)
{
    if (!body->counts_as_large && *large_bodies < MV_HTTP_LARGE_BODIES_MAX) {
        body->counts_as_large = true;
        (*large_bodies)++;
    }
    return body->counts_as_large;
}

void mv_http_body_append(mv_http_body *body, unsigned *large_bodies, const char *data, size_t size)
{
    body->received_bytes += size;
    if (!body->bytes)
        return;
    if (body->received_bytes > MV_BODY_RECEIVED_BYTES_MAX)
        drop(body, MV_BODY_TOO_LARGE);
    else if (body->received_bytes > MV_BODY_BYTES_MAX && !may_keep_large(body, large_bodies))
        drop(body, MV_BODY_NOT_READ);
    else
        g_byte_array_append(body->bytes, (const guint8 *)data, (guint)size);
}

mv_body_verdict mv_http_body_complete(mv_http_body *body)
{
    const bool may_exceed =
        body->received_bytes * MV_JSON_EXPANSION_MAX > (size_t)MV_BODY_BYTES_MAX;
    if (body->bytes && may_exceed &&
        mv_json_exceeds(body->bytes->data, body->bytes->len, MV_BODY_BYTES_MAX))
        drop(body, MV_BODY_TOO_LARGE);
    return body->verdict;
}

GBytes *mv_http_body_take(mv_http_body *body)
{
    return g_byte_array_free_to_bytes(g_steal_pointer(&body->bytes));
}

void mv_http_body_clear(mv_http_body *body, unsigned *large_bodies)
{
    if (body->counts_as_large)
        (*large_bodies)--;
    body->counts_as_large = false;
    g_clear_pointer(&body->bytes, g_byte_array_unref);
}
