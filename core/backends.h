/*
 * One daemon's view of the backend servers: its requests in flight, failures,
 * ejections, load reports, and the choice of a server. Not thread-safe; each
 * traffic thread has its own.
 */
#ifndef GC_CORE_BACKENDS_H
#define GC_CORE_BACKENDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/attempts.h"
#include "core/permits.h"
#include "core/placement.h"
#include "core/places.h"
#include "core/registry.h"
#include "core/routes.h"
#include "core/str.h"

/* Maximum number of servers that gc_backends_candidates returns. */
#define GC_CANDIDATES_MAX 8

typedef struct gc_backends gc_backends_t;
typedef struct gc_backend gc_backend_t;

typedef struct gc_backends_conf {
	gc_str_t failure_domain; /* of this daemon */
	const gc_random_t *random;
	/* Retries allowed per first request of a service, fleet-wide. */
	double repeat_ratio;
	/* Retries allowed in addition per window, fleet-wide. */
	uint32_t repeat_slack;
	int64_t repeat_window_ms;
} gc_backends_conf_t;

/* Load as reported by the server; some hundred ms old. */
typedef struct gc_backend_load {
	uint32_t running;
	uint32_t queued; /* waiting or in prefill */
	/* KV cache, in tokens; kv_used is not evictable. kv_total 0: unknown. */
	int64_t kv_used;
	int64_t kv_total;
	/* Start of the server that reports, in ms since the Unix epoch; 0: not
	 * given. */
	int64_t started_ms;
} gc_backend_load_t;

typedef struct gc_backend_set {
	gc_backend_t *const *list;
	size_t n;
	/* If data isn't NULL, all servers of other versions belong to the set. */
	gc_str_t only_version;
	/* If data isn't NULL, the servers of this version do, too. */
	gc_str_t not_version;
	/* And those of these versions. */
	const gc_str_t *barred;
	size_t n_barred;
	/* And those that come later than this one in the order of
	 * gc_backends_nth_judged; NULL: none. */
	const gc_backend_t *last_judged;
	uint64_t judged_key; /* of that order */
} gc_backend_set_t;

/* The prompt of a stream. */
typedef struct gc_prompt {
	uint64_t hash;
	bool resumed; /* the caller has events: a server has read the prompt */
	int64_t tokens; /* of the prompt; 0: unknown */
	int64_t max_output_tokens;
} gc_prompt_t;

gc_backends_t *gc_backends_create(TALLOC_CTX *mem,
				  const gc_backends_conf_t *conf);
/* Index of this daemon among the daemons in the order of their ids. */
typedef struct gc_daemon_rank {
	size_t local; /* in its failure domain, from 0 */
	size_t n_local; /* daemons of the failure domain */
	size_t all; /* in the fleet, from 0 */
	size_t n_all; /* daemons of the fleet, which share the retry budget */
} gc_daemon_rank_t;

/*
 * Sets the routes that the next list of servers is read with, and takes a
 * reference; NULL (the default): all services are named. A server of a service
 * that they don't name supersedes none of a named one.
 */
void gc_backends_set_routes(gc_backends_t *backends, gc_routes_t *routes);
/*
 * Replaces the list of servers; `servers` is in the order of ids. The rank
 * decides which servers this daemon prefers, so that daemons, which don't know
 * each other's requests, rarely choose the same server.
 */
void gc_backends_sync(gc_backends_t *backends,
		      const gc_registry_entry_t *servers, size_t n,
		      const gc_daemon_rank_t *rank);
/* True if a request that avoids these servers doesn't go to this one. */
bool gc_backend_is_avoided(const gc_backend_t *backend,
			   const gc_backend_set_t *avoid);
/* True if it doesn't go there for the server's version. */
bool gc_backend_is_version_avoided(const gc_backend_t *backend,
				   const gc_backend_set_t *avoid);
/*
 * The n-th, from 0, of the sound servers of the service and version, in an order by
 * the hash of key and server id, which is the same in all daemons; the last one if
 * there are fewer, NULL if there is none.
 */
gc_backend_t *gc_backends_nth_judged(const gc_backends_t *backends,
				     struct timespec now, gc_str_t service,
				     gc_str_t version, uint64_t key, size_t n);
size_t gc_backends_count_sound(const gc_backends_t *backends,
			       struct timespec now, gc_str_t service,
			       gc_str_t version);
