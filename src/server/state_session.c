/**
 * Opens and renews this process's lease session at the state service.
 */
#include "server/state_session.h"

#include "server/clocks.h"
#include "telemetry/log.h"

struct mv_state_session {
    mv_shared_controller *controller;
    mv_state_store *state_store;
    mv_thread_group *threads;
    /* Only the session's thread uses the fields below. */
    uint64_t incarnation; /* lease ID of the process's first session; 0: none yet */
    bool open;            /* false: no session was opened, or the session is lost */
};

mv_state_session *mv_state_session_new(mv_shared_controller *controller,
                                       mv_state_store *state_store, mv_thread_group *threads)
{
    mv_state_session *session = g_new0(mv_state_session, 1);
    session->controller = controller;
    session->state_store = state_store;
    session->threads = threads;
    return session;
}

void mv_state_session_free(mv_state_session *session)
{
    g_free(session);
}

/* Renews the open session or, if no session is open, opens a new one. The lease ID of the first
 * session identifies this process in records, even after later sessions have replaced the first. */
static mv_state_store_result open_or_renew(mv_state_session *session)
{
    if (session->open)
        return mv_state_store_renew_lease(session->state_store);
    uint64_t number = 0;
    const mv_state_store_result result = mv_state_store_grant_lease(session->state_store, &number);
    if (result == MV_STATE_STORE_OK) {
        mv_info("session_opened", "lease=%" G_GUINT64_FORMAT, number);
        if (!session->incarnation)
            session->incarnation = number;
    }
    return result;
}

/* Reports the result of opening or renewing the session. `sent` is the time at which the request
 * was sent: the session's TTL counts from that time. */
static void report_to_controller(mv_state_session *session, mv_state_store_result result,
                                 double sent)
{
    double now;
    mv_controller *controller = mv_shared_controller_lock(session->controller, &now);
    if (result == MV_STATE_STORE_OK)
        mv_controller_session_renewed(controller, now, session->incarnation, sent);
    else if (result == MV_STATE_STORE_NOT_FOUND)
        mv_controller_session_renewed(controller, now, 0, sent);
    else
        mv_controller_session_renewal_failed(controller, now);
    mv_shared_controller_unlock(session->controller);
}

static void run_session(void *context)
{
    mv_state_session *session = context;
    do {
        const double sent = mv_monotonic_now();
        const mv_state_store_result result = open_or_renew(session);
        report_to_controller(session, result, sent);
        if (result == MV_STATE_STORE_OK)
            session->open = true;
        else if (result == MV_STATE_STORE_NOT_FOUND)
            session->open = false;
        if (result != MV_STATE_STORE_OK)
            mv_log_limited(MV_LOG_INFO, "session_renewal_failed", "result=%d session_open=%d",
                           result, session->open);
        if (result == MV_STATE_STORE_NOT_FOUND)
            continue; /* the session is lost: open a new session without a pause */
        const double pause_s =
            result == MV_STATE_STORE_OK ? MV_SESSION_RENEW_S : MV_SESSION_RETRY_S;
        if (!mv_thread_group_sleep(session->threads, pause_s))
            break;
    } while (!mv_thread_group_is_stopping(session->threads));
}

bool mv_state_session_start(mv_state_session *session)
{
    return mv_thread_group_start(session->threads, run_session, session);
}
