#include "coordination/foundation/shard_demand.h"

/* Number of slots for a task that needs no resources: any number of such tasks fits. */
#define SLOTS_UNBOUNDED 1e9

void mv_shard_demand_free(mv_shard_demand *demand)
{
    if (!demand)
        return;
    g_clear_pointer(&demand->demands, g_array_unref);
    g_clear_pointer(&demand->machines, g_array_unref);
    g_free(demand);
}

unsigned mv_demand_slots(const mv_resource_demand *demand, double cores, double gpus, double ram_gb)
{
    double slots = SLOTS_UNBOUNDED;
    if (demand->cores > 0)
        slots = MIN(slots, (cores + MV_RESOURCE_EPSILON) / demand->cores);
    if (demand->gpus > 0)
        slots = MIN(slots, (gpus + MV_RESOURCE_EPSILON) / demand->gpus);
    if (demand->ram_gb > 0)
        slots = MIN(slots, (ram_gb + MV_RESOURCE_EPSILON) / demand->ram_gb);
    return slots < 0 ? 0 : (unsigned)slots;
}
