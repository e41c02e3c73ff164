/**
 * The HTTP interface of the fake cloud, which starts a simulated machine for each instance.
 */
#include "cloud_server.h"

#include "fake_cloud.h"
#include "fake_worker.h"
#include "loopback_server.h"
#include "protocol/names.h"

#include <microhttpd.h>
#include <pthread.h>
#include <string.h>

struct mv_cloud_server {
    unsigned capacity;
    bool deletes_machines;
    const mv_machine_options *machine_options;
    pthread_mutex_t lock;          /* guards the fields up to `down` */
    GPtrArray *machines;           /* elements are mv_simulated_machine, the deleted ones too */
    GHashTable *deleted;           /* set of the ids of deleted machines */
    GHashTable *instance_requests; /* request name -> GPtrArray of the machine ids granted */
    bool down;
    mv_loopback_server *server;
};

static int list_machine_types(mv_writer *response)
{
    const mv_machine_type type = {.cores = 16,
                                  .ram_gb = 64,
                                  .image_cache_gb = 50,
                                  .image_gb_per_s = 1,
                                  .price = 1,
                                  .spot_price = 0.3,
                                  .boot_s = 20};
    g_autoptr(GArray) types = fake_types_new();
    fake_types_add(types, "big", type);
    g_autoptr(GBytes) packed = mv_machine_types_pack(types);
    mv_write_packed(response, packed);
    return MHD_HTTP_OK;
}

static unsigned present_machines(const mv_cloud_server *server)
{
    return server->machines->len - g_hash_table_size(server->deleted);
}

/* Starts the requested number of machines, or fewer if the cloud's capacity does not suffice.
 * Returns the ids of the new machines. */
static GPtrArray *start_machines(mv_cloud_server *server, const msgpack_object *body)
{
    char type_name[MV_NAME_SIZE] = "";
    uint64_t count = 0;
    bool spot = false;
    mv_field_read_text(body, WIRE_MACHINE_TYPE, type_name, sizeof type_name);
    mv_field_read_u64(body, WIRE_COUNT, &count);
    mv_field_read_bool(body, WIRE_SPOT, &spot);
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    for (uint64_t i = 0; i < count && present_machines(server) < server->capacity; i++) {
        char *id = g_strdup_printf("vm-%06u", server->machines->len + 1);
        g_ptr_array_add(server->machines,
                        mv_simulated_machine_start(server->machine_options, id, type_name, spot));
        g_ptr_array_add(ids, id);
    }
    return ids;
}

/* Handles a request for instances. The handler is idempotent: if a controller repeats a request
 * under the same name, the response lists the same machines and no new machine starts. */
static int request_instances(mv_cloud_server *server, const msgpack_object *body,
                             mv_writer *response)
{
    char name[MV_NAME_SIZE];
    g_assert_cmpint(mv_field_read_text(body, WIRE_REQUEST_NAME, name, sizeof name), ==,
                    MV_FIELD_PRESENT);
    GPtrArray *ids = g_hash_table_lookup(server->instance_requests, name);
    if (!ids) {
        ids = start_machines(server, body);
        g_hash_table_insert(server->instance_requests, g_strdup(name), ids);
    }
    mv_write_map(response, 1);
    if (ids->len == 0) {
        mv_write_text_field(response, WIRE_ERROR, WIRE_NO_CAPACITY);
        return MHD_HTTP_SERVICE_UNAVAILABLE;
    }
    mv_write_text(response, WIRE_MACHINES);
    mv_write_list(response, ids->len);
    for (guint i = 0; i < ids->len; i++)
        mv_write_text(response, g_ptr_array_index(ids, i));
    return MHD_HTTP_OK;
}

/* Responds with an empty list of instances at all times, so that controllers know a machine only by
 * the machine's heartbeats. */
static int list_instances(mv_writer *response)
{
    mv_write_map(response, 2);
    mv_write_text(response, WIRE_MACHINES);
    mv_write_list(response, 0);
    mv_write_bool_field(response, WIRE_MORE, false);
    return MHD_HTTP_OK;
}

static int refuse_while_down(mv_writer *response)
{
    mv_write_map(response, 1);
    mv_write_text_field(response, WIRE_ERROR, "trouble");
    return MHD_HTTP_SERVICE_UNAVAILABLE;
}

static void delete_machine(mv_cloud_server *server, const char *id)
{
    for (guint i = 0; i < server->machines->len; i++) {
        mv_simulated_machine *machine = g_ptr_array_index(server->machines, i);
        if (strcmp(mv_simulated_machine_id(machine), id) == 0 &&
            g_hash_table_add(server->deleted, g_strdup(id)))
            mv_simulated_machine_delete(machine);
    }
}

