/**
 * The command line program fault_injection. It runs a scenario and prints the verdict, runs it with
 * a range of seeds, or prints the script that a seed generates.
 */
#include "history_checker.h"
#include "scenario_runner.h"
#include "script.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_PROGRAM "target/mulleinvalve"
#define VIOLATIONS_SHOWN 5u /* of one seed; the history has all of them */
#define RUN_DIRECTORY_MODE 0755

/* Exit statuses. EXIT_RULES_HELD: the run was complete and broke no rule. EXIT_RULE_BROKEN: the run
 * broke a rule or was incomplete. EXIT_CANNOT_RUN: the program could not run the scenario. */
enum { EXIT_RULES_HELD = 0, EXIT_RULE_BROKEN = 1, EXIT_CANNOT_RUN = 2 };

typedef struct {
    gint seed;
    char *program, *directory; /* owned; NULL if the option is not given: use the default */
    gboolean quiet;
    gint seeds; /* number of seeds that "soak" runs */
    const char *command, *scenario;
} command_line;

static int print_script(const mv_scenario *scenario, uint32_t seed)
{
    g_autoptr(GArray) steps = mv_script_generate(scenario, seed);
    for (guint i = 0; i < steps->len; i++) {
        const mv_step *step = &g_array_index(steps, mv_step, i);
        g_autofree char *description = mv_step_describe(step);
        printf("%8.3f %s\n", step->at, description);
    }
    return EXIT_RULES_HELD;
}

static int print_verdict(const mv_scenario_run_result *run, uint32_t seed, const char *directory)
{
    g_autoptr(mv_check_result) check = mv_history_check(run->events, &run->limits, run->complete);
    const bool sound = check->violations->len == 0 && run->complete;
    printf("verdict      %s\nseed         %u\nhistory      %s/history.txt\n",
           sound ? "every rule held" : "BROKEN", seed, directory);
    printf("jobs         %u accepted: %u done, %u withdrawn, %u without a final record\n",
           check->jobs, check->done, check->cancelled, check->unfinished);
    printf("starts       %u, of them %u of tasks that had completed\n", check->starts,
           check->repeated_starts);
    if (!run->complete)
        printf("incomplete   not every job came to its end within %d s\n",
               MV_SCENARIO_FINISH_TIMEOUT_S);
    for (guint i = 0; i < check->violations->len; i++)
        printf("broken       %s\n", (char *)g_ptr_array_index(check->violations, i));
    return sound ? EXIT_RULES_HELD : EXIT_RULE_BROKEN;
}

static int report_error(const char *message)
{
    fprintf(stderr, "fault_injection: %s\n", message);
    return EXIT_CANNOT_RUN;
}

static int run_scenario(const mv_scenario *scenario, const command_line *options)
{
    g_autoptr(GError) error = NULL;
    g_autofree char *temporary =
        options->directory ? NULL : g_dir_make_tmp("fault-injection-XXXXXX", NULL);
    const mv_scenario_run_options run_options = {
        .program = options->program ? options->program : DEFAULT_PROGRAM,
        .directory = options->directory ? options->directory : temporary,
        .quiet = options->quiet};
    signal(SIGPIPE, SIG_IGN);
    g_autoptr(mv_scenario_run_result) result =
        mv_scenario_run(scenario, (uint32_t)options->seed, &run_options, &error);
    if (!result)
        return report_error(error->message);
    return print_verdict(result, (uint32_t)options->seed, run_options.directory);
}

/* --- a range of seeds --- */

/* The results of the seeds so far. */
typedef struct {
    unsigned passed, failed, not_run;
} soak_summary;

/* Removes the files of a run, which are in one directory without subdirectories. */
static void remove_run(const char *directory)
{
    g_autoptr(GDir) entries = g_dir_open(directory, 0, NULL);
    const char *name;
    while (entries && (name = g_dir_read_name(entries))) {
        g_autofree char *path = g_build_filename(directory, name, NULL);
        g_unlink(path);
    }
    g_rmdir(directory);
}

static void print_seed(const command_line *options, uint32_t seed, const char *directory,
                       const mv_scenario_run_result *run, const mv_check_result *check)
{
    const bool sound = check->violations->len == 0 && run->complete;
    printf("seed %u %s jobs=%u done=%u withdrawn=%u starts=%u violations=%u complete=%d\n", seed,
           sound ? "held" : "BROKEN", check->jobs, check->done, check->cancelled, check->starts,
           check->violations->len, run->complete);
    for (guint i = 0; i < check->violations->len && i < VIOLATIONS_SHOWN; i++)
        printf("    %s\n", (char *)g_ptr_array_index(check->violations, i));
    if (!sound)
        printf("    history and logs: %s; again: fault_injection run %s --seed %u --program %s\n",
               directory, options->scenario, seed,
               options->program ? options->program : DEFAULT_PROGRAM);
    fflush(stdout);
}

