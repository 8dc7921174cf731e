/* One routed request in progress; private to lib/relay.c and its parts. */
#ifndef GC_LIB_EXCHANGE_H
#define GC_LIB_EXCHANGE_H

#include "core/attempts.h"
#include "core/event_sequencer.h"
#include "lib/backend_query.h"
#include "lib/load_probe.h"
#include "lib/refusal.h"
#include "lib/relay.h"

/* Backend servers that one request can meet. */
#define GC_EXCHANGE_MAX_TRIED 16

typedef struct gc_exchange {
	gc_relay_t *relay;
	struct gc_exchange *prev, *next;
	gc_caller_conn_t *caller; /* NULL once it has left */
	const gc_http_message_t *request; /* valid while the caller is there */
	gc_fleet_view_t *view; /* holds the route */
	const gc_route_t *route;
	gc_str_t service;
	gc_str_t account; /* empty on an anonymous route */
	gc_str_t id;
	bool head_request;
	struct timespec arrived;
	int64_t deadline_ms; /* after arrival, of the caller */
	int64_t limit_ms; /* after arrival, of caller and route */

	gc_attempts_t attempts;
	gc_backend_t *tried[GC_EXCHANGE_MAX_TRIED];
	size_t n_tried;
	const char *limit; /* which one allows no further attempt; "": none */
	gc_load_probe_t *survey; /* before an attempt */
	gc_call_t *call; /* the attempt in progress */
	gc_backend_t *backend; /* of the call */
	gc_backend_t *copy; /* gets the run's memory */
	gc_str_t copy_name; /* ADDRESS/ID of the copy */
	gc_backend_query_t
		*copy_order; /* for another copy, as this one was lost */
	gc_backend_t *copy_target; /* of the order */
	struct timespec copy_due; /* when a copy by order has to be renewed */
	gc_str_t copy_handle; /* of a copy by order; empty: not by order */
	gc_backend_t *copy_from; /* holds memory of the run before */
	gc_str_t copy_from_name; /* ADDRESS/ID of that copy */
	struct timespec heard; /* last byte of the attempt */
	bool heard_any; /* an event of the attempt came */
	bool paused; /* its server is not read, as the caller is slow */
	struct timespec passed; /* last event to the caller */
	int64_t first_ms; /* after arrival, of the first event */
	int64_t pause_ms; /* longest between two events */

	gc_event_sequencer_t *events; /* of a stream */
	bool head_sent;
	GString *head; /* of the answer that is being collected */
	int status; /* of it */
	GByteArray *body; /* of it */
	bool good; /* it is a success of this request */
	bool refused; /* the server says that it did not run it */
	bool moved; /* another server answers at its address */

	gc_timer_t *limit_timer;
	gc_timer_t *silence_timer;
	gc_timer_t *retry_timer;
	gc_timer_t *copy_timer; /* looks after the copy */
} gc_exchange_t;

/*
 * Copies of a run's memory (exchange_copy.c). gc_exchange_start_copy chooses
 * the server that gets it, before the attempt is sent; _stop_copy forgets it.
 */
void gc_exchange_start_copy(gc_exchange_t *exchange);
void gc_exchange_stop_copy(gc_exchange_t *exchange);
/* After the end of an attempt: the next one may go on from the copy. */
void gc_exchange_use_copy(gc_exchange_t *exchange);
/* A timer of the exchange. */
void gc_exchange_on_copy_timer(void *ctx);

/*
 * Ends (exchange_end.c). Each but the log frees the exchange.
 * gc_exchange_give_up tells the caller that the request was not served;
 * gc_exchange_answer passes on the answer that was collected.
 */
void gc_exchange_give_up(gc_exchange_t *exchange, gc_next_t next,
			 gc_attempt_end_t end);
void gc_exchange_answer(gc_exchange_t *exchange);
void gc_exchange_log_end(const gc_exchange_t *exchange, gc_request_end_t end,
			 const char *message);
/* The time limit has passed; a timer of the exchange. */
void gc_exchange_on_limit(void *ctx);
/* True for statuses that tell callers that a request has not run. */
bool gc_promises_not_run(int status);
/* Milliseconds since the request arrived. */
int64_t gc_exchange_elapsed_ms(const gc_exchange_t *exchange);

/* Text of the request for a backend server; free with g_string_free. */
GString *gc_exchange_request_text(const gc_exchange_t *exchange,
				  const gc_backend_t *backend, int64_t left_ms);
/* Header lines of a server's answer that go on to the caller. */
void gc_exchange_copy_head(GString *head, const gc_http_message_t *answer);

#endif
