/*
 * HTTP/1.1 calls to backend servers over kept connections. An answer is given
 * to a call only if it bears the call's request id; other answers on the
 * connection are dropped.
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
	const char *id_header; /* echoed by backend servers */
	int64_t connect_timeout_ms;
	gc_socket_liveness_t liveness;
} gc_upstream_conf_t;

/* Every function may cancel the call. */
typedef struct gc_call_ops {
	/* The head of the answer; body bytes follow. */
	void (*head)(void *ctx, const gc_http_message_t *answer);
	void (*body)(void *ctx, gc_str_t data);
	/* The answer is whole; the call is freed after the callback. */
	void (*whole)(void *ctx, const gc_http_message_t *answer);
	/* The call failed and is freed after the callback. */
	void (*failed)(void *ctx, gc_attempt_end_t end, const char *why);
} gc_call_ops_t;

gc_upstream_t *gc_upstream_create(TALLOC_CTX *mem,
				  const gc_upstream_conf_t *conf);
/*
 * Sends the request, whose text is given whole. Callbacks come from the loop.
 * NULL if the server's address can't be used or no descriptor is free.
 */
gc_call_t *gc_upstream_start(gc_upstream_t *upstream, gc_backend_t *backend,
			     gc_str_t request, gc_str_t request_id,
			     bool head_request, const gc_call_ops_t *ops,
			     void *ctx);
/* Closes the connection, which makes the server stop; no callback follows. */
void gc_call_cancel(gc_call_t *call);
void gc_call_pause(gc_call_t *call, bool pause);
/* Connections made since the start. */
uint64_t gc_upstream_connects(const gc_upstream_t *upstream);

#endif
