/**
 * Replicas of services: the reserve that a shard keeps for them, moves before a machine is lost,
 * the time until the loss of a machine is detected, and placement on machines that fetch the image
 * in time.
 *
 * Rules of the protocol page: the cloud takes spot machines back with or without a notice;
 * `ran_twice`: a replica starts on its new machine only after it has left the old machine, which
 * the fixture asserts at every launch; only the expiry of its lease shows that a machine without
 * heartbeats has ended its tasks.
 */
#include "controller_helpers.h"

mv_safety_check mv_disabled_check = MV_CHECK_NONE;

#define RESERVE_MACHINE "vm-000001"
#define REPLICA_CORES 2
#define SMALL_CORES 32 /* cores of the type of RESERVE_MACHINE */
#define ALL_TYPES 3    /* bits of the fixture's two machine types */
#define FAST_TYPE 1    /* bit of the fixture's first machine type */

/* Adds a service with replicas of two cores. */
static void add_service(controller_fixture *fixture, const char *id, unsigned replicas, bool spot)
{
    mv_job_spec spec = {.service = true,
                        .priority = MV_PRIORITY_PROD,
                        .tasks = replicas,
                        .cores = REPLICA_CORES,
                        .ram_gb = 2,
                        .image_gb = 2,
                        .spot = spot};
    fixture_put_job(fixture, spec, id, "api", "img");
}

/* --- the reserve --- */

/* Before its first service, a large shard requests on-demand reserve slots, for which no task is
 * stopped. Afterwards the shard requests as many slots as its largest service has replicas, and it
 * does not return the last machine with reserve slots. */
static void shard_keeps_reserve_for_largest_service(void)
{
    controller_fixture fixture = {.machines = 60, .report_s = 1};
    fixture_own_fleet(&fixture);
    fixture_advance(&fixture, 3);
    mv_resource_demand reserve = inspect_reserve(fixture.controller, 0);
    g_assert_cmpuint(reserve.count, ==, MV_RESERVE_SLOTS_INITIAL);
    g_assert_true(!reserve.service && !reserve.spot);
    /* The fleet has only spot machines, which the cloud may take back, so no machine has slots. */
    g_assert_cmpuint(inspect_reserve_slots(fixture.controller, 0), ==, 0);

    make_on_demand(fixture.controller, RESERVE_MACHINE);
    add_service(&fixture, "j-000077", 5, false);
    fixture_advance(&fixture, 3);

    reserve = inspect_reserve(fixture.controller, 0);
    g_assert_cmpuint(inspect_machine(fixture.controller, RESERVE_MACHINE).placements, ==, 5);
    g_assert_cmpuint(reserve.count, ==, 5);
    g_assert_true(reserve.service);
    g_assert_cmpuint(inspect_reserve_slots(fixture.controller, 0), ==,
                     (SMALL_CORES - 5 * REPLICA_CORES) / REPLICA_CORES);
    g_assert_false(release_from_reserve(fixture.controller, 0, RESERVE_MACHINE));
    fixture_put_record(&fixture, KEY_JOB_PREFIX "j-000077", NULL);
    fixture_free(&fixture);
}

/* --- services of other shards --- */

/* Returns a demand of controller n1, whose shard lacks machines for replicas or lacks nothing. */
static mv_shard_demand *demand_of_peer(bool lacks_machines)
{
    mv_shard_demand *demand = fixture_offer_machine(5, 0);
    const mv_resource_demand lacking = {.cores = 1,
                                        .ram_gb = 1,
                                        .type_mask = ALL_TYPES,
                                        .urgent = true,
                                        .reserve = true,
                                        .service = true,
                                        .count = 4};
    g_array_set_size(demand->machines, 0);
    if (lacks_machines)
        g_array_append_val(demand->demands, lacking);
    return demand;
}

/* Makes the controller the leader and the owner of a shard with on-demand machines, on which batch
 * tasks run. */
static void run_batch_work_on_demand(controller_fixture *fixture)
{
    start_controller(fixture);
    fixture->settings->operator_settings.shards = 2;
    fixture_lead(fixture, 2);
    fixture_put_partition(fixture);
    for (unsigned i = 0; i < fixture->machines; i++) {
        char id[MV_NAME_SIZE];
        fixture_machine_id(i, id, sizeof id);
        make_on_demand(fixture->controller, id);
    }
    finish_loading(fixture);
    fixture_add_batch_job(fixture, 1, 8);
    fixture_advance(fixture, 5);
    g_assert_cmpuint(fixture->launches, >, 0);
}

/* Returns the largest number of machines from which the controller evicts batch tasks at the same
 * time for another shard's services, while the cloud has no machines. */
