/* Data structures shared by core/backends.c and core/backends_choose.c. */
#ifndef GC_CORE_BACKENDS_PRIVATE_H
#define GC_CORE_BACKENDS_PRIVATE_H

#include <glib.h>

#include "core/backends.h"
#include "core/retry_window.h"

typedef struct service {
	struct service *next;
	gc_str_t name;
	gc_retry_window_t retries;
	double failure_rate; /* moving average over all servers */
	size_t n_servers;
	bool may_be_brittle; /* a server; false: none is */
} service_t;

/* The servers of one service in one failure domain. */
typedef struct domain {
	struct domain *next;
	gc_str_t name;
	gc_str_t service;
	struct timespec failed_at; /* start of the failure window */
	unsigned int n_failed; /* servers that failed since failed_at */
	struct timespec ejected_until;
	bool ejected;
	unsigned int n_replaced; /* replaced servers found recently */
	struct timespec replaced_at; /* when the last of them was found */
	uint64_t last_replacement; /* n_replacements after the last one */
} domain_t;

/* This daemon's places at a server while that is brittle. */
typedef struct place_state {
	double brittle; /* requests turned away in a second; GC_NOT_BRITTLE */
	struct timespec brittle_at; /* when the server said so */
	uint32_t unused; /* granted */
	struct timespec unused_until;
	/* Requests that were left to themselves may still be in flight. */
	uint32_t abandoned;
	struct timespec abandoned_until;
	uint64_t number; /* of the last ask */
	uint32_t got;
	uint32_t turned_away; /* since the last ask */
	bool asked; /* without an answer yet */
	struct timespec asked_at;
	struct timespec denied_until;
	unsigned int denied_rank; /* of the requests that wait until then */
	bool changed; /* since the last ask */
	struct timespec told_at; /* time of the last ask */
} place_state_t;

struct gc_backend {
	gc_backends_t *owner; /* NULL once the server has been removed */
	gc_backend_t *next;
	unsigned int n_refs;
	gc_registry_entry_t entry;
	uint64_t id_hash;
	uint64_t incarnation; /* see gc_backend_incarnation */
	service_t *service;
	domain_t *domain;
	bool listed;
	bool leaving; /* as it said itself */
	struct timespec paused_until;
	double limit; /* requests a second; GC_NO_LIMIT */
	struct timespec limit_at; /* when the server said so */
	bool limit_ended; /* since the last ask */
	/* Permits for requests while the server limits them. */
	uint32_t permits;
	struct timespec permits_until;
	bool permits_asked; /* without an answer yet */
	struct timespec asked_at;
	struct timespec denied_until;
	unsigned int denied_rank; /* of the requests that wait until then */
	uint32_t sent_without_permit; /* since the last ask */
	place_state_t places;
	bool preferred_local; /* preferred in this daemon's failure domain */
	bool preferred; /* preferred among the servers of all domains */
	uint32_t in_flight;
	uint32_t copies;
	unsigned int failures; /* consecutive */
	double failure_rate; /* moving average */
	bool ejected;
	struct timespec ejected_until;
	bool replaced; /* another server answers at its address */
	struct timespec replaced_until;
	uint64_t confirmed_replacement; /* n_replacements at its last answer */
	struct timespec refused_until;
	gc_backend_load_t load; /* as reported */
	bool reported;
	bool unreported; /* its last response to a load query was no report */
	struct timespec reported_at;
	struct timespec heard_at; /* last byte; zero: none */
};

struct gc_backends {
	gc_backends_conf_t conf;
	gc_routes_t *routes; /* NULL: not known */
	gc_backend_t *first;
	gc_backend_t **last; /* the link that ends the list */
	GHashTable *by_id; /* gc_str_t of the entry: gc_backend_t */
	service_t *services;
	domain_t *domains;
	uint64_t n_replacements; /* found so far, of all servers */
	size_t n_daemons; /* in all failure domains, at least 1 */
};

/*
 * True if several servers of its failure domain were recently found to have
 * been replaced and this one has not answered since.
 */
bool gc_backend_maybe_replaced(const gc_backend_t *backend,
			       struct timespec now);
/* Uniform in [0, 1). */
double gc_backends_random_unit(const gc_backends_t *backends);
/* Permits that can be used now; UINT32_MAX without a limit. */
uint32_t gc_backend_usable_permits(const gc_backend_t *backend,
				   struct timespec now);
/* Unused places; UINT32_MAX if the server isn't brittle. */
uint32_t gc_backend_usable_places(const gc_backend_t *backend,
				  struct timespec now);
/* A request that begins uses up a place. Both are called with each change of
 * in_flight. */
void gc_backend_use_place(gc_backend_t *backend);
void gc_backend_release_place(gc_backend_t *backend);
/* To be called when the server has turned a request away. */
void gc_backend_record_turned_away(gc_backend_t *backend);
/* A server that starts beside brittle ones counts as one until it answers. */
void gc_backend_init_places(gc_backend_t *backend);
/* True if the server is in this daemon's failure domain. */
bool gc_backend_is_local(const gc_backends_t *backends,
			 const gc_backend_t *backend);

#endif
