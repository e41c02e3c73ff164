#include "coordination/scheduling/scheduler.h"

void mv_scheduler_init(mv_scheduler *scheduler, mv_context *context, mv_job_table *jobs,
                       mv_launch_control *launch_control, mv_agents *agents)
{
    *scheduler = (mv_scheduler){
        .context = context, .jobs = jobs, .launch_control = launch_control, .agents = agents};
    scheduler->schedulable = g_ptr_array_new();
    scheduler->unconfirmed = g_ptr_array_new();
    scheduler->unschedulable = g_ptr_array_new();
}

void mv_scheduler_clear(mv_scheduler *scheduler)
{
    g_ptr_array_unref(scheduler->schedulable);
    g_ptr_array_unref(scheduler->unconfirmed);
    g_ptr_array_unref(scheduler->unschedulable);
}

guint mv_scheduler_rotation_distance(const mv_scheduler *scheduler, const mv_machine *machine)
{
    const guint machines = scheduler->agents->rotation->len;
    return (machine->rotation_index + machines - scheduler->next_in_rotation % machines) % machines;
}
