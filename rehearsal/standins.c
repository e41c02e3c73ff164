#include "standins.h"

#include <string.h>

/* --- state service --- */

static void item_free(gpointer p)
{
    st_item *i = p;
    if (i->data)
        g_bytes_unref(i->data);
    g_free(i);
}

st_state *st_state_new(void)
{
    st_state *s = g_new0(st_state, 1);
    s->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
    s->log = g_ptr_array_new_with_free_func(item_free);
    s->leases = g_array_new(FALSE, TRUE, sizeof(st_lease));
    return s;
}

void st_state_free(st_state *s)
{
    g_hash_table_unref(s->items);
    g_ptr_array_unref(s->log);
    g_array_unref(s->leases);
    g_free(s);
}

static st_item *item_new(const char *key, GBytes *data, uint64_t stamp, uint64_t hold)
{
    st_item *i = g_new0(st_item, 1);
    g_strlcpy(i->key, key, sizeof i->key);
    i->data = data ? g_bytes_ref(data) : NULL;
    i->stamp = stamp;
    i->hold = hold;
    return i;
}

static void put(st_state *s, const char *key, GBytes *data, uint64_t hold)
{
    if (!data && !g_hash_table_contains(s->items, key))
        return;
    g_ptr_array_add(s->log, item_new(key, data, s->epoch, hold));
    if (data) {
        st_item *i = item_new(key, data, s->epoch, hold);
        g_hash_table_replace(s->items, i->key, i);
    } else {
        g_hash_table_remove(s->items, key);
    }
}

uint64_t st_lease_open(st_state *s, double ttl, double now)
{
    st_lease l = {.id = ++s->next_lease, .ttl = ttl, .until = now + ttl};
    g_array_append_val(s->leases, l);
    return l.id;
}

static st_lease *lease(st_state *s, uint64_t id)
{
    for (guint i = 0; i < s->leases->len; i++)
        if (g_array_index(s->leases, st_lease, i).id == id)
            return &g_array_index(s->leases, st_lease, i);
    return NULL;
}

bool st_lease_renew(st_state *s, uint64_t id, double now)
{
    st_lease *l = lease(s, id);
    if (!l)
        return false;
    l->until = now + l->ttl;
    return true;
}

void st_state_expire(st_state *s, double now)
{
    for (guint i = s->leases->len; i-- > 0;) {
        st_lease l = g_array_index(s->leases, st_lease, i);
        if (now < l.until)
            continue;
        g_array_remove_index(s->leases, i);
        g_autoptr(GList) keys = g_hash_table_get_values(s->items);
        s->epoch++;
        for (GList *k = keys; k; k = k->next) {
            st_item *item = k->data;
            if (item->hold != l.id)
                continue;
            g_autofree char *key = g_strdup(item->key);
            put(s, key, NULL, 0);
        }
    }
}

void st_state_extend(st_state *s, double now)
{
    for (guint i = 0; i < s->leases->len; i++) {
        st_lease *l = &g_array_index(s->leases, st_lease, i);
        l->until = now + l->ttl;
    }
}

const st_item *st_get(const st_state *s, const char *key)
{
    return g_hash_table_lookup(s->items, key);
}

/* As JSON, the form in which limits are counted. */
static size_t counted(const msgpack_object *o)
{
    char number[40];
    size_t n = 2;
    switch (o->type) {
    case MSGPACK_OBJECT_STR:
        return n + o->via.str.size;
    case MSGPACK_OBJECT_ARRAY:
        for (uint32_t i = 0; i < o->via.array.size; i++)
            n += counted(&o->via.array.ptr[i]) + 1;
        return n;
    case MSGPACK_OBJECT_MAP:
        for (uint32_t i = 0; i < o->via.map.size; i++)
            n += counted(&o->via.map.ptr[i].key) + counted(&o->via.map.ptr[i].val) + 2;
        return n;
    case MSGPACK_OBJECT_FLOAT32:
    case MSGPACK_OBJECT_FLOAT64:
        return (size_t)g_snprintf(number, sizeof number, "%.15g", o->via.f64) + 2;
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
        return (size_t)g_snprintf(number, sizeof number, "%" G_GUINT64_FORMAT, o->via.u64);
    default:
        return 5;
    }
}

