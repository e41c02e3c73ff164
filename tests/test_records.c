/**
 * Records that the controller writes to the state store: segments of partitions, moves of machines
 * between shards, completion records and job records. All of them must stay within the state
 * store's limits.
 *
 * Rules of the protocol page: transactions are atomic and conditional on revisions; a transaction
 * has at most `txn_ops` writes and four times as many conditions; a value has at most `value_kb`
 * KiB; a list is ordered by key; `not_done`.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define JOB_ID "j-000001"

/* --- machines that move --- */

/* Revisions of the records on which a move of the machine depends. */
typedef struct {
    uint64_t grant, partition, occupancy;
} move_revisions;

/* Makes the controller the leader. The shard of controller n1 has one machine, and a job waits for
 * machines. Returns the revisions of the records of that shard. */
static move_revisions lead_with_machine_of_peer(controller_fixture *fixture)
{
    move_revisions revisions;
    start_controller(fixture);
    fixture_lead(fixture, 2);
    revisions.grant = fixture->revision;
    g_autoptr(GArray) members = g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
    const mv_partition_member member = {.id = "vm-000001",
                                        .type_name = "small",
                                        .zone_name = "z",
                                        .spot = true,
                                        .rented_at_wall = 1e6};
    g_array_append_val(members, member);
    fixture_put_record(fixture, KEY_PARTITION_PREFIX "1/0", mv_partition_pack(members));
    revisions.partition = fixture->revision;
    fixture_put_record(fixture, KEY_OCCUPANCY_PREFIX "1/0",
                       pack_occupancy_of("vm-000001", "10.1.0.1:1001"));
    revisions.occupancy = fixture->revision;
    fixture_add_batch_job(fixture, 1, 16);
    finish_loading(fixture);
    return revisions;
}

typedef struct {
    move_revisions expected;
    unsigned moves;
} move_observation;

/* Checks that each transaction that moves the machine has all three revisions as preconditions. */
static void observe_move(controller_fixture *fixture, const mv_action *action, gpointer data)
{
    move_observation *observed = data;
    const move_revisions *expected = &observed->expected;
    refuse_scale_out(fixture, action);
    if (action->kind != MV_ACTION_TRANSACTION)
        return;
    if (!fixture_precondition_revision(action, KEY_PARTITION_PREFIX "1/0")) {
        mv_controller_transaction_completed(fixture->controller, fixture->now, action->id,
                                            MV_TRANSACTION_COMMITTED);
        return;
    }
    observed->moves++;
    g_assert_cmpuint(fixture_precondition_revision(action, KEY_PARTITION_PREFIX "1/0"), ==,
                     expected->partition);
    g_assert_cmpuint(fixture_precondition_revision(action, KEY_OCCUPANCY_PREFIX "1/0"), ==,
                     expected->occupancy);
    g_assert_cmpuint(fixture_precondition_revision(action, KEY_SHARD_PREFIX "1"), ==,
                     expected->grant);
}

/* For two seconds, n1 offers the machine for transfer in demands under the grant of term `term`. */
static void offer_machine(controller_fixture *fixture, uint64_t term, move_observation *observed)
{
    for (int i = 0; i < 20; i++) {
        fixture_advance_idle(fixture, MV_TICK_S);
        mv_controller_shard_demand(fixture->controller, fixture->now,
                                   fixture_offer_machine(term, observed->expected.occupancy));
        tick_controller(fixture);
        take_actions(fixture, observe_move, observed);
    }
}

/* The leader moves a machine only if the machine's occupancy record, the grant of the shard that
 * the machine leaves and both partitions have not changed since the machine was offered. The leader
 * ignores an offer in a demand under an earlier grant. */
static void machine_moves_under_preconditions(void)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1};
    move_observation observed = {.expected = lead_with_machine_of_peer(&fixture)};

    offer_machine(&fixture, 4, &observed);
    g_assert_cmpuint(observed.moves, ==, 0);
    offer_machine(&fixture, 5, &observed);

    g_assert_cmpuint(observed.moves, >, 0);
    fixture_free(&fixture);
}

/* --- segments of a partition --- */

