/* What a core does with its links: launches that are held, ends told to peers, blocks passed on. */
#include "core_world.h"

#include "protocol/names.h"

#include <string.h>

mv_guard mv_broken_guard = MV_GUARD_NONE;

#define JOB "j-000001"

static world *new_world(unsigned machines)
{
    world *w = g_new0(world, 1);
    w->machines = machines;
    w->report_s = 5;
    w->launch_gate = true;
    world_hold_fleet(w);
    return w;
}

static void free_world(world *w)
{
    world_free(w);
    g_free(w);
}

/* A view of a peer that has heard our latest. */
static mv_view *peer_view(world *w, const char *name, uint64_t sequence)
{
    g_autoptr(mv_view) ours = mv_core_tell_view(w->core, w->now);
    mv_view *view = mv_view_new();
    g_strlcpy(view->node, name, sizeof view->node);
    view->boot = 99;
    view->sequence = sequence;
    view->links = MV_LINKS_CONNECTED;
    view->state_age_s = view->copy_age_s = 0.1;
    view->workers_age_s = MV_NEVER;
    mv_peer_link link = {.seen_boot = ours->boot, .seen_sequence = ours->sequence};
    g_strlcpy(link.peer, "n0", sizeof link.peer);
    link.heard_age_s = link.answered_age_s = 0;
    g_array_append_val(view->peers, link);
    return view;
}

/* Time passes without the state service; reports come and are answered. Launches are counted in
 * `w->launches`. */
static void pass_cut_off(world *w, double seconds)
{
    for (double until = w->now + seconds - 1e-9; w->now < until;) {
        w->now += 0.1;
        mv_core_state_failed(w->core, w->now);
        mv_core_tick(w->core, w->now, 1e6 + w->now);
        world_drain(w);
        for (unsigned i = 0; i < w->machines; i++) {
            mv_report r;
            mv_report_answer a;
            world_report(w, i, &r);
            mv_core_report(w->core, w->now, &r, &a);
            if (a.status == 200)
                world_obey(w, i, a.orders);
            if (a.orders)
                g_array_unref(a.orders);
            mv_report_clear(&r);
        }
        world_drain(w);
    }
}

/* Cut off, a holder starts nothing, neither new tasks nor those that were placed before; stops and
 * renewals go on. Afterwards all is started, the same tasks once. */
static void holds_launches(void)
{
    world *w = new_world(4);
    world_pass(w, 6);
    pass_cut_off(w, 4);
    world_add_job(w, 1, 2);
    pass_cut_off(w, 5);
    g_assert_cmpuint(w->launches, ==, 0);
    mv_core_counts n;
    mv_core_counts_get(w->core, &n);
    g_assert_true(n.held);
    g_assert_cmpint(n.links, ==, MV_LINKS_CUT_OFF);
    world_pass(w, 8);
    g_assert_cmpuint(w->launches, ==, TASKS);
    free_world(w);
}

/* A launch that waited in a queue since before the cut is void when its turn comes. */
static void queued_launches(void)
{
    world *w = new_world(4);
    world_pass(w, 6);
    w->held = g_queue_new();
    world_add_job(w, 1, 2);
    world_renew(w, 0.1);
    mv_core_tick(w->core, w->now, 1e6 + w->now);
    world_drain(w);
    g_assert_cmpuint(g_queue_get_length(w->held), >, 0);
    const mv_action *waiting = g_queue_peek_head(w->held);
    g_assert_true(mv_core_still_valid(w->core, w->now, waiting));
    for (unsigned i = 0; i < 35; i++) { /* fresh enough for a command, too long for the gate */
        w->now += 0.1;
        mv_core_tick(w->core, w->now, 1e6 + w->now);
    }
    g_assert_false(mv_core_still_valid(w->core, w->now, waiting));
    mv_broken_guard = MV_GUARD_LAUNCH_GATE;
    g_assert_true(mv_core_still_valid(w->core, w->now, waiting));
    mv_broken_guard = MV_GUARD_NONE;
    /* Dropped, they are sent once the gate is open again. */
    mv_action *a;
    while ((a = g_queue_pop_head(w->held))) {
        mv_core_command_dropped(w->core, w->now, a->id);
        mv_action_free(a);
    }
    world_drain(w);
    while ((a = g_queue_pop_head(w->held))) {
        for (guint i = 0; i < a->orders->len; i++)
            g_assert_cmpint(g_array_index(a->orders, mv_order, i).verb, !=, MV_LAUNCH);
        mv_core_command_dropped(w->core, w->now, a->id);
        mv_action_free(a);
    }
    g_clear_pointer(&w->held, g_queue_free);
    world_pass(w, 8);
    g_assert_cmpuint(w->launches, ==, TASKS);
    free_world(w);
}

/* A holder that is cut off tells the ends it saw; the one that follows takes them for done and does
 * not run these tasks again, though their machines are gone. */
static unsigned launched_by_heir(void)
{
    world *holder = new_world(4);
    holder->run_s = 3;
    world_pass(holder, 6);
    world_add_job(holder, 1, 2);
    world_pass(holder, 1);
    pass_cut_off(holder, 5);
    mv_core_counts n;
    mv_core_counts_get(holder->core, &n);
    g_assert_cmpuint(n.outcomes_waiting, ==, TASKS);
    g_autoptr(mv_view) told = mv_core_tell_view(holder->core, holder->now);

    world *heir = new_world(4); /* other machines: nothing is reported there */
    world_add_job(heir, 1, 2);
    g_strlcpy(told->node, "n1", sizeof told->node);
    mv_core_view(heir->core, heir->now, told);
    world_pass(heir, 6);
    unsigned launches = heir->launches;
    free_world(holder);
    free_world(heir);
    return launches;
}

