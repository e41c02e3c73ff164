#include "stand_ins.h"

#include "protocol/codec.h"
#include "transport/http_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TICK_US 10000
/* A controller gives up an attempt to connect after this time. */
#define CONNECT_TIMEOUT_S 1.0
#define RUN_LIMIT_S 118

static deployment site;
static double started_at;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static const char *directory; /* temporary: settings and logs; run.sh removes it */
static volatile bool stopping;

/* --- clock and record --- */

double now_s(void)
{
    return (double)g_get_monotonic_time() / 1e6;
}

double since_start_s(void)
{
    return now_s() - started_at;
}

void sleep_until(double run_s)
{
    while (since_start_s() < run_s)
        g_usleep((gulong)(MIN(run_s - since_start_s(), 0.05) * 1e6) + 100);
}

void record(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    pthread_mutex_lock(&record_lock);
    if (record_file) {
        fprintf(record_file, "%9.3f %s\n", since_start_s(), text);
        fflush(record_file);
    }
    pthread_mutex_unlock(&record_lock);
}

bool trouble(void)
{
    return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

/* --- HTTP server --- */

typedef struct {
    const char *method, *path;
    const msgpack_object *body;
    struct MHD_Connection *connection;
} http_request;

#define NO_ANSWER (-1)

typedef int (*http_handler)(void *context, const http_request *request, mv_writer *response);

typedef struct {
    http_handler handler;
    void *context;
    uint16_t port;
} http_server;

static enum MHD_Result on_request(void *context, struct MHD_Connection *connection,
                                  const char *path, const char *method, const char *version,
                                  const char *data, size_t *size, void **state)
{
    const http_server *server = context;
    GByteArray *received = *state;
    (void)version;
    if (!received) {
        *state = g_byte_array_new();
        return MHD_YES;
    }
    if (*size) {
        g_byte_array_append(received, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    g_autoptr(mv_document) document =
        received->len ? mv_document_parse(received->data, received->len) : NULL;
    const http_request request = {.method = method,
                                  .path = path,
                                  .body = document ? mv_document_root(document) : NULL,
                                  .connection = connection};
    mv_writer *writer = mv_writer_new();
    const int status = server->handler(server->context, &request, writer);
    enum MHD_Result result = MHD_NO;
    if (status != NO_ANSWER) {
        if (writer->buffer.size == 0)
            mv_write_map(writer, 0);
        struct MHD_Response *response = MHD_create_response_from_buffer(
            writer->buffer.size, writer->buffer.data, MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, "Content-Type", "application/msgpack");
        result = MHD_queue_response(connection, (unsigned)status, response);
        MHD_destroy_response(response);
    }
    mv_writer_free(writer);
    return result;
}

static void on_completed(void *context, struct MHD_Connection *connection, void **state,
                         enum MHD_RequestTerminationCode reason)
{
    (void)context;
    (void)connection;
    (void)reason;
    if (*state)
        g_byte_array_unref(*state);
    *state = NULL;
}

static uint16_t serve(http_handler handler, void *context)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    http_server *server = g_new0(http_server, 1);
    server->handler = handler;
    server->context = context;
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_request,
        server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_END);
    if (!daemon)
        run_end(2, "a stand-in cannot serve");
    server->port = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return server->port;
}

static const char *argument(const http_request *request, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
    return value ? value : "";
}

/* A rate limit: bursts worth `burst` seconds. */
typedef struct {
    double rate, burst, tokens, at;
} rate_limit;

static bool take(rate_limit *limit, double count)
{
    const double now = now_s();
    if (limit->at == 0)
        limit->tokens = limit->rate * limit->burst;
    else
        limit->tokens =
            MIN(limit->rate * limit->burst, limit->tokens + (now - limit->at) * limit->rate);
    limit->at = now;
    if (limit->tokens < count)
        return false;
    limit->tokens -= count;
    return true;
}

static int error_body(mv_writer *response, int status, const char *error)
{
    mv_write_map(response, 1);
    mv_write_text_field(response, "error", error);
    return status;
}

/* --- controllers --- */

typedef struct {
    pid_t pid;
    bool ended;
    int end_status;
    char name[16], address[40], back[40];
    char *config, *log;
} node;

static node nodes[NODES];
static pthread_mutex_t nodes_lock = PTHREAD_MUTEX_INITIALIZER;

static uint16_t free_port(void)
{
    static unsigned next;
    if (!next)
        next = 20000 + (unsigned)getpid() * 40 % 10000;
    for (unsigned tried = 0; tried < 12000; tried++) {
        const uint16_t port = (uint16_t)(20000 + (next++ - 20000) % 12000);
        struct sockaddr_in address = {
            .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}, .sin_port = htons(port)};
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        const bool bound = bind(fd, (struct sockaddr *)&address, sizeof address) == 0;
        close(fd);
        if (bound)
            return port;
    }
    run_end(2, "no free port");
}

const char *node_address(unsigned index)
{
    return nodes[index].address;
}

void node_start(unsigned index)
{
    node *started = &nodes[index];
    const char *run = g_getenv("RUN_COMMAND");
    char **words = NULL;
    gint count = 0;
    if (!run || !g_shell_parse_argv(run, &count, &words, NULL))
        run_end(2, "RUN_COMMAND is missing");
    words = g_renew(char *, words, count + 2);
    words[count] = started->config;
    words[count + 1] = NULL;
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(started->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDERR_FILENO);
        execv(words[0], words);
        _exit(127);
    }
    pthread_mutex_lock(&nodes_lock);
    started->pid = pid;
    started->ended = false;
    pthread_mutex_unlock(&nodes_lock);
    record("platform: starts %s", started->name);
    words[count] = NULL;
    g_strfreev(words);
}

void node_signal(unsigned index, int signal_number)
{
    record("platform: signal %s to %s", strsignal(signal_number), nodes[index].name);
    if (nodes[index].pid > 0 && !nodes[index].ended)
        kill(nodes[index].pid, signal_number);
}

bool node_has_ended(unsigned index, int *status)
{
    node *watched = &nodes[index];
    pthread_mutex_lock(&nodes_lock);
    if (!watched->ended && watched->pid > 0 &&
        waitpid(watched->pid, &watched->end_status, WNOHANG) == watched->pid)
        watched->ended = true;
    const bool ended = watched->ended;
    if (ended && status)
        *status = watched->end_status;
    pthread_mutex_unlock(&nodes_lock);
    return ended;
}

