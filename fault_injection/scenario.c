/**
 * Loads scenario files with libcyaml: their schema, the bounds of their numbers, and error
 * messages.
 */
#include "scenario.h"

#include <cyaml/cyaml.h>

#define CONTROLLERS_MAX 10
#define MACHINES_MAX 400
#define SECONDS_MAX 3600
#define JOBS_MAX 10000
#define TASKS_MAX 100
#define TIME_MS_MAX 600000
#define CANCEL_S_MIN 13 /* below, the settings leave no time for a shard lease */
#define CANCEL_S_MAX 120
#define CANCEL_S_DEFAULT 30
#define TEAM_CORES_MAX 10000
#define TEAM_CORES_DEFAULT 40
#define SHARDS_MAX 10
#define FAULT_INTERVAL_MS_MIN 100

G_DEFINE_QUARK(mv - scenario - error - quark, mv_scenario_error)

/* --- schema; the keys and values of scenario files must not change --- */

static const cyaml_strval_t TARGETS[] = {{"state", MV_FAULT_STATE_LINK},
                                         {"peers", MV_FAULT_PEER_LINKS},
                                         {"reports", MV_FAULT_HEARTBEAT_LINK},
                                         {"commands", MV_FAULT_COMMAND_LINK},
                                         {"kill", MV_FAULT_CONTROLLER},
                                         {"kill_leader", MV_FAULT_LEADER},
                                         {"kill_owner", MV_FAULT_OWNER},
                                         {"pause", MV_FAULT_PAUSE},
                                         {"all_state", MV_FAULT_ALL_STATE_LINKS},
                                         {"watches", MV_FAULT_WATCHES},
                                         {"late_writes", MV_FAULT_LATE_TRANSACTIONS},
                                         {"cloud", MV_FAULT_CLOUD},
                                         {"hang", MV_FAULT_MACHINE},
                                         {"machine_reports", MV_FAULT_MACHINE_HEARTBEATS},
                                         {"command_copies", MV_FAULT_COMMAND_COPIES}};
static const cyaml_strval_t MODES[] = {{"both", MV_FAULT_DROP_BOTH},
                                       {"requests", MV_FAULT_DROP_REQUESTS},
                                       {"answers", MV_FAULT_DROP_RESPONSES},
                                       {"refused", MV_FAULT_REFUSE},
                                       {"slow", MV_FAULT_DELAY}};
/* libcyaml reads any unknown word in a boolean field as true. The schema declares booleans as an
 * enum instead, so that libcyaml rejects unknown words. */
static const cyaml_strval_t BOOLEANS[] = {{"false", 0}, {"true", 1}};

static const cyaml_schema_field_t FAULT_FIELDS[] = {
    CYAML_FIELD_ENUM("target", CYAML_FLAG_STRICT, mv_scenario_fault, target, TARGETS,
                     G_N_ELEMENTS(TARGETS)),
    CYAML_FIELD_ENUM("way", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, mv_scenario_fault, mode, MODES,
                     G_N_ELEMENTS(MODES)),
    CYAML_FIELD_UINT("every_ms", CYAML_FLAG_DEFAULT, mv_scenario_fault, interval_ms),
    CYAML_FIELD_UINT("least_ms", CYAML_FLAG_DEFAULT, mv_scenario_fault, min_ms),
    CYAML_FIELD_UINT("most_ms", CYAML_FLAG_DEFAULT, mv_scenario_fault, max_ms),
    CYAML_FIELD_UINT("delay_ms", CYAML_FLAG_OPTIONAL, mv_scenario_fault, delay_ms),
    CYAML_FIELD_END};
static const cyaml_schema_value_t FAULT_SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mv_scenario_fault, FAULT_FIELDS)};

static const cyaml_schema_field_t SCENARIO_FIELDS[] = {
    CYAML_FIELD_UINT("controllers", CYAML_FLAG_DEFAULT, mv_scenario, controllers),
    CYAML_FIELD_UINT("machines", CYAML_FLAG_DEFAULT, mv_scenario, machines),
    CYAML_FIELD_UINT("seconds", CYAML_FLAG_DEFAULT, mv_scenario, seconds),
    CYAML_FIELD_ENUM("launch_gate", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, mv_scenario,
                     launch_gate, BOOLEANS, G_N_ELEMENTS(BOOLEANS)),
    CYAML_FIELD_UINT("jobs", CYAML_FLAG_DEFAULT, mv_scenario, jobs),
    CYAML_FIELD_UINT("most_tasks", CYAML_FLAG_DEFAULT, mv_scenario, max_tasks),
    CYAML_FIELD_UINT("run_ms", CYAML_FLAG_DEFAULT, mv_scenario, run_ms),
    CYAML_FIELD_UINT("cancel_percent", CYAML_FLAG_OPTIONAL, mv_scenario, cancel_percent),
    CYAML_FIELD_UINT("fetch_ms", CYAML_FLAG_OPTIONAL, mv_scenario, fetch_ms),
    CYAML_FIELD_UINT("cancel_s", CYAML_FLAG_OPTIONAL, mv_scenario, cancel_s),
    CYAML_FIELD_UINT("team_cores", CYAML_FLAG_OPTIONAL, mv_scenario, team_cores),
    CYAML_FIELD_UINT("shards", CYAML_FLAG_OPTIONAL, mv_scenario, shards),
    CYAML_FIELD_ENUM("repeat_requests", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, mv_scenario,
                     repeat_requests, BOOLEANS, G_N_ELEMENTS(BOOLEANS)),
    CYAML_FIELD_SEQUENCE_COUNT("troubles", CYAML_FLAG_POINTER, mv_scenario, faults, fault_count,
                               &FAULT_SCHEMA, 0, CYAML_UNLIMITED),
    CYAML_FIELD_END};
