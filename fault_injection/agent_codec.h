/**
 * The worker agent's side of the protocol: this module encodes heartbeats and decodes commands.
 * src/protocol/messages.c is the controllers' side, which does the reverse.
 */
#ifndef MV_AGENT_CODEC_H
#define MV_AGENT_CODEC_H
#include "protocol/codec.h"
#include "protocol/messages.h"

/** Returns the commands of a message body as an array of mv_command, which the caller frees. Aborts
 * if a command names no task, because a controller must never send such a command. */
GArray *mv_agent_read_commands(const msgpack_object *body);

/** Writes a heartbeat, including the status of each task on the machine. */
void mv_agent_write_heartbeat(mv_writer *writer, const mv_heartbeat *heartbeat);
#endif
