/**
 * The fake cloud on loopback: an HTTP server that lists machine types, accepts instance requests
 * and starts a simulated machine for each instance.
 *
 * The functions are thread-safe: the server's lock guards the machines, the instance requests and
 * the outage flag.
 */
#ifndef MV_CLOUD_SERVER_H
#define MV_CLOUD_SERVER_H
#include "simulated_machine.h"

typedef struct mv_cloud_server mv_cloud_server;

/** Starts a cloud that can provide `capacity` machines at the same time. If `deletes_machines` is
 * false, the cloud accepts a request to delete machines and keeps them. The caller keeps
 * `machine_options`, which must outlive the server. */
mv_cloud_server *mv_cloud_server_start(unsigned capacity, bool deletes_machines,
                                       const mv_machine_options *machine_options);

/** Returns the port on which the server listens. */
uint16_t mv_cloud_server_port(const mv_cloud_server *server);

/** Begins or ends an outage of the cloud. During an outage, the server responds to every request
 * with an error. */
void mv_cloud_server_set_down(mv_cloud_server *server, bool down);

/** Sets the fault of the link on which commands reach a machine. `machine` is the machine's number,
 * counted from 0 in the order of starts; if no such machine was started, the function does nothing.
 */
void mv_cloud_server_set_command_link(mv_cloud_server *server, unsigned machine,
                                      const mv_link_fault *fault);

/** Lets a machine hang or continue. `machine` is as in mv_cloud_server_set_command_link. */
void mv_cloud_server_set_hung(mv_cloud_server *server, unsigned machine, bool hung);

/** Sets whether the heartbeats of a machine are lost. `machine` is as in
 * mv_cloud_server_set_command_link. */
void mv_cloud_server_set_heartbeats_lost(mv_cloud_server *server, unsigned machine, bool lost);

/** Sets whether copies of a machine's executed commands arrive late. `machine` is as in
 * mv_cloud_server_set_command_link. */
void mv_cloud_server_set_repeats_commands(mv_cloud_server *server, unsigned machine, bool repeats);

/** Stops the server and all machines, and frees them. */
void mv_cloud_server_stop(mv_cloud_server *server);
#endif
