/** Reads and checks the fields of the platform's TOML file. */
#include "config/platform_settings.h"

#include <glib.h>
#include <string.h>

#define PATH_SIZE 80
/* A larger guarantee or limit of a team, or a longer time of an objective, is rejected as a
 * mistake. */
#define AMOUNT_MAX 1e9
/* Upper bound of requests per second, of kilobytes and of writes in a transaction. */
#define RATE_MAX 1e6

static void read_peers(mv_toml_reader *reader, mv_settings *settings)
{
    settings->peer_count = mv_toml_read_length(reader, "siblings");
    settings->peers = g_new0(mv_peer_settings, settings->peer_count + 1);
    for (size_t i = 0; i < settings->peer_count; i++) {
        mv_peer_settings *peer = &settings->peers[i];
        char path[PATH_SIZE];
        g_snprintf(path, sizeof path, "siblings[%zu].node_name", i);
        mv_toml_read_text(reader, path, peer->name, MV_NAME_SIZE);
        g_snprintf(path, sizeof path, "siblings[%zu].address", i);
        mv_toml_read_endpoint(reader, path, &peer->endpoint);
    }
}

static void read_team(mv_toml_reader *reader, size_t index, mv_team_settings *team)
{
    const struct {
        const char *name;
        double *value;
    } quotas[] = {{"cpus", &team->cpus},
                  {"cpus_max", &team->cpus_max},
                  {"gpus", &team->gpus},
                  {"gpus_max", &team->gpus_max}};
    char path[PATH_SIZE];
    g_snprintf(path, sizeof path, "settings.teams[%zu].name", index);
    mv_toml_read_text(reader, path, team->name, MV_NAME_SIZE);
    for (size_t i = 0; i < G_N_ELEMENTS(quotas); i++) {
        g_snprintf(path, sizeof path, "settings.teams[%zu].%s", index, quotas[i].name);
        *quotas[i].value = mv_toml_read_optional_number(reader, path, 0, AMOUNT_MAX, 0);
    }
}

static void read_teams(mv_toml_reader *reader, mv_settings *settings)
{
    settings->team_count = mv_toml_read_length(reader, "settings.teams");
    settings->teams = g_new0(mv_team_settings, settings->team_count + 1);
    for (size_t i = 0; i < settings->team_count; i++)
        read_team(reader, i, &settings->teams[i]);
    if (settings->team_count == 0)
        mv_toml_reader_fail(reader, MV_SETTINGS_MISSING, "settings.teams",
                            "must list at least one team");
}

/* Returns the kind of this name; a name that this version does not know is no error. */
static mv_objective_kind objective_kind(const char *name)
{
    static const char *const NAMES[] = {"deadline", "wait", "finished", "guarantee"};
    for (size_t i = 0; i < G_N_ELEMENTS(NAMES); i++)
        if (strcmp(name, NAMES[i]) == 0)
            return (mv_objective_kind)i;
    return MV_OBJECTIVE_OTHER;
}

static void read_objective(mv_toml_reader *reader, size_t index, mv_objective *objective)
{
    char path[PATH_SIZE];
    g_snprintf(path, sizeof path, "settings.objectives[%zu].kind", index);
    mv_toml_read_text(reader, path, objective->kind_name, sizeof objective->kind_name);
    objective->kind = objective_kind(objective->kind_name);
    g_snprintf(path, sizeof path, "settings.objectives[%zu].class", index);
    mv_toml_read_optional_text(reader, path, objective->class_name, MV_NAME_SIZE);
    g_snprintf(path, sizeof path, "settings.objectives[%zu].within_s", index);
    objective->within_s = mv_toml_read_optional_number(reader, path, 0, AMOUNT_MAX, 0);
    g_snprintf(path, sizeof path, "settings.objectives[%zu].share", index);
    objective->target_share = mv_toml_read_optional_number(reader, path, 0, 1, 0);
}

static void read_objectives(mv_toml_reader *reader, mv_settings *settings)
{
    settings->objective_count = mv_toml_read_length(reader, "settings.objectives");
    settings->objectives = g_new0(mv_objective, settings->objective_count + 1);
    for (size_t i = 0; i < settings->objective_count; i++)
        read_objective(reader, i, &settings->objectives[i]);
}

static void read_agents(mv_toml_reader *reader, mv_settings *settings)
{
    settings->report_s = mv_toml_read_number(reader, "settings.workers.report_s", 0.05, 3600);
    settings->lease_s = mv_toml_read_number(reader, "settings.workers.lease_s", 0.5, 86400);
    settings->cancel_s = mv_toml_read_number(reader, "settings.workers.cancel_s", 0.5, 86400);
    if (!reader->error && mv_settings_cancel_bound_s(settings) >= settings->cancel_s)
        mv_toml_reader_fail(
            reader, MV_SETTINGS_INCONSISTENT, "settings.workers.cancel_s",
            "must exceed settings.workers.lease_s by more than 4 s plus clock drift: a "
            "controller that does not learn of a cancellation may act until its "
            "shard lease expires, and an agent may then act until the agent's own "
            "lease expires");
}

