/**
 * Access of the tests of single decisions to the controller's structs. These tests access the
 * structs only through this header.
 *
 * Tests drive a controller through `coordination/controller.h`. This header adds the state that
 * `coordination/controller.h` does not show, for example why a machine was drained or which reserve
 * a shard counts on, and functions that set a state which would otherwise take hours of events. A
 * test names a machine or a job by its name and a shard or a segment by its number, and never holds
 * a pointer into a struct. If a struct of `src/coordination/` changes, then only this file has to
 * change, and no test.
 *
 * Unless its comment says otherwise, each function ends the test if the controller does not know
 * the given machine, job or shard. The caller owns none of the results. Each test uses one thread,
 * so the functions take no lock.
 */
#ifndef MV_CONTROLLER_INSPECTION_H
#define MV_CONTROLLER_INSPECTION_H
#include "coordination/agents/machine.h"
#include "coordination/autoscaling/instance_requests.h"
#include "coordination/controller/controller_internal.h"
#include "coordination/membership/partition_writer.h"
#include "coordination/scheduling/binding.h"
#include "coordination/scheduling/services.h"

/* --- clock, limits, commands and requests --- */

/** Sets the controller's steady clock, in seconds, without running a tick. */
static inline void set_clock(mv_controller *controller, double now)
{
    controller->context.clock.now = now;
}

/** Sets the maximum size of a value in the state store, in bytes. */
static inline void set_value_limit(mv_controller *controller, size_t bytes)
{
    controller->context.limits.value_bytes = bytes;
}

/** Sets the maximum number of writes in a transaction of the state store. */
static inline void set_transaction_limit(mv_controller *controller, unsigned writes)
{
    controller->context.limits.writes = writes;
}

/** Returns how many direct commands the controller may have in flight at the same time. */
static inline double inspect_command_window(const mv_controller *controller)
{
    return controller->agents.command_window;
}

/** Reports to the controller that the cloud has no capacity for any of the controller's open
 * instance requests. */
static inline void refuse_instance_requests(mv_controller *controller, double now)
{
    const GPtrArray *requests = controller->autoscaler.requests;
    for (guint i = 0; i < requests->len; i++) {
        const mv_instance_request *request = g_ptr_array_index(requests, i);
        mv_controller_scale_out_completed(controller, now, request->action_id, NULL, true);
    }
}

/** Returns the number of machine types that the controller knows. */
static inline unsigned inspect_machine_type_count(const mv_controller *controller)
{
    return controller->context.catalog.types->len;
}

/** Sets the rate at which machines of the type with this index fetch images, in GB per second. */
static inline void set_image_fetch_rate(mv_controller *controller, unsigned type_index,
                                        double gb_per_s)
{
    g_assert_cmpuint(type_index, <, controller->context.catalog.types->len);
    g_array_index(controller->context.catalog.types, mv_machine_type, type_index).image_gb_per_s =
        gb_per_s;
}

/* --- controllers and teams --- */

/** Sets the record format that the controller under test believes the controller `node` to read.
 * Ends the test if the controller under test does not know `node`. */
static inline void set_node_format(mv_controller *controller, const char *node, unsigned format)
{
    mv_node_entry *entry = g_hash_table_lookup(controller->membership.nodes, node);
    g_assert_nonnull(entry);
    entry->format = format;
}

/** Sets the number of cores and the priority of the team's typical latency-sensitive job, which the
 * controller otherwise derives from the team's jobs. */
static inline void set_latency_sensitive_job(mv_controller *controller, unsigned team_index,
                                             double cores, mv_priority priority)
{
    g_assert_cmpuint(team_index, <, controller->context.settings->team_count);
    mv_team *team = &controller->context.teams[team_index];
    team->latency_sensitive_job_cores = cores;
    team->latency_sensitive_priority = priority;
}

/** Returns the number of cores that are allocated to the team's tasks. */
static inline double inspect_team_allocated_cores(const mv_controller *controller,
                                                  unsigned team_index)
{
    g_assert_cmpuint(team_index, <, controller->context.settings->team_count);
    return controller->context.teams[team_index].used_cores;
}

/* --- machines --- */