static void told_ends(void)
{
    g_assert_cmpuint(launched_by_heir(), ==, 0);
    mv_broken_guard = MV_GUARD_OUTCOMES;
    g_assert_cmpuint(launched_by_heir(), ==, TASKS);
    mv_broken_guard = MV_GUARD_NONE;
}

static bool any_job(void *context, const char *job)
{
    (void)context;
    (void)job;
    return true;
}

/* Ends of unknown jobs, of tasks that do not exist and in broken sets change nothing. */
static void bad_ends(void)
{
    world *w = new_world(4);
    world_pass(w, 6);
    world_add_job(w, 1, 2);
    mv_outcomes *ends = mv_outcomes_new(1000);
    mv_outcomes_add(ends, JOB, 0);
    mv_outcomes_add(ends, JOB, TASKS); /* there is none of that number */
    mv_outcomes_add(ends, "j-999999", 0);
    g_autoptr(mv_view) view = peer_view(w, "n1", 1);
    mv_outcomes_pack(ends, any_job, NULL, 1000, view->outcomes);
    mv_outcomes_free(ends);
    g_assert_cmpuint(view->outcomes->len, ==, 2);
    mv_outcome *junk = g_new0(mv_outcome, 1);
    g_strlcpy(junk->job, JOB, sizeof junk->job);
    junk->tasks = g_bytes_new_static("junk", 4);
    g_ptr_array_add(view->outcomes, junk);
    mv_core_view(w->core, w->now, view);
    mv_job_view job;
    mv_core_counts n;
    mv_core_job(w->core, JOB, &job);
    mv_core_counts_get(w->core, &n);
    g_assert_cmpuint(job.done, ==, 0);
    g_assert_cmpuint(n.stale, ==, 2);
    free_world(w);
}

/* --- what people are shown --- */

static void assert_link(const msgpack_object *link, const char *name, const char *links,
                        const char *held)
{
    g_assert_true(mv_text_is(mv_get(link, N_NAME), name));
    g_assert_true(mv_text_is(mv_get(link, "links"), links));
    g_assert_true(mv_text_is(mv_get(link, "held"), held));
}

/* The picture has this controller's class and why launches are held, and what peers say of theirs.
 */
static void picture(void)
{
    world *w = new_world(4);
    world_pass(w, 6);
    pass_cut_off(w, 6);
    g_autoptr(mv_view) view = peer_view(w, "n1", 1);
    view->links = MV_LINKS_OUTAGE;
    view->launches_held = true;
    mv_core_view(w->core, w->now, view);
    g_autoptr(GBytes) packed = mv_core_overview(w->core, w->now);
    gsize n;
    const void *p = g_bytes_get_data(packed, &n);
    g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
    const msgpack_object_array *links = mv_get_list(mv_doc_root(doc), "links");
    g_assert_cmpuint(links->size, ==, 3);
    assert_link(&links->ptr[0], "n0", "cut_off", "cut_off");
    assert_link(&links->ptr[1], "n1", "outage", "see its own picture");
    assert_link(&links->ptr[2], "n2", "no view", "");
    free_world(w);
}

/* --- the leader passes blocks on --- */

static unsigned grants_away_from(world *w, const char *key)
{
    unsigned n = 0;
    mv_action *a;
    while ((a = mv_core_next(w->core))) {
        for (guint i = 0; a->kind == MV_ACT_TXN && i < a->changes->len; i++)
            n += strcmp(g_array_index(a->changes, mv_change, i).key, key) == 0;
        if (a->kind == MV_ACT_RENT)
            mv_core_rent_done(w->core, w->now, a->id, NULL, true);
        mv_action_free(a);
    }
    return n;
}

static unsigned relieved(uint64_t incarnation, mv_link_class links)
{
    world w = {.machines = 0, .report_s = 1, .launch_gate = true};
    unsigned grants = 0;
    world_make(&w);
    world_start(&w);
    world_lead(&w, 2);
    mv_core_synced(w.core, w.now);
    for (unsigned i = 1; i < 30; i++) {
        world_renew(&w, 0.1);
        g_autoptr(mv_view) view = peer_view(&w, "n1", i);
        view->incarnation = incarnation;
        view->links = links;
        view->class_for_s = i * 0.1;
        mv_core_view(w.core, w.now, view);
        mv_core_tick(w.core, w.now, 1e6 + w.now);
        grants += grants_away_from(&w, K_SHARD "1");
    }
    world_free(&w);
    return grants;
}

/* The holder of block 1, n1 with incarnation 8, says that it alone is cut off. */
static void relieves_holder(void)
{
    g_assert_cmpuint(relieved(8, MV_LINKS_CUT_OFF), >, 0);
    g_assert_cmpuint(relieved(8, MV_LINKS_CONNECTED), ==, 0);
    g_assert_cmpuint(relieved(8, MV_LINKS_OUTAGE), ==, 0);
    g_assert_cmpuint(relieved(6, MV_LINKS_CUT_OFF), ==, 0); /* its former process */
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/launch-gate/holds-launches", holds_launches);
    g_test_add_func("/launch-gate/queued-launches", queued_launches);
    g_test_add_func("/launch-gate/told-ends", told_ends);
    g_test_add_func("/launch-gate/bad-ends", bad_ends);
    g_test_add_func("/launch-gate/picture", picture);
    g_test_add_func("/launch-gate/relieves-holder", relieves_holder);
    return g_test_run();
}
