/**
 * Forwards users' requests to peers.
 */
#include "server/request_forwarder.h"

#include "protocol/http_status.h"
#include "server/clocks.h"
#include "server/forwarding_record.h"
#include "server/peer_client.h"
#include "telemetry/log.h"

#include <pthread.h>

#define MICROSECONDS_PER_MILLISECOND 1000
/* The time in which a peer answers a poll, also one that waits for its next watch. */
#define POLL_TIME_MS ((unsigned)(MV_POLL_WAIT_MAX_S * 1000))

struct mv_request_forwarder {
    const mv_settings *settings;
    const mv_peer_health *health;
    mv_peer_client *peers; /* for forwarded requests only; owned */
    pthread_mutex_t lock;  /* guards the record */
    mv_forwarding_record record;
};

/* The sockets that a controller keeps for its own requests are few if it has few in all. */
static unsigned connections_to_each_peer(const mv_settings *settings)
{
    const double share = settings->max_connections * MV_FORWARD_SOCKET_SHARE;
    return (unsigned)CLAMP(share, 1, MV_FORWARD_CONNECTIONS_MAX);
}

mv_request_forwarder *mv_request_forwarder_new(const mv_settings *settings,
                                               const mv_peer_health *health)
{
    const mv_peer_limits limits = {.connections = connections_to_each_peer(settings)};
    mv_request_forwarder *forwarder = g_new0(mv_request_forwarder, 1);
    forwarder->settings = settings;
    forwarder->health = health;
    forwarder->peers = mv_peer_client_new(settings, &limits);
    pthread_mutex_init(&forwarder->lock, NULL);
    return forwarder;
}

void mv_request_forwarder_free(mv_request_forwarder *forwarder)
{
    mv_peer_client_free(forwarder->peers);
    pthread_mutex_destroy(&forwarder->lock);
    g_free(forwarder);
}

/* --- record --- */

static void record_request(mv_request_forwarder *forwarder, bool answered)
{
    pthread_mutex_lock(&forwarder->lock);
    mv_forwarding_record_add(&forwarder->record, mv_monotonic_now(), answered);
    pthread_mutex_unlock(&forwarder->lock);
}

static bool any_peer_may_serve(const mv_request_forwarder *forwarder)
{
    for (size_t i = 0; i < forwarder->settings->peer_count; i++)
        if (mv_peer_health_state(forwarder->health, i) >= MV_PEER_UNCHECKED)
            return true;
    return false;
}

void mv_request_forwarder_missed(mv_request_forwarder *forwarder)
{
    if (any_peer_may_serve(forwarder))
        record_request(forwarder, false);
}

bool mv_request_forwarder_is_failing(mv_request_forwarder *forwarder)
{
    pthread_mutex_lock(&forwarder->lock);
    const bool failing = mv_forwarding_record_is_failing(&forwarder->record, mv_monotonic_now());
    pthread_mutex_unlock(&forwarder->lock);
    return failing;
}

/* --- messages --- */

/* Returns the body of a request as a field of a message, which borrows the bytes. */
static ProtobufCBinaryData body_field(GBytes *body)
{
    gsize size;
    const void *data = g_bytes_get_data(body, &size);
    return (ProtobufCBinaryData){.data = (uint8_t *)data, .len = size};
}

static GBytes *pack_request(mv_forward_target target, const mv_http_request *user_request)
{
    Mv__ForwardedRequest forwarded = MV__FORWARDED_REQUEST__INIT;
    forwarded.method = (char *)user_request->method;
    forwarded.path = (char *)user_request->path;
    forwarded.body = body_field(user_request->body);
    Mv__PeerRequest request = MV__PEER_REQUEST__INIT;
    if (target == MV_FORWARD_TO_ACKNOWLEDGING) {
        request.kind_case = MV__PEER_REQUEST__KIND_FORWARDED_CANCELLATION;
        request.forwarded_cancellation = &forwarded;
    } else {
        request.kind_case = MV__PEER_REQUEST__KIND_FORWARDED;
        request.forwarded = &forwarded;
    }
    return mv_peer_request_pack(&request);
}

static bool has_served(const Mv__PeerResponse *answer)
{
    return answer && answer->status != MV_HTTP_STATUS_NONE &&
           answer->status != MV_HTTP_STATUS_UNAVAILABLE;
}

/* --- choice of the peer --- */

/* The forwarding of one request. */
typedef struct {
    mv_request_forwarder *forwarder;
    GBytes *request;
    gint64 deadline_us;
    bool *tried;             /* by index of the peer */
    bool refused;            /* a peer responded, but did not serve the request */
    bool unanswered;         /* a peer that had enough time did not respond */
    bool serving_unanswered; /* the same of a peer that the health check found to be serving */
} forwarding;

/* Returns whether a peer is to be tried before another one: the one that the health checks found in
 * the better state, or the one with fewer requests in flight. */
