/**
 * Functions that create, validate and search link reports.
 */
#include "connectivity/link_report.h"

#include <math.h>
#include <string.h>

static void free_completion_set(gpointer data)
{
    mv_completion_set *completed = data;
    g_bytes_unref(completed->tasks);
    g_free(completed);
}

mv_link_report *mv_link_report_new(void)
{
    mv_link_report *report = g_new0(mv_link_report, 1);
    report->peers = g_array_new(FALSE, TRUE, sizeof(mv_peer_link));
    report->completions = g_ptr_array_new_with_free_func(free_completion_set);
    return report;
}

void mv_link_report_free(mv_link_report *report)
{
    if (!report)
        return;
    g_array_unref(report->peers);
    g_ptr_array_unref(report->completions);
    g_free(report);
}

mv_link_report *mv_link_report_copy(const mv_link_report *report)
{
    mv_link_report *copy = mv_link_report_new();
    GArray *peers = copy->peers;
    GPtrArray *completions = copy->completions;
    *copy = *report;
    copy->peers = peers;
    copy->completions = completions;
    g_array_append_vals(copy->peers, report->peers->data, report->peers->len);
    return copy;
}

static bool is_age(double age_s)
{
    return age_s == MV_NEVER || (isfinite(age_s) && age_s >= 0);
}

static bool has_valid_identity(const mv_link_report *report)
{
    return report->node[0] && report->boot && report->sequence;
}

static bool has_valid_state_link(const mv_link_report *report)
{
    return (unsigned)report->link_class < MV_LINK_CLASSES && isfinite(report->class_age_s) &&
           report->class_age_s >= 0 && is_age(report->state_age_s) && is_age(report->cache_age_s) &&
           is_age(report->workers_age_s) && isfinite(report->round_trip_s);
}

bool mv_link_report_is_valid(const mv_link_report *report)
{
    if (!has_valid_identity(report) || !has_valid_state_link(report))
        return false;
    for (guint i = 0; i < report->peers->len; i++) {
        const mv_peer_link *link = &g_array_index(report->peers, mv_peer_link, i);
        if (!is_age(link->last_message_age_s) || !is_age(link->answered_request_age_s))
            return false;
    }
    return true;
}

const mv_peer_link *mv_link_report_find_peer(const mv_link_report *report, const char *node)
{
    for (guint i = 0; i < report->peers->len; i++) {
        const mv_peer_link *link = &g_array_index(report->peers, mv_peer_link, i);
        if (strcmp(link->peer, node) == 0)
            return link;
    }
    return NULL;
}

bool mv_link_age_is_below(double age_s, double limit_s)
{
    return age_s != MV_NEVER && age_s < limit_s;
}

const char *mv_link_class_name(mv_link_class link_class)
{
    static const char *const NAMES[MV_LINK_CLASSES] = {
        "unknown", "connected", "suspected", "cut_off", "outage", "no_peers", "no_workers"};
    return (unsigned)link_class < MV_LINK_CLASSES ? NAMES[link_class] : "invalid";
}
