/**
 * Exchanges link reports with the peers.
 */
#include "server/link_report_publisher.h"

#include "server/link_report_codec.h"
#include "server/peer_client.h"

typedef struct {
    mv_link_report_publisher *publisher;
    const char *name; /* of the peer, as in the settings */
    size_t peer;      /* index of the peer in the settings */
} report_recipient;

struct mv_link_report_publisher {
    const mv_settings *settings;
    mv_shared_controller *controller;
    mv_thread_group *threads;
    mv_peer_client *peers;        /* for link reports only; owned */
    report_recipient *recipients; /* in the order of settings->peers */
};

mv_link_report_publisher *mv_link_report_publisher_new(const mv_settings *settings,
                                                       mv_shared_controller *controller,
                                                       mv_thread_group *threads)
{
    mv_link_report_publisher *publisher = g_new0(mv_link_report_publisher, 1);
    publisher->settings = settings;
    publisher->controller = controller;
    publisher->threads = threads;
    publisher->peers = mv_peer_client_new(settings, &MV_PEER_SINGLE_CALL);
    publisher->recipients = g_new0(report_recipient, settings->peer_count + 1);
    for (size_t i = 0; i < settings->peer_count; i++)
        publisher->recipients[i] =
            (report_recipient){.publisher = publisher, .name = settings->peers[i].name, .peer = i};
    return publisher;
}

void mv_link_report_publisher_free(mv_link_report_publisher *publisher)
{
    mv_peer_client_free(publisher->peers);
    g_free(publisher->recipients);
    g_free(publisher);
}

/* Sends one link report to the peer and gives the outcome, with the peer's own report if the
 * response holds a report, to the controller. Returns the pause before the next report in seconds.
 */
static double publish(const report_recipient *recipient)
{
    mv_shared_controller *shared = recipient->publisher->controller;
    double sent, now;
    mv_controller *controller = mv_shared_controller_lock(shared, &sent);
    g_autoptr(mv_link_report) report = mv_controller_link_report(controller, sent);
    mv_shared_controller_unlock(shared);
    g_autoptr(GBytes) request = mv_link_report_pack(report);
    g_autoptr(Mv__PeerResponse) response = mv_peer_client_exchange(
        recipient->publisher->peers, recipient->peer, request, MV_LINK_REPORT_TIMEOUT_MS);
    controller = mv_shared_controller_lock(shared, &now);
    mv_controller_peer_probed(controller, now, recipient->name, sent, response != NULL);
    if (response && response->link_report)
        mv_link_report_message_received(controller, now, response->link_report);
    const double pause_s = mv_controller_link_report_interval(controller);
    mv_shared_controller_unlock(shared);
    return pause_s;
}

/* Sends link reports to one peer until the server stops. */
static void run_recipient(void *context)
{
    const report_recipient *recipient = context;
    while (mv_thread_group_sleep(recipient->publisher->threads, publish(recipient)))
        ;
}

bool mv_link_report_publisher_start(mv_link_report_publisher *publisher)
{
    double now;
    const mv_controller *controller = mv_shared_controller_lock(publisher->controller, &now);
    const bool publishes = mv_controller_publishes_link_reports(controller);
    mv_shared_controller_unlock(publisher->controller);
    bool started = true;
    for (size_t i = 0; publishes && started && i < publisher->settings->peer_count; i++)
        started =
            mv_thread_group_start(publisher->threads, run_recipient, &publisher->recipients[i]);
    return started;
}
