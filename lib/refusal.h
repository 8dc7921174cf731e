/* Routed requests that end without a backend server's response. */
#ifndef GC_LIB_REFUSAL_H
#define GC_LIB_REFUSAL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/str.h"
#include "lib/caller_listener.h"
#include "lib/relay.h"

/* Outcome of a request, for the metrics. */
typedef enum gc_request_end {
	GC_REQUEST_ANSWERED, /* with a backend server's response */
	GC_REQUEST_REFUSED, /* not run */
	GC_REQUEST_FAILED,
} gc_request_end_t;

/*
 * Adds a request of this outcome and duration to the account's metrics. An
 * empty account counts as "none".
 */
void gc_relay_record_request(gc_str_t account, gc_request_end_t end,
			     int64_t ms);

/* An error response to the caller. */
typedef struct gc_refusal {
	int status; /* HTTP status */
	const char *code; /* machine-readable, for the caller */
	const char *message; /* for the caller and the log */
	int64_t retry_after_ms; /* least Retry-After; 0: no such header */
	int64_t retry_spread_ms; /* added at random; 0: a default */
	bool not_run; /* tells the caller that its request was not run */
	bool received; /* the caller is a daemon that passed the request on */
	/* For the log: limit that prevented a further attempt, or NULL. */
	const char *limit_reached;
} gc_refusal_t;

/* For such a daemon, whether another one may run the request (exchange_hop.c). */
void gc_refusal_append_hop_result(const gc_refusal_t *refusal, GString *head);
/* Sends the error response at once, logs and counts the request `id`. */
void gc_relay_refuse(gc_relay_t *relay, gc_caller_conn_t *caller, gc_str_t id,
		     gc_str_t account, const gc_refusal_t *refusal);

#endif
