/* What the core writes and how it reads it: blocks in parts, moves, limits, formats. */
#include "core_world.h"

#include "protocol/names.h"

#include <string.h>

mv_guard mv_broken_guard = MV_GUARD_NONE;

/* A machine moves only while the record of its use, the grant of the block it leaves and both
 * blocks are what they were when it was offered; a demand under an earlier grant offers nothing. */
static void move_is_conditional(void)
{
    world w = {.machines = 0, .report_s = 1};
    world_make(&w);
    world_start(&w);
    world_lead(&w, 2);
    uint64_t grant = w.stamp;
    g_autoptr(GArray) members = g_array_new(FALSE, TRUE, sizeof(mv_member));
    mv_member m = {
        .id = "vm-000001", .type_name = "small", .zone_name = "z", .spot = true, .at = 1e6};
    g_array_append_val(members, m);
    world_record(&w, K_BLOCK "1/0", mv_block_pack(members));
    uint64_t block = w.stamp;
    mv_out *used = mv_out_new();
    mv_put_map(used, 1);
    mv_put_text(used, R_MACHINES);
    mv_put_list(used, 2);
    mv_put_text(used, "vm-000001");
    mv_put_text(used, "10.1.0.1:1001");
    world_record(&w, K_USED "1/0", mv_out_take(used));
    uint64_t use = w.stamp;
    world_add_job(&w, 1, 16);
    mv_core_synced(w.core, w.now);
    unsigned moves = 0;
    for (int i = 0; i < 40; i++) {
        bool stale = i < 20; /* at first what was said under an earlier grant */
        world_renew(&w, 0.1);
        mv_core_demand(w.core, w.now, world_offer(stale ? 4 : 5, use));
        mv_core_tick(w.core, w.now, 1e6 + w.now);
        mv_action *a;
        while ((a = mv_core_next(w.core))) {
            if (a->kind == MV_ACT_TXN && txn_condition(a, K_BLOCK "1/0")) {
                g_assert_false(stale);
                g_assert_cmpuint(txn_condition(a, K_BLOCK "1/0"), ==, block);
                g_assert_cmpuint(txn_condition(a, K_USED "1/0"), ==, use);
                g_assert_cmpuint(txn_condition(a, K_SHARD "1"), ==, grant);
                moves++;
            }
            if (a->kind == MV_ACT_RENT) /* nothing else is to be had */
                mv_core_rent_done(w.core, w.now, a->id, NULL, true);
            mv_action_free(a);
        }
    }
    g_assert_cmpuint(moves, >, 0);
    world_free(&w);
}

/* Six parts with a machine to be fenced off, and one too large to be written again, all at once: a
 * slice that is split off must leave room for the new term. */
static void split_beside_fences(void)
{
    world w = {.machines = 0, .report_s = 1};
    world_make(&w);
    world_start(&w);
    world_lead(&w, 1);
    w.conf->count = 1;
    ((node_entry *)g_hash_table_lookup(w.core->nodes, "n0"))->format = MV_FORMAT;
    w.core->ops = 8;
    w.core->value_bytes = 2048;
    for (unsigned part = 0; part < 6; part++)
        world_part(&w, part, 10 * part, 5);
    world_part(&w, 6, 100, 40);
    mv_core_synced(w.core, w.now);
    shard *s = g_ptr_array_index(w.core->shards, 0);
    w.now += 5; /* the news of the block is old */
    mv_core_tick(w.core, w.now, 1e6 + w.now);
    mv_action *a;
    while ((a = mv_core_next(w.core)))
        mv_action_free(a);
    mv_core_session(w.core, w.now, 7, w.now);
    for (guint p = 0; p < 7; p++) {
        machine *m = g_ptr_array_index(mv_block_part(s, p)->members, 0);
        m->note.fence = p < 6;
        m->note_at = w.now;
        m->released = p == 6;
    }
    for (guint i = 0; i < mv_block_part(s, 6)->members->len; i++) /* so its use moves along */
        ((machine *)g_ptr_array_index(mv_block_part(s, 6)->members, i))->used = true;
    s->block_txn = w.core->term_txn = (txn_slot){0};
    mv_block_settle(w.core, s);
    unsigned largest = 0, split = 0;
    for (int i = 0; i < 4; i++) {
        g_assert_true(mv_block_change(w.core, s));
        while ((a = mv_core_next(w.core))) {
            largest = MAX(largest, a->changes->len);
            for (guint k = 0; k < a->changes->len; k++)
                split += strcmp(g_array_index(a->changes, mv_change, k).key, K_BLOCK "0/7") == 0;
            g_assert_cmpuint(a->changes->len, <=, 8);
            world_apply(&w, a);
            mv_action_free(a);
        }
        w.now += 1;
        mv_core_followed(w.core, w.now, w.now);
        w.core->now = w.now;
        mv_block_settle(w.core, s);
    }
    g_assert_cmpuint(largest, >=, 7); /* six parts and the term */
    g_assert_cmpuint(split, >, 0);    /* and the slice after all */
    world_free(&w);
}