/* Reduces a limit to the number at `path`, if that field is present and lower than the limit. */
static void reduce_limit(mv_toml_reader *reader, const char *path, double low, double *limit)
{
    *limit = MIN(*limit, mv_toml_read_optional_number(reader, path, low, RATE_MAX, *limit));
}

/* Reports an error if settings.state.next is a number, a list or a string of less than 8 bytes.
 * These values have no fields, so without this check the loader would accept the value and reduce
 * no limit. */
static void check_next_is_table(mv_toml_reader *reader)
{
    static const char PATH[] = "settings.state.next";
    double number;
    char text[8];
    size_t length;
    if (mv_toml_number(reader->document, PATH, &number) == MV_TOML_OK ||
        mv_toml_string(reader->document, PATH, text, sizeof text) == MV_TOML_OK ||
        mv_toml_count(reader->document, PATH, &length) == MV_TOML_OK)
        mv_toml_reader_fail(reader, MV_SETTINGS_WRONG_TYPE, PATH,
                            "must be a table with any of rps, write_rps, value_kb and txn_ops");
}

/* Reads the limits that the state service will apply later, from a moment that is not announced.
 * The controller observes these limits from its start, because a record that was written under the
 * larger limits could not be written again under the smaller ones. */
static void read_next_state_store_limits(mv_toml_reader *reader, mv_settings *settings)
{
    double transaction_writes = settings->transaction_writes;
    check_next_is_table(reader);
    reduce_limit(reader, "settings.state.next.rps", 1, &settings->state_store_rps);
    reduce_limit(reader, "settings.state.next.write_rps", 1, &settings->state_store_write_rps);
    reduce_limit(reader, "settings.state.next.value_kb", 1, &settings->value_kb);
    reduce_limit(reader, "settings.state.next.txn_ops", MV_TRANSACTION_WRITES_MIN,
                 &transaction_writes);
    settings->transaction_writes = (unsigned)transaction_writes;
}

static void read_state_store(mv_toml_reader *reader, mv_settings *settings)
{
    settings->state_store_rps = mv_toml_read_number(reader, "settings.state.rps", 1, RATE_MAX);
    settings->state_store_write_rps =
        mv_toml_read_number(reader, "settings.state.write_rps", 1, RATE_MAX);
    settings->value_kb = mv_toml_read_number(reader, "settings.state.value_kb", 1, RATE_MAX);
    settings->transaction_writes = (unsigned)mv_toml_read_number(
        reader, "settings.state.txn_ops", MV_TRANSACTION_WRITES_MIN, RATE_MAX);
    read_next_state_store_limits(reader, settings);
}

void mv_platform_settings_read(mv_toml_reader *reader, mv_settings *settings)
{
    mv_toml_read_text(reader, "node_name", settings->node_name, MV_NAME_SIZE);
    mv_toml_read_optional_text(reader, "area", settings->area, MV_NAME_SIZE);
    mv_toml_read_endpoint(reader, "listen", &settings->listen);
    mv_toml_read_endpoint(reader, "back", &settings->peer_endpoint);
    mv_toml_read_endpoint(reader, "outside.cloud", &settings->cloud);
    mv_toml_read_endpoint(reader, "outside.state", &settings->state_store);
    read_peers(reader, settings);
    settings->controller_count = (unsigned)mv_toml_read_optional_number(
        reader, "settings.count", 1, 1000, (double)settings->peer_count + 1);
    settings->clock_offset_max_s =
        mv_toml_read_optional_number(reader, "settings.clock_off_ms", 0, 1e7, 1000) / 1000;
    read_teams(reader, settings);
    read_objectives(reader, settings);
    read_agents(reader, settings);
    read_state_store(reader, settings);
    settings->cloud_rps = mv_toml_read_number(reader, "settings.cloud.rps", 0.1, RATE_MAX);
    settings->machine_list_lag_s =
        mv_toml_read_number(reader, "settings.cloud.list_lag_s", 0, 3600);
    settings->max_connections = (unsigned)mv_toml_read_optional_number(
        reader, "settings.machine_limits.max_connections", 100, 1e6, 1000);
    settings->ram_mb =
        mv_toml_read_optional_number(reader, "settings.machine_limits.ram_mb", 24, 1e7, 128);
}