/*
 * The best server of the service, preferably in this daemon's failure domain,
 * or NULL. Servers in `avoid` (may be NULL), draining, leaving, pausing and
 * limited ones without a permit are never chosen, those that were ejected with
 * their failure domain, and then ejected or replaced ones, only if no other is
 * left.
 */
gc_backend_t *gc_backends_choose(gc_backends_t *backends, struct timespec now,
				 gc_str_t service,
				 const gc_backend_set_t *avoid);
/* The same, but never an ejected or replaced one. */
gc_backend_t *gc_backends_choose_usable(gc_backends_t *backends,
					struct timespec now, gc_str_t service,
					const gc_backend_set_t *avoid);
/*
 * Servers of the service that would accept requests, if all of them are ejected;
 * otherwise 0.
 */
size_t gc_backends_count_ejected(const gc_backends_t *backends,
				 struct timespec now, gc_str_t service);
/* The servers of the service in turn, ejected or not, except those that leave or
 * pause; NULL if there is none. */
gc_backend_t *gc_backends_nth(const gc_backends_t *backends,
			      struct timespec now, gc_str_t service,
			      unsigned int n);
/* The server of the service with the fewest requests for which fn is true, and
 * that accepts requests, ejected or not; NULL if there is none. */
gc_backend_t *
gc_backends_choose_if(gc_backends_t *backends, struct timespec now,
		      gc_str_t service, const gc_backend_set_t *avoid,
		      bool (*fn)(void *ctx, const gc_backend_t *backend),
		      void *ctx);
/* A usable server of any other service, or NULL. */
gc_backend_t *gc_backends_choose_elsewhere(gc_backends_t *backends,
					   struct timespec now,
					   gc_str_t service,
					   const gc_backend_set_t *avoid);
/* True if a server of the service and version is listed and not leaving. */
bool gc_backends_has_version(const gc_backends_t *backends, gc_str_t service,
			     gc_str_t version);
/*
 * Stores the servers of the service to be asked for their load, best first, at
 * most max, and returns their number. They come from all failure domains: if
 * all streams of a daemon ran in one domain, the loss of that domain would
 * break them all and use up the daemon's part of the retry budget. Each
 * prompt (NULL: unknown) has servers that all daemons prefer for it, so that a
 * repeat of the request finds its prompt read there, also after the daemon that
 * sent it first has died.
 */
size_t gc_backends_candidates(gc_backends_t *backends, struct timespec now,
			      gc_str_t service, const gc_prompt_t *prompt,
			      const gc_backend_set_t *avoid,
			      gc_backend_t **candidates, size_t max);
/*
 * The best server of a set by its current score, except those that have begun
 * to drain, leave or pause or were removed since; NULL if there is none.
 */
gc_backend_t *gc_backends_best_of(gc_backends_t *backends, struct timespec now,
				  const gc_prompt_t *prompt,
				  const gc_backend_set_t *set);
/*
 * False if the server's latest report shows that its memory is too small for
 * the stream beside those that run or wait there. A server that runs out of
 * memory preempts streams and reads their prompts again later.
 */
bool gc_backend_has_room(const gc_backend_t *backend, struct timespec now,
			 const gc_prompt_t *prompt);
/*
 * The server that should hold the copy of a run's KV cache: one with few copies
 * and, if possible, in another failure domain than `run_backend`, the server of
 * the run. NULL if there is none.
 */
gc_backend_t *gc_backends_choose_copy_holder(gc_backends_t *backends,
					     struct timespec now,
					     const gc_backend_t *run_backend,
					     const gc_backend_set_t *avoid);
/*
 * True if the server is listed, not limited without a permit, and neither
 * draining, leaving, pausing, replaced nor ejected, by itself or with its failure
 * domain.
 */
bool gc_backend_usable(const gc_backend_t *backend, struct timespec now);
/* The same, but it may lack a permit or a place. */
bool gc_backend_is_sound(const gc_backend_t *backend, struct timespec now);

/* A reference keeps the object valid after its server has been removed. */
gc_backend_t *gc_backend_ref(gc_backend_t *backend);
void gc_backend_unref(gc_backend_t *backend);
/* Count this daemon's requests in flight at the server. */
void gc_backend_add_request(gc_backend_t *backend);
void gc_backend_remove_request(gc_backend_t *backend);
/* Count the KV cache copies that the server holds for runs of this daemon. */
void gc_backend_add_copy(gc_backend_t *backend);
void gc_backend_remove_copy(gc_backend_t *backend);
/* Records a complete, successful answer and ends the server's ejection. */
void gc_backend_record_success(gc_backend_t *backend);
/* Records that the server sent data, on any connection. */
void gc_backend_record_heard(gc_backend_t *backend, struct timespec now);
/* When it last did; zero: never. */
struct timespec gc_backend_heard_at(const gc_backend_t *backend);
/* Of any server of the service. */
struct timespec gc_backends_heard_at(const gc_backends_t *backends,
				     gc_str_t service);
