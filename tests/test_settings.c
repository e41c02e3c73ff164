/**
 * Settings from the platform's file and from the operators' file: valid settings are read, the
 * error names an invalid setting, and the upper bound of a cancellation's duration stays below
 * `cancel_s`.
 *
 * Rules of the protocol page: "within `cancel_s` all of its tasks must be gone" after a
 * cancellation; the limits of the state store (`state`), of which announced future limits apply
 * from the first write on.
 */
#include "config/settings.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

static const char VALID_PLATFORM[] = "node_name = \"n0\"\n"
                                     "area = \"a\"\n"
                                     "listen = \"10.0.0.1:8080\"\n"
                                     "back = \"10.0.0.1:8081\"\n"
                                     "unheard_of = [1, 2]\n"
                                     "[[siblings]]\n"
                                     "node_name = \"n1\"\n"
                                     "address = \"10.0.0.2:8081\"\n"
                                     "[outside]\n"
                                     "cloud = \"10.2.0.2:8443\"\n"
                                     "state = \"10.2.0.1:2379\"\n"
                                     "[settings]\n"
                                     "count = 2\n"
                                     "[[settings.teams]]\n"
                                     "name = \"red\"\n"
                                     "cpus = 80.0\n"
                                     "cpus_max = 192\n"
                                     "[[settings.objectives]]\n"
                                     "kind = \"wait\"\n"
                                     "class = \"rush\"\n"
                                     "within_s = 2.0\n"
                                     "[settings.workers]\n"
                                     "report_s = 3.0\n"
                                     "lease_s = 27.0\n"
                                     "cancel_s = 47.0\n"
                                     "[settings.state]\n"
                                     "rps = 150.0\n"
                                     "write_rps = 30.0\n"
                                     "value_kb = 16.0\n"
                                     "txn_ops = 24\n"
                                     "[settings.cloud]\n"
                                     "rps = 10.0\n"
                                     "list_lag_s = 6.0\n"
                                     "[settings.machine_limits]\n"
                                     "ram_mb = 128.0\n"
                                     "max_connections = 2581\n";

static char *write_file(const char *text)
{
    char *path = NULL;
    const int file = g_file_open_tmp("mv-test-XXXXXX", &path, NULL);
    g_assert_cmpint(file, >=, 0);
    g_assert_cmpint(write(file, text, strlen(text)), ==, (gssize)strlen(text));
    close(file);
    return path;
}

static mv_settings *load(const char *toml, const char *yaml, mv_settings_error **error)
{
    g_autofree char *path = write_file(toml);
    g_autofree char *operator_path = yaml ? write_file(yaml) : NULL;
    mv_settings *settings = mv_settings_load(path, operator_path, error);
    g_unlink(path);
    if (operator_path)
        g_unlink(operator_path);
    return settings;
}

static void valid_settings_are_read(void)
{
    g_autoptr(mv_settings_error) error = NULL;
    mv_settings *settings = load(VALID_PLATFORM, NULL, &error);
    g_assert_null(error);
    g_assert_nonnull(settings);
    g_assert_cmpuint(settings->peer_count, ==, 1);
    g_assert_cmpuint(settings->state_store.port, ==, 2379);
    g_assert_cmpfloat(mv_settings_find_team(settings, "red")->cpus_max, ==, 192);
    g_assert_null(mv_settings_find_team(settings, "blue"));
    g_assert_cmpfloat(settings->ram_mb, ==, 128);
    g_assert_cmpuint(settings->max_connections, ==, 2581);
    g_assert_cmpint(settings->objectives[0].kind, ==, MV_OBJECTIVE_WAIT);
    /* The lease of a former shard owner and then the leases of its agents must end before cancel_s.
     */
    g_assert_cmpfloat(mv_settings_cancel_bound_s(settings), <, settings->cancel_s);
    mv_settings_free(settings);
}

/* With the settings of three sites, the upper bound of a cancellation's duration is the sum of the
 * shard lease, the agent's lease and the time to kill the tasks. The sum stays below cancel_s and
 * leaves each site a shard lease of more than three session lifetimes. */
