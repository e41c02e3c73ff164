#include "connectivity/view.h"

static void free_outcome(gpointer p)
{
    mv_outcome *outcome = p;
    g_bytes_unref(outcome->tasks);
    g_free(outcome);
}

mv_view *mv_view_new(void)
{
    mv_view *view = g_new0(mv_view, 1);
    view->peers = g_array_new(FALSE, TRUE, sizeof(mv_peer_link));
    view->outcomes = g_ptr_array_new_with_free_func(free_outcome);
    return view;
}

void mv_view_free(mv_view *view)
{
    if (!view)
        return;
    g_array_unref(view->peers);
    g_ptr_array_unref(view->outcomes);
    g_free(view);
}

const char *mv_link_class_name(mv_link_class links)
{
    static const char *const names[MV_LINKS_CLASSES] = {
        "unknown", "connected", "suspected", "cut_off", "outage", "no_peers", "no_workers"};
    return (unsigned)links < MV_LINKS_CLASSES ? names[links] : "invalid";
}
