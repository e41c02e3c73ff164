/** Client of the state service: creates the client object and sends requests with retries. */
#include "storage/state_client.h"

#include "telemetry/log.h"
#include "protocol/names.h"
#include "protocol/http_status.h"

#include <string.h>

mv_state_store *mv_state_store_new(const mv_settings *settings)
{
    mv_state_store *store = g_new0(mv_state_store, 1);
    g_autofree char *address =
        g_strdup_printf("%s:%u", settings->state_store.host, settings->state_store.port);
    pthread_mutex_init(&store->lock, NULL);
    store->write_budget = mv_write_budget_new(settings->state_store_write_rps);
    store->requests = mv_request_pool_new(address, MV_STATE_STORE_THREADS);
    return store;
}

void mv_state_store_free(mv_state_store *store)
{
    if (!store)
        return;
    mv_request_pool_free(store->requests);
    mv_write_budget_free(store->write_budget);
    pthread_mutex_destroy(&store->lock);
    g_free(store);
}

void mv_state_store_set_writers(mv_state_store *store, unsigned writers)
{
    mv_write_budget_set_writers(store->write_budget, writers);
}

uint64_t mv_state_store_lease_id(mv_state_store *store)
{
    pthread_mutex_lock(&store->lock);
    const uint64_t lease_id = store->lease_id;
    pthread_mutex_unlock(&store->lock);
    return lease_id;
}

static mv_document *parse_body(const mv_http_result *response)
{
    gsize size;
    const void *bytes = g_bytes_get_data(response->body, &size);
    return mv_document_parse(bytes, size);
}

/* Returns whether a response with status 400 says that the lease session has expired. All other
 * reasons for a status 400 are faults of the request itself. */
static bool lease_has_expired(const mv_http_result *response)
{
    g_autoptr(mv_document) document = parse_body(response);
    return document &&
           mv_text_is(mv_field_find(mv_document_root(document), WIRE_ERROR), WIRE_NO_LEASE);
}

static bool is_transaction(const mv_pool_request *request)
{
    return strcmp(request->path, WIRE_TRANSACTION_PATH) == 0;
}

static mv_state_store_result result_of_status(int status)
{
    switch (status) {
    case MV_HTTP_STATUS_NONE:
        return MV_STATE_STORE_NO_RESPONSE;
    case MV_HTTP_STATUS_OK:
        return MV_STATE_STORE_OK;
    case MV_HTTP_STATUS_NOT_FOUND:
        return MV_STATE_STORE_NOT_FOUND;
    case MV_HTTP_STATUS_CONFLICT:
        return MV_STATE_STORE_CONFLICT;
    case MV_HTTP_STATUS_GONE:
        return MV_STATE_STORE_COMPACTED;
    default:
        mv_log_limited(MV_LOG_INFO, "state_store_refused", "status=%d", status);
        return MV_STATE_STORE_REFUSED;
    }
}

/* Converts a response to a result. With MV_STATE_STORE_OK `*document` becomes the parsed body; if
 * `document` is NULL, the body is ignored. A transaction that is refused with status 400 is too
 * large, unless its lease session has expired. */
static mv_state_store_result read_response(const mv_pool_request *request,
                                           const mv_http_result *response, mv_document **document)
{
    const mv_state_store_result result = result_of_status(response->status);
    const bool bad_transaction =
        response->status == MV_HTTP_STATUS_BAD_REQUEST && is_transaction(request);
    if (bad_transaction && !lease_has_expired(response))
        return MV_STATE_STORE_TOO_LARGE;
    if (result != MV_STATE_STORE_OK || !document)
        return result;
    *document = parse_body(response);
    return *document ? MV_STATE_STORE_OK : MV_STATE_STORE_REFUSED;
}

mv_state_store_result mv_state_store_request(mv_state_store *store, mv_request_sender sender,
                                             const mv_pool_request *request, mv_document **document)
{
    mv_state_store_result result = MV_STATE_STORE_REFUSED;
    if (document)
        *document = NULL;
    for (unsigned attempt = 0; attempt < MV_STATE_STORE_ATTEMPTS; attempt++) {
        mv_http_result response;
        if (sender == MV_SEND_FROM_POOL)
            mv_request_pool_call(store->requests, request, &response);
        else
            mv_request_pool_call_directly(store->requests, request, &response);
        result = read_response(request, &response, document);
        const bool over_rate_limit = response.status == MV_HTTP_STATUS_TOO_MANY_REQUESTS;
        mv_http_result_clear(&response);
        if (!over_rate_limit)
            break;
        /* The state service refuses requests above its rate limit and asks for a pause. The pause
         * is short, so this thread waits here and sends the request again. */
        if (is_transaction(request))
            mv_write_budget_throttle(store->write_budget);
        g_usleep(MV_STATE_STORE_BACKOFF_MS * 1000 * (attempt + 1));
    }
    return result;
}
