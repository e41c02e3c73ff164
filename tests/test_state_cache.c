/**
 * The state cache: how the controller applies the records that it reads from the state service. The
 * records may have the format of another version, may arrive twice or late, and a list of all
 * records consists of pages that were read at different times.
 *
 * Rules of the protocol page: a list is ordered by key and read in pages; a watch reports the
 * changes since a revision; "fields that a receiver does not know must be ignored"; `went_back`.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

/* --- formats --- */

#define FORMAT_OLD 0
#define FORMAT_WITH_SERVICES 2
#define FORMAT_LATER 9
#define FUTURE_JOB_KEY KEY_JOB_PREFIX "j-000009"

static void put_node_record(controller_fixture *fixture, const char *name, unsigned format)
{
    char key[MV_KEY_SIZE];
    mv_lease_holder holder = {.incarnation = 20, .format = format};
    g_strlcpy(holder.node, name, sizeof holder.node);
    g_snprintf(key, sizeof key, KEY_NODE_PREFIX "%s", name);
    fixture_put_record(fixture, key, mv_lease_holder_pack(&holder));
}

static void assert_formats_current(const controller_fixture *fixture, bool current)
{
    g_assert_cmpint(mv_controller_all_formats_current(fixture->controller), ==, current);
}

/* Puts a job record of a later version, whose shape this version does not know. */
static void put_future_job(controller_fixture *fixture)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 2);
    mv_write_text_field(writer, WIRE_ID, "j-000009");
    mv_write_text_field(writer, WIRE_SHAPE, "swarm");
    fixture_put_record(fixture, FUTURE_JOB_KEY, mv_writer_finish(writer));
}

static void assert_future_job_is_not_written(controller_fixture *fixture, const mv_action *action,
                                             gpointer data)
{
    (void)fixture;
    (void)data;
    g_assert_cmpuint(count_writes(action, FUTURE_JOB_KEY), ==, 0);
}

/* Services are accepted only if every controller runs a version that can read them. A controller
 * without a node record counts as old unless its format record says otherwise. A controller that
 * was downgraded makes the others reject services again. A controller never writes the record of a
 * job whose format it does not know. */
static void services_wait_for_every_format(void)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1};
    start_controller(&fixture);
    put_node_record(&fixture, "n0", FORMAT_WITH_SERVICES);
    put_node_record(&fixture, "n1", FORMAT_WITH_SERVICES);
    assert_formats_current(&fixture, false); /* n2 has no record yet */
    put_node_record(&fixture, "n2", FORMAT_OLD);
    assert_formats_current(&fixture, false);
    put_node_record(&fixture, "n2", FORMAT_WITH_SERVICES);
    assert_formats_current(&fixture, true);
    fixture_put_record(&fixture, KEY_FORMAT_PREFIX "n2", mv_format_pack(FORMAT_WITH_SERVICES));
    fixture_put_record(&fixture, KEY_NODE_PREFIX "n2", NULL);
    assert_formats_current(&fixture, true); /* n2's format record still counts */
    put_node_record(&fixture, "n2", FORMAT_OLD);
    assert_formats_current(&fixture, false); /* n2 was downgraded */
    put_node_record(&fixture, "n2", FORMAT_LATER);
    assert_formats_current(&fixture, true); /* later versions read this format */

    put_future_job(&fixture);
    finish_loading(&fixture);
    mv_controller_tick(fixture.controller, fixture.now + 1, wall_offset_s + fixture.now);
    take_actions(&fixture, assert_future_job_is_not_written, NULL);
    fixture_free(&fixture);
}

/* --- lists of all records --- */

#define SPLIT_SEGMENT 9
#define SPLIT_MACHINES 4

/* Starts the tasks of a job on the machines of a segment that the controller owns. */
static void run_tasks_in_segment(controller_fixture *fixture)
{
    unsigned running = 0;
    start_controller(fixture);
    fixture_grant_shard(fixture, 5);
    fixture_put_segment(fixture, SPLIT_SEGMENT, 0, SPLIT_MACHINES);
    finish_loading(fixture);
    fixture_advance(fixture, 1);
    for (unsigned i = 0; i < SPLIT_MACHINES; i++) {
        char id[MV_NAME_SIZE];
        fixture_machine_id(i, id, sizeof id);
        set_occupied(fixture->controller, id); /* as the shard's owner records it */
    }
    fixture_add_batch_job(fixture, 1, 2);
    fixture_advance(fixture, 3);
    for (unsigned i = 0; i < SPLIT_MACHINES; i++)
        running += fixture_running_tasks(fixture, i);
    g_assert_cmpuint(running, ==, TASKS);
}

/* The controller lists all records again. One page shows the segment with half of its machines,
 * and a later page has a newer record. Returns the revision of the split. */
static uint64_t list_amid_split(controller_fixture *fixture)
{
    mv_controller_relist_started(fixture->controller, fixture->now);
    fixture_put_segment(fixture, SPLIT_SEGMENT, 0, SPLIT_MACHINES / 2);
    const uint64_t split = fixture->revision;
    fixture_add_batch_job(fixture, 2, 2);
    finish_loading(fixture);
    mv_controller_tick(fixture->controller, fixture->now + MV_TICK_S, wall_offset_s + fixture->now);
    return split;
}

