/**
 * Handler of the heartbeats that agents send.
 */
#include "server/heartbeat_endpoint.h"

#include "protocol/names.h"
#include "server/responses.h"
#include "telemetry/log.h"

static GBytes *pack_redirect(const char *owner)
{
    mv_writer *writer = mv_writer_new();
    const bool known = owner[0] != 0;
    mv_write_map(writer, known ? 1 : 0);
    if (known)
        mv_write_text_field(writer, WIRE_REDIRECT_TO, owner);
    return mv_writer_finish(writer);
}

static void respond(const mv_heartbeat_response *decision, mv_http_response *response)
{
    response->status = decision->status;
    switch (decision->status) {
    case MV_HTTP_STATUS_OK:
        response->body = mv_commands_pack(decision->fencing_token, 0, decision->commands);
        break;
    case MV_HTTP_STATUS_MISDIRECTED:
        response->body = pack_redirect(decision->redirect_to);
        break;
    default:
        mv_response_error(response, decision->status, "not now", NULL);
    }
}

static unsigned count_stops(const GArray *commands)
{
    unsigned stops = 0;
    for (guint i = 0; commands && i < commands->len; i++)
        stops += g_array_index(commands, mv_command, i).kind == MV_COMMAND_STOP;
    return stops;
}

static void handle(mv_shared_controller *shared, const mv_heartbeat *heartbeat,
                   mv_http_response *response)
{
    mv_heartbeat_response decision;
    double now;
    mv_controller *controller = mv_shared_controller_lock(shared, &now);
    mv_controller_heartbeat(controller, now, heartbeat, &decision);
    mv_shared_controller_unlock(shared);
    mv_debug("heartbeat_answered",
             "machine=%s sequence=%" G_GUINT64_FORMAT " tasks=%zu status=%d commands=%u stops=%u"
             " token=%" G_GUINT64_FORMAT " reported_token=%" G_GUINT64_FORMAT,
             heartbeat->machine, heartbeat->sequence, heartbeat->task_count, decision.status,
             decision.commands ? decision.commands->len : 0, count_stops(decision.commands),
             decision.fencing_token, heartbeat->fencing_token);
    respond(&decision, response);
    g_clear_pointer(&decision.commands, g_array_unref);
}

void mv_endpoint_heartbeat(const mv_request_services *services, const mv_http_request *request,
                           mv_http_response *response)
{
    g_autoptr(mv_document) document = mv_request_parse_body(request);
    mv_heartbeat heartbeat = {0};
    if (document && mv_heartbeat_parse(mv_document_root(document), &heartbeat))
        handle(services->controller, &heartbeat, response);
    else
        mv_response_error(response, MV_HTTP_STATUS_BAD_REQUEST, "malformed", NULL);
    mv_heartbeat_clear(&heartbeat);
}
