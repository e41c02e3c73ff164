/**
 * The HTTP interface of the fake state service: it maps requests to calls of fake_state_store.
 */
#include "state_store_server.h"

#include "loopback_server.h"
#include "protocol/names.h"
#include "protocol/records.h"
#include "steady_clock.h"

#include <microhttpd.h>
#include <pthread.h>
#include <string.h>

#define LIST_PAGE_ITEMS 5  /* few records in a page, so that controllers must request more pages */
#define WATCH_POLL_US 5000 /* interval at which a waiting watch checks for changes */
#define MS_PER_S 1000
#define TRANSACTION_DELAY_S 2.5 /* of a late transaction; longer than a controller waits */

struct mv_state_store_server {
    pthread_mutex_t lock; /* guards all fields below except `server` */
    fake_state_store *store;
    mv_history *history;
    bool stopping, watches_held, transactions_late;
    unsigned refuse_every, transactions, refused_transactions;
    mv_loopback_server *server;
};

/* --- records --- */

static void write_record(mv_writer *writer, const fake_record *record)
{
    mv_write_map(writer, 3);
    mv_write_text_field(writer, WIRE_KEY, record->key);
    mv_write_text(writer, WIRE_DATA);
    mv_write_packed(writer, record->data);
    mv_write_u64_field(writer, WIRE_REVISION, record->revision);
}

static int get_record(const mv_state_store_server *server, const char *key, mv_writer *response)
{
    const fake_record *record = fake_state_store_get(server->store, key);
    if (!record)
        return MHD_HTTP_NOT_FOUND;
    write_record(response, record);
    return MHD_HTTP_OK;
}

static gint compare_keys(gconstpointer left, gconstpointer right)
{
    return strcmp(((const fake_record *)left)->key, ((const fake_record *)right)->key);
}

static GPtrArray *records_after(const fake_state_store *store, const char *prefix,
                                const char *after)
{
    g_autoptr(GList) sorted = g_list_sort(g_hash_table_get_values(store->records), compare_keys);
    GPtrArray *matching = g_ptr_array_new();
    for (GList *link = sorted; link; link = link->next) {
        fake_record *record = link->data;
        if (g_str_has_prefix(record->key, prefix) && strcmp(record->key, after) > 0)
            g_ptr_array_add(matching, record);
    }
    return matching;
}

static int list_records(const mv_state_store_server *server, const mv_loopback_request *request,
                        mv_writer *response)
{
    const char *prefix = mv_loopback_request_argument(request, WIRE_PREFIX);
    const char *after = mv_loopback_request_argument(request, WIRE_AFTER);
    g_autoptr(GPtrArray) matching = records_after(server->store, prefix, after);
    const guint count = MIN(matching->len, LIST_PAGE_ITEMS);
    mv_write_map(response, 3);
    mv_write_text(response, WIRE_ITEMS);
    mv_write_list(response, count);
    for (guint i = 0; i < count; i++)
        write_record(response, g_ptr_array_index(matching, i));
    mv_write_bool_field(response, WIRE_MORE, count < matching->len);
    mv_write_u64_field(response, WIRE_STORE_REVISION, server->store->revision);
    return MHD_HTTP_OK;
}

/* --- watches --- */

/* Blocks until the store has a revision above `after`, the time is `until`, or the server stops,
 * and for as long as watches are held. The caller holds the lock; the function releases the lock
 * while it waits. */
static void wait_for_change(mv_state_store_server *server, uint64_t after, double until)
{
    while (!server->stopping && (server->watches_held ||
                                 (server->store->revision <= after && mv_steady_now_s() < until))) {
        pthread_mutex_unlock(&server->lock);
        g_usleep(WATCH_POLL_US);
        pthread_mutex_lock(&server->lock);
    }
}

static GPtrArray *changes_since(const fake_state_store *store, const char *prefix, uint64_t after)
{
    GPtrArray *changes = g_ptr_array_new();
    for (guint i = 0; i < store->log->len; i++) {
        fake_record *change = g_ptr_array_index(store->log, i);
        if (change->revision > after && g_str_has_prefix(change->key, prefix))
            g_ptr_array_add(changes, change);
    }
    return changes;
}

static void write_change(mv_writer *writer, const fake_record *change)
{
    mv_write_map(writer, change->data ? 3 : 2);
    mv_write_text_field(writer, change->data ? WIRE_PUT : WIRE_DELETE, change->key);
    if (change->data) {
        mv_write_text(writer, WIRE_DATA);
        mv_write_packed(writer, change->data);
    }
    mv_write_u64_field(writer, WIRE_REVISION, change->revision);
}

