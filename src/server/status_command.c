/**
 * The `status` command: fetches GET /overview from a controller and prints the overview as tables.
 */
#include "server/status_command.h"

#include "config/settings.h"
#include "protocol/codec.h"
#include "protocol/names.h"
#include "transport/http_client.h"

#include <stdio.h>
#include <string.h>

enum { EXIT_CODE_OK = 0, EXIT_CODE_NO_OVERVIEW = 1, EXIT_CODE_USAGE = 2 };

/* --- reading fields and lists --- */

typedef struct {
    char text[MV_NAME_SIZE];
} text_field;

/* Returns the text of a field for a table, or "-" if the field is absent, empty or too long. */
static text_field read_text(const msgpack_object *map, const char *name)
{
    text_field field = {""};
    const mv_field_result result = mv_field_read_text(map, name, field.text, sizeof field.text);
    if (result != MV_FIELD_PRESENT || !field.text[0])
        g_strlcpy(field.text, "-", sizeof field.text);
    return field;
}

static double read_number(const msgpack_object *map, const char *name)
{
    double value = 0;
    mv_field_read_number(map, name, &value);
    return value;
}

static bool read_bool(const msgpack_object *map, const char *name)
{
    bool value = false;
    mv_field_read_bool(map, name, &value);
    return value;
}

static const char *purchase_kind(const msgpack_object *machine)
{
    return read_bool(machine, WIRE_SPOT) ? "spot" : "ordinary";
}

typedef void (*row_function)(const msgpack_object *row, void *context);

static void for_each_row(const msgpack_object_array *rows, row_function function, void *context)
{
    for (uint32_t i = 0; rows && i < rows->size; i++)
        function(&rows->ptr[i], context);
}

/* --- teams --- */

static void print_team(const msgpack_object *team, void *context)
{
    (void)context;
    const text_field name = read_text(team, WIRE_NAME);
    const text_field owner = read_text(team, "owner");
    char limit[32] = "none";
    if (read_number(team, "limit") > 0)
        snprintf(limit, sizeof limit, "%.0f", read_number(team, "limit"));
    printf("%-24s %10.1f %10.0f %10s  %s\n", name.text, read_number(team, WIRE_CORES),
           read_number(team, "guaranteed"), limit, owner.text);
}

static void print_teams(const msgpack_object *root)
{
    printf("\n%-24s %10s %10s %10s  %s\n", "TEAM", "CORES", "GUARANTEED", "LIMIT", "OWNER");
    for_each_row(mv_field_read_list(root, "teams"), print_team, NULL);
}

/* --- machines --- */

typedef struct {
    unsigned machines;
    double tasks;
} machine_count;

/* Adds a machine to the counts. `context` is a GHashTable of machine_count; the key is the text of
 * the row's first three columns: type, kind and status. */
static void count_machine(const msgpack_object *machine, void *context)
{
    GHashTable *counts = context;
    const text_field type = read_text(machine, WIRE_MACHINE_TYPE);
    const text_field status = read_text(machine, WIRE_STATUS);
    g_autofree char *columns =
        g_strdup_printf("%-14s %-9s %-12s", type.text, purchase_kind(machine), status.text);
    machine_count *count = g_hash_table_lookup(counts, columns);
    if (!count) {
        count = g_new0(machine_count, 1);
        g_hash_table_insert(counts, g_strdup(columns), count);
    }
    count->machines++;
    count->tasks += read_number(machine, WIRE_TASKS);
}

static gint compare_texts(gconstpointer left, gconstpointer right)
{
    return strcmp(left, right);
}

/* Prints the numbers of machines and tasks by type, kind and status. A large fleet is printed this
 * way because an operator cannot use a list of a thousand machines. */
static void print_machine_counts(const msgpack_object_array *machines)
{
    g_autoptr(GHashTable) counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for_each_row(machines, count_machine, counts);
    printf("\n%-14s %-9s %-12s %8s %6s\n", "TYPE", "KIND", "STATUS", "MACHINES", "TASKS");
    g_autoptr(GList) rows = g_list_sort(g_hash_table_get_keys(counts), compare_texts);
    for (const GList *link = rows; link; link = link->next) {
        const machine_count *count = g_hash_table_lookup(counts, link->data);
        printf("%s %8u %6.0f\n", (const char *)link->data, count->machines, count->tasks);
    }
}

static void print_machine(const msgpack_object *machine, void *context)
{
    (void)context;
    const text_field id = read_text(machine, WIRE_ID);
    const text_field type = read_text(machine, WIRE_MACHINE_TYPE);
    const text_field status = read_text(machine, WIRE_STATUS);
    printf("%-16s %-14s %-9s %-12s %8.0f %6.0f\n", id.text, type.text, purchase_kind(machine),
           status.text, read_number(machine, WIRE_AGE), read_number(machine, WIRE_TASKS));
}

static void print_machines(const msgpack_object *root)
{
    const msgpack_object_array *machines = mv_field_read_list(root, "machines");
    if (machines && machines->size > MV_STATUS_MACHINES_MAX) {
        print_machine_counts(machines);
        return;
    }
    printf("\n%-16s %-14s %-9s %-12s %8s %6s\n", "MACHINE", "TYPE", "KIND", "STATUS", "AGE_S",
           "TASKS");
    for_each_row(machines, print_machine, NULL);
}

