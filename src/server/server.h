/**
 * The server of a controller process. The server composes the controller's state machine, the
 * client of the state service, the HTTP and peer servers, and the threads that connect them.
 * README.md in this folder describes the threads, the locks and the paths of requests and actions.
 */
#ifndef MV_SERVER_H
#define MV_SERVER_H
#include "config/settings.h"

#include <glib.h>

typedef struct mv_server mv_server;

/** Why a server could not be started. */
typedef enum {
    MV_SERVER_ERROR_PEER_ADDRESS,   /* the address for peers cannot be bound */
    MV_SERVER_ERROR_LISTEN_ADDRESS, /* the address for users and agents cannot be bound */
    MV_SERVER_ERROR_THREADS         /* a thread cannot be started */
} mv_server_error;

/** The GError domain of mv_server_start; its codes are mv_server_error. */
#define MV_SERVER_ERROR (mv_server_error_quark())
/** Returns the quark of MV_SERVER_ERROR. */
GQuark mv_server_error_quark(void);

/**
 * Starts a server, which the caller ends with mv_server_stop. `settings` have to outlive the
 * server. Returns NULL if the server could not be started; `error` then names the setting and the
 * address.
 *
 * The server accepts requests of users and agents when every shard has a live owner, or after
 * MV_LISTEN_DELAY_MAX_S at the latest.
 */
mv_server *mv_server_start(const mv_settings *settings, GError **error);
/** Stops and joins all threads of the server, and frees the server. */
void mv_server_stop(mv_server *server);
#endif
