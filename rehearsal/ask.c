#include "ask.h"

#include "protocol/codec.h"
#include "protocol/names.h"
#include "transport/http_client.h"

int mv_ask(const char *address, const char *method, const char *path, GBytes *body,
           unsigned timeout_ms, char *status, size_t size)
{
    mv_http_answer answer;
    mv_http_call(method, address, path, body, timeout_ms, &answer);
    gsize n;
    const void *p = g_bytes_get_data(answer.body, &n);
    g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
    *status = 0;
    if (doc)
        mv_get_text(mv_doc_root(doc), N_STATUS, status, size);
    int code = answer.status;
    mv_http_answer_clear(&answer);
    return code;
}
