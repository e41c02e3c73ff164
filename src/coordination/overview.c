/* The picture of the deployment for people. */
#include "coordination/internal.h"

static void overview_machine(mv_out *o, const machine *m, double now)
{
    mv_put_map(o, 6);
    mv_field_text(o, N_ID, m->id);
    mv_field_text(o, N_HULL, m->type_name);
    mv_field_bool(o, N_LOANERS, m->spot);
    mv_field_text(o, N_STATUS,
                  !m->heard_at   ? N_BOOTING
                  : m->faulty    ? "faulty"
                  : m->give_back ? "returning"
                  : m->notice_at ? "recalled"
                  : m->confirmed ? N_RUNNING
                                 : "unconfirmed");
    mv_field_num(o, N_AGE, now - m->rented_at);
    mv_field_u64(o, N_PIECES, m->placements->len);
}

static const char *why_waiting(const mv_core *c, const job *j)
{
    const team *t = j->team;
    const shard *s = t ? j->home : NULL;
    if (!s || !s->stamp)
        return "no controller owns it";
    if (s->mine && c->links && mv_connectivity_gate(c->links)->scope == MV_LAUNCH_NOTHING)
        return "launches are held";
    if (j->backoff_until > c->now)
        return "its tasks failed";
    if (t->conf->cpus_max > 0 && t->used_cores + j->spec.cores > t->conf->cpus_max)
        return "limit of its team";
    if (s->mine && !s->rebuilt)
        return "take-over under way";
    return s->mine ? "no room" : "see its owner";
}

static void overview_link(mv_out *o, const char *name, const char *links, double age_s,
                          double for_s, const char *held, unsigned waiting)
{
    mv_put_map(o, 6);
    mv_field_text(o, N_NAME, name);
    mv_field_text(o, "links", links);
    mv_field_num(o, "view_age_s", age_s);
    mv_field_num(o, "for_s", for_s);
    mv_field_text(o, "held", held);
    mv_field_u64(o, "outcomes_waiting", waiting);
}

/* This controller first, then the others as their views tell; none where views are not told. */
static void overview_links(const mv_core *c, mv_out *o, double now)
{
    unsigned peers = c->links ? mv_connectivity_peers(c->links) : 0;
    mv_put_text(o, "links");
    mv_put_list(o, c->links ? peers + 1 : 0);
    if (c->links)
        overview_link(o, c->conf->node_name, mv_link_class_name(mv_connectivity_class(c->links)), 0,
                      now - mv_connectivity_class_since(c->links),
                      mv_connectivity_why_held(c->links), mv_outcomes_waiting(c->outcomes));
    for (unsigned i = 0; i < peers; i++) {
        mv_peer_state peer = mv_connectivity_peer(c->links, now, i);
        overview_link(o, peer.name, peer.known ? mv_link_class_name(peer.links) : "no view",
                      peer.view_age_s, peer.class_for_s,
                      peer.launches_held ? "see its own picture" : "", peer.waiting);
    }
}

GBytes *mv_core_overview(const mv_core *c, double now)
{
    mv_out *o = mv_out_new();
    GHashTableIter it;
    gpointer v;
    mv_put_map(o, 8);
    overview_links(c, o, now);
    mv_field_bool(o, "all_new", mv_core_all_new(c));
    mv_put_text(o, "formats"); /* of the controllers, in their order */
    mv_put_list(o, g_hash_table_size(c->nodes));
    g_hash_table_iter_init(&it, c->nodes);
    while (g_hash_table_iter_next(&it, NULL, &v))
        mv_put_u64(o, ((node_entry *)v)->format);
    mv_field_text(o, "leader", c->leader_stamp ? c->leader.node : "");
    mv_put_text(o, "controllers");
    mv_put_list(o, g_hash_table_size(c->nodes));
    g_hash_table_iter_init(&it, c->nodes);
    while (g_hash_table_iter_next(&it, NULL, &v))
        mv_put_text(o, ((node_entry *)v)->node);
    mv_put_text(o, "machines");
    mv_put_list(o, g_hash_table_size(c->machines));
    g_hash_table_iter_init(&it, c->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        overview_machine(o, v, now);
    mv_put_text(o, "teams");
    mv_put_list(o, c->conf->n_teams);
    for (size_t i = 0; i < c->conf->n_teams; i++) {
        const team *t = &c->teams[i];
        mv_put_map(o, 5);
        mv_field_text(o, N_NAME, t->conf->name);
        mv_field_num(o, N_CORES, t->used_cores);
        mv_field_num(o, "guaranteed", t->conf->cpus);
        mv_field_num(o, "limit", t->conf->cpus_max);
        mv_field_text(o, "owner", t->shard ? t->shard->holder.node : "");
    }
    mv_put_text(o, "jobs");
    mv_put_list(o, g_hash_table_size(c->jobs));
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const job *j = v;
        bool late = j->spec.due_s >= 0 && now - j->accepted_at > j->spec.due_s;
        mv_put_map(o, 11);
        mv_field_text(o, N_ID, j->spec.id);
        mv_field_bool(o, "service", j->spec.service);
        mv_field_u64(o, N_RUNNING, mv_job_mine(c, j) ? j->n_running : j->shown_running);
        mv_field_text(o, "owner", j->home->stamp ? j->home->holder.node : "");
        mv_field_text(o, N_LANE, j->spec.class_name);
        mv_field_text(o, N_CREW, j->spec.team_name);
        mv_field_u64(o, N_PIECES, j->spec.tasks);
        mv_field_u64(o, N_DONE, j->n_done);
        mv_field_num(o, N_AGE, now - j->accepted_at);
        mv_field_bool(o, "late", late);
        mv_field_text(o, "why", j->waiting->len ? why_waiting(c, j) : "");
    }
    return mv_out_take(o);
}