static void cancel_bound_stays_below_cancel_s(void)
{
    static const struct {
        const char *name;
        double lease_s, cancel_s, shard_lease_s;
    } sites[] = {{"Pine Bluff", 32, 62, 25}, {"Sapporo", 27, 47, 15}, {"Tupelo", 10, 30, 15}};
    for (size_t i = 0; i < G_N_ELEMENTS(sites); i++) {
        const mv_settings settings = {.lease_s = sites[i].lease_s,
                                      .cancel_s = sites[i].cancel_s,
                                      .operator_settings.shard_lease_s = MV_SHARD_LEASE_S};
        const double agent_lease_s = settings.lease_s * (1 + MV_CLOCK_DRIFT);
        const double bound_s = sites[i].shard_lease_s + agent_lease_s + MV_AGENT_KILL_S;
        g_test_message("%s: %.2f of %.0f s", sites[i].name, bound_s, settings.cancel_s);
        g_assert_cmpfloat(mv_settings_shard_lease_s(&settings), ==, sites[i].shard_lease_s);
        g_assert_cmpfloat(mv_settings_cancel_bound_s(&settings), ==, bound_s);
        g_assert_cmpfloat(bound_s, <, settings.cancel_s);
        g_assert_cmpfloat(sites[i].shard_lease_s, >, 3 * MV_SESSION_TTL_S);
    }
}

/* Returns the text of the valid platform's file, in which `replacement` replaces the first line
 * that begins with `prefix`; NULL removes the line. The caller frees the text. */
static char *platform_with_line(const char *prefix, const char *replacement)
{
    g_auto(GStrv) lines = g_strsplit(VALID_PLATFORM, "\n", -1);
    GString *text = g_string_new(NULL);
    bool found = false;
    for (char **line = lines; *line; line++) {
        const bool replaced = !found && g_str_has_prefix(*line, prefix);
        found = found || replaced;
        const char *written = replaced ? replacement : *line;
        if (written)
            g_string_append_printf(text, "%s\n", written);
    }
    g_assert_true(found);
    return g_string_free(text, FALSE);
}

/* Each entry holds the prefix of a line of the platform's file, the invalid replacement of the
 * line, and the setting that the error must name. */
static const struct {
    const char *line, *replacement, *named;
} INVALID_LINES[] = {
    {"node_name", NULL, "node_name"},
    {"listen", "listen = \"localhost:1\"", "listen"},
    {"listen", "listen = \"10.0.0.1:99999\"", "listen"},
    {"listen", "listen = 8080", "listen"},
    {"back", NULL, "back"},
    {"cloud", "cloud = \"10.2.0.2\"", "outside.cloud"},
    {"state", NULL, "outside.state"},
    {"address", "address = \"x\"", "siblings[0].address"},
    {"name", "name = \"\"", "settings.teams[0].name"},
    {"cpus_max", "cpus_max = -1.0", "settings.teams[0].cpus_max"},
    {"cpus =", "cpus = \"many\"", "settings.teams[0].cpus"},
    {"report_s", NULL, "settings.workers.report_s"},
    {"lease_s", "lease_s = nan", "settings.workers.lease_s"},
    {"lease_s", "lease_s = 50.0", "settings.workers.cancel_s"},
    /* The agent's lease and the time to kill the tasks take 31.01 s. */
    {"cancel_s", "cancel_s = 31.0", "settings.workers.cancel_s"},
    {"txn_ops", "txn_ops = 0", "settings.state.txn_ops"},
    {"rps", "rps = 0.0", "settings.state.rps"},
    {"list_lag_s", "list_lag_s = inf", "settings.cloud.list_lag_s"},
    {"ram_mb", "ram_mb = 8.0", "settings.machine_limits.ram_mb"},
    {"max_connections", "max_connections = 40", "settings.machine_limits.max_connections"},
    {"value_kb", "value_kb = 0.5", "settings.state.value_kb"},
    {"txn_ops", "txn_ops = 24\n[settings.state.next]\nvalue_kb = 0",
     "settings.state.next.value_kb"},
    {"txn_ops", "txn_ops = 24\n[settings.state.next]\ntxn_ops = -8", "settings.state.next.txn_ops"},
    {"txn_ops", "txn_ops = 24\n[settings.state.next]\nwrite_rps = \"few\"",
     "settings.state.next.write_rps"},
    {"txn_ops", "txn_ops = 24\n[settings.state.next]\nrps = 0.0", "settings.state.next.rps"},
    {"txn_ops", "txn_ops = 24\nnext = 5", "settings.state.next"},
    {"txn_ops", "txn_ops = 24\nnext = \"soon\"", "settings.state.next"},
    {"area", "area = [", "line 3"}};

static void invalid_platform_setting_is_named(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(INVALID_LINES); i++) {
        g_autoptr(mv_settings_error) error = NULL;
        g_autofree char *toml =
            platform_with_line(INVALID_LINES[i].line, INVALID_LINES[i].replacement);
        g_assert_null(load(toml, NULL, &error));
        g_assert_nonnull(error);
        g_assert_nonnull(strstr(error->text, INVALID_LINES[i].named));
        g_assert_true(g_str_has_prefix(error->text, error->field));
        g_assert_null(strchr(error->text, '\n'));
    }
}