/* Servers of the service that don't leave or pause. */
size_t gc_backends_count(const gc_backends_t *backends, struct timespec now,
			 gc_str_t service);
/* Ends the ejection of a server that sent data, but no complete answer yet. */
void gc_backend_record_activity(gc_backend_t *backend);
void gc_backend_record_failure(gc_backend_t *backend, struct timespec now,
			       gc_attempt_end_t end);

/* Ejects the server as after a failure, which says nothing about others. */
void gc_backend_eject(gc_backend_t *backend, struct timespec now);
/* Stores the load that the server reported and ends its ejection. */
void gc_backend_record_load(gc_backend_t *backend, struct timespec now,
			    const gc_backend_load_t *load);
/* The server responded to a load query with no report. True if it had not since its
 * last one. */
bool gc_backend_set_unreported(gc_backend_t *backend);

/*
 * Records that the server said that it is leaving. It is never chosen again,
 * whatever its entry says; a new incarnation is another object.
 */
void gc_backend_record_leaving(gc_backend_t *backend);

/*
 * Records that the server wants nothing from this daemon for `ms`. A random
 * time is added, so that the daemons don't all return at once. A pause that ends
 * later is kept.
 */
void gc_backend_record_pause(gc_backend_t *backend, struct timespec now,
			     int64_t ms);
/* True if the server wants nothing from this daemon: no request, no query. */
bool gc_backend_is_pausing(const gc_backend_t *backend, struct timespec now);
/*
 * Time in ms until the first server of the service accepts requests again, if
 * all that would do so are pausing or have refused permits; otherwise 0.
 */
int64_t gc_backends_earliest_return(const gc_backends_t *backends,
				    struct timespec now, gc_str_t service);
/* True if a server of the service could be used, had this daemon a permit or a place
 * there. */
bool gc_backends_has_full(const gc_backends_t *backends, struct timespec now,
			  gc_str_t service, const gc_backend_set_t *avoid);

/* Counts a first request, which adds repeat_ratio to the retry budget. */
void gc_backends_count_request(gc_backends_t *backends, struct timespec now,
			       gc_str_t service);
/* False if the service's retry budget is used up. */
bool gc_backends_has_retry(gc_backends_t *backends, struct timespec now,
			   gc_str_t service);
/* Takes one retry from the service's budget; false if it is used up. */
bool gc_backends_take_retry(gc_backends_t *backends, struct timespec now,
			    gc_str_t service);
/* Gives back one with which nothing was sent to a server. */
void gc_backends_return_retry(gc_backends_t *backends, gc_str_t service,
			      struct timespec taken);
/* Time in ms until the n-th retry of the service from now on, or -1 if it is later
 * than in max_ms; see gc_retry_window_turn_ms. */
int64_t gc_backends_retry_turn_ms(gc_backends_t *backends, struct timespec now,
				  gc_str_t service, unsigned int n,
				  int64_t max_ms);

/*
 * Records the requests a second that the server takes from all daemons together,
 * or GC_NO_LIMIT. A new incarnation has none.
 */
void gc_backend_record_limit(gc_backend_t *backend, struct timespec now,
			     double limit);
/* The last recorded limit. */
double gc_backend_limit(const gc_backend_t *backend);
/*
 * The server that should be asked for a permit or a place because it scores better
 * than `chosen` (NULL: than none) but can't be chosen without one; NULL if there is
 * none, or if no ask makes sense yet for requests of this rank. Ejected ones as in
 * gc_backends_choose.
 */
gc_backend_t *gc_backends_choose_to_ask(gc_backends_t *backends,
					struct timespec now, gc_str_t service,
					const gc_prompt_t *prompt,
					const gc_backend_set_t *avoid,
					const gc_backend_t *chosen,
					unsigned int rank);
/* True if there is such a server that isn't ejected. */
bool gc_backends_may_ask_usable(gc_backends_t *backends, struct timespec now,
				gc_str_t service, const gc_backend_set_t *avoid,
				unsigned int rank);
