#include "service/operator_pages.h"

#include "bookkeeping/metrics.h"
#include "transport/http_server.h"

#include <string.h>

void mv_page_health(mv_daemon *d, mv_reply *r)
{
    double now;
    mv_core *core = mv_daemon_enter(d, &now);
    bool ready = mv_core_ready(core), contact = mv_core_in_contact(core, now);
    mv_daemon_leave(d);
    /* Without the state service we can still serve through a peer, and when all are without
     * it nobody gains from our leaving: only a node that is alone with its trouble goes. */
    r->status = ready && (contact || mv_daemon_peer_answered(d)) ? 200 : 503;
    r->text = true;
    const char *word = r->status == 200 ? "ok\n" : "not ready\n";
    r->body = g_bytes_new_static(word, strlen(word));
}

void mv_page_metrics(mv_daemon *d, mv_reply *r)
{
    double now;
    mv_core_counts n;
    mv_core *core = mv_daemon_enter(d, &now);
    mv_core_counts_get(core, &n);
    bool leader = mv_core_leads(core);
    mv_daemon_leave(d);
    mv_http_load load = mv_daemon_http_load(d);
    GString *out = mv_metrics_print();
    struct {
        const char *name;
        guint64 v;
    } rows[] = {{"rounds_total", n.rounds},
                {"placed_total", n.placed},
                {"finished_jobs_total", n.finished},
                {"requeued_total", n.requeued},
                {"preempted_total", n.preempted},
                {"failed_tasks_total", n.faults},
                {"rented_total", n.rented},
                {"released_total", n.released},
                {"takeovers_total", n.takeovers},
                {"moved_machines_total", n.moved},
                {"limits_halved_total", n.halved},
                {"stale_messages_total", n.stale},
                {"machines_looked_at_total", n.looked},
                {"link_class", (guint64)n.links},
                {"launches_held", n.held},
                {"launches_held_total", n.launches_held},
                {"outcomes_waiting", n.outcomes_waiting},
                {"outcomes_learnt_total", n.outcomes_learnt},
                {"views_total", n.views},
                {"views_refused_total", n.views_refused},
                {"http_connections", load.connections},
                {"http_connections_limit", load.limit},
                {"http_waiting", load.waiting},
                {"http_closed_total", load.closed},
                {"http_rests_total", load.rests},
                {"http_shed_total", load.shed},
                {"jobs", n.jobs},
                {"waiting_tasks", n.waiting},
                {"running_tasks", n.running},
                {"machines", n.machines},
                {"machines_up", n.machines_up},
                {"leader", leader}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        g_string_append_printf(out, "mulleinvalve_%s %" G_GUINT64_FORMAT "\n", rows[i].name,
                               rows[i].v);
    r->status = 200;
    r->text = true;
    r->body = g_string_free_to_bytes(out);
}

void mv_page_overview(mv_daemon *d, mv_reply *r)
{
    double now;
    mv_core *core = mv_daemon_enter(d, &now);
    r->body = mv_core_overview(core, now);
    mv_daemon_leave(d);
    r->status = 200;
}