static bool too_large(st_state *s, const GArray *conds, const GArray *changes)
{
    g_strlcpy(s->too_large, "", sizeof s->too_large);
    if (s->txn_ops && (changes->len > s->txn_ops || conds->len > 4 * s->txn_ops))
        g_snprintf(s->too_large, sizeof s->too_large, "%u changes, %u conditions, first of %s",
                   changes->len, conds->len, g_array_index(conds, mv_cond, 0).key);
    for (guint i = 0; s->value_bytes && i < changes->len; i++) {
        const mv_change *ch = &g_array_index(changes, mv_change, i);
        if (!ch->data)
            continue;
        gsize n;
        const void *p = g_bytes_get_data(ch->data, &n);
        g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
        if (counted(mv_doc_root(doc)) > s->value_bytes)
            g_strlcpy(s->too_large, ch->key, sizeof s->too_large);
    }
    return s->too_large[0] != 0;
}

int st_txn(st_state *s, const GArray *conds, const GArray *changes, uint64_t hold)
{
    for (guint i = 0; i < changes->len; i++) {
        const mv_change *ch = &g_array_index(changes, mv_change, i);
        if (ch->data && ch->held && !lease(s, hold))
            return 400;
    }
    if (too_large(s, conds, changes))
        return 413;
    for (guint i = 0; i < conds->len; i++) {
        const mv_cond *c = &g_array_index(conds, mv_cond, i);
        const st_item *have = st_get(s, c->key);
        if ((have ? have->stamp : 0) != c->stamp)
            return 409;
    }
    if (changes->len)
        s->epoch++;
    for (guint i = 0; i < changes->len; i++) {
        const mv_change *ch = &g_array_index(changes, mv_change, i);
        put(s, ch->key, ch->data, ch->held ? hold : 0);
    }
    return 200;
}

/* --- cloud --- */

static void clear_type(gpointer p)
{
    g_free(((mv_type *)p)->zones);
}

GArray *st_types_new(void)
{
    GArray *types = g_array_new(FALSE, TRUE, sizeof(mv_type));
    g_array_set_clear_func(types, clear_type);
    return types;
}

void st_types_add(GArray *types, const char *name, mv_type type)
{
    g_strlcpy(type.name, name, sizeof type.name);
    type.n_zones = 1;
    type.zones = g_malloc0(MV_NAME_SIZE);
    g_strlcpy(type.zones[0], "z", MV_NAME_SIZE);
    g_array_append_val(types, type);
}

void st_types_second_zone(GArray *types)
{
    for (guint i = 0; i < types->len; i++) {
        mv_type *t = &g_array_index(types, mv_type, i);
        t->n_zones = 2;
        t->zones = g_realloc(t->zones, 2 * MV_NAME_SIZE);
        g_strlcpy(t->zones[1], "y", MV_NAME_SIZE);
    }
}

/* --- workers --- */

st_worker *st_worker_new(const char *id, const char *type_name, bool spot, double lease_s)
{
    st_worker *w = g_new0(st_worker, 1);
    g_strlcpy(w->id, id, sizeof w->id);
    g_strlcpy(w->type_name, type_name, sizeof w->type_name);
    g_strlcpy(w->zone_name, "z", sizeof w->zone_name);
    w->spot = spot;
    w->session = 1;
    w->lease_s = lease_s;
    w->tasks = g_ptr_array_new_with_free_func(g_free);
    w->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return w;
}

void st_worker_free(gpointer p)
{
    st_worker *w = p;
    g_ptr_array_unref(w->tasks);
    g_hash_table_unref(w->images);
    g_free(w);
}

void st_worker_run(st_worker *w, double now)
{
    if (now > w->lease_from + w->lease_s) {
        w->session++;
        w->lease_from = now;
        w->changed = true;
        g_ptr_array_set_size(w->tasks, 0);
    }
    for (guint i = 0; i < w->tasks->len; i++) {
        st_task *t = g_ptr_array_index(w->tasks, i);
        if (t->status == ST_ENDED || now < t->until)
            continue;
        w->changed = true;
        t->status = ST_ENDED;
        if (t->cause == MV_WHY_NONE)
            t->cause = MV_WHY_DONE;
    }
}

void st_worker_report(st_worker *w, double now, mv_report *out)
{
    memset(out, 0, sizeof *out);
    g_strlcpy(out->host, w->id, sizeof out->host);
    g_strlcpy(out->address, w->address, sizeof out->address);
    g_strlcpy(out->type_name, w->type_name, sizeof out->type_name);
    g_strlcpy(out->zone_name, w->zone_name, sizeof out->zone_name);
    out->spot = w->spot;
    out->session = w->session;
    out->sequence = ++w->sequence;
    out->token = w->token;
    out->notice_s = w->notice_at > 0 ? MAX(w->notice_at - now, 0) : -1;
    out->tasks = g_new0(mv_task, w->tasks->len + 1);
    for (guint i = 0; i < w->tasks->len; i++) {
        const st_task *t = g_ptr_array_index(w->tasks, i);
        mv_task *p = &out->tasks[out->n_tasks++];
        g_strlcpy(p->job, t->job, sizeof p->job);
        p->index = t->index;
        p->attempt = t->attempt;
        p->status = t->status == ST_ENDED ? MV_ENDED : t->saving ? MV_SAVING : MV_RUNNING;
        p->cause = t->status == ST_ENDED ? t->cause : MV_WHY_NONE;
    }
    w->changed = false;
}

