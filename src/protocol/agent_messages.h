/**
 * Messages between a controller and the agents of machines: heartbeats and commands.
 *
 * Source: section "workers" of the protocol page.
 */
#ifndef MV_AGENT_MESSAGES_H
#define MV_AGENT_MESSAGES_H
#include "constants.h"
#include "protocol/codec.h"

/** Phase of a task on a machine. */
typedef enum {
    MV_TASK_FETCHING_IMAGE,
    MV_TASK_RUNNING,
    MV_TASK_SAVING, /* writing a checkpoint */
    MV_TASK_EXITED
} mv_task_phase;

/** Why a task exited. */
typedef enum {
    MV_EXIT_NONE, /* the task has not exited */
    MV_EXIT_DONE,
    MV_EXIT_STOPPED,
    MV_EXIT_ERROR,
    MV_EXIT_NO_RESOURCES, /* launch refused: not enough free resources on the machine */
    MV_EXIT_DUPLICATE,    /* launch refused: the machine has another attempt of the task */
    MV_EXIT_UNKNOWN_TASK  /* the agent does not know the task */
} mv_exit_reason;

/** A task in a heartbeat. */
typedef struct {
    char job_id[MV_ID_SIZE];
    uint32_t task; /* index of the task in the job */
    uint64_t attempt;
    mv_task_phase phase;
    mv_exit_reason exit_reason; /* MV_EXIT_NONE unless the phase is MV_TASK_EXITED */
} mv_reported_task;

/** A heartbeat: an agent's report on its machine and on the tasks there. */
typedef struct {
    char machine[MV_NAME_SIZE], address[MV_ADDRESS_SIZE], type_name[MV_NAME_SIZE],
        zone_name[MV_NAME_SIZE];
    bool spot;
    uint64_t agent_epoch, sequence, fencing_token;
    double reclaim_notice_s; /* time until the cloud reclaims the machine; negative: no notice */
    mv_reported_task *tasks; /* owned */
    size_t task_count;
} mv_heartbeat;

/** Kind of a command: the agent launches a task, stops a task, or forgets an exited task. */
typedef enum { MV_COMMAND_LAUNCH, MV_COMMAND_STOP, MV_COMMAND_CLEAR } mv_command_kind;

/** A command to an agent. Each command applies to one attempt of one task. */
typedef struct {
    mv_command_kind kind;
    char job_id[MV_ID_SIZE];
    uint32_t task;
    uint64_t attempt;
    double grace_period_s; /* in a stop command: time for the task to save a checkpoint */
} mv_command;

/**
 * Parses and validates a heartbeat. Returns false if a required field is absent or a field is
 * invalid. The caller clears `out` in both cases.
 */
bool mv_heartbeat_parse(const msgpack_object *object, mv_heartbeat *out);

/** Frees the list of tasks in `heartbeat`, not `heartbeat` itself. */
void mv_heartbeat_clear(mv_heartbeat *heartbeat);

/**
 * Packs `commands` (of mv_command; NULL: no commands) together with the controller's fencing token;
 * the caller unrefs the bytes. With `agent_epoch` 0 the bytes are the response to a heartbeat. With
 * any other `agent_epoch` the bytes are the body of a direct command to the agent.
 */
GBytes *mv_commands_pack(uint64_t fencing_token, uint64_t agent_epoch, const GArray *commands);
#endif
