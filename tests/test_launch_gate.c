/**
 * Tests the launch gate and what else a controller does when its links fail. An isolated controller
 * holds launches, publishes to its peers the completions that it cannot record, and shows the
 * operators why launches are held. The leader grants the shards of an isolated owner to other
 * controllers.
 *
 * Rules of the protocol page: "Outages and cuts" (a node cannot tell an outage from a 503 that only
 * this node receives, and the agents whose heartbeats this node answers continue) and `ran_twice`.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define JOB_ID "j-000001"
#define FLEET 4
#define LOADING_S 6 /* by then all machines have reported with the current fencing token */

static controller_fixture *fixture_new(void)
{
    controller_fixture *fixture = g_new0(controller_fixture, 1);
    fixture->machines = FLEET;
    fixture->report_s = 5;
    fixture->launch_gate = true;
    fixture_own_fleet(fixture);
    return fixture;
}

static void launch_gate_fixture_free(controller_fixture *fixture)
{
    fixture_free(fixture);
    g_free(fixture);
}

/* Returns the link report of a peer that has received the latest report of the fixture's
 * controller. The caller owns the returned report. */
static mv_link_report *report_of_peer(controller_fixture *fixture, const char *name,
                                      uint64_t sequence)
{
    g_autoptr(mv_link_report) own_report =
        mv_controller_link_report(fixture->controller, fixture->now);
    mv_link_report *report = mv_link_report_new();
    g_strlcpy(report->node, name, sizeof report->node);
    report->boot = 99;
    report->sequence = sequence;
    report->link_class = MV_LINKS_CONNECTED;
    report->state_age_s = report->cache_age_s = 0.1;
    report->workers_age_s = MV_NEVER;
    mv_peer_link link = {.received_boot = own_report->boot,
                         .received_sequence = own_report->sequence};
    g_strlcpy(link.peer, "n0", sizeof link.peer);
    link.last_message_age_s = link.answered_request_age_s = 0;
    g_array_append_val(report->peers, link);
    return report;
}

static void receive_report(controller_fixture *fixture, const mv_link_report *report)
{
    mv_controller_link_report_received(fixture->controller, fixture->now, report);
}

/* Delivers a heartbeat of the machine to the controller. The machine executes the commands of the
 * response. */
static void answer_heartbeat(controller_fixture *fixture, unsigned machine)
{
    mv_heartbeat heartbeat;
    mv_heartbeat_response response;
    fixture_heartbeat(fixture, machine, &heartbeat);
    mv_controller_heartbeat(fixture->controller, fixture->now, &heartbeat, &response);
    if (response.status == 200)
        fixture_execute_commands(fixture, machine, response.commands);
    if (response.commands)
        g_array_unref(response.commands);
    mv_heartbeat_clear(&heartbeat);
}

/* Lets time pass in which the controller does not reach the state store but answers heartbeats. The
 * fixture counts the launches. */
static void pass_isolated(controller_fixture *fixture, double seconds)
{
    for (double until = fixture->now + seconds - 1e-9; fixture->now < until;) {
        fixture->now += MV_TICK_S;
        mv_controller_session_renewal_failed(fixture->controller, fixture->now);
        tick_controller(fixture);
        fixture_run_actions(fixture);
        for (unsigned i = 0; i < fixture->machines; i++)
            answer_heartbeat(fixture, i);
        fixture_run_actions(fixture);
    }
}

/* --- launches --- */

/* An isolated owner launches neither new tasks nor tasks that were placed before the cut, but it
 * continues to stop tasks and to renew the leases of the agents. After the cut the owner launches
 * each of these tasks exactly once. */
static void isolated_owner_holds_launches(void)
{
    controller_fixture *fixture = fixture_new();
    fixture_advance(fixture, LOADING_S);
    pass_isolated(fixture, 4);

    fixture_add_batch_job(fixture, 1, 2);
    pass_isolated(fixture, 5);

    const mv_controller_counters counters = read_counters(fixture);
    g_assert_cmpuint(fixture->launches, ==, 0);
    g_assert_true(counters.launches_are_held);
    g_assert_cmpint(counters.link_class, ==, MV_LINKS_ISOLATED);
    fixture_advance(fixture, 8);
    g_assert_cmpuint(fixture->launches, ==, TASKS);
    launch_gate_fixture_free(fixture);
}

/* Adds a job and keeps the commands with its launches in the queue of the fixture. */
static void queue_launches(controller_fixture *fixture)
{
    fixture->held_commands = g_queue_new();
    fixture_add_batch_job(fixture, 1, 2);
    fixture_advance_idle(fixture, MV_TICK_S);
    tick_controller(fixture);
    fixture_run_actions(fixture);
    g_assert_cmpuint(g_queue_get_length(fixture->held_commands), >, 0);
}