/* 100,000 tasks where a value holds 1 KiB: progress in small records, all within the limits, read
 * back by another controller; what the end has no room for is swept up. */
static void progress_of_a_large_job(void)
{
    world w = {.machines = 0, .report_s = 1};
    world_make(&w);
    world_start(&w);
    mv_core_free(w.core);
    w.conf->value_kb = 1;
    w.conf->txn_ops = 4;
    w.core = mv_core_new(w.conf);
    mv_core_tick(w.core, w.now, 1e6 + w.now);
    mv_core_session(w.core, w.now, 7, w.now);
    world_lead(&w, 1);
    mv_job spec = {.tasks = MV_MAX_TASKS, .cores = 1, .ram_gb = 1, .guess_s = 1};
    world_put_job(&w, spec, "j-000001", "l", "i");
    mv_core_synced(w.core, w.now);
    job *j = g_hash_table_lookup(w.core->jobs, "j-000001");
    for (uint32_t i = 0; i < MV_MAX_TASKS; i += 3)
        mv_task_done(w.core, j, i);
    unsigned written = 0, removed = 0;
    for (int i = 0; i < 400; i++) {
        if (i == 200) /* over: every record has to go */
            world_record(&w, K_JOB "j-000001", NULL);
        world_renew(&w, 0.5);
        mv_core_tick(w.core, w.now, 1e6 + w.now);
        mv_action *a;
        while ((a = mv_core_next(w.core))) {
            if (a->kind == MV_ACT_TXN) {
                g_assert_cmpuint(a->changes->len, <=, 4);
                g_assert_cmpuint(a->conds->len, <=, 16);
                for (guint k = 0; k < a->changes->len; k++) {
                    const mv_change *ch = &g_array_index(a->changes, mv_change, k);
                    g_assert_true(!ch->data || g_bytes_get_size(ch->data) <= 1024);
                    bool progress = g_str_has_prefix(ch->key, K_PROGRESS);
                    written += progress && ch->data;
                    removed += progress && !ch->data;
                }
                world_apply(&w, a);
            }
            mv_action_free(a);
        }
        if (i == 199) {
            g_assert_cmpuint(j->n_stored, ==, (MV_MAX_TASKS + 2) / 3);
            g_assert_cmpuint(g_hash_table_size(j->progress), ==, written);
        }
    }
    g_assert_cmpuint(written, ==, (MV_MAX_TASKS + MV_CHUNK_SMALL - 1) / MV_CHUNK_SMALL);
    g_assert_cmpuint(removed, ==, written);
    g_assert_cmpuint(g_hash_table_size(w.core->orphans), ==, 0);
    world_free(&w);
}

/* A job whose list of types makes its record too large keeps those that exist. */
static void long_lists_of_types(void)
{
    world w = {.machines = 0, .report_s = 1};
    world_make(&w);
    world_start(&w);
    w.core->value_bytes = 1024;
    mv_job j = {.tasks = 1, .cores = 1, .n_type_names = 200};
    g_strlcpy(j.id, "j-000001", sizeof j.id);
    j.type_names = g_malloc0_n(j.n_type_names, MV_NAME_SIZE);
    for (size_t i = 0; i < j.n_type_names; i++)
        g_snprintf(j.type_names[i], MV_NAME_SIZE, "type-%zu", i);
    g_strlcpy(j.type_names[7], "small", MV_NAME_SIZE);
    g_strlcpy(j.type_names[150], "big", MV_NAME_SIZE);
    g_strlcpy(j.type_names[151], "big", MV_NAME_SIZE);
    g_assert_true(mv_core_fit_record(w.core, &j));
    g_assert_cmpuint(j.n_type_names, ==, 2);
    g_assert_cmpstr(j.type_names[0], ==, "small");
    g_assert_cmpstr(j.type_names[1], ==, "big");
    g_strlcpy(j.type_names[0], "nowhere", MV_NAME_SIZE);
    g_strlcpy(j.type_names[1], "nowhere", MV_NAME_SIZE);
    w.core->value_bytes = 100;
    g_assert_false(mv_core_fit_record(w.core, &j));
    mv_job_clear(&j);
    world_free(&w);
}

