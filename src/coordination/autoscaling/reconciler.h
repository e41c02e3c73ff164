/** The autoscaler's tick. */
#ifndef MV_RECONCILER_H
#define MV_RECONCILER_H
#include "coordination/autoscaling/autoscaler.h"

/**
 * Does the periodic work of this controller. As the owner of shards, publishes their demand. As the
 * leader, also reconciles partitions with the known machines, plans the fleet, and scales out and
 * in.
 */
void mv_reconciler_tick(mv_autoscaler *autoscaler);
#endif
