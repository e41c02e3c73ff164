/** Parses heartbeats of agents and packs commands to agents. */
#include "protocol/agent_messages.h"

#include "protocol/job_spec.h"
#include "protocol/names.h"

#include <string.h>

/* A task name consists of the job id, a slash and the index of the task: "j-000412/3". */
#define TASK_NAME_SIZE (MV_ID_SIZE + 12)

/* Names on the wire, in the order of mv_task_phase, mv_exit_reason and mv_command_kind. */
static const char *const PHASES[] = {WIRE_FETCHING_IMAGE, WIRE_RUNNING, WIRE_SAVING, WIRE_EXITED};
static const char *const EXIT_REASONS[] = {
    "", WIRE_DONE, WIRE_STOPPED, WIRE_ERROR, WIRE_NO_RESOURCES, WIRE_DUPLICATE, WIRE_UNKNOWN};
static const char *const COMMAND_KINDS[] = {WIRE_LAUNCH, WIRE_STOP, WIRE_CLEAR};

static bool parse_task_name(const msgpack_object *object, mv_reported_task *out)
{
    char name[TASK_NAME_SIZE];
    if (!mv_text_copy(object, name, sizeof name))
        return false;
    char *slash = strchr(name, '/');
    if (!slash)
        return false;
    *slash = 0;
    guint64 task = 0;
    if (!mv_job_id_valid(name) ||
        !g_ascii_string_to_unsigned(slash + 1, 10, 0, MV_JOB_TASKS_MAX - 1, &task, NULL))
        return false;
    g_strlcpy(out->job_id, name, sizeof out->job_id);
    out->task = (uint32_t)task;
    return true;
}

/* Reads the phase of a task and the exit reason of an exited task. An unknown phase becomes
 * MV_TASK_RUNNING, so that the controller does not free the resources of the task. An unknown exit
 * reason becomes MV_EXIT_ERROR, so that the controller does not count the task as completed. */
static void parse_task_status(const msgpack_object *object, mv_reported_task *out)
{
    const int phase =
        mv_text_index(mv_field_find(object, WIRE_STATUS), PHASES, G_N_ELEMENTS(PHASES));
    const int reason = mv_text_index(mv_field_find(object, WIRE_EXIT_REASON), EXIT_REASONS,
                                     G_N_ELEMENTS(EXIT_REASONS));
    out->phase = phase < 0 ? MV_TASK_RUNNING : (mv_task_phase)phase;
    if (out->phase != MV_TASK_EXITED)
        out->exit_reason = MV_EXIT_NONE;
    else
        out->exit_reason = reason <= 0 ? MV_EXIT_ERROR : (mv_exit_reason)reason;
}

static bool parse_tasks(const msgpack_object *object, mv_heartbeat *out)
{
    const msgpack_object_array *list = mv_field_read_list(object, WIRE_TASKS);
    if (!list)
        return mv_field_find(object, WIRE_TASKS) == NULL;
    out->tasks = g_new0(mv_reported_task, list->size + 1);
    for (uint32_t i = 0; i < list->size; i++) {
        mv_reported_task *task = &out->tasks[out->task_count];
        const msgpack_object *item = &list->ptr[i];
        if (!parse_task_name(mv_field_find(item, WIRE_TASK), task) ||
            mv_field_read_u64(item, WIRE_ATTEMPT, &task->attempt) != MV_FIELD_PRESENT)
            return false;
        parse_task_status(item, task);
        out->task_count++;
    }
    return true;
}

static bool parse_machine(const msgpack_object *object, mv_heartbeat *out)
{
    return mv_field_read_text(object, WIRE_MACHINE, out->machine, MV_NAME_SIZE) ==
               MV_FIELD_PRESENT &&
           mv_field_read_text(object, WIRE_ADDRESS, out->address, sizeof out->address) ==
               MV_FIELD_PRESENT &&
           mv_field_read_text(object, WIRE_MACHINE_TYPE, out->type_name, MV_NAME_SIZE) ==
               MV_FIELD_PRESENT &&
           mv_field_read_text(object, WIRE_ZONE, out->zone_name, MV_NAME_SIZE) !=
               MV_FIELD_INVALID &&
           mv_field_read_bool(object, WIRE_SPOT, &out->spot) != MV_FIELD_INVALID;
}

static bool parse_agent_state(const msgpack_object *object, mv_heartbeat *out)
{
    return mv_field_read_u64(object, WIRE_AGENT_EPOCH, &out->agent_epoch) == MV_FIELD_PRESENT &&
           mv_field_read_u64(object, WIRE_SEQUENCE, &out->sequence) == MV_FIELD_PRESENT &&
           mv_field_read_u64(object, WIRE_FENCING_TOKEN, &out->fencing_token) != MV_FIELD_INVALID &&
           mv_field_read_number(object, WIRE_RECLAIM_NOTICE, &out->reclaim_notice_s) !=
               MV_FIELD_INVALID;
}

bool mv_heartbeat_parse(const msgpack_object *object, mv_heartbeat *out)
{
    memset(out, 0, sizeof *out);
    out->reclaim_notice_s = -1;
    if (!object || object->type != MSGPACK_OBJECT_MAP)
        return false;
    return parse_machine(object, out) && parse_agent_state(object, out) && parse_tasks(object, out);
}

void mv_heartbeat_clear(mv_heartbeat *heartbeat)
{
    g_clear_pointer(&heartbeat->tasks, g_free);
    heartbeat->task_count = 0;
}

static void write_command(mv_writer *writer, const mv_command *command)
{
    char task_name[TASK_NAME_SIZE];
    g_snprintf(task_name, sizeof task_name, "%s/%u", command->job_id, command->task);
    const bool is_stop = command->kind == MV_COMMAND_STOP;
    mv_write_map(writer, is_stop ? 4 : 3);
    mv_write_text_field(writer, WIRE_COMMAND_KIND, COMMAND_KINDS[command->kind]);
    mv_write_text_field(writer, WIRE_TASK, task_name);
    mv_write_u64_field(writer, WIRE_ATTEMPT, command->attempt);
    if (is_stop)
        mv_write_number_field(writer, WIRE_GRACE_PERIOD, command->grace_period_s);
}

GBytes *mv_commands_pack(uint64_t fencing_token, uint64_t agent_epoch, const GArray *commands)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, agent_epoch ? 3 : 2);
    mv_write_u64_field(writer, WIRE_FENCING_TOKEN, fencing_token);
    if (agent_epoch)
        mv_write_u64_field(writer, WIRE_AGENT_EPOCH, agent_epoch);
    mv_write_text(writer, WIRE_COMMANDS);
    mv_write_list(writer, commands ? commands->len : 0);
    for (guint i = 0; commands && i < commands->len; i++)
        write_command(writer, &g_array_index(commands, mv_command, i));
    return mv_writer_finish(writer);
}
