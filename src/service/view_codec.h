/* Views of links between controllers, as protobuf messages. */
#ifndef MV_VIEW_CODEC_H
#define MV_VIEW_CODEC_H
#include "connectivity/view.h"

#include "peer.pb-c.h"

/* A view told to a peer. */
GBytes *mv_view_pack(const mv_view *view);
/* The answer to a peer's view. */
GBytes *mv_view_answer_pack(const mv_view *view);
/* NULL: texts are too long, or a number is none that a view may hold. The caller frees. */
mv_view *mv_view_unpack(const Mv__View *message);
#endif
