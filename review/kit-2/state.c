/* The state service: keys with revisions, transactions, leases, watches, its limits, and its faults for each node. */
#include "internal.h"

#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LOG_KEPT 10000
#define PAGE_ITEMS 1000
#define PAGE_BYTES (512 * 1024)
#define TXN_BYTES (64 * 1024)

typedef struct {
    char key[208];
    uint8_t *data;
    size_t len, json;
    uint64_t stamp, hold;
} entry;
typedef struct {
    char key[208];
    uint8_t *data; /* NULL: removed */
    size_t len;
    uint64_t stamp;
} change;
typedef struct {
    uint64_t id;
    double ttl_s, expires;
} lease;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static entry *entries; /* sorted by key */
static size_t entry_count, entry_cap;
static change *changes; /* ring of LOG_KEPT */
static uint64_t change_count, epoch = 1, next_lease = 100;
static lease leases[1024];
static size_t lease_count;
static state_fault faults[NODES_MAX];
static bool outage;
static int slow_permille; /* of the answers take a few hundred milliseconds */
static double follow_since[NODES_MAX], follow_delay[NODES_MAX]; /* since: 0: no watch is open */
static double tokens, write_tokens, refilled;
static struct {
    const char *what;
    unsigned count;
} counters[] = {{"txn", 0}, {"follow", 0}, {"list", 0}, {"get", 0}, {"renew", 0}, {"grant", 0}, {"429", 0}, {"400", 0}};

static void count(const char *what)
{
    for (size_t i = 0; i < sizeof counters / sizeof *counters; i++)
        if (strcmp(counters[i].what, what) == 0)
            counters[i].count++;
}

unsigned state_requests(const char *what)
{
    unsigned n = 0;
    pthread_mutex_lock(&lock);
    for (size_t i = 0; i < sizeof counters / sizeof *counters; i++)
        if (strcmp(counters[i].what, what) == 0)
            n = counters[i].count;
    pthread_mutex_unlock(&lock);
    return n;
}

/* --- sizes, counted in JSON --- */

static size_t json_size(const val *v)
{
    char text[40];
    size_t n = 2;
    switch (v->kind) {
    case V_NIL:
        return 4;
    case V_BOOL:
        return v->u ? 4 : 5;
    case V_UINT:
        return (size_t)snprintf(text, sizeof text, "%llu", (unsigned long long)v->u);
    case V_NEG:
        return (size_t)snprintf(text, sizeof text, "%.0f", v->num);
    case V_NUM:
        for (int digits = 15; digits <= 17; digits++) {
            n = (size_t)snprintf(text, sizeof text, "%.*g", digits, v->num);
            if (strtod(text, NULL) == v->num)
                break;
        }
        return strpbrk(text, ".e") ? n : n + 2;
    case V_STR:
        for (const char *c = v->str; *c; c++)
            n += *c == '"' || *c == '\\' ? 2 : (unsigned char)*c < 32 ? 6 : 1;
        return n;
    case V_LIST:
        for (uint32_t i = 0; i < v->n; i++)
            n += json_size(&v->items[i]) + (i > 0);
        return n;
    case V_MAP:
        for (uint32_t i = 0; i < v->n; i++)
            n += json_size(&v->items[2 * i]) + json_size(&v->items[2 * i + 1]) + 1 + (i > 0);
        return n;
    }
    return n;
}

/* --- entries; the caller holds the lock --- */

static size_t find(const char *key, bool *there)
{
    size_t low = 0, high = entry_count;
    while (low < high) {
        size_t mid = (low + high) / 2;
        int order = strcmp(entries[mid].key, key);
        if (order == 0) {
            *there = true;
            return mid;
        }
        if (order < 0)
            low = mid + 1;
        else
            high = mid;
    }
    *there = false;
    return low;
}

static void log_change(const char *key, const uint8_t *data, size_t len)
{
    change *c = &changes[change_count++ % LOG_KEPT];
    free(c->data);
    snprintf(c->key, sizeof c->key, "%s", key);
    c->data = data ? memcpy(malloc(len + 1), data, len) : NULL;
    c->len = len;
    c->stamp = epoch;
}

static void drop(const char *key)
{
    bool there;
    size_t at = find(key, &there);
    if (!there)
        return;
    free(entries[at].data);
    memmove(&entries[at], &entries[at + 1], (entry_count - at - 1) * sizeof *entries);
    entry_count--;
    log_change(key, NULL, 0);
    state_key_changed(key, NULL, 0);
}