/* --- jobs --- */

static void print_job(const msgpack_object *job, void *context)
{
    (void)context;
    const text_field id = read_text(job, WIRE_ID);
    const text_field class_name = read_text(job, WIRE_CLASS);
    const text_field team = read_text(job, WIRE_TEAM);
    const text_field owner = read_text(job, "owner");
    const text_field reason = read_text(job, "why");
    const bool service = read_bool(job, "service");
    char done[32];
    /* The column shows the running replicas of a service, and the done tasks of any other job. */
    snprintf(done, sizeof done, "%s%.0f/%.0f", service ? "up " : "",
             read_number(job, service ? WIRE_RUNNING : WIRE_DONE), read_number(job, WIRE_TASKS));
    printf("%-14s %-18s %-20s %9s %8.0f %-5s %-14s %s\n", id.text, class_name.text, team.text, done,
           read_number(job, WIRE_AGE), read_bool(job, "late") ? "LATE" : "", owner.text,
           reason.text);
}

static void print_jobs(const msgpack_object *root)
{
    printf("\n%-14s %-18s %-20s %9s %8s %-5s %-14s %s\n", "JOB", "CLASS", "TEAM", "DONE", "AGE_S",
           "LATE", "OWNER", "WAITS FOR");
    for_each_row(mv_field_read_list(root, "jobs"), print_job, NULL);
}

/* --- controllers --- */

/* Returns the record format that the controller at `index` declares, or 0 if the controller
 * declares none. */
static unsigned declared_format(const msgpack_object_array *formats, uint32_t index)
{
    if (!formats || index >= formats->size)
        return 0;
    const msgpack_object *format = &formats->ptr[index];
    return format->type == MSGPACK_OBJECT_POSITIVE_INTEGER ? (unsigned)format->via.u64 : 0;
}

/* Prints each controller with the record format that the controller declares to read. A controller
 * that declares none runs the version before services, which reads format 1. */
static void print_controllers(const msgpack_object *root)
{
    const msgpack_object_array *nodes = mv_field_read_list(root, "controllers");
    const msgpack_object_array *formats = mv_field_read_list(root, "formats");
    printf("controllers ");
    for (uint32_t i = 0; nodes && i < nodes->size; i++) {
        char name[MV_NAME_SIZE];
        const unsigned format = declared_format(formats, i);
        if (!mv_text_copy(&nodes->ptr[i], name, sizeof name))
            continue;
        if (format > 0)
            printf(" %s (format %u)", name, format);
        else
            printf(" %s (old, 1)", name);
    }
    printf("\nservices     %s\n", read_bool(root, "all_new")
                                      ? "accepted"
                                      : "not accepted until all controllers are upgraded");
}

static void print_link_report(const msgpack_object *report, void *context)
{
    (void)context;
    const text_field name = read_text(report, WIRE_NAME);
    const text_field link_class = read_text(report, "links");
    const text_field held_launches = read_text(report, "held");
    const double age_s = read_number(report, "view_age_s");
    char age[32] = "never";
    if (age_s >= 0)
        snprintf(age, sizeof age, "%.1f", age_s);
    printf("%-16s %-12s %8.0f %9s %9.0f  %s\n", name.text, link_class.text,
           read_number(report, "for_s"), age, read_number(report, "outcomes_waiting"),
           held_launches.text);
}

/* Prints the link report of each controller. If the launch gate is off, there are no reports and
 * nothing is printed. */
static void print_link_reports(const msgpack_object *root)
{
    const msgpack_object_array *reports = mv_field_read_list(root, "links");
    if (!reports || reports->size == 0)
        return;
    printf("\n%-16s %-12s %8s %9s %9s  %s\n", "CONTROLLER", "LINKS", "FOR_S", "VIEW_AGE",
           "OUTCOMES", "LAUNCHES HELD");
    for_each_row(reports, print_link_report, NULL);
}

/* --- the command --- */

static void print_overview(const msgpack_object *root)
{
    printf("leader       %s\n", read_text(root, "leader").text);
    print_controllers(root);
    print_link_reports(root);
    print_teams(root);
    print_machines(root);
    print_jobs(root);
}

int mv_status_command(const char *address)
{
    mv_endpoint endpoint;
    if (!mv_endpoint_parse(address, &endpoint)) {
        fprintf(stderr, "status: %s: must be a numeric address and a port, as in 10.0.0.1:8080\n",
                address);
        return EXIT_CODE_USAGE;
    }
    mv_http_result result;
    mv_http_client_init();
    mv_http_call("GET", address, WIRE_OVERVIEW_PATH, NULL, MV_CLOUD_TIMEOUT_MS, &result);
    gsize size;
    const void *body = g_bytes_get_data(result.body, &size);
    g_autoptr(mv_document) document = result.status == 200 ? mv_document_parse(body, size) : NULL;
    if (document)
        print_overview(mv_document_root(document));
    else
        fprintf(stderr, "status: no readable overview from %s (HTTP status %d; 0: no response)\n",
                address, result.status);
    mv_http_result_clear(&result);
    return document ? EXIT_CODE_OK : EXIT_CODE_NO_OVERVIEW;
}
