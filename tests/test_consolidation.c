/* Consolidation: machines beyond the present work are drained, and are there when work comes. */
#include "core_world.h"

#include "protocol/names.h"

#include <string.h>

mv_guard mv_broken_guard = MV_GUARD_NONE;

#define QUIET_S 40.0 /* no jobs for longer than the world's machines take to boot */

static unsigned drained(const world *w)
{
    unsigned n = 0;
    for (guint i = 0; i < w->core->rotation->len; i++)
        n += ((machine *)g_ptr_array_index(w->core->rotation, i))->draining;
    return n;
}

static unsigned given_back(const world *w)
{
    unsigned n = 0;
    for (guint i = 0; i < w->core->rotation->len; i++)
        n += ((machine *)g_ptr_array_index(w->core->rotation, i))->give_back;
    return n;
}

/* A job whose tasks take 8 cores each; `save_every_s` 0: it does not save. */
static void add_tasks(world *w, const char *id, unsigned tasks, double save_every_s)
{
    mv_job spec = {.urgency = MV_STANDARD,
                   .tasks = tasks,
                   .cores = 8,
                   .ram_gb = 8,
                   .pull_gb = 1,
                   .spot = true,
                   .guess_s = 600,
                   .mark_every_s = save_every_s,
                   .mark_cost_s = 5};
    world_put_job(w, spec, id, "refit", "img-1");
}

/* How many of eight machines are given back in 80 s, one task at work, where idle ones are
 * otherwise kept for ten minutes. */
static unsigned returned(bool jobs_keep_coming)
{
    world w = {.machines = 8, .report_s = 1};
    world_hold_fleet(&w);
    w.conf->tune.idle_return_s = 600;
    world_pass(&w, 3);
    for (unsigned i = 0; i < 8; i++) {
        g_autofree char *id = g_strdup_printf("j-%06u", 100 + i);
        if (i == 0 || jobs_keep_coming)
            add_tasks(&w, id, 1, 0);
        world_pass(&w, 10);
    }
    g_assert_cmpuint(w.stops, ==, 0); /* without checkpoints nothing moves */
    unsigned n = given_back(&w);
    world_free(&w);
    return n;
}

/* Machines beyond the work are given back soon once no more jobs come, the one at work is not. */
static void surplus_is_returned(void)
{
    unsigned quiet = returned(false);
    g_assert_cmpuint(quiet, >=, 6);
    g_assert_cmpuint(quiet, <, 8);
    g_assert_cmpuint(returned(true), ==, 0);
}

/* Drained machines are there for a job that comes: the block is quiet no more. */
static void drained_machines_take_work(void)
{
    world w = {.machines = 8, .report_s = 1};
    world_hold_fleet(&w);
    w.conf->tune.spare_machines = 8; /* none is given back */
    world_pass(&w, 3);
    add_tasks(&w, "j-000092", 2, 0);
    world_pass(&w, QUIET_S);
    g_assert_cmpuint(drained(&w), >=, 4);
    add_tasks(&w, "j-000093", 38, 0); /* with the other, all 320 cores */
    world_pass(&w, 5);
    g_assert_cmpuint(w.launches, ==, 40);
    g_assert_cmpuint(drained(&w), ==, 0);
    world_free(&w);
}

/* Tasks that waited all along, and find room nowhere else, are placed on drained machines too;
 * those count as needed then, although no job has come. */
static void drained_machines_take_what_waits(void)
{
    world w = {.machines = 8, .report_s = 1};
    world_hold_fleet(&w);
    w.conf->tune.spare_machines = 8;
    world_pass(&w, 3);
    w.conf->teams[0].cpus_max = 2 * 8;
    add_tasks(&w, "j-000096", 40, 0);
    world_pass(&w, QUIET_S);
    g_assert_cmpuint(w.launches, ==, 2);
    g_assert_cmpuint(drained(&w), >=, 4);
    w.conf->teams[0].cpus_max = 40 * 8; /* all cores */
    world_pass(&w, 5);
    g_assert_cmpuint(w.launches, ==, 40);
    g_assert_cmpuint(drained(&w), ==, 0);
    world_free(&w);
}

static void end_tasks_of(world *w, unsigned i, const char *job)
{
    for (guint k = 0; k < w->tasks[i]->len; k++) {
        mv_task *task = &g_array_index(w->tasks[i], mv_task, k);
        if (strcmp(task->job, job) != 0)
            continue;
        g_autofree char *name = g_strdup_printf("%s/%u", task->job, task->index);
        task->status = MV_ENDED;
        task->cause = MV_WHY_DONE;
        g_hash_table_remove(w->on, name);
    }
}

/* Tasks with checkpoints leave a drained machine that others with their image have room for; each
 * runs on one machine at a time, which the world asserts. */
static void saving_tasks_move(void)
{
    world w = {.machines = 4, .report_s = 1};
    world_hold_fleet(&w);
    w.conf->tune.spare_machines = 4;
    world_pass(&w, 3);
    add_tasks(&w, "j-000094", 5, 20);
    world_pass(&w, 5);
    add_tasks(&w, "j-000095", 15, 0); /* together all 160 cores */
    world_pass(&w, 5);
    g_assert_cmpuint(w.launches, ==, 20);
    for (unsigned i = 0; i < 4; i++)
        end_tasks_of(&w, i, "j-000095");
    world_pass(&w, QUIET_S + MV_START_COUNTS_S + 20);
    g_assert_cmpuint(w.stops, >, 0);
    g_assert_cmpfloat(w.wind_down, ==, 5); /* each had the time to save */
    g_assert_cmpuint(g_hash_table_size(w.on), ==, 5);
    unsigned in_use = 0;
    for (unsigned i = 0; i < 4; i++)
        in_use += world_running_on(&w, i) > 0;
    g_assert_cmpuint(in_use, <, 4);
    world_free(&w);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/consolidation/surplus-is-returned", surplus_is_returned);
    g_test_add_func("/consolidation/drained-machines-take-work", drained_machines_take_work);
    g_test_add_func("/consolidation/drained-machines-take-what-waits",
                    drained_machines_take_what_waits);
    g_test_add_func("/consolidation/saving-tasks-move", saving_tasks_move);
    return g_test_run();
}
