/* What a controller knows of its links to the state service, to the other controllers and to its
 * machines: from traffic that exists, and from what the others tell of theirs.
 *
 * Pure: every call brings the time, steady seconds, and what happened. A view of a peer counts from
 * the time at which we told it something that the view says has arrived, so one that was held up on
 * its way is as old as it is, and is never taken for fresh. */
#ifndef MV_CONNECTIVITY_H
#define MV_CONNECTIVITY_H
#include "connectivity/launch_gate.h"
#include "connectivity/view.h"

typedef struct mv_connectivity mv_connectivity;

/* What became of a peer's view. */
typedef enum {
    MV_VIEW_TAKEN,
    MV_VIEW_MALFORMED,
    MV_VIEW_STRANGER, /* of no controller that the settings name */
    MV_VIEW_OLD,      /* not newer than the one known, or of a former process */
    MV_VIEW_UNPROVEN, /* it does not say that anything recent of ours arrived */
    MV_VIEW_VERDICTS
} mv_view_verdict;

mv_connectivity *mv_connectivity_new(const mv_settings *settings);
void mv_connectivity_free(mv_connectivity *links);

/* --- what happened --- */
/* The session at the state service was renewed by a request sent at `sent`. */
void mv_connectivity_state_answered(mv_connectivity *links, double now, uint64_t incarnation,
                                    double sent);
void mv_connectivity_state_failed(mv_connectivity *links);
/* The session is over; a new one has to be opened. */
void mv_connectivity_session_lost(mv_connectivity *links);
/* A watch that was sent at `sent` was answered. */
void mv_connectivity_followed(mv_connectivity *links, double sent);
/* Whether machines should be heard, and when one last was; 0: never. */
void mv_connectivity_workers(mv_connectivity *links, bool expected, double heard_at);
/* A request to a peer, sent at `sent`, was answered or not. */
void mv_connectivity_peer_asked(mv_connectivity *links, const char *peer, double sent,
                                bool answered);
/* A peer's view arrived. */
mv_view_verdict mv_connectivity_hear(mv_connectivity *links, double now, const mv_view *view);

typedef enum {
    MV_LINKS_SAME,
    MV_LINKS_RECLASSED, /* the class changed, what may be launched did not */
    MV_LINKS_RESCOPED   /* what may be launched changed */
} mv_links_change;

/* Judges the links anew. `behind`: this process got its processor late just now. */
mv_links_change mv_connectivity_update(mv_connectivity *links, double now, bool behind);

/* --- what follows --- */
/* Our own view, under the next sequence number; without outcomes. The caller frees. */
mv_view *mv_connectivity_tell(mv_connectivity *links, double now, uint64_t boot);
/* How long until views are told again, seconds. */
double mv_connectivity_pause(const mv_connectivity *links, double now);
mv_link_class mv_connectivity_class(const mv_connectivity *links);
double mv_connectivity_class_since(const mv_connectivity *links);
const mv_launch_gate *mv_connectivity_gate(const mv_connectivity *links);
/* Whether the state service answers us, and the copy of its records is followed. */
bool mv_connectivity_state_reached(const mv_connectivity *links, double now);
/* Whether that process of a controller says, by a fresh view, that it alone is cut off. */
bool mv_connectivity_gave_up(const mv_connectivity *links, double now, const char *node,
                             uint64_t incarnation);
/* Why launches are held, for people; "" if they are not. */
const char *mv_connectivity_why_held(const mv_connectivity *links);

/* A peer as it is seen from here. */
typedef struct {
    const char *name;
    bool known;          /* a view of it was taken */
    mv_link_class links; /* what that says of its own links */
    double view_age_s, class_for_s;
    bool launches_held, hears_us;
    unsigned waiting;
} mv_peer_state;
unsigned mv_connectivity_peers(const mv_connectivity *links);
mv_peer_state mv_connectivity_peer(const mv_connectivity *links, double now, unsigned index);
#endif