static st_task *find_task(st_worker *w, const mv_order *o, bool *same)
{
    st_task *other = NULL;
    for (guint i = 0; i < w->tasks->len; i++) {
        st_task *t = g_ptr_array_index(w->tasks, i);
        if (t->index != o->index || strcmp(t->job, o->job) != 0)
            continue;
        if (t->attempt == o->attempt) {
            *same = true;
            return t;
        }
        if (t->status != ST_ENDED)
            other = t;
    }
    *same = false;
    return other;
}

static void launch(st_worker *w, const mv_order *o, double now, st_facts facts, void *ctx)
{
    bool same;
    const st_task *old = find_task(w, o, &same);
    if (old && same)
        return;
    st_task_facts f = facts(ctx, o->job, o->index);
    st_task *t = g_new0(st_task, 1);
    g_strlcpy(t->job, o->job, sizeof t->job);
    t->index = o->index;
    t->attempt = o->attempt;
    t->status = ST_ENDED;
    t->cores = f.cores;
    t->ram_gb = f.ram_gb;
    t->save_s = f.save_s;
    g_ptr_array_add(w->tasks, t);
    w->changed = true;
    if (!f.known) {
        t->cause = MV_WHY_UNKNOWN;
    } else if (old) {
        t->cause = MV_WHY_BUSY;
    } else {
        double cores = 0;
        for (guint i = 0; i < w->tasks->len; i++) {
            const st_task *x = g_ptr_array_index(w->tasks, i);
            cores += x->status != ST_ENDED ? x->cores : 0;
        }
        if (cores + f.cores > 16 + 1e-6) {
            t->cause = MV_WHY_NO_ROOM;
        } else {
            t->status = ST_RUNNING;
            t->cause = f.fails ? MV_WHY_ERROR : MV_WHY_NONE;
            t->began = now;
            t->until = now + (f.fails ? 0.5 : f.run_s);
        }
    }
}

/* A task that saves is gone only once it has, unless it gets no time for that. */
static void stop(st_task *t, double wind_down, double now)
{
    t->cause = MV_WHY_STOPPED;
    if (t->save_s <= 0 || wind_down < t->save_s) {
        t->status = ST_ENDED;
    } else if (!t->saving) {
        t->saving = true;
        t->until = now + t->save_s;
    }
}

void st_worker_orders(st_worker *w, const GArray *orders, double now, st_facts facts, void *ctx)
{
    for (guint i = 0; orders && i < orders->len; i++) {
        const mv_order *o = &g_array_index(orders, mv_order, i);
        bool same;
        st_task *t = find_task(w, o, &same);
        if (o->verb == MV_LAUNCH) {
            launch(w, o, now, facts, ctx);
        } else if (t && same && o->verb == MV_STOP && t->status != ST_ENDED) {
            stop(t, o->wind_down_s, now);
            w->changed = true;
        } else if (t && same && o->verb == MV_CLEAR && t->status == ST_ENDED) {
            g_ptr_array_remove(w->tasks, t);
        }
    }
}

bool st_worker_answer(st_worker *w, uint64_t session, double sent, uint64_t token,
                      const GArray *orders, double now, st_facts facts, void *ctx)
{
    st_worker_run(w, now);
    if (session != w->session || token < w->token)
        return false;
    if (token > w->token)
        w->changed = true;
    w->token = token;
    w->lease_from = MAX(w->lease_from, sent);
    st_worker_orders(w, orders, now, facts, ctx);
    return true;
}

void st_worker_restart(st_worker *w, double now)
{
    g_ptr_array_set_size(w->tasks, 0);
    w->session++;
    w->lease_from = now;
    w->changed = true;
}

int st_worker_command(st_worker *w, uint64_t token, uint64_t session, const GArray *orders,
                      double now, st_facts facts, void *ctx)
{
    st_worker_run(w, now);
    if (token < w->token || session != w->session)
        return 409;
    if (token > w->token)
        w->changed = true;
    w->token = token;
    st_worker_orders(w, orders, now, facts, ctx);
    return 200;
}
