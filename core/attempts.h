/*
 * What follows the end of an attempt to serve a routed request. A promise
 * that a request was not run is made only when no backend server can have
 * started it.
 */
#ifndef GC_CORE_ATTEMPTS_H
#define GC_CORE_ATTEMPTS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/routes.h"

/* How an attempt ended without a good answer. */
typedef enum gc_attempt_end {
	GC_END_UNREACHED, /* no byte of the request was sent */
	GC_END_REFUSED, /* the server says that it did not run it */
	GC_END_MOVED, /* another server answers at the address; not run */
	GC_END_FAILED, /* a whole answer that tells of a failure */
	GC_END_BROKEN, /* connection lost or answer damaged */
	GC_END_SILENT, /* nothing came for too long */
} gc_attempt_end_t;

typedef enum gc_next {
	GC_NEXT_RETRY, /* at another server, if one can be found */
	GC_NEXT_REFUSE, /* tell the caller that it was not run */
	GC_NEXT_PASS, /* pass the server's failure on */
	GC_NEXT_FAIL, /* tell the caller of a failure without a promise */
} gc_next_t;

typedef struct gc_attempts {
	const gc_route_t *route;
	uint32_t sent; /* servers that got at least a byte of the request */
	uint32_t lost; /* of these, ended or cut off meanwhile */
	bool may_have_run;
} gc_attempts_t;

/* The request is being sent to a server. */
void gc_attempts_sent(gc_attempts_t *attempts);
/*
 * Takes the end of an attempt. left_ms is the time that the request still
 * has. *repeat tells whether a retry counts against the repeat budget.
 */
gc_next_t gc_attempts_end(gc_attempts_t *attempts, gc_attempt_end_t end,
			  int64_t left_ms, bool *repeat);
/* What to tell the caller when no further attempt can be made. */
gc_next_t gc_attempts_give_up(const gc_attempts_t *attempts);

#endif
