#include "service/status.h"

#include "bookkeeping/settings.h"
#include "protocol/codec.h"
#include "protocol/names.h"
#include "transport/http_client.h"

#include <stdio.h>
#include <string.h>

static const char *text_of(const msgpack_object *o, const char *name, char *buf, size_t size)
{
    return mv_get_text(o, name, buf, size) == MV_GOT && *buf ? buf : "-";
}

static double num_of(const msgpack_object *o, const char *name)
{
    double v = 0;
    mv_get_num(o, name, &v);
    return v;
}

static void print_teams(const msgpack_object *root)
{
    char a[MV_NAME_SIZE], b[MV_NAME_SIZE];
    const msgpack_object_array *list = mv_get_list(root, "teams");
    printf("\n%-24s %10s %10s %10s  %s\n", "TEAM", "CORES", "GUARANTEED", "LIMIT", "OWNER");
    for (uint32_t i = 0; list && i < list->size; i++) {
        const msgpack_object *t = &list->ptr[i];
        char limit[32] = "none";
        if (num_of(t, "limit") > 0)
            snprintf(limit, sizeof limit, "%.0f", num_of(t, "limit"));
        printf("%-24s %10.1f %10.0f %10s  %s\n", text_of(t, N_NAME, a, sizeof a),
               num_of(t, N_CORES), num_of(t, "guaranteed"), limit,
               text_of(t, "owner", b, sizeof b));
    }
}

typedef struct {
    unsigned machines;
    double tasks;
} tally;

