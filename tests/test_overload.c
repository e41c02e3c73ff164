/* What one core does with more work than its processor, its queue of transactions or a single block
 * can carry. Seen in trials with 4,000 machines; work is bounded by counting, not by time. */
#include "core_world.h"

#include "protocol/names.h"

#include <string.h>

mv_guard mv_broken_guard = MV_GUARD_NONE;

/* --- direct commands --- */

static void count_launches(gpointer action, gpointer count)
{
    const GArray *orders = ((mv_action *)action)->orders;
    for (guint i = 0; i < orders->len; i++)
        *(unsigned *)count += g_array_index(orders, mv_order, i).verb == MV_LAUNCH;
}

/* A core whose own ticks come late, with tasks for every machine: how many commands it has under
 * way while none is answered. All other tasks begin by the answers to reports. */
static unsigned commands_while_behind(void)
{
    world w = {.machines = 400, .report_s = 5, .tick_s = 2 * MV_TICK_BEHIND_S};
    world_hold_fleet(&w);
    world_pass(&w, 10); /* first questions are answered, and the window is adapted */
    w.held = g_queue_new();
    for (unsigned i = 0; i < JOBS; i++)
        world_add_job(&w, i, 2);
    world_pass(&w, 3 * w.report_s);
    unsigned under_way = g_queue_get_length(w.held), held_launches = 0;
    g_queue_foreach(w.held, count_launches, &held_launches);
    g_assert_cmpuint(w.launches + held_launches, ==, JOBS * TASKS);
    w.tick_s = 0;
    world_pass(&w, MV_COMMANDS_QUEUED / MV_COMMAND_WINDOW_GAIN * MV_TICK_S + 1);
    g_assert_cmpfloat(w.core->command_window, ==, MV_COMMANDS_QUEUED);
    g_queue_clear_full(w.held, (GDestroyNotify)mv_action_free);
    g_queue_free(w.held);
    world_free(&w);
    return under_way;
}

static void commands_give_way(void)
{
    g_assert_cmpuint(commands_while_behind(), <=, MV_COMMAND_WINDOW_LEAST);
    mv_broken_guard = MV_GUARD_WINDOW;
    unsigned under_way = commands_while_behind();
    mv_broken_guard = MV_GUARD_NONE;
    g_assert_cmpuint(under_way, >, MV_COMMAND_WINDOW_LEAST);
}

/* --- transactions --- */

static unsigned changes_of(GQueue *txns, const char *key)
{
    unsigned found = 0;
    for (GList *l = txns->head; l; l = l->next) {
        const GArray *changes = ((mv_action *)l->data)->changes;
        for (guint i = 0; i < changes->len; i++)
            found += strcmp(g_array_index(changes, mv_change, i).key, key) == 0;
    }
    return found;
}

/* A job is done while transactions wait in the controller's own queue for half a minute: how often
 * its end was put there, and the controller's own entry. */
static unsigned made_while_queued(void)
{
    world w = {.machines = 4, .report_s = 1, .run_s = 2};
    world_hold_fleet(&w);
    world_add_job(&w, 1, 0.1);
    world_pass(&w, 0.5);
    w.held_txns = g_queue_new();
    world_record(&w, K_NODE "n0", NULL); /* its session had ended */
    world_pass(&w, 30);
    g_assert_cmpuint(w.launches, ==, TASKS);
    unsigned ends = changes_of(w.held_txns, K_FINAL "j-000001");
    unsigned entries = changes_of(w.held_txns, K_NODE "n0");
    g_assert_cmpuint(ends, >=, 1);
    g_assert_cmpuint(entries, >=, 1);
    /* Each is answered at last, and then made anew if the copy does not show it. */
    mv_action *a;
    while ((a = g_queue_pop_head(w.held_txns))) {
        mv_core_txn_done(w.core, w.now, a->id, MV_TXN_UNKNOWN);
        mv_action_free(a);
    }
    world_pass(&w, 1);
    g_assert_cmpuint(changes_of(w.held_txns, K_FINAL "j-000001"), ==, 1);
    g_assert_cmpuint(changes_of(w.held_txns, K_NODE "n0"), ==, 1);
    g_queue_free_full(w.held_txns, (GDestroyNotify)mv_action_free);
    world_free(&w);
    return MAX(ends, entries);
}

static void queued_once(void)
{
    g_assert_cmpuint(made_while_queued(), ==, 1);
    mv_broken_guard = MV_GUARD_QUEUED;
    unsigned made = made_while_queued();
    mv_broken_guard = MV_GUARD_NONE;
    g_assert_cmpuint(made, >, 1);
}

/* --- the first blocks --- */

/* The cloud names so many machines, each a second old. */
static void answer_list(world *w, uint64_t id, unsigned machines)
{
    g_autoptr(GArray) list = g_array_new(FALSE, TRUE, sizeof(mv_listed));
    for (unsigned i = 0; i < machines; i++) {
        mv_listed machine = {.age_s = 1};
        world_machine_id(i, machine.id, sizeof machine.id);
        g_array_append_val(list, machine);
    }
    mv_core_list_page(w->core, w->now, id, list, false);
}

/* The first leader of all, where no guarantee tells how large the fleet is: how many blocks it
 * makes at first. The cloud lists `machines`, after a second; 0: it says nothing. */
static unsigned first_blocks(unsigned machines, double within)
{
    world w = {.machines = 1, .report_s = 1, .now = 100};
    world_make(&w);
    world_start(&w);
    w.conf->tune.shards = 0;
    world_shard(&w, K_NODE "n0", "n0", 7, 0);
    mv_holder leader = {.node = "n0", .incarnation = 7, .term = 1};
    world_record(&w, K_TERM, mv_counter_pack(1));
    world_record(&w, K_LEADER, mv_holder_pack(&leader));
    mv_core_synced(w.core, w.now);
    uint64_t list = 0;
    unsigned blocks = 0;
    for (double began = w.now; w.now < began + within;) {
        world_renew(&w, MV_TICK_S);
        mv_core_tick(w.core, w.now, 1e6 + w.now);
        mv_action *a;
        while ((a = mv_core_next(w.core))) {
            list = a->kind == MV_ACT_LIST ? a->id : list;
            for (guint i = 0; a->kind == MV_ACT_TXN && i < a->changes->len; i++)
                blocks += g_str_has_prefix(g_array_index(a->changes, mv_change, i).key, K_SHARD);
            mv_action_free(a);
        }
        if (machines && list && w.now >= began + 1) {
            answer_list(&w, list, machines);
            list = 0;
        }
    }
    world_free(&w);
    return blocks;
}

static void first_list(void)
{
    g_assert_cmpuint(first_blocks(MV_SPLIT_MACHINES, 0.9), ==, 0);
    g_assert_cmpuint(first_blocks(MV_SPLIT_MACHINES, 2), ==, 3);
    g_assert_cmpuint(first_blocks(MV_SPLIT_MACHINES - 1, 2), ==, 1);
    g_assert_cmpuint(first_blocks(0, MV_FIRST_LIST_S - 0.5), ==, 0);
    g_assert_cmpuint(first_blocks(0, MV_FIRST_LIST_S + 1), ==, 1);
    mv_broken_guard = MV_GUARD_FIRST_LIST;
    unsigned blocks = first_blocks(MV_SPLIT_MACHINES, 0.9);
    mv_broken_guard = MV_GUARD_NONE;
    g_assert_cmpuint(blocks, ==, 1);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/overload/commands-give-way", commands_give_way);
    g_test_add_func("/overload/queued-once", queued_once);
    g_test_add_func("/overload/first-list", first_list);
    return g_test_run();
}
