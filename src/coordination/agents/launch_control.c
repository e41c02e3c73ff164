#include "coordination/agents/launch_control.h"

void mv_launch_control_init(mv_launch_control *launch_control, mv_context *context)
{
    *launch_control = (mv_launch_control){.context = context};
    if (context->settings->operator_settings.launch_gate)
        launch_control->connectivity = mv_connectivity_new(context->settings);
}

void mv_launch_control_clear(mv_launch_control *launch_control)
{
    mv_connectivity_free(launch_control->connectivity);
}

static bool is_in_scope(const mv_launch_control *launch_control, const mv_job *job)
{
    switch (mv_connectivity_launch_gate(launch_control->connectivity)->scope) {
    case MV_LAUNCH_SCOPE_ALL:
        return true;
    case MV_LAUNCH_SCOPE_GUARANTEED:
        return job->guaranteed || job->spec.service;
    default:
        return false;
    }
}

bool mv_launch_allowed(mv_launch_control *launch_control, const mv_job *job)
{
    if (!SAFETY_CHECK(CANCELLED_LAUNCH, !job->cancelling))
        return false;
    bool allowed = !launch_control->connectivity || is_in_scope(launch_control, job);
    if (!allowed)
        launch_control->context->counters.launches_held++;
    return SAFETY_CHECK(LAUNCH_GATE, allowed);
}

bool mv_launch_allowed_any(const mv_launch_control *launch_control)
{
    const mv_connectivity *connectivity = launch_control->connectivity;
    bool allowed =
        !connectivity || mv_connectivity_launch_gate(connectivity)->scope != MV_LAUNCH_SCOPE_NONE;
    return SAFETY_CHECK(LAUNCH_GATE, allowed);
}