bool node_wait_healthy(unsigned index, double timeout_s)
{
    const double until = now_s() + timeout_s;
    while (now_s() < until) {
        mv_http_result result;
        mv_http_call("GET", nodes[index].address, "/healthz", NULL, 1000, &result);
        const int status = result.status;
        mv_http_result_clear(&result);
        if (status == 200)
            return true;
        g_usleep(200000);
    }
    return false;
}

static void write_settings(unsigned index, uint16_t state_port, uint16_t cloud_port)
{
    g_autoptr(GString) text = g_string_new(NULL);
    const node *self = &nodes[index];
    g_string_append_printf(text,
                           "node_name = \"%s\"\narea = \"%s\"\nlisten = \"%s\"\nback = \"%s\"\n",
                           self->name, site.area, self->address, self->back);
    for (unsigned i = 0; i < NODES; i++)
        if (i != index)
            g_string_append_printf(
                text, "\n[[siblings]]\nnode_name = \"%s\"\narea = \"%s\"\naddress = \"%s\"\n",
                nodes[i].name, site.area, nodes[i].back);
    g_string_append_printf(text,
                           "\n[outside]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n"
                           "\n[settings]\ncount = 3\nzones = [\"%s\"]\nclock_off_ms = 1000.0\n%s",
                           cloud_port, state_port, site.area, site.more);
    g_string_append_printf(
        text,
        "\n[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 40.0\n"
        "gang_peer_s = 4.0\ncancel_s = %.1f\n\n[settings.state]\nrps = %.1f\nwrite_rps = %.1f\n"
        "value_kb = %u.0\ntxn_ops = %u\n\n[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n"
        "\n[settings.machine_limits]\ncpu = 0.064\nram_mb = 136.0\nmax_connections = 3000\n",
        site.report_s, site.lease_s, site.cancel_s, site.state_rps, site.state_write_rps,
        site.value_kb, site.txn_ops, site.cloud_rps, site.list_lag_s);
    if (!g_file_set_contents(self->config, text->str, -1, NULL))
        run_end(2, "cannot write the settings");
}

/* --- state service --- */

typedef struct {
    char *key;
    GBytes *data; /* NULL in the log: removed */
    uint64_t stamp, hold;
} state_record;

typedef struct {
    uint64_t id;
    double ttl_s, ends_at;
} state_lease;

static pthread_mutex_t state_lock = PTHREAD_MUTEX_INITIALIZER;
static GTree *state_records; /* key -> state_record */
static GPtrArray *state_log;
static GArray *state_leases;
static uint64_t state_epoch, state_lease_count;
static bool state_is_out, state_refuses[NODES];
static bool state_is_cut[NODES];
static double state_held_until[NODES], state_followed_at[NODES];
static rate_limit state_rate, state_write_rate;

static void log_change(const char *key, GBytes *data)
{
    state_record *change = g_new0(state_record, 1);
    change->key = g_strdup(key);
    change->data = data ? g_bytes_ref(data) : NULL;
    change->stamp = state_epoch;
    g_ptr_array_add(state_log, change);
}

static void put_record(const char *key, GBytes *data, uint64_t hold)
{
    state_record *stored = g_new0(state_record, 1);
    stored->key = g_strdup(key);
    stored->data = data;
    stored->stamp = state_epoch;
    stored->hold = hold;
    g_tree_replace(state_records, stored->key, stored);
    log_change(key, data);
}

static void remove_record(const char *key)
{
    if (!g_tree_lookup(state_records, key))
        return;
    log_change(key, NULL);
    g_tree_remove(state_records, key);
}

typedef struct {
    uint64_t hold;
    GPtrArray *keys;
} held_keys;

static gboolean collect_held(gpointer key, gpointer value, gpointer data)
{
    held_keys *held = data;
    if (((state_record *)value)->hold == held->hold)
        g_ptr_array_add(held->keys, g_strdup(key));
    return FALSE;
}

static void end_lease(guint index)
{
    held_keys held = {.hold = g_array_index(state_leases, state_lease, index).id,
                      .keys = g_ptr_array_new_with_free_func(g_free)};
    g_array_remove_index(state_leases, index);
    g_tree_foreach(state_records, collect_held, &held);
    if (held.keys->len)
        state_epoch++;
    for (guint i = 0; i < held.keys->len; i++)
        remove_record(g_ptr_array_index(held.keys, i));
    g_ptr_array_unref(held.keys);
    record("state service: lease %" G_GUINT64_FORMAT " ends", held.hold);
}

static int find_lease(uint64_t id)
{
    for (guint i = 0; i < state_leases->len; i++)
        if (g_array_index(state_leases, state_lease, i).id == id)
            return (int)i;
    return -1;
}

static void *state_ticks(void *unused)
{
    (void)unused;
    while (!stopping) {
        pthread_mutex_lock(&state_lock);
        for (guint i = state_leases->len; !state_is_out && i-- > 0;)
            if (now_s() > g_array_index(state_leases, state_lease, i).ends_at)
                end_lease(i);
        pthread_mutex_unlock(&state_lock);
        g_usleep(TICK_US);
    }
    return NULL;
}

void state_refuse(unsigned index, bool refused)
{
    pthread_mutex_lock(&state_lock);
    state_refuses[index] = refused;
    pthread_mutex_unlock(&state_lock);
    record("state service: %s %s", refused ? "refuses (503)" : "serves", nodes[index].name);
}

void state_outage(bool out)
{
    pthread_mutex_lock(&state_lock);
    for (guint i = 0; state_is_out && !out && i < state_leases->len; i++) {
        state_lease *lease = &g_array_index(state_leases, state_lease, i);
        lease->ends_at = now_s() + lease->ttl_s;
    }
    state_is_out = out;
    pthread_mutex_unlock(&state_lock);
    record("state service: %s", out ? "outage begins" : "outage is over");
}

void state_cut(unsigned index, bool cut, double held_s)
{
    pthread_mutex_lock(&state_lock);
    state_is_cut[index] = cut;
    state_held_until[index] = cut ? now_s() + 1e6 : now_s() + held_s;
    pthread_mutex_unlock(&state_lock);
    record("network: %s and the state service are %s", nodes[index].name,
           cut ? "cut off from each other" : "connected again");
}