#define FENCED_SEGMENTS 6
#define LARGE_SEGMENT 6 /* index of the segment that is too large to be written again */
#define LARGE_FIRST 100 /* the number of its first machine */
#define LARGE_MEMBERS 40
#define WRITES_MAX 8

static void fence_first_machine(controller_fixture *fixture, unsigned segment)
{
    char id[MV_NAME_SIZE];
    fixture_machine_id(10 * segment, id, sizeof id);
    set_owner_summary(fixture->controller, id, fixture->now, true);
}

/* Releases the first machine of the large segment. All machines of the segment may hold tasks, so
 * their occupancy records move together with a slice of the segment. */
static void release_machine_of_large_segment(controller_fixture *fixture)
{
    char id[MV_NAME_SIZE];
    for (unsigned i = LARGE_FIRST; i < LARGE_FIRST + LARGE_MEMBERS; i++) {
        fixture_machine_id(i, id, sizeof id);
        set_occupied(fixture->controller, id);
    }
    fixture_machine_id(LARGE_FIRST, id, sizeof id);
    set_owner_summary(fixture->controller, id, fixture->now, false);
    set_released(fixture->controller, id);
}

/* Makes the controller the leader and the owner of shard 0, which has six small segments and a
 * large one. */
static void lead_with_segments(controller_fixture *fixture)
{
    start_controller(fixture);
    fixture_lead(fixture, 1);
    fixture->settings->controller_count = 1;
    set_node_format(fixture->controller, "n0", MV_FORMAT_CURRENT);
    set_transaction_limit(fixture->controller, WRITES_MAX);
    set_value_limit(fixture->controller, 2048);
    for (unsigned segment = 0; segment < FENCED_SEGMENTS; segment++)
        fixture_put_segment(fixture, segment, 10 * segment, 5);
    fixture_put_segment(fixture, LARGE_SEGMENT, LARGE_FIRST, LARGE_MEMBERS);
    finish_loading(fixture);
    fixture->now += 5; /* the records of the shard were read 5 s ago */
    tick_controller(fixture);
    take_actions(fixture, NULL, NULL);
    mv_controller_session_renewed(fixture->controller, fixture->now, 7, fixture->now);
}

typedef struct {
    unsigned writes_max, split;
} segment_writes;

static void commit_segment_writes(controller_fixture *fixture, const mv_action *action,
                                  gpointer data)
{
    segment_writes *observed = data;
    g_assert_cmpuint(action->writes->len, <=, WRITES_MAX);
    observed->writes_max = MAX(observed->writes_max, action->writes->len);
    observed->split += count_writes(action, KEY_PARTITION_PREFIX "0/7");
    fixture_apply_transaction(fixture, action);
}

/* The leader writes its partition, and the state cache receives the written records. */
static void write_and_observe_partition(controller_fixture *fixture, segment_writes *observed)
{
    g_assert_true(write_partition(fixture->controller, 0));
    take_actions(fixture, commit_segment_writes, observed);
    fixture->now += 1;
    mv_controller_watch_caught_up(fixture->controller, fixture->now, fixture->now);
    set_clock(fixture->controller, fixture->now);
    reconcile_partition(fixture->controller, 0);
}

/* Six segments each have a machine to be fenced, and a seventh segment is too large to be written
 * again. When the leader splits a slice off the large segment, the transaction must leave space for
 * the write of the new term. */
static void split_leaves_space_for_new_term(void)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1};
    segment_writes observed = {0};
    lead_with_segments(&fixture);
    for (unsigned segment = 0; segment < FENCED_SEGMENTS; segment++)
        fence_first_machine(&fixture, segment);
    release_machine_of_large_segment(&fixture);
    forget_partition_writes(fixture.controller, 0);
    reconcile_partition(fixture.controller, 0);

    for (int i = 0; i < 4; i++)
        write_and_observe_partition(&fixture, &observed);

    /* One transaction writes all fenced segments and the term. The slice is written as well. */
    g_assert_cmpuint(observed.writes_max, >=, FENCED_SEGMENTS + 1);
    g_assert_cmpuint(observed.split, >, 0);
    fixture_free(&fixture);
}

