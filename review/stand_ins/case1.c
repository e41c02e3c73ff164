/*
 * Case 1: a leader loses the state service for longer than its lease and is replaced. Connected
 * again, it acts as the leader once more and returns machines at work.
 */
#include "stand_ins.h"

#include <stdio.h>

#define FIRST_WORK_S 52.0 /* the first work ends after the least charged minute of a machine */
#define IDLE_S 10.1       /* an idle large is returned 13 s after its last task */
#define CUT_S 3.0
#define HELD_S 2.0 /* an answer held back by the cut arrives this long after its end */
#define LONG_CUT_S                                                                                 \
    15.0 /* with DISRUPTION=long; nothing held back is awaited any more at its end                 \
          */

static const char TEAMS[] =
    "\n[[settings.teams]]\nname = \"red\"\ncpus = 80.0\ncpus_max = 192.0\n"
    "gpus = 0.0\ngpus_max = 0.0\n"
    "\n[[settings.teams]]\nname = \"blue\"\ncpus = 48.0\ncpus_max = 144.0\n"
    "gpus = 0.0\ngpus_max = 0.0\n"
    "\n[[settings.objectives]]\nkind = \"wait\"\nclass = \"rush\"\nwithin_s = 2.0\n"
    "share = 0.85\n";

static const machine_type TYPES[] = {
    {"small", 16, 32, 50, 0.2, 0.96, 0.29, 50},
    {"large", 32, 256, 60, 1.0, 2.65, 0.87, 25},
};

static int cut_off = -1;
static volatile bool replaced; /* another controller leads */
static unsigned stale_returns, other_returns;
static char first_return[120];

static void on_release(unsigned node, const char *machine, unsigned tasks_running)
{
    if (tasks_running == 0)
        return;
    if (replaced && (int)node == cut_off) {
        stale_returns++;
        if (!first_return[0])
            g_snprintf(first_return, sizeof first_return, "%s with %u running task(s)", machine,
                       tasks_running);
    } else {
        other_returns++;
    }
}

int main(int argc, char **argv)
{
    const deployment site_settings = {.report_s = 3,
                                      .lease_s = 32,
                                      .cancel_s = 62,
                                      .state_rps = 150,
                                      .state_write_rps = 30,
                                      .value_kb = 16,
                                      .txn_ops = 24,
                                      .cloud_rps = 10,
                                      .list_lag_s = 6,
                                      .area = "zone-a",
                                      .more = TEAMS};
    run_begin(argc, argv, &site_settings);
    cloud_set_types(TYPES, 2);
    cloud_on_release = on_release;
    for (unsigned i = 1; i <= 3; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "vm-%06u", i);
        machine_add(id, "large", false);
    }
    for (unsigned i = 0; i < NODES; i++)
        node_start(i);
    for (unsigned i = 0; i < NODES; i++)
        if (!node_wait_healthy(i, 15))
            run_end(2, "a controller did not become healthy");

    /* The first work runs on all machines. Then they are idle for a while, as between two sweeps.
     */
    job first = {"j-000001", "sweep", "red", "standard",   "large",      "img-1", 3,
                 32,         40,      0.4,   FIRST_WORK_S, FIRST_WORK_S, true};
    if (!user_submit(0, &first, 20))
        run_end(2, "the first job was not accepted");
    sleep_until(30);
    job waiting = {"j-000003", "rush", "blue", "high", "small", "img-2", 1,
                   4,          6.6,    0.4,    20,     20,      false};
    if (!user_submit(0, &waiting, 5))
        run_end(2, "a waiting job was not accepted");
    while (job_tasks_done(first.id) < 3 && since_start_s() < 80)
        g_usleep(50000);
    if (job_tasks_done(first.id) < 3)
        run_end(2, "the first job did not finish");
    const double idle_at = since_start_s();
    cut_off = cloud_last_lister(NULL);
    if (cut_off < 0)
        run_end(2, "no leader asks for machine lists");
    const unsigned other = (unsigned)(cut_off + 1) % NODES;

    /* A user submits a job that waits for another kind of machine. Then the leader is cut off from
     * the state service, just after its next watch arrived there. */
    sleep_until(idle_at + IDLE_S);
    const double submitted_at = now_s();
    waiting.id = "j-000004";
    if (!user_submit(other, &waiting, 5))
        run_end(2, "a waiting job was not accepted");
    while (state_last_follow((unsigned)cut_off) < submitted_at && now_s() < submitted_at + 1)
        g_usleep(1000);
    const double cut_at = since_start_s();
    const bool long_cut = g_strcmp0(g_getenv("DISRUPTION"), "long") == 0;
    const double cut_s = long_cut ? LONG_CUT_S : CUT_S;
    if (trouble())
        state_cut((unsigned)cut_off, true, 0);
    job second = {"j-000002", "sweep", "red", "standard", "large", "img-1", 3,
                  32,         40,      0.4,   25,         25,      true};
    sleep_until(cut_at + 0.5);
    if (!user_submit(other, &second, 20))
        run_end(2, "the second job was not accepted");
    sleep_until(cut_at + cut_s);
    /* A long cut ends just after the leader's next attempt to watch, which the cut still swallows.
     */
    const double long_until = now_s() + 2;
    while (long_cut && trouble() && now_s() < long_until &&
           now_s() - state_last_follow((unsigned)cut_off) > 0.05)
        g_usleep(1000);
    const unsigned started = job_tasks_on_machines(second.id);
    if (started < 3)
        run_end(2, "%u of 3 tasks of the second job had started at the end of the cut", started);
    if (trouble()) {
        if (cloud_last_lister(NULL) == cut_off)
            run_end(2, "no other controller has taken over");
        replaced = true;
        state_cut((unsigned)cut_off, false, long_cut ? 0 : HELD_S);
    }
    sleep_until(cut_at + cut_s + 10);
    char status[40];
    user_poll(other, second.id, status);
    if (other_returns)
        run_end(2, "a machine at work was returned by a controller that was not replaced");
    if (stale_returns)
        run_end(1, "the replaced leader returned %u machines at work, first %s", stale_returns,
                first_return);
    run_end(0, "no machine at work was returned");
}
