/*
 * HTTP/1.1 listener for callers. Hands over whole requests within the limits,
 * tells at once when a caller leaves, and answers whole or in chunks.
 */
#ifndef GC_LIB_CALLER_LISTENER_H
#define GC_LIB_CALLER_LISTENER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/clock.h"
#include "core/routes.h"
#include "core/str.h"
#include "lib/http_message.h"
#include "lib/timer.h"

typedef struct gc_caller_listener gc_caller_listener_t;
/* One connection of a caller. */
typedef struct gc_caller_conn_conn gc_caller_conn_t;

typedef struct gc_caller_listener_ops {
	/*
	 * A whole request. It must be answered, now or later; the message is
	 * valid until the end of the answer or until gone.
	 */
	void (*request)(void *ctx, gc_caller_conn_t *caller,
			const gc_http_message_t *request);
	/* The caller left before its answer ended; the object is freed then. */
	void (*gone)(void *ctx, gc_caller_conn_t *caller);
	/* All bytes of a chunked answer were handed to the kernel. */
	void (*drained)(void *ctx, gc_caller_conn_t *caller);
	/* The limits in force; called for each new request. */
	gc_request_limits_t (*limits)(void *ctx);
} gc_caller_listener_ops_t;

/* A front whose user's object is ctx. Errors: GC_ERR_IO. */
gc_caller_listener_t *gc_caller_listener_create(
	TALLOC_CTX *mem, struct tevent_context *ev, gc_timers_t *timers,
	const gc_clock_t *clock, const char *address, uint16_t port,
	const gc_caller_listener_ops_t *ops, void *ctx, GError **err);
uint16_t gc_caller_listener_port(const gc_caller_listener_t *front);
/* From now on each answer ends its connection. */
void gc_caller_listener_set_closing(gc_caller_listener_t *front);
/* Connections with a request that isn't answered, or an unsent answer. */
size_t gc_caller_listener_busy(const gc_caller_listener_t *front);

/* The user's object for the request in progress. */
void gc_caller_conn_set_data(gc_caller_conn_t *caller, void *data);
void *gc_caller_conn_data(const gc_caller_conn_t *caller);
/* When the first byte of the request arrived; monotonic. */
struct timespec gc_caller_conn_arrived(const gc_caller_conn_t *caller);
/*
 * Answers. head is the text of further header lines, each ended by CRLF; the
 * length and the headers of the connection are added.
 */
void gc_caller_conn_answer(gc_caller_conn_t *caller, int status, gc_str_t head,
			   gc_str_t body);
/* An answer of unknown length, in chunks, ended by gc_caller_conn_end. */
void gc_caller_conn_begin(gc_caller_conn_t *caller, int status, gc_str_t head);
void gc_caller_conn_chunk(gc_caller_conn_t *caller, gc_str_t data);
void gc_caller_conn_end(gc_caller_conn_t *caller);
/* Breaks off an answer that has begun, so that it can't look complete. */
void gc_caller_conn_abort(gc_caller_conn_t *caller);
/* Bytes of answers that the kernel has not taken. */
size_t gc_caller_conn_pending(const gc_caller_conn_t *caller);

#endif
