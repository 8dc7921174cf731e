/* The relay as its own files see it. */
#ifndef GC_LIB_RELAY_PRIVATE_H
#define GC_LIB_RELAY_PRIVATE_H

#include "lib/exchange.h"
#include "lib/metrics.h"
#include "lib/relay.h"

struct gc_relay {
	gc_relay_conf_t conf;
	gc_upstream_t *upstream;
	gc_backends_t *backends;
	gc_fleet_view_t *view; /* NULL until the first one */
	gc_exchange_t *open;
	size_t n_open;
	bool stopping;
	struct timespec stop_at;
};

/* Starts the attempts of an admitted request. */
void gc_exchange_run(gc_exchange_t *exchange);
/* The caller has left. */
void gc_exchange_abandon(gc_exchange_t *exchange);
void gc_exchange_drained(gc_exchange_t *exchange);

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
} gc_refusal_t;

void gc_relay_refuse(gc_relay_t *relay, gc_caller_t *caller, gc_str_t id,
		     gc_str_t account, const gc_refusal_t *refusal);

#endif
