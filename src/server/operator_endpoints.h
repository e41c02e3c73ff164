/**
 * Handlers of operators' requests and of health checks.
 *
 * The handlers fill `response`, whose body the caller owns. The handlers take the controller's lock
 * and block on nothing else.
 */
#ifndef MV_OPERATOR_ENDPOINTS_H
#define MV_OPERATOR_ENDPOINTS_H
#include "server/request.h"

/**
 * Handles GET /healthz. The status is 200 if this controller knows the machine types and either
 * reaches the state service or has a peer that responds; otherwise 503.
 */
void mv_endpoint_health(const mv_request_services *services, mv_http_response *response);
/** Handles GET /metrics: counters, gauges and histograms in the Prometheus text format. */
void mv_endpoint_metrics(const mv_request_services *services, mv_http_response *response);
/** Handles GET /overview: the MessagePack map that the status command prints as tables. */
void mv_endpoint_overview(const mv_request_services *services, mv_http_response *response);
#endif