/* Drops the queued commands and returns the number of launches in them. */
static unsigned drop_queued_commands(controller_fixture *fixture)
{
    unsigned launches = 0;
    mv_action *action;
    while ((action = g_queue_pop_head(fixture->held_commands))) {
        launches += count_launches(action, NULL);
        mv_controller_command_dropped(fixture->controller, fixture->now, action->id);
        mv_action_free(action);
    }
    return launches;
}

static bool first_queued_is_valid(const controller_fixture *fixture)
{
    const mv_action *first = g_queue_peek_head(fixture->held_commands);
    return mv_controller_action_is_valid(fixture->controller, fixture->now, first);
}

/* A launch that has been queued since before the cut is no longer valid when the queue reaches it.
 * The launch is dropped, and the controller sends it again after the gate has opened. */
static void queued_launch_expires_when_isolated(void)
{
    controller_fixture *fixture = fixture_new();
    fixture_advance(fixture, LOADING_S);
    queue_launches(fixture);
    g_assert_true(first_queued_is_valid(fixture));

    /* After 35 ticks (3.5 s) the command has not expired yet, but the last response of the state
     * store is too old for the gate. */
    pass_ticks_only(fixture, 35);

    g_assert_false(first_queued_is_valid(fixture));
    mv_disabled_check = MV_CHECK_LAUNCH_GATE;
    g_assert_true(first_queued_is_valid(fixture));
    mv_disabled_check = MV_CHECK_NONE;
    drop_queued_commands(fixture);
    fixture_run_actions(fixture);
    g_assert_cmpuint(drop_queued_commands(fixture), ==, 0);
    g_clear_pointer(&fixture->held_commands, g_queue_free);
    fixture_advance(fixture, 8);
    g_assert_cmpuint(fixture->launches, ==, TASKS);
    launch_gate_fixture_free(fixture);
}

/* --- unrecorded completions --- */

/* Returns the link report of an owner that is isolated while all tasks of the job complete. The
 * caller owns the report. */
static mv_link_report *report_of_isolated_owner(void)
{
    controller_fixture *owner = fixture_new();
    owner->run_s = 3;
    fixture_advance(owner, LOADING_S);
    fixture_add_batch_job(owner, 1, 2);
    fixture_advance(owner, 1);
    pass_isolated(owner, 5);
    g_assert_cmpuint(read_counters(owner).completions_unrecorded, ==, TASKS);
    mv_link_report *report = mv_controller_link_report(owner->controller, owner->now);
    launch_gate_fixture_free(owner);
    return report;
}

/* Returns how many tasks of the job the next owner launches after it has received the report of the
 * isolated owner. */
static unsigned launches_of_next_owner(void)
{
    g_autoptr(mv_link_report) report = report_of_isolated_owner();
    controller_fixture *next_owner = fixture_new(); /* new machines report no tasks */
    fixture_add_batch_job(next_owner, 1, 2);
    g_strlcpy(report->node, "n1", sizeof report->node);

    receive_report(next_owner, report);
    fixture_advance(next_owner, 6);

    const unsigned launches = next_owner->launches;
    launch_gate_fixture_free(next_owner);
    return launches;
}

/* An isolated owner publishes the completions that it observed. The next owner treats the tasks as
 * done and does not run them again, although the machines that ran them are gone. */
static void published_completions_are_not_run_again(void)
{
    g_assert_cmpuint(launches_of_next_owner(), ==, 0);
    g_assert_cmpuint(measure_without(MV_CHECK_COMPLETIONS, launches_of_next_owner), ==, TASKS);
}

static bool any_job(void *context, const char *job_id)
{
    (void)context;
    (void)job_id;
    return true;
}

/* Adds one valid completion, one of a task that does not exist and one of an unknown job. */
static void add_unknown_completions(mv_link_report *report)
{
    mv_unrecorded_completions *completions = mv_completions_new(1000);
    mv_completions_add(completions, JOB_ID, 0);
    mv_completions_add(completions, JOB_ID, TASKS); /* the job has tasks 0 to TASKS - 1 */
    mv_completions_add(completions, "j-999999", 0);
    mv_completions_pack(completions, any_job, NULL, 1000, report->completions);
    mv_completions_free(completions);
    g_assert_cmpuint(report->completions->len, ==, 2);
}

static void add_malformed_completions(mv_link_report *report)
{
    mv_completion_set *malformed = g_new0(mv_completion_set, 1);
    g_strlcpy(malformed->job_id, JOB_ID, sizeof malformed->job_id);
    malformed->tasks = g_bytes_new_static("junk", 4);
    g_ptr_array_add(report->completions, malformed);
}

/* The controller ignores a completion of an unknown job or of a task that does not exist, and a
 * malformed set. */