static unsigned machines_evicted_for_peer(bool peer_lacks_machines)
{
    controller_fixture fixture = {.machines = 4, .report_s = 1};
    unsigned evicting_max = 0;
    run_batch_work_on_demand(&fixture);

    for (int i = 0; i < 60; i++) {
        mv_controller_shard_demand(fixture.controller, fixture.now,
                                   demand_of_peer(peer_lacks_machines));
        fixture_advance(&fixture, 0.2);
        take_actions(&fixture, NULL, NULL);
        refuse_instance_requests(fixture.controller, fixture.now);
        evicting_max = MAX(evicting_max, count_machines(fixture.controller, MACHINE_EVICTING));
    }

    fixture_free(&fixture);
    return evicting_max;
}

/* If another shard's services lack a machine and the cloud has none, the controller evicts the
 * batch tasks of one machine of the only kind that takes replicas. Otherwise no batch task is
 * evicted. */
static void one_machine_is_evicted_for_services_of_peer(void)
{
    g_assert_cmpuint(machines_evicted_for_peer(true), ==, 1);
    g_assert_cmpuint(machines_evicted_for_peer(false), ==, 0);
}

/* --- losses --- */

/* The machine of a replica gets a reclaim notice. Checks that the replica has moved to another
 * machine within four seconds if `moves` is true, and that it stays if `moves` is false. */
static void assert_move_ahead_of_notice(unsigned machines, bool moves)
{
    controller_fixture fixture = {.machines = machines, .report_s = 1};
    fixture_own_fleet(&fixture);
    fixture_advance(&fixture, 3);
    add_service(&fixture, "j-000078", 1, true);
    fixture_advance(&fixture, 3);
    const unsigned origin = fixture_running_tasks(&fixture, 0) ? 0 : 1;
    g_assert_cmpuint(fixture_running_tasks(&fixture, origin), ==, 1);

    fixture.reclaimed_machine = origin + 1;
    fixture_advance(&fixture, 4);

    g_assert_cmpuint(fixture_running_tasks(&fixture, origin), ==, !moves);
    if (moves)
        g_assert_cmpuint(fixture_running_tasks(&fixture, 1 - origin), ==, 1);
    fixture_free(&fixture);
}

/* If a machine gets a reclaim notice and another machine has room, the replica is stopped on the
 * first machine and starts on the other. If no other machine has room, the replica keeps running on
 * the machine until the cloud takes it back. */
static void replica_moves_ahead_of_notice(void)
{
    assert_move_ahead_of_notice(1, false);
    assert_move_ahead_of_notice(2, true);
}

/* Starts one replica, or tasks of a batch job on every machine, in a fleet whose agents send a
 * heartbeat every six seconds. */
static void run_tasks_with_rare_heartbeats(controller_fixture *fixture, bool service)
{
    start_controller(fixture);
    fixture->settings->report_s = fixture->report_s;
    fixture_grant_shard(fixture, 5);
    fixture_put_partition(fixture);
    finish_loading(fixture);
    fixture_advance(fixture, 8);
    if (service)
        add_service(fixture, "j-000079", 1, true);
    else
        /* A task fills half a machine, so every machine gets tasks. */
        fixture_add_batch_job(fixture, 1, 16);
    fixture_advance(fixture, 8);
}

static unsigned first_machine_with_tasks(const controller_fixture *fixture)
{
    unsigned index = 0;
    while (!fixture_running_tasks(fixture, index))
        index++;
    return index;
}

/* Returns the seconds from the last heartbeat of a machine with tasks until the controller counts
 * the machine as failed. The tasks stay bound to the machine, because missing heartbeats do not
 * prove that the tasks have ended. */
static double failure_detected_after(bool service)
{
    controller_fixture fixture = {.machines = 60, .report_s = 6};
    char id[MV_NAME_SIZE];
    run_tasks_with_rare_heartbeats(&fixture, service);
    const unsigned index = first_machine_with_tasks(&fixture);
    fixture_machine_id(index, id, sizeof id);
    machine_snapshot machine = inspect_machine(fixture.controller, id);
    const unsigned placements = machine.placements;

    fixture.dead_machine = index + 1;
    while (!machine.failed && fixture.now < machine.last_heartbeat_at + 60) {
        fixture_advance(&fixture, MV_TICK_S);
        machine = inspect_machine(fixture.controller, id);
    }

    g_assert_true(machine.known && machine.failed);
    const double detected_after_s = fixture.now - machine.last_heartbeat_at;
    fixture_advance(&fixture, 5);
    g_assert_cmpuint(inspect_machine(fixture.controller, id).placements, ==, placements);
    g_assert_cmpuint(g_hash_table_size(fixture.running_tasks), ==, service ? 1 : fixture.launches);
    fixture.dead_machine = 0;
    fixture_free(&fixture);
    return detected_after_s;
}

