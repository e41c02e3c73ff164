/**
 * Defragmentation: drains machines that the present work of a shard does not need, when no more
 * jobs arrive.
 *
 * A draining machine gets a task only if no other machine has room, so the machine becomes empty
 * and can be returned to the cloud. Without draining, a small amount of work spread over all
 * machines kept every machine from becoming idle: in the last third of a day more than half of the
 * paid capacity was unused.
 */
#ifndef MV_DEFRAGMENTATION_H
#define MV_DEFRAGMENTATION_H
#include "coordination/scheduling/scheduler.h"

/**
 * Drains machines of a shard and moves tasks off draining machines, if no more jobs arrive. While
 * jobs arrive, makes all draining machines of the shard available again.
 */
void mv_defragment(mv_scheduler *scheduler, mv_shard *shard);
#endif
