/** Reads records of the state service: one record, all live records in pages, and changes. */
#include "storage/state_client.h"

#include "protocol/names.h"

/* Query of list and watch requests: selects the records under KEY_LIVE_PREFIX. */
#define LIVE_RECORDS_QUERY "?" WIRE_PREFIX "=" KEY_LIVE_PREFIX

/* Copies a value of a response into packed bytes, which the caller unrefs. */
static GBytes *repack(const msgpack_object *value)
{
    mv_writer *writer = mv_writer_new();
    msgpack_pack_object(&writer->packer, *value);
    return mv_writer_finish(writer);
}

static mv_state_store_result send_get(mv_state_store *store, mv_request_sender sender,
                                      const char *path, unsigned timeout_ms, mv_document **document)
{
    const mv_pool_request request = {.method = "GET", .path = path, .timeout_ms = timeout_ms};
    return mv_state_store_request(store, sender, &request, document);
}

mv_state_store_result mv_state_store_get(mv_state_store *store, const char *key, GBytes **data,
                                         uint64_t *revision)
{
    char path[MV_KEY_SIZE + 16];
    g_snprintf(path, sizeof path, WIRE_STORE_PATH "/%s", key);
    *data = NULL;
    g_autoptr(mv_document) document = NULL;
    const mv_state_store_result result =
        send_get(store, MV_SEND_FROM_POOL, path, MV_STATE_STORE_TIMEOUT_MS, &document);
    if (result != MV_STATE_STORE_OK)
        return result;
    const msgpack_object *root = mv_document_root(document);
    const msgpack_object *value = mv_field_find(root, WIRE_DATA);
    if (!value || mv_field_read_u64(root, WIRE_REVISION, revision) != MV_FIELD_PRESENT)
        return MV_STATE_STORE_REFUSED;
    *data = repack(value);
    return MV_STATE_STORE_OK;
}

/* --- list --- */

/* Position in a list that the state service returns in pages, taken from the newest page. */
typedef struct {
    uint64_t store_revision;
    bool more;
    char last_key[MV_KEY_SIZE]; /* the next page starts after this key; empty: first page */
} page_position;

static void page_path(char *path, size_t size, const char *last_key)
{
    if (*last_key)
        g_snprintf(path, size,
                   WIRE_STORE_PATH LIVE_RECORDS_QUERY "&" WIRE_AFTER "=%s&" WIRE_PAGE "=%d",
                   last_key, MV_STATE_STORE_PAGE);
    else
        g_snprintf(path, size, WIRE_STORE_PATH LIVE_RECORDS_QUERY "&" WIRE_PAGE "=%d",
                   MV_STATE_STORE_PAGE);
}

/* Passes the record in `item` to `on_record` and stores its key in `key`. An item without key,
 * value or revision is skipped. */
static void read_listed_record(const msgpack_object *item, char key[MV_KEY_SIZE],
                               mv_state_store_record_fn on_record, void *context)
{
    uint64_t revision = 0;
    const msgpack_object *value = mv_field_find(item, WIRE_DATA);
    if (mv_field_read_text(item, WIRE_KEY, key, MV_KEY_SIZE) != MV_FIELD_PRESENT || !value ||
        mv_field_read_u64(item, WIRE_REVISION, &revision) != MV_FIELD_PRESENT)
        return;
    g_autoptr(GBytes) data = repack(value);
    on_record(context, key, data, revision);
}

static mv_state_store_result read_page(mv_state_store *store, page_position *position,
                                       mv_state_store_record_fn on_record, void *context)
{
    char path[2 * MV_KEY_SIZE + 64];
    page_path(path, sizeof path, position->last_key);
    g_autoptr(mv_document) document = NULL;
    const mv_state_store_result result =
        send_get(store, MV_SEND_FROM_CALLER, path, 2 * MV_STATE_STORE_TIMEOUT_MS, &document);
    if (result != MV_STATE_STORE_OK)
        return result;
    const msgpack_object *root = mv_document_root(document);
    const msgpack_object_array *items = mv_field_read_list(root, WIRE_ITEMS);
    if (!items || mv_field_read_bool(root, WIRE_MORE, &position->more) != MV_FIELD_PRESENT ||
        mv_field_read_u64(root, WIRE_STORE_REVISION, &position->store_revision) != MV_FIELD_PRESENT)
        return MV_STATE_STORE_REFUSED;
    for (uint32_t i = 0; i < items->size; i++)
        read_listed_record(&items->ptr[i], position->last_key, on_record, context);
    if (items->size == 0)
        position->more = false;
    return MV_STATE_STORE_OK;
}

mv_state_store_result mv_state_store_list(mv_state_store *store, mv_state_store_record_fn on_record,
                                          void *context, uint64_t *store_revision)
{
    page_position position = {.more = true};
    bool is_first_page = true;
    while (position.more) {
        const mv_state_store_result result = read_page(store, &position, on_record, context);
        if (result != MV_STATE_STORE_OK)
            return result;
        /* Records can change while later pages are read. A watch that starts at the revision of the
         * first page reports all these changes. */
        if (is_first_page)
            *store_revision = position.store_revision;
        is_first_page = false;
    }
    return MV_STATE_STORE_OK;
}

/* --- watch --- */

static void read_event(const msgpack_object *event, mv_state_store_record_fn on_record,
                       void *context)
{
    char key[MV_KEY_SIZE];
    uint64_t revision = 0;
    if (mv_field_read_u64(event, WIRE_REVISION, &revision) != MV_FIELD_PRESENT)
        return;
    const msgpack_object *value = mv_field_find(event, WIRE_DATA);
    if (mv_field_read_text(event, WIRE_PUT, key, sizeof key) == MV_FIELD_PRESENT && value) {
        g_autoptr(GBytes) data = repack(value);
        on_record(context, key, data, revision);
    } else if (mv_field_read_text(event, WIRE_DELETE, key, sizeof key) == MV_FIELD_PRESENT) {
        on_record(context, key, NULL, revision);
    }
}

mv_state_store_result mv_state_store_watch(mv_state_store *store,
                                           mv_state_store_record_fn on_record, void *context,
                                           unsigned wait_ms, uint64_t *store_revision)
{
    char path[200];
    g_snprintf(path, sizeof path,
               WIRE_WATCH_PATH LIVE_RECORDS_QUERY "&" WIRE_AFTER "=%" G_GUINT64_FORMAT
                                                  "&" WIRE_WAIT_MS "=%u",
               *store_revision, wait_ms);
    g_autoptr(mv_document) document = NULL;
    const mv_state_store_result result =
        send_get(store, MV_SEND_FROM_CALLER, path, wait_ms + MV_STATE_STORE_TIMEOUT_MS, &document);
    if (result != MV_STATE_STORE_OK)
        return result;
    const msgpack_object *root = mv_document_root(document);
    const msgpack_object_array *events = mv_field_read_list(root, WIRE_EVENTS);
    uint64_t watched_to = 0;
    if (!events || mv_field_read_u64(root, WIRE_STORE_REVISION, &watched_to) != MV_FIELD_PRESENT)
        return MV_STATE_STORE_REFUSED;
    for (uint32_t i = 0; i < events->size; i++)
        read_event(&events->ptr[i], on_record, context);
    *store_revision = MAX(*store_revision, watched_to);
    return MV_STATE_STORE_OK;
}