static gint by_text(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

/* A large fleet is counted by type, kind and status: nobody reads a thousand lines. */
static void print_counts(const msgpack_object_array *list)
{
    char type[MV_NAME_SIZE], status[MV_NAME_SIZE];
    g_autoptr(GHashTable) kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (uint32_t i = 0; i < list->size; i++) {
        const msgpack_object *m = &list->ptr[i];
        bool spot = false;
        mv_get_bool(m, N_LOANERS, &spot);
        char *kind = g_strdup_printf("%-14s %-9s %-12s", text_of(m, N_HULL, type, sizeof type),
                                     spot ? "spot" : "ordinary",
                                     text_of(m, N_STATUS, status, sizeof status));
        tally *t = g_hash_table_lookup(kinds, kind);
        if (!t) {
            t = g_new0(tally, 1);
            g_hash_table_insert(kinds, g_strdup(kind), t);
        }
        t->machines++;
        t->tasks += num_of(m, N_PIECES);
        g_free(kind);
    }
    printf("\n%-14s %-9s %-12s %8s %6s\n", "TYPE", "KIND", "STATUS", "MACHINES", "TASKS");
    g_autoptr(GList) names = g_list_sort(g_hash_table_get_keys(kinds), by_text);
    for (const GList *l = names; l; l = l->next) {
        const tally *t = g_hash_table_lookup(kinds, l->data);
        printf("%s %8u %6.0f\n", (const char *)l->data, t->machines, t->tasks);
    }
}

static void print_machines(const msgpack_object *root)
{
    char id[MV_NAME_SIZE], type[MV_NAME_SIZE], status[MV_NAME_SIZE];
    const msgpack_object_array *list = mv_get_list(root, "machines");
    if (list && list->size > MV_STATUS_MACHINES) {
        print_counts(list);
        return;
    }
    printf("\n%-16s %-14s %-9s %-12s %8s %6s\n", "MACHINE", "TYPE", "KIND", "STATUS", "AGE_S",
           "TASKS");
    for (uint32_t i = 0; list && i < list->size; i++) {
        const msgpack_object *m = &list->ptr[i];
        bool spot = false;
        mv_get_bool(m, N_LOANERS, &spot);
        printf("%-16s %-14s %-9s %-12s %8.0f %6.0f\n", text_of(m, N_ID, id, sizeof id),
               text_of(m, N_HULL, type, sizeof type), spot ? "spot" : "ordinary",
               text_of(m, N_STATUS, status, sizeof status), num_of(m, N_AGE), num_of(m, N_PIECES));
    }
}

static void print_jobs(const msgpack_object *root)
{
    char id[MV_NAME_SIZE], class_name[MV_NAME_SIZE], team_name[MV_NAME_SIZE], why[MV_NAME_SIZE];
    char owner[MV_NAME_SIZE];
    const msgpack_object_array *list = mv_get_list(root, "jobs");
    printf("\n%-14s %-18s %-20s %9s %8s %-5s %-14s %s\n", "JOB", "CLASS", "TEAM", "DONE", "AGE_S",
           "LATE", "OWNER", "WAITS FOR");
    for (uint32_t i = 0; list && i < list->size; i++) {
        const msgpack_object *j = &list->ptr[i];
        bool late = false;
        mv_get_bool(j, "late", &late);
        char done[32];
        bool service = false;
        mv_get_bool(j, "service", &service);
        /* Of a service the replicas that are up, of other jobs the tasks that are done. */
        snprintf(done, sizeof done, "%s%.0f/%.0f", service ? "up " : "",
                 num_of(j, service ? N_RUNNING : N_DONE), num_of(j, N_PIECES));
        printf("%-14s %-18s %-20s %9s %8.0f %-5s %-14s %s\n", text_of(j, N_ID, id, sizeof id),
               text_of(j, N_LANE, class_name, sizeof class_name),
               text_of(j, N_CREW, team_name, sizeof team_name), done, num_of(j, N_AGE),
               late ? "LATE" : "", text_of(j, "owner", owner, sizeof owner),
               text_of(j, "why", why, sizeof why));
    }
}

/* With the format that each says it reads; those that say none are of the version before services.
 */
static void print_controllers(const msgpack_object *root, const msgpack_object_array *nodes)
{
    char name[MV_NAME_SIZE];
    bool all_new = false;
    const msgpack_object_array *formats = mv_get_list(root, "formats");
    for (uint32_t i = 0; nodes && i < nodes->size; i++) {
        bool told = formats && i < formats->size &&
                    formats->ptr[i].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
                    formats->ptr[i].via.u64 > 0;
        if (mv_text_copy(&nodes->ptr[i], name, sizeof name))
            printf(" %s (%s%u)", name, told ? "format " : "old, ",
                   told ? (unsigned)formats->ptr[i].via.u64 : 1);
    }
    mv_get_bool(root, "all_new", &all_new);
    printf("\nservices     %s\n", all_new ? "accepted" : "not before all controllers are new");
}

/* What each controller knows of its links; nothing where the launch gate is off. */
static void print_links(const msgpack_object *root)
{
    char name[MV_NAME_SIZE], links[MV_NAME_SIZE], held[MV_NAME_SIZE];
    const msgpack_object_array *list = mv_get_list(root, "links");
    if (!list || list->size == 0)
        return;
    printf("\n%-16s %-12s %8s %9s %9s  %s\n", "CONTROLLER", "LINKS", "FOR_S", "VIEW_AGE",
           "OUTCOMES", "LAUNCHES HELD");
    for (uint32_t i = 0; i < list->size; i++) {
        const msgpack_object *link = &list->ptr[i];
        double age = num_of(link, "view_age_s");
        char told[32] = "never";
        if (age >= 0)
            snprintf(told, sizeof told, "%.1f", age);
        printf("%-16s %-12s %8.0f %9s %9.0f  %s\n", text_of(link, N_NAME, name, sizeof name),
               text_of(link, "links", links, sizeof links), num_of(link, "for_s"), told,
               num_of(link, "outcomes_waiting"), text_of(link, "held", held, sizeof held));
    }
}

int mv_status_print(const char *address)
{
    mv_endpoint at;
    if (!mv_endpoint_parse(address, &at)) {
        fprintf(stderr, "status: %s: must be a numeric address and a port\n", address);
        return 2;
    }
    mv_http_answer answer;
    mv_http_client_init();
    mv_http_call("GET", address, N_OVERVIEW, NULL, MV_CLOUD_TIMEOUT_MS, &answer);
    gsize n;
    const void *p = g_bytes_get_data(answer.body, &n);
    g_autoptr(mv_doc) doc = answer.status == 200 ? mv_doc_parse(p, n) : NULL;
    int code = 1;
    if (doc) {
        char leader[MV_NAME_SIZE];
        const msgpack_object *root = mv_doc_root(doc);
        const msgpack_object_array *nodes = mv_get_list(root, "controllers");
        printf("leader       %s\ncontrollers ", text_of(root, "leader", leader, sizeof leader));
        print_controllers(root, nodes);
        print_links(root);
        print_teams(root);
        print_machines(root);
        print_jobs(root);
        code = 0;
    } else {
        fprintf(stderr, "status: no picture from %s (status %d)\n", address, answer.status);
    }
    mv_http_answer_clear(&answer);
    return code;
}
