/**
 * A hash over all decisions of the controllers in a run of the simulation: each action and each
 * response to a heartbeat, with the time and the number of the controller. If two builds have the
 * same hash for a plan and a seed, then their controllers make the same decisions, and each record
 * and each command is the same byte for byte.
 *
 * C identifiers and memory addresses do not enter the hash; names in records do.
 */
#ifndef MV_BEHAVIOR_FINGERPRINT_H
#define MV_BEHAVIOR_FINGERPRINT_H
#include "sim.h"

typedef struct {
    sim_observer witness; /* the observer to set as sim_plan.witness of one run */
    GChecksum *hash;
    unsigned long actions, responses; /* numbers of actions and of responses in the hash */
} behavior_fingerprint;

/** Returns a new fingerprint for one run. The caller frees the fingerprint with
 * behavior_fingerprint_free() after the run has ended. */
behavior_fingerprint *behavior_fingerprint_new(void);
/** Frees the fingerprint and its text. */
void behavior_fingerprint_free(behavior_fingerprint *fingerprint);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(behavior_fingerprint, behavior_fingerprint_free)

/** Returns the hash in hexadecimal digits. The fingerprint owns the text. After this call the
 * fingerprint must not observe any further action or response. */
const char *behavior_fingerprint_text(behavior_fingerprint *fingerprint);
#endif
