#include "connectivity/launch_gate.h"

#include "guards.h"

/* A break while the gate is open, or while it waits for the links to be steady, makes the next wait
 * twice as long: a cut that heals and breaks again within seconds would else open it each time. */
static void count_break(mv_launch_gate *gate, double now, bool behind)
{
    if (now > gate->broke_at + MV_HOLD_FORGET_S)
        gate->breaks = 0;
    if (!behind || gate->breaks == 0)
        gate->breaks++;
    gate->broke_at = now;
    gate->hold_s = MV_HOLD_FIRST_S;
    for (unsigned i = 1; i < gate->breaks && gate->hold_s < MV_HOLD_MOST_S; i++)
        gate->hold_s *= 2;
    gate->hold_s = MIN(gate->hold_s, MV_HOLD_MOST_S);
}

static void close_gate(mv_launch_gate *gate, double now, bool behind)
{
    bool broke = !gate->closed || gate->steady_since > 0;
    if (!gate->closed)
        gate->closed_at = now;
    if (broke)
        count_break(gate, now, behind);
    gate->closed = true;
    gate->steady_since = 0;
    gate->scope = MV_LAUNCH_NOTHING;
}

/* For a moment nothing changes: a slow state service is suspected every few seconds, and the peers,
 * who see the same, say so at once. */
static void suspect(mv_launch_gate *gate, double now, const mv_gate_input *input)
{
    gate->steady_since = 0;
    if (input->silent_s >= MV_SUSPECT_GRACE_S)
        close_gate(gate, now, input->behind);
}

/* An outage for everybody is no break of our own line: what it counted as one is taken back. */
static void pass_outage(mv_launch_gate *gate, const mv_gate_input *input)
{
    static const mv_launch_scope SCOPES[] = {[MV_LAUNCH_LEASE] = MV_LAUNCH_ALL,
                                             [MV_LAUNCH_GUARANTEES] = MV_LAUNCH_GUARANTEED,
                                             [MV_LAUNCH_NEVER] = MV_LAUNCH_NOTHING};
    if (gate->closed && gate->breaks > 0)
        gate->breaks--;
    gate->closed = false;
    gate->steady_since = 0;
    gate->scope = SCOPES[input->without_state];
}

/* Besides being steady, the records have to have been followed anew: jobs called off during the cut
 * are known then. */
static void try_open(mv_launch_gate *gate, double now, const mv_gate_input *input)
{
    if (!gate->closed) {
        gate->scope = MV_LAUNCH_ALL;
        return;
    }
    if (gate->steady_since == 0)
        gate->steady_since = now;
    bool steady = now >= gate->steady_since + gate->hold_s && input->followed >= gate->steady_since;
    if (!GUARD(HOLD_DOWN, steady))
        return;
    gate->closed = false;
    gate->steady_since = 0;
    gate->scope = MV_LAUNCH_ALL;
}

void mv_launch_gate_update(mv_launch_gate *gate, double now, const mv_gate_input *input)
{
    switch (input->links) {
    case MV_LINKS_SUSPECTED:
        suspect(gate, now, input);
        break;
    case MV_LINKS_CUT_OFF:
        close_gate(gate, now, input->behind);
        break;
    case MV_LINKS_OUTAGE:
        pass_outage(gate, input);
        break;
    case MV_LINKS_CONNECTED:
    case MV_LINKS_NO_PEERS:
    case MV_LINKS_NO_WORKERS:
        try_open(gate, now, input);
        break;
    default: /* it has never reached the state service, and holds nothing */
        gate->scope = MV_LAUNCH_NOTHING;
        break;
    }
}
