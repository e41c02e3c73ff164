#include "bookkeeping/settings.h"

#include "bookkeeping/toml_bridge.h"

#include <arpa/inet.h>
#include <cyaml/cyaml.h>
#include <glib.h>
#include <math.h>
#include <string.h>

typedef struct {
    mv_toml *doc;
    char *error;
    size_t error_size;
    bool failed;
} reader;

static void fail(reader *r, const char *path, const char *why)
{
    if (!r->failed)
        g_snprintf(r->error, r->error_size, "%s: %s", path, why);
    r->failed = true;
}

static void text(reader *r, const char *path, char *out, size_t size)
{
    mv_toml_status st = mv_toml_string(r->doc, path, out, size);
    if (st == MV_TOML_MISSING)
        fail(r, path, "missing");
    else if (st == MV_TOML_WRONG_TYPE || !*out)
        fail(r, path, "must be a text that is neither empty nor too long");
}

static void endpoint(reader *r, const char *path, mv_endpoint *out)
{
    char buf[80];
    text(r, path, buf, sizeof buf);
    if (!r->failed && !mv_endpoint_parse(buf, out))
        fail(r, path, "must be a numeric address and a port, as in 10.0.0.1:8080");
}

/* A number within [low, high]; `absent` stands when the field is missing, NAN: it is required. */
static double number(reader *r, const char *path, double low, double high, double absent)
{
    double v = absent;
    mv_toml_status st = mv_toml_number(r->doc, path, &v);
    if (st == MV_TOML_MISSING) {
        if (isnan(absent))
            fail(r, path, "missing");
        return absent;
    }
    if (st == MV_TOML_WRONG_TYPE || !isfinite(v)) {
        fail(r, path, "must be a number");
        return low;
    }
    if (v < low || v > high) {
        char why[120];
        g_snprintf(why, sizeof why, "must lie between %g and %g, not %g", low, high, v);
        fail(r, path, why);
    }
    return v;
}

static size_t count(reader *r, const char *path)
{
    size_t n = 0;
    if (mv_toml_count(r->doc, path, &n) == MV_TOML_WRONG_TYPE)
        fail(r, path, "must be a list of tables");
    return n;
}

bool mv_endpoint_parse(const char *textual, mv_endpoint *out)
{
    const char *colon = strrchr(textual, ':');
    if (!colon || colon == textual || (size_t)(colon - textual) >= sizeof out->host)
        return false;
    char host[sizeof out->host];
    g_strlcpy(host, textual, (gsize)(colon - textual) + 1);
    struct in_addr addr;
    guint64 port = 0;
    if (inet_pton(AF_INET, host, &addr) != 1 ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
        return false;
    g_strlcpy(out->host, host, sizeof out->host);
    out->port = (uint16_t)port;
    return true;
}

static void read_peers(reader *r, mv_settings *s)
{
    s->n_peers = count(r, "siblings");
    s->peers = g_new0(mv_sibling, s->n_peers + 1);
    for (size_t i = 0; i < s->n_peers; i++) {
        char path[80];
        g_snprintf(path, sizeof path, "siblings[%zu].node_name", i);
        text(r, path, s->peers[i].name, MV_NAME_SIZE);
        g_snprintf(path, sizeof path, "siblings[%zu].address", i);
        endpoint(r, path, &s->peers[i].back);
    }
}

static void read_teams(reader *r, mv_settings *s)
{
    s->n_teams = count(r, "settings.teams");
    s->teams = g_new0(mv_team, s->n_teams + 1);
    for (size_t i = 0; i < s->n_teams; i++) {
        mv_team *t = &s->teams[i];
        char path[80];
        g_snprintf(path, sizeof path, "settings.teams[%zu].name", i);
        text(r, path, t->name, MV_NAME_SIZE);
        struct {
            const char *name;
            double *to;
        } fields[] = {{"cpus", &t->cpus},
                      {"cpus_max", &t->cpus_max},
                      {"gpus", &t->gpus},
                      {"gpus_max", &t->gpus_max}};
        for (size_t k = 0; k < G_N_ELEMENTS(fields); k++) {
            g_snprintf(path, sizeof path, "settings.teams[%zu].%s", i, fields[k].name);
            *fields[k].to = number(r, path, 0, 1e9, 0);
        }
    }
    if (s->n_teams == 0)
        fail(r, "settings.teams", "at least one team is needed");
}

static void read_objectives(reader *r, mv_settings *s)
{
    static const char *const kinds[] = {"deadline", "wait", "finished", "guarantee"};
    s->n_objectives = count(r, "settings.objectives");
    s->objectives = g_new0(mv_objective, s->n_objectives + 1);
    for (size_t i = 0; i < s->n_objectives; i++) {
        mv_objective *o = &s->objectives[i];
        char path[80];
        g_snprintf(path, sizeof path, "settings.objectives[%zu].kind", i);
        text(r, path, o->kind_name, sizeof o->kind_name);
        o->kind = MV_OBJ_OTHER;
        for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++)
            if (strcmp(o->kind_name, kinds[k]) == 0)
                o->kind = (mv_objective_kind)k;
        g_snprintf(path, sizeof path, "settings.objectives[%zu].class", i);
        if (mv_toml_string(r->doc, path, o->class_name, MV_NAME_SIZE) == MV_TOML_WRONG_TYPE)
            fail(r, path, "must be a text");
        g_snprintf(path, sizeof path, "settings.objectives[%zu].within_s", i);
        o->within_s = number(r, path, 0, 1e9, 0);
        g_snprintf(path, sizeof path, "settings.objectives[%zu].share", i);
        o->share = number(r, path, 0, 1, 0);
    }
}

