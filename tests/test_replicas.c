/* Replicas of services: room in reserve, moves ahead of a loss, detection of a loss. */
#include "core_world.h"

#include "protocol/names.h"

mv_guard mv_broken_guard = MV_GUARD_NONE;

/* The demand in which n1 lacks machines for replicas. */
static mv_demand *lack_of(uint64_t term)
{
    mv_demand *d = world_offer(term, 0);
    g_array_set_size(d->notes, 0);
    mv_want w = {.cores = 1, .ram_gb = 1, .types = 3, .urgent = true, .count = 4};
    w.reserve = w.service = true;
    g_array_append_val(d->wants, w);
    return d;
}

/* Batch work on the only kind of machine that takes replicas is stopped, on one machine, when
 * another shard's services lack one and the cloud has none; without that lack it is left alone. */
static unsigned stopped_for_others(bool lack)
{
    world w = {.machines = 4, .report_s = 1};
    world_make(&w);
    world_start(&w);
    w.conf->tune.shards = 2;
    world_lead(&w, 2);
    world_blocks(&w);
    for (unsigned i = 0; i < 4; i++) { /* ordinary ones */
        machine *m = g_ptr_array_index(w.core->rotation, i);
        m->spot = false;
    }
    mv_core_synced(w.core, w.now);
    world_add_job(&w, 1, 8);
    world_pass(&w, 5);
    g_assert_cmpuint(w.launches, >, 0);
    unsigned closed = 0;
    for (int i = 0; i < 60; i++) {
        mv_demand *d = lack_of(5);
        if (!lack)
            g_array_set_size(d->wants, 0);
        mv_core_demand(w.core, w.now, d);
        world_pass(&w, 0.2);
        mv_action *a;
        while ((a = mv_core_next(w.core)))
            mv_action_free(a);
        for (guint k = 0; k < w.core->rentals->len; k++)
            mv_core_rent_done(w.core, w.now, ((rental *)g_ptr_array_index(w.core->rentals, k))->id,
                              NULL, true);
        unsigned now = 0;
        for (guint k = 0; k < w.core->rotation->len; k++)
            now += ((machine *)g_ptr_array_index(w.core->rotation, k))->vacate;
        closed = MAX(closed, now);
    }
    world_free(&w);
    return closed;
}

/* A service of two-core replicas. */
static void add_service(world *w, const char *id, unsigned replicas, bool spot)
{
    mv_job spec = {.service = true,
                   .urgency = MV_PROD,
                   .tasks = replicas,
                   .cores = 2,
                   .ram_gb = 2,
                   .pull_gb = 2,
                   .spot = spot};
    world_put_job(w, spec, id, "api", "img");
}

/* Before the first service a large block asks for a lasting machine in reserve, for which nobody's
 * work is stopped; then for as many places as the largest service has replicas. The last machine
 * that has such places is not given back. */
static void reserve_for_services(void)
{
    world w = {.machines = 60, .report_s = 1};
    world_hold_fleet(&w);
    world_pass(&w, 3);
    shard *s = g_ptr_array_index(w.core->shards, 0);
    g_assert_cmpuint(s->reserve.count, ==, MV_RESERVE_FIRST);
    g_assert_true(!s->reserve.service && !s->reserve.spot);
    g_assert_cmpuint(s->reserve_has, ==, 0); /* they are all taken back some day */
    machine *m = g_hash_table_lookup(w.core->machines, "vm-000001");
    m->spot = false;
    add_service(&w, "j-000077", 5, false);
    world_pass(&w, 3);
    g_assert_cmpuint(m->placements->len, ==, 5);
    g_assert_cmpuint(s->reserve.count, ==, 5);
    g_assert_true(s->reserve.service);
    g_assert_cmpuint(s->reserve_has, ==, (32 - 5 * 2) / 2);
    g_assert_false(mv_can_spare(w.core, s, m));
    world_record(&w, K_JOB "j-000077", NULL);
    world_free(&w);
}

/* A machine with a notice: its replica is stopped there once another has room, and begins there;
 * `obey` sees to it that it never runs on both. Without another it stays to the end. */
static void replicas_move_ahead(void)
{
    for (unsigned machines = 1; machines <= 2; machines++) {
        world w = {.machines = machines, .report_s = 1};
        world_hold_fleet(&w);
        world_pass(&w, 3);
        add_service(&w, "j-000078", 1, true);
        world_pass(&w, 3);
        unsigned at = world_running_on(&w, 0) ? 0 : 1;
        g_assert_cmpuint(world_running_on(&w, at), ==, 1);
        w.with_notice = at + 1;
        world_pass(&w, 4);
        g_assert_cmpuint(world_running_on(&w, at), ==, machines == 1);
        if (machines == 2)
            g_assert_cmpuint(world_running_on(&w, 1 - at), ==, 1);
        world_free(&w);
    }
}

