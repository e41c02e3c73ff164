/** Builds the overview of the deployment that operators read (GET /overview). */
#include "coordination/controller/controller_internal.h"

#include "protocol/names.h"

/* --- links --- */

typedef struct {
    const char *node, *link_class, *held;
    double report_age_s, class_age_s;
    unsigned completions_unrecorded;
} link_row;

static void write_link(mv_writer *writer, const link_row *row)
{
    mv_write_map(writer, 6);
    mv_write_text_field(writer, WIRE_NAME, row->node);
    mv_write_text_field(writer, "links", row->link_class);
    mv_write_number_field(writer, "view_age_s", row->report_age_s);
    mv_write_number_field(writer, "for_s", row->class_age_s);
    mv_write_text_field(writer, "held", row->held);
    mv_write_u64_field(writer, "outcomes_waiting", row->completions_unrecorded);
}

static void write_own_link(const mv_controller *controller, mv_writer *writer, double now)
{
    const mv_connectivity *connectivity = controller->launch_control.connectivity;
    link_row row = {
        .node = controller->context.settings->node_name,
        .link_class = mv_link_class_name(mv_connectivity_link_class(connectivity)),
        .class_age_s = now - mv_connectivity_class_since(connectivity),
        .held = mv_connectivity_hold_reason(connectivity),
        .completions_unrecorded = mv_completions_count(controller->jobs.unrecorded),
    };
    write_link(writer, &row);
}

static void write_peer_link(mv_writer *writer, const mv_peer_link_status *peer)
{
    link_row row = {
        .node = peer->name,
        .link_class = peer->known ? mv_link_class_name(peer->link_class) : "no view",
        .report_age_s = peer->report_age_s,
        .class_age_s = peer->class_age_s,
        .held = peer->launches_held ? "see its own picture" : "",
        .completions_unrecorded = peer->completions_unrecorded,
    };
    write_link(writer, &row);
}

/* Writes the links of this controller, then those of each peer according to its last link report.
 * If link reports are not published, writes an empty list. */
static void write_links(const mv_controller *controller, mv_writer *writer, double now)
{
    const mv_connectivity *connectivity = controller->launch_control.connectivity;
    unsigned peers = connectivity ? mv_connectivity_peer_count(connectivity) : 0;
    mv_write_text(writer, "links");
    mv_write_list(writer, connectivity ? peers + 1 : 0);
    if (connectivity)
        write_own_link(controller, writer, now);
    for (unsigned i = 0; i < peers; i++) {
        mv_peer_link_status peer = mv_connectivity_peer(connectivity, now, i);
        write_peer_link(writer, &peer);
    }
}

/* --- controllers --- */

