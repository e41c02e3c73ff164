#include "scenario.h"

#include <cyaml/cyaml.h>
#include <string.h>

#define MOST_CONTROLLERS 10
#define MOST_MACHINES 64
#define MOST_SECONDS 3600
#define MOST_JOBS 10000
#define MOST_TASKS 100
#define MOST_MS 600000
#define QUIET_FIRST_S 3.0 /* until controllers have started and hold their blocks */

static const cyaml_strval_t targets[] = {{"state", MV_SCRIPT_STATE},
                                         {"peers", MV_SCRIPT_PEERS},
                                         {"reports", MV_SCRIPT_REPORTS},
                                         {"commands", MV_SCRIPT_COMMANDS},
                                         {"kill", MV_SCRIPT_KILL}};
static const cyaml_strval_t ways[] = {{"both", MV_SCRIPT_BOTH},
                                      {"requests", MV_SCRIPT_REQUESTS},
                                      {"answers", MV_SCRIPT_ANSWERS},
                                      {"refused", MV_SCRIPT_REFUSED},
                                      {"slow", MV_SCRIPT_SLOW}};
static const cyaml_strval_t switch_words[] = {{"false", 0}, {"true", 1}};

static const cyaml_schema_field_t trouble_fields[] = {
    CYAML_FIELD_ENUM("target", CYAML_FLAG_STRICT, mv_scenario_trouble, target, targets,
                     G_N_ELEMENTS(targets)),
    CYAML_FIELD_ENUM("way", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, mv_scenario_trouble, way, ways,
                     G_N_ELEMENTS(ways)),
    CYAML_FIELD_UINT("every_ms", CYAML_FLAG_DEFAULT, mv_scenario_trouble, every_ms),
    CYAML_FIELD_UINT("least_ms", CYAML_FLAG_DEFAULT, mv_scenario_trouble, least_ms),
    CYAML_FIELD_UINT("most_ms", CYAML_FLAG_DEFAULT, mv_scenario_trouble, most_ms),
    CYAML_FIELD_UINT("delay_ms", CYAML_FLAG_OPTIONAL, mv_scenario_trouble, delay_ms),
    CYAML_FIELD_END};
static const cyaml_schema_value_t trouble_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, mv_scenario_trouble, trouble_fields)};

static const cyaml_schema_field_t scenario_fields[] = {
    CYAML_FIELD_UINT("controllers", CYAML_FLAG_DEFAULT, mv_scenario, controllers),
    CYAML_FIELD_UINT("machines", CYAML_FLAG_DEFAULT, mv_scenario, machines),
    CYAML_FIELD_UINT("seconds", CYAML_FLAG_DEFAULT, mv_scenario, seconds),
    CYAML_FIELD_ENUM("launch_gate", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, mv_scenario,
                     launch_gate, switch_words, G_N_ELEMENTS(switch_words)),
    CYAML_FIELD_UINT("jobs", CYAML_FLAG_DEFAULT, mv_scenario, jobs),
    CYAML_FIELD_UINT("most_tasks", CYAML_FLAG_DEFAULT, mv_scenario, most_tasks),
    CYAML_FIELD_UINT("run_ms", CYAML_FLAG_DEFAULT, mv_scenario, run_ms),
    CYAML_FIELD_UINT("cancel_percent", CYAML_FLAG_OPTIONAL, mv_scenario, cancel_percent),
    CYAML_FIELD_SEQUENCE_COUNT("troubles", CYAML_FLAG_POINTER, mv_scenario, troubles, n_troubles,
                               &trouble_schema, 0, CYAML_UNLIMITED),
    CYAML_FIELD_END};
static const cyaml_schema_value_t scenario_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, mv_scenario, scenario_fields)};

/* The library tells what is wrong first, then where: field by field, each with its line. */
static void keep_error(cyaml_log_t level, void *context, const char *format, va_list args)
{
    GString *into = context;
    if (level >= CYAML_LOG_ERROR)
        g_string_append_vprintf(into, format, args);
}

static const cyaml_config_t *config_into(GString *why)
{
    static cyaml_config_t config;
    config = (cyaml_config_t){
        .log_fn = keep_error, .log_ctx = why, .mem_fn = cyaml_mem, .log_level = CYAML_LOG_ERROR};
    return &config;
}

typedef struct {
    const char *name;
    unsigned value, least, most;
} bound;

static bool within(const bound *bounds, size_t n, const char *path, char *error, size_t size)
{
    for (size_t i = 0; i < n; i++) {
        const bound *b = &bounds[i];
        if (b->value >= b->least && b->value <= b->most)
            continue;
        g_snprintf(error, size, "%s: %s: must lie between %u and %u, not %u", path, b->name,
                   b->least, b->most, b->value);
        return false;
    }
    return true;
}