static void put(const char *key, const uint8_t *data, size_t len, size_t json, uint64_t hold)
{
    bool there;
    size_t at = find(key, &there);
    if (!there) {
        if (entry_count == entry_cap) {
            entry_cap = entry_cap * 2 + 64;
            entries = realloc(entries, entry_cap * sizeof *entries);
        }
        memmove(&entries[at + 1], &entries[at], (entry_count - at) * sizeof *entries);
        entry_count++;
        entries[at] = (entry){0};
        snprintf(entries[at].key, sizeof entries[at].key, "%s", key);
    }
    entry *e = &entries[at];
    free(e->data);
    e->data = memcpy(malloc(len + 1), data, len);
    e->len = len;
    e->json = json;
    e->stamp = epoch;
    e->hold = hold;
    log_change(key, data, len);
    state_key_changed(key, data, len);
}

/* --- leases; the caller holds the lock --- */

static lease *find_lease(uint64_t id)
{
    for (size_t i = 0; i < lease_count; i++)
        if (leases[i].id == id)
            return &leases[i];
    return NULL;
}

static void end_lease(size_t index)
{
    uint64_t id = leases[index].id;
    leases[index] = leases[--lease_count];
    bool any = false;
    for (size_t i = entry_count; i-- > 0;)
        if (entries[i].hold == id) {
            if (!any)
                epoch++;
            any = true;
            char key[208];
            snprintf(key, sizeof key, "%s", entries[i].key);
            drop(key);
        }
    if (any)
        pthread_cond_broadcast(&changed);
}