static void smaller(reader *r, const char *path, double low, double *limit)
{
    *limit = MIN(*limit, number(r, path, low, 1e6, *limit));
}

/* Limits that the state service will have from some moment on, without notice: kept from the start,
 * for what is written larger could not be written again. */
static void read_next(reader *r, mv_settings *s)
{
    static const char next[] = "settings.state.next";
    char word[8];
    double n, ops = s->txn_ops;
    size_t rows;
    if (mv_toml_number(r->doc, next, &n) == MV_TOML_OK ||
        mv_toml_string(r->doc, next, word, sizeof word) == MV_TOML_OK ||
        mv_toml_count(r->doc, next, &rows) == MV_TOML_OK)
        fail(r, next, "must be a table");
    smaller(r, "settings.state.next.rps", 1, &s->state_rps);
    smaller(r, "settings.state.next.write_rps", 1, &s->state_write_rps);
    smaller(r, "settings.state.next.value_kb", 1, &s->value_kb);
    smaller(r, "settings.state.next.txn_ops", 4, &ops);
    s->txn_ops = (unsigned)ops;
}

static void read_platform(reader *r, mv_settings *s)
{
    text(r, "node_name", s->node_name, MV_NAME_SIZE);
    if (mv_toml_string(r->doc, "area", s->area, MV_NAME_SIZE) == MV_TOML_WRONG_TYPE)
        fail(r, "area", "must be a text");
    endpoint(r, "listen", &s->listen);
    endpoint(r, "back", &s->back);
    endpoint(r, "outside.cloud", &s->cloud);
    endpoint(r, "outside.state", &s->state);
    read_peers(r, s);
    s->count = (unsigned)number(r, "settings.count", 1, 1000, (double)s->n_peers + 1);
    s->clock_off_s = number(r, "settings.clock_off_ms", 0, 1e7, 1000) / 1000;
    read_teams(r, s);
    read_objectives(r, s);
    s->report_s = number(r, "settings.workers.report_s", 0.05, 3600, NAN);
    s->lease_s = number(r, "settings.workers.lease_s", 0.5, 86400, NAN);
    s->cancel_s = number(r, "settings.workers.cancel_s", 0.5, 86400, NAN);
    if (!r->failed && mv_settings_cancel_bound(s) >= s->cancel_s)
        fail(r, "settings.workers.cancel_s",
             "must exceed lease_s by over 4 s: cut off from a cancellation, a controller may act "
             "for its block lease, and after that a worker for its own");
    s->state_rps = number(r, "settings.state.rps", 1, 1e6, NAN);
    s->state_write_rps = number(r, "settings.state.write_rps", 1, 1e6, NAN);
    s->value_kb = number(r, "settings.state.value_kb", 1, 1e6, NAN);
    s->txn_ops = (unsigned)number(r, "settings.state.txn_ops", 4, 1e6, NAN);
    read_next(r, s);
    s->cloud_rps = number(r, "settings.cloud.rps", 0.1, 1e6, NAN);
    s->list_lag_s = number(r, "settings.cloud.list_lag_s", 0, 3600, NAN);
    s->max_connections =
        (unsigned)number(r, "settings.machine_limits.max_connections", 100, 1e6, 1000);
    s->ram_mb = number(r, "settings.machine_limits.ram_mb", 24, 1e7, 128);
}

