#include "coordination/agents/machine_lifecycle.h"

#include "coordination/agents/placement.h"

static void remove_all_placements(mv_agents *agents, mv_machine *machine, bool requeue)
{
    while (machine->placements->len)
        mv_placement_remove(agents, machine, machine->placements->len - 1, requeue);
}

void mv_machine_reset(mv_agents *agents, mv_machine *machine)
{
    remove_all_placements(agents, machine, false);
    g_hash_table_remove_all(machine->uncertain_attempts);
    machine->raised_token = machine->launch_token = 0;
    machine->fence_requested = false;
    machine->clears_wait_since = 0;
    machine->unknown_tasks = 0;
    if (machine->shard && machine->confirmed && !machine->occupied)
        mv_shard_segment(machine->shard, machine->segment)->unrecorded_count--;
    machine->confirmed = machine->known_empty = false;
    machine->release_pending = machine->failed = false;
    machine->evicting = machine->draining = false;
    mv_machine_forget_command(agents, machine);
    machine->commands_failed = machine->probes_failed = 0;
    mv_machine_command_delivered(machine);
    machine->commands_paused_until = 0;
    machine->command_requested = false;
    machine->idle_since = agents->context->clock.now;
    machine->summary_at = 0;
    machine->transferable_revision = 0;
}

void mv_machine_departed(mv_agents *agents, mv_machine *machine)
{
    remove_all_placements(agents, machine, true);
    mv_machine_forget_command(agents, machine);
    agents->context->round_requested = true;
    mv_agents_remove(agents, machine);
}
