/**
 * Private to src/storage: the client object, and the function through which all files of this
 * folder send requests to the state service.
 *
 * state_client.c implements both, state_transaction.c compare-and-swap, state_session.c the lease
 * session, and state_records.c get, list and watch.
 */
#ifndef MV_STATE_CLIENT_H
#define MV_STATE_CLIENT_H
#include "protocol/codec.h"
#include "protocol/writer.h"
#include "storage/request_pool.h"
#include "storage/state_store.h"
#include "storage/write_budget.h"

#include <pthread.h>

/** Client of the state service, shared by all threads. */
struct mv_state_store {
    mv_request_pool *requests;
    mv_write_budget *write_budget;
    pthread_mutex_t lock; /* guards lease_id */
    uint64_t lease_id;    /* of the newest lease session; 0: no session was opened yet */
};

/** Which thread sends a request, and therefore over which connection the request goes. */
typedef enum {
    MV_SEND_FROM_POOL,  /* a thread of the pool: for calls from short-lived threads */
    MV_SEND_FROM_CALLER /* the calling thread: for the long-lived threads of session and watch */
} mv_request_sender;

/**
 * Sends a request and returns the result. If the state service refuses the request over the rate
 * limit, retries after a pause, up to MV_STATE_STORE_ATTEMPTS attempts in all. With
 * MV_STATE_STORE_OK `*document` is the body of the response, which the caller frees; otherwise
 * `*document` is NULL. `document` may be NULL if the caller does not need the body.
 */
mv_state_store_result mv_state_store_request(mv_state_store *store, mv_request_sender sender,
                                             const mv_pool_request *request,
                                             mv_document **document);

/** Returns the id of the newest lease session; 0 if no session was opened yet. */
uint64_t mv_state_store_lease_id(mv_state_store *store);
#endif