/** A copy of the machine's fields that tests examine. The copy does not change with the machine. */
typedef struct {
    bool known;       /* whether the controller knows the machine; if not, all other fields are 0 */
    bool failed;      /* whether the controller declared the machine failed because its heartbeats
                         stopped */
    bool schedulable; /* whether the controller may bind tasks to the machine now */
    unsigned placements;
    unsigned segment; /* number of the segment of the shard's partition that names the machine */
    double last_heartbeat_at; /* steady time of the last heartbeat, seconds; 0: none arrived */
    /* Revision of the segment's occupancy record, which names the machines that may hold tasks; 0:
     * there is no record. */
    uint64_t occupancy_record;
} machine_snapshot;

/** Conditions of machines that tests count. */
typedef enum {
    MACHINE_DRAINING, /* the present work does not need the machine */
    MACHINE_EVICTING, /* the machine's tasks are evicted to make room for services of other shards
                       */
    MACHINE_FAILED,   /* the machine was declared failed because its heartbeats stopped */
    MACHINE_RELEASE_PENDING, /* the machine is to be returned to the cloud */
} machine_condition;

/** Returns the machine with this name; NULL if the controller does not know the machine. Only
 * functions of this header call this function. */
static inline mv_machine *find_machine(const mv_controller *controller, const char *id)
{
    return g_hash_table_lookup(controller->agents.machines, id);
}

/** Returns the machine with this name; ends the test if the controller does not know the machine.
 * Only functions of this header call this function. */
static inline mv_machine *require_machine(const mv_controller *controller, const char *id)
{
    mv_machine *machine = find_machine(controller, id);
    g_assert_nonnull(machine);
    return machine;
}

/** Returns a copy of the machine's current state. If the controller does not know the machine,
 * `known` is false. */
static inline machine_snapshot inspect_machine(const mv_controller *controller, const char *id)
{
    const mv_machine *machine = find_machine(controller, id);
    if (!machine)
        return (machine_snapshot){0};
    machine_snapshot snapshot = {.known = true,
                                 .failed = machine->failed,
                                 .schedulable =
                                     mv_machine_is_schedulable(&controller->context, machine),
                                 .placements = machine->placements->len,
                                 .segment = machine->segment,
                                 .last_heartbeat_at = machine->last_heartbeat_at};
    if (machine->shard)
        snapshot.occupancy_record =
            mv_shard_segment(machine->shard, machine->segment)->occupancy_revision;
    return snapshot;
}

/** Returns whether the machine is in this condition. Only functions of this header call this
 * function. */
static inline bool machine_is(const mv_machine *machine, machine_condition condition)
{
    switch (condition) {
    case MACHINE_DRAINING:
        return machine->draining;
    case MACHINE_EVICTING:
        return machine->evicting;
    case MACHINE_FAILED:
        return machine->failed;
    case MACHINE_RELEASE_PENDING:
        return machine->release_pending;
    }
    g_assert_not_reached();
}

/** Returns the number of machines in the controller's rotation that are in this condition. */
static inline unsigned count_machines(const mv_controller *controller, machine_condition condition)
{
    const GPtrArray *machines = controller->agents.rotation;
    unsigned count = 0;
    for (guint i = 0; i < machines->len; i++)
        count += machine_is(g_ptr_array_index(machines, i), condition);
    return count;
}

/** Makes the machine an on-demand machine, which the cloud does not reclaim. */
static inline void make_on_demand(mv_controller *controller, const char *id)
{
    require_machine(controller, id)->spot = false;
}

/** Stops the controller from launching tasks on the machine until this steady time, in seconds. */
static inline void pause_launches(mv_controller *controller, const char *id, double until)
{
    require_machine(controller, id)->launches_paused_until = until;
}

/** Marks the machine as one that may hold tasks. The owner of the machine's shard writes this mark
 * to the occupancy record. */
static inline void set_occupied(mv_controller *controller, const char *id)
{
    require_machine(controller, id)->occupied = true;
}

/** Declares the machine transferable to other shards as long as its occupancy record has this
 * revision. */
static inline void set_transferable(mv_controller *controller, const char *id,
                                    uint64_t occupancy_revision)
{
    require_machine(controller, id)->transferable_revision = occupancy_revision;
}

/** Marks the machine as returned to the cloud while its partition record still names the machine.
 */
static inline void set_released(mv_controller *controller, const char *id)
{
    require_machine(controller, id)->released = true;
}

/** Stores a machine summary of the time `now`, in which the owner of the machine's shard says
 * whether the machine needs a new term. */
