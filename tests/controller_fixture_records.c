/** Records of the state store that the fixture delivers to the controller under test: grants of
 * shards, partitions and jobs. */
#include "controller_fixture.h"

#include "controller_probe.h"
#include "protocol/names.h"

#include <string.h>

#define TEAM_NAME "a"
#define SUBMITTED_AT_WALL 1e6
#define RENTED_AT_WALL 1e6
/* Terms in the records that fixture_lead() puts. */
#define LEADER_TERM 3
#define TERM_COUNTER 9
#define FIRST_SHARD_TERM 4

void fixture_put_record(controller_fixture *fixture, const char *key, GBytes *data)
{
    mv_controller_record_changed(fixture->controller, fixture->now, key, data, ++fixture->revision);
    if (data)
        g_bytes_unref(data);
}

void fixture_machine_id(unsigned index, char *out, size_t size)
{
    g_snprintf(out, size, "vm-%06u", index);
}

/* --- machines and their partition --- */

GArray *fixture_machine_types(void)
{
    GArray *types = fake_types_new();
    mv_machine_type type = {.cores = 64,
                            .ram_gb = 256,
                            .image_cache_gb = 60,
                            .image_gb_per_s = 0.8,
                            .price = 1,
                            .spot_price = 0.3,
                            .boot_s = 30};
    fake_types_add(types, "big", type);
    type.cores = 32;
    type.ram_gb = 64;
    fake_types_add(types, "small", type);
    return types;
}

static mv_partition_member partition_member(unsigned index, const char *type_name)
{
    mv_partition_member member = {.spot = true, .rented_at_wall = RENTED_AT_WALL};
    fixture_machine_id(index, member.id, sizeof member.id);
    g_snprintf(member.address, sizeof member.address, FIXTURE_ADDRESS_FORMAT,
               FIXTURE_FIRST_PORT + index);
    g_strlcpy(member.type_name, type_name, sizeof member.type_name);
    g_strlcpy(member.zone_name, "z", sizeof member.zone_name);
    return member;
}

static void record_segment(controller_fixture *fixture, unsigned segment, const GArray *members)
{
    char key[MV_KEY_SIZE];
    g_snprintf(key, sizeof key, KEY_PARTITION_PREFIX "0/%u", segment);
    fixture_put_record(fixture, key, mv_partition_pack(members));
}

static void record_occupancy(controller_fixture *fixture, unsigned segment, const GArray *members)
{
    char key[MV_KEY_SIZE];
    mv_writer *occupancy = mv_writer_new();
    mv_write_map(occupancy, 1);
    mv_write_text(occupancy, RECORD_MACHINES);
    mv_write_list(occupancy, 2 * members->len);
    for (guint i = 0; i < members->len; i++) {
        const mv_partition_member *member = &g_array_index(members, mv_partition_member, i);
        mv_write_text(occupancy, member->id);
        mv_write_text(occupancy, member->address);
    }
    g_snprintf(key, sizeof key, KEY_OCCUPANCY_PREFIX "0/%u", segment);
    fixture_put_record(fixture, key, mv_writer_finish(occupancy));
}

void fixture_put_partition(controller_fixture *fixture)
{
    for (unsigned first = 0; first < fixture->machines; first += FIXTURE_SEGMENT_MACHINES) {
        g_autoptr(GArray) members = g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
        const unsigned count = MIN(FIXTURE_SEGMENT_MACHINES, fixture->machines - first);
        for (unsigned i = 0; i < count; i++) {
            const mv_partition_member member = partition_member(first + i, i % 4 ? "small" : "big");
            g_array_append_val(members, member);
        }
        record_segment(fixture, first / FIXTURE_SEGMENT_MACHINES, members);
        record_occupancy(fixture, first / FIXTURE_SEGMENT_MACHINES, members);
    }
}

void fixture_put_segment(controller_fixture *fixture, unsigned segment, unsigned from,
                         unsigned count)
{
    g_autoptr(GArray) members = g_array_new(FALSE, TRUE, sizeof(mv_partition_member));
    for (unsigned i = from; i < from + count; i++) {
        const mv_partition_member member = partition_member(i, "small");
        g_array_append_val(members, member);
    }
    record_segment(fixture, segment, members);
}

/* --- jobs --- */

void fixture_put_job(controller_fixture *fixture, mv_job_spec spec, const char *id,
                     const char *class_name, const char *image_name)
{
    char key[MV_KEY_SIZE];
    g_strlcpy(spec.id, id, sizeof spec.id);
    g_strlcpy(spec.class_name, class_name, sizeof spec.class_name);
    g_strlcpy(spec.team_name, TEAM_NAME, sizeof spec.team_name);
    g_strlcpy(spec.image_name, image_name, sizeof spec.image_name);
    spec.deadline_s = -1;
    g_snprintf(key, sizeof key, KEY_JOB_PREFIX "%s", id);
    fixture_put_record(fixture, key, mv_job_record_pack(&spec, 0, SUBMITTED_AT_WALL));
}

