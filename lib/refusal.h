/* Ends of routed requests that no server's answer gives. */
#ifndef GC_LIB_REFUSAL_H
#define GC_LIB_REFUSAL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/str.h"
#include "lib/caller_listener.h"
#include "lib/relay.h"

/* What became of a request, for the metrics. */
typedef enum gc_request_end {
	GC_REQUEST_ANSWERED, /* with a server's answer */
	GC_REQUEST_REFUSED, /* not run */
	GC_REQUEST_FAILED,
} gc_request_end_t;

/* Counts the request for its account; an empty one counts as "none". */
void gc_relay_count(gc_str_t account, gc_request_end_t end, int64_t ms);

/* Refuses or fails a request; logs why and answers at once. */
typedef struct gc_refusal {
	int status;
	const char *code; /* for the caller */
	const char *why; /* for the log */
	int64_t retry_after_ms; /* 0: not told */
	bool not_run;
	/* For the log: what allowed no further attempt; NULL: none was made. */
	const char *limit;
} gc_refusal_t;

void gc_relay_refuse(gc_relay_t *relay, gc_caller_conn_t *caller, gc_str_t id,
		     gc_str_t account, const gc_refusal_t *refusal);

#endif