static const cyaml_schema_value_t SCENARIO_SCHEMA = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, mv_scenario, SCENARIO_FIELDS)};

const char *mv_fault_target_name(mv_fault_target target)
{
    return TARGETS[target].str;
}

const char *mv_fault_mode_name(mv_fault_mode mode)
{
    return MODES[mode].str;
}

/* --- bounds --- */

typedef struct {
    const char *field;
    unsigned value, min, max;
} bound;

static bool are_within(const bound *bounds, size_t count, const char *where, GError **error)
{
    for (size_t i = 0; i < count; i++) {
        const bound *bound = &bounds[i];
        if (bound->value >= bound->min && bound->value <= bound->max)
            continue;
        g_set_error(error, MV_SCENARIO_ERROR, MV_SCENARIO_ERROR_RANGE,
                    "%s: %s: must lie between %u and %u, not %u", where, bound->field, bound->min,
                    bound->max, bound->value);
        return false;
    }
    return true;
}

static bool fault_is_valid(const mv_scenario_fault *fault, const char *where, GError **error)
{
    const bound bounds[] = {{"every_ms", fault->interval_ms, FAULT_INTERVAL_MS_MIN, TIME_MS_MAX},
                            {"least_ms", fault->min_ms, 1, TIME_MS_MAX},
                            {"most_ms", fault->max_ms, fault->min_ms, TIME_MS_MAX}};
    return are_within(bounds, G_N_ELEMENTS(bounds), where, error);
}

static bool scenario_is_valid(const mv_scenario *scenario, const char *path, GError **error)
{
    const bound bounds[] = {{"controllers", scenario->controllers, 1, CONTROLLERS_MAX},
                            {"machines", scenario->machines, 1, MACHINES_MAX},
                            {"seconds", scenario->seconds, 1, SECONDS_MAX},
                            {"jobs", scenario->jobs, 1, JOBS_MAX},
                            {"most_tasks", scenario->max_tasks, 1, TASKS_MAX},
                            {"run_ms", scenario->run_ms, 1, TIME_MS_MAX},
                            {"cancel_percent", scenario->cancel_percent, 0, 100},
                            {"fetch_ms", scenario->fetch_ms, 0, TIME_MS_MAX},
                            {"cancel_s", scenario->cancel_s, CANCEL_S_MIN, CANCEL_S_MAX},
                            {"team_cores", scenario->team_cores, 1, TEAM_CORES_MAX},
                            {"shards", scenario->shards, 0, SHARDS_MAX}};
    if (!are_within(bounds, G_N_ELEMENTS(bounds), path, error))
        return false;
    for (unsigned i = 0; i < scenario->fault_count; i++) {
        g_autofree char *where = g_strdup_printf("%s: troubles[%u]", path, i);
        if (!fault_is_valid(&scenario->faults[i], where, error))
            return false;
    }
    return true;
}

/* --- loading --- */

static void set_defaults(mv_scenario *scenario)
{
    if (!scenario->cancel_s)
        scenario->cancel_s = CANCEL_S_DEFAULT;
    if (!scenario->team_cores)
        scenario->team_cores = TEAM_CORES_DEFAULT;
}

double mv_scenario_max_hang_s(const mv_scenario *scenario)
{
    unsigned max_ms = 0;
    for (unsigned i = 0; i < scenario->fault_count; i++)
        if (scenario->faults[i].target == MV_FAULT_MACHINE)
            max_ms = MAX(max_ms, scenario->faults[i].max_ms);
    return max_ms / 1000.0;
}

/* Log function for libcyaml: appends each error message to a GString. libcyaml logs first the
 * error itself and then its location, one message with a line number for each enclosing field. */
static void collect_messages(cyaml_log_t level, void *context, const char *format, va_list args)
{
    GString *messages = context;
    if (level >= CYAML_LOG_ERROR)
        g_string_append_vprintf(messages, format, args);
}

static cyaml_config_t config_with_messages(GString *messages)
{
    return (cyaml_config_t){.log_fn = collect_messages,
                            .log_ctx = messages,
                            .mem_fn = cyaml_mem,
                            .log_level = CYAML_LOG_ERROR};
}

mv_scenario *mv_scenario_load(const char *path, GError **error)
{
    g_autoptr(GString) messages = g_string_new(NULL);
    g_autoptr(mv_scenario) scenario = NULL;
    const cyaml_config_t config = config_with_messages(messages);
    const cyaml_err_t result =
        cyaml_load_file(path, &config, &SCENARIO_SCHEMA, (cyaml_data_t **)&scenario, NULL);
    if (result != CYAML_OK) {
        g_strdelimit(messages->str, "\n", ' ');
        g_set_error(error, MV_SCENARIO_ERROR, MV_SCENARIO_ERROR_FILE, "%s: %s", path,
                    messages->len ? g_strchomp(messages->str) : cyaml_strerror(result));
        return NULL;
    }
    set_defaults(scenario);
    if (!scenario_is_valid(scenario, path, error))
        return NULL;
    return g_steal_pointer(&scenario);
}

void mv_scenario_free(mv_scenario *scenario)
{
    g_autoptr(GString) messages = g_string_new(NULL);
    const cyaml_config_t config = config_with_messages(messages);
    cyaml_free(&config, &SCENARIO_SCHEMA, scenario, 0);
}
