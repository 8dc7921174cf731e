/*
 * HTTP/1.1 listener for callers. Hands over whole requests within the limits,
 * tells at once when a caller leaves, and answers whole or in chunks.
 */
#ifndef GC_LIB_FRONT_H
#define GC_LIB_FRONT_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "core/clock.h"
#include "core/routes.h"
#include "core/str.h"
#include "lib/message.h"
#include "lib/timer.h"

typedef struct gc_front gc_front_t;
/* One connection of a caller. */
typedef struct gc_caller gc_caller_t;

typedef struct gc_front_ops {
	/*
	 * A whole request. It must be answered, now or later; the message is
	 * valid until the end of the answer or until gone.
	 */
	void (*request)(void *ctx, gc_caller_t *caller,
			const gc_message_t *request);
	/* The caller left before its answer ended; the object is freed then. */
	void (*gone)(void *ctx, gc_caller_t *caller);
	/* All bytes of a chunked answer were handed to the kernel. */
	void (*drained)(void *ctx, gc_caller_t *caller);
	/* The limits in force; called for each new request. */
	gc_request_limits_t (*limits)(void *ctx);
} gc_front_ops_t;

/* A front whose user's object is ctx. Errors: GC_ERR_IO. */
gc_front_t *gc_front_create(TALLOC_CTX *mem, struct tevent_context *ev,
			    gc_timers_t *timers, const gc_clock_t *clock,
			    const char *address, uint16_t port,
			    const gc_front_ops_t *ops, void *ctx, GError **err);
uint16_t gc_front_port(const gc_front_t *front);
/* From now on each answer ends its connection. */
void gc_front_set_closing(gc_front_t *front);
/* Connections with a request that isn't answered, or an unsent answer. */
size_t gc_front_busy(const gc_front_t *front);

/* The user's object for the request in progress. */
void gc_caller_set_data(gc_caller_t *caller, void *data);
void *gc_caller_data(const gc_caller_t *caller);
/* When the first byte of the request arrived; monotonic. */
struct timespec gc_caller_arrived(const gc_caller_t *caller);
/*
 * Answers. head is the text of further header lines, each ended by CRLF; the
 * length and the headers of the connection are added.
 */
void gc_caller_answer(gc_caller_t *caller, int status, gc_str_t head,
		      gc_str_t body);
/* An answer of unknown length, in chunks, ended by gc_caller_end. */
void gc_caller_begin(gc_caller_t *caller, int status, gc_str_t head);
void gc_caller_chunk(gc_caller_t *caller, gc_str_t data);
void gc_caller_end(gc_caller_t *caller);
/* Breaks off an answer that has begun, so that it can't look complete. */
void gc_caller_abort(gc_caller_t *caller);
/* Bytes of answers that the kernel has not taken. */
size_t gc_caller_pending(const gc_caller_t *caller);

#endif
