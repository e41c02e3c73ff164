/**
 * The launch gate has three states: open; closed with a broken link to the state service; closed
 * with a working link whose hold-down time is not over yet.
 */
#include "connectivity/launch_gate.h"

#include "safety_checks.h"

static double hold_down_after(unsigned break_count)
{
    double hold_down_s = MV_HOLD_DOWN_INITIAL_S;
    for (unsigned i = 1; i < break_count && hold_down_s < MV_HOLD_DOWN_MAX_S; i++)
        hold_down_s *= 2;
    return MIN(hold_down_s, MV_HOLD_DOWN_MAX_S);
}

/* Each counted break doubles the hold-down time, up to MV_HOLD_DOWN_MAX_S. Without this doubling, a
 * partition that heals and breaks again within seconds would open the gate each time. While this
 * process is overloaded, only the first break in a row is counted, because the overload itself can
 * cause the further breaks. */
static void count_break(mv_launch_gate *gate, double now, bool overloaded)
{
    if (now > gate->broken_at + MV_HOLD_DOWN_RESET_S)
        gate->break_count = 0;
    if (!overloaded || gate->break_count == 0)
        gate->break_count++;
    gate->broken_at = now;
    gate->hold_down_s = hold_down_after(gate->break_count);
}

/* Closes the gate. The failure counts as a new break only if the gate was open, or if the gate was
 * closed and the link was working (`stable_since` is set). Otherwise the link is still broken and
 * the break has been counted already. */
static void close_gate(mv_launch_gate *gate, double now, bool overloaded)
{
    const bool was_waiting = gate->stable_since > 0;
    if (!gate->closed || was_waiting)
        count_break(gate, now, overloaded);
    gate->closed = true;
    gate->stable_since = 0;
    gate->scope = MV_LAUNCH_SCOPE_NONE;
}

/* During the grace period (MV_SUSPECT_GRACE_S) an open gate stays open: a slow state service is
 * suspected every few seconds, and the peers, which see the same failure, report the failure at
 * once, so that this controller can classify the failure within the grace period. For a closed gate
 * the hold-down time starts again when the link works again. */
static void close_after_grace(mv_launch_gate *gate, double now, const mv_gate_input *input)
{
    gate->stable_since = 0;
    if (input->state_unreachable_s >= MV_SUSPECT_GRACE_S)
        close_gate(gate, now, input->overloaded);
}

/* In an outage the state service answers no controller, so this controller's own link did not
 * break. A failure that closed the gate was counted as a break, so one break is subtracted. */
static void open_for_outage(mv_launch_gate *gate, const mv_gate_input *input)
{
    static const mv_launch_scope SCOPES[] = {[MV_LAUNCH_WHILE_LEASED] = MV_LAUNCH_SCOPE_ALL,
                                             [MV_LAUNCH_WITHIN_QUOTA] = MV_LAUNCH_SCOPE_GUARANTEED,
                                             [MV_LAUNCH_NEVER] = MV_LAUNCH_SCOPE_NONE};
    if (gate->closed && gate->break_count > 0)
        gate->break_count--;
    gate->closed = false;
    gate->stable_since = 0;
    gate->scope = SCOPES[input->without_state];
}

static void open_gate(mv_launch_gate *gate)
{
    gate->closed = false;
    gate->stable_since = 0;
    gate->scope = MV_LAUNCH_SCOPE_ALL;
}

/* A closed gate opens when the link to the state service has been stable for the hold-down time and
 * the state cache holds every change made before the link recovered. Only then does this controller
 * know which jobs were cancelled during the partition. */
static void open_when_stable(mv_launch_gate *gate, double now, const mv_gate_input *input)
{
    if (!gate->closed) {
        gate->scope = MV_LAUNCH_SCOPE_ALL;
        return;
    }
    if (gate->stable_since == 0)
        gate->stable_since = now;
    const bool hold_down_is_over = now >= gate->stable_since + gate->hold_down_s;
    const bool cache_caught_up = input->cache_caught_up_at >= gate->stable_since;
    if (SAFETY_CHECK(HOLD_DOWN, hold_down_is_over && cache_caught_up))
        open_gate(gate);
}

void mv_launch_gate_update(mv_launch_gate *gate, double now, const mv_gate_input *input)
{
    switch (input->link_class) {
    case MV_LINKS_SUSPECTED:
        close_after_grace(gate, now, input);
        break;
    case MV_LINKS_ISOLATED:
        close_gate(gate, now, input->overloaded);
        break;
    case MV_LINKS_OUTAGE:
        open_for_outage(gate, input);
        break;
    case MV_LINKS_CONNECTED:
    case MV_LINKS_NO_PEERS:
    case MV_LINKS_NO_WORKERS:
        open_when_stable(gate, now, input);
        break;
    default: /* a controller that has never reached the state service owns no shard */
        gate->scope = MV_LAUNCH_SCOPE_NONE;
        break;
    }
}
