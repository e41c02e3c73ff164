/** Reads and checks the fields of the operators' YAML file. */
#include "config/operator_settings.h"

#include <cyaml/cyaml.h>
#include <glib.h>

#define SHARDS_MAX 1000
#define IDLE_MACHINE_ALLOWANCE_MAX 10000

const mv_operator_settings MV_OPERATOR_SETTINGS_DEFAULT = {.image_wait_s = MV_IMAGE_WAIT_S,
                                                           .shard_lease_s = MV_SHARD_LEASE_S,
                                                           .idle_timeout_s = MV_IDLE_TIMEOUT_S,
                                                           .boot_timeout_factor =
                                                               MV_BOOT_TIMEOUT_FACTOR,
                                                           .shards = MV_SHARDS_DEFAULT,
                                                           .idle_machine_allowance = 0};

/* --- schema of the file --- */

static const cyaml_strval_t SWITCH_WORDS[] = {{"false", false}, {"true", true}};
static const cyaml_strval_t WITHOUT_STATE_WORDS[] = {{"lease", MV_LAUNCH_WHILE_LEASED},
                                                     {"guaranteed", MV_LAUNCH_WITHIN_QUOTA},
                                                     {"never", MV_LAUNCH_NEVER}};
static const cyaml_strval_t WITHOUT_WITNESS_WORDS[] = {{"cut_off", MV_WITHOUT_WITNESS_ISOLATED},
                                                       {"outage", MV_WITHOUT_WITNESS_OUTAGE}};

static const cyaml_schema_field_t FIELDS[] = {
    CYAML_FIELD_FLOAT("image_wait_s", CYAML_FLAG_OPTIONAL, mv_operator_settings, image_wait_s),
    CYAML_FIELD_FLOAT("block_lease_s", CYAML_FLAG_OPTIONAL, mv_operator_settings, shard_lease_s),
    CYAML_FIELD_FLOAT("idle_return_s", CYAML_FLAG_OPTIONAL, mv_operator_settings, idle_timeout_s),
    CYAML_FIELD_FLOAT("boot_factor", CYAML_FLAG_OPTIONAL, mv_operator_settings,
                      boot_timeout_factor),
    CYAML_FIELD_UINT("shards", CYAML_FLAG_OPTIONAL, mv_operator_settings, shards),
    CYAML_FIELD_UINT("spare_machines", CYAML_FLAG_OPTIONAL, mv_operator_settings,
                     idle_machine_allowance),
    /* launch_gate is an enumeration, because libcyaml reads any unknown word in a boolean field as
     * true. */
    CYAML_FIELD_ENUM("launch_gate", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, mv_operator_settings,
                     launch_gate, SWITCH_WORDS, G_N_ELEMENTS(SWITCH_WORDS)),
    CYAML_FIELD_ENUM("launch_without_state", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
                     mv_operator_settings, launch_without_state, WITHOUT_STATE_WORDS,
                     G_N_ELEMENTS(WITHOUT_STATE_WORDS)),
    CYAML_FIELD_ENUM("launch_without_witness", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
                     mv_operator_settings, launch_without_witness, WITHOUT_WITNESS_WORDS,
                     G_N_ELEMENTS(WITHOUT_WITNESS_WORDS)),
    CYAML_FIELD_END};

static const cyaml_schema_value_t SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, mv_operator_settings, FIELDS)};

/* Called by libcyaml for each of its messages. Keeps the first error message only, because the
 * later messages only give the position of the error. */
static void keep_first_error(cyaml_log_t level, void *context, const char *format,
                             va_list arguments)
{
    GString *text = context;
    if (level >= CYAML_LOG_ERROR && text->len == 0)
        g_string_append_vprintf(text, format, arguments);
}

/* Returns the fields of the file, in which an absent field is 0. The caller frees the result with
 * cyaml_free and `config`. Returns NULL and sets `*error` on failure. Returns NULL and leaves
 * `*error` unchanged if the file has no fields. */
