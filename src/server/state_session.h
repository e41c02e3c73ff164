/**
 * The thread that opens and renews this process's lease session at the state service. The leases
 * that this controller holds are valid only while the session lives.
 */
#ifndef MV_STATE_SESSION_H
#define MV_STATE_SESSION_H
#include "server/shared_controller.h"
#include "server/thread_group.h"
#include "storage/state_store.h"

typedef struct mv_state_session mv_state_session;

/** Returns a session, not yet open, which the caller frees. The arguments have to outlive it. */
mv_state_session *mv_state_session_new(mv_shared_controller *controller,
                                       mv_state_store *state_store, mv_thread_group *threads);
/** Frees the session. Its thread must have been joined before. */
void mv_state_session_free(mv_state_session *session);
/** Starts the session's thread. Returns false if the thread cannot be started. */
bool mv_state_session_start(mv_state_session *session);
#endif