/* The bound from the page SAFETY: 1.5 s until the first probe, three probes of 0.4, 0.8 and 1.2 s
 * with pauses of 0.2 and 0.4 s between them, and the controller's checks of the machine. */
#define DETECTION_WITH_REPLICA_MAX_S 6.5

static void machine_with_replica_fails_sooner(void)
{
    const double with_replica_s = failure_detected_after(true);
    const double without_s = failure_detected_after(false);
    g_test_message("failure detected after %.1f s, without replicas after %.1f s", with_replica_s,
                   without_s);
    g_assert_cmpfloat(with_replica_s, >, MV_REPLICA_FAILED_AFTER_S);
    g_assert_cmpfloat(with_replica_s, <, DETECTION_WITH_REPLICA_MAX_S);
    g_assert_cmpfloat(without_s, >, MV_FAILED_HEARTBEATS * 6);
    g_assert_cmpfloat(without_s, <, MV_FAILED_HEARTBEATS * 6 + 3);
}

/* --- images --- */

#define SLOW_FETCH_GB_PER_S 0.1
#define FAST_FETCH_GB_PER_S 1.0 /* ten times SLOW_FETCH_GB_PER_S */

/* Makes the controller the owner of four machines. The first machine type fetches images at
 * `first_gb_per_s`, the other types fetch images slowly. */
static void hold_fleet_with_fetch_rate(controller_fixture *fixture, double first_gb_per_s)
{
    start_controller(fixture);
    for (unsigned i = 0; i < inspect_machine_type_count(fixture->controller); i++)
        set_image_fetch_rate(fixture->controller, i, i == 0 ? first_gb_per_s : SLOW_FETCH_GB_PER_S);
    fixture_grant_shard(fixture, 5);
    fixture_put_partition(fixture);
    finish_loading(fixture);
    fixture_advance(fixture, 3);
}

/* Half of the replicas may share the only machine that fetches the image in time. The controller
 * spreads the other replicas over the other machines. */
static void half_of_replicas_share_fast_machine(void)
{
    controller_fixture fixture = {.machines = 4, .report_s = 1};
    hold_fleet_with_fetch_rate(&fixture, FAST_FETCH_GB_PER_S);

    add_service(&fixture, "j-000080", 4, true);
    fixture_advance(&fixture, 3);

    g_assert_cmpuint(fixture_running_tasks(&fixture, 0), ==, 2);
    unsigned elsewhere = 0;
    for (unsigned i = 1; i < 4; i++) {
        g_assert_cmpuint(fixture_running_tasks(&fixture, i), <=, 1);
        elsewhere += fixture_running_tasks(&fixture, i);
    }
    g_assert_cmpuint(elsewhere, ==, 2);
    fixture_free(&fixture);
}

/* Returns the bits of the machine types that count for the reserve of a service if the first
 * machine type fetches images at `first_gb_per_s`. */
static uint32_t reserve_types_with_fetch_rate(double first_gb_per_s)
{
    controller_fixture fixture = {.machines = 4, .report_s = 1};
    hold_fleet_with_fetch_rate(&fixture, first_gb_per_s);
    add_service(&fixture, "j-000081", 4, true);
    fixture_advance(&fixture, 3);
    const uint32_t type_mask = inspect_reserve(fixture.controller, 0).type_mask;
    fixture_free(&fixture);
    return type_mask;
}

/* Only slots on machine types that fetch the image in time count as reserve. If no type fetches the
 * image in time, slots on all types count. */
static void reserve_is_where_images_come_in_time(void)
{
    g_assert_cmphex(reserve_types_with_fetch_rate(SLOW_FETCH_GB_PER_S), ==, ALL_TYPES);
    g_assert_cmphex(reserve_types_with_fetch_rate(FAST_FETCH_GB_PER_S), ==, FAST_TYPE);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/service-replicas/reserve", shard_keeps_reserve_for_largest_service);
    g_test_add_func("/service-replicas/move-ahead-of-notice", replica_moves_ahead_of_notice);
    g_test_add_func("/service-replicas/machine-evicted-for-peer",
                    one_machine_is_evicted_for_services_of_peer);
    g_test_add_func("/service-replicas/failure-detection", machine_with_replica_fails_sooner);
    g_test_add_func("/service-replicas/share-fast-machine", half_of_replicas_share_fast_machine);
    g_test_add_func("/service-replicas/reserve-where-images-come-in-time",
                    reserve_is_where_images_come_in_time);
    return g_test_run();
}