static void node_record(world *w, const char *name, unsigned format)
{
    char key[MV_KEY_SIZE];
    mv_holder h = {.incarnation = 20, .format = format};
    g_strlcpy(h.node, name, sizeof h.node);
    g_snprintf(key, sizeof key, K_NODE "%s", name);
    world_record(w, key, mv_holder_pack(&h));
}

/* Services wait until every controller was seen to be new; who is away counts as old unless it said
 * otherwise before; one that was put back to the old version closes the gate again. */
static void gate_of_versions(void)
{
    world w = {.machines = 0, .report_s = 1};
    world_make(&w);
    world_start(&w);
    node_record(&w, "n0", 2);
    node_record(&w, "n1", 2);
    g_assert_false(mv_core_all_new(w.core)); /* the third is away and unknown */
    node_record(&w, "n2", 0);
    g_assert_false(mv_core_all_new(w.core));
    node_record(&w, "n2", 2);
    g_assert_true(mv_core_all_new(w.core));
    world_record(&w, K_FORMAT "n2", mv_format_pack(2));
    world_record(&w, K_NODE "n2", NULL);
    g_assert_true(mv_core_all_new(w.core)); /* it comes back as what it was */
    node_record(&w, "n2", 0);
    g_assert_false(mv_core_all_new(w.core)); /* put back */
    node_record(&w, "n2", 9);
    g_assert_true(mv_core_all_new(w.core)); /* a later one reads ours */
    /* A job of a format to come is left alone. */
    mv_out *o = mv_out_new();
    mv_put_map(o, 2);
    mv_field_text(o, N_ID, "j-000009");
    mv_field_text(o, N_SHAPE, "swarm");
    w.stamp++;
    GBytes *later = mv_out_take(o);
    mv_core_record(w.core, w.now, K_JOB "j-000009", later, w.stamp);
    g_bytes_unref(later);
    mv_core_synced(w.core, w.now);
    mv_core_tick(w.core, w.now + 1, 1e6 + w.now);
    mv_action *a;
    while ((a = mv_core_next(w.core))) {
        for (guint i = 0; a->kind == MV_ACT_TXN && i < a->changes->len; i++)
            g_assert_cmpstr(g_array_index(a->changes, mv_change, i).key, !=, K_JOB "j-000009");
        mv_action_free(a);
    }
    world_free(&w);
}

/* A controller that reaches no machine hands its block on and gets no other for a while, though it
 * holds the fewest. */
static void cut_holder_is_left_out(void)
{
    world w = {.machines = 0, .report_s = 1};
    world_make(&w);
    world_start(&w);
    world_lead(&w, 3);
    mv_core_synced(w.core, w.now);
    bool handed_on = false;
    for (int i = 0; i < 500; i++) {
        world_renew(&w, 0.1);
        if (!handed_on) {
            mv_demand *d = world_offer(5, 0);
            d->resign = true;
            g_array_set_size(d->notes, 0);
            mv_core_demand(w.core, w.now, d);
        }
        mv_core_tick(w.core, w.now, 1e6 + w.now);
        mv_action *a;
        while ((a = mv_core_next(w.core))) {
            if (a->kind == MV_ACT_TXN)
                world_apply(&w, a);
            mv_action_free(a);
        }
        handed_on = handed_on || strcmp(world_holder(&w, 1), "n1") != 0;
        for (unsigned s = 0; s < 3 && handed_on; s++)
            g_assert_cmpstr(world_holder(&w, s), !=, "n1");
    }
    g_assert_true(handed_on);
    world_free(&w);
}

/* A part of a block that names four machines, of which the list of all records shows two: the part
 * was split after the page in which the new part would have been. How many tasks of machines that
 * seemed to have gone were given to others. */
