/** Blocking HTTP requests, built on libcurl with one easy handle for each thread. */
#include "transport/http_client.h"

#include "constants.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define URL_SIZE 512

/* The client of one thread. */
typedef struct {
    CURL *easy;
    struct curl_slist *headers;
    GByteArray *body; /* of the latest response; the buffer is reused */
} http_client;

static void client_free(gpointer data)
{
    http_client *client = data;
    curl_easy_cleanup(client->easy);
    curl_slist_free_all(client->headers);
    g_byte_array_unref(client->body);
    g_free(client);
}

static GPrivate thread_client = G_PRIVATE_INIT(client_free);

void mv_http_client_init(void)
{
    curl_global_init(CURL_GLOBAL_NOTHING);
}

/* libcurl calls this with each chunk of a response. A return value below the chunk's size makes
 * libcurl abort the request, which happens when the body exceeds MV_RESPONSE_BYTES_MAX. */
static size_t append_to_body(char *data, size_t item_size, size_t items, void *into)
{
    GByteArray *body = into;
    const size_t size = item_size * items;
    if (body->len + size > MV_RESPONSE_BYTES_MAX)
        return 0;
    g_byte_array_append(body, (const guint8 *)data, (guint)size);
    return size;
}

static http_client *client_new(void)
{
    http_client *client = g_new0(http_client, 1);
    client->easy = curl_easy_init();
    client->body = g_byte_array_new();
    client->headers = curl_slist_append(NULL, "Content-Type: application/msgpack");
    client->headers = curl_slist_append(client->headers, "Expect:");
    client->headers = curl_slist_append(client->headers, "Accept:");
    curl_easy_setopt(client->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client->easy, CURLOPT_HTTPHEADER, client->headers);
    curl_easy_setopt(client->easy, CURLOPT_WRITEFUNCTION, append_to_body);
    curl_easy_setopt(client->easy, CURLOPT_WRITEDATA, client->body);
    curl_easy_setopt(client->easy, CURLOPT_MAXCONNECTS, (long)MV_CLIENT_CONNECTIONS_MIN);
    curl_easy_setopt(client->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(client->easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(client->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(client->easy, CURLOPT_PATH_AS_IS, 1L);
    return client;
}

/* Returns the calling thread's client, and creates the client on the first call. */
static http_client *client_get(void)
{
    http_client *client = g_private_get(&thread_client);
    if (!client) {
        client = client_new();
        g_private_set(&thread_client, client);
    }
    return client;
}

void mv_http_client_set_connections(double connections)
{
    curl_easy_setopt(
        client_get()->easy, CURLOPT_MAXCONNECTS,
        (long)CLAMP(connections, MV_CLIENT_CONNECTIONS_MIN, MV_CLIENT_CONNECTIONS_MAX));
}

/* Sets the URL and the timeouts of the next request. */
static void set_target(CURL *easy, const char *to, const char *path, unsigned timeout_ms)
{
    char url[URL_SIZE];
    g_snprintf(url, sizeof url, "http://%s%s", to, path);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)MIN(timeout_ms, MV_CONNECT_TIMEOUT_MS));
}

/* Sets the method and the body of the next request; GET is sent without a body. */
static void set_method_and_body(CURL *easy, const char *method, GBytes *body)
{
    if (strcmp(method, "GET") == 0) {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, NULL);
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
        return;
    }
    gsize size = 0;
    const void *data = body ? g_bytes_get_data(body, &size) : NULL;
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, data ? data : "");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)size);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
}

/* Replaces the buffer after a response of more than MV_BODY_BYTES_MAX. Large responses are rare, so
 * their buffer is not kept for reuse. */
static void shrink_body(http_client *client)
{
    if (client->body->len <= MV_BODY_BYTES_MAX)
        return;
    g_byte_array_unref(client->body);
    client->body = g_byte_array_new();
    curl_easy_setopt(client->easy, CURLOPT_WRITEDATA, client->body);
}

bool mv_http_call(const char *method, const char *to, const char *path, GBytes *body,
                  unsigned timeout_ms, mv_http_result *out)
{
    http_client *client = client_get();
    long status = 0;
    g_byte_array_set_size(client->body, 0);
    set_target(client->easy, to, path, timeout_ms);
    set_method_and_body(client->easy, method, body);
    if (curl_easy_perform(client->easy) == CURLE_OK)
        curl_easy_getinfo(client->easy, CURLINFO_RESPONSE_CODE, &status);
    out->status = (int)status;
    out->body = g_bytes_new(client->body->data, status ? client->body->len : 0);
    shrink_body(client);
    return status != 0;
}

void mv_http_result_clear(mv_http_result *result)
{
    g_clear_pointer(&result->body, g_bytes_unref);
    result->status = 0;
}
