/* Encoding and decoding of peer messages; used by peers.c and its tests. */
#ifndef GC_LIB_PEERS_CODEC_H
#define GC_LIB_PEERS_CODEC_H

#include <stdbool.h>

#include <msgpack.h>

#include "lib/peers.h"

/* These append one message to buffer. self is the name of this daemon. */
void gc_peers_encode_heartbeat(msgpack_sbuffer *buffer,
			       const gc_heartbeat_t *heartbeat);
void gc_peers_encode_config_pull(msgpack_sbuffer *buffer, gc_str_t self,
				 gc_str_t reply_to);
void gc_peers_encode_config(msgpack_sbuffer *buffer, gc_str_t self,
			    uint64_t version, gc_str_t document);
void gc_peers_encode_engine_down(msgpack_sbuffer *buffer, gc_str_t self,
				 gc_str_t engine, int64_t age_ms);
/*
 * Decodes a message and calls the callback of ops for its kind. Returns false,
 * without a call, if the message is malformed.
 */
bool gc_peers_decode(gc_str_t message, const gc_peers_ops_t *ops, void *ctx);

#endif
