#include "coordination/agents/launch_fence.h"

#include "coordination/agents/machine.h"
#include "telemetry/log.h"

void mv_launch_fence_command_sent(mv_machine *machine, uint64_t token)
{
    machine->launch_token = MAX(machine->launch_token, token);
}

/* Returns whether a message under `token` fences off every command that launched an attempt on the
 * machine. */
static bool fences_launches(const mv_machine *machine, uint64_t token)
{
    return SAFETY_CHECK(LAUNCH_FENCE, token > machine->launch_token);
}

/* --- raising the token --- */

/* Returns the lowest token of the shard's range that is higher than the machine's; 0: the range has
 * none. */
static uint64_t next_token(const mv_machine *machine)
{
    const mv_token_range *range = &machine->shard->tokens;
    const uint64_t token = MAX(mv_machine_fencing_token(machine) + 1, range->first);
    return token <= range->last ? token : 0;
}

/* Returns whether a raise has to wait for the command in flight, which the agent would reject under
 * a higher token. The wait is bounded, because one command may follow another. */
static bool waits_for_command(const mv_context *context, const mv_machine *machine)
{
    const double wait_until = machine->clears_wait_since + MV_RAISE_WAIT_MAX_S;
    return machine->command_id && context->clock.now < wait_until;
}

/* Returns whether the token can be raised now. A machine that another shard may get keeps its
 * token: the token under which it enters that shard must be higher. */
static bool can_raise(const mv_context *context, const mv_machine *machine)
{
    if (!next_token(machine)) {
        machine->shard->needs_tokens = true;
        return false;
    }
    const bool may_leave = machine->transferable_revision || machine->departing;
    return !may_leave && !waits_for_command(context, machine);
}

bool mv_launch_fence_can_clear(const mv_context *context, mv_machine *machine)
{
    if (fences_launches(machine, mv_machine_fencing_token(machine)))
        return true;
    if (machine->clears_wait_since == 0)
        machine->clears_wait_since = context->clock.now;
    return can_raise(context, machine);
}

bool mv_launch_fence_has_passed(mv_machine *machine, const mv_placement *placement,
                                const mv_heartbeat *heartbeat)
{
    if (SAFETY_CHECK(LAUNCH_FENCE, heartbeat->fencing_token > placement->launch_token))
        return true;
    machine->fence_requested = true;
    return false;
}

static void raise_token(mv_agents *agents, mv_machine *machine)
{
    machine->raised_token = next_token(machine);
    machine->clears_wait_since = 0;
    agents->context->counters.token_raises++;
    mv_debug("token_raised",
             "machine=%s token=%" G_GUINT64_FORMAT " launch_token=%" G_GUINT64_FORMAT, machine->id,
             machine->raised_token, machine->launch_token);
}

/* --- answers --- */

static bool has_clear(const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++)
        if (g_array_index(commands, mv_command, i).kind == MV_COMMAND_CLEAR)
            return true;
    return false;
}

static void remove_clears(GArray *commands)
{
    for (guint i = commands->len; i-- > 0;)
        if (g_array_index(commands, mv_command, i).kind == MV_COMMAND_CLEAR)
            g_array_remove_index(commands, i);
}

static void report_violation(mv_agents *agents, const mv_machine *machine)
{
    agents->context->counters.invariant_violations++;
    mv_log_limited(MV_LOG_ERROR, "invariant_violated",
                   "rule=clear_is_fenced machine=%s token=%" G_GUINT64_FORMAT
                   " launch_token=%" G_GUINT64_FORMAT " shard=%u",
                   machine->id, mv_machine_fencing_token(machine), machine->launch_token,
                   machine->shard->index);
}

void mv_launch_fence_complete_answer(mv_agents *agents, mv_machine *machine, GArray *commands)
{
    const bool clears = has_clear(commands);
    const bool is_fenced = fences_launches(machine, mv_machine_fencing_token(machine));
    if ((clears || machine->fence_requested) && !is_fenced && can_raise(agents->context, machine))
        raise_token(agents, machine);
    machine->fence_requested = false;
    if (!clears || fences_launches(machine, mv_machine_fencing_token(machine)))
        return;
    report_violation(agents, machine);
    remove_clears(commands);
}
