/* What controllers ask of one another: demands, requests passed on, signs of life. */
#include "service/daemon_internal.h"

#include "peer.pb-c.h"
#include "service/peer_codec.h"
#include "service/view_codec.h"

#include <string.h>

/* --- peers --- */

static mv_peer *peer_named(mv_daemon *d, const char *name)
{
    for (size_t i = 0; i < d->conf->n_peers; i++)
        if (strcmp(d->conf->peers[i].name, name) == 0)
            return d->peers[i];
    return NULL;
}

/* The answer of a peer, or NULL within the time given. The caller frees. */
static Mv__Answer *ask_peer(mv_peer *peer, const uint8_t *frame, size_t size, unsigned timeout_ms)
{
    g_autoptr(GBytes) got = mv_peer_ask(peer, frame, size, timeout_ms);
    gsize length = 0;
    const uint8_t *told = got ? g_bytes_get_data(got, &length) : NULL;
    return got ? mv__answer__unpack(NULL, length, told) : NULL;
}

/* A view that cannot be read counts as malformed: it names nobody. */
static void take_view(mv_core *core, double now, const Mv__View *message)
{
    g_autoptr(mv_view) view = mv_view_unpack(message);
    g_autoptr(mv_view) nobody = view ? NULL : mv_view_new();
    mv_core_view(core, now, view ? view : nobody);
}

/* A controller whose operators have not asked for views answers as an old version does: without
 * one. */
static GBytes *answer_view(mv_daemon *d, const Mv__View *message)
{
    double now;
    mv_core *core = mv_daemon_enter(d, &now);
    g_autoptr(mv_view) own = NULL;
    if (mv_core_tells_views(core)) {
        take_view(core, now, message);
        own = mv_core_tell_view(core, now);
    }
    mv_daemon_leave(d);
    Mv__Answer none = MV__ANSWER__INIT;
    return own ? mv_view_answer_pack(own) : mv_answer_pack(&none);
}

/* A peer's message, in a routine of its connection. */
GBytes *mv_daemon_on_peer(void *ctx, const uint8_t *frame, size_t size)
{
    mv_daemon *d = ctx;
    double now;
    Mv__Ask *ask = mv__ask__unpack(NULL, size, frame);
    if (!ask)
        return NULL;
    if (ask->what_case == MV__ASK__WHAT_VIEW) {
        GBytes *told = answer_view(d, ask->view);
        mv__ask__free_unpacked(ask, NULL);
        return told;
    }
    Mv__Answer answer = MV__ANSWER__INIT;
    mv_reply reply = {0};
    if (ask->what_case == MV__ASK__WHAT_DEMAND) {
        mv_demand *demand = mv_demand_unpack(ask->demand);
        mv_core *core = mv_daemon_enter(d, &now);
        mv_others others = mv_core_demand(core, now, demand);
        answer.others_need = others.need;
        answer.others_starve = others.starve;
        answer.others_lack = others.lack;
        mv_daemon_leave(d);
    } else if (ask->what_case == MV__ASK__WHAT_HEALTH) {
        mv_core *core = mv_daemon_enter(d, &now);
        answer.healthy = mv_core_in_contact(core, now);
        mv_daemon_leave(d);
    } else if (ask->what_case == MV__ASK__WHAT_REQUEST) {
        const Mv__Request *r = ask->request;
        mv_route_local(d, r->method, r->path, r->body.data, r->body.len, &reply);
        answer.status = (uint32_t)reply.status;
        if (reply.body) {
            gsize n;
            answer.body.data = (uint8_t *)g_bytes_get_data(reply.body, &n);
            answer.body.len = n;
        }
    }
    GBytes *out = mv_answer_pack(&answer);
    if (reply.body)
        g_bytes_unref(reply.body);
    mv__ask__free_unpacked(ask, NULL);
    return out;
}

void *mv_daemon_demand_routine(void *arg)
{
    mv_daemon *d = arg;
    mv_action *a;
    while ((a = mv_daemon_take(d, &d->demands))) {
        mv_peer *p = peer_named(d, a->to);
        g_autoptr(GBytes) frame = mv_demand_pack(a->demand);
        gsize n;
        const uint8_t *bytes = g_bytes_get_data(frame, &n);
        Mv__Answer *answer = p ? ask_peer(p, bytes, n, MV_PEER_TIMEOUT_MS) : NULL;
        if (answer) {
            double now;
            mv_others others = {.need = answer->others_need,
                                .starve = answer->others_starve,
                                .lack = answer->others_lack};
            mv_core *core = mv_daemon_enter(d, &now);
            mv_core_others_need(core, now, others);
            mv_daemon_leave(d);
        }
        if (answer)
            mv__answer__free_unpacked(answer, NULL);
        mv_action_free(a);
    }
    return NULL;
}

