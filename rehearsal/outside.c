#include "outside.h"

#include "protocol/names.h"
#include "transport/http_client.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

#define REPORT_TIMEOUT_MS 4000 /* PROTOCOL: a report without an answer */
#define PAGE_ITEMS 5           /* of a list: small, so that paging is used */
#define MOST_CONTROLLERS 16

typedef int (*serve)(void *ctx, const char *method, const char *url, const msgpack_object *body,
                     struct MHD_Connection *con, mv_out *out);

typedef struct {
    serve fn;
    void *ctx;
} service;

/* A machine: a stand-in worker, its server for commands, and the thread that reports. */
typedef struct {
    mv_outside *outside;
    st_worker *worker;
    service service;
    struct MHD_Daemon *server;
    mv_relay *commands;
    pthread_t thread;
    GHashTable *seen; /* "job/task/attempt" -> st_task, as the history knows it */
} live_machine;

struct mv_outside {
    mv_outside_options options;
    pthread_mutex_t lock; /* all below */
    st_state *state;
    GPtrArray *machines; /* live_machine */
    GHashTable *rentals; /* name of a request -> names of machines */
    bool stopping, cloud_down;
    unsigned transactions, refused;
    uint16_t state_port, cloud_port;
    char controllers[MOST_CONTROLLERS][40];
    unsigned n_controllers;
    service state_service, cloud_service;
    struct MHD_Daemon *state_server, *cloud_server;
};

static double now_s(void)
{
    return (double)g_get_monotonic_time() / 1e6;
}

/* --- a small server for every stand-in --- */

