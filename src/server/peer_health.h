/**
 * The thread that checks the peers while the state service is out of reach: which respond, and
 * which of them reach the state service.
 *
 * This controller's health endpoint has to respond at once, so the thread asks the peers in advance
 * and the endpoint reads the result of the last check. The checks have connections of their own.
 */
#ifndef MV_PEER_HEALTH_H
#define MV_PEER_HEALTH_H
#include "config/settings.h"
#include "server/shared_controller.h"
#include "server/thread_group.h"

typedef struct mv_peer_health mv_peer_health;

/** What the last health check of a peer showed; the higher, the better for users' requests. */
typedef enum {
    MV_PEER_UNRESPONSIVE,  /* the peer did not respond */
    MV_PEER_WITHOUT_STATE, /* the peer responded, but does not reach the state service */
    MV_PEER_UNCHECKED,     /* there was no check yet */
    MV_PEER_SERVING        /* the peer responded and reaches the state service */
} mv_peer_state;

/** Returns a health check, which the caller frees. The arguments have to outlive the check. */
mv_peer_health *mv_peer_health_new(const mv_settings *settings, mv_shared_controller *controller,
                                   mv_thread_group *threads);
/** Frees the health check. Its thread must have been joined before. */
void mv_peer_health_free(mv_peer_health *health);
/** Starts the thread. Returns false if the thread cannot be started. */
bool mv_peer_health_start(mv_peer_health *health);
/**
 * Returns what the last check of the peer with this index in the settings showed. Checks run only
 * while the state service is out of reach, so the result may be old while the state service is in
 * reach. Never blocks; may be called from any thread.
 */
mv_peer_state mv_peer_health_state(const mv_peer_health *health, size_t peer);
/**
 * Returns whether any peer responded to its last check; true if the settings name no peers. Never
 * blocks; may be called from any thread.
 */
bool mv_peer_health_any_reachable(const mv_peer_health *health);
#endif
