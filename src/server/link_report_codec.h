/**
 * Conversion between link health reports and the protobuf message that controllers exchange
 * (`LinkReport` of peer.proto).
 *
 * The pack and unpack functions are pure and may be called from any thread.
 */
#ifndef MV_LINK_REPORT_CODEC_H
#define MV_LINK_REPORT_CODEC_H
#include "connectivity/link_report.h"
#include "coordination/controller.h"

#include "peer.pb-c.h"

/** Packs a request that publishes a link report to a peer. The caller owns the bytes. */
GBytes *mv_link_report_pack(const mv_link_report *report);
/**
 * Packs the response to a peer's link report; `report` is this controller's own report. The caller
 * owns the bytes.
 */
GBytes *mv_link_report_response_pack(const mv_link_report *report);
/**
 * Converts a peer's message to a report, which the caller frees. Returns NULL if a text is too long
 * for its field or the number of the link class is outside its range.
 */
mv_link_report *mv_link_report_unpack(const Mv__LinkReport *message);
/**
 * Gives a peer's report to the controller, whose lock the caller holds. If the message cannot be
 * converted, the controller gets an empty report, which names no sender, so that the controller
 * counts the report as malformed.
 */
void mv_link_report_message_received(mv_controller *controller, double now,
                                     const Mv__LinkReport *message);
#endif
