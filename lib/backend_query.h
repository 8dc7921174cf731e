/*
 * A short query that the daemon itself sends to a backend server, not for a
 * caller. The response is delivered complete.
 */
#ifndef GC_LIB_BACKEND_QUERY_H
#define GC_LIB_BACKEND_QUERY_H

#include <talloc.h>

#include "core/backends.h"
#include "core/str.h"
#include "lib/adapter.h"
#include "lib/timer.h"
#include "lib/upstream.h"

typedef struct gc_backend_query gc_backend_query_t;

typedef struct gc_backend_query_conf {
	gc_upstream_t *upstream;
	gc_timers_t *timers;
	const char *method;
	const char *path;
	gc_str_t body; /* JSON; empty: none */
	int64_t timeout_ms; /* for the complete response */
	/* Of a query for the load; NULL: another one. A report of another start of
	 * the server ends the query with GC_END_REPLACED. */
	const gc_adapter_t *load_of;
	/* A late answer to an earlier query must not be taken for this one's. */
	bool apart;
	/*
	 * status is 0 if no complete response was received; end tells why. The
	 * query is freed after the callback.
	 */
	void (*done)(void *ctx, int status, gc_str_t response,
		     gc_attempt_end_t end);
	void *ctx;
} gc_backend_query_conf_t;

/* The callback is made from the event loop. */
gc_backend_query_t *gc_backend_query_start(TALLOC_CTX *mem,
					   const gc_backend_query_conf_t *conf,
					   gc_backend_t *server);
/* Cancels the query; no callback follows. */
void gc_backend_query_destroy(gc_backend_query_t *query);

#endif
