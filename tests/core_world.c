#include "core_world.h"

#include "protocol/names.h"

#include <string.h>

void world_record(world *w, const char *key, GBytes *data)
{
    mv_core_record(w->core, w->now, key, data, ++w->stamp);
    if (data)
        g_bytes_unref(data);
}

static mv_settings *settings(void)
{
    mv_settings *c = g_new0(mv_settings, 1);
    g_strlcpy(c->node_name, "n0", sizeof c->node_name);
    c->count = 3;
    c->n_teams = 1;
    c->teams = g_new0(mv_team, 1);
    g_strlcpy(c->teams[0].name, "a", MV_NAME_SIZE);
    c->report_s = 5;
    c->lease_s = 27;
    c->cancel_s = 47;
    c->state_rps = 120;
    c->state_write_rps = 25;
    c->value_kb = 8;
    c->txn_ops = 12;
    c->cloud_rps = 5;
    c->list_lag_s = 8;
    c->tune = (mv_tunables){.image_wait_s = MV_IMAGE_WAIT_S,
                            .block_lease_s = MV_BLOCK_LEASE_S,
                            .idle_return_s = MV_IDLE_RETURN_S,
                            .boot_factor = MV_BOOT_FACTOR,
                            .shards = 1};
    return c;
}

GArray *world_types(void)
{
    GArray *out = st_types_new();
    mv_type t = {.cores = 64,
                 .ram_gb = 256,
                 .local_gb = 60,
                 .pull_rate = 0.8,
                 .rate = 1,
                 .market = 0.3,
                 .ready_s = 30};
    st_types_add(out, "big", t);
    t.cores = 32;
    t.ram_gb = 64;
    st_types_add(out, "small", t);
    return out;
}

void world_machine_id(unsigned i, char *out, size_t size)
{
    g_snprintf(out, size, "vm-%06u", i);
}

void world_blocks(world *w)
{
    for (unsigned part = 0; part * 40 < w->machines; part++) {
        g_autoptr(GArray) members = g_array_new(FALSE, TRUE, sizeof(mv_member));
        mv_out *used = mv_out_new();
        unsigned n = MIN(40, w->machines - part * 40);
        mv_put_map(used, 1);
        mv_put_text(used, R_MACHINES);
        mv_put_list(used, 2 * n);
        for (unsigned k = 0; k < n; k++) {
            mv_member m = {.spot = true, .at = 1e6};
            world_machine_id(part * 40 + k, m.id, sizeof m.id);
            g_snprintf(m.address, sizeof m.address, "10.1.0.1:%u", 1000 + part * 40 + k);
            g_strlcpy(m.type_name, k % 4 ? "small" : "big", sizeof m.type_name);
            g_strlcpy(m.zone_name, "z", sizeof m.zone_name);
            g_array_append_val(members, m);
            mv_put_text(used, m.id);
            mv_put_text(used, m.address);
        }
        char key[MV_KEY_SIZE];
        g_snprintf(key, sizeof key, K_BLOCK "0/%u", part);
        world_record(w, key, mv_block_pack(members));
        g_snprintf(key, sizeof key, K_USED "0/%u", part);
        world_record(w, key, mv_out_take(used));
    }
}

void world_put_job(world *w, mv_job spec, const char *id, const char *class_name,
                   const char *image_name)
{
    char key[MV_KEY_SIZE];
    g_strlcpy(spec.id, id, sizeof spec.id);
    g_strlcpy(spec.class_name, class_name, sizeof spec.class_name);
    g_strlcpy(spec.team_name, "a", sizeof spec.team_name);
    g_strlcpy(spec.image_name, image_name, sizeof spec.image_name);
    spec.due_s = -1;
    g_snprintf(key, sizeof key, K_JOB "%s", id);
    world_record(w, key, mv_accepted_pack(&spec, 0, 1e6));
}

void world_add_job(world *w, unsigned i, double cores)
{
    mv_job spec = {.urgency = cores > 8 ? MV_STANDARD : MV_HIGH,
                   .tasks = TASKS,
                   .cores = cores,
                   .ram_gb = cores,
                   .pull_gb = 2,
                   .spot = true,
                   .guess_s = 30};
    g_autofree char *id = g_strdup_printf("j-%06u", i);
    g_autofree char *image = g_strdup_printf("img-%u", i % 7);
    world_put_job(w, spec, id, cores > 8 ? "refresh" : "rush", image);
}

