/**
 * Encodes heartbeats and decodes commands in the form that the published protocol defines.
 */
#include "agent_codec.h"

#include "protocol/names.h"

#include <string.h>

#define TASK_NAME_SIZE 80 /* "job/task" */

static mv_command_kind read_kind(const msgpack_object *object)
{
    static const char *const NAMES[] = {[MV_COMMAND_LAUNCH] = WIRE_LAUNCH,
                                        [MV_COMMAND_STOP] = WIRE_STOP,
                                        [MV_COMMAND_CLEAR] = WIRE_CLEAR};
    const msgpack_object *name = mv_field_find(object, WIRE_COMMAND_KIND);
    for (size_t i = 0; i < G_N_ELEMENTS(NAMES); i++)
        if (mv_text_is(name, NAMES[i]))
            return (mv_command_kind)i;
    return MV_COMMAND_LAUNCH;
}

static mv_command read_command(const msgpack_object *object)
{
    mv_command command = {.kind = read_kind(object)};
    char name[TASK_NAME_SIZE];
    g_assert_cmpint(mv_field_read_text(object, WIRE_TASK, name, sizeof name), ==, MV_FIELD_PRESENT);
    char *slash = strchr(name, '/');
    g_assert_nonnull(slash);
    *slash = 0;
    g_strlcpy(command.job_id, name, sizeof command.job_id);
    command.task = (uint32_t)g_ascii_strtoull(slash + 1, NULL, 10);
    mv_field_read_u64(object, WIRE_ATTEMPT, &command.attempt);
    return command;
}

GArray *mv_agent_read_commands(const msgpack_object *body)
{
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(mv_command));
    const msgpack_object_array *list = mv_field_read_list(body, WIRE_COMMANDS);
    for (uint32_t i = 0; list && i < list->size; i++) {
        const mv_command command = read_command(&list->ptr[i]);
        g_array_append_val(commands, command);
    }
    return commands;
}

static void write_task(mv_writer *writer, const mv_reported_task *task)
{
    static const char *const EXIT_REASONS[] = {
        "", WIRE_DONE, WIRE_STOPPED, WIRE_ERROR, WIRE_NO_RESOURCES, WIRE_DUPLICATE, WIRE_UNKNOWN};
    static const char *const PHASES[] = {WIRE_FETCHING_IMAGE, WIRE_RUNNING, WIRE_SAVING,
                                         WIRE_EXITED};
    char name[TASK_NAME_SIZE];
    g_snprintf(name, sizeof name, "%s/%u", task->job_id, task->task);
    mv_write_map(writer, 4);
    mv_write_text_field(writer, WIRE_TASK, name);
    mv_write_u64_field(writer, WIRE_ATTEMPT, task->attempt);
    mv_write_text_field(writer, WIRE_STATUS, PHASES[task->phase]);
    mv_write_text_field(writer, WIRE_EXIT_REASON, EXIT_REASONS[task->exit_reason]);
}

void mv_agent_write_heartbeat(mv_writer *writer, const mv_heartbeat *heartbeat)
{
    mv_write_map(writer, 9);
    mv_write_text_field(writer, WIRE_MACHINE, heartbeat->machine);
    mv_write_text_field(writer, WIRE_ADDRESS, heartbeat->address);
    mv_write_text_field(writer, WIRE_MACHINE_TYPE, heartbeat->type_name);
    mv_write_text_field(writer, WIRE_ZONE, heartbeat->zone_name);
    mv_write_bool_field(writer, WIRE_SPOT, heartbeat->spot);
    mv_write_u64_field(writer, WIRE_AGENT_EPOCH, heartbeat->agent_epoch);
    mv_write_u64_field(writer, WIRE_SEQUENCE, heartbeat->sequence);
    mv_write_u64_field(writer, WIRE_FENCING_TOKEN, heartbeat->fencing_token);
    mv_write_text(writer, WIRE_TASKS);
    mv_write_list(writer, heartbeat->task_count);
    for (size_t i = 0; i < heartbeat->task_count; i++)
        write_task(writer, &heartbeat->tasks[i]);
}
