/**
 * Helper functions that the tests of single decisions share. They advance the time, take the
 * actions of the controller, and run a test case while one safety check is disabled.
 * `controller_fixture.h` declares the controller under test and its machines;
 * `controller_inspection.h` reads and writes the controller's structs.
 *
 * The helpers keep no state, except that measure_without() sets the disabled check for one call.
 * Each test uses one thread.
 */
#ifndef MV_CONTROLLER_HELPERS_H
#define MV_CONTROLLER_HELPERS_H
#include "controller_fixture.h"
#include "controller_inspection.h"

#include "protocol/names.h"

#include <string.h>

/** Wall-clock time of a fixture minus its steady time, in seconds. */
static const double wall_offset_s = 1e6;

/** Runs one tick of the controller at the fixture's current time. */
static inline void tick_controller(controller_fixture *fixture)
{
    mv_controller_tick(fixture->controller, fixture->now, wall_offset_s + fixture->now);
}

/** Advances the clock and runs this number of ticks. The controller gets nothing else in this time:
 * no heartbeat and no response of the state store. */
static inline void pass_ticks_only(controller_fixture *fixture, unsigned ticks)
{
    for (unsigned i = 0; i < ticks; i++) {
        fixture->now += MV_TICK_S;
        tick_controller(fixture);
    }
}

/** Creates the machines and starts the controller, which has not loaded the records yet. */
static inline void start_controller(controller_fixture *fixture)
{
    fixture_create_machines(fixture);
    fixture_start(fixture);
}

/** Tells the controller that the first list of records is complete. The list consists of the
 * records that the fixture has put so far. */
static inline void finish_loading(controller_fixture *fixture)
{
    mv_controller_cache_loaded(fixture->controller, fixture->now);
}

/** Returns a copy of the controller's current counters. */
static inline mv_controller_counters read_counters(const controller_fixture *fixture)
{
    mv_controller_counters counters;
    mv_controller_get_counters(fixture->controller, &counters);
    return counters;
}

/* --- actions --- */

/** Examines one action for a test. The action is valid only during the call. */
typedef void (*action_visitor)(controller_fixture *fixture, const mv_action *action, gpointer data);

/** Takes all actions from the controller in order, passes each of them to `visit` and frees it. If
 * `visit` is NULL, the actions are only freed. */
static inline void take_actions(controller_fixture *fixture, action_visitor visit, gpointer data)
{
    mv_action *action;
    while ((action = mv_controller_next_action(fixture->controller))) {
        if (visit)
            visit(fixture, action, data);
        mv_action_free(action);
    }
}

/** Returns the number of writes to this key in a transaction; 0 if the action is no transaction. */
static inline unsigned count_writes(const mv_action *action, const char *key)
{
    unsigned count = 0;
    if (action->kind != MV_ACTION_TRANSACTION)
        return 0;
    for (guint i = 0; i < action->writes->len; i++)
        count += strcmp(g_array_index(action->writes, mv_write, i).key, key) == 0;
    return count;
}

/** Returns the number of writes to keys with this prefix in a transaction; 0 if the action is no
 * transaction. */
static inline unsigned count_writes_below(const mv_action *action, const char *prefix)
{
    unsigned count = 0;
    if (action->kind != MV_ACTION_TRANSACTION)
        return 0;
    for (guint i = 0; i < action->writes->len; i++)
        count += g_str_has_prefix(g_array_index(action->writes, mv_write, i).key, prefix);
    return count;
}

/** Returns the number of launches in an action with commands to a machine. If `job_id` is not NULL,
 * counts only the launches of that job. */
static inline unsigned count_launches(const mv_action *action, const char *job_id)
{
    unsigned count = 0;
    for (guint i = 0; i < action->commands->len; i++) {
        const mv_command *command = &g_array_index(action->commands, mv_command, i);
        const bool counts = !job_id || strcmp(command->job_id, job_id) == 0;
        count += command->kind == MV_COMMAND_LAUNCH && counts;
    }
    return count;
}

/** Reports to the controller that the cloud has no capacity for an instance request. Ignores every
 * other kind of action. */
static inline void refuse_scale_out(controller_fixture *fixture, const mv_action *action)
{
    if (action->kind == MV_ACTION_SCALE_OUT)
        mv_controller_scale_out_completed(fixture->controller, fixture->now, action->id, NULL,
                                          true);
}

/** Frees a queue of actions that the fixture held back, and sets the pointer to NULL. */
static inline void free_held_actions(GQueue **held)
{
    g_queue_free_full(*held, (GDestroyNotify)mv_action_free);
    *held = NULL;
}

/* --- records --- */

/** Returns an occupancy record that names one machine. The caller owns the record. */
static inline GBytes *pack_occupancy_of(const char *machine_id, const char *address)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 1);
    mv_write_text(writer, RECORD_MACHINES);
    mv_write_list(writer, 2);
    mv_write_text(writer, machine_id);
    mv_write_text(writer, address);
    return mv_writer_finish(writer);
}

/* --- mutation testing --- */

/** Disables one safety check of the controller, calls `measure`, enables the check again and
 * returns the result of `measure`. */
static inline unsigned measure_without(mv_safety_check check, unsigned (*measure)(void))
{
    mv_disabled_check = check;
    const unsigned result = measure();
    mv_disabled_check = MV_CHECK_NONE;
    return result;
}
#endif
