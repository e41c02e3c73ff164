/**
 * The program `mulleinvalve`: command line, signals and exit codes.
 */
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "server/server.h"
#include "server/status_command.h"

#include <errno.h>
#include <glib.h>
#include <semaphore.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

enum { EXIT_CODE_OK = 0, EXIT_CODE_NOT_STARTED = 1, EXIT_CODE_USAGE = 2 };

/* --- running as a service --- */

static sem_t stop_requested;

static void request_stop(int signal_number)
{
    (void)signal_number;
    sem_post(&stop_requested);
}

static void wait_for_stop_signal(void)
{
    struct sigaction action = {.sa_handler = request_stop};
    sem_init(&stop_requested, 0, 0);
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    while (sem_wait(&stop_requested) < 0 && errno == EINTR)
        ;
}

/* Runs the controller until SIGTERM or SIGINT arrives, and returns the exit code. */
static int serve(const mv_settings *settings)
{
    if (!mv_log_init(settings->node_name)) {
        fprintf(stderr, "mulleinvalve: LOG_LEVEL: must be error, info or debug\n");
        return EXIT_CODE_USAGE;
    }
    mv_metrics_init();
    signal(SIGPIPE, SIG_IGN);
    mv_info("server_started", "version=%s listen=%s:%u", MV_VERSION, settings->listen.host,
            settings->listen.port);
    g_autoptr(GError) error = NULL;
    mv_server *server = mv_server_start(settings, &error);
    if (!server) {
        fprintf(stderr, "mulleinvalve: %s\n", error->message);
        return EXIT_CODE_NOT_STARTED;
    }
    wait_for_stop_signal();
    mv_info("server_stopped", "version=%s", MV_VERSION);
    mv_server_stop(server);
    return EXIT_CODE_OK;
}

/* --- command line --- */

/** The options of the command line. All fields are zero before the parse. */
typedef struct {
    char *settings_path, *operator_settings_path; /* owned; NULL: option absent */
    gboolean check_only, print_version;
} command_line;

/* Parses the options and removes them from `argv`. If an option is invalid, prints an error and
 * returns false. */
static bool parse_options(command_line *options, int *argc, char ***argv)
{
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &options->settings_path,
         "the platform's settings (TOML)", "FILE"},
        {"operator", 'o', 0, G_OPTION_ARG_FILENAME, &options->operator_settings_path,
         "the operators' own settings (YAML)", "FILE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &options->check_only, "check the settings and exit",
         NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &options->print_version,
         "print the version and exit", NULL},
        G_OPTION_ENTRY_NULL};
    g_autoptr(GOptionContext) context = g_option_context_new("[status ADDRESS]");
    g_autoptr(GError) error = NULL;
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_summary(
        context, "A cluster scheduler: one of the controllers of a deployment.\n"
                 "\"status ADDRESS\" prints the cluster overview of the controller at ADDRESS.");
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "mulleinvalve: %s\n", error->message);
        return false;
    }
    return true;
}

/* Loads and checks the settings. Unless --check is given, the controller then runs with these
 * settings until it is stopped. Returns the exit code. */
static int check_or_serve(const command_line *options)
{
    g_autoptr(mv_settings_error) error = NULL;
    mv_settings *settings =
        mv_settings_load(options->settings_path, options->operator_settings_path, &error);
    if (!settings) {
        fprintf(stderr, "mulleinvalve: %s\n", error->text);
        return EXIT_CODE_USAGE;
    }
    int exit_code = EXIT_CODE_OK;
    if (options->check_only)
        printf("the settings are valid\n");
    else
        exit_code = serve(settings);
    mv_settings_free(settings);
    return exit_code;
}

/* Runs what the command line asks for and returns the exit code. `argv` holds the arguments that
 * are not options. */
static int run(const command_line *options, int argc, char **argv)
{
    if (options->print_version) {
        printf("mulleinvalve %s\n", MV_VERSION);
        return EXIT_CODE_OK;
    }
    const bool status_command = argc == 3 && strcmp(argv[1], "status") == 0;
    if (status_command)
        return mv_status_command(argv[2]);
    if (argc != 1 || !options->settings_path) {
        fprintf(stderr, "mulleinvalve: --config FILE or status ADDRESS is needed; see --help\n");
        return EXIT_CODE_USAGE;
    }
    return check_or_serve(options);
}

int main(int argc, char **argv)
{
    command_line options = {0};
    const bool parsed = parse_options(&options, &argc, &argv);
    const int exit_code = parsed ? run(&options, argc, argv) : EXIT_CODE_USAGE;
    g_free(options.settings_path);
    g_free(options.operator_settings_path);
    return exit_code;
}
