/**
 * Messages to other controllers: the connections to all peers for one purpose, so that messages for
 * one purpose never wait for those for another.
 *
 * Thread-safe. mv_peer_client_exchange blocks on the network, so the caller must not hold the
 * controller's lock.
 */
#ifndef MV_PEER_CLIENT_H
#define MV_PEER_CLIENT_H
#include "config/settings.h"
#include "server/peer_codec.h"
#include "transport/peer.h"

typedef struct mv_peer_client mv_peer_client;

/** The limits of a client whose calls come from one thread. */
extern const mv_peer_limits MV_PEER_SINGLE_CALL;

/**
 * Returns an unconnected client, which the caller frees. `limits` hold for each peer and are
 * copied. `settings` has to outlive the client.
 */
mv_peer_client *mv_peer_client_new(const mv_settings *settings, const mv_peer_limits *limits);
/** Closes the connections and frees the client. No thread may use the client any more. */
void mv_peer_client_free(mv_peer_client *client);

/** Finds the peer of this name: its index in the settings. Returns false if there is none. */
bool mv_peer_client_find(const mv_peer_client *client, const char *name, size_t *peer);
/** Returns how many messages to the peer of this index are in flight or wait for a connection. */
unsigned mv_peer_client_load(mv_peer_client *client, size_t peer);
/**
 * Sends a packed request to the peer of this index. Returns the response, which the caller frees,
 * or NULL if no readable response arrives within the timeout.
 */
Mv__PeerResponse *mv_peer_client_exchange(mv_peer_client *client, size_t peer, GBytes *request,
                                          unsigned timeout_ms);
#endif
