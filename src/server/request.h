/**
 * The services that the handlers of requests use.
 */
#ifndef MV_REQUEST_H
#define MV_REQUEST_H
#include "server/cancellation_client.h"
#include "server/final_job_cache.h"
#include "server/peer_health.h"
#include "server/request_forwarder.h"
#include "server/shared_controller.h"
#include "server/state_watch.h"
#include "storage/state_store.h"
#include "transport/http_server.h"

/**
 * Returns the document in the body of a request, which the caller frees, or NULL if the body is
 * missing or malformed.
 */
mv_document *mv_request_parse_body(const mv_http_request *request);

/**
 * The services that handlers use, all borrowed from the server. Handlers run concurrently on the
 * threads of the HTTP and peer servers. A handler is called without the controller's lock held.
 */
typedef struct {
    const mv_settings *settings;
    mv_shared_controller *controller;
    mv_state_store *state_store;
    mv_state_watch *state_watch;
    mv_final_job_cache *final_jobs;
    mv_request_forwarder *forwarder;
    mv_cancellation_client *cancellations;
    mv_peer_health *peer_health;
    mv_http_server *http_server; /* set before the HTTP server accepts connections */
} mv_request_services;
#endif