/* A segment holds four machines, but the list of all records shows only two: the segment was split
 * after the page that would hold the new segment had been read. Returns how many tasks of the two
 * missing machines the controller queued again. */
static unsigned tasks_requeued_by_list(void)
{
    controller_fixture fixture = {.machines = SPLIT_MACHINES, .report_s = 1};
    run_tasks_in_segment(&fixture);

    const uint64_t split = list_amid_split(&fixture);
    const mv_controller_counters counters = read_counters(&fixture);

    /* The new segment, written in the transaction of the split, arrives by the watch only now. */
    fixture.now += 0.2;
    const uint64_t newest = fixture.revision;
    fixture.revision = split - 1;
    fixture_put_segment(&fixture, SPLIT_SEGMENT + 1, SPLIT_MACHINES / 2, SPLIT_MACHINES / 2);
    fixture.revision = newest;
    mv_controller_watch_caught_up(fixture.controller, fixture.now, fixture.now);
    const machine_snapshot machine = inspect_machine(fixture.controller, "vm-000003");
    g_assert_true(machine.known && machine.segment == SPLIT_SEGMENT + 1);
    fixture_free(&fixture);
    return (unsigned)counters.requeued;
}

static void list_alone_removes_no_machine(void)
{
    g_assert_cmpuint(tasks_requeued_by_list(), ==, 0);
    g_assert_cmpuint(measure_without(MV_CHECK_RELIST, tasks_requeued_by_list), >, 0);
}

/* The shard's owner offers a machine for transfer at the revision of its occupancy record, and a
 * list then shows that record again. Returns 1 if the controller may place tasks on the machine
 * although the leader may still move it, otherwise 0. */
static unsigned schedulable_after_repeated_record(void)
{
    controller_fixture fixture = {.machines = 4, .report_s = 1};
    fixture_own_fleet(&fixture);
    fixture_advance(&fixture, 3);
    const machine_snapshot machine = inspect_machine(fixture.controller, "vm-000001");
    g_assert_true(machine.schedulable);
    set_transferable(fixture.controller, "vm-000001", machine.occupancy_record);

    const uint64_t newest = fixture.revision;
    fixture.revision = machine.occupancy_record - 1;
    fixture_put_record(&fixture, KEY_OCCUPANCY_PREFIX "0/0",
                       pack_occupancy_of("vm-000001", "10.1.0.1:1001"));
    fixture.revision = newest;

    const bool schedulable = inspect_machine(fixture.controller, "vm-000001").schedulable;
    fixture_free(&fixture);
    return schedulable;
}

static void repeated_record_is_no_change(void)
{
    g_assert_cmpuint(schedulable_after_repeated_record(), ==, 0);
    g_assert_cmpuint(measure_without(MV_CHECK_REPEATED_RECORD, schedulable_after_repeated_record),
                     ==, 1);
}

/* The state cache ignores a record that is older than the one it holds. Older records arrive
 * because the pages of a list are read at different times while the watch reports changes from the
 * first page on. */
static void records_never_go_back(void)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1};
    start_controller(&fixture);
    fixture.revision = 50;
    fixture_put_shard(&fixture, KEY_SHARD_PREFIX "0", "n0", 7, 9); /* revision 51, from the list */
    fixture.revision = 30;
    fixture_put_shard(&fixture, KEY_SHARD_PREFIX "0", "n1", 8, 8); /* revision 31, older */
    g_assert_cmpstr(fixture_shard_owner(&fixture, 0), ==, "n0");
    mv_controller_record_changed(fixture.controller, fixture.now, KEY_SHARD_PREFIX "0", NULL, 40);
    g_assert_cmpstr(fixture_shard_owner(&fixture, 0), ==, "n0");
    g_assert_cmpuint(read_counters(&fixture).stale_messages, ==, 2);
    fixture.revision = 60;
    fixture_put_shard(&fixture, KEY_SHARD_PREFIX "0", "n1", 8, 10);
    g_assert_cmpstr(fixture_shard_owner(&fixture, 0), ==, "n1");
    /* The cache is as recent as the time before the watch request was sent, and that time never
     * decreases. */
    mv_controller_watch_caught_up(fixture.controller, fixture.now + 3, fixture.now + 2);
    mv_controller_watch_caught_up(fixture.controller, fixture.now + 4, fixture.now + 1);
    g_assert_cmpfloat(mv_controller_caught_up_to(fixture.controller), ==, fixture.now + 2);
    fixture_free(&fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/state-cache/format-gate", services_wait_for_every_format);
    g_test_add_func("/state-cache/relist-in-split", list_alone_removes_no_machine);
    g_test_add_func("/state-cache/repeated-records", repeated_record_is_no_change);
    g_test_add_func("/state-cache/records-never-go-back", records_never_go_back);
    return g_test_run();
}