static bool is_preferred(const mv_request_forwarder *forwarder, size_t peer, size_t other)
{
    const mv_peer_state state = mv_peer_health_state(forwarder->health, peer);
    const mv_peer_state other_state = mv_peer_health_state(forwarder->health, other);
    if (state != other_state)
        return state > other_state;
    return mv_peer_client_load(forwarder->peers, peer) <
           mv_peer_client_load(forwarder->peers, other);
}

/* Finds the peer that is to be tried next. Returns false if all have been tried. */
static bool choose_peer(const forwarding *forwarding, size_t *chosen)
{
    bool found = false;
    for (size_t i = 0; i < forwarding->forwarder->settings->peer_count; i++) {
        if (forwarding->tried[i] || (found && !is_preferred(forwarding->forwarder, i, *chosen)))
            continue;
        *chosen = i;
        found = true;
    }
    return found;
}

/* Returns how many of the peers that have not been tried may be expected to respond. */
static unsigned count_responsive(const forwarding *forwarding)
{
    unsigned count = 0;
    for (size_t i = 0; i < forwarding->forwarder->settings->peer_count; i++)
        count += !forwarding->tried[i] &&
                 mv_peer_health_state(forwarding->forwarder->health, i) != MV_PEER_UNRESPONSIVE;
    return count;
}

/* Returns the time for the next peer: an equal share of the time that is left, so that a peer which
 * does not respond leaves time for the others, but enough for a poll that waits for the peer's next
 * watch. 0: no time is left. */
static unsigned time_share_ms(const forwarding *forwarding)
{
    const gint64 left_ms =
        (forwarding->deadline_us - g_get_monotonic_time()) / MICROSECONDS_PER_MILLISECOND;
    /* Counted once: a health check may find another peer unresponsive between two counts. */
    const unsigned responsive = count_responsive(forwarding);
    const gint64 share_ms = left_ms / (gint64)MAX(responsive, 1);
    const gint64 sufficient_ms = MAX(share_ms, POLL_TIME_MS);
    return (unsigned)CLAMP(MIN(sufficient_ms, left_ms), 0, MV_FORWARD_TIMEOUT_MS);
}

/* --- forwarding --- */

/* Sends the request to one peer and notes the result. Returns whether the peer has served it; if
 * so, fills in the response. */
static bool forward_to(forwarding *forwarding, size_t peer, unsigned timeout_ms,
                       mv_http_response *response)
{
    const mv_request_forwarder *forwarder = forwarding->forwarder;
    const bool believed_serving = mv_peer_health_state(forwarder->health, peer) == MV_PEER_SERVING;
    g_autoptr(Mv__PeerResponse) answer =
        mv_peer_client_exchange(forwarder->peers, peer, forwarding->request, timeout_ms);
    forwarding->tried[peer] = true;
    if (!answer && timeout_ms >= POLL_TIME_MS) {
        forwarding->unanswered = true;
        forwarding->serving_unanswered |= believed_serving;
    }
    forwarding->refused |= answer && !has_served(answer);
    if (!has_served(answer))
        return false;
    *response = (mv_http_response){
        .status = (int)answer->status,
        .body = g_bytes_new(answer->body.data, answer->body.len),
    };
    return true;
}

/* Forwards the request to one peer after the other. Returns whether a peer has served it. */
static bool forward_to_any(forwarding *forwarding, mv_http_response *response)
{
    size_t peer = 0;
    while (choose_peer(forwarding, &peer)) {
        const unsigned timeout_ms = time_share_ms(forwarding);
        if (timeout_ms == 0)
            return false;
        if (forward_to(forwarding, peer, timeout_ms, response))
            return true;
    }
    return false;
}

/* Returns whether a request that no peer has served shows that this controller fails its users. In
 * an outage of the state service the peers refuse requests, and no other controller would serve
 * them either. */
static bool is_own_failure(const forwarding *forwarding)
{
    return forwarding->serving_unanswered || (forwarding->unanswered && !forwarding->refused);
}

bool mv_request_forwarder_forward(mv_request_forwarder *forwarder, mv_forward_target target,
                                  const mv_http_request *user_request, gint64 deadline_us,
                                  mv_http_response *response)
{
    g_autoptr(GBytes) request = pack_request(target, user_request);
    g_autofree bool *tried = g_new0(bool, forwarder->settings->peer_count + 1);
    forwarding forwarding = {
        .forwarder = forwarder, .request = request, .deadline_us = deadline_us, .tried = tried};
    const bool served = forward_to_any(&forwarding, response);
    if (served || is_own_failure(&forwarding))
        record_request(forwarder, served);
    if (!served)
        mv_log_limited(MV_LOG_INFO, "forward_failed", "path=%s unanswered=%d refused=%d",
                       user_request->path, forwarding.unanswered, forwarding.refused);
    return served;
}