static void vacated_for_services(void)
{
    g_assert_cmpuint(stopped_for_others(true), ==, 1);
    g_assert_cmpuint(stopped_for_others(false), ==, 0);
}

/* Seconds from the last word of a machine with a task until it is given up. */
static double given_up_after(bool service)
{
    world w = {.machines = 60, .report_s = 6};
    world_make(&w);
    world_start(&w);
    w.conf->report_s = w.report_s;
    world_grant(&w, 5);
    world_blocks(&w);
    mv_core_synced(w.core, w.now);
    world_pass(&w, 8);
    if (service)
        add_service(&w, "j-000079", 1, true);
    else
        world_add_job(&w, 1, 16); /* tasks of half a machine: on each of them */
    world_pass(&w, 8);
    unsigned at = 0;
    while (!world_running_on(&w, at))
        at++;
    char name[MV_NAME_SIZE];
    world_machine_id(at, name, sizeof name);
    machine *m = g_hash_table_lookup(w.core->machines, name);
    guint placed = m->placements->len;
    w.dead = at + 1;
    while (!m->lost && w.now < m->heard_at + 60)
        world_pass(&w, 0.1);
    double after = w.now - m->heard_at;
    g_assert_true(m->lost);
    world_pass(&w, 5);
    g_assert_cmpuint(m->placements->len, ==, placed); /* silence proves nothing: they wait */
    g_assert_cmpuint(g_hash_table_size(w.on), ==, service ? 1 : w.launches);
    w.dead = 0;
    world_free(&w);
    return after;
}

/* The bound that SAFETY names: 1.5 s until the first question, three questions of 0.4, 0.8 and 1.2
 * s with pauses of 0.2 and 0.4 s between them, and the looks at the machine. */
static void dead_machines_are_noticed(void)
{
    double with_replica = given_up_after(true), without = given_up_after(false);
    g_test_message("given up after %.1f s, without replicas after %.1f s", with_replica, without);
    g_assert_cmpfloat(with_replica, >, MV_REPLICA_LOST_S);
    g_assert_cmpfloat(with_replica, <, 6.5);
    g_assert_cmpfloat(without, >, MV_LOST_REPORTS * 6);
    g_assert_cmpfloat(without, <, MV_LOST_REPORTS * 6 + 3);
}

/* Four machines, of which the first fetches images ten times as fast as the others. */
static void start_with_slow_types(world *w, double fast)
{
    world_make(w);
    world_start(w);
    for (guint i = 0; i < w->core->types->len; i++)
        g_array_index(w->core->types, mv_type, i).pull_rate = i == 0 ? fast : 0.1;
    world_grant(w, 5);
    world_blocks(w);
    mv_core_synced(w->core, w->now);
    world_pass(w, 3);
}

/* Half of the replicas may share the machine that gets the image in time; the others keep apart. */
static void replicas_start_in_time(void)
{
    world w = {.machines = 4, .report_s = 1};
    start_with_slow_types(&w, 1);
    add_service(&w, "j-000080", 4, true);
    world_pass(&w, 3);
    g_assert_cmpuint(world_running_on(&w, 0), ==, 2);
    unsigned others = 0;
    for (unsigned i = 1; i < 4; i++) {
        g_assert_cmpuint(world_running_on(&w, i), <=, 1);
        others += world_running_on(&w, i);
    }
    g_assert_cmpuint(others, ==, 2);
    world_free(&w);
}

/* Places count as a reserve where an image comes in time; anywhere if it does so nowhere. */
static void reserve_fetches_in_time(void)
{
    for (int fast = 0; fast < 2; fast++) {
        world w = {.machines = 4, .report_s = 1};
        start_with_slow_types(&w, fast ? 1 : 0.1);
        add_service(&w, "j-000081", 4, true);
        world_pass(&w, 3);
        const shard *s = g_ptr_array_index(w.core->shards, 0);
        g_assert_cmphex(s->reserve.types, ==, fast ? 1 : 3);
        world_free(&w);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/replicas/reserve-for-services", reserve_for_services);
    g_test_add_func("/replicas/replicas-move-ahead", replicas_move_ahead);
    g_test_add_func("/replicas/vacated-for-services", vacated_for_services);
    g_test_add_func("/replicas/dead-machines-are-noticed", dead_machines_are_noticed);
    g_test_add_func("/replicas/start-in-time", replicas_start_in_time);
    g_test_add_func("/replicas/reserve-fetches-in-time", reserve_fetches_in_time);
    return g_test_run();
}