static enum MHD_Result on_request(void *cls, struct MHD_Connection *con, const char *url,
                                  const char *method, const char *version, const char *data,
                                  size_t *size, void **slot)
{
    service *s = cls;
    (void)version;
    GByteArray *body = *slot;
    if (!body) {
        *slot = g_byte_array_new();
        return MHD_YES;
    }
    if (*size) {
        g_byte_array_append(body, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    g_autoptr(mv_doc) doc = mv_doc_parse(body->data, body->len);
    mv_out *out = mv_out_new();
    int status = s->fn(s->ctx, method, url, doc ? mv_doc_root(doc) : NULL, con, out);
    if (out->buf.size == 0)
        mv_put_map(out, 0);
    struct MHD_Response *r =
        MHD_create_response_from_buffer(out->buf.size, out->buf.data, MHD_RESPMEM_MUST_COPY);
    mv_out_free(out);
    enum MHD_Result ok = MHD_queue_response(con, (unsigned)status, r);
    MHD_destroy_response(r);
    return ok;
}

static void on_completed(void *cls, struct MHD_Connection *con, void **slot,
                         enum MHD_RequestTerminationCode why)
{
    (void)cls;
    (void)con;
    (void)why;
    if (*slot)
        g_byte_array_unref(*slot);
}

static struct MHD_Daemon *start_server(service *s, uint16_t *port)
{
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    struct MHD_Daemon *d =
        MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
                         NULL, on_request, s, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&addr,
                         MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
    g_assert_nonnull(d);
    *port = MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT)->port;
    return d;
}

/* --- state service --- */

static const char *arg(struct MHD_Connection *con, const char *name)
{
    const char *v = MHD_lookup_connection_value(con, MHD_GET_ARGUMENT_KIND, name);
    return v ? v : "";
}

static void put_item(mv_out *o, const st_item *i)
{
    mv_put_map(o, 3);
    mv_field_text(o, N_KEY, i->key);
    mv_put_text(o, N_DATA);
    mv_put_raw(o, i->data);
    mv_field_u64(o, N_STAMP, i->stamp);
}

static gint by_key(gconstpointer a, gconstpointer b)
{
    return strcmp(((const st_item *)a)->key, ((const st_item *)b)->key);
}

static int list_items(const mv_outside *o, struct MHD_Connection *con, mv_out *out)
{
    g_autoptr(GList) all = g_list_sort(g_hash_table_get_values(o->state->items), by_key);
    g_autoptr(GPtrArray) some = g_ptr_array_new();
    for (GList *l = all; l; l = l->next) {
        st_item *i = l->data;
        if (g_str_has_prefix(i->key, arg(con, N_STARTS)) && strcmp(i->key, arg(con, N_AFTER)) > 0)
            g_ptr_array_add(some, i);
    }
    mv_put_map(out, 3);
    mv_put_text(out, N_ITEMS);
    guint n = MIN(some->len, PAGE_ITEMS);
    mv_put_list(out, n);
    for (guint i = 0; i < n; i++)
        put_item(out, g_ptr_array_index(some, i));
    mv_field_bool(out, N_MORE, n < some->len);
    mv_field_u64(out, N_EPOCH, o->state->epoch);
    return 200;
}

static int follow(mv_outside *o, struct MHD_Connection *con, mv_out *out)
{
    guint64 after = g_ascii_strtoull(arg(con, N_AFTER), NULL, 10);
    double until = now_s() + g_ascii_strtod(arg(con, N_WAIT), NULL) / 1000;
    while (o->state->epoch <= after && now_s() < until && !o->stopping) {
        pthread_mutex_unlock(&o->lock);
        g_usleep(5000);
        pthread_mutex_lock(&o->lock);
    }
    g_autoptr(GPtrArray) news = g_ptr_array_new();
    for (guint i = 0; i < o->state->log->len; i++) {
        st_item *item = g_ptr_array_index(o->state->log, i);
        if (item->stamp > after && g_str_has_prefix(item->key, arg(con, N_STARTS)))
            g_ptr_array_add(news, item);
    }
    mv_put_map(out, 2);
    mv_field_u64(out, N_EPOCH, o->state->epoch);
    mv_put_text(out, N_NEWS);
    mv_put_list(out, news->len);
    for (guint i = 0; i < news->len; i++) {
        const st_item *item = g_ptr_array_index(news, i);
        mv_put_map(out, item->data ? 3 : 2);
        mv_field_text(out, item->data ? N_SET : N_REMOVE, item->key);
        if (item->data) {
            mv_put_text(out, N_DATA);
            mv_put_raw(out, item->data);
        }
        mv_field_u64(out, N_STAMP, item->stamp);
    }
    return 200;
}

/* Final records are what users are told in the end: the history has each that was written. */
static void note_finals(const mv_outside *o, const GArray *changes)
{
    for (guint i = 0; o->options.history && i < changes->len; i++) {
        const mv_change *ch = &g_array_index(changes, mv_change, i);
        if (!ch->data || !g_str_has_prefix(ch->key, K_FINAL))
            continue;
        gsize size;
        const void *bytes = g_bytes_get_data(ch->data, &size);
        g_autoptr(mv_doc) doc = mv_doc_parse(bytes, size);
        bool done = false;
        unsigned tasks;
        g_assert_true(doc && mv_final_parse(mv_doc_root(doc), &done, &tasks));
        mv_event event = {.kind = MV_EVENT_RECORDED};
        g_strlcpy(event.job, ch->key + strlen(K_FINAL), sizeof event.job);
        g_strlcpy(event.text, done ? N_DONE : N_WITHDRAWN, sizeof event.text);
        mv_history_add(o->options.history, event);
    }
}

static int transact(mv_outside *o, const msgpack_object *body)
{
    if (o->options.refuse_every && ++o->transactions % o->options.refuse_every == 0) {
        o->refused++;
        return 429;
    }
    g_autoptr(GArray) conds = g_array_new(FALSE, TRUE, sizeof(mv_cond));
    g_autoptr(GArray) changes = g_array_new(FALSE, TRUE, sizeof(mv_change));
    const msgpack_object_array *ifs = mv_get_list(body, N_IF), *thens = mv_get_list(body, N_THEN);
    uint64_t hold = 0;
    for (uint32_t i = 0; ifs && i < ifs->size; i++) {
        mv_cond c = {0};
        g_assert_cmpint(mv_get_text(&ifs->ptr[i], N_KEY, c.key, sizeof c.key), ==, MV_GOT);
        mv_get_u64(&ifs->ptr[i], N_STAMP, &c.stamp);
        g_array_append_val(conds, c);
    }
    for (uint32_t i = 0; thens && i < thens->size; i++) {
        mv_change ch = {0};
        const msgpack_object *t = &thens->ptr[i], *data = mv_get(t, N_DATA);
        if (mv_get_text(t, N_SET, ch.key, sizeof ch.key) == MV_GOT && data) {
            mv_out *packed = mv_out_new();
            msgpack_pack_object(&packed->pk, *data);
            ch.data = mv_out_take(packed);
            ch.held = mv_get_u64(t, N_HOLD, &hold) == MV_GOT;
        } else {
            g_assert_cmpint(mv_get_text(t, N_REMOVE, ch.key, sizeof ch.key), ==, MV_GOT);
        }
        g_array_append_val(changes, ch);
    }
    int status = st_txn(o->state, conds, changes, hold);
    if (status == 200)
        note_finals(o, changes);
    for (guint i = 0; i < changes->len; i++)
        if (g_array_index(changes, mv_change, i).data)
            g_bytes_unref(g_array_index(changes, mv_change, i).data);
    return status;
}

static int serve_state(void *ctx, const char *method, const char *url, const msgpack_object *body,
                       struct MHD_Connection *con, mv_out *out)
{
    int status = 404;
    mv_outside *o = ctx;
    pthread_mutex_lock(&o->lock);
    st_state_expire(o->state, now_s());
    if (strcmp(url, N_TXN) == 0) {
        status = transact(o, body);
    } else if (strcmp(url, N_STORE) == 0) {
        status = list_items(o, con, out);
    } else if (strcmp(url, N_FOLLOW) == 0) {
        status = follow(o, con, out);
    } else if (g_str_has_prefix(url, N_STORE "/")) {
        const st_item *i = st_get(o->state, url + strlen(N_STORE "/"));
        status = i ? 200 : 404;
        if (i)
            put_item(out, i);
    } else if (strcmp(url, N_LEASES) == 0) {
        double ttl = 0;
        mv_get_num(body, N_TTL, &ttl);
        mv_put_map(out, 1);
        mv_field_u64(out, N_HOLD, st_lease_open(o->state, ttl / 1000, now_s()));
        status = 200;
    } else if (g_str_has_prefix(url, N_LEASES "/") && strcmp(method, "POST") == 0) {
        guint64 id = g_ascii_strtoull(url + strlen(N_LEASES "/"), NULL, 10);
        status = st_lease_renew(o->state, id, now_s()) ? 200 : 404;
    }
    pthread_mutex_unlock(&o->lock);
    return status;
}

/* --- machines --- */

static void note(live_machine *m, mv_event_kind kind, const st_task *t)
{
    mv_event event = {
        .kind = kind, .task = t->index, .attempt = t->attempt, .token = m->worker->token};
    g_strlcpy(event.who, m->worker->id, sizeof event.who);
    g_strlcpy(event.job, t->job, sizeof event.job);
    mv_history_add(m->outside->options.history, event);
}

static char *task_key(const st_task *t)
{
    return g_strdup_printf("%s/%u/%" G_GUINT64_FORMAT, t->job, t->index, t->attempt);
}

static gboolean is_not_there(gpointer key, gpointer task, gpointer data)
{
    live_machine *m = data;
    const st_task *known = task;
    for (guint i = 0; i < m->worker->tasks->len; i++) {
        g_autofree char *there = task_key(g_ptr_array_index(m->worker->tasks, i));
        if (strcmp(there, key) == 0)
            return FALSE;
    }
    if (known->status != ST_ENDED)
        note(m, MV_EVENT_GONE, known);
    return TRUE;
}

/* What changed on the machine since the last look. The lock is held. */
static void note_tasks(live_machine *m)
{
    if (!m->outside->options.history)
        return;
    g_hash_table_foreach_remove(m->seen, is_not_there, m);
    for (guint i = 0; i < m->worker->tasks->len; i++) {
        const st_task *t = g_ptr_array_index(m->worker->tasks, i);
        char *key = task_key(t);
        const st_task *known = g_hash_table_lookup(m->seen, key);
        bool ended = t->status == ST_ENDED, ran = t->began > 0;
        if (!known && ran)
            note(m, MV_EVENT_STARTED, t);
        if (ended && ran && (!known || known->status != ST_ENDED))
            note(m, t->cause == MV_WHY_DONE ? MV_EVENT_DONE : MV_EVENT_GONE, t);
        g_hash_table_replace(m->seen, key, g_memdup2(t, sizeof *t));
    }
}

static st_task_facts facts(void *ctx, const char *job, uint32_t task)
{
    const mv_outside *o = ctx;
    (void)task;
    (void)job;
    return (st_task_facts){.cores = 2, .ram_gb = 1, .run_s = o->options.run_s, .known = true};
}

static GArray *read_orders(const msgpack_object *body)
{
    static const char *const verbs[] = {N_LAUNCH, N_STOP, N_CLEAR};
    GArray *orders = g_array_new(FALSE, TRUE, sizeof(mv_order));
    const msgpack_object_array *list = mv_get_list(body, N_ORDERS);
    for (uint32_t i = 0; list && i < list->size; i++) {
        mv_order o = {0};
        char name[80];
        g_assert_cmpint(mv_get_text(&list->ptr[i], N_PIECE, name, sizeof name), ==, MV_GOT);
        char *slash = strchr(name, '/');
        *slash = 0;
        g_strlcpy(o.job, name, sizeof o.job);
        o.index = (uint32_t)g_ascii_strtoull(slash + 1, NULL, 10);
        mv_get_u64(&list->ptr[i], N_TRY, &o.attempt);
        for (int v = 0; v < 3; v++)
            if (mv_text_is(mv_get(&list->ptr[i], N_VERB), verbs[v]))
                o.verb = (mv_verb)v;
        g_array_append_val(orders, o);
    }
    return orders;
}

static void put_report(mv_out *o, st_worker *w)
{
    static const char *const causes[] = {"",        N_DONE, N_STOPPED, N_ERROR,
                                         N_NO_ROOM, N_BUSY, N_UNKNOWN};
    mv_report r;
    st_worker_report(w, 0, &r);
    mv_put_map(o, 9);
    mv_field_text(o, N_HOST, r.host);
    mv_field_text(o, N_ADDRESS, r.address);
    mv_field_text(o, N_HULL, r.type_name);
    mv_field_text(o, N_YARD, r.zone_name);
    mv_field_bool(o, N_LOANERS, r.spot);
    mv_field_u64(o, N_TENURE, r.session);
    mv_field_u64(o, N_TICK, r.sequence);
    mv_field_u64(o, N_BATON, r.token);
    mv_put_text(o, N_PIECES);
    mv_put_list(o, r.n_tasks);
    for (size_t i = 0; i < r.n_tasks; i++) {
        const mv_task *p = &r.tasks[i];
        char name[80];
        g_snprintf(name, sizeof name, "%s/%u", p->job, p->index);
        mv_put_map(o, 4);
        mv_field_text(o, N_PIECE, name);
        mv_field_u64(o, N_TRY, p->attempt);
        mv_field_text(o, N_STATUS, p->status == MV_ENDED ? N_ENDED : N_RUNNING);
        mv_field_text(o, N_CAUSE, causes[p->cause]);
    }
    mv_report_clear(&r);
}

static int serve_machine(void *ctx, const char *method, const char *url, const msgpack_object *body,
                         struct MHD_Connection *con, mv_out *out)
{
    live_machine *m = ctx;
    uint64_t token = 0, session = 0;
    (void)method;
    (void)con;
    if (strcmp(url, N_COMMANDS) != 0 || mv_get_u64(body, N_BATON, &token) != MV_GOT ||
        mv_get_u64(body, N_TENURE, &session) != MV_GOT)
        return 400;
    g_autoptr(GArray) orders = read_orders(body);
    pthread_mutex_lock(&m->outside->lock);
    int status = st_worker_command(m->worker, token, session, orders, now_s(), facts, m->outside);
    note_tasks(m);
    put_report(out, m->worker);
    pthread_mutex_unlock(&m->outside->lock);
    return status;
}

/* The controller that an answer names; `next` if it names none. */
static unsigned redirected_to(const mv_outside *o, mv_doc *doc, unsigned next)
{
    char name[40] = "", own[40];
    if (doc)
        mv_get_text(mv_doc_root(doc), N_STEWARD, name, sizeof name);
    for (unsigned i = 0; i < o->n_controllers; i++) {
        g_snprintf(own, sizeof own, "n%u", i);
        if (strcmp(own, name) == 0)
            return i;
    }
    return next;
}

/* One report to a controller; which one gets the next. */
static unsigned report_once(live_machine *m, unsigned at)
{
    mv_outside *o = m->outside;
    mv_out *out = mv_out_new();
    pthread_mutex_lock(&o->lock);
    st_worker_run(m->worker, now_s());
    note_tasks(m);
    double sent = now_s();
    uint64_t session = m->worker->session, token = 0;
    put_report(out, m->worker);
    pthread_mutex_unlock(&o->lock);
    g_autoptr(GBytes) body = mv_out_take(out);
    mv_http_answer a;
    mv_http_call("POST", o->controllers[at], N_REPORT, body, REPORT_TIMEOUT_MS, &a);
    gsize n;
    const void *p = g_bytes_get_data(a.body, &n);
    g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
    unsigned next = at;
    if (a.status == 200 && doc && mv_get_u64(mv_doc_root(doc), N_BATON, &token) == MV_GOT) {
        g_autoptr(GArray) orders = read_orders(mv_doc_root(doc));
        pthread_mutex_lock(&o->lock);
        st_worker_answer(m->worker, session, sent, token, orders, now_s(), facts, o);
        note_tasks(m);
        pthread_mutex_unlock(&o->lock);
    } else {
        next = redirected_to(o, a.status == 421 ? doc : NULL, (at + 1) % o->n_controllers);
    }
    mv_http_answer_clear(&a);
    return next;
}

static void *machine_thread(void *arg)
{
    live_machine *m = arg;
    mv_outside *o = m->outside;
    unsigned at = 0;
    for (;;) {
        pthread_mutex_lock(&o->lock);
        bool stop = o->stopping || m->worker->gone;
        pthread_mutex_unlock(&o->lock);
        if (stop)
            return NULL;
        at = report_once(m, at);
        g_usleep(o->options.report_ms * 1000ul);
    }
}

/* --- cloud --- */

static void start_machine(mv_outside *o, const char *id, const char *type_name, bool spot)
{
    live_machine *m = g_new0(live_machine, 1);
    uint16_t served, port;
    m->outside = o;
    m->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    m->worker = st_worker_new(id, type_name, spot, o->options.lease_s);
    m->worker->lease_from = now_s();
    m->service = (service){serve_machine, m};
    m->server = start_server(&m->service, &served);
    m->commands = mv_relay_start(served, &port);
    g_assert_nonnull(m->commands);
    g_snprintf(m->worker->address, sizeof m->worker->address, "127.0.0.1:%u", port);
    g_ptr_array_add(o->machines, m);
    g_assert_cmpint(pthread_create(&m->thread, NULL, machine_thread, m), ==, 0);
}

static int rent(mv_outside *o, const msgpack_object *body, mv_out *out)
{
    char request_name[MV_NAME_SIZE], type_name[MV_NAME_SIZE];
    uint64_t number = 0;
    bool spot = false;
    g_assert_cmpint(mv_get_text(body, N_HIRE, request_name, sizeof request_name), ==, MV_GOT);
    mv_get_text(body, N_HULL, type_name, sizeof type_name);
    mv_get_u64(body, N_NUMBER, &number);
    mv_get_bool(body, N_LOANERS, &spot);
    GPtrArray *names = g_hash_table_lookup(o->rentals, request_name);
    if (!names) {
        names = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(o->rentals, g_strdup(request_name), names);
        for (uint64_t i = 0; i < number && o->machines->len < o->options.machines; i++) {
            char *id = g_strdup_printf("vm-%06u", o->machines->len + 1);
            start_machine(o, id, type_name, spot);
            g_ptr_array_add(names, id);
        }
    }
    mv_put_map(out, 1);
    if (names->len == 0) {
        mv_field_text(out, N_ERROR, N_NO_CAPACITY);
        return 503;
    }
    mv_put_text(out, N_HOSTS);
    mv_put_list(out, names->len);
    for (guint i = 0; i < names->len; i++)
        mv_put_text(out, g_ptr_array_index(names, i));
    return 200;
}

static int serve_cloud(void *ctx, const char *method, const char *url, const msgpack_object *body,
                       struct MHD_Connection *con, mv_out *out)
{
    int status = 200;
    mv_outside *o = ctx;
    (void)con;
    pthread_mutex_lock(&o->lock);
    if (o->cloud_down) {
        mv_put_map(out, 1);
        mv_field_text(out, N_ERROR, "trouble");
        status = 503;
    } else if (strcmp(url, N_TYPES) == 0) {
        GArray *types = g_array_new(FALSE, TRUE, sizeof(mv_type));
        char zones[1][MV_NAME_SIZE] = {"z"};
        mv_type t = {.name = "big", .cores = 16, .ram_gb = 64, .local_gb = 50, .pull_rate = 1};
        t.rate = 1;
        t.market = 0.3;
        t.ready_s = 20;
        t.zones = zones;
        t.n_zones = 1;
        g_array_append_val(types, t);
        g_autoptr(GBytes) packed = mv_types_pack(types);
        mv_put_raw(out, packed);
        g_array_unref(types);
    } else if (strcmp(url, N_RENTALS) == 0 && strcmp(method, "POST") == 0) {
        status = rent(o, body, out);
    } else if (strcmp(url, N_RENTALS) == 0) {
        mv_put_map(out, 2);
        mv_put_text(out, N_HOSTS);
        mv_put_list(out, 0);
        mv_field_bool(out, N_MORE, false);
    }
    pthread_mutex_unlock(&o->lock);
    return status;
}

/* --- life --- */

mv_outside *mv_outside_start(const mv_outside_options *options)
{
    mv_outside *o = g_new0(mv_outside, 1);
    o->options = *options;
    pthread_mutex_init(&o->lock, NULL);
    o->state = st_state_new();
    o->machines = g_ptr_array_new();
    o->rentals =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    o->state_service = (service){serve_state, o};
    o->cloud_service = (service){serve_cloud, o};
    o->state_server = start_server(&o->state_service, &o->state_port);
    o->cloud_server = start_server(&o->cloud_service, &o->cloud_port);
    return o;
}

static void machine_free(live_machine *m)
{
    mv_relay_stop(m->commands);
    MHD_stop_daemon(m->server);
    st_worker_free(m->worker);
    g_hash_table_unref(m->seen);
    g_free(m);
}

void mv_outside_stop(mv_outside *o)
{
    pthread_mutex_lock(&o->lock);
    o->stopping = true;
    pthread_mutex_unlock(&o->lock);
    for (guint i = 0; i < o->machines->len; i++)
        pthread_join(((live_machine *)g_ptr_array_index(o->machines, i))->thread, NULL);
    for (guint i = 0; i < o->machines->len; i++)
        machine_free(g_ptr_array_index(o->machines, i));
    MHD_stop_daemon(o->cloud_server);
    MHD_stop_daemon(o->state_server);
    g_ptr_array_unref(o->machines);
    g_hash_table_unref(o->rentals);
    st_state_free(o->state);
    pthread_mutex_destroy(&o->lock);
    g_free(o);
}

uint16_t mv_outside_state_port(const mv_outside *o)
{
    return o->state_port;
}

uint16_t mv_outside_cloud_port(const mv_outside *o)
{
    return o->cloud_port;
}

void mv_outside_controllers(mv_outside *o, const uint16_t *ports, unsigned n)
{
    g_assert_cmpuint(n, <=, MOST_CONTROLLERS);
    for (unsigned i = 0; i < n; i++)
        g_snprintf(o->controllers[i], sizeof o->controllers[i], "127.0.0.1:%u", ports[i]);
    o->n_controllers = n;
}

void mv_outside_set_cloud_down(mv_outside *o, bool down)
{
    pthread_mutex_lock(&o->lock);
    o->cloud_down = down;
    pthread_mutex_unlock(&o->lock);
}

unsigned mv_outside_refused(mv_outside *o)
{
    pthread_mutex_lock(&o->lock);
    unsigned refused = o->refused;
    pthread_mutex_unlock(&o->lock);
    return refused;
}

void mv_outside_set_commands(mv_outside *o, unsigned machine, const mv_link_trouble *trouble)
{
    pthread_mutex_lock(&o->lock);
    if (machine < o->machines->len)
        mv_relay_set(((live_machine *)g_ptr_array_index(o->machines, machine))->commands, trouble);
    pthread_mutex_unlock(&o->lock);
}

st_state *mv_outside_lock(mv_outside *o)
{
    pthread_mutex_lock(&o->lock);
    return o->state;
}

void mv_outside_unlock(mv_outside *o)
{
    pthread_mutex_unlock(&o->lock);
}
