/** Compare-and-swap on the state service: packs a transaction and commits it. */
#include "storage/state_client.h"

#include "protocol/names.h"

static void pack_precondition(mv_writer *writer, const mv_precondition *precondition)
{
    mv_write_map(writer, 2);
    mv_write_text_field(writer, WIRE_KEY, precondition->key);
    mv_write_u64_field(writer, WIRE_REVISION, precondition->revision);
}

static void pack_delete(mv_writer *writer, const mv_write *write)
{
    mv_write_map(writer, 1);
    mv_write_text_field(writer, WIRE_DELETE, write->key);
}

static void pack_put(mv_writer *writer, const mv_write *write, uint64_t lease_id)
{
    mv_write_map(writer, write->session_bound ? 3 : 2);
    mv_write_text_field(writer, WIRE_PUT, write->key);
    mv_write_text(writer, WIRE_DATA);
    mv_write_packed(writer, write->data);
    if (write->session_bound)
        mv_write_u64_field(writer, WIRE_LEASE, lease_id);
}

static GBytes *pack_transaction(const GArray *preconditions, const GArray *writes,
                                uint64_t lease_id)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 2);
    mv_write_text(writer, WIRE_PRECONDITIONS);
    mv_write_list(writer, preconditions->len);
    for (guint i = 0; i < preconditions->len; i++)
        pack_precondition(writer, &g_array_index(preconditions, mv_precondition, i));
    mv_write_text(writer, WIRE_WRITES);
    mv_write_list(writer, writes->len);
    for (guint i = 0; i < writes->len; i++) {
        const mv_write *write = &g_array_index(writes, mv_write, i);
        if (write->data)
            pack_put(writer, write, lease_id);
        else
            pack_delete(writer, write);
    }
    return mv_writer_finish(writer);
}

mv_state_store_result mv_state_store_commit(mv_state_store *store, const GArray *preconditions,
                                            const GArray *writes, bool urgent)
{
    const uint64_t lease_id = mv_state_store_lease_id(store);
    g_autoptr(GBytes) body = pack_transaction(preconditions, writes, lease_id);
    const mv_pool_request request = {.method = "POST",
                                     .path = WIRE_TRANSACTION_PATH,
                                     .body = body,
                                     .timeout_ms = MV_STATE_STORE_TIMEOUT_MS};
    mv_write_budget_take(store->write_budget, writes->len, urgent);
    return mv_state_store_request(store, MV_SEND_FROM_POOL, &request, NULL);
}
