#include "fake_state_store.h"

#include "protocol/codec.h"

#include <string.h>

/* The HTTP statuses that fake_state_store_commit returns. */
enum { STATUS_OK = 200, STATUS_BAD_REQUEST = 400, STATUS_CONFLICT = 409, STATUS_TOO_LARGE = 413 };

/* A transaction may have this many preconditions for each write that the limit allows. */
#define PRECONDITIONS_PER_WRITE 4

static void free_record(gpointer data)
{
    fake_record *record = data;
    if (record->data)
        g_bytes_unref(record->data);
    g_free(record);
}

fake_state_store *fake_state_store_new(void)
{
    fake_state_store *store = g_new0(fake_state_store, 1);
    store->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_record);
    store->log = g_ptr_array_new_with_free_func(free_record);
    store->leases = g_array_new(FALSE, TRUE, sizeof(fake_lease));
    return store;
}

void fake_state_store_free(fake_state_store *store)
{
    g_hash_table_unref(store->records);
    g_ptr_array_unref(store->log);
    g_array_unref(store->leases);
    g_free(store);
}

static fake_record *new_record(const char *key, GBytes *data, uint64_t revision, uint64_t lease_id)
{
    fake_record *record = g_new0(fake_record, 1);
    g_strlcpy(record->key, key, sizeof record->key);
    record->data = data ? g_bytes_ref(data) : NULL;
    record->revision = revision;
    record->lease_id = lease_id;
    return record;
}

/* Writes a record and appends the change to the log. If `data` is NULL, the function deletes the
 * record instead; the deletion of a missing record changes nothing. */
static void write_record(fake_state_store *store, const char *key, GBytes *data, uint64_t lease_id)
{
    if (!data && !g_hash_table_contains(store->records, key))
        return;
    g_ptr_array_add(store->log, new_record(key, data, store->revision, lease_id));
    if (!data) {
        g_hash_table_remove(store->records, key);
        return;
    }
    fake_record *record = new_record(key, data, store->revision, lease_id);
    g_hash_table_replace(store->records, record->key, record);
}

const fake_record *fake_state_store_get(const fake_state_store *store, const char *key)
{
    return g_hash_table_lookup(store->records, key);
}

/* --- leases --- */

uint64_t fake_lease_open(fake_state_store *store, double ttl_s, double now)
{
    const fake_lease lease = {
        .id = ++store->next_lease_id, .ttl_s = ttl_s, .expires_at = now + ttl_s};
    g_array_append_val(store->leases, lease);
    return lease.id;
}

static fake_lease *find_lease(const fake_state_store *store, uint64_t id)
{
    for (guint i = 0; i < store->leases->len; i++) {
        fake_lease *lease = &g_array_index(store->leases, fake_lease, i);
        if (lease->id == id)
            return lease;
    }
    return NULL;
}

bool fake_lease_renew(fake_state_store *store, uint64_t id, double now)
{
    fake_lease *lease = find_lease(store, id);
    if (!lease)
        return false;
    lease->expires_at = now + lease->ttl_s;
    return true;
}

static void delete_records_of_lease(fake_state_store *store, uint64_t lease_id)
{
    g_autoptr(GList) records = g_hash_table_get_values(store->records);
    store->revision++;
    for (GList *link = records; link; link = link->next) {
        const fake_record *record = link->data;
        if (record->lease_id != lease_id)
            continue;
        g_autofree char *key = g_strdup(record->key); /* write_record frees the record's own key */
        write_record(store, key, NULL, 0);
    }
}

void fake_state_store_expire(fake_state_store *store, double now)
{
    for (guint i = store->leases->len; i-- > 0;) {
        const fake_lease lease = g_array_index(store->leases, fake_lease, i);
        if (now < lease.expires_at)
            continue;
        g_array_remove_index(store->leases, i);
        delete_records_of_lease(store, lease.id);
    }
}

void fake_state_store_extend_leases(fake_state_store *store, double now)
{
    for (guint i = 0; i < store->leases->len; i++) {
        fake_lease *lease = &g_array_index(store->leases, fake_lease, i);
        lease->expires_at = now + lease->ttl_s;
    }
}

