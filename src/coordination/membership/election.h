/** Election: a controller writes an entry of its own and tries to become leader. */
#ifndef MV_ELECTION_H
#define MV_ELECTION_H
#include "coordination/membership/membership.h"

/**
 * Writes this process's entry in the state service if it is missing, and tries to become leader if
 * there is none. Returns whether the state cache shows the entry.
 */
bool mv_election_tick(mv_membership *membership);
/**
 * Called by the leader. If a live controller was rolled back to a version of an older format,
 * deletes the record that says the controller uses the current format. Without the record the
 * controller counts as old even while it is down. Deletes at most one record at a time.
 */
void mv_election_correct_formats(mv_membership *membership);
#endif
