/**
 * The environment, which combines the fake state service and the fake cloud. Each of the two
 * servers owns its state and guards it with its own lock.
 */
#include "environment.h"

#include "cloud_server.h"
#include "protocol/records.h"
#include "state_store_server.h"

#include <stdio.h>

struct mv_environment {
    mv_machine_options machine_options; /* must not change after the first machine has started */
    mv_state_store_server *state;
    mv_cloud_server *cloud;
};

mv_environment *mv_environment_start(const mv_environment_options *options)
{
    mv_environment *environment = g_new0(mv_environment, 1);
    environment->machine_options = (mv_machine_options){.run_s = options->run_s,
                                                        .fetch_s = options->fetch_s,
                                                        .lease_s = options->lease_s,
                                                        .heartbeat_ms = options->heartbeat_ms,
                                                        .history = options->history,
                                                        .completed = mv_completed_tasks_new()};
    environment->state = mv_state_store_server_start(options->refuse_every, options->history);
    environment->cloud = mv_cloud_server_start(options->machines, options->deletes_machines,
                                               &environment->machine_options);
    return environment;
}

void mv_environment_stop(mv_environment *environment)
{
    mv_cloud_server_stop(environment->cloud);
    mv_state_store_server_stop(environment->state);
    mv_completed_tasks_free(environment->machine_options.completed);
    g_free(environment);
}

uint16_t mv_environment_state_port(const mv_environment *environment)
{
    return mv_state_store_server_port(environment->state);
}

uint16_t mv_environment_cloud_port(const mv_environment *environment)
{
    return mv_cloud_server_port(environment->cloud);
}

void mv_environment_set_controllers(mv_environment *environment, const uint16_t *ports,
                                    unsigned count)
{
    mv_machine_options *options = &environment->machine_options;
    g_assert_cmpuint(count, <=, MV_CONTROLLERS_MAX);
    for (unsigned i = 0; i < count; i++)
        g_snprintf(options->controllers[i], sizeof options->controllers[i], "127.0.0.1:%u",
                   ports[i]);
    options->controller_count = count;
}

void mv_environment_set_cloud_down(mv_environment *environment, bool down)
{
    mv_cloud_server_set_down(environment->cloud, down);
}

unsigned mv_environment_refused_transactions(mv_environment *environment)
{
    return mv_state_store_server_refused(environment->state);
}

void mv_environment_set_command_link(mv_environment *environment, unsigned machine,
                                     const mv_link_fault *fault)
{
    mv_cloud_server_set_command_link(environment->cloud, machine, fault);
}

void mv_environment_set_hung(mv_environment *environment, unsigned machine, bool hung)
{
    mv_cloud_server_set_hung(environment->cloud, machine, hung);
}

void mv_environment_set_heartbeats_lost(mv_environment *environment, unsigned machine, bool lost)
{
    mv_cloud_server_set_heartbeats_lost(environment->cloud, machine, lost);
}

void mv_environment_set_repeats_commands(mv_environment *environment, unsigned machine,
                                         bool repeats)
{
    mv_cloud_server_set_repeats_commands(environment->cloud, machine, repeats);
}

void mv_environment_hold_watches(mv_environment *environment, bool held)
{
    mv_state_store_server_hold_watches(environment->state, held);
}

void mv_environment_delay_transactions(mv_environment *environment, bool late)
{
    mv_state_store_server_delay_transactions(environment->state, late);
}

/* Returns the number in the name of a controller, "n" and digits, or `fallback`. */
static unsigned parse_holder(GBytes *data, unsigned fallback)
{
    gsize size;
    const void *bytes = g_bytes_get_data(data, &size);
    g_autoptr(mv_document) document = mv_document_parse(bytes, size);
    mv_lease_holder holder = {0};
    unsigned number = fallback;
    if (document && mv_lease_holder_parse(mv_document_root(document), &holder) &&
        sscanf(holder.node, "n%u", &number) != 1)
        number = fallback;
    mv_lease_holder_clear(&holder);
    return number;
}

unsigned mv_environment_lease_holder(mv_environment *environment, const char *key,
                                     unsigned fallback)
{
    const fake_state_store *store = mv_state_store_server_lock(environment->state);
    const fake_record *record = fake_state_store_get((fake_state_store *)store, key);
    const unsigned holder = record ? parse_holder(record->data, fallback) : fallback;
    mv_state_store_server_unlock(environment->state);
    return holder;
}

fake_state_store *mv_environment_lock(mv_environment *environment)
{
    return mv_state_store_server_lock(environment->state);
}

void mv_environment_unlock(mv_environment *environment)
{
    mv_state_store_server_unlock(environment->state);
}
