#include "transport/http_client.h"

#include "constants.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

typedef struct {
    CURL *easy;
    struct curl_slist *headers;
    GByteArray *body;
} client;

static void client_free(gpointer p)
{
    client *c = p;
    curl_easy_cleanup(c->easy);
    curl_slist_free_all(c->headers);
    g_byte_array_unref(c->body);
    g_free(c);
}

static GPrivate mine = G_PRIVATE_INIT(client_free);

void mv_http_client_init(void)
{
    curl_global_init(CURL_GLOBAL_NOTHING);
}

static size_t collect(char *data, size_t size, size_t n, void *into)
{
    GByteArray *body = into;
    if (body->len + size * n > MV_MAX_ANSWER)
        return 0;
    g_byte_array_append(body, (const guint8 *)data, (guint)(size * n));
    return size * n;
}

static client *client_get(void)
{
    client *c = g_private_get(&mine);
    if (c)
        return c;
    c = g_new0(client, 1);
    c->easy = curl_easy_init();
    c->body = g_byte_array_new();
    c->headers = curl_slist_append(NULL, "Content-Type: application/msgpack");
    c->headers = curl_slist_append(c->headers, "Expect:");
    c->headers = curl_slist_append(c->headers, "Accept:");
    curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
    curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, collect);
    curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c->body);
    curl_easy_setopt(c->easy, CURLOPT_MAXCONNECTS, (long)MV_CLIENT_LEAST);
    curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(c->easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(c->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(c->easy, CURLOPT_PATH_AS_IS, 1L);
    g_private_set(&mine, c);
    return c;
}

void mv_http_client_keep(double connections)
{
    curl_easy_setopt(client_get()->easy, CURLOPT_MAXCONNECTS,
                     (long)CLAMP(connections, MV_CLIENT_LEAST, MV_CLIENT_CONNECTIONS));
}

bool mv_http_call(const char *method, const char *to, const char *path, GBytes *body,
                  unsigned timeout_ms, mv_http_answer *out)
{
    client *c = client_get();
    char url[512];
    gsize n = 0;
    const void *data = body ? g_bytes_get_data(body, &n) : NULL;
    g_snprintf(url, sizeof url, "http://%s%s", to, path);
    g_byte_array_set_size(c->body, 0);
    curl_easy_setopt(c->easy, CURLOPT_URL, url);
    curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)MIN(timeout_ms, MV_CONNECT_TIMEOUT_MS));
    if (strcmp(method, "GET") == 0) {
        curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, NULL);
        curl_easy_setopt(c->easy, CURLOPT_HTTPGET, 1L);
    } else {
        curl_easy_setopt(c->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, data ? data : "");
        curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE, (long)n);
        curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, method);
    }
    long status = 0;
    if (curl_easy_perform(c->easy) == CURLE_OK)
        curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
    out->status = (int)status;
    out->body = g_bytes_new(c->body->data, status ? c->body->len : 0);
    if (c->body->len > MV_MAX_BODY) { /* a rare large answer is not kept */
        g_byte_array_unref(c->body);
        c->body = g_byte_array_new();
        curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c->body);
    }
    return status != 0;
}

void mv_http_answer_clear(mv_http_answer *a)
{
    g_clear_pointer(&a->body, g_bytes_unref);
    a->status = 0;
}
