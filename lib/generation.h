/*
 * One generation request: connects the decisions of gc_stream_t with the
 * connections to engines and the reply to the caller.
 */
#ifndef GC_LIB_GENERATION_H
#define GC_LIB_GENERATION_H

#include "core/cursor.h"
#include "lib/filter.h"
#include "lib/openai.h"

typedef struct gc_generation gc_generation_t;

/*
 * Requests admission, runs the generation and replies to the HTTP request. The
 * generation belongs to req_ctx. cursor is NULL for a new generation. In a
 * resume by GET, completion_request has no prompt or model: they are taken from
 * the start request of the run.
 */
void gc_generation_begin(gc_request_ctx_t *req_ctx,
			 gc_completion_request_t *completion_request,
			 const gc_cursor_t *cursor);

#endif
