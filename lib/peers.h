/* Messages between daemons: ZeroMQ and msgpack (docs/design.md section 8). */
#ifndef GC_LIB_PEERS_H
#define GC_LIB_PEERS_H

#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/membership.h"
#include "lib/settings.h"

typedef struct gc_peers gc_peers_t;

/* Callbacks for received messages. Their strings are valid during the call. */
typedef struct gc_peers_ops {
	void (*heartbeat)(void *ctx, const gc_heartbeat_t *heartbeat);
	/* The peer requests the configuration; reply_to is its URL. */
	void (*config_pull)(void *ctx, gc_str_t from, gc_str_t reply_to);
	void (*config)(void *ctx, gc_str_t from, uint64_t version,
		       gc_str_t document);
	/* The peer saw the engine fail age_ms before it sent the message. */
	void (*engine_down)(void *ctx, gc_str_t from, gc_str_t engine,
			    int64_t age_ms);
} gc_peers_ops_t;

/*
 * Binds the address and starts to receive; ctx is passed to the callbacks.
 * Freed with mem. Errors: GC_ERR_IO if the address can't be bound.
 */
gc_peers_t *gc_peers_create(TALLOC_CTX *mem, struct tevent_context *ev,
			    const gc_listen_address_t *listen,
			    const gc_peers_ops_t *ops, void *ctx, GError **err);
/* Returns tcp://ADDRESS:PORT with the bound port; owned by peers. */
const char *gc_peers_url(const gc_peers_t *peers);

/*
 * These send a message to the peer at url without blocking. The message is
 * dropped if the peer's queue is full or there is no connection. self is the
 * name of this daemon.
 */
void gc_peers_send_heartbeat(gc_peers_t *peers, gc_str_t url,
			     const gc_heartbeat_t *heartbeat);
void gc_peers_send_config_pull(gc_peers_t *peers, gc_str_t url, gc_str_t self);
void gc_peers_send_config(gc_peers_t *peers, gc_str_t url, gc_str_t self,
			  uint64_t version, gc_str_t document);
void gc_peers_send_engine_down(gc_peers_t *peers, gc_str_t url, gc_str_t self,
			       gc_str_t engine, int64_t age_ms);
/* Closes connections on which nothing was sent for a minute. */
void gc_peers_close_idle(gc_peers_t *peers, struct timespec now);
/*
 * Receives all queued messages. To be called regularly: the edge-triggered
 * descriptor does not report each of them.
 */
void gc_peers_receive(gc_peers_t *peers);

#endif
