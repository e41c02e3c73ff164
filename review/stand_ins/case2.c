/*
 * Case 2: a job is cancelled at the moment at which the state service refuses the leader alone, and
 * a second later the state service is out. Tasks of the cancelled job go on being started.
 * With DISRUPTION=cut the leader is only cut off from the state service, which stays up.
 */
#include "stand_ins.h"

#include <stdio.h>
#include <string.h>

#define JOB "j-000412"
#define TASKS 100
#define RUN_S 1.5
#define IN_FLIGHT_S 1.0 /* starts this soon after the answer may have been commanded before it */

static const char TEAMS[] = "\n[[settings.teams]]\nname = \"red\"\ncpus = 250.0\ncpus_max = 400.0\n"
                            "gpus = 0.0\ngpus_max = 0.0\n";

static const machine_type TYPES[] = {{"large", 16, 64, 50, 0.5, 0.91, 0.34, 25}};

static double cancelled_at; /* when the user had the answer; 0: not yet */
static unsigned starts_before, starts_in_flight, starts_after;
static double last_start_s;

static void on_start(const char *machine, const char *job_id, unsigned task, uint64_t baton)
{
    (void)machine;
    (void)task;
    (void)baton;
    if (strcmp(job_id, JOB) != 0)
        return;
    if (!cancelled_at) {
        starts_before++;
    } else if (now_s() < cancelled_at + IN_FLIGHT_S) {
        starts_in_flight++;
    } else {
        starts_after++;
        last_start_s = now_s() - cancelled_at;
    }
}

int main(int argc, char **argv)
{
    const deployment site_settings = {.report_s = 1.5,
                                      .lease_s = 10,
                                      .cancel_s = 30,
                                      .state_rps = 100,
                                      .state_write_rps = 15,
                                      .value_kb = 8,
                                      .txn_ops = 8,
                                      .cloud_rps = 8,
                                      .list_lag_s = 3,
                                      .area = "zone-a",
                                      .more = TEAMS};
    char status[40] = "";
    run_begin(argc, argv, &site_settings);
    cloud_set_types(TYPES, 1);
    on_task_start = on_start;
    machine_add("vm-000001", "large", false);
    machine_add("vm-000002", "large", false);
    for (unsigned i = 0; i < NODES; i++)
        node_start(i);
    for (unsigned i = 0; i < NODES; i++)
        if (!node_wait_healthy(i, 15))
            run_end(2, "a controller did not become healthy");
    sleep_until(6);
    job array = {JOB, "sweep", "red", "standard", NULL,  "img-1", TASKS,
                 4,   6,       0.4,   RUN_S,      RUN_S, true};
    if (!user_submit(0, &array, 20))
        run_end(2, "the job was not accepted");
    sleep_until(11);
    const int leader = cloud_last_lister(NULL);
    if (leader < 0 || machine_reports_to("vm-000001") != leader || starts_before < 8)
        run_end(2, "the leader does not run the job");
    const unsigned other = (unsigned)(leader + 1) % NODES;

    const double trouble_at = since_start_s();
    const bool cut_alone = g_strcmp0(g_getenv("DISRUPTION"), "cut") == 0;
    if (trouble() && cut_alone)
        state_cut((unsigned)leader, true, 0);
    else if (trouble())
        state_refuse((unsigned)leader, true);
    while (since_start_s() < trouble_at + 0.9 && strcmp(status, "withdrawn") != 0)
        user_abort(other, JOB, status);
    if (strcmp(status, "withdrawn") != 0)
        run_end(2, "the cancellation was not confirmed before the outage");
    cancelled_at = now_s();
    record("user: knows that " JOB " is cancelled; %u of %u tasks were started before",
           starts_before, TASKS);
    sleep_until(trouble_at + 1);
    if (trouble() && !cut_alone) {
        state_outage(true);
        state_refuse((unsigned)leader, false);
    }
    /* The outage lasts longer than cancel_s. */
    sleep_until(trouble_at + 1 + site_settings.cancel_s + 1);
    const unsigned left = job_tasks_on_machines(JOB);
    record("%u tasks of " JOB " are on machines cancel_s after the cancellation", left);
    record("starts of " JOB
           " after the confirmed cancellation: %u within %.1f s, %u later, the last "
           "%.1f s after it",
           starts_in_flight, IN_FLIGHT_S, starts_after, last_start_s);
    if (left)
        run_end(1, "%u tasks of the cancelled job were on machines after cancel_s", left);
    if (starts_after)
        run_end(1,
                "%u tasks of the cancelled job were started more than %.1f s after the user had "
                "been told, the last %.1f s after",
                starts_after, IN_FLIGHT_S, last_start_s);
    run_end(0, "no task of the cancelled job was started after the answer");
}