static void *lease_thread(void *context)
{
    (void)context;
    for (;;) {
        usleep(10000);
        pthread_mutex_lock(&lock);
        for (size_t i = lease_count; i-- > 0;)
            if (!outage && now_s() > leases[i].expires + 0.02)
                end_lease(i);
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

/* --- requests; the caller holds the lock --- */

static void write_entry(buf *b, const entry *e)
{
    mp_map(b, e->hold ? 4 : 3);
    mp_str(b, "key");
    mp_str(b, e->key);
    mp_str(b, "data");
    mp_raw(b, e->data, e->len);
    mp_str(b, "stamp");
    mp_uint(b, e->stamp);
    if (e->hold) {
        mp_str(b, "hold");
        mp_uint(b, e->hold);
    }
}

static void write_epoch(buf *b)
{
    mp_map(b, 1);
    mp_str(b, "epoch");
    mp_uint(b, epoch);
}

static void error(response *res, int status, const char *text)
{
    res->status = status;
    mp_map(&res->body, 1);
    mp_str(&res->body, "error");
    mp_str(&res->body, text);
    if (status == 400) {
        count("400");
        rec("state: 400 %s", text);
    }
}

static void get(const char *key, response *res)
{
    bool there;
    size_t at = find(key, &there);
    count("get");
    res->status = there ? 200 : 404;
    if (there)
        write_entry(&res->body, &entries[at]);
    else
        write_epoch(&res->body);
}

static void list(const request *req, response *res)
{
    char *starts = query_arg(req, "starts"), *after = query_arg(req, "after"), *page = query_arg(req, "page");
    size_t max = page ? (size_t)atoi(page) : PAGE_ITEMS, n = 0, bytes = 0;
    bool there, more = false;
    count("list");
    if (max > PAGE_ITEMS)
        max = PAGE_ITEMS;
    buf items = {0};
    size_t at = find(after ? after : starts ? starts : "", &there);
    for (; at < entry_count; at++) {
        if (starts && strncmp(entries[at].key, starts, strlen(starts)) != 0)
            break;
        if (after && strcmp(entries[at].key, after) <= 0)
            continue;
        if (n == max || (n && bytes + entries[at].json + 260 > PAGE_BYTES)) {
            more = true;
            break;
        }
        bytes += entries[at].json + 260;
        write_entry(&items, &entries[at]);
        n++;
    }
    res->status = 200;
    mp_map(&res->body, 3);
    mp_str(&res->body, "items");
    mp_list(&res->body, (uint32_t)n);
    mp_raw(&res->body, items.data ? items.data : (uint8_t *)"", items.len);
    mp_str(&res->body, "more");
    mp_bool(&res->body, more);
    mp_str(&res->body, "epoch");
    mp_uint(&res->body, epoch);
    buf_free(&items);
    free(starts);
    free(after);
    free(page);
}

static uint64_t first_kept(void)
{
    return change_count > LOG_KEPT ? change_count - LOG_KEPT : 0;
}

static uint32_t collect(const char *starts, uint64_t after, buf *out)
{
    uint32_t n = 0;
    for (uint64_t i = first_kept(); i < change_count; i++) {
        const change *c = &changes[i % LOG_KEPT];
        if (c->stamp <= after || strncmp(c->key, starts, strlen(starts)) != 0)
            continue;
        n++;
        if (!out)
            return 1;
        mp_map(out, c->data ? 3 : 2);
        mp_str(out, c->data ? "set" : "remove");
        mp_str(out, c->key);
        if (c->data) {
            mp_str(out, "data");
            mp_raw(out, c->data, c->len);
        }
        mp_str(out, "stamp");
        mp_uint(out, c->stamp);
    }
    return n;
}

static bool held_back(unsigned node)
{
    return outage || faults[node] != STATE_OK;
}

static void follow(unsigned node, const request *req, response *res)
{
    char *starts = query_arg(req, "starts"), *after_text = query_arg(req, "after"), *wait = query_arg(req, "wait_ms");
    uint64_t after = after_text ? strtoull(after_text, NULL, 10) : 0;
    double until = now_s() + (wait ? fmin(atof(wait), 60000) / 1000 : 0);
    count("follow");
    follow_since[node] = now_s();
    while (held_back(node) || (!collect(starts ? starts : "", after, NULL) && now_s() < until)) {
        struct timespec t;
        clock_gettime(CLOCK_REALTIME, &t);
        t.tv_nsec += 20 * 1000000;
        if (t.tv_nsec >= 1000000000) {
            t.tv_sec++;
            t.tv_nsec -= 1000000000;
        }
        pthread_cond_timedwait(&changed, &lock, &t);
    }
    follow_since[node] = 0;
    bool quiet = !collect(starts ? starts : "", after, NULL);
    if (quiet && follow_delay[node] > 0) { /* a response that takes a few hundred milliseconds */
        double slow = follow_delay[node];
        follow_delay[node] = 0;
        rec("DISRUPTION an answer of the state service to node %u takes %.0f ms", node, slow * 1000);
        pthread_mutex_unlock(&lock);
        sleep_s(slow);
        pthread_mutex_lock(&lock);
    }
    if (change_count > LOG_KEPT && after < changes[first_kept() % LOG_KEPT].stamp - 1) {
        error(res, 410, "too old");
    } else {
        buf news = {0};
        uint32_t n = collect(starts ? starts : "", after, &news);
        res->status = 200;
        mp_map(&res->body, 2);
        mp_str(&res->body, "epoch");
        mp_uint(&res->body, epoch);
        mp_str(&res->body, "news");
        mp_list(&res->body, n);
        mp_raw(&res->body, news.data ? news.data : (uint8_t *)"", news.len);
        buf_free(&news);
    }
    free(starts);
    free(after_text);
    free(wait);
}

static void txn(const val *body, response *res)
{
    const site *s = world_site();
    const val *conditions = val_get(body, "if"), *then = val_get(body, "then");
    uint32_t n = then ? then->n : 0;
    count("txn");
    if (!body) {
        error(res, 400, "malformed");
        return;
    }
    if (n > s->txn_ops || (conditions && conditions->n > 4 * s->txn_ops)) {
        error(res, 400, "too many parts");
        return;
    }
    if (json_size(body) > TXN_BYTES) {
        error(res, 400, "too large");
        return;
    }
    if (write_tokens < n) {
        count("429");
        error(res, 429, "too many changes");
        return;
    }
    write_tokens -= n;
    for (uint32_t i = 0; i < n; i++) {
        const val *data = val_get(&then->items[i], "data");
        if (data && json_size(data) > s->value_kb * 1024) {
            error(res, 400, "value too large");
            return;
        }
        if (val_get(&then->items[i], "hold") && !find_lease(val_uint(&then->items[i], "hold"))) {
            error(res, 400, "no such lease");
            return;
        }
    }
    buf failed = {0};
    uint32_t failures = 0;
    for (uint32_t i = 0; conditions && i < conditions->n; i++) {
        const char *key = val_str(&conditions->items[i], "key");
        bool there;
        size_t at = find(key, &there);
        if ((there ? entries[at].stamp : 0) != val_uint(&conditions->items[i], "stamp")) {
            mp_str(&failed, key);
            failures++;
        }
    }
    if (failures) {
        res->status = 409;
        mp_map(&res->body, 2);
        mp_str(&res->body, "failed");
        mp_list(&res->body, failures);
        mp_raw(&res->body, failed.data, failed.len);
        mp_str(&res->body, "epoch");
        mp_uint(&res->body, epoch);
        buf_free(&failed);
        return;
    }
    if (n)
        epoch++;
    for (uint32_t i = 0; i < n; i++) {
        const val *item = &then->items[i], *data = val_get(item, "data");
        if (*val_str(item, "set") && data)
            put(val_str(item, "set"), data->raw, data->raw_len, json_size(data), val_uint(item, "hold"));
        else
            drop(val_str(item, "remove"));
    }
    if (n)
        pthread_cond_broadcast(&changed);
    res->status = 200;
    write_epoch(&res->body);
}

static void lease_request(const request *req, const val *body, response *res)
{
    if (strcmp(req->path, "/leases") == 0) {
        count("grant");
        double ttl = val_num(body, "ttl_ms") / 1000;
        leases[lease_count++] = (lease){++next_lease, ttl, now_s() + ttl};
        res->status = 200;
        mp_map(&res->body, 1);
        mp_str(&res->body, "hold");
        mp_uint(&res->body, next_lease);
        return;
    }
    uint64_t id = strtoull(req->path + strlen("/leases/"), NULL, 10);
    lease *l = find_lease(id);
    count("renew");
    res->status = l ? 200 : 404;
    mp_map(&res->body, 0);
    if (l && strcmp(req->method, "DELETE") == 0)
        end_lease((size_t)(l - leases));
    else if (l)
        l->expires = now_s() + l->ttl_s;
}

static bool over_rate(void)
{
    const site *s = world_site();
    double now = now_s();
    tokens = fmin(s->rps, tokens + (now - refilled) * s->rps);
    write_tokens = fmin(s->write_rps, write_tokens + (now - refilled) * s->write_rps);
    refilled = now;
    if (tokens < 1)
        return true;
    tokens--;
    return false;
}

static void handle(void *context, const request *req, response *res)
{
    unsigned node = (unsigned)(uintptr_t)context;
    val *body = req->body_len ? mp_parse(req->body, req->body_len) : NULL;
    bool is_follow = strcmp(req->path, "/follow") == 0;
    double slow = rand() % 1000 < slow_permille ? 0.2 + (rand() % 300) / 1000.0 : 0;
    bool slow_answer = rand() % 2;
    usleep(1500);
    sleep_s(slow_answer ? 0 : slow);
    pthread_mutex_lock(&lock);
    while (faults[node] == STATE_SILENT && !is_follow)
        pthread_cond_wait(&changed, &lock); /* executed late, once the fault is over */
    if (outage || faults[node] == STATE_REFUSE)
        error(res, 503, "trouble");
    else if (over_rate()) {
        count("429");
        error(res, 429, "too many requests");
    } else if (is_follow)
        follow(node, req, res);
    else if (strcmp(req->path, "/txn") == 0)
        txn(body, res);
    else if (strcmp(req->path, "/store") == 0)
        list(req, res);
    else if (strncmp(req->path, "/store/", 7) == 0)
        get(req->path + 7, res);
    else if (strncmp(req->path, "/leases", 7) == 0)
        lease_request(req, body, res);
    else
        error(res, 404, "no such path");
    pthread_mutex_unlock(&lock);
    sleep_s(slow_answer ? slow : 0);
    val_free(body);
}

/* --- faults --- */

void state_set_fault(unsigned node, state_fault fault)
{
    static const char *const NAMES[] = {"answers", "refuses", "is silent to"};
    pthread_mutex_lock(&lock);
    faults[node] = fault;
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    rec("DISRUPTION state service %s node %u", NAMES[fault], node);
}

void state_outage(bool on)
{
    pthread_mutex_lock(&lock);
    outage = on;
    for (size_t i = 0; !on && i < lease_count; i++)
        leases[i].expires = now_s() + leases[i].ttl_s;
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    rec("DISRUPTION state service %s", on ? "is down" : "is back");
}

void state_set_slow(unsigned permille)
{
    slow_permille = (int)permille;
}

void state_delay_next_follow(unsigned node, double seconds)
{
    pthread_mutex_lock(&lock);
    follow_delay[node] = seconds;
    pthread_mutex_unlock(&lock);
}

double state_follow_open_s(unsigned node)
{
    pthread_mutex_lock(&lock);
    double open = follow_since[node] > 0 ? now_s() - follow_since[node] : -1;
    pthread_mutex_unlock(&lock);
    return open;
}

uint64_t state_epoch(void)
{
    pthread_mutex_lock(&lock);
    uint64_t e = epoch;
    pthread_mutex_unlock(&lock);
    return e;
}

bool state_has(const char *key)
{
    bool there;
    pthread_mutex_lock(&lock);
    find(key, &there);
    pthread_mutex_unlock(&lock);
    return there;
}

size_t state_read(const char *key, uint8_t *out, size_t size)
{
    bool there;
    size_t len = 0;
    pthread_mutex_lock(&lock);
    size_t at = find(key, &there);
    if (there && entries[at].len <= size) {
        len = entries[at].len;
        memcpy(out, entries[at].data, len);
    }
    pthread_mutex_unlock(&lock);
    return len;
}

void state_start(int ports[NODES_MAX], unsigned nodes)
{
    pthread_t thread;
    changes = calloc(LOG_KEPT, sizeof *changes);
    tokens = world_site()->rps;
    write_tokens = world_site()->write_rps;
    refilled = now_s();
    for (unsigned i = 0; i < nodes; i++)
        ports[i] = http_serve(handle, (void *)(uintptr_t)i);
    pthread_create(&thread, NULL, lease_thread, NULL);
}
