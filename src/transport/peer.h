/**
 * Messages between controllers. Each message is a request frame that gets a response frame.
 *
 * peer_server.h receives requests, peer_pool.h sends requests, and peer_frame.h defines the
 * form of a frame.
 */
#ifndef MV_PEER_H
#define MV_PEER_H
#include "transport/peer_pool.h"
#include "transport/peer_server.h"
#endif
