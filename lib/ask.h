/* A small call to a backend server itself, with a whole answer or none. */
#ifndef GC_LIB_ASK_H
#define GC_LIB_ASK_H

#include <talloc.h>

#include "core/backends.h"
#include "core/str.h"
#include "lib/timer.h"
#include "lib/upstream.h"

typedef struct gc_ask gc_ask_t;

typedef struct gc_ask_conf {
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
} gc_ask_conf_t;

/* The callback comes from the loop. */
gc_ask_t *gc_ask_start(TALLOC_CTX *mem, const gc_ask_conf_t *conf,
		       gc_backend_t *server);
/* Ends it; no callback follows. */
void gc_ask_destroy(gc_ask_t *ask);

#endif