void world_grant(world *w, uint64_t term)
{
    mv_holder h = {.incarnation = 7, .term = term};
    g_strlcpy(h.node, "n0", sizeof h.node);
    world_record(w, K_NODE "n0", mv_holder_pack(&h));
    h.teams = g_ptr_array_new();
    g_ptr_array_add(h.teams, "a");
    world_record(w, K_SHARD "0", mv_holder_pack(&h));
    g_ptr_array_unref(h.teams);
}

void world_start(world *w)
{
    w->conf = settings();
    w->conf->n_peers = 2;
    w->conf->peers = g_new0(mv_sibling, 2);
    g_strlcpy(w->conf->peers[0].name, "n1", MV_NAME_SIZE);
    g_strlcpy(w->conf->peers[1].name, "n2", MV_NAME_SIZE);
    w->conf->tune.launch_gate = w->launch_gate;
    w->core = mv_core_new(w->conf);
    w->now += 1;
    mv_core_tick(w->core, w->now, 1e6 + w->now);
    mv_core_session(w->core, w->now, 7, w->now);
    mv_core_types(w->core, w->now, world_types());
}

static void find(world *w, unsigned i, const char *job, uint32_t task, int *at)
{
    *at = -1;
    for (guint k = 0; k < w->tasks[i]->len; k++) {
        const mv_task *p = &g_array_index(w->tasks[i], mv_task, k);
        if (p->index == task && strcmp(p->job, job) == 0)
            *at = (int)k;
    }
}

void world_obey(world *w, unsigned i, const GArray *orders)
{
    for (guint k = 0; orders && k < orders->len; k++) {
        const mv_order *o = &g_array_index(orders, mv_order, k);
        int at;
        find(w, i, o->job, o->index, &at);
        char *name = g_strdup_printf("%s/%u", o->job, o->index);
        if (o->verb == MV_LAUNCH && at < 0) {
            mv_task p = {.index = o->index, .attempt = o->attempt, .status = MV_RUNNING};
            g_strlcpy(p.job, o->job, sizeof p.job);
            g_array_append_val(w->tasks[i], p);
            w->launches++;
            if (g_hash_table_contains(w->on, name))
                g_error("ran_twice %s", name);
            g_hash_table_insert(w->on, g_strdup(name), g_memdup2(&w->now, sizeof w->now));
            if (w->watched && strcmp(o->job, w->watched) == 0 && w->first_start == 0)
                w->first_start = w->now;
        } else if (o->verb == MV_STOP && at >= 0) {
            w->stops++;
            w->wind_down = o->wind_down_s;
            g_array_index(w->tasks[i], mv_task, at).status = MV_ENDED;
            g_array_index(w->tasks[i], mv_task, at).cause = MV_WHY_STOPPED;
            g_hash_table_remove(w->on, name);
        } else if (o->verb == MV_CLEAR && at >= 0) {
            g_array_remove_index(w->tasks[i], (guint)at);
        }
        g_free(name);
    }
}

static void end_tasks(world *w, unsigned i)
{
    for (guint k = 0; w->run_s > 0 && k < w->tasks[i]->len; k++) {
        mv_task *p = &g_array_index(w->tasks[i], mv_task, k);
        g_autofree char *name = g_strdup_printf("%s/%u", p->job, p->index);
        const double *began = g_hash_table_lookup(w->on, name);
        if (p->status == MV_ENDED || !began || w->now < *began + w->run_s)
            continue;
        p->status = MV_ENDED;
        p->cause = MV_WHY_DONE;
        g_hash_table_remove(w->on, name);
    }
}

void world_report(world *w, unsigned i, mv_report *r)
{
    end_tasks(w, i);
    memset(r, 0, sizeof *r);
    world_machine_id(i, r->host, sizeof r->host);
    g_snprintf(r->address, sizeof r->address, "10.1.0.1:%u", 1000 + i);
    g_strlcpy(r->type_name, i % 40 % 4 ? "small" : "big", sizeof r->type_name);
    g_strlcpy(r->zone_name, "z", sizeof r->zone_name);
    r->spot = true;
    r->session = 1;
    r->sequence = ++w->ticks[i];
    r->token = w->token[i];
    r->notice_s = w->with_notice == i + 1 ? 15 : -1;
    r->n_tasks = w->tasks[i]->len;
    r->tasks = g_new0(mv_task, r->n_tasks + 1);
    if (r->n_tasks)
        memcpy(r->tasks, w->tasks[i]->data, r->n_tasks * sizeof(mv_task));
}

