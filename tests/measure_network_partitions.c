/**
 * Measures two times over many seeds of the simulation, with the launch gate on and off: how long a
 * controller launches tasks after a network partition has begun, and how soon the controller
 * launches a task after the partition has healed. Developers run the program by hand; CI does not
 * run it. The figures are in docs/MEASUREMENTS.md.
 */
#include "sim.h"

#include "safety_checks.h"

#include <stdio.h>
#include <stdlib.h>

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define SEEDS 60

static double mean(double sum, unsigned count)
{
    return count ? sum / count : 0;
}

/* Runs the plan with each seed, with one shard for odd seeds and three shards for even seeds, and
 * prints a row with the sums and means over all seeds. */
static void measure(const char *fault, sim_plan plan, bool launch_gate)
{
    sim_launch_latency latency = {0};
    unsigned relaunched = 0, broken_runs = 0;
    plan.launch_gate = launch_gate;
    plan.launch_latency = &latency;
    plan.relaunched_completed = &relaunched;
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        plan.shards = seed % 2 ? 1 : 3;
        g_autofree char *violation = sim_run(seed, &plan);
        broken_runs += violation != NULL;
    }
    printf("%-14s %-4s %6u %8u %8.2f %8.2f %8u %8.2f %9u %7u\n", fault, launch_gate ? "on" : "off",
           latency.cuts, latency.launched, mean(latency.last_launch_s, latency.launched),
           latency.longest_s, latency.healed, mean(latency.first_launch_s, latency.healed),
           relaunched, broken_runs);
}

int main(void)
{
    const sim_plan base = {.cancel = 0.2, .faults_end_at = 160, .deadline_at = 600, .jobs = 60};
    sim_plan state = base, isolated = base, responses = base, flapping = base, outage = base;
    state.state_cut = 15;
    isolated.isolate = 15;
    responses.state_responses_lost = 15;
    flapping.link_flapping = 60;
    outage.outage = 40;
    printf("%-14s %-4s %6s %8s %8s %8s %8s %8s %9s %7s\n", "cut", "gate", "cuts", "launched",
           "last_s", "most_s", "healed", "first_s", "repeated", "broken");
    for (int gate = 0; gate < 2; gate++) {
        measure("state", state, gate);
        measure("state+peers", isolated, gate);
        measure("answers", responses, gate);
        measure("flapping", flapping, gate);
        measure("outage", outage, gate);
    }
    return EXIT_SUCCESS;
}