typedef struct {
    char old_key[MV_KEY_SIZE];
    bool old_written;
    unsigned new_segments;
} split_order;

/* Checks that the keys of the new segments sort after the key of the old segment, and that the new
 * segments are written before the old segment. */
static void observe_split_order(controller_fixture *fixture, const mv_action *action, gpointer data)
{
    (void)fixture;
    split_order *observed = data;
    if (action->kind != MV_ACTION_TRANSACTION)
        return;
    for (guint i = 0; i < action->writes->len; i++) {
        const char *key = g_array_index(action->writes, mv_write, i).key;
        if (!g_str_has_prefix(key, KEY_PARTITION_PREFIX))
            continue;
        g_assert_false(observed->old_written);
        observed->old_written = strcmp(key, observed->old_key) == 0;
        observed->new_segments += !observed->old_written;
        g_assert_true(observed->old_written || strcmp(key, observed->old_key) > 0);
    }
}

#define SEGMENTS 12

/* Checks the order of the writes when `segment`, one of twelve segments, is too large and is split
 * while a controller of the old version runs. */
static void assert_split_order(unsigned segment)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1};
    split_order observed = {0};
    g_snprintf(observed.old_key, sizeof observed.old_key, KEY_PARTITION_PREFIX "0/%u", segment);
    start_controller(&fixture);
    fixture_lead(&fixture, 1); /* the node record names no format, as of the old version */
    set_value_limit(fixture.controller, 2048);
    for (unsigned i = 0; i < SEGMENTS; i++)
        fixture_put_segment(&fixture, i, 50 * i, i == segment ? 40 : 2);
    finish_loading(&fixture);

    request_segment_write(fixture.controller, 0, segment);
    g_assert_true(write_partition(fixture.controller, 0));
    take_actions(&fixture, observe_split_order, &observed);

    g_assert_true(observed.old_written);
    g_assert_cmpuint(observed.new_segments, >, 0);
    fixture_free(&fixture);
}

/* While a controller of the old version runs, any segment may be split. The new segments' keys sort
 * after the old segment's key, because a list is read in the order of keys, and the old segment is
 * written last. */
static void new_segments_are_listed_later(void)
{
    for (unsigned segment = 0; segment < SEGMENTS; segment++)
        assert_split_order(segment);
}

/* --- completion records --- */

#define VALUE_BYTES_MAX 1024
#define COMPLETION_WRITES_MAX 4

typedef struct {
    unsigned written, removed;
} completion_writes;

/* Commits a transaction after checking that it stays within the state store's limits. */
static void commit_completion_writes(controller_fixture *fixture, const mv_action *action,
                                     gpointer data)
{
    completion_writes *observed = data;
    if (action->kind != MV_ACTION_TRANSACTION)
        return;
    g_assert_cmpuint(action->writes->len, <=, COMPLETION_WRITES_MAX);
    g_assert_cmpuint(action->preconditions->len, <=, 4 * COMPLETION_WRITES_MAX);
    for (guint i = 0; i < action->writes->len; i++) {
        const mv_write *write = &g_array_index(action->writes, mv_write, i);
        const bool completions = g_str_has_prefix(write->key, KEY_COMPLETION_PREFIX);
        g_assert_true(!write->data || g_bytes_get_size(write->data) <= VALUE_BYTES_MAX);
        observed->written += completions && write->data;
        observed->removed += completions && !write->data;
    }
    fixture_apply_transaction(fixture, action);
}

/* Advances the time by `steps` half seconds and commits every transaction of the controller. */
static void pass_with_commits(controller_fixture *fixture, unsigned steps,
                              completion_writes *observed)
{
    for (unsigned i = 0; i < steps; i++) {
        fixture_advance_idle(fixture, 0.5);
        tick_controller(fixture);
        take_actions(fixture, commit_completion_writes, observed);
    }
}

/* Makes the controller the owner of a job with the largest permitted number of tasks, while a value
 * in the state store holds at most 1 KiB. */