static guint64 requeued_by_a_list(void)
{
    world w = {.machines = 4, .report_s = 1};
    world_make(&w);
    world_start(&w);
    world_grant(&w, 5);
    world_part(&w, 9, 0, 4);
    mv_core_synced(w.core, w.now);
    world_pass(&w, 1);
    for (unsigned i = 0; i < 4; i++) { /* as its holder records it */
        char name[MV_NAME_SIZE];
        world_machine_id(i, name, sizeof name);
        ((machine *)g_hash_table_lookup(w.core->machines, name))->used = true;
    }
    world_add_job(&w, 1, 2);
    world_pass(&w, 3);
    unsigned running = 0;
    for (unsigned i = 0; i < 4; i++)
        running += world_running_on(&w, i);
    g_assert_cmpuint(running, ==, TASKS);
    mv_core_listing(w.core, w.now);
    world_part(&w, 9, 0, 2); /* in a later page */
    uint64_t split = w.stamp;
    world_add_job(&w, 2, 2); /* and a newer record in one later still */
    mv_core_synced(w.core, w.now);
    mv_core_tick(w.core, w.now + 0.1, 1e6 + w.now);
    mv_core_counts counts;
    mv_core_counts_get(w.core, &counts);
    /* What was written along with it is followed only now. */
    w.now += 0.2;
    uint64_t newest = w.stamp;
    w.stamp = split - 1;
    world_part(&w, 10, 2, 2);
    w.stamp = newest;
    mv_core_followed(w.core, w.now, w.now);
    const machine *m = g_hash_table_lookup(w.core->machines, "vm-000003");
    g_assert_true(m && m->part == 10);
    world_free(&w);
    return counts.requeued;
}

static void list_amid_split(void)
{
    g_assert_cmpuint(requeued_by_a_list(), ==, 0);
    mv_broken_guard = MV_GUARD_LISTING;
    guint64 requeued = requeued_by_a_list();
    mv_broken_guard = MV_GUARD_NONE;
    g_assert_cmpuint(requeued, >, 0);
}

/* With an old controller about, whatever part is split: the new parts come after it in the order of
 * keys, in which a list is read, and the old part is the last to be written. */
static void new_parts_are_listed_later(void)
{
    for (unsigned part = 0; part < 12; part++) {
        world w = {.machines = 0, .report_s = 1};
        world_make(&w);
        world_start(&w);
        world_lead(&w, 1); /* its entry names no format */
        w.core->value_bytes = 2048;
        for (unsigned i = 0; i < 12; i++)
            world_part(&w, i, 50 * i, i == part ? 40 : 2);
        mv_core_synced(w.core, w.now);
        shard *s = g_ptr_array_index(w.core->shards, 0);
        mv_block_part(s, part)->dirty = true;
        g_assert_true(mv_block_change(w.core, s));
        char old_key[MV_KEY_SIZE];
        g_snprintf(old_key, sizeof old_key, K_BLOCK "0/%u", part);
        unsigned fresh = 0;
        bool old_written = false;
        mv_action *a;
        while ((a = mv_core_next(w.core))) {
            for (guint i = 0; a->kind == MV_ACT_TXN && i < a->changes->len; i++) {
                const char *key = g_array_index(a->changes, mv_change, i).key;
                if (!g_str_has_prefix(key, K_BLOCK))
                    continue;
                g_assert_false(old_written);
                old_written = strcmp(key, old_key) == 0;
                fresh += !old_written;
                g_assert_true(old_written || strcmp(key, old_key) > 0);
            }
            mv_action_free(a);
        }
        g_assert_true(old_written);
        g_assert_cmpuint(fresh, >, 0);
        world_free(&w);
    }
}

/* A machine is offered under the stamp of the record of its use; a list brings that record again.
 * Whether the machine may be given work while the leader may still move it. */
static bool used_after_repeat(void)
{
    world w = {.machines = 4, .report_s = 1};
    world_hold_fleet(&w);
    world_pass(&w, 3);
    machine *m = g_hash_table_lookup(w.core->machines, "vm-000001");
    uint64_t stamp = mv_block_part(m->shard, m->part)->used_stamp;
    g_assert_true(mv_usable(w.core, m));
    m->offer = stamp;
    mv_out *used = mv_out_new();
    mv_put_map(used, 1);
    mv_put_text(used, R_MACHINES);
    mv_put_list(used, 2);
    mv_put_text(used, m->id);
    mv_put_text(used, m->address);
    uint64_t newest = w.stamp;
    w.stamp = stamp - 1;
    world_record(&w, K_USED "0/0", mv_out_take(used));
    w.stamp = newest;
    bool usable = mv_usable(w.core, m);
    world_free(&w);
    return usable;
}

static void repeated_records(void)
{
    g_assert_false(used_after_repeat());
    mv_broken_guard = MV_GUARD_REPEATED;
    bool usable = used_after_repeat();
    mv_broken_guard = MV_GUARD_NONE;
    g_assert_true(usable);
}

#define TEAMS 60

/* Sixty teams where a value holds 1 KiB: no write of the first leader is too large, and every team
 * ends up in a shard. */