/* Deletes the named machines, with their tasks, before it responds. */
static int delete_instances(mv_cloud_server *server, const msgpack_object *body)
{
    const msgpack_object_array *names = mv_field_read_list(body, WIRE_MACHINES);
    for (uint32_t i = 0; server->deletes_machines && names && i < names->size; i++) {
        char id[MV_NAME_SIZE];
        if (mv_text_copy(&names->ptr[i], id, sizeof id))
            delete_machine(server, id);
    }
    return MHD_HTTP_OK;
}

static int route(mv_cloud_server *server, const mv_loopback_request *request, mv_writer *response)
{
    if (server->down)
        return refuse_while_down(response);
    if (strcmp(request->path, WIRE_MACHINE_TYPES_PATH) == 0)
        return list_machine_types(response);
    if (strcmp(request->path, WIRE_INSTANCES_PATH) != 0)
        return delete_instances(server, request->body);
    if (strcmp(request->method, "POST") == 0)
        return request_instances(server, request->body, response);
    return list_instances(response);
}

static int handle_request(void *context, const mv_loopback_request *request, mv_writer *response)
{
    mv_cloud_server *server = context;
    pthread_mutex_lock(&server->lock);
    const int status = route(server, request, response);
    pthread_mutex_unlock(&server->lock);
    return status;
}

mv_cloud_server *mv_cloud_server_start(unsigned capacity, bool deletes_machines,
                                       const mv_machine_options *machine_options)
{
    mv_cloud_server *server = g_new0(mv_cloud_server, 1);
    server->capacity = capacity;
    server->deletes_machines = deletes_machines;
    server->machine_options = machine_options;
    pthread_mutex_init(&server->lock, NULL);
    server->machines = g_ptr_array_new();
    server->deleted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    server->instance_requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    server->server = mv_loopback_server_start(handle_request, server);
    return server;
}

uint16_t mv_cloud_server_port(const mv_cloud_server *server)
{
    return mv_loopback_server_port(server->server);
}

void mv_cloud_server_set_down(mv_cloud_server *server, bool down)
{
    pthread_mutex_lock(&server->lock);
    server->down = down;
    pthread_mutex_unlock(&server->lock);
}

void mv_cloud_server_set_command_link(mv_cloud_server *server, unsigned machine,
                                      const mv_link_fault *fault)
{
    pthread_mutex_lock(&server->lock);
    if (machine < server->machines->len)
        mv_simulated_machine_set_command_link(g_ptr_array_index(server->machines, machine), fault);
    pthread_mutex_unlock(&server->lock);
}

void mv_cloud_server_set_hung(mv_cloud_server *server, unsigned machine, bool hung)
{
    pthread_mutex_lock(&server->lock);
    if (machine < server->machines->len)
        mv_simulated_machine_set_hung(g_ptr_array_index(server->machines, machine), hung);
    pthread_mutex_unlock(&server->lock);
}

void mv_cloud_server_set_heartbeats_lost(mv_cloud_server *server, unsigned machine, bool lost)
{
    pthread_mutex_lock(&server->lock);
    if (machine < server->machines->len)
        mv_simulated_machine_set_heartbeats_lost(g_ptr_array_index(server->machines, machine),
                                                 lost);
    pthread_mutex_unlock(&server->lock);
}

void mv_cloud_server_set_repeats_commands(mv_cloud_server *server, unsigned machine, bool repeats)
{
    pthread_mutex_lock(&server->lock);
    if (machine < server->machines->len)
        mv_simulated_machine_set_repeats_commands(g_ptr_array_index(server->machines, machine),
                                                  repeats);
    pthread_mutex_unlock(&server->lock);
}

/* Stops the server first, so that no request starts another machine, and then all machines at the
 * same time. */
void mv_cloud_server_stop(mv_cloud_server *server)
{
    mv_loopback_server_stop(server->server);
    for (guint i = 0; i < server->machines->len; i++)
        mv_simulated_machine_request_stop(g_ptr_array_index(server->machines, i));
    for (guint i = 0; i < server->machines->len; i++)
        mv_simulated_machine_free(g_ptr_array_index(server->machines, i));
    g_ptr_array_unref(server->machines);
    g_hash_table_unref(server->deleted);
    g_hash_table_unref(server->instance_requests);
    pthread_mutex_destroy(&server->lock);
    g_free(server);
}
