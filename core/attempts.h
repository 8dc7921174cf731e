/*
 * Decides what follows a failed attempt to serve a routed request. The caller
 * is told that its request was not run only if no backend server can have
 * started it.
 */
#ifndef GC_CORE_ATTEMPTS_H
#define GC_CORE_ATTEMPTS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/routes.h"

/* How an attempt ended without a successful answer. */
typedef enum gc_attempt_end {
	GC_END_UNREACHABLE, /* no byte of the request was sent */
	GC_END_REFUSED, /* the server says that it did not run the request */
	GC_END_REPLACED, /* another server answers at the address; not run */
	GC_END_FAILED, /* a complete answer that reports a failure */
	GC_END_BROKEN, /* the server closed the connection; damaged answer */
	GC_END_CUT, /* the network or the host failed: no sign of the server */
	GC_END_TIMED_OUT, /* no data within the timeout */
} gc_attempt_end_t;

typedef enum gc_retry_decision {
	GC_DECISION_RETRY, /* at another server, if there is one */
	GC_DECISION_REFUSE, /* tell the caller that the request was not run */
	GC_DECISION_FORWARD, /* forward the server's failure answer */
	GC_DECISION_FAIL, /* report a failure; the request may have been run */
} gc_retry_decision_t;

typedef struct gc_attempts {
	const gc_route_t *route;
	uint32_t sent; /* servers that got at least a byte of the request */
	/* Of these: lost; said that they did not run it; replaced by another one. */
	uint32_t lost, refused, replaced;
	bool may_have_run;
	/* The caller has a part of a stream that left a silent server, which may
	 * be sound: others that turn it away are no reason to end it. */
	bool begun;
} gc_attempts_t;

/* Counts a server to which the request is being sent. */
void gc_attempts_count_sent(gc_attempts_t *attempts);
/*
 * Records the end of an attempt and decides what to do next. left_ms is the
 * time left until the request's deadline. Sets *uses_budget to whether a retry
 * must be taken from the retry budget.
 */
gc_retry_decision_t gc_attempts_decide(gc_attempts_t *attempts,
				       gc_attempt_end_t end, int64_t left_ms,
				       bool *uses_budget);
/*
 * True if the request could be sent to another server after an attempt that the
 * daemon ends because its server is silent.
 */
bool gc_attempts_may_leave(const gc_attempts_t *attempts, int64_t left_ms);
/* The decision when no further attempt can be made. */
gc_retry_decision_t gc_attempts_final_decision(const gc_attempts_t *attempts);

#endif