static bool is_dead(const world *w, const char *name)
{
    char dead[MV_NAME_SIZE];
    world_machine_id(w->dead - 1, dead, sizeof dead);
    return w->dead && strcmp(name, dead) == 0;
}

static void give_up_commands(world *w)
{
    for (guint n = g_queue_get_length(w->unanswered); n > 0; n--) {
        unanswered_command *u = g_queue_pop_head(w->unanswered);
        if (w->now < u->until) {
            g_queue_push_tail(w->unanswered, u);
            continue;
        }
        mv_core_command_done(w->core, w->now, u->id, 0, NULL);
        g_free(u);
    }
}

void world_drain(world *w)
{
    mv_action *a;
    while ((a = mv_core_next(w->core))) {
        GQueue *held = a->kind == MV_ACT_COMMAND ? w->held
                       : a->kind == MV_ACT_TXN   ? w->held_txns
                                                 : NULL;
        if (held) {
            g_queue_push_tail(held, a);
            continue;
        }
        if (a->kind == MV_ACT_COMMAND && is_dead(w, a->machine)) {
            unanswered_command u = {.id = a->id, .until = w->now + a->timeout_ms / 1000.0};
            g_queue_push_tail(w->unanswered, g_memdup2(&u, sizeof u));
        } else if (a->kind == MV_ACT_COMMAND) {
            unsigned i = (unsigned)g_ascii_strtoull(a->machine + 3, NULL, 10);
            mv_report r;
            w->token[i] = MAX(w->token[i], a->token);
            world_obey(w, i, a->orders);
            world_report(w, i, &r);
            w->commands++;
            mv_core_command_done(w->core, w->now, a->id, 200, &r);
            mv_report_clear(&r);
        } else if (a->kind == MV_ACT_TXN) {
            mv_core_txn_done(w->core, w->now, a->id, MV_TXN_OK);
        }
        mv_action_free(a);
    }
}

void world_renew(world *w, double seconds)
{
    w->now += seconds;
    mv_core_session(w->core, w->now, 7, w->now);
    mv_core_followed(w->core, w->now, w->now);
}

void world_pass(world *w, double seconds)
{
    double tick_s = w->tick_s > 0 ? w->tick_s : 0.1;
    double share = w->machines * tick_s / w->report_s; /* reports between two ticks */
    for (double until = w->now + seconds - 1e-9; w->now < until;) {
        world_renew(w, tick_s);
        mv_core_tick(w->core, w->now, 1e6 + w->now);
        give_up_commands(w);
        world_drain(w);
        for (w->due += share; w->due >= 1; w->due--) {
            unsigned i = w->next++ % w->machines;
            if (w->dead == i + 1)
                continue;
            mv_report r;
            mv_report_answer a;
            world_report(w, i, &r);
            mv_core_report(w->core, w->now, &r, &a);
            if (a.status == 200 && a.token >= w->token[i]) {
                w->token[i] = a.token;
                world_obey(w, i, a.orders);
            }
            if (a.orders)
                g_array_unref(a.orders);
            mv_report_clear(&r);
            world_drain(w);
        }
    }
}

unsigned world_report_once(world *w, mv_verb verb, const char *job)
{
    mv_report r;
    mv_report_answer a;
    unsigned n = 0;
    world_renew(w, 1);
    world_report(w, 0, &r);
    mv_core_report(w->core, w->now, &r, &a);
    g_assert_cmpint(a.status, ==, 200);
    for (guint i = 0; i < a.orders->len; i++) {
        const mv_order *o = &g_array_index(a.orders, mv_order, i);
        n += o->verb == verb && strcmp(o->job, job) == 0;
    }
    world_obey(w, 0, a.orders);
    g_array_unref(a.orders);
    mv_report_clear(&r);
    world_drain(w);
    return n;
}

void world_make(world *w)
{
    w->on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    w->unanswered = g_queue_new();
    for (unsigned i = 0; i < w->machines; i++)
        w->tasks[i] = g_array_new(FALSE, TRUE, sizeof(mv_task));
}

