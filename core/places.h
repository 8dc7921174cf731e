/*
 * Places at brittle backend servers, which fall over when they have to turn many
 * requests away. A place is leave for one request to be in flight at the server.
 * What a server has room for holds for all daemons together, so one daemon, the
 * issuer, grants the places of a server to all of them.
 */
#ifndef GC_CORE_PLACES_H
#define GC_CORE_PLACES_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

/* A server that isn't brittle. */
#define GC_NOT_BRITTLE (-1.0)

/* How long a granted place may stay unused, from its arrival. */
#define GC_PLACE_VALID_MS 100
/* Longest wait of an ask at the issuer. */
#define GC_PLACE_WAIT_MS 30
/* How often a daemon with places names them anew, so that they don't run out. */
#define GC_PLACES_REPORT_MS 400

typedef struct gc_place_ask {
	uint64_t server; /* its incarnation */
	uint64_t daemon; /* hash of the name of the asking daemon */
	/* Rises with each ask of the daemon for the server, also after a restart. */
	uint64_t number;
	/* The server falls over when it turns more requests a second away;
	 * GC_NOT_BRITTLE. */
	double brittle;
	struct timespec brittle_at; /* when the server said so */
	/* The part of the places that the issuer may grant. Below 1 if others may
	 * grant places of the server at the same time. */
	double part;
	uint32_t slots; /* requests that the server runs at once */
	uint32_t held; /* requests in flight, and unused places */
	uint32_t got; /* granted places that have arrived so far */
	uint32_t turned_away; /* requests, since the last ask */
	uint32_t wanted; /* 0: the ask only tells what is held */
	unsigned int rank; /* of the first request that waits, as for permits */
} gc_place_ask_t;

typedef struct gc_place_answer {
	uint64_t server;
	double brittle; /* the latest that the issuer knows */
	struct timespec brittle_at;
	bool to_ask; /* answers an ask that wanted places */
	uint32_t granted;
	/* If none was granted: time until another ask makes sense for requests
	 * of this rank or a higher one. */
	int64_t wait_ms;
	unsigned int rank;
} gc_place_answer_t;

typedef struct gc_places gc_places_t;

/* An issuer. What daemons hold it learns from their asks. */
gc_places_t *gc_places_create(TALLOC_CTX *mem);
/* The part of the daemons that ask for places, 1 by default. Others are of an older
 * build and send without: their part of the room is left to them. */
void gc_places_set_asking_part(gc_places_t *places, double part);
/*
 * False if the ask waits for a place; gc_places_next answers it within
 * GC_PLACE_WAIT_MS. token identifies it there; the answer grants nothing then.
 */
bool gc_places_ask(gc_places_t *places, struct timespec now,
		   const gc_place_ask_t *ask, void *token,
		   gc_place_answer_t *answer);
/*
 * The token of an ask that waited and has its answer now, or NULL. To be called
 * until it returns NULL, after each ask and each few ms while asks wait.
 */
void *gc_places_next(gc_places_t *places, struct timespec now,
		     gc_place_answer_t *answer);
/* Drops an ask that waits. */
void gc_places_cancel(gc_places_t *places, void *token);
/* True if the daemon has asked for places of the server. */
bool gc_places_knows(const gc_places_t *places, uint64_t server,
		     uint64_t daemon);

#endif