static void many_teams(void)
{
    world w = {.machines = 0, .report_s = 1};
    world_make(&w);
    world_start(&w);
    mv_core_free(w.core);
    g_free(w.conf->teams);
    w.conf->n_teams = TEAMS;
    w.conf->teams = g_new0(mv_team, TEAMS);
    for (unsigned i = 0; i < TEAMS; i++)
        g_snprintf(w.conf->teams[i].name, MV_NAME_SIZE, "coatings-lab-%02u", i);
    w.conf->value_kb = 1;
    w.conf->txn_ops = 8;
    w.conf->tune.shards = 3;
    w.core = mv_core_new(w.conf);
    st_state *state = st_state_new();
    state->value_bytes = 1024;
    state->txn_ops = 8;
    uint64_t lease = st_lease_open(state, 1e6, 0);
    mv_core_types(w.core, w.now, world_types());
    mv_core_session(w.core, w.now, 7, w.now);
    mv_core_synced(w.core, w.now);
    for (int i = 0; i < 100; i++) {
        w.now += 0.1;
        mv_core_session(w.core, w.now, 7, w.now);
        mv_core_tick(w.core, w.now, 1e6 + w.now);
        mv_action *a;
        while ((a = mv_core_next(w.core))) {
            if (a->kind == MV_ACT_TXN) {
                guint before = state->log->len;
                g_assert_cmpint(st_txn(state, a->conds, a->changes, lease), ==, 200);
                for (guint k = before; k < state->log->len; k++) {
                    const st_item *item = g_ptr_array_index(state->log, k);
                    mv_core_record(w.core, w.now, item->key, item->data, item->stamp);
                }
                mv_core_txn_done(w.core, w.now, a->id, MV_TXN_OK);
            }
            mv_action_free(a);
        }
        mv_core_followed(w.core, w.now, w.now);
    }
    unsigned named = 0;
    for (guint i = 0; i < w.core->shards->len; i++) {
        const shard *s = g_ptr_array_index(w.core->shards, i);
        named += s->holder.teams ? s->holder.teams->len : 0;
    }
    g_assert_cmpuint(w.core->shards->len, ==, 3);
    g_assert_cmpuint(named, ==, TEAMS);
    st_state_free(state);
    world_free(&w);
}

/* Records never go back: pages of one list are of different times, and changes are followed from
 * the first page on. */
static void records_never_go_back(void)
{
    world w = {.machines = 0, .report_s = 1};
    world_make(&w);
    world_start(&w);
    w.stamp = 50;
    world_shard(&w, K_SHARD "0", "n0", 7, 9); /* stamp 51, as the list showed it */
    w.stamp = 30;
    world_shard(&w, K_SHARD "0", "n1", 8, 8); /* stamp 31, as it was before */
    g_assert_cmpstr(world_holder(&w, 0), ==, "n0");
    mv_core_record(w.core, w.now, K_SHARD "0", NULL, 40);
    g_assert_cmpstr(world_holder(&w, 0), ==, "n0");
    mv_core_counts counts;
    mv_core_counts_get(w.core, &counts);
    g_assert_cmpuint(counts.stale, ==, 2);
    w.stamp = 60;
    world_shard(&w, K_SHARD "0", "n1", 8, 10);
    g_assert_cmpstr(world_holder(&w, 0), ==, "n1");
    /* How fresh the copy is counts from before the watch was sent, and does not go back either. */
    mv_core_followed(w.core, w.now + 3, w.now + 2);
    mv_core_followed(w.core, w.now + 4, w.now + 1);
    g_assert_cmpfloat(mv_core_fresh_at(w.core), ==, w.now + 2);
    world_free(&w);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/records/split-beside-fences", split_beside_fences);
    g_test_add_func("/records/progress-of-a-large-job", progress_of_a_large_job);
    g_test_add_func("/records/long-lists-of-types", long_lists_of_types);
    g_test_add_func("/records/gate-of-versions", gate_of_versions);
    g_test_add_func("/records/list-amid-split", list_amid_split);
    g_test_add_func("/records/new-parts-are-listed-later", new_parts_are_listed_later);
    g_test_add_func("/records/repeated-records", repeated_records);
    g_test_add_func("/records/many-teams", many_teams);
    g_test_add_func("/records/records-never-go-back", records_never_go_back);
    g_test_add_func("/records/cut-holder", cut_holder_is_left_out);
    g_test_add_func("/records/move-is-conditional", move_is_conditional);
    return g_test_run();
}