/* Runs one seed and counts its result. The files of a run that broke no rule are removed. */
static void soak_seed(const mv_scenario *scenario, const command_line *options, uint32_t seed,
                      const char *base, soak_summary *summary)
{
    g_autoptr(GError) error = NULL;
    g_autofree char *directory = g_strdup_printf("%s/seed-%u", base, seed);
    g_mkdir_with_parents(directory, RUN_DIRECTORY_MODE);
    const mv_scenario_run_options run_options = {.program = options->program ? options->program
                                                                             : DEFAULT_PROGRAM,
                                                 .directory = directory,
                                                 .quiet = true};
    g_autoptr(mv_scenario_run_result) run = mv_scenario_run(scenario, seed, &run_options, &error);
    if (!run) {
        printf("seed %u not run: %s\n", seed, error->message);
        summary->not_run++;
        return;
    }
    g_autoptr(mv_check_result) check = mv_history_check(run->events, &run->limits, run->complete);
    print_seed(options, seed, directory, run, check);
    if (check->violations->len == 0 && run->complete) {
        summary->passed++;
        remove_run(directory);
    } else {
        summary->failed++;
    }
}

static int soak(const mv_scenario *scenario, const command_line *options)
{
    soak_summary summary = {0};
    g_autofree char *temporary =
        options->directory ? NULL : g_dir_make_tmp("fault-injection-XXXXXX", NULL);
    signal(SIGPIPE, SIG_IGN);
    for (gint i = 0; i < options->seeds; i++)
        soak_seed(scenario, options, (uint32_t)(options->seed + i),
                  options->directory ? options->directory : temporary, &summary);
    printf("seeds %d: %u passed, %u failed, %u not run\n", options->seeds, summary.passed,
           summary.failed, summary.not_run);
    if (summary.not_run)
        return EXIT_CANNOT_RUN;
    return summary.failed ? EXIT_RULE_BROKEN : EXIT_RULES_HELD;
}

/* --- command line --- */

static bool command_is_known(const char *command)
{
    return strcmp(command, "run") == 0 || strcmp(command, "soak") == 0 ||
           strcmp(command, "script") == 0;
}

/* Parses the command line into `options`. Returns false after printing the reason if the command
 * line is not valid. */
static bool parse_command_line(int argc, char **argv, command_line *options)
{
    const GOptionEntry entries[] = {
        {"seed", 's', 0, G_OPTION_ARG_INT, &options->seed,
         "seed from which the script is generated (default: 1)", "N"},
        {"program", 'p', 0, G_OPTION_ARG_FILENAME, &options->program,
         "executable of the service (default: " DEFAULT_PROGRAM ")", "FILE"},
        {"directory", 'd', 0, G_OPTION_ARG_FILENAME, &options->directory,
         "directory for settings, logs and the history (default: a new temporary one)", "DIR"},
        {"seeds", 'n', 0, G_OPTION_ARG_INT, &options->seeds,
         "number of seeds that \"soak\" runs, from --seed on (default: 1)", "N"},
        {"quiet", 'q', 0, G_OPTION_ARG_NONE, &options->quiet, "do not print a line for each fault",
         NULL},
        G_OPTION_ENTRY_NULL};
    g_autoptr(GOptionContext) context = g_option_context_new("run|soak|script SCENARIO");
    g_autoptr(GError) error = NULL;
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_summary(
        context, "Injects faults into real controllers on loopback and checks the history.\n"
                 "\"script\" prints the steps that a seed generates; \"run\" executes them; "
                 "\"soak\" executes those of a range of seeds.");
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        report_error(error->message);
        return false;
    }
    if (argc != 3 || !command_is_known(argv[1])) {
        report_error("expected the command \"run SCENARIO\", \"soak SCENARIO\" or "
                     "\"script SCENARIO\"; see --help");
        return false;
    }
    if (options->seeds < 1) {
        report_error("--seeds: must be at least 1");
        return false;
    }
    options->command = argv[1];
    options->scenario = argv[2];
    return true;
}

static int execute(const command_line *options)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(mv_scenario) scenario = mv_scenario_load(options->scenario, &error);
    if (!scenario)
        return report_error(error->message);
    if (strcmp(options->command, "run") == 0)
        return run_scenario(scenario, options);
    if (strcmp(options->command, "soak") == 0)
        return soak(scenario, options);
    return print_script(scenario, (uint32_t)options->seed);
}

int main(int argc, char **argv)
{
    command_line options = {.seed = 1, .seeds = 1};
    const int status =
        parse_command_line(argc, argv, &options) ? execute(&options) : EXIT_CANNOT_RUN;
    g_free(options.program);
    g_free(options.directory);
    return status;
}
