/**
 * The body of a request while the HTTP server receives it: how much of it may be in memory, and
 * whether it is within the limit of the protocol, which counts the JSON form.
 *
 * The functions are called on the library's one thread.
 */
#ifndef MV_HTTP_BODY_H
#define MV_HTTP_BODY_H
#include <glib.h>
#include <stdbool.h>

/** What becomes of a request because of its body. */
typedef enum {
    MV_BODY_ACCEPTED,
    MV_BODY_TOO_LARGE, /**< over the limit of the protocol */
    MV_BODY_NOT_READ   /**< MV_HTTP_LARGE_BODIES_MAX large bodies are in memory */
} mv_body_verdict;

/** A body. */
typedef struct {
    GByteArray *bytes; /**< owned; NULL: the body was not accepted, or was taken */
    size_t received_bytes;
    bool counts_as_large; /**< one of the server's large bodies */
    mv_body_verdict verdict;
} mv_http_body;

/** Begins a body without bytes. The caller ends it with mv_http_body_clear. */
void mv_http_body_init(mv_http_body *body);

/**
 * Adds a chunk of the body. `large_bodies` is the number of bodies over MV_BODY_BYTES_MAX that are
 * in memory, and is increased if this body becomes one of them. The rest of a body that is not
 * accepted is dropped, so that the client finishes sending and then reads the response.
 */
void mv_http_body_append(mv_http_body *body, unsigned *large_bodies, const char *data, size_t size);

/** Returns whether the whole body, which has been received, is accepted. */
mv_body_verdict mv_http_body_complete(mv_http_body *body);

/** Returns the bytes of an accepted body, which the caller owns. */
GBytes *mv_http_body_take(mv_http_body *body);

/** Frees the bytes, and decreases `large_bodies` if the body is one of them. */
void mv_http_body_clear(mv_http_body *body, unsigned *large_bodies);
#endif