bool mv_daemon_pass_on(mv_daemon *d, const char *method, const char *path, const uint8_t *body,
                       size_t size, mv_reply *reply)
{
    Mv__Request request = MV__REQUEST__INIT;
    Mv__Ask ask = MV__ASK__INIT;
    request.method = (char *)method;
    request.path = (char *)path;
    request.body.data = (uint8_t *)body;
    request.body.len = size;
    ask.what_case = MV__ASK__WHAT_REQUEST;
    ask.request = &request;
    size_t n = mv__ask__get_packed_size(&ask);
    g_autofree uint8_t *frame = g_malloc(n);
    mv__ask__pack(&ask, frame);
    for (size_t i = 0; i < d->conf->n_peers; i++) {
        Mv__Answer *answer = ask_peer(d->peers[i], frame, n, MV_PASS_ON_MS);
        bool ok = answer && answer->status && answer->status != 503;
        if (ok) {
            reply->status = (int)answer->status;
            reply->body = g_bytes_new(answer->body.data, answer->body.len);
        }
        if (answer)
            mv__answer__free_unpacked(answer, NULL);
        if (ok)
            return true;
    }
    return false;
}

static bool peer_answers(mv_daemon *d)
{
    Mv__Ask ask = MV__ASK__INIT;
    ask.what_case = MV__ASK__WHAT_HEALTH;
    ask.health = true;
    size_t n = mv__ask__get_packed_size(&ask);
    g_autofree uint8_t *frame = g_malloc(n);
    mv__ask__pack(&ask, frame);
    for (size_t i = 0; i < d->conf->n_peers; i++) {
        g_autoptr(GBytes) got = mv_peer_ask(d->peers[i], frame, n, MV_PEER_TIMEOUT_MS / 2);
        if (got)
            return true;
    }
    return d->conf->n_peers == 0;
}

bool mv_daemon_in_contact(mv_daemon *d)
{
    double now;
    const mv_core *core = mv_daemon_enter(d, &now);
    bool contact = mv_core_in_contact(core, now);
    mv_daemon_leave(d);
    return contact;
}

bool mv_daemon_peer_answered(mv_daemon *d)
{
    return g_atomic_int_get(&d->peer_answered);
}

/* Health checks are answered at once, so the peers are asked beforehand. */
void *mv_daemon_health_routine(void *arg)
{
    mv_daemon *d = arg;
    do {
        if (!mv_daemon_in_contact(d))
            g_atomic_int_set(&d->peer_answered, peer_answers(d));
    } while (mv_daemon_rest(d, MV_HEALTH_S));
    return NULL;
}

/* --- views --- */

static double tell_view(mv_daemon *d, size_t peer)
{
    double sent, now;
    mv_core *core = mv_daemon_enter(d, &sent);
    g_autoptr(mv_view) own = mv_core_tell_view(core, sent);
    mv_daemon_leave(d);
    g_autoptr(GBytes) frame = mv_view_pack(own);
    gsize size;
    const uint8_t *bytes = g_bytes_get_data(frame, &size);
    Mv__Answer *answer = ask_peer(d->views[peer], bytes, size, MV_VIEW_TIMEOUT_MS);
    core = mv_daemon_enter(d, &now);
    mv_core_peer_asked(core, now, d->conf->peers[peer].name, sent, answer != NULL);
    if (answer && answer->view)
        take_view(core, now, answer->view);
    double pause = mv_core_view_pause(core);
    mv_daemon_leave(d);
    if (answer)
        mv__answer__free_unpacked(answer, NULL);
    return pause;
}

/* One routine for each peer, with a connection of its own: one that says nothing holds up neither
 * the views of others nor demands. */
void *mv_daemon_view_routine(void *arg)
{
    mv_daemon *d = arg;
    pthread_mutex_lock(&d->lock);
    size_t peer = d->next_view++;
    bool tells = mv_core_tells_views(d->core);
    pthread_mutex_unlock(&d->lock);
    if (!tells)
        return NULL;
    while (mv_daemon_rest(d, tell_view(d, peer)))
        ;
    return NULL;
}
