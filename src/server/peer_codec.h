/**
 * Messages between controllers: conversion between the controller's types and the protobuf messages
 * of `protocol/peer.proto`. The types that protoc-c generates have the names of peer.proto. This
 * module and link_report_codec.h convert demands and link reports; demand_publisher.c and
 * peer_message_handler.c use the few plain fields of PeerResponse directly.
 *
 * All functions are pure and may be called from any thread.
 */
#ifndef MV_PEER_CODEC_H
#define MV_PEER_CODEC_H
#include "coordination/controller.h"
#include "peer.pb-c.h"

/** Frees an unpacked request; NULL is allowed. */
void mv_peer_request_free(Mv__PeerRequest *request);
/** Frees an unpacked response; NULL is allowed. */
void mv_peer_response_free(Mv__PeerResponse *response);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(Mv__PeerRequest, mv_peer_request_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(Mv__PeerResponse, mv_peer_response_free)

/** Packs a request to a peer into bytes, which the caller owns. */
GBytes *mv_peer_request_pack(const Mv__PeerRequest *request);
/** Packs a response to a peer into bytes, which the caller owns. */
GBytes *mv_peer_response_pack(const Mv__PeerResponse *response);

/** Packs a request that publishes a shard's demand to the leader. The caller owns the bytes. */
GBytes *mv_shard_demand_pack(const mv_shard_demand *demand);
/**
 * Converts the demand in a peer's request. The caller frees the result with mv_shard_demand_free.
 * A name that is too long for its field is cut off.
 */
mv_shard_demand *mv_shard_demand_unpack(const Mv__ShardDemand *message);

/**
 * Returns an array of pointers to `count` items of `item_size` bytes each, which is the form in
 * which protobuf-c takes repeated fields. The caller frees the array with g_free and keeps
 * ownership of the items.
 */
void *mv_repeated_field(void *items, size_t count, size_t item_size);
#endif