static void own_largest_job(controller_fixture *fixture)
{
    const mv_job_spec spec = {
        .tasks = MV_JOB_TASKS_MAX, .cores = 1, .ram_gb = 1, .estimated_runtime_s = 1};
    start_controller(fixture);
    mv_controller_free(fixture->controller);
    fixture->settings->value_kb = VALUE_BYTES_MAX / 1024.0;
    fixture->settings->transaction_writes = COMPLETION_WRITES_MAX;
    fixture->controller = mv_controller_new(fixture->settings);
    tick_controller(fixture);
    mv_controller_session_renewed(fixture->controller, fixture->now, 7, fixture->now);
    fixture_lead(fixture, 1);
    fixture_put_job(fixture, spec, JOB_ID, "l", "i");
    finish_loading(fixture);
}

/* 100,000 tasks where a value holds 1 KiB: completions in small records, all within the limits,
 * read back by another controller; what the end has no room for is garbage collected. */
static void completions_of_largest_job_stay_within_limits(void)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1};
    completion_writes observed = {0};
    own_largest_job(&fixture);

    for (uint32_t task = 0; task < MV_JOB_TASKS_MAX; task += 3)
        complete_task(fixture.controller, JOB_ID, task);
    pass_with_commits(&fixture, 200, &observed);
    g_assert_cmpuint(inspect_recorded_tasks(fixture.controller, JOB_ID), ==,
                     (MV_JOB_TASKS_MAX + 2) / 3);
    g_assert_cmpuint(inspect_completion_records(fixture.controller, JOB_ID), ==, observed.written);

    /* The job is over, so the controller has to delete all of its completion records. */
    fixture_put_record(&fixture, KEY_JOB_PREFIX JOB_ID, NULL);
    pass_with_commits(&fixture, 200, &observed);

    g_assert_cmpuint(observed.written, ==,
                     (MV_JOB_TASKS_MAX + MV_CHUNK_TASKS_SMALL - 1) / MV_CHUNK_TASKS_SMALL);
    g_assert_cmpuint(observed.removed, ==, observed.written);
    g_assert_cmpuint(inspect_orphaned_records(fixture.controller), ==, 0);
    fixture_free(&fixture);
}

/* --- job records and limits --- */

/* If the list of machine types makes a job's record too large, the controller keeps each existing
 * type once. If no type remains, trimming the record fails. */
static void job_record_keeps_types_that_exist(void)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1};
    mv_job_spec spec = {.tasks = 1, .cores = 1, .type_name_count = 200};
    start_controller(&fixture);
    set_value_limit(fixture.controller, 1024);
    g_strlcpy(spec.id, JOB_ID, sizeof spec.id);
    spec.type_names = g_malloc0_n(spec.type_name_count, MV_NAME_SIZE);
    for (size_t i = 0; i < spec.type_name_count; i++)
        g_snprintf(spec.type_names[i], MV_NAME_SIZE, "type-%zu", i);
    g_strlcpy(spec.type_names[7], "small", MV_NAME_SIZE);
    g_strlcpy(spec.type_names[150], "big", MV_NAME_SIZE);
    g_strlcpy(spec.type_names[151], "big", MV_NAME_SIZE);

    g_assert_true(mv_controller_trim_job_record(fixture.controller, &spec));

    g_assert_cmpuint(spec.type_name_count, ==, 2);
    g_assert_cmpstr(spec.type_names[0], ==, "small");
    g_assert_cmpstr(spec.type_names[1], ==, "big");
    g_strlcpy(spec.type_names[0], "nowhere", MV_NAME_SIZE);
    g_strlcpy(spec.type_names[1], "nowhere", MV_NAME_SIZE);
    set_value_limit(fixture.controller, 100);
    g_assert_false(mv_controller_trim_job_record(fixture.controller, &spec));
    mv_job_spec_clear(&spec);
    fixture_free(&fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/records/split-with-new-term", split_leaves_space_for_new_term);
    g_test_add_func("/records/completions-of-largest-job",
                    completions_of_largest_job_stay_within_limits);
    g_test_add_func("/records/job-record-trimmed", job_record_keeps_types_that_exist);
    g_test_add_func("/records/new-segments-listed-later", new_segments_are_listed_later);
    g_test_add_func("/records/move-preconditions", machine_moves_under_preconditions);
    return g_test_run();
}