/* True if the server needs a permit that this daemon lacks, and may be asked for
 * one. */
bool gc_backend_may_ask(const gc_backend_t *backend, struct timespec now,
			unsigned int rank);
/* True if the server has ended its limit, and its issuer hasn't been told. */
bool gc_backend_limit_ended(const gc_backend_t *backend);
/* Fills in the server's part of an ask and records that it is under way. */
void gc_backend_begin_ask(gc_backend_t *backend, struct timespec now,
			  gc_permit_ask_t *ask);
/* The server, or NULL if it has been removed. */
gc_backend_t *gc_backends_record_permits(gc_backends_t *backends,
					 struct timespec now,
					 const gc_permit_answer_t *answer);
/*
 * To be called for everything that is sent to the server: uses up a permit. What
 * is sent without one is named in the next ask, so that it counts.
 */
void gc_backend_use_permit(gc_backend_t *backend, struct timespec now);
/* True if a server of the service limits its requests. */
bool gc_backends_is_limited(const gc_backends_t *backends, gc_str_t service);

/*
 * Records how many requests a second the server turns away at most before it
 * falls over, or GC_NOT_BRITTLE.
 */
void gc_backend_record_brittle(gc_backend_t *backend, struct timespec now,
			       double brittle);
/* The last recorded value. */
double gc_backend_brittle(const gc_backend_t *backend);
/* Like gc_backend_may_ask, for places. */
bool gc_backend_may_ask_place(const gc_backend_t *backend, struct timespec now,
			      unsigned int rank);
/* True if the server lacks a permit or a place, and may be asked for all that it
 * lacks. */
bool gc_backend_may_ask_any(const gc_backend_t *backend, struct timespec now,
			    unsigned int rank);
/* Fills in the server's part of an ask for places. */
void gc_backend_begin_place_ask(gc_backend_t *backend, struct timespec now,
				gc_place_ask_t *ask);
/* True if the issuer should be told what this daemon has in flight there. */
bool gc_backend_is_place_report_due(const gc_backend_t *backend,
				    struct timespec now);
/* The server, or NULL if it has been removed. */
gc_backend_t *gc_backends_record_places(gc_backends_t *backends,
					struct timespec now,
					const gc_place_answer_t *answer);
/* Gives back unused places, if there are any; those of requests that still run are
 * kept. */
bool gc_backend_drop_unused_places(gc_backend_t *backend);
/* To be called when a request in flight is left to itself: the server may go on
 * with it for a while. */
void gc_backend_abandon_request(gc_backend_t *backend, struct timespec now);
/* The first server, or the one after `after`, whose issuer should be told, or
 * NULL. */
gc_backend_t *gc_backends_next_place_report(gc_backends_t *backends,
					    const gc_backend_t *after,
					    struct timespec now);
/* True if a server of the service is brittle or limits its requests. */
bool gc_backends_is_restricted(const gc_backends_t *backends, gc_str_t service);

/* True if the server is draining, leaving or removed. */
bool gc_backend_is_leaving(const gc_backend_t *backend);
/* Hash of the id, the address and the start time, the same in all daemons. */
uint64_t gc_backend_incarnation(const gc_backend_t *backend);
/* False if the report names another start: this server has ended, and what answers at
 * its address says nothing of its requests. */
bool gc_backend_is_report_of(const gc_backend_t *backend,
			     const gc_backend_load_t *load);
/* The server with this incarnation, or NULL. */
gc_backend_t *gc_backends_find_incarnation(const gc_backends_t *backends,
					   uint64_t incarnation);
/* The same for the entry of a server. */
uint64_t gc_server_incarnation(const gc_registry_entry_t *entry);
/*
 * True if a server that started later has the id or the address of this one,
 * which has ended therefore. One of a service that the routes don't name doesn't
 * show that.
 */
bool gc_backends_has_successor(const gc_backends_t *backends,
			       const gc_backend_t *backend);
gc_str_t gc_backend_id(const gc_backend_t *backend);
gc_str_t gc_backend_service(const gc_backend_t *backend);
gc_str_t gc_backend_address(const gc_backend_t *backend);
/* Of the server's software. */
gc_str_t gc_backend_version(const gc_backend_t *backend);
gc_str_t gc_backend_domain(const gc_backend_t *backend);
/* True if the server has been removed; references may still exist. */
bool gc_backend_is_removed(const gc_backend_t *backend);
uint32_t gc_backend_in_flight(const gc_backend_t *backend);

#endif
