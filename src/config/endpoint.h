/** Network addresses in settings: a numeric IPv4 address and a port. */
#ifndef MV_ENDPOINT_H
#define MV_ENDPOINT_H
#include <stdbool.h>
#include <stdint.h>

/** An address to listen on or to connect to. */
typedef struct {
    char host[64]; /* numeric IPv4 address */
    uint16_t port;
} mv_endpoint;

/**
 * Parses a text of the form "10.0.0.1:8080". Returns false, and leaves `out` unchanged, if the text
 * has any other form.
 */
bool mv_endpoint_parse(const char *text, mv_endpoint *out);
#endif