static bool is_sound(const mv_scenario *s, const char *path, char *error, size_t size)
{
    const bound bounds[] = {{"controllers", s->controllers, 1, MOST_CONTROLLERS},
                            {"machines", s->machines, 1, MOST_MACHINES},
                            {"seconds", s->seconds, 1, MOST_SECONDS},
                            {"jobs", s->jobs, 1, MOST_JOBS},
                            {"most_tasks", s->most_tasks, 1, MOST_TASKS},
                            {"run_ms", s->run_ms, 1, MOST_MS},
                            {"cancel_percent", s->cancel_percent, 0, 100}};
    if (!within(bounds, G_N_ELEMENTS(bounds), path, error, size))
        return false;
    for (unsigned i = 0; i < s->n_troubles; i++) {
        const mv_scenario_trouble *t = &s->troubles[i];
        const bound times[] = {{"every_ms", t->every_ms, 100, MOST_MS},
                               {"least_ms", t->least_ms, 1, MOST_MS},
                               {"most_ms", t->most_ms, t->least_ms, MOST_MS}};
        g_autofree char *where = g_strdup_printf("%s: troubles[%u]", path, i);
        if (!within(times, G_N_ELEMENTS(times), where, error, size))
            return false;
    }
    return true;
}

mv_scenario *mv_scenario_load(const char *path, char *error, size_t error_size)
{
    g_autoptr(GString) why = g_string_new(NULL);
    mv_scenario *scenario = NULL;
    cyaml_err_t err =
        cyaml_load_file(path, config_into(why), &scenario_schema, (cyaml_data_t **)&scenario, NULL);
    if (err != CYAML_OK) {
        g_strdelimit(why->str, "\n", ' ');
        g_snprintf(error, error_size, "%s: %s", path,
                   why->len ? g_strchomp(why->str) : cyaml_strerror(err));
        return NULL;
    }
    if (is_sound(scenario, path, error, error_size))
        return scenario;
    mv_scenario_free(scenario);
    return NULL;
}

void mv_scenario_free(mv_scenario *scenario)
{
    g_autoptr(GString) why = g_string_new(NULL);
    cyaml_free(config_into(why), &scenario_schema, scenario, 0);
}

/* --- the script --- */

static gint by_time(gconstpointer a, gconstpointer b)
{
    const mv_step *x = a, *y = b;
    if (x->at != y->at)
        return x->at < y->at ? -1 : 1;
    return x->kind != y->kind ? (int)x->kind - (int)y->kind : (int)x->which - (int)y->which;
}

static void draw_jobs(const mv_scenario *s, GRand *rand, GArray *steps)
{
    for (unsigned i = 0; i < s->jobs; i++) {
        mv_step submit = {
            .at = g_rand_double_range(rand, 0, s->seconds), .kind = MV_STEP_SUBMIT, .which = i};
        submit.tasks = (unsigned)g_rand_int_range(rand, 1, (gint)s->most_tasks + 1);
        mv_step cancel = {
            .at = submit.at + g_rand_double_range(rand, 0, 5), .kind = MV_STEP_CANCEL, .which = i};
        g_array_append_val(steps, submit);
        if (g_rand_double_range(rand, 0, 100) < s->cancel_percent)
            g_array_append_val(steps, cancel);
    }
}

static void draw_trouble(const mv_scenario *s, const mv_scenario_trouble *t, GRand *rand,
                         GArray *steps)
{
    gint n = (gint)(t->target == MV_SCRIPT_COMMANDS ? s->machines : s->controllers);
    double every = t->every_ms / 1000.0;
    double at = QUIET_FIRST_S + g_rand_double_range(rand, 0, every);
    while (at < s->seconds) {
        mv_step begin = {.at = at,
                         .kind = MV_STEP_BEGIN,
                         .which = (unsigned)g_rand_int_range(rand, 0, n),
                         .target = t->target,
                         .way = t->way,
                         .delay_ms = t->delay_ms};
        mv_step end = begin;
        end.kind = MV_STEP_END;
        end.at = at + g_rand_double_range(rand, t->least_ms, t->most_ms + 1) / 1000;
        g_array_append_val(steps, begin);
        g_array_append_val(steps, end);
        at += every * g_rand_double_range(rand, 0.5, 1.5);
    }
}

GArray *mv_script_draw(const mv_scenario *s, uint32_t seed)
{
    GArray *steps = g_array_new(FALSE, TRUE, sizeof(mv_step));
    GRand *rand = g_rand_new_with_seed(seed);
    draw_jobs(s, rand, steps);
    for (unsigned i = 0; i < s->n_troubles; i++)
        draw_trouble(s, &s->troubles[i], rand, steps);
    g_rand_free(rand);
    g_array_sort(steps, by_time);
    return steps;
}

char *mv_step_describe(const mv_step *step)
{
    switch (step->kind) {
    case MV_STEP_SUBMIT:
        return g_strdup_printf("submit j-%06u tasks=%u", step->which, step->tasks);
    case MV_STEP_CANCEL:
        return g_strdup_printf("cancel j-%06u", step->which);
    default:
        return g_strdup_printf("%s %s %s %u", step->kind == MV_STEP_BEGIN ? "begin" : "end",
                               targets[step->target].str, ways[step->way].str, step->which);
    }
}