void fixture_add_batch_job(controller_fixture *fixture, unsigned index, double cores)
{
    const bool is_urgent = cores <= 8;
    const mv_job_spec spec = {.priority = is_urgent ? MV_PRIORITY_HIGH : MV_PRIORITY_STANDARD,
                              .tasks = TASKS,
                              .cores = cores,
                              .ram_gb = cores,
                              .image_gb = 2,
                              .spot = true,
                              .estimated_runtime_s = 30};
    g_autofree char *id = g_strdup_printf("j-%06u", index);
    g_autofree char *image_name = g_strdup_printf("img-%u", index % 7);
    fixture_put_job(fixture, spec, id, is_urgent ? "rush" : "refresh", image_name);
}

/* --- leader and shard owners --- */

static void record_node(controller_fixture *fixture, const char *node, uint64_t incarnation,
                        uint64_t term)
{
    char key[MV_KEY_SIZE];
    mv_lease_holder holder = {.incarnation = incarnation, .term = term};
    g_strlcpy(holder.node, node, sizeof holder.node);
    g_snprintf(key, sizeof key, KEY_NODE_PREFIX "%s", node);
    fixture_put_record(fixture, key, mv_lease_holder_pack(&holder));
}

void fixture_put_shard(controller_fixture *fixture, const char *key, const char *node,
                       uint64_t incarnation, uint64_t term)
{
    mv_lease_holder holder = {.incarnation = incarnation, .term = term};
    g_strlcpy(holder.node, node, sizeof holder.node);
    holder.teams = g_ptr_array_new();
    g_ptr_array_add(holder.teams, TEAM_NAME);
    fixture_put_record(fixture, key, mv_lease_holder_pack(&holder));
    g_ptr_array_unref(holder.teams);
}

void fixture_grant_shard(controller_fixture *fixture, uint64_t term)
{
    record_node(fixture, "n0", FIXTURE_INCARNATION, term);
    fixture_put_record(fixture, KEY_TERM, mv_counter_pack(term));
    fixture_put_shard(fixture, KEY_SHARD_PREFIX "0", "n0", FIXTURE_INCARNATION, term);
}

void fixture_lead(controller_fixture *fixture, unsigned controllers)
{
    mv_lease_holder leader = {
        .node = "n0", .incarnation = FIXTURE_INCARNATION, .term = LEADER_TERM};
    fixture_put_record(fixture, KEY_TERM, mv_counter_pack(TERM_COUNTER));
    fixture_put_record(fixture, KEY_LEADER, mv_lease_holder_pack(&leader));
    for (unsigned i = 0; i < controllers; i++) {
        char node[MV_NAME_SIZE], key[MV_KEY_SIZE];
        g_snprintf(node, sizeof node, "n%u", i);
        g_snprintf(key, sizeof key, KEY_SHARD_PREFIX "%u", i);
        record_node(fixture, node, FIXTURE_INCARNATION + i, 0);
        fixture_put_shard(fixture, key, node, FIXTURE_INCARNATION + i, FIRST_SHARD_TERM + i);
    }
}

const char *fixture_shard_owner(controller_fixture *fixture, unsigned shard)
{
    return probe_shard_owner(fixture->controller, shard);
}

mv_shard_demand *fixture_offer_machine(uint64_t term, uint64_t revision)
{
    mv_shard_demand *demand = g_new0(mv_shard_demand, 1);
    g_strlcpy(demand->node, "n1", sizeof demand->node);
    demand->incarnation = FIXTURE_INCARNATION + 1;
    demand->term = term;
    demand->shard = 1;
    demand->demands = g_array_new(FALSE, TRUE, sizeof(mv_resource_demand));
    demand->machines = g_array_new(FALSE, TRUE, sizeof(mv_machine_summary));
    mv_machine_summary summary = {.has_booted = true,
                                  .recently_reported = true,
                                  .idle_s = 5,
                                  .transferable_revision = revision};
    fixture_machine_id(1, summary.id, sizeof summary.id);
    g_array_append_val(demand->machines, summary);
    return demand;
}

/* --- transactions --- */

void fixture_apply_transaction(controller_fixture *fixture, const mv_action *action)
{
    for (guint i = 0; i < action->writes->len; i++) {
        const mv_write *write = &g_array_index(action->writes, mv_write, i);
        fixture_put_record(fixture, write->key, write->data ? g_bytes_ref(write->data) : NULL);
    }
    mv_controller_transaction_completed(fixture->controller, fixture->now, action->id,
                                        MV_TRANSACTION_COMMITTED);
}

uint64_t fixture_precondition_revision(const mv_action *action, const char *key)
{
    for (guint i = 0; i < action->preconditions->len; i++) {
        const mv_precondition *precondition =
            &g_array_index(action->preconditions, mv_precondition, i);
        if (strcmp(precondition->key, key) == 0)
            return precondition->revision;
    }
    return 0;
}