static void missing_file_is_an_error(void)
{
    g_autoptr(mv_settings_error) error = NULL;
    g_assert_null(mv_settings_load("/nowhere/at/all", NULL, &error));
    g_assert_nonnull(error);
    g_assert_cmpint(error->kind, ==, MV_SETTINGS_UNREADABLE);
    g_assert_cmpstr(error->field, ==, "/nowhere/at/all");
    g_assert_true(g_str_has_prefix(error->text, "/nowhere/at/all: "));
}

/* From the first write on, the controller keeps to the smaller of the present limit and the
 * announced future limit. */
static void smaller_of_present_and_future_limits_counts(void)
{
    g_autoptr(mv_settings_error) error = NULL;
    g_autofree char *toml = platform_with_line(
        "txn_ops", "txn_ops = 24\n[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 8\n"
                   "write_rps = 40.0");
    mv_settings *settings = load(toml, NULL, &error);
    g_assert_null(error);
    g_assert_cmpfloat(settings->value_kb, ==, 2);
    g_assert_cmpuint(settings->transaction_writes, ==, 8);
    g_assert_cmpfloat(settings->state_store_write_rps, ==, 30); /* the present limit is smaller */
    g_assert_cmpfloat(settings->state_store_rps, ==, 150);
    mv_settings_free(settings);
}

/* Returns the settings of the valid platform's file with the operators' file `yaml`, which must be
 * valid. The caller frees the settings. */
static mv_settings *load_operators(const char *yaml)
{
    g_autoptr(mv_settings_error) error = NULL;
    mv_settings *settings = load(VALID_PLATFORM, yaml, &error);
    g_assert_null(error);
    g_assert_nonnull(settings);
    return settings;
}

static void operators_settings_override_defaults(void)
{
    mv_settings *settings = load_operators("image_wait_s: 1.5\nshards: 3\n");
    g_assert_cmpfloat(settings->operator_settings.image_wait_s, ==, 1.5);
    g_assert_cmpuint(settings->operator_settings.shards, ==, 3);
    g_assert_cmpfloat(settings->operator_settings.idle_timeout_s, ==, MV_IDLE_TIMEOUT_S);
    mv_settings_free(settings);
}

/* A setting that the operators' file does not name keeps its default, even if the file names no
 * setting at all. */
static void operators_file_without_settings_changes_nothing(void)
{
    mv_settings *settings = load_operators("# nothing yet\n");
    g_assert_cmpfloat(settings->operator_settings.shard_lease_s, ==, MV_SHARD_LEASE_S);
    g_assert_cmpuint(settings->operator_settings.shards, ==, MV_SHARDS_DEFAULT);
    mv_settings_free(settings);
}

static void launch_gate_is_off_by_default(void)
{
    mv_settings *settings = load_operators("image_wait_s: 2\n");
    g_assert_false(settings->operator_settings.launch_gate);
    mv_settings_free(settings);
    settings = load_operators("launch_gate: true\nlaunch_without_state: guaranteed\n"
                              "launch_without_witness: outage\n");
    g_assert_true(settings->operator_settings.launch_gate);
    g_assert_cmpint(settings->operator_settings.launch_without_state, ==, MV_LAUNCH_WITHIN_QUOTA);
    g_assert_cmpint(settings->operator_settings.launch_without_witness, ==,
                    MV_WITHOUT_WITNESS_OUTAGE);
    mv_settings_free(settings);
}

static void invalid_operators_setting_is_an_error(void)
{
    static const char *const invalid[] = {"image_wait_s: -1\n",
                                          "image_wait_s: soon\n",
                                          "shards: 5000\n",
                                          "no_such_setting: 1\n",
                                          "- a\n- b\n",
                                          "boot_factor: 0.2\n",
                                          "launch_gate: 7\n",
                                          "launch_without_state: always\n",
                                          "launch_without_witness: 1\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_autoptr(mv_settings_error) error = NULL;
        g_assert_null(load(VALID_PLATFORM, invalid[i], &error));
        g_assert_nonnull(error);
        g_assert_cmpstr(error->text, !=, "");
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/settings/valid", valid_settings_are_read);
    g_test_add_func("/settings/cancel-bound", cancel_bound_stays_below_cancel_s);
    g_test_add_func("/settings/invalid-platform", invalid_platform_setting_is_named);
    g_test_add_func("/settings/future-limits", smaller_of_present_and_future_limits_counts);
    g_test_add_func("/settings/missing-file", missing_file_is_an_error);
    g_test_add_func("/settings/operators", operators_settings_override_defaults);
    g_test_add_func("/settings/operators-empty", operators_file_without_settings_changes_nothing);
    g_test_add_func("/settings/operators-launch-gate", launch_gate_is_off_by_default);
    g_test_add_func("/settings/operators-invalid", invalid_operators_setting_is_an_error);
    return g_test_run();
}