double state_last_follow(unsigned index)
{
    pthread_mutex_lock(&state_lock);
    const double at = state_followed_at[index];
    pthread_mutex_unlock(&state_lock);
    return at;
}

/* Waits, without the lock, while packets of the node that were sent before the end of the cut are
 * held back. */
static void wait_while_held(unsigned index)
{
    while (now_s() < state_held_until[index] && !stopping) {
        pthread_mutex_unlock(&state_lock);
        g_usleep(2000);
        pthread_mutex_lock(&state_lock);
    }
}

static bool is_refused(unsigned index)
{
    return state_is_out || state_refuses[index];
}

static GBytes *pack_object(const msgpack_object *object)
{
    mv_writer *writer = mv_writer_new();
    msgpack_pack_object(&writer->packer, *object);
    return mv_writer_finish(writer);
}

typedef struct {
    const char *prefix, *after;
    guint page;
    GPtrArray *matching;
    size_t bytes;
    bool more;
} listing;

static gboolean collect_listed(gpointer key, gpointer value, gpointer data)
{
    listing *list = data;
    state_record *stored = value;
    if (!g_str_has_prefix(key, list->prefix) || strcmp(key, list->after) <= 0)
        return FALSE;
    list->bytes += g_bytes_get_size(stored->data) + strlen(key) + 40;
    if (list->matching->len >= list->page || list->bytes > 400 * 1024) {
        list->more = true;
        return TRUE;
    }
    g_ptr_array_add(list->matching, stored);
    return FALSE;
}

static int state_list(const http_request *request, mv_writer *response)
{
    const guint64 page = g_ascii_strtoull(argument(request, "page"), NULL, 10);
    listing list = {.prefix = argument(request, "starts"),
                    .after = argument(request, "after"),
                    .page = page ? (guint)MIN(page, 1000) : 1000,
                    .matching = g_ptr_array_new()};
    g_tree_foreach(state_records, collect_listed, &list);
    mv_write_map(response, 3);
    mv_write_text(response, "items");
    mv_write_list(response, list.matching->len);
    for (guint i = 0; i < list.matching->len; i++) {
        const state_record *stored = g_ptr_array_index(list.matching, i);
        mv_write_map(response, 3);
        mv_write_text_field(response, "key", stored->key);
        mv_write_text(response, "data");
        mv_write_packed(response, stored->data);
        mv_write_u64_field(response, "stamp", stored->stamp);
    }
    mv_write_bool_field(response, "more", list.more);
    mv_write_u64_field(response, "epoch", state_epoch);
    g_ptr_array_unref(list.matching);
    return 200;
}

static int state_get(const char *key, mv_writer *response)
{
    const state_record *stored = g_tree_lookup(state_records, key);
    if (!stored) {
        mv_write_map(response, 1);
        mv_write_u64_field(response, "epoch", state_epoch);
        return 404;
    }
    mv_write_map(response, stored->hold ? 4 : 3);
    mv_write_text_field(response, "key", key);
    mv_write_text(response, "data");
    mv_write_packed(response, stored->data);
    mv_write_u64_field(response, "stamp", stored->stamp);
    if (stored->hold)
        mv_write_u64_field(response, "hold", stored->hold);
    return 200;
}

static GPtrArray *changes_after(const char *prefix, uint64_t after)
{
    GPtrArray *changes = g_ptr_array_new();
    for (guint i = state_log->len; i-- > 0;) {
        state_record *change = g_ptr_array_index(state_log, i);
        if (change->stamp <= after)
            break;
        if (g_str_has_prefix(change->key, prefix))
            g_ptr_array_insert(changes, 0, change);
    }
    return changes;
}

static int write_news(mv_writer *response, const GPtrArray *changes, uint64_t epoch)
{
    mv_write_map(response, 2);
    mv_write_u64_field(response, "epoch", epoch);
    mv_write_text(response, "news");
    mv_write_list(response, changes->len);
    for (guint i = 0; i < changes->len; i++) {
        const state_record *change = g_ptr_array_index(changes, i);
        mv_write_map(response, change->data ? 3 : 2);
        mv_write_text_field(response, change->data ? "set" : "remove", change->key);
        if (change->data) {
            mv_write_text(response, "data");
            mv_write_packed(response, change->data);
        }
        mv_write_u64_field(response, "stamp", change->stamp);
    }
    return 200;
}

/* A watch waits until a key with the prefix has changed or the time is over. While the node is
 * refused the watch stays open. */
static int state_follow(unsigned index, const http_request *request, mv_writer *response)
{
    const char *prefix = argument(request, "starts");
    const uint64_t after = g_ascii_strtoull(argument(request, "after"), NULL, 10);
    const double wait_ms = MIN(g_ascii_strtod(argument(request, "wait_ms"), NULL), 60000);
    const double until = now_s() + wait_ms / 1000, give_up = now_s() + 70;
    state_followed_at[index] = now_s();
    GPtrArray *changes = changes_after(prefix, after);
    while ((is_refused(index) || (changes->len == 0 && now_s() < until)) && now_s() < give_up &&
           !stopping) {
        pthread_mutex_unlock(&state_lock);
        g_usleep(2000);
        pthread_mutex_lock(&state_lock);
        g_ptr_array_unref(changes);
        changes = changes_after(prefix, after);
    }
    if (state_is_cut[index]) { /* the answer is held back, and its content is as old as that */
        g_autoptr(GPtrArray) answered = changes;
        const uint64_t epoch = state_epoch;
        wait_while_held(index);
        return write_news(response, answered, epoch);
    }
    const int status = write_news(response, changes, state_epoch);
    g_ptr_array_unref(changes);
    return status;
}

static bool conditions_hold(const msgpack_object_array *conditions, GPtrArray *failed)
{
    for (uint32_t i = 0; conditions && i < conditions->size; i++) {
        char key[256];
        uint64_t stamp = 0;
        mv_field_read_text(&conditions->ptr[i], "key", key, sizeof key);
        mv_field_read_u64(&conditions->ptr[i], "stamp", &stamp);
        const state_record *stored = g_tree_lookup(state_records, key);
        if ((stored ? stored->stamp : 0) != stamp)
            g_ptr_array_add(failed, g_strdup(key));
    }
    return failed->len == 0;
}

