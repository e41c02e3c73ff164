/* What a controller tells operators and health checks over HTTP. */
#ifndef MV_OPERATOR_PAGES_H
#define MV_OPERATOR_PAGES_H
#include "service/daemon.h"

/* GET /healthz */
void mv_page_health(mv_daemon *d, mv_reply *reply);
/* GET /metrics, in the text exposition format */
void mv_page_metrics(mv_daemon *d, mv_reply *reply);
/* GET /overview, MessagePack */
void mv_page_overview(mv_daemon *d, mv_reply *reply);
#endif
