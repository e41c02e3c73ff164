/** The receiving end of connections between controllers. */
#include "transport/peer_server.h"

#include "constants.h"
#include "transport/peer_frame.h"
#include "transport/peer_socket.h"
#include "transport/threads.h"

#include <errno.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#define ACCEPT_RETRY_US (50 * 1000)

struct mv_peer_server {
    int fd;
    mv_peer_handler handler;
    void *context;
    pthread_t acceptor;
    pthread_mutex_t lock; /* guards the fields below */
    pthread_cond_t connection_ended;
    GList *connections; /* of peer_connection *, each owned by its connection's thread */
    bool stopping;
};

/* One accepted connection. */
typedef struct {
    mv_peer_server *server;
    int fd;
} peer_connection;

/* Receives one request, calls the handler and sends the response. Returns false if the connection
 * must be closed. */
static bool serve_request(const peer_connection *connection)
{
    const mv_peer_server *server = connection->server;
    size_t size;
    g_autofree uint8_t *frame = mv_peer_frame_read(connection->fd, &size, MV_PEER_NO_DEADLINE);
    if (!frame)
        return false;
    const mv_peer_message message = {.frame = frame, .size = size, .connection = connection->fd};
    g_autoptr(GBytes) response = server->handler(server->context, &message);
    if (!response)
        return false;
    gsize response_size;
    const uint8_t *bytes = g_bytes_get_data(response, &response_size);
    return mv_peer_frame_write(connection->fd, bytes, response_size, MV_PEER_NO_DEADLINE);
}

bool mv_peer_message_is_abandoned(const mv_peer_message *message)
{
    uint8_t next;
    const ssize_t received = recv(message->connection, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    const bool nothing_yet = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return received <= 0 && !nothing_yet;
}

/* Serves one connection until the connection ends, then closes the socket and frees the record. */
static void *connection_thread(void *argument)
{
    peer_connection *connection = argument;
    mv_peer_server *server = connection->server;
    while (serve_request(connection))
        continue;
    pthread_mutex_lock(&server->lock);
    server->connections = g_list_remove(server->connections, connection);
    close(connection->fd);
    pthread_cond_broadcast(&server->connection_ended);
    pthread_mutex_unlock(&server->lock);
    g_free(connection);
    return NULL;
}

/* Starts a thread that serves the accepted socket. Closes the socket if the server is stopping, if
 * MV_PEER_CONNECTIONS_MAX connections are open or if no thread can be started. */
static void start_connection(mv_peer_server *server, int fd)
{
    peer_connection *connection = g_new0(peer_connection, 1);
    connection->server = server;
    connection->fd = fd;
    mv_peer_socket_no_delay(fd);
    pthread_mutex_lock(&server->lock);
    const bool below_limit = g_list_length(server->connections) < MV_PEER_CONNECTIONS_MAX;
    if (!server->stopping && below_limit &&
        mv_thread_start_detached(connection_thread, connection)) {
        server->connections = g_list_prepend(server->connections, connection);
    } else {
        close(fd);
        g_free(connection);
    }
    pthread_mutex_unlock(&server->lock);
}

static bool is_stopping(mv_peer_server *server)
{
    pthread_mutex_lock(&server->lock);
    const bool stopping = server->stopping;
    pthread_mutex_unlock(&server->lock);
    return stopping;
}

/* Accepts connections until the server stops. */
static void *accept_thread(void *argument)
{
    mv_peer_server *server = argument;
    for (;;) {
        const int fd = accept(server->fd, NULL, NULL);
        if (fd >= 0)
            start_connection(server, fd);
        else if (is_stopping(server))
            return NULL;
        else
            g_usleep(ACCEPT_RETRY_US); /* no socket is free now; a socket may become free */
    }
}

/* Returns a socket that listens on the address, or -1 on failure. */
static int listen_at(const mv_endpoint *at)
{
    struct sockaddr_in address;
    const int enabled = 1;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0)
        return -1;
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (mv_peer_socket_address(at, &address) &&
        bind(fd, (struct sockaddr *)&address, sizeof address) == 0 &&
        listen(fd, MV_PEER_CONNECTIONS_MAX) == 0)
        return fd;
    close(fd);
    return -1;
}

mv_peer_server *mv_peer_server_start(const mv_endpoint *at, mv_peer_handler handler, void *context)
{
    const int fd = listen_at(at);
    if (fd < 0)
        return NULL;
    mv_peer_server *server = g_new0(mv_peer_server, 1);
    server->fd = fd;
    server->handler = handler;
    server->context = context;
    pthread_mutex_init(&server->lock, NULL);
    pthread_cond_init(&server->connection_ended, NULL);
    /* The acceptor keeps the system's default stack size, because there is only one acceptor. */
    if (pthread_create(&server->acceptor, NULL, accept_thread, server) == 0)
        return server;
    close(fd);
    pthread_mutex_destroy(&server->lock);
    pthread_cond_destroy(&server->connection_ended);
    g_free(server);
    return NULL;
}

void mv_peer_server_free(mv_peer_server *server)
{
    if (!server)
        return;
    pthread_mutex_lock(&server->lock);
    server->stopping = true;
    shutdown(server->fd, SHUT_RDWR);
    for (const GList *link = server->connections; link; link = link->next)
        shutdown(((const peer_connection *)link->data)->fd, SHUT_RDWR);
    while (server->connections)
        pthread_cond_wait(&server->connection_ended, &server->lock);
    pthread_mutex_unlock(&server->lock);
    pthread_join(server->acceptor, NULL);
    close(server->fd);
    pthread_mutex_destroy(&server->lock);
    pthread_cond_destroy(&server->connection_ended);
    g_free(server);
}