static int state_txn(const http_request *request, mv_writer *response)
{
    const msgpack_object_array *conditions = mv_field_read_list(request->body, "if");
    const msgpack_object_array *changes = mv_field_read_list(request->body, "then");
    const uint32_t count = changes ? changes->size : 0;
    if (!request->body || count > site.txn_ops ||
        (conditions && conditions->size > 4 * site.txn_ops))
        return error_body(response, 400, "malformed or too large");
    for (uint32_t i = 0; i < count; i++) {
        uint64_t hold = 0;
        if (mv_field_read_u64(&changes->ptr[i], "hold", &hold) == MV_FIELD_PRESENT &&
            find_lease(hold) < 0)
            return error_body(response, 400, "no such lease");
    }
    if (count && !take(&state_write_rate, count))
        return error_body(response, 429, "too many changes");
    g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
    if (!conditions_hold(conditions, failed)) {
        mv_write_map(response, 2);
        mv_write_text(response, "failed");
        mv_write_text_list(response, failed);
        mv_write_u64_field(response, "epoch", state_epoch);
        return 409;
    }
    if (count)
        state_epoch++;
    for (uint32_t i = 0; i < count; i++) {
        const msgpack_object *change = &changes->ptr[i];
        char key[256];
        uint64_t hold = 0;
        mv_field_read_u64(change, "hold", &hold);
        if (mv_field_read_text(change, "set", key, sizeof key) == MV_FIELD_PRESENT)
            put_record(key, pack_object(mv_field_find(change, "data")), hold);
        else if (mv_field_read_text(change, "remove", key, sizeof key) == MV_FIELD_PRESENT)
            remove_record(key);
    }
    mv_write_map(response, 1);
    mv_write_u64_field(response, "epoch", state_epoch);
    return 200;
}

static int state_new_lease(const http_request *request, mv_writer *response)
{
    double ttl_ms = 0;
    mv_field_read_number(request->body, "ttl_ms", &ttl_ms);
    if (ttl_ms < 100 || ttl_ms > 600000)
        return error_body(response, 400, "malformed");
    const state_lease lease = {
        .id = ++state_lease_count, .ttl_s = ttl_ms / 1000, .ends_at = now_s() + ttl_ms / 1000};
    g_array_append_val(state_leases, lease);
    mv_write_map(response, 1);
    mv_write_u64_field(response, "hold", lease.id);
    return 200;
}

static int state_one_lease(const http_request *request, const char *rest)
{
    char *end;
    const int index = find_lease(g_ascii_strtoull(rest, &end, 10));
    if (index < 0)
        return 404;
    if (strcmp(request->method, "DELETE") == 0) {
        end_lease((guint)index);
        return 200;
    }
    state_lease *lease = &g_array_index(state_leases, state_lease, (guint)index);
    lease->ends_at = now_s() + lease->ttl_s;
    return 200;
}

static int state_route(unsigned index, const http_request *request, mv_writer *response)
{
    const char *path = request->path;
    if (state_is_cut[index]) { /* an attempt to connect during the cut: never executed */
        const double given_up = now_s() + CONNECT_TIMEOUT_S;
        if (strcmp(path, "/follow") == 0)
            state_followed_at[index] = now_s();
        while (now_s() < given_up && !stopping) {
            pthread_mutex_unlock(&state_lock);
            g_usleep(2000);
            pthread_mutex_lock(&state_lock);
        }
        return NO_ANSWER;
    }
    if (is_refused(index))
        return error_body(response, 503, "trouble");
    if (!take(&state_rate, 1))
        return error_body(response, 429, "too many requests");
    if (strcmp(path, "/txn") == 0)
        return state_txn(request, response);
    if (strcmp(path, "/store") == 0)
        return state_list(request, response);
    if (strcmp(path, "/follow") == 0)
        return state_follow(index, request, response);
    if (g_str_has_prefix(path, "/store/"))
        return state_get(path + strlen("/store/"), response);
    if (strcmp(path, "/leases") == 0)
        return state_new_lease(request, response);
    if (g_str_has_prefix(path, "/leases/"))
        return state_one_lease(request, path + strlen("/leases/"));
    return 400;
}

static int state_handle(void *context, const http_request *request, mv_writer *response)
{
    pthread_mutex_lock(&state_lock);
    const int status = state_route(GPOINTER_TO_UINT(context), request, response);
    pthread_mutex_unlock(&state_lock);
    return status;
}

static gint compare_keys(gconstpointer left, gconstpointer right, gpointer unused)
{
    (void)unused;
    return strcmp(left, right);
}

static void free_record(gpointer data)
{
    state_record *stored = data;
    g_bytes_unref(stored->data);
    g_free(stored->key);
    g_free(stored);
}

/* --- jobs as their users uploaded them --- */

typedef struct {
    double cores, ram_gb, run_s;
    unsigned pieces, done;
} job_facts;

typedef struct {
    char name[64]; /* j-000001/0 */
    char job[40];
    unsigned task;
    uint64_t attempt;
    double cores, ram_gb;
    double ends_at;
    bool ended;
    const char *cause;
} worker_task;

typedef struct {
    char id[32], type[40], address[40];
    bool spot, gone;
    double added_at, gone_at, cores, ram_gb;
    uint64_t tenure, tick, baton;
    double lease_from; /* when the last answered report was sent */
    bool changed;
    int answered_by;
    GPtrArray *tasks;
    pthread_t thread;
} machine;

/* Guards the jobs, the machines and the cloud. */
static pthread_mutex_t fleet_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *jobs;       /* id -> job_facts */
static GHashTable *done_tasks; /* names of tasks whose result is kept */
static machine machines[MACHINES_MAX];
static unsigned machine_count;
static const machine_type *types;
static unsigned type_count;

void (*on_task_start)(const char *, const char *, unsigned, uint64_t);
void (*cloud_on_release)(unsigned, const char *, unsigned);

/* --- workers --- */