static int watch(mv_state_store_server *server, const mv_loopback_request *request,
                 mv_writer *response)
{
    const char *prefix = mv_loopback_request_argument(request, WIRE_PREFIX);
    const uint64_t after =
        g_ascii_strtoull(mv_loopback_request_argument(request, WIRE_AFTER), NULL, 10);
    const double wait_ms =
        g_ascii_strtod(mv_loopback_request_argument(request, WIRE_WAIT_MS), NULL);
    wait_for_change(server, after, mv_steady_now_s() + wait_ms / MS_PER_S);
    g_autoptr(GPtrArray) changes = changes_since(server->store, prefix, after);
    mv_write_map(response, 2);
    mv_write_u64_field(response, WIRE_STORE_REVISION, server->store->revision);
    mv_write_text(response, WIRE_EVENTS);
    mv_write_list(response, changes->len);
    for (guint i = 0; i < changes->len; i++)
        write_change(response, g_ptr_array_index(changes, i));
    return MHD_HTTP_OK;
}

/* --- transactions --- */

/* Adds a final record that a controller wrote to the history, so that the history checker can
 * compare the recorded state with the final state that users receive. */
static void record_final_state(mv_history *history, const mv_write *write)
{
    gsize size;
    const void *bytes = g_bytes_get_data(write->data, &size);
    g_autoptr(mv_document) document = mv_document_parse(bytes, size);
    bool done = false;
    unsigned tasks;
    g_assert_true(document && mv_final_record_parse(mv_document_root(document), &done, &tasks));
    mv_event event = {.kind = MV_EVENT_RECORDED};
    g_strlcpy(event.job_id, write->key + strlen(KEY_FINAL_PREFIX), sizeof event.job_id);
    g_strlcpy(event.text, done ? WIRE_DONE : WIRE_CANCELLED, sizeof event.text);
    mv_history_add(history, event);
}

static void record_final_states(mv_history *history, const GArray *writes)
{
    for (guint i = 0; history && i < writes->len; i++) {
        const mv_write *write = &g_array_index(writes, mv_write, i);
        if (write->data && g_str_has_prefix(write->key, KEY_FINAL_PREFIX))
            record_final_state(history, write);
    }
}

static GArray *read_preconditions(const msgpack_object *body)
{
    GArray *preconditions = g_array_new(FALSE, TRUE, sizeof(mv_precondition));
    const msgpack_object_array *list = mv_field_read_list(body, WIRE_PRECONDITIONS);
    for (uint32_t i = 0; list && i < list->size; i++) {
        mv_precondition precondition = {0};
        g_assert_cmpint(
            mv_field_read_text(&list->ptr[i], WIRE_KEY, precondition.key, sizeof precondition.key),
            ==, MV_FIELD_PRESENT);
        mv_field_read_u64(&list->ptr[i], WIRE_REVISION, &precondition.revision);
        g_array_append_val(preconditions, precondition);
    }
    return preconditions;
}

static GBytes *pack_object(const msgpack_object *object)
{
    mv_writer *writer = mv_writer_new();
    msgpack_pack_object(&writer->packer, *object);
    return mv_writer_finish(writer);
}

/* Reads one write of a transaction. If the write names a lease, the function stores the lease's id
 * in `lease_id`. */
static mv_write read_write(const msgpack_object *object, uint64_t *lease_id)
{
    mv_write write = {0};
    const msgpack_object *data = mv_field_find(object, WIRE_DATA);
    const bool puts =
        mv_field_read_text(object, WIRE_PUT, write.key, sizeof write.key) == MV_FIELD_PRESENT;
    if (puts && data) {
        write.data = pack_object(data);
        write.session_bound = mv_field_read_u64(object, WIRE_LEASE, lease_id) == MV_FIELD_PRESENT;
        return write;
    }
    g_assert_cmpint(mv_field_read_text(object, WIRE_DELETE, write.key, sizeof write.key), ==,
                    MV_FIELD_PRESENT);
    return write;
}

static void clear_write(gpointer write)
{
    g_clear_pointer(&((mv_write *)write)->data, g_bytes_unref);
}

static GArray *read_writes(const msgpack_object *body, uint64_t *lease_id)
{
    GArray *writes = g_array_new(FALSE, TRUE, sizeof(mv_write));
    g_array_set_clear_func(writes, clear_write);
    const msgpack_object_array *list = mv_field_read_list(body, WIRE_WRITES);
    for (uint32_t i = 0; list && i < list->size; i++) {
        const mv_write write = read_write(&list->ptr[i], lease_id);
        g_array_append_val(writes, write);
    }
    return writes;
}

static bool is_above_rate_limit(mv_state_store_server *server)
{
    if (!server->refuse_every || ++server->transactions % server->refuse_every != 0)
        return false;
    server->refused_transactions++;
    return true;
}

/* Waits with a late transaction. The caller holds the lock; the function releases it meanwhile. */
static void wait_if_late(mv_state_store_server *server)
{
    const double until = mv_steady_now_s() + TRANSACTION_DELAY_S;
    while (server->transactions_late && mv_steady_now_s() < until && !server->stopping) {
        pthread_mutex_unlock(&server->lock);
        g_usleep(WATCH_POLL_US);
        pthread_mutex_lock(&server->lock);
    }
    fake_state_store_expire(server->store, mv_steady_now_s());
}

