/**
 * The state that all modules of the coordination code share: settings, time, limits, the lease
 * session of this controller, the queue of actions, machine types, shards and teams.
 *
 * A module has pointers to the context and to the modules below the module, and calls no others. A
 * module informs the modules above by return values, and by `round_requested`, the only event that
 * several modules raise.
 */
#ifndef MV_CONTEXT_H
#define MV_CONTEXT_H
#include "config/settings.h"
#include "coordination/foundation/counters.h"
#include "coordination/foundation/action.h"
#include "coordination/foundation/clock.h"
#include "coordination/foundation/lease_session.h"
#include "coordination/foundation/machine_catalog.h"
#include "coordination/foundation/shard.h"
#include "coordination/foundation/team.h"
#include "safety_checks.h"

/** Limits of the state service, halved when the state service rejects a transaction as too large.
 */
typedef struct {
    size_t value_bytes; /**< maximum bytes of a value, and of a transaction */
    unsigned writes;    /**< maximum number of writes of a transaction */
} mv_store_limits;

/** The shared state. The context owns everything except the settings. */
typedef struct {
    const mv_settings *settings;
#ifdef MV_MUTATION_TESTING
    bool emulates_format_1; /**< a test runs this controller as the version before services */
#endif
    mv_clock clock;
    mv_store_limits limits;
    mv_lease_session session;
    mv_action_list actions;
    mv_machine_catalog catalog;
    GPtrArray *shards;    /**< mv_shard, by index; shards are added and never removed */
    mv_team *teams;       /**< one for each entry of settings->teams, in the same order */
    bool round_requested; /**< a change since the last scheduling round may allow a new round to
                             place tasks */
    mv_controller_counters counters;
} mv_context;

#ifdef MV_MUTATION_TESTING
/** Returns whether a test runs this controller as the version before services. */
#define EMULATES_FORMAT_1(context) ((context)->emulates_format_1)
#else
/** The service never runs as the version before services. */
#define EMULATES_FORMAT_1(context) ((void)(context), false)
#endif

/** Initializes a context. `settings` must outlive the context. */
void mv_context_init(mv_context *context, const mv_settings *settings);
/**
 * Frees the shards, the teams, the catalog and the actions that were not taken, but not `context`
 * itself.
 */
void mv_context_clear(mv_context *context);

/** Returns the shard with this index, and creates the shard if there is none. */
mv_shard *mv_context_shard(mv_context *context, unsigned index);
/**
 * Returns whether this controller may act for a shard, that is, whether the controller holds an
 * unexpired shard lease. The lease may outlast the session of the controller. Another controller
 * may then have acquired the shard already; the fencing tokens make the agents reject the commands
 * of the earlier owner.
 */
bool mv_shard_is_owned(const mv_context *context, const mv_shard *shard);
/** Returns the team with this name, or NULL if the settings contain no such team. */
mv_team *mv_context_team(const mv_context *context, const char *name);

/** Halves the limits after the state service rejected a transaction as too large. */
void mv_context_reduce_limits(mv_context *context);
/**
 * Counts and logs a stale message: one that is older than the known state, repeats that state or
 * contradicts that state. `what` names the kind of message, `subject` the object concerned.
 */
void mv_context_count_stale(mv_context *context, const char *what, const char *subject);

/**
 * Returns the number of a name within this process, and assigns the next number, from 1 on, to a
 * new name. Names that are compared for every machine and task are compared by number, which is
 * faster.
 */
unsigned mv_intern_name(GHashTable *names, const char *name);
#endif