static void end_task(machine *worker, worker_task *task, const char *cause)
{
    task->ended = true;
    task->cause = cause;
    worker->changed = true;
    record("worker %s: %s try %" G_GUINT64_FORMAT " ended: %s", worker->id, task->name,
           task->attempt, cause);
    if (strcmp(cause, "done") != 0 || !g_hash_table_add(done_tasks, g_strdup(task->name)))
        return;
    job_facts *facts = g_hash_table_lookup(jobs, task->job);
    if (facts)
        facts->done++;
}

static void advance(machine *worker)
{
    const double now = now_s();
    if (now > worker->lease_from + site.lease_s) {
        if (worker->tasks->len)
            record("worker %s: the lease has expired, kills %u tasks", worker->id,
                   worker->tasks->len);
        g_ptr_array_set_size(worker->tasks, 0);
        worker->tenure++;
        worker->lease_from = now;
        worker->changed = true;
    }
    for (guint i = 0; i < worker->tasks->len; i++) {
        worker_task *task = g_ptr_array_index(worker->tasks, i);
        if (!task->ended && now >= task->ends_at)
            end_task(worker, task, "done");
    }
}

static const char *refusal(const machine *worker, const char *name, const job_facts *facts,
                           unsigned task)
{
    double cores = 0, ram_gb = 0;
    if (!facts || task >= facts->pieces)
        return "unknown";
    for (guint i = 0; i < worker->tasks->len; i++) {
        const worker_task *other = g_ptr_array_index(worker->tasks, i);
        if (other->ended)
            continue;
        if (strcmp(other->name, name) == 0)
            return "busy";
        cores += other->cores;
        ram_gb += other->ram_gb;
    }
    const bool fits = cores + facts->cores <= worker->cores + 1e-6 &&
                      ram_gb + facts->ram_gb <= worker->ram_gb + 1e-6;
    return fits ? NULL : "no_room";
}

static void launch(machine *worker, const char *name, uint64_t attempt)
{
    worker_task *task = g_new0(worker_task, 1);
    g_strlcpy(task->name, name, sizeof task->name);
    g_strlcpy(task->job, name, MIN(sizeof task->job, (size_t)(strchr(name, '/') - name) + 1));
    task->task = (unsigned)strtoul(strchr(name, '/') + 1, NULL, 10);
    task->attempt = attempt;
    const job_facts *facts = g_hash_table_lookup(jobs, task->job);
    const char *cause = refusal(worker, name, facts, task->task);
    worker->changed = true;
    g_ptr_array_add(worker->tasks, task);
    if (cause) {
        task->ended = true;
        task->cause = cause;
        record("worker %s: refuses %s try %" G_GUINT64_FORMAT ": %s", worker->id, name, attempt,
               cause);
        return;
    }
    task->cores = facts->cores;
    task->ram_gb = facts->ram_gb;
    const bool kept = g_hash_table_contains(done_tasks, name);
    task->ends_at = now_s() + (kept ? 0 : facts->run_s);
    record("worker %s: starts %s try %" G_GUINT64_FORMAT " baton %" G_GUINT64_FORMAT, worker->id,
           name, attempt, worker->baton);
    if (on_task_start)
        on_task_start(worker->id, task->job, task->task, worker->baton);
}

static void execute(machine *worker, const msgpack_object *order)
{
    const msgpack_object *verb = mv_field_find(order, "verb");
    char name[64];
    uint64_t attempt = 0;
    if (mv_field_read_text(order, "piece", name, sizeof name) != MV_FIELD_PRESENT ||
        !strchr(name, '/'))
        return;
    mv_field_read_u64(order, "try", &attempt);
    worker_task *known = NULL;
    for (guint i = 0; i < worker->tasks->len && !known; i++) {
        worker_task *task = g_ptr_array_index(worker->tasks, i);
        if (strcmp(task->name, name) == 0 && task->attempt == attempt)
            known = task;
    }
    if (mv_text_is(verb, "launch") && !known)
        launch(worker, name, attempt);
    else if (mv_text_is(verb, "stop") && known && !known->ended)
        end_task(worker, known, "stopped");
    else if (mv_text_is(verb, "clear") && known && known->ended)
        g_ptr_array_remove(worker->tasks, known);
}

static void execute_all(machine *worker, const msgpack_object *body)
{
    const msgpack_object_array *orders = mv_field_read_list(body, "orders");
    for (uint32_t i = 0; orders && i < orders->size; i++)
        execute(worker, &orders->ptr[i]);
}

static void write_report(machine *worker, mv_writer *writer)
{
    mv_write_map(writer, 10);
    mv_write_text_field(writer, "host", worker->id);
    mv_write_text_field(writer, "address", worker->address);
    mv_write_text_field(writer, "hull", worker->type);
    mv_write_text_field(writer, "yard", site.area);
    mv_write_bool_field(writer, "loaners", worker->spot);
    mv_write_u64_field(writer, "tenure", worker->tenure);
    mv_write_u64_field(writer, "tick", ++worker->tick);
    mv_write_u64_field(writer, "baton", worker->baton);
    mv_write_text(writer, "recall_s");
    mv_write_nil(writer);
    mv_write_text(writer, "pieces");
    mv_write_list(writer, worker->tasks->len);
    for (guint i = 0; i < worker->tasks->len; i++) {
        const worker_task *task = g_ptr_array_index(worker->tasks, i);
        mv_write_map(writer, task->ended ? 4 : 3);
        mv_write_text_field(writer, "piece", task->name);
        mv_write_u64_field(writer, "try", task->attempt);
        mv_write_text_field(writer, "status", task->ended ? "ended" : "running");
        if (task->ended)
            mv_write_text_field(writer, "cause", task->cause);
    }
}

static void see_baton(machine *worker, uint64_t baton)
{
    if (baton > worker->baton)
        worker->changed = true;
    worker->baton = MAX(worker->baton, baton);
}

static int worker_handle(void *context, const http_request *request, mv_writer *response)
{
    machine *worker = context;
    uint64_t baton = 0, tenure = 0;
    pthread_mutex_lock(&fleet_lock);
    if (worker->gone) { /* a machine that is gone says nothing */
        pthread_mutex_unlock(&fleet_lock);
        g_usleep(2000000);
        return NO_ANSWER;
    }
    advance(worker);
    int status = 200;
    if (strcmp(request->path, "/commands") == 0) {
        if (mv_field_read_u64(request->body, "baton", &baton) != MV_FIELD_PRESENT ||
            mv_field_read_u64(request->body, "tenure", &tenure) != MV_FIELD_PRESENT) {
            status = 400;
        } else if (baton < worker->baton || tenure != worker->tenure) {
            status = 409;
        } else {
            see_baton(worker, baton);
            execute_all(worker, request->body);
        }
    }
    if (status != 400)
        write_report(worker, response);
    pthread_mutex_unlock(&fleet_lock);
    return status;
}