void world_hold_fleet(world *w)
{
    world_make(w);
    world_start(w);
    world_grant(w, 5);
    world_blocks(w);
    mv_core_synced(w->core, w->now);
}

void world_free(world *w)
{
    mv_core_free(w->core);
    mv_settings_free(w->conf);
    for (unsigned i = 0; i < w->machines; i++)
        g_array_unref(w->tasks[i]);
    g_hash_table_unref(w->on);
    g_queue_free_full(w->unanswered, g_free);
}

void world_shard(world *w, const char *key, const char *node, uint64_t inc, uint64_t term)
{
    mv_holder h = {.incarnation = inc, .term = term};
    g_strlcpy(h.node, node, sizeof h.node);
    h.teams = g_ptr_array_new();
    g_ptr_array_add(h.teams, "a");
    world_record(w, key, mv_holder_pack(&h));
    g_ptr_array_unref(h.teams);
}

void world_lead(world *w, unsigned controllers)
{
    mv_holder leader = {.node = "n0", .incarnation = 7, .term = 3};
    world_record(w, K_TERM, mv_counter_pack(9));
    world_record(w, K_LEADER, mv_holder_pack(&leader));
    for (unsigned i = 0; i < controllers; i++) {
        mv_holder h = {.incarnation = 7 + i};
        char key[MV_KEY_SIZE];
        g_snprintf(h.node, sizeof h.node, "n%u", i);
        g_snprintf(key, sizeof key, K_NODE "%s", h.node);
        world_record(w, key, mv_holder_pack(&h));
        g_snprintf(key, sizeof key, K_SHARD "%u", i);
        world_shard(w, key, h.node, 7 + i, 4 + i);
    }
}

void world_apply(world *w, const mv_action *a)
{
    for (guint i = 0; i < a->changes->len; i++) {
        const mv_change *ch = &g_array_index(a->changes, mv_change, i);
        world_record(w, ch->key, ch->data ? g_bytes_ref(ch->data) : NULL);
    }
    mv_core_txn_done(w->core, w->now, a->id, MV_TXN_OK);
}

mv_demand *world_offer(uint64_t term, uint64_t stamp)
{
    mv_demand *d = g_new0(mv_demand, 1);
    g_strlcpy(d->node, "n1", sizeof d->node);
    d->incarnation = 8;
    d->term = term;
    d->shard = 1;
    d->wants = g_array_new(FALSE, TRUE, sizeof(mv_want));
    d->notes = g_array_new(FALSE, TRUE, sizeof(mv_note));
    mv_note n = {.up = true, .heard = true, .idle_s = 5, .offer = stamp};
    g_strlcpy(n.id, "vm-000001", sizeof n.id);
    g_array_append_val(d->notes, n);
    return d;
}

uint64_t txn_condition(const mv_action *a, const char *key)
{
    for (guint i = 0; i < a->conds->len; i++)
        if (strcmp(g_array_index(a->conds, mv_cond, i).key, key) == 0)
            return g_array_index(a->conds, mv_cond, i).stamp;
    return 0;
}

const char *world_holder(world *w, unsigned shard)
{
    return ((struct shard *)g_ptr_array_index(w->core->shards, shard))->holder.node;
}

void world_part(world *w, unsigned part, unsigned from, unsigned n)
{
    char key[MV_KEY_SIZE];
    g_autoptr(GArray) members = g_array_new(FALSE, TRUE, sizeof(mv_member));
    for (unsigned i = from; i < from + n; i++) {
        mv_member m = {.type_name = "small", .zone_name = "z", .spot = true, .at = 1e6};
        world_machine_id(i, m.id, sizeof m.id);
        g_snprintf(m.address, sizeof m.address, "10.1.0.1:%u", 1000 + i);
        g_array_append_val(members, m);
    }
    g_snprintf(key, sizeof key, K_BLOCK "0/%u", part);
    world_record(w, key, mv_block_pack(members));
}

unsigned world_running_on(const world *w, unsigned i)
{
    unsigned n = 0;
    for (guint k = 0; k < w->tasks[i]->len; k++)
        n += g_array_index(w->tasks[i], mv_task, k).status == MV_RUNNING;
    return n;
}
