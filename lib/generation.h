/* One generation: joins gc_stream_t, the engines and the caller's answer. */
#ifndef GC_LIB_GENERATION_H
#define GC_LIB_GENERATION_H

#include "core/cursor.h"
#include "lib/filter.h"
#include "lib/openai.h"

typedef struct gc_generation gc_generation_t;

/*
 * Asks for admission, runs the generation and answers the exchange's request,
 * in whose talloc context it lives. cursor is NULL for a new generation;
 * a resume by GET has no prompt and no model in request yet.
 */
void gc_generation_begin(gc_request_ctx_t *exchange, gc_generate_t *request,
			 const gc_cursor_t *cursor);

#endif