static void write_formats(const mv_membership *membership, mv_writer *writer)
{
    GHashTableIter iter;
    gpointer value;
    mv_write_bool_field(writer, "all_new", mv_membership_formats_are_current(membership));
    mv_write_text(writer, "formats"); /* one for each controller, in the order of "controllers" */
    mv_write_list(writer, g_hash_table_size(membership->nodes));
    g_hash_table_iter_init(&iter, membership->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        mv_write_u64(writer, ((mv_node_entry *)value)->format);
}

static void write_controllers(const mv_membership *membership, mv_writer *writer)
{
    GHashTableIter iter;
    gpointer value;
    mv_write_text_field(writer, "leader",
                        membership->leader_revision ? membership->leader.node : "");
    mv_write_text(writer, "controllers");
    mv_write_list(writer, g_hash_table_size(membership->nodes));
    g_hash_table_iter_init(&iter, membership->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        mv_write_text(writer, ((mv_node_entry *)value)->node);
}

/* --- machines --- */

static const char *machine_status(const mv_machine *machine)
{
    if (!machine->last_heartbeat_at)
        return WIRE_BOOTING;
    if (machine->quarantined)
        return "faulty";
    if (machine->release_pending)
        return "returning";
    if (machine->reclaim_at)
        return "recalled";
    return machine->confirmed ? WIRE_RUNNING : "unconfirmed";
}

static void write_machine(mv_writer *writer, const mv_machine *machine, double now)
{
    mv_write_map(writer, 6);
    mv_write_text_field(writer, WIRE_ID, machine->id);
    mv_write_text_field(writer, WIRE_MACHINE_TYPE, machine->type_name);
    mv_write_bool_field(writer, WIRE_SPOT, machine->spot);
    mv_write_text_field(writer, WIRE_STATUS, machine_status(machine));
    mv_write_number_field(writer, WIRE_AGE, now - machine->rented_at);
    mv_write_u64_field(writer, WIRE_TASKS, machine->placements->len);
}

static void write_machines(const mv_agents *agents, mv_writer *writer, double now)
{
    GHashTableIter iter;
    gpointer value;
    mv_write_text(writer, "machines");
    mv_write_list(writer, g_hash_table_size(agents->machines));
    g_hash_table_iter_init(&iter, agents->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        write_machine(writer, value, now);
}

/* --- teams --- */

static void write_teams(const mv_context *context, mv_writer *writer)
{
    mv_write_text(writer, "teams");
    mv_write_list(writer, context->settings->team_count);
    for (size_t i = 0; i < context->settings->team_count; i++) {
        const mv_team *team = &context->teams[i];
        const mv_shard *home = team->home_shard;
        mv_write_map(writer, 5);
        mv_write_text_field(writer, WIRE_NAME, team->settings->name);
        mv_write_number_field(writer, WIRE_CORES, team->used_cores);
        mv_write_number_field(writer, "guaranteed", team->settings->cpus);
        mv_write_number_field(writer, "limit", team->settings->cpus_max);
        mv_write_text_field(writer, "owner", home ? home->holder.node : "");
    }
}

/* --- jobs --- */

static bool launches_are_held(const mv_controller *controller)
{
    const mv_connectivity *connectivity = controller->launch_control.connectivity;
    return connectivity && mv_connectivity_launch_gate(connectivity)->scope == MV_LAUNCH_SCOPE_NONE;
}

static bool is_at_quota(const mv_job *job)
{
    const mv_team *team = job->team;
    const double max_cores = team->settings->cpus_max;
    return max_cores > 0 && team->used_cores + job->spec.cores > max_cores;
}

static const char *pending_reason(const mv_controller *controller, const mv_job *job)
{
    const mv_shard *shard = job->team ? job->home_shard : NULL;
    if (!shard || !shard->revision)
        return "no controller owns it";
    if (job->cancelling)
        return "being cancelled";
    if (shard->owned && launches_are_held(controller))
        return "launches are held";
    if (job->backoff_until > controller->context.clock.now)
        return "its tasks failed";
    if (is_at_quota(job))
        return "limit of its team";
    if (shard->owned && !shard->rebuilt)
        return "take-over under way";
    return shard->owned ? "no room" : "see its owner";
}

static void write_job(const mv_controller *controller, mv_writer *writer, const mv_job *job,
                      double now)
{
    const mv_job_spec *spec = &job->spec;
    const mv_shard *home = job->home_shard;
    const bool owned = mv_job_is_owned(&controller->context, job);
    const double age_s = now - job->accepted_at;
    mv_write_map(writer, 11);
    mv_write_text_field(writer, WIRE_ID, spec->id);
    mv_write_bool_field(writer, "service", spec->service);
    mv_write_u64_field(writer, WIRE_RUNNING, owned ? job->tasks_running : job->recorded_running);
    mv_write_text_field(writer, "owner", home->revision ? home->holder.node : "");
    mv_write_text_field(writer, WIRE_CLASS, spec->class_name);
    mv_write_text_field(writer, WIRE_TEAM, spec->team_name);
    mv_write_u64_field(writer, WIRE_TASKS, spec->tasks);
    mv_write_u64_field(writer, WIRE_DONE, job->tasks_done);
    mv_write_number_field(writer, WIRE_AGE, age_s);
    mv_write_bool_field(writer, "late", spec->deadline_s >= 0 && age_s > spec->deadline_s);
    const bool waits = job->pending->len || job->cancelling;
    mv_write_text_field(writer, "why", waits ? pending_reason(controller, job) : "");
}

static void write_jobs(const mv_controller *controller, mv_writer *writer, double now)
{
    GHashTableIter iter;
    gpointer value;
    mv_write_text(writer, "jobs");
    mv_write_list(writer, g_hash_table_size(controller->jobs.by_id));
    g_hash_table_iter_init(&iter, controller->jobs.by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        write_job(controller, writer, value, now);
}

GBytes *mv_controller_overview(const mv_controller *controller, double now)
{
    mv_writer *writer = mv_writer_new();
    mv_write_map(writer, 8);
    write_links(controller, writer, now);
    write_formats(&controller->membership, writer);
    write_controllers(&controller->membership, writer);
    write_machines(&controller->agents, writer, now);
    write_teams(&controller->context, writer);
    write_jobs(controller, writer, now);
    return mv_writer_finish(writer);
}
