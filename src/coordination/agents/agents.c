#include "coordination/agents/agents.h"

static void free_machine(gpointer data)
{
    mv_machine *machine = data;
    g_ptr_array_unref(machine->placements);
    g_hash_table_unref(machine->uncertain_attempts);
    g_hash_table_unref(machine->failed_jobs);
    g_array_unref(machine->images);
    g_free(machine);
}

void mv_agents_init(mv_agents *agents, mv_context *context, mv_job_table *jobs,
                    mv_launch_control *launch_control)
{
    *agents = (mv_agents){.context = context, .jobs = jobs, .launch_control = launch_control};
    agents->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_machine);
    agents->rotation = g_ptr_array_new();
    agents->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    agents->command_queue = g_ptr_array_new();
    agents->commands_in_flight = g_hash_table_new(g_int64_hash, g_int64_equal);
    agents->command_window = MV_COMMANDS_IN_FLIGHT_MAX;
    agents->nominated = g_ptr_array_new();
}

void mv_agents_clear(mv_agents *agents)
{
    g_ptr_array_unref(agents->rotation);
    g_ptr_array_unref(agents->command_queue);
    g_ptr_array_unref(agents->nominated);
    g_hash_table_unref(agents->commands_in_flight);
    g_hash_table_unref(agents->zones);
    g_hash_table_unref(agents->machines);
}

mv_machine *mv_agents_find(const mv_agents *agents, const char *id)
{
    return g_hash_table_lookup(agents->machines, id);
}

mv_machine *mv_agents_add(mv_agents *agents, const char *id)
{
    mv_machine *machine = g_new0(mv_machine, 1);
    g_strlcpy(machine->id, id, sizeof machine->id);
    machine->type_index = -1;
    machine->slowdown = 1;
    machine->placements = g_ptr_array_new_with_free_func(g_free);
    machine->uncertain_attempts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    machine->images = g_array_new(FALSE, TRUE, sizeof(mv_cached_image));
    machine->failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    machine->rented_at = machine->idle_since = agents->context->clock.now;
    g_hash_table_insert(agents->machines, machine->id, machine);
    machine->rotation_index = agents->rotation->len;
    g_ptr_array_add(agents->rotation, machine);
    return machine;
}

/* Removes the machine from the rotation and moves the last machine into its place, because closing
 * the gap would change the index of every later machine. */
static void leave_rotation(mv_agents *agents, const mv_machine *machine)
{
    guint index = machine->rotation_index;
    g_ptr_array_remove_index_fast(agents->rotation, index);
    if (index < agents->rotation->len)
        ((mv_machine *)g_ptr_array_index(agents->rotation, index))->rotation_index = index;
}

void mv_agents_remove(mv_agents *agents, mv_machine *machine)
{
    if (machine->in_command_queue)
        g_ptr_array_remove_fast(agents->command_queue, machine);
    g_ptr_array_remove_fast(agents->nominated, machine);
    leave_rotation(agents, machine);
    g_hash_table_remove(agents->machines, machine->id);
}
