/**
 * Actions: the controller decides on actions and puts them into a list; the server takes the
 * actions from the list and carries them out. The controller fills in a transaction on the state
 * service step by step.
 */
#ifndef MV_ACTION_H
#define MV_ACTION_H
#include "constants.h"
#include "coordination/foundation/shard_demand.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What the server has to do for an action. */
typedef enum {
    MV_ACTION_TRANSACTION,   /**< a transaction on the state service */
    MV_ACTION_COMMAND,       /**< direct commands to the agent of a machine */
    MV_ACTION_SCALE_OUT,     /**< a request to the cloud for more machines */
    MV_ACTION_SCALE_IN,      /**< a request to the cloud to release machines */
    MV_ACTION_LIST_MACHINES, /**< a request for a page of the cloud's machine list */
    MV_ACTION_LIST_TYPES,    /**< a request for the cloud's machine types and prices */
    MV_ACTION_PUBLISH_DEMAND /**< a message with the demand of a shard to the leader */
} mv_action_kind;

/**
 * A transaction is committed only if the key has this revision; revision 0 means that the key must
 * not exist.
 */
typedef struct {
    char key[MV_KEY_SIZE];
    uint64_t revision;
} mv_precondition;

/** One put or delete of a transaction. */
typedef struct {
    char key[MV_KEY_SIZE];
    GBytes *data;       /**< value to put, owned by the write; NULL: delete the key */
    bool session_bound; /**< the key is attached to the lease session of this controller */
} mv_write;

/**
 * An action. The caller that takes an action from the list owns the action and frees it with
 * mv_action_free. The kind decides which fields are used.
 */
typedef struct {
    mv_action_kind kind;
    uint64_t id; /**< number of the action within this process; a result carries the same id */
    /* MV_ACTION_TRANSACTION */
    GArray *preconditions; /**< mv_precondition */
    GArray *writes;        /**< mv_write */
    bool urgent;           /**< false: the transaction may be deferred by the write budget */
    /* MV_ACTION_COMMAND */
    char machine[MV_NAME_SIZE], address[64];
    uint64_t fencing_token, agent_epoch;
    unsigned timeout_ms;
    GArray *commands; /**< mv_command */
    /* MV_ACTION_SCALE_OUT, MV_ACTION_SCALE_IN, MV_ACTION_LIST_MACHINES */
    char name[MV_NAME_SIZE], type_name[MV_NAME_SIZE], zone_name[MV_NAME_SIZE];
    bool spot;
    unsigned count;
    GPtrArray *machine_names; /**< char * */
    /* MV_ACTION_PUBLISH_DEMAND */
    mv_shard_demand *demand;
    char to[MV_NAME_SIZE];
} mv_action;

/** The result of a transaction. */
typedef enum {
    MV_TRANSACTION_COMMITTED,
    MV_TRANSACTION_CONFLICT, /**< a precondition failed: nothing was written */
    MV_TRANSACTION_UNKNOWN,  /**< no response: the transaction may have committed, or still may */
    MV_TRANSACTION_TOO_LARGE /**< beyond a limit of the state service: nothing was written */
} mv_transaction_result;

/** The actions that the controller decided on and the server has not taken yet, oldest first. */
typedef struct {
    GQueue *queue;
    uint64_t last_id;
} mv_action_list;

/** Initializes an empty list, which the caller clears with mv_action_list_clear. */
void mv_action_list_init(mv_action_list *actions);
/** Frees the actions that were not taken, and the queue, but not `actions` itself. */
void mv_action_list_clear(mv_action_list *actions);
/** Removes the oldest action and returns it; the caller owns it. Returns NULL for an empty list. */
mv_action *mv_action_list_take(mv_action_list *actions);

/** Appends an empty action, which the list owns until it is taken, and returns it. */
mv_action *mv_action_new(mv_action_list *actions, mv_action_kind kind);
/** Frees an action that was taken from its list, and everything it owns; NULL is allowed. */
void mv_action_free(mv_action *action);

/**
 * Appends an empty transaction, which the list owns until it is taken, and returns it. If `urgent`
 * is false, the write budget may defer the transaction.
 */
mv_action *mv_transaction_new(mv_action_list *actions, bool urgent);
/** Adds the precondition that the key has this revision, or with revision 0 does not exist. */
void mv_transaction_require(mv_action *transaction, const char *key, uint64_t revision);
/** Adds a put. The transaction takes ownership of `data`. */
void mv_transaction_put(mv_action *transaction, const char *key, GBytes *data, bool session_bound);
/** Adds the deletion of a key. */
void mv_transaction_delete(mv_action *transaction, const char *key);
#endif
