/*
 * Permits for requests to backend servers that limit their requests a second.
 * The limit holds for all daemons together, so one daemon, the issuer, grants
 * the permits of a server to all of them.
 */
#ifndef GC_CORE_PERMITS_H
#define GC_CORE_PERMITS_H

#include <stdint.h>
#include <time.h>

#include <talloc.h>

/* Limit of a server that names none. */
#define GC_NO_LIMIT (-1.0)

/* How long a permit may be kept before the request is sent, from its grant. */
#define GC_PERMIT_VALID_MS 250

/* Rank of a request that has begun: its caller has a part of the response, or a
 * server may have run it. Higher ranks follow. */
#define GC_PERMIT_RANK_BEGUN 0
#define GC_PERMIT_RANK_MAX   8

typedef struct gc_permit_ask {
	uint64_t server; /* its incarnation */
	double limit; /* requests a second, as known to the asking daemon */
	struct timespec limit_at; /* when the server said so */
	/* The part of the limit that the issuer may grant. Below 1 if others may
	 * grant permits of the server at the same time. */
	double part;
	uint32_t wanted;
	uint32_t
		sent_without; /* requests sent without a permit since the last ask */
	unsigned int rank; /* of the first request that waits */
	uint64_t account; /* hash of its client account */
} gc_permit_ask_t;

typedef struct gc_permit_answer {
	uint64_t server;
	double limit; /* the latest that the issuer knows */
	struct timespec limit_at;
	uint32_t granted;
	/* If fewer were granted than wanted: time until another ask makes sense
	 * for requests of this rank or a higher one. */
	int64_t wait_ms;
	unsigned int rank;
} gc_permit_answer_t;

typedef struct gc_permits gc_permits_t;

/* An issuer. It starts without permits, as it doesn't know what an issuer before
 * it has granted. */
gc_permits_t *gc_permits_create(TALLOC_CTX *mem);
void gc_permits_ask(gc_permits_t *permits, struct timespec now,
		    const gc_permit_ask_t *ask, gc_permit_answer_t *answer);

#endif