static const cyaml_strval_t switch_words[] = {{"false", false}, {"true", true}};
static const cyaml_strval_t without_state_words[] = {
    {"lease", MV_LAUNCH_LEASE}, {"guaranteed", MV_LAUNCH_GUARANTEES}, {"never", MV_LAUNCH_NEVER}};
static const cyaml_strval_t without_witness_words[] = {{"cut_off", MV_WITHOUT_WITNESS_CUT_OFF},
                                                       {"outage", MV_WITHOUT_WITNESS_OUTAGE}};

static const cyaml_schema_field_t tunable_fields[] = {
    CYAML_FIELD_FLOAT("image_wait_s", CYAML_FLAG_OPTIONAL, mv_tunables, image_wait_s),
    CYAML_FIELD_FLOAT("block_lease_s", CYAML_FLAG_OPTIONAL, mv_tunables, block_lease_s),
    CYAML_FIELD_FLOAT("idle_return_s", CYAML_FLAG_OPTIONAL, mv_tunables, idle_return_s),
    CYAML_FIELD_FLOAT("boot_factor", CYAML_FLAG_OPTIONAL, mv_tunables, boot_factor),
    CYAML_FIELD_UINT("shards", CYAML_FLAG_OPTIONAL, mv_tunables, shards),
    CYAML_FIELD_UINT("spare_machines", CYAML_FLAG_OPTIONAL, mv_tunables, spare_machines),
    /* As an enumeration: the library takes any unknown word for true. */
    CYAML_FIELD_ENUM("launch_gate", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, mv_tunables,
                     launch_gate, switch_words, G_N_ELEMENTS(switch_words)),
    CYAML_FIELD_ENUM("launch_without_state", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, mv_tunables,
                     launch_without_state, without_state_words, G_N_ELEMENTS(without_state_words)),
    CYAML_FIELD_ENUM("launch_without_witness", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, mv_tunables,
                     launch_without_witness, without_witness_words,
                     G_N_ELEMENTS(without_witness_words)),
    CYAML_FIELD_END};

static const cyaml_schema_value_t tunable_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, mv_tunables, tunable_fields)};

static const mv_tunables DEFAULTS = {.image_wait_s = MV_IMAGE_WAIT_S,
                                     .block_lease_s = MV_BLOCK_LEASE_S,
                                     .idle_return_s = MV_IDLE_RETURN_S,
                                     .boot_factor = MV_BOOT_FACTOR,
                                     .shards = MV_SHARDS,
                                     .spare_machines = 0};

static void keep_yaml_error(cyaml_log_t level, void *ctx, const char *format, va_list ap)
{
    GString *into = ctx;
    if (level >= CYAML_LOG_ERROR && into->len == 0)
        g_string_append_vprintf(into, format, ap);
}

