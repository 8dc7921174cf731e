/* A small call to a backend server itself, with a whole answer or none. */
#ifndef GC_LIB_BACKEND_QUERY_H
#define GC_LIB_BACKEND_QUERY_H

#include <talloc.h>

#include "core/backends.h"
#include "core/str.h"
#include "lib/timer.h"
#include "lib/upstream.h"

typedef struct gc_backend_query gc_backend_query_t;

typedef struct gc_backend_query_conf {
	gc_upstream_t *upstream;
	gc_timers_t *timers;
	const char *method;
	const char *path;
	gc_str_t body; /* JSON; empty: none */
	int64_t timeout_ms;
	/*
	 * status is 0 if no whole answer came; end tells why. The object is
	 * freed after the callback.
	 */
	void (*done)(void *ctx, int status, gc_str_t answer,
		     gc_attempt_end_t end);
	void *ctx;
} gc_backend_query_conf_t;

/* The callback comes from the loop. */
gc_backend_query_t *gc_backend_query_start(TALLOC_CTX *mem,
					   const gc_backend_query_conf_t *conf,
					   gc_backend_t *server);
/* Ends it; no callback follows. */
void gc_backend_query_destroy(gc_backend_query_t *ask);

#endif
