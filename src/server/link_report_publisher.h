/**
 * The threads that exchange link health reports with the peers if the launch gate is on.
 *
 * Each peer has a thread and a connection of its own, so that a peer that does not respond delays
 * neither the link reports to other peers nor the demands to the leader.
 */
#ifndef MV_LINK_REPORT_PUBLISHER_H
#define MV_LINK_REPORT_PUBLISHER_H
#include "config/settings.h"
#include "server/shared_controller.h"
#include "server/thread_group.h"

typedef struct mv_link_report_publisher mv_link_report_publisher;

/** Returns a publisher, which the caller frees. The arguments have to outlive the publisher. */
mv_link_report_publisher *mv_link_report_publisher_new(const mv_settings *settings,
                                                       mv_shared_controller *controller,
                                                       mv_thread_group *threads);
/** Frees the publisher. Its threads must have been joined before. */
void mv_link_report_publisher_free(mv_link_report_publisher *publisher);
/**
 * Starts one thread for each peer, or no thread if the launch gate is off. Returns false if a
 * thread cannot be started.
 */
bool mv_link_report_publisher_start(mv_link_report_publisher *publisher);
#endif
