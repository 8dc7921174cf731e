/*
 * HTTP/1.1 calls to backend servers over keep-alive connections. A response
 * with another request id than the call's is discarded.
 */
#ifndef GC_LIB_UPSTREAM_H
#define GC_LIB_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "core/attempts.h"
#include "core/backends.h"
#include "core/clock.h"
#include "core/str.h"
#include "lib/http_message.h"
#include "lib/socket.h"
#include "lib/timer.h"

typedef struct gc_upstream gc_upstream_t;
typedef struct gc_call gc_call_t;

typedef struct gc_upstream_conf {
	struct tevent_context *ev;
	gc_timers_t *timers;
	const gc_clock_t *clock;
	const char *source; /* local IP of connections; NULL: any */
	const char *id_header; /* request id; echoed by backend servers */
	/* Of a server that is leaving; NULL: responses say nothing about the
	 * server itself. */
	const char *leaving_header;
	const char *limit_header; /* names a limit on requests a second */
	const char *brittle_header; /* how many it may turn away a second */
	int64_t pause_max_ms; /* longest Retry-After of a server that counts */
	int64_t connect_timeout_ms;
	/* How long a connection is kept whose server states no timeout; 0: a
	 * default. */
	int64_t keep_alive_ms;
	gc_socket_liveness_t liveness;
	int unsent_max; /* see gc_socket_set_unsent_max; 0: the kernel's */
} gc_upstream_conf_t;

/* Every callback may cancel the call. */
typedef struct gc_call_ops {
	/* The response head is complete; body bytes follow. */
	void (*head)(void *ctx, const gc_http_message_t *response);
	void (*body)(void *ctx, gc_str_t data);
	/* The response is complete; the call is freed after the callback. */
	void (*complete)(void *ctx, const gc_http_message_t *response);
	/* The call failed and is freed after the callback. */
	void (*failed)(void *ctx, gc_attempt_end_t end, const char *reason);
} gc_call_ops_t;

gc_upstream_t *gc_upstream_create(TALLOC_CTX *mem,
				  const gc_upstream_conf_t *conf);
/*
 * Sends the request, given as its complete text. Callbacks are made from the
 * event loop. NULL if the server's address is invalid or no connection can be
 * opened. The connection is not one on which a call with this id was answered.
 */
gc_call_t *gc_upstream_start(gc_upstream_t *upstream, gc_backend_t *backend,
			     gc_str_t request, gc_str_t request_id,
			     bool head_request, const gc_call_ops_t *ops,
			     void *ctx);
/* True if a kept connection to the server can be used. */
bool gc_upstream_has_idle(const gc_upstream_t *upstream,
			  const gc_backend_t *backend);
/* Closes the kept connections to a server from which one has been cut. */
void gc_upstream_close_idle(gc_upstream_t *upstream,
			    const gc_backend_t *backend);
/*
 * The same without a request id, on a connection on which no other call without
 * one was answered: a late copy of that answer could not be told from this one's.
 */
gc_call_t *gc_upstream_start_apart(gc_upstream_t *upstream,
				   gc_backend_t *backend, gc_str_t request,
				   const gc_call_ops_t *ops, void *ctx);
/*
 * Closes the connection, which makes the server stop the run. No callback
 * follows. What the server's host has not acknowledged is not sent again, but
 * the server may have read it: an acknowledgement can be lost.
 */
void gc_call_cancel(gc_call_t *call);
/* Callbacks from now on, also from within one. */
void gc_call_set_ops(gc_call_t *call, const gc_call_ops_t *ops, void *ctx);
/* Stops or resumes reading the response (back-pressure). */
void gc_call_set_paused(gc_call_t *call, bool paused);
/* True if the server has connected, answered or closed, unnoticed so far. */
bool gc_call_has_unread(const gc_call_t *call);
/* True if the kernel got a byte of the request on an open connection. */
bool gc_call_was_sent(const gc_call_t *call);
/* Bytes of the request that the kernel has not accepted, and that it has. */
size_t gc_call_unsent_bytes(const gc_call_t *call);
uint64_t gc_call_sent_bytes(const gc_call_t *call);
/* Of the request. */
gc_socket_delivery_t gc_call_delivery(const gc_call_t *call);
/* True if the call is the first one on its connection. */
bool gc_call_is_first(const gc_call_t *call);
/* Connections opened since the start. */
uint64_t gc_upstream_connections_made(const gc_upstream_t *upstream);

#endif
