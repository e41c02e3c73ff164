/** Reading of the cloud's lists: the machine types with their prices, and the machines. */
#ifndef MV_CLOUD_LISTS_H
#define MV_CLOUD_LISTS_H
#include "coordination/autoscaling/autoscaler.h"

/** Requests the lists that are due. Only the leader requests the machine list. */
void mv_cloud_lists_request(mv_autoscaler *autoscaler);
/**
 * Processes the list of machine types (mv_machine_type), and takes ownership of `types`. NULL: the
 * request failed.
 */
void mv_cloud_lists_types_received(mv_autoscaler *autoscaler, GArray *types);
/**
 * Processes a page of the machine list (mv_listed_machine), and requests the next page if `more`
 * pages follow. `listed` is borrowed; NULL: the request failed. Ignores a page other than the
 * page whose request is in flight.
 */
void mv_cloud_lists_page_received(mv_autoscaler *autoscaler, uint64_t action_id,
                                  const GArray *listed, bool more);
#endif
