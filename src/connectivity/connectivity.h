/**
 * Connectivity classifies a controller's links to the state service, to the other controllers and
 * to its machines, and decides which tasks the controller may launch. The classification uses
 * traffic that exists anyway and the link reports of the peers.
 *
 * The module is pure: the module performs no I/O and reads no clock; every call passes the time, in
 * seconds of the monotonic clock, and what happened. The age of a peer's report counts from the
 * time at which this controller published the report that the peer confirms. Therefore a report
 * that the network delayed is never taken for a recent one.
 *
 * The object is not thread-safe: the controller that owns the object calls it under the
 * controller's lock. The settings must outlive the object; each update reads the operator settings
 * again.
 */
#ifndef MV_CONNECTIVITY_H
#define MV_CONNECTIVITY_H
#include "connectivity/launch_gate.h"
#include "connectivity/link_report.h"

typedef struct mv_connectivity mv_connectivity;

/** Returns a new object without any observation; the caller frees it with mv_connectivity_free. */
mv_connectivity *mv_connectivity_new(const mv_settings *settings);

/** Frees the object; NULL is allowed. */
void mv_connectivity_free(mv_connectivity *connectivity);

/* --- observations --- */

/** Records that a request sent at `sent_at` opened or renewed the session at the state service. */
void mv_connectivity_session_renewed(mv_connectivity *connectivity, double now,
                                     uint64_t incarnation, double sent_at);

/** Records that the state service did not answer a renewal of the session. */
void mv_connectivity_renewal_failed(mv_connectivity *connectivity);

/** Records that the session has expired; the controller has to open a new one. */
void mv_connectivity_session_lost(mv_connectivity *connectivity);

/** Records that the state service answered a watch that was sent at `sent_at`. */
void mv_connectivity_watch_answered(mv_connectivity *connectivity, double sent_at);

/** Records whether machines should be sending heartbeats to this controller, and when the last
 * heartbeat arrived; 0: never. */
void mv_connectivity_observe_workers(mv_connectivity *connectivity, bool expected,
                                     double last_heartbeat_at);

/** Records whether the peer answered a request that was sent at `sent_at`. The call does nothing if
 * the settings name no such peer. */
void mv_connectivity_peer_probed(mv_connectivity *connectivity, const char *peer, double sent_at,
                                 bool answered);

/** Processes a link report that arrived from a peer, and returns whether the report was accepted or
 * why the report was rejected. The caller keeps ownership of the report. */
mv_link_report_status mv_connectivity_receive(mv_connectivity *connectivity, double now,
                                              const mv_link_report *report);

/** What an update changed. */
typedef enum {
    MV_LINK_CHANGE_NONE,
    MV_LINK_CHANGE_CLASS, /**< the class of the links changed, the launch scope did not */
    MV_LINK_CHANGE_SCOPE  /**< the launch scope changed, and possibly the class too */
} mv_link_change;

/** Classifies the links, updates the launch gate and returns what changed. `overloaded` means that
 * this process recently got processor time late, so the overload may have caused a failure. */
mv_link_change mv_connectivity_update(mv_connectivity *connectivity, double now, bool overloaded);

/* --- results --- */

/** Returns this controller's own report under the next sequence number, without completions; the
 * caller frees the report. `boot` identifies this process. */
mv_link_report *mv_connectivity_publish(mv_connectivity *connectivity, double now, uint64_t boot);

/** Returns the interval in seconds between two reports of this controller. The interval is shorter
 * while the link to the state service is failing. */
double mv_connectivity_publish_interval(const mv_connectivity *connectivity, double now);

/** Returns the class of the links at the last update. */
mv_link_class mv_connectivity_link_class(const mv_connectivity *connectivity);

/** Returns when the links got their present class, in seconds of the monotonic clock. */
double mv_connectivity_class_since(const mv_connectivity *connectivity);

/** Returns the launch gate, which the object owns. */
const mv_launch_gate *mv_connectivity_launch_gate(const mv_connectivity *connectivity);

/** Returns whether the state service confirms the session and the state cache is caught up. */
bool mv_connectivity_state_is_reachable(const mv_connectivity *connectivity, double now);

/** Returns whether a recent report of the controller `node`, from its session `incarnation`, says
 * that the controller has been isolated for at least MV_STEP_ASIDE_AFTER_S. The leader may then
 * grant that controller's shards to other controllers. */
bool mv_connectivity_peer_is_isolated(const mv_connectivity *connectivity, double now,
                                      const char *node, uint64_t incarnation);

/** Returns a text for operators that says why launches are held; "" if all launches are allowed.
 * The text is static. */
const char *mv_connectivity_hold_reason(const mv_connectivity *connectivity);

/** The state of a peer's links, according to the peer's newest report. */
typedef struct {
    const char *name;         /**< owned by the settings */
    bool known;               /**< a report was accepted; if not, the fields below are unset */
    mv_link_class link_class; /**< class of the peer's own links */
    double report_age_s;      /**< upper bound of the age of the report */
    double class_age_s;       /**< how long the class had lasted when the peer made the report */
    bool launches_held;       /**< the peer launches nothing */
    bool receives_reports;    /**< the peer recently received a report of this controller */
    unsigned completions_unrecorded; /**< completions that the peer has not recorded yet */
} mv_peer_link_status;

/** Returns how many peers the settings name. */
unsigned mv_connectivity_peer_count(const mv_connectivity *connectivity);

/** Returns the state of the peer at `index` in the order of the settings. `index` must be below
 * mv_connectivity_peer_count. */
mv_peer_link_status mv_connectivity_peer(const mv_connectivity *connectivity, double now,
                                         unsigned index);
#endif