/* Sends one report; returns the node for the next one, and sets the pause before it. */
static int report(machine *worker, int to, double *pause_s)
{
    mv_writer *writer = mv_writer_new();
    pthread_mutex_lock(&fleet_lock);
    const double sent_at = now_s();
    const uint64_t tenure = worker->tenure;
    worker->changed = false;
    write_report(worker, writer);
    pthread_mutex_unlock(&fleet_lock);
    g_autoptr(GBytes) body = mv_writer_finish(writer);
    mv_http_result result;
    mv_http_call("POST", nodes[to].address, "/v1/report", body, 4000, &result);
    gsize size;
    const void *data = g_bytes_get_data(result.body, &size);
    g_autoptr(mv_document) document = size ? mv_document_parse(data, size) : NULL;
    const msgpack_object *root = document ? mv_document_root(document) : NULL;
    const int status = result.status;
    int next = (to + 1) % NODES;
    *pause_s = 1;
    pthread_mutex_lock(&fleet_lock);
    if (status == 200) {
        uint64_t baton = 0;
        const bool has_baton = mv_field_read_u64(root, "baton", &baton) == MV_FIELD_PRESENT;
        next = to;
        *pause_s = 0;
        advance(worker);
        if (has_baton && baton >= worker->baton && tenure == worker->tenure && !worker->gone) {
            see_baton(worker, baton);
            worker->lease_from = MAX(worker->lease_from, sent_at);
            if (worker->answered_by != to)
                record("worker %s: %s answers its reports", worker->id, nodes[to].name);
            worker->answered_by = to;
            execute_all(worker, root);
        }
    } else if (status == 421) {
        char steward[40];
        mv_field_read_text(root, "steward", steward, sizeof steward);
        for (int i = 0; i < NODES; i++)
            if (i != to && strcmp(steward, nodes[i].name) == 0) {
                next = i;
                *pause_s = 0.01;
            }
    }
    pthread_mutex_unlock(&fleet_lock);
    mv_http_result_clear(&result);
    return next;
}

static void *worker_reports(void *context)
{
    machine *worker = context;
    int to = (int)(g_str_hash(worker->id) % NODES);
    double last = 0, next_at = 0;
    g_autoptr(GRand) random = g_rand_new_with_seed(g_str_hash(worker->id));
    while (!stopping) {
        pthread_mutex_lock(&fleet_lock);
        const bool gone = worker->gone;
        if (!gone)
            advance(worker);
        const bool due = now_s() >= next_at ||
                         (worker->changed && worker->answered_by == to && now_s() >= last + 0.5);
        pthread_mutex_unlock(&fleet_lock);
        if (gone)
            return NULL;
        if (due) {
            double pause_s;
            last = now_s();
            to = report(worker, to, &pause_s);
            next_at = pause_s > 0 ? now_s() + pause_s
                                  : last + site.report_s * g_rand_double_range(random, 0.75, 1.25);
        }
        g_usleep(TICK_US);
    }
    return NULL;
}

static machine *find_machine(const char *id)
{
    for (unsigned i = 0; i < machine_count; i++)
        if (strcmp(machines[i].id, id) == 0)
            return &machines[i];
    return NULL;
}

void machine_add(const char *id, const char *type, bool spot)
{
    machine *worker = &machines[machine_count];
    g_strlcpy(worker->id, id, sizeof worker->id);
    g_strlcpy(worker->type, type, sizeof worker->type);
    worker->spot = spot;
    worker->tenure = 1;
    worker->answered_by = -1;
    worker->added_at = worker->lease_from = now_s();
    for (unsigned i = 0; i < type_count; i++)
        if (strcmp(types[i].name, type) == 0) {
            worker->cores = types[i].cores;
            worker->ram_gb = types[i].ram_gb;
        }
    worker->tasks = g_ptr_array_new_with_free_func(g_free);
    g_snprintf(worker->address, sizeof worker->address, "127.0.0.1:%u",
               serve(worker_handle, worker));
    pthread_mutex_lock(&fleet_lock);
    machine_count++;
    pthread_mutex_unlock(&fleet_lock);
    pthread_create(&worker->thread, NULL, worker_reports, worker);
}

void machine_die(const char *id)
{
    pthread_mutex_lock(&fleet_lock);
    machine *dead = find_machine(id);
    dead->gone = true;
    dead->gone_at = now_s() + DEAD_LISTED_S;
    record("machine %s stops with all that is on it (%u tasks)", id, dead->tasks->len);
    g_ptr_array_set_size(dead->tasks, 0);
    pthread_mutex_unlock(&fleet_lock);
}

static unsigned running_on(const machine *worker)
{
    unsigned count = 0;
    for (guint i = 0; i < worker->tasks->len; i++)
        count += !((worker_task *)g_ptr_array_index(worker->tasks, i))->ended;
    return count;
}

unsigned machine_running(const char *id)
{
    pthread_mutex_lock(&fleet_lock);
    const machine *worker = find_machine(id);
    const unsigned count = worker && !worker->gone ? running_on(worker) : 0;
    pthread_mutex_unlock(&fleet_lock);
    return count;
}

int machine_reports_to(const char *id)
{
    pthread_mutex_lock(&fleet_lock);
    const machine *worker = find_machine(id);
    const int to = worker ? worker->answered_by : -1;
    pthread_mutex_unlock(&fleet_lock);
    return to;
}

unsigned job_tasks_on_machines(const char *id)
{
    unsigned count = 0;
    pthread_mutex_lock(&fleet_lock);
    for (unsigned i = 0; i < machine_count; i++)
        for (guint k = 0; !machines[i].gone && k < machines[i].tasks->len; k++) {
            const worker_task *task = g_ptr_array_index(machines[i].tasks, k);
            count += !task->ended && strcmp(task->job, id) == 0;
        }
    pthread_mutex_unlock(&fleet_lock);
    return count;
}

