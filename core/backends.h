/*
 * One daemon's view of the backend servers: requests of its own in flight,
 * failures it met, ejection, and the choice of a server. Used by one traffic
 * thread.
 */
#ifndef GC_CORE_BACKENDS_H
#define GC_CORE_BACKENDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/attempts.h"
#include "core/placement.h"
#include "core/registry.h"
#include "core/str.h"

/* Servers that gc_backends_candidates names at most. */
#define GC_CANDIDATES_MAX 8

typedef struct gc_backends gc_backends_t;
typedef struct gc_backend gc_backend_t;

typedef struct gc_backends_conf {
	gc_str_t failure_domain; /* of this daemon */
	const gc_random_t *random;
	/* Repeats allowed for each first request of a service, fleet-wide. */
	double repeat_ratio;
	/* Repeats allowed beyond it in a window, fleet-wide. */
	uint32_t repeat_slack;
	int64_t repeat_window_ms;
} gc_backends_conf_t;

/* A server's own report of its load; lags by some hundred ms. */
typedef struct gc_load {
	uint32_t running;
	uint32_t queued; /* these wait, or read their prompt */
	double memory; /* part in use that can't be freed, 0 to 1 */
} gc_load_t;

/* A set of servers. */
typedef struct gc_backend_set {
	gc_backend_t *const *list;
	size_t n;
} gc_backend_set_t;

gc_backends_t *gc_backends_create(TALLOC_CTX *mem,
				  const gc_backends_conf_t *conf);
/* This daemon's place among the daemons, in the order of their ids. */
typedef struct gc_rank {
	size_t local; /* in its failure domain, from 0 */
	size_t n_local; /* daemons of the failure domain */
	size_t all; /* in the fleet, from 0 */
	size_t n_all; /* daemons of the fleet, which share the repeat budget */
} gc_rank_t;

/*
 * Takes the servers that exist, in the order of ids. Each daemon prefers other
 * servers, by its rank, so that daemons that cannot see each other's requests
 * rarely meet.
 */
void gc_backends_sync(gc_backends_t *backends,
		      const gc_registry_entry_t *servers, size_t n,
		      const gc_rank_t *rank);
/*
 * The best server of the service, or NULL; a near one if possible. Servers in
 * `avoid` and draining ones are never chosen, ejected ones only if no other is
 * left.
 */
gc_backend_t *gc_backends_choose(gc_backends_t *backends, struct timespec now,
				 gc_str_t service,
				 const gc_backend_set_t *avoid);
/*
 * Servers of the service that are worth a question for their load, the best
 * first; at most max. Returns their number. They are of all failure domains:
 * if a daemon's streams were in one, its loss would break them all and use up
 * the daemon's part of the repeat budget.
 */
size_t gc_backends_candidates(gc_backends_t *backends, struct timespec now,
			      gc_str_t service, const gc_backend_set_t *avoid,
			      gc_backend_t **candidates, size_t max);
/* The best server of a set by what is known now; NULL if it is empty. */
gc_backend_t *gc_backends_best_of(gc_backends_t *backends, struct timespec now,
				  const gc_backend_set_t *set);
/*
 * The server that should hold the copy of a run's memory: in another failure
 * domain than the run if possible, with few copies. NULL if there is none.
 */
gc_backend_t *gc_backends_choose_copy(gc_backends_t *backends,
				      struct timespec now,
				      const gc_backend_t *run,
				      const gc_backend_set_t *avoid);
/* True if requests can go to it now: known, not draining, not ejected. */
bool gc_backend_usable(const gc_backend_t *backend, struct timespec now);

/* A reference keeps the object after its server has left. */
gc_backend_t *gc_backend_ref(gc_backend_t *backend);
void gc_backend_unref(gc_backend_t *backend);
/* A request of this daemon starts and ends there. */
void gc_backend_begin(gc_backend_t *backend);
void gc_backend_end(gc_backend_t *backend);
/* A copy is kept there for a run of this daemon, and no longer. */
void gc_backend_begin_copy(gc_backend_t *backend);
void gc_backend_end_copy(gc_backend_t *backend);
/* A good answer. */
void gc_backend_succeeded(gc_backend_t *backend);
/* A sign of life: ends an ejection, but is no answer. */
void gc_backend_alive(gc_backend_t *backend);
void gc_backend_failed(gc_backend_t *backend, struct timespec now,
		       gc_attempt_end_t end);

/* What the server said of itself. */
void gc_backend_report(gc_backend_t *backend, struct timespec now,
		       const gc_load_t *load);

/* A first request for the service, which allows a part of a repeat. */
void gc_backends_count_request(gc_backends_t *backends, struct timespec now,
			       gc_str_t service);
/* Takes one repeat from the service's budget; false if it is used up. */
bool gc_backends_take_repeat(gc_backends_t *backends, struct timespec now,
			     gc_str_t service);

gc_str_t gc_backend_id(const gc_backend_t *backend);
gc_str_t gc_backend_address(const gc_backend_t *backend);
gc_str_t gc_backend_domain(const gc_backend_t *backend);
bool gc_backend_gone(const gc_backend_t *backend);
uint32_t gc_backend_in_flight(const gc_backend_t *backend);

#endif