/* An absent field reads as 0, and 0 stands for the default wherever 0 itself makes no sense. */
static void read_operator(reader *r, const char *path, mv_tunables *out)
{
    GString *why = g_string_new(NULL);
    cyaml_config_t config = {.log_fn = keep_yaml_error,
                             .log_ctx = why,
                             .mem_fn = cyaml_mem,
                             .log_level = CYAML_LOG_ERROR};
    mv_tunables *got = NULL;
    cyaml_err_t err = cyaml_load_file(path, &config, &tunable_schema, (cyaml_data_t **)&got, NULL);
    if (err != CYAML_OK) {
        g_strdelimit(why->str, "\n", ' ');
        fail(r, path, why->len ? g_strchomp(why->str) : cyaml_strerror(err));
        g_string_free(why, TRUE);
        return;
    }
    g_string_free(why, TRUE);
    struct {
        const char *name;
        double *from, *to;
        double low, high;
    } fields[] = {{"image_wait_s", &got->image_wait_s, &out->image_wait_s, 0.01, 600},
                  {"block_lease_s", &got->block_lease_s, &out->block_lease_s, 2, 600},
                  {"idle_return_s", &got->idle_return_s, &out->idle_return_s, 1, 86400},
                  {"boot_factor", &got->boot_factor, &out->boot_factor, 1, 100}};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (*fields[i].from == 0)
            continue;
        char where[200], bounds[80];
        g_snprintf(where, sizeof where, "%s: %s", path, fields[i].name);
        g_snprintf(bounds, sizeof bounds, "must lie between %g and %g", fields[i].low,
                   fields[i].high);
        if (!(*fields[i].from >= fields[i].low && *fields[i].from <= fields[i].high))
            fail(r, where, bounds);
        *fields[i].to = *fields[i].from;
    }
    if (got->shards > 1000 || got->spare_machines > 10000)
        fail(r, path, "shards may be 1000 at most, spare_machines 10000");
    if (got->shards)
        out->shards = got->shards;
    out->spare_machines = got->spare_machines;
    out->launch_gate = got->launch_gate;
    out->launch_without_state = got->launch_without_state;
    out->launch_without_witness = got->launch_without_witness;
    cyaml_free(&config, &tunable_schema, got, 0);
}

mv_settings *mv_settings_load(const char *path, const char *operator_path, char *error,
                              size_t error_size)
{
    char why[300];
    reader r = {.error = error, .error_size = error_size};
    r.doc = mv_toml_load(path, why, sizeof why);
    if (!r.doc) {
        g_snprintf(error, error_size, "%s: %s", path, why);
        return NULL;
    }
    mv_settings *s = g_new0(mv_settings, 1);
    s->tune = DEFAULTS;
    read_platform(&r, s);
    if (!r.failed && operator_path)
        read_operator(&r, operator_path, &s->tune);
    mv_toml_free(r.doc);
    if (!r.failed)
        return s;
    mv_settings_free(s);
    return NULL;
}

void mv_settings_free(mv_settings *s)
{
    if (!s)
        return;
    g_free(s->peers);
    g_free(s->teams);
    g_free(s->objectives);
    g_free(s);
}

const mv_team *mv_settings_team(const mv_settings *s, const char *name)
{
    for (size_t i = 0; i < s->n_teams; i++)
        if (strcmp(s->teams[i].name, name) == 0)
            return &s->teams[i];
    return NULL;
}

double mv_settings_block_lease(const mv_settings *s)
{
    /* A worker that only an outdated holder reaches keeps a cancelled task for this lease and
     * then its own: together they must stay below cancel_s. */
    double room = s->cancel_s - s->lease_s - MV_CANCEL_MARGIN_S;
    double lease = MIN(s->tune.block_lease_s, room);
    return MAX(lease, MIN(MV_SESSION_TTL_S, (s->cancel_s - s->lease_s) / 2));
}

double mv_settings_cancel_bound(const mv_settings *s)
{
    /* The holder's clock is counted short by the drift, so its lease is no longer than this. */
    double holder = mv_settings_block_lease(s);
    double worker = s->lease_s * (1 + MV_CLOCK_DRIFT);
    /* Longest between a worker's look at its clock and the kill, and for a stop on its way. */
    return holder + worker + MV_KILL_S;
}
