/**
 * Prints the behaviour fingerprint: for each of 30 seeded runs of the simulation, a hash over every
 * action of every controller and every response to a heartbeat. A change that must not change the
 * behaviour leaves all lines the same. Developers run the program by hand; CI does not run it:
 *
 *     measure_behavior [RUNS [JOBS]]
 *
 * RUNS is the number of runs, counted from the first, for a short check (default: all 30). JOBS is
 * the number of processes that work at the same time (default: 1). The output of all 30 runs is
 * compared with the recorded fingerprint:
 *
 *     measure_behavior 30 3 | diff tests/behavior_fingerprint.txt -
 *     measure_behavior_fleet 30 3 | diff tests/behavior_fingerprint_fleet.txt -
 *
 * Each line consists of the plan's name, the seed, the number of actions, the number of responses,
 * "sound" if every rule of the simulation held or else "broken", and the hash. The program writes
 * the rule that was broken to the standard error. The last line is a hash over all lines before it.
 */
#include "behavior_fingerprint.h"
#include "behavior_plans.h"

#include "safety_checks.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define RUNS_MAX 30
#define LINE_SIZE 160

/* Executes a run and writes its line. The first run has the number 0 and the seed 1. */
static void measure(unsigned run, char line[LINE_SIZE])
{
    g_autoptr(behavior_fingerprint) fingerprint = behavior_fingerprint_new();
    behavior_plan chosen = behavior_plan_of(run);
    const guint32 seed = run + 1;
    chosen.plan.witness = &fingerprint->witness;
    g_autofree char *violation = sim_run(seed, &chosen.plan);
    if (violation)
        fprintf(stderr, "%s, seed %" PRIu32 ": %s\n", chosen.name, seed, violation);
    g_snprintf(line, LINE_SIZE, "%-16s %2" PRIu32 " %7lu %7lu %-6s %s", chosen.name, seed,
               fingerprint->actions, fingerprint->responses, violation ? "broken" : "sound",
               behavior_fingerprint_text(fingerprint));
}

/* Starts a child process that executes the run `first` and every `step`-th run after it. The child
 * writes its lines to `lines`, which the processes share. */
static pid_t start_process(char (*lines)[LINE_SIZE], unsigned runs, unsigned first, unsigned step)
{
    pid_t child = fork();
    if (child < 0) {
        fprintf(stderr, "measure_behavior: fork: %s\n", strerror(errno));
        exit(EXIT_FAILURE);
    }
    if (child > 0)
        return child;
    for (unsigned run = first; run < runs; run += step)
        measure(run, lines[run]);
    fflush(stderr);
    _exit(EXIT_SUCCESS);
}

/* Executes the runs in child processes and waits for them. Returns whether all child processes
 * ended successfully. */
static bool run_processes(char (*lines)[LINE_SIZE], unsigned runs, unsigned processes)
{
    pid_t children[RUNS_MAX];
    bool all_ended = true;
    for (unsigned i = 0; i < processes; i++)
        children[i] = start_process(lines, runs, i, processes);
    for (unsigned i = 0; i < processes; i++) {
        int status = 0;
        bool waited = waitpid(children[i], &status, 0) == children[i];
        all_ended = all_ended && waited && WIFEXITED(status) && WEXITSTATUS(status) == EXIT_SUCCESS;
    }
    return all_ended;
}

static void print_lines(char (*lines)[LINE_SIZE], unsigned runs)
{
    GChecksum *total = g_checksum_new(G_CHECKSUM_SHA256);
    for (unsigned run = 0; run < runs; run++) {
        g_checksum_update(total, (const guchar *)lines[run], -1);
        g_checksum_update(total, (const guchar *)"\n", 1);
        puts(lines[run]);
    }
    printf("total of %u: %s\n", runs, g_checksum_get_string(total));
    g_checksum_free(total);
}

/* Returns the whole number in `text` if it is from 1 to RUNS_MAX; otherwise 0. */
static unsigned parse_number(const char *text)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(text, 10, 1, RUNS_MAX, &number, NULL))
        return 0;
    return (unsigned)number;
}

int main(int argc, char **argv)
{
    unsigned runs = argc > 1 ? parse_number(argv[1]) : RUNS_MAX;
    unsigned processes = argc > 2 ? parse_number(argv[2]) : 1;
    if (argc > 3 || runs == 0 || processes == 0) {
        fprintf(stderr, "usage: measure_behavior [RUNS [JOBS]], each from 1 to %d\n", RUNS_MAX);
        return EXIT_FAILURE;
    }
    size_t size = RUNS_MAX * LINE_SIZE;
    void *lines = mmap(NULL, size, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (lines == MAP_FAILED) {
        fprintf(stderr, "measure_behavior: mmap: %s\n", strerror(errno));
        return EXIT_FAILURE;
    }
    bool all_ended = run_processes(lines, runs, MIN(processes, runs));
    if (all_ended)
        print_lines(lines, runs);
    else
        fprintf(stderr, "measure_behavior: a child process failed before its runs ended\n");
    munmap(lines, size);
    return all_ended ? EXIT_SUCCESS : EXIT_FAILURE;
}