static inline void set_owner_summary(mv_controller *controller, const char *id, double now,
                                     bool needs_fencing)
{
    mv_machine *machine = require_machine(controller, id);
    machine->summary.needs_fencing = needs_fencing;
    machine->summary_at = now;
}

/* --- shards and their partitions --- */

/** Returns the shard with this number; ends the test if the controller does not know the shard.
 * Only functions of this header call this function. */
static inline mv_shard *require_shard(const mv_controller *controller, unsigned index)
{
    g_assert_cmpuint(index, <, controller->context.shards->len);
    return g_ptr_array_index(controller->context.shards, index);
}

/** Returns the number of shards that the controller knows. */
static inline unsigned inspect_shard_count(const mv_controller *controller)
{
    return controller->context.shards->len;
}

/** Returns whether the controller owns the shard now. */
static inline bool inspect_shard_owned(const mv_controller *controller, unsigned index)
{
    return mv_shard_is_owned(&controller->context, require_shard(controller, index));
}

/** Returns the number of teams that have their home in the shard. */
static inline unsigned inspect_shard_team_count(const mv_controller *controller, unsigned index)
{
    const GPtrArray *teams = require_shard(controller, index)->holder.teams;
    return teams ? teams->len : 0;
}

/** Returns the capacity that the shard keeps in reserve for replicas of services. */
static inline mv_resource_demand inspect_reserve(const mv_controller *controller, unsigned index)
{
    return require_shard(controller, index)->reserve;
}

/** Returns the number of replicas for which the shard's reserved machines have room. */
static inline unsigned inspect_reserve_slots(const mv_controller *controller, unsigned index)
{
    return require_shard(controller, index)->reserve_slots;
}

/** Releases the machine from the shard's reserve if the reserve can do without the machine. Returns
 * whether the machine was released. */
static inline bool release_from_reserve(mv_controller *controller, unsigned index, const char *id)
{
    return mv_services_release_machine(&controller->context, require_shard(controller, index),
                                       require_machine(controller, id));
}

/** Makes the controller forget the transactions in flight that write the shard's partition or raise
 * the term. */
static inline void forget_partition_writes(mv_controller *controller, unsigned index)
{
    require_shard(controller, index)->partition_transaction = (mv_transaction_slot){0};
    controller->membership.term_transaction = (mv_transaction_slot){0};
}

/** Marks a segment of the shard's partition as one that has to be written again. Creates the
 * segment if the shard has no segment with this number. */
static inline void request_segment_write(mv_controller *controller, unsigned index,
                                         unsigned segment)
{
    mv_shard_segment(require_shard(controller, index), segment)->needs_write = true;
}

/** Lets the leader reconcile the shard's partition with the records in its state cache. The leader
 * determines which joining machines and which segments it still has to write. */
static inline void reconcile_partition(mv_controller *controller, unsigned index)
{
    mv_partition_reconcile(&controller->membership, require_shard(controller, index));
}

/** Lets the leader write the segments of the shard's partition that have to be written. Returns
 * whether the leader created a transaction. */
static inline bool write_partition(mv_controller *controller, unsigned index)
{
    return mv_partition_write(&controller->membership, require_shard(controller, index));
}

/* --- jobs --- */

/** Returns the job with this name; ends the test if the controller does not know the job. Only
 * functions of this header call this function. */
static inline mv_job *require_job(const mv_controller *controller, const char *id)
{
    mv_job *job = g_hash_table_lookup(controller->jobs.by_id, id);
    g_assert_nonnull(job);
    return job;
}

/** Reports to the controller that a task of the job is done. */
static inline void complete_task(mv_controller *controller, const char *id, uint32_t task)
{
    mv_job_task_completed(&controller->jobs, require_job(controller, id), task);
}

/** Returns the number of the job's tasks that the state store records as done. */
static inline unsigned inspect_recorded_tasks(const mv_controller *controller, const char *id)
{
    return require_job(controller, id)->tasks_recorded;
}

/** Returns the number of the job's completion records that the controller knows. */
static inline unsigned inspect_completion_records(const mv_controller *controller, const char *id)
{
    return g_hash_table_size(require_job(controller, id)->chunk_revisions);
}

/** Returns the number of completion records that the controller knows although it knows no job for
 * them. */
static inline unsigned inspect_orphaned_records(const mv_controller *controller)
{
    return g_hash_table_size(controller->jobs.orphaned_chunks);
}
#endif