/* --- transactions --- */

/* Estimates the size of the value as JSON in bytes, because the state service's limit of a value
 * counts its JSON form. */
static size_t json_size(const msgpack_object *object)
{
    char number[40];
    size_t size = 2;
    switch (object->type) {
    case MSGPACK_OBJECT_STR:
        return size + object->via.str.size;
    case MSGPACK_OBJECT_ARRAY:
        for (uint32_t i = 0; i < object->via.array.size; i++)
            size += json_size(&object->via.array.ptr[i]) + 1;
        return size;
    case MSGPACK_OBJECT_MAP:
        for (uint32_t i = 0; i < object->via.map.size; i++) {
            const msgpack_object_kv *pair = &object->via.map.ptr[i];
            size += json_size(&pair->key) + json_size(&pair->val) + 2;
        }
        return size;
    case MSGPACK_OBJECT_FLOAT32:
    case MSGPACK_OBJECT_FLOAT64:
        return (size_t)g_snprintf(number, sizeof number, "%.15g", object->via.f64) + 2;
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
        return (size_t)g_snprintf(number, sizeof number, "%" G_GUINT64_FORMAT, object->via.u64);
    default:
        return 5;
    }
}

static bool value_is_too_large(const fake_state_store *store, const mv_write *write)
{
    if (!store->value_bytes || !write->data)
        return false;
    gsize size;
    const void *data = g_bytes_get_data(write->data, &size);
    g_autoptr(mv_document) document = mv_document_parse(data, size);
    return json_size(mv_document_root(document)) > store->value_bytes;
}

static bool has_too_many_parts(const fake_state_store *store, const GArray *preconditions,
                               const GArray *writes)
{
    const guint max_preconditions = PRECONDITIONS_PER_WRITE * store->max_writes;
    return store->max_writes &&
           (writes->len > store->max_writes || preconditions->len > max_preconditions);
}

/* Returns whether the transaction is above a limit of the store. If so, `rejected_key` describes
 * the part that is too large. */
static bool is_too_large(fake_state_store *store, const GArray *preconditions, const GArray *writes)
{
    store->rejected_key[0] = 0;
    if (has_too_many_parts(store, preconditions, writes))
        g_snprintf(store->rejected_key, sizeof store->rejected_key,
                   "%u changes, %u conditions, first of %s", writes->len, preconditions->len,
                   g_array_index(preconditions, mv_precondition, 0).key);
    for (guint i = 0; i < writes->len; i++) {
        const mv_write *write = &g_array_index(writes, mv_write, i);
        if (value_is_too_large(store, write))
            g_strlcpy(store->rejected_key, write->key, sizeof store->rejected_key);
    }
    return store->rejected_key[0] != 0;
}

static bool uses_lease(const GArray *writes)
{
    for (guint i = 0; i < writes->len; i++) {
        const mv_write *write = &g_array_index(writes, mv_write, i);
        if (write->data && write->session_bound)
            return true;
    }
    return false;
}

static bool preconditions_hold(const fake_state_store *store, const GArray *preconditions)
{
    for (guint i = 0; i < preconditions->len; i++) {
        const mv_precondition *precondition = &g_array_index(preconditions, mv_precondition, i);
        const fake_record *record = fake_state_store_get(store, precondition->key);
        if ((record ? record->revision : 0) != precondition->revision)
            return false;
    }
    return true;
}

int fake_state_store_commit(fake_state_store *store, const GArray *preconditions,
                            const GArray *writes, uint64_t lease_id)
{
    if (uses_lease(writes) && !find_lease(store, lease_id))
        return STATUS_BAD_REQUEST;
    if (is_too_large(store, preconditions, writes))
        return STATUS_TOO_LARGE;
    if (!preconditions_hold(store, preconditions))
        return STATUS_CONFLICT;
    if (writes->len)
        store->revision++;
    for (guint i = 0; i < writes->len; i++) {
        const mv_write *write = &g_array_index(writes, mv_write, i);
        write_record(store, write->key, write->data, write->session_bound ? lease_id : 0);
    }
    return STATUS_OK;
}