unsigned job_tasks_done(const char *id)
{
    pthread_mutex_lock(&fleet_lock);
    const job_facts *facts = g_hash_table_lookup(jobs, id);
    const unsigned done = facts ? facts->done : 0;
    pthread_mutex_unlock(&fleet_lock);
    return done;
}

/* --- cloud --- */

static rate_limit cloud_rate;
static int last_lister = -1;
static double last_listed_at;

void cloud_set_types(const machine_type *given, unsigned count)
{
    types = given;
    type_count = count;
}

int cloud_last_lister(double *at)
{
    pthread_mutex_lock(&fleet_lock);
    const int lister = last_lister;
    if (at)
        *at = last_listed_at;
    pthread_mutex_unlock(&fleet_lock);
    return lister;
}

static int cloud_types(mv_writer *response)
{
    mv_write_map(response, 1);
    mv_write_text(response, "hulls");
    mv_write_list(response, type_count);
    for (unsigned i = 0; i < type_count; i++) {
        const machine_type *type = &types[i];
        mv_write_map(response, 10);
        mv_write_text_field(response, "name", type->name);
        mv_write_number_field(response, "cores", type->cores);
        mv_write_number_field(response, "cards", 0);
        mv_write_number_field(response, "ram_gb", type->ram_gb);
        mv_write_number_field(response, "local_gb", type->local_gb);
        mv_write_number_field(response, "pull_gb_per_s", type->pull_gb_per_s);
        mv_write_number_field(response, "rate", type->rate);
        mv_write_number_field(response, "market_price", type->market_price);
        mv_write_number_field(response, "ready_s", type->ready_s);
        mv_write_text(response, "yards");
        mv_write_list(response, 1);
        mv_write_text(response, site.area);
    }
    return 200;
}

static int cloud_list(unsigned index, const http_request *request, mv_writer *response)
{
    const char *after = argument(request, "after");
    unsigned count = 0;
    if (last_lister != (int)index)
        record("cloud: machine lists are now asked for by %s", nodes[index].name);
    last_lister = (int)index;
    last_listed_at = now_s();
    for (unsigned i = 0; i < machine_count; i++)
        count += strcmp(machines[i].id, after) > 0 &&
                 (!machines[i].gone || now_s() < machines[i].gone_at + site.list_lag_s);
    mv_write_map(response, 2);
    mv_write_text(response, "hosts");
    mv_write_list(response, count);
    for (unsigned i = 0; i < machine_count; i++) {
        const machine *listed = &machines[i];
        if (strcmp(listed->id, after) <= 0 ||
            (listed->gone && now_s() >= listed->gone_at + site.list_lag_s))
            continue;
        mv_write_map(response, 7);
        mv_write_text_field(response, "id", listed->id);
        mv_write_text_field(response, "address", listed->address);
        mv_write_text_field(response, "hull", listed->type);
        mv_write_text_field(response, "yard", site.area);
        mv_write_bool_field(response, "loaners", listed->spot);
        mv_write_text_field(response, "status", "running");
        mv_write_number_field(response, "age_s", now_s() - listed->added_at);
    }
    mv_write_bool_field(response, "more", false);
    return 200;
}

static int cloud_release(unsigned index, const http_request *request)
{
    const msgpack_object_array *hosts = mv_field_read_list(request->body, "hosts");
    for (uint32_t i = 0; hosts && i < hosts->size; i++) {
        char id[64];
        if (!mv_text_copy(&hosts->ptr[i], id, sizeof id))
            continue;
        machine *released = find_machine(id);
        if (!released || released->gone)
            continue;
        advance(released);
        const unsigned running = running_on(released);
        record("cloud: %s returns %s, on which %u tasks run", nodes[index].name, id, running);
        if (cloud_on_release)
            cloud_on_release(index, id, running);
        released->gone = true;
        released->gone_at = now_s();
        g_ptr_array_set_size(released->tasks, 0);
    }
    return hosts ? 200 : 400;
}

static int cloud_handle(void *context, const http_request *request, mv_writer *response)
{
    const unsigned index = GPOINTER_TO_UINT(context);
    int status = 400;
    pthread_mutex_lock(&fleet_lock);
    if (!take(&cloud_rate, 1)) {
        status = 429;
    } else if (strcmp(request->path, "/machine_types") == 0) {
        status = cloud_types(response);
    } else if (strcmp(request->path, "/rentals/release") == 0) {
        status = cloud_release(index, request);
    } else if (strcmp(request->path, "/rentals") == 0 && strcmp(request->method, "GET") == 0) {
        status = cloud_list(index, request, response);
    } else if (strcmp(request->path, "/rentals") == 0) {
        char name[64];
        mv_field_read_text(request->body, "hire", name, sizeof name);
        record("cloud: %s asks for machines (%s): no capacity", nodes[index].name, name);
        status = error_body(response, 503, "no capacity");
    }
    pthread_mutex_unlock(&fleet_lock);
    return status;
}

/* --- users --- */

static GBytes *pack_job(const job *submitted)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 20);
    mv_write_text_field(writer, "id", submitted->id);
    mv_write_text_field(writer, "lane", submitted->lane);
    mv_write_text_field(writer, "crew", submitted->crew);
    mv_write_text_field(writer, "shape", "batch");
    mv_write_text_field(writer, "urgency", submitted->urgency);
    mv_write_u64_field(writer, "pieces", submitted->pieces);
    mv_write_number_field(writer, "cores", submitted->cores);
    mv_write_number_field(writer, "cards", 0);
    mv_write_number_field(writer, "ram_gb", submitted->ram_gb);
    mv_write_text_field(writer, "bundle", submitted->bundle);
    mv_write_number_field(writer, "pull_gb", submitted->pull_gb);
    mv_write_text(writer, "hulls");
    if (submitted->hull) {
        mv_write_list(writer, 1);
        mv_write_text(writer, submitted->hull);
    } else {
        mv_write_nil(writer);
    }
    mv_write_text(writer, "yard");
    mv_write_nil(writer);
    mv_write_bool_field(writer, "together", false);
    mv_write_bool_field(writer, "apart", false);
    mv_write_bool_field(writer, "loaners", submitted->loaners);
    mv_write_number_field(writer, "guess_s", submitted->guess_s);
    mv_write_number_field(writer, "mark_every_s", 0);
    mv_write_number_field(writer, "mark_cost_s", 0);
    mv_write_text(writer, "due_s");
    mv_write_nil(writer);
    return mv_writer_finish(writer);
}