static void invalid_completions_are_ignored(void)
{
    controller_fixture *fixture = fixture_new();
    mv_job_summary job;
    fixture_advance(fixture, LOADING_S);
    fixture_add_batch_job(fixture, 1, 2);
    g_autoptr(mv_link_report) report = report_of_peer(fixture, "n1", 1);
    add_unknown_completions(report);
    add_malformed_completions(report);

    receive_report(fixture, report);

    mv_controller_job_status(fixture->controller, JOB_ID, &job);
    g_assert_cmpuint(job.tasks_done, ==, 0);
    g_assert_cmpuint(read_counters(fixture).stale_messages, ==, 2);
    launch_gate_fixture_free(fixture);
}

/* --- what operators are shown --- */

static void assert_link(const msgpack_object *link, const char *name, const char *links,
                        const char *held)
{
    g_assert_true(mv_text_is(mv_field_find(link, WIRE_NAME), name));
    g_assert_true(mv_text_is(mv_field_find(link, "links"), links));
    g_assert_true(mv_text_is(mv_field_find(link, "held"), held));
}

/* The overview shows the link class of this controller, why this controller holds launches, and the
 * link classes that the peers report. */
static void overview_shows_link_classes(void)
{
    controller_fixture *fixture = fixture_new();
    fixture_advance(fixture, LOADING_S);
    pass_isolated(fixture, 6);
    g_autoptr(mv_link_report) report = report_of_peer(fixture, "n1", 1);
    report->link_class = MV_LINKS_OUTAGE;
    report->launches_held = true;
    receive_report(fixture, report);

    g_autoptr(GBytes) packed = mv_controller_overview(fixture->controller, fixture->now);

    gsize size;
    const void *data = g_bytes_get_data(packed, &size);
    g_autoptr(mv_document) document = mv_document_parse(data, size);
    const msgpack_object_array *links = mv_field_read_list(mv_document_root(document), "links");
    g_assert_cmpuint(links->size, ==, 3);
    assert_link(&links->ptr[0], "n0", "cut_off", "cut_off");
    assert_link(&links->ptr[1], "n1", "outage", "see its own picture");
    assert_link(&links->ptr[2], "n2", "no view", "");
    launch_gate_fixture_free(fixture);
}

/* --- the leader grants shards of isolated owners --- */

static void count_grants(controller_fixture *fixture, const mv_action *action, gpointer grants)
{
    *(unsigned *)grants += count_writes(action, KEY_SHARD_PREFIX "1");
    refuse_scale_out(fixture, action);
}

/* Returns how often the leader grants shard 1 anew while n1, the owner of the shard, reports this
 * link class. */
static unsigned grants_of_shard(uint64_t owner_incarnation, mv_link_class link_class)
{
    controller_fixture fixture = {.machines = 0, .report_s = 1, .launch_gate = true};
    unsigned grants = 0;
    start_controller(&fixture);
    fixture_lead(&fixture, 2);
    finish_loading(&fixture);

    for (unsigned i = 1; i < 30; i++) {
        fixture_advance_idle(&fixture, MV_TICK_S);
        g_autoptr(mv_link_report) report = report_of_peer(&fixture, "n1", i);
        report->incarnation = owner_incarnation;
        report->link_class = link_class;
        report->class_age_s = i * MV_TICK_S;
        receive_report(&fixture, report);
        tick_controller(&fixture);
        take_actions(&fixture, count_grants, &grants);
    }

    fixture_free(&fixture);
    return grants;
}

#define OWNER_INCARNATION 8
#define FORMER_INCARNATION 6 /* of an earlier process of n1 */

/* The leader grants shard 1 anew only if the current process of the owner reports that the owner is
 * isolated; a report of an outage or of a former process of the owner changes nothing. */
static void shard_of_isolated_owner_is_granted_anew(void)
{
    g_assert_cmpuint(grants_of_shard(OWNER_INCARNATION, MV_LINKS_ISOLATED), >, 0);
    g_assert_cmpuint(grants_of_shard(OWNER_INCARNATION, MV_LINKS_CONNECTED), ==, 0);
    g_assert_cmpuint(grants_of_shard(OWNER_INCARNATION, MV_LINKS_OUTAGE), ==, 0);
    g_assert_cmpuint(grants_of_shard(FORMER_INCARNATION, MV_LINKS_ISOLATED), ==, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/launch-gate/holds-launches", isolated_owner_holds_launches);
    g_test_add_func("/launch-gate/queued-launch-expires", queued_launch_expires_when_isolated);
    g_test_add_func("/launch-gate/published-completions", published_completions_are_not_run_again);
    g_test_add_func("/launch-gate/invalid-completions", invalid_completions_are_ignored);
    g_test_add_func("/launch-gate/overview", overview_shows_link_classes);
    g_test_add_func("/launch-gate/shard-granted-anew", shard_of_isolated_owner_is_granted_anew);
    return g_test_run();
}