static int commit(mv_state_store_server *server, const msgpack_object *body)
{
    if (is_above_rate_limit(server))
        return MHD_HTTP_TOO_MANY_REQUESTS;
    wait_if_late(server);
    uint64_t lease_id = 0;
    g_autoptr(GArray) preconditions = read_preconditions(body);
    g_autoptr(GArray) writes = read_writes(body, &lease_id);
    const int status = fake_state_store_commit(server->store, preconditions, writes, lease_id);
    if (status == MHD_HTTP_OK)
        record_final_states(server->history, writes);
    return status;
}

/* --- leases --- */

static int open_lease(mv_state_store_server *server, const msgpack_object *body,
                      mv_writer *response)
{
    double ttl_ms = 0;
    mv_field_read_number(body, WIRE_TTL_MS, &ttl_ms);
    const uint64_t lease_id = fake_lease_open(server->store, ttl_ms / MS_PER_S, mv_steady_now_s());
    mv_write_map(response, 1);
    mv_write_u64_field(response, WIRE_LEASE, lease_id);
    return MHD_HTTP_OK;
}

/* Renews the lease whose id is the number at the start of `path`. */
static int renew_lease(mv_state_store_server *server, const char *path)
{
    const uint64_t lease_id = g_ascii_strtoull(path, NULL, 10);
    const bool renewed = fake_lease_renew(server->store, lease_id, mv_steady_now_s());
    return renewed ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND;
}

/* --- server --- */

static int route(mv_state_store_server *server, const mv_loopback_request *request,
                 mv_writer *response)
{
    const char *path = request->path;
    if (strcmp(path, WIRE_TRANSACTION_PATH) == 0)
        return commit(server, request->body);
    if (strcmp(path, WIRE_STORE_PATH) == 0)
        return list_records(server, request, response);
    if (strcmp(path, WIRE_WATCH_PATH) == 0)
        return watch(server, request, response);
    if (g_str_has_prefix(path, WIRE_STORE_PATH "/"))
        return get_record(server, path + strlen(WIRE_STORE_PATH "/"), response);
    if (strcmp(path, WIRE_LEASES_PATH) == 0)
        return open_lease(server, request->body, response);
    if (g_str_has_prefix(path, WIRE_LEASES_PATH "/") && strcmp(request->method, "POST") == 0)
        return renew_lease(server, path + strlen(WIRE_LEASES_PATH "/"));
    return MHD_HTTP_NOT_FOUND;
}

static int handle_request(void *context, const mv_loopback_request *request, mv_writer *response)
{
    mv_state_store_server *server = context;
    pthread_mutex_lock(&server->lock);
    fake_state_store_expire(server->store, mv_steady_now_s());
    const int status = route(server, request, response);
    pthread_mutex_unlock(&server->lock);
    return status;
}

mv_state_store_server *mv_state_store_server_start(unsigned refuse_every, mv_history *history)
{
    mv_state_store_server *server = g_new0(mv_state_store_server, 1);
    pthread_mutex_init(&server->lock, NULL);
    server->store = fake_state_store_new();
    server->history = history;
    server->refuse_every = refuse_every;
    server->server = mv_loopback_server_start(handle_request, server);
    return server;
}

uint16_t mv_state_store_server_port(const mv_state_store_server *server)
{
    return mv_loopback_server_port(server->server);
}

unsigned mv_state_store_server_refused(mv_state_store_server *server)
{
    pthread_mutex_lock(&server->lock);
    const unsigned refused = server->refused_transactions;
    pthread_mutex_unlock(&server->lock);
    return refused;
}

void mv_state_store_server_hold_watches(mv_state_store_server *server, bool held)
{
    pthread_mutex_lock(&server->lock);
    server->watches_held = held;
    pthread_mutex_unlock(&server->lock);
}

void mv_state_store_server_delay_transactions(mv_state_store_server *server, bool late)
{
    pthread_mutex_lock(&server->lock);
    server->transactions_late = late;
    pthread_mutex_unlock(&server->lock);
}

fake_state_store *mv_state_store_server_lock(mv_state_store_server *server)
{
    pthread_mutex_lock(&server->lock);
    return server->store;
}

void mv_state_store_server_unlock(mv_state_store_server *server)
{
    pthread_mutex_unlock(&server->lock);
}

void mv_state_store_server_stop(mv_state_store_server *server)
{
    pthread_mutex_lock(&server->lock);
    server->stopping = true;
    pthread_mutex_unlock(&server->lock);
    mv_loopback_server_stop(server->server);
    fake_state_store_free(server->store);
    pthread_mutex_destroy(&server->lock);
    g_free(server);
}
