/**
 * The check that is disabled in a service built with the option MV_DISABLED_CHECK, and the observer
 * of bindings, which does nothing there.
 */
#include "coordination/scheduling/binding.h"

#ifndef MV_DISABLED_CHECK
#define MV_DISABLED_CHECK MV_CHECK_NONE
#endif

mv_safety_check mv_disabled_check = MV_DISABLED_CHECK;

void mv_binding_observed(const mv_scheduler *scheduler, mv_job *job, const mv_machine *machine)
{
    (void)scheduler;
    (void)job;
    (void)machine;
}
