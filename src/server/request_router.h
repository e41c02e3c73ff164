/**
 * Routing of requests to their handlers, and the queue limits of each kind of request.
 */
#ifndef MV_REQUEST_ROUTER_H
#define MV_REQUEST_ROUTER_H
#include "server/request.h"

/**
 * Returns the handler for the HTTP server. The handler routes the requests of users, agents and
 * operators. `services` have to outlive the HTTP server.
 */
mv_http_handler mv_request_router_handler(mv_request_services *services);

/**
 * Responds to a user's request about jobs that a peer has forwarded. This controller does not
 * forward the request again. Fills `response`, whose body the caller owns. Blocks on the state
 * service.
 */
void mv_request_route_forwarded(const mv_request_services *services, const mv_http_request *request,
                                mv_http_response *response);
#endif