static int user_request(unsigned index, const char *method, const char *path, GBytes *body,
                        unsigned timeout_ms, char status[40])
{
    mv_http_result result;
    mv_http_call(method, nodes[index].address, path, body, timeout_ms, &result);
    gsize size;
    const void *data = g_bytes_get_data(result.body, &size);
    g_autoptr(mv_document) document = size ? mv_document_parse(data, size) : NULL;
    status[0] = 0;
    if (document)
        mv_field_read_text(mv_document_root(document), "status", status, 40);
    const int http_status = result.status;
    mv_http_result_clear(&result);
    record("user: %s %s at %s -> %d %s", method, path, nodes[index].name, http_status, status);
    return http_status;
}

bool user_submit(unsigned index, const job *submitted, double timeout_s)
{
    const double until = now_s() + timeout_s;
    g_autoptr(GBytes) body = pack_job(submitted);
    job_facts *facts = g_new0(job_facts, 1);
    *facts = (job_facts){.cores = submitted->cores,
                         .ram_gb = submitted->ram_gb,
                         .run_s = submitted->run_s,
                         .pieces = submitted->pieces};
    pthread_mutex_lock(&fleet_lock);
    g_hash_table_replace(jobs, g_strdup(submitted->id), facts);
    pthread_mutex_unlock(&fleet_lock);
    record("user: submits %s: %u tasks of %.1f CPUs", submitted->id, submitted->pieces,
           submitted->cores);
    while (now_s() < until) {
        char status[40];
        const int http = user_request(index, "POST", "/v2/runs", body, 5000, status);
        if (http == 200 || http == 201)
            return true;
        if (http == 400 || http == 422)
            return false;
        index = (index + 1) % NODES;
        g_usleep(1000000);
    }
    return false;
}

int user_poll(unsigned index, const char *id, char status[40])
{
    g_autofree char *path = g_strdup_printf("/v2/runs/%s", id);
    return user_request(index, "GET", path, NULL, 2000, status);
}

int user_abort(unsigned index, const char *id, char status[40])
{
    return user_abort_with_body(index, id, NULL, status);
}

int user_abort_with_body(unsigned index, const char *id, GBytes *body, char status[40])
{
    g_autofree char *path = g_strdup_printf("/v2/runs/%s/abort", id);
    return user_request(index, "POST", path, body, 5000, status);
}

/* --- run --- */

static void end_processes(void)
{
    for (unsigned i = 0; i < NODES; i++) {
        if (nodes[i].pid <= 0 || nodes[i].ended)
            continue;
        kill(nodes[i].pid, SIGKILL);
        waitpid(nodes[i].pid, NULL, 0);
    }
}

static void copy_logs(void)
{
    const char *keep = g_getenv("KEEP_LOGS");
    for (unsigned i = 0; i < NODES; i++) {
        if (keep && nodes[i].log) {
            g_autofree char *contents = NULL;
            gsize size = 0;
            g_autofree char *to = g_strdup_printf("%s/%s.log", keep, nodes[i].name);
            if (g_file_get_contents(nodes[i].log, &contents, &size, NULL))
                g_file_set_contents(to, contents, (gssize)size, NULL);
        }
        if (nodes[i].log)
            g_unlink(nodes[i].log);
        if (nodes[i].config)
            g_unlink(nodes[i].config);
    }
}

void run_end(int status, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    const char *verdict = status == 0   ? "the rule held"
                          : status == 1 ? "the rule was broken"
                                        : "the case could not run";
    record("verdict: %s: %s", verdict, text);
    printf("%s: %s\n", verdict, text);
    fflush(stdout);
    stopping = true;
    end_processes();
    copy_logs();
    _exit(status);
}

static void on_signal(int signal_number)
{
    static const char TEXT[] = "the case could not run: stopped by a signal or the time limit\n";
    (void)signal_number;
    (void)!write(STDOUT_FILENO, TEXT, sizeof TEXT - 1);
    for (unsigned i = 0; i < NODES; i++)
        if (nodes[i].pid > 0 && !nodes[i].ended) {
            kill(nodes[i].pid, SIGKILL);
            waitpid(nodes[i].pid, NULL, 0);
        }
    _exit(2);
}

void run_begin(int argc, char **argv, const deployment *given)
{
    pthread_t thread;
    site = *given;
    started_at = now_s();
    if (argc != 3 || !(record_file = fopen(argv[1], "w")))
        run_end(2, "usage: %s RECORD FOLDER; the record has to be writable", argv[0]);
    directory = argv[2];
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGALRM, on_signal);
    alarm(RUN_LIMIT_S);
    mv_http_client_init();
    state_records = g_tree_new_full(compare_keys, NULL, NULL, free_record);
    state_log = g_ptr_array_new();
    state_leases = g_array_new(FALSE, TRUE, sizeof(state_lease));
    state_rate = (rate_limit){.rate = site.state_rps, .burst = 1};
    state_write_rate = (rate_limit){.rate = site.state_write_rps, .burst = 1};
    cloud_rate = (rate_limit){.rate = site.cloud_rps, .burst = 2};
    jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    done_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    pthread_create(&thread, NULL, state_ticks, NULL);
    for (unsigned i = 0; i < NODES; i++) {
        g_snprintf(nodes[i].name, sizeof nodes[i].name, "n%u", i);
        g_snprintf(nodes[i].address, sizeof nodes[i].address, "127.0.0.1:%u", free_port());
        g_snprintf(nodes[i].back, sizeof nodes[i].back, "127.0.0.1:%u", free_port());
        nodes[i].config = g_strdup_printf("%s/%s.toml", directory, nodes[i].name);
        nodes[i].log = g_strdup_printf("%s/%s.log", directory, nodes[i].name);
    }
    for (unsigned i = 0; i < NODES; i++)
        write_settings(i, serve(state_handle, GUINT_TO_POINTER(i)),
                       serve(cloud_handle, GUINT_TO_POINTER(i)));
    record("TROUBLE=%d", trouble());
}
