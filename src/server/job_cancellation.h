/**
 * Cancellation of an active job for a user, at the controller that received the user's request.
 *
 * The owner of the job's shard first acknowledges that none of the job's tasks will start any more.
 * Only then this controller writes the job's final record, on condition that the shard is still
 * granted to that owner. If the owner cannot be asked, this controller records the request in the
 * job's record instead, and the owner, or the next one, ends the job. So a final record that says
 * "cancelled" always rests on an acknowledgement of the last owner, and any controller that reads
 * the record may answer the user at once.
 */
#ifndef MV_JOB_CANCELLATION_H
#define MV_JOB_CANCELLATION_H
#include "server/job_lookup.h"

/** The result of an attempt to cancel a job. */
typedef enum {
    MV_CANCEL_COMMITTED,      /* the job is cancelled */
    MV_CANCEL_UNCONFIRMED,    /* the job is cancelled, but its owner's version knows no
                                 acknowledgements, so no user may be told yet (MV_JOB_UNCONFIRMED) */
    MV_CANCEL_CONFLICT,       /* the job's record or the grant of its shard has changed */
    MV_CANCEL_UNACKNOWLEDGED, /* the job's owner has not acknowledged the cancellation in time */
    MV_CANCEL_NOT_DECIDED     /* the state service gave no answer */
} mv_cancel_result;

/**
 * Tries to cancel the active job that `lookup` describes. Blocks on peers and on the state service:
 * at most MV_CANCEL_WAIT_S plus one request to a peer, and one transaction. Takes the controller's
 * lock.
 */
mv_cancel_result mv_job_cancel(const mv_request_services *services, const char *id,
                               const mv_job_lookup *lookup);
#endif
