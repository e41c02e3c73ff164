/**
 * The lease session: the state service deletes all records attached to this lease when the lease
 * expires because this process has stopped renewing it.
 */
#include "storage/state_client.h"

#include "protocol/names.h"

mv_state_store_result mv_state_store_grant_lease(mv_state_store *store, uint64_t *lease_id)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 1);
    mv_write_u64_field(writer, WIRE_TTL_MS, (uint64_t)(MV_SESSION_TTL_S * 1000));
    g_autoptr(GBytes) body = mv_writer_finish(writer);
    const mv_pool_request request = {.method = "POST",
                                     .path = WIRE_LEASES_PATH,
                                     .body = body,
                                     .timeout_ms = MV_STATE_STORE_TIMEOUT_MS};
    g_autoptr(mv_document) document = NULL;
    const mv_state_store_result result =
        mv_state_store_request(store, MV_SEND_FROM_CALLER, &request, &document);
    if (result != MV_STATE_STORE_OK)
        return result;
    const msgpack_object *root = mv_document_root(document);
    if (mv_field_read_u64(root, WIRE_LEASE, lease_id) != MV_FIELD_PRESENT)
        return MV_STATE_STORE_REFUSED;
    pthread_mutex_lock(&store->lock);
    store->lease_id = *lease_id;
    pthread_mutex_unlock(&store->lock);
    return MV_STATE_STORE_OK;
}

mv_state_store_result mv_state_store_renew_lease(mv_state_store *store)
{
    char path[80];
    g_snprintf(path, sizeof path, WIRE_LEASES_PATH "/%" G_GUINT64_FORMAT "/" WIRE_RENEW,
               mv_state_store_lease_id(store));
    const mv_pool_request request = {
        .method = "POST", .path = path, .timeout_ms = MV_SESSION_TIMEOUT_MS};
    return mv_state_store_request(store, MV_SEND_FROM_CALLER, &request, NULL);
}
