/** Parser of network addresses in settings. */
#include "config/endpoint.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool mv_endpoint_parse(const char *text, mv_endpoint *out)
{
    const char *colon = strrchr(text, ':');
    if (!colon || colon == text || (size_t)(colon - text) >= sizeof out->host)
        return false;
    char host[sizeof out->host];
    g_strlcpy(host, text, (gsize)(colon - text) + 1);
    struct in_addr address;
    guint64 port = 0;
    if (inet_pton(AF_INET, host, &address) != 1 ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &port, NULL))
        return false;
    g_strlcpy(out->host, host, sizeof out->host);
    out->port = (uint16_t)port;
    return true;
}
