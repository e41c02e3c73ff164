/**
 * Handler of the heartbeats that agents send.
 */
#ifndef MV_HEARTBEAT_ENDPOINT_H
#define MV_HEARTBEAT_ENDPOINT_H
#include "server/request.h"

/**
 * Handles the POST of a heartbeat and fills `response`, whose body the caller owns. The status is
 * 200 with commands for the agent; 421 if another controller has to answer, with that
 * controller's name if this controller knows that name (the owner of the machine's shard, or the
 * leader if no shard has the machine); 503 if the agent should retry; or 400 if the heartbeat is
 * malformed. Takes the controller's lock and blocks on nothing else.
 */
void mv_endpoint_heartbeat(const mv_request_services *services, const mv_http_request *request,
                           mv_http_response *response);
#endif
