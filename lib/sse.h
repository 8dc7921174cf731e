/* Incremental parser for server-sent events. */
#ifndef GC_LIB_SSE_H
#define GC_LIB_SSE_H

#include <stdbool.h>

#include <talloc.h>

#include "core/str.h"

typedef struct gc_sse gc_sse_t;

typedef struct gc_sse_event {
	gc_str_t name; /* "message" if the event has none */
	gc_str_t id; /* empty if the event has none */
	gc_str_t data; /* data lines joined by line feeds */
} gc_sse_event_t;

/* The event is valid during the call. */
typedef void (*gc_sse_event_fn_t)(void *ctx, const gc_sse_event_t *event);

/*
 * max_bytes limits the length of a line plus the data that its event has so
 * far. The parser is freed with mem or by talloc_free.
 */
gc_sse_t *gc_sse_create(TALLOC_CTX *mem, size_t max_bytes,
			gc_sse_event_fn_t on_event, void *ctx);
/*
 * Parses bytes and calls on_event for each complete event. on_event may free
 * the parser. Returns false if max_bytes is exceeded; the parser must not be
 * used then.
 */
bool gc_sse_feed(gc_sse_t *sse, gc_str_t bytes);

#endif