static mv_operator_settings *load_file(const char *path, cyaml_config_t *config,
                                       mv_settings_error **error)
{
    mv_operator_settings *loaded = NULL;
    g_autoptr(GString) text = g_string_new(NULL);
    *config = (cyaml_config_t){.log_fn = keep_first_error,
                               .log_ctx = text,
                               .mem_fn = cyaml_mem,
                               .log_level = CYAML_LOG_ERROR};
    const cyaml_err_t status =
        cyaml_load_file(path, config, &SCHEMA, (cyaml_data_t **)&loaded, NULL);
    config->log_ctx = NULL;
    config->log_fn = NULL;
    if (status == CYAML_OK)
        return loaded;
    g_strdelimit(text->str, "\n", ' ');
    *error = mv_settings_error_new(MV_SETTINGS_UNREADABLE, path,
                                   text->len ? g_strchomp(text->str) : cyaml_strerror(status));
    return NULL;
}

/* --- checks --- */

/* Copies a number to `out` unless the number is 0, which stands for an absent field. Returns an
 * error if the number is not within [low, high]. */
static mv_settings_error *read_number(const char *path, const char *name, double value, double low,
                                      double high, double *out)
{
    const bool is_absent = value == 0;
    if (is_absent)
        return NULL;
    *out = value;
    if (value >= low && value <= high)
        return NULL;
    g_autofree char *field = g_strdup_printf("%s: %s", path, name);
    g_autofree char *reason = g_strdup_printf("must be between %g and %g", low, high);
    return mv_settings_error_new(MV_SETTINGS_OUT_OF_RANGE, field, reason);
}

static mv_settings_error *read_numbers(const char *path, const mv_operator_settings *loaded,
                                       mv_operator_settings *out)
{
    const struct {
        const char *name;
        double value, low, high;
        double *out;
    } numbers[] = {{"image_wait_s", loaded->image_wait_s, 0.01, 600, &out->image_wait_s},
                   {"block_lease_s", loaded->shard_lease_s, 2, 600, &out->shard_lease_s},
                   {"idle_return_s", loaded->idle_timeout_s, 1, 86400, &out->idle_timeout_s},
                   {"boot_factor", loaded->boot_timeout_factor, 1, 100, &out->boot_timeout_factor}};
    mv_settings_error *error = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(numbers) && !error; i++)
        error = read_number(path, numbers[i].name, numbers[i].value, numbers[i].low,
                            numbers[i].high, numbers[i].out);
    return error;
}

/* Copies the loaded fields to `out`. An absent field has the value 0. In a field for which 0 makes
 * no sense, 0 keeps the default; in every other field, 0 is also the default. */
static mv_settings_error *read_fields(const char *path, const mv_operator_settings *loaded,
                                      mv_operator_settings *out)
{
    mv_settings_error *error = read_numbers(path, loaded, out);
    if (error)
        return error;
    if (loaded->shards > SHARDS_MAX || loaded->idle_machine_allowance > IDLE_MACHINE_ALLOWANCE_MAX)
        return mv_settings_error_new(
            MV_SETTINGS_OUT_OF_RANGE, path,
            "shards must be at most 1000, and spare_machines at most 10000");
    if (loaded->shards)
        out->shards = loaded->shards;
    out->idle_machine_allowance = loaded->idle_machine_allowance;
    out->launch_gate = loaded->launch_gate;
    out->launch_without_state = loaded->launch_without_state;
    out->launch_without_witness = loaded->launch_without_witness;
    return NULL;
}

mv_settings_error *mv_operator_settings_read(const char *path, mv_operator_settings *out)
{
    mv_settings_error *error = NULL;
    cyaml_config_t config;
    mv_operator_settings *loaded = load_file(path, &config, &error);
    if (!loaded)
        return error;
    error = read_fields(path, loaded, out);
    cyaml_free(&config, &SCHEMA, loaded, 0);
    return error;
}
