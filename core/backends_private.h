/* Backend servers as the files of core/backends see them. */
#ifndef GC_CORE_BACKENDS_PRIVATE_H
#define GC_CORE_BACKENDS_PRIVATE_H

#include <glib.h>

#include "core/backends.h"
#include "core/retry_window.h"

typedef struct service {
	struct service *next;
	gc_str_t name;
	gc_retry_window_t budget;
	double failure_rate; /* smoothed over all servers */
} service_t;

typedef struct domain {
	struct domain *next;
	gc_str_t name;
	gc_str_t service;
	struct timespec failed_at;
	unsigned int n_failed; /* servers, since failed_at */
	struct timespec ejected_until;
	bool ejected;
	unsigned int n_moved; /* servers, since moved_at */
	struct timespec moved_at;
	uint64_t last_move; /* number of the newest one */
} domain_t;

struct gc_backend {
	gc_backends_t *owner; /* NULL once the server has left */
	gc_backend_t *next;
	unsigned int n_refs;
	gc_registry_entry_t entry;
	service_t *service;
	domain_t *domain;
	bool listed;
	bool home; /* this daemon prefers it in its failure domain */
	bool share; /* this daemon prefers it among all */
	uint32_t in_flight;
	uint32_t copies;
	unsigned int failures; /* in a row */
	double failure_rate; /* smoothed */
	bool ejected;
	struct timespec ejected_until;
	bool moved; /* another server answers at its address */
	struct timespec moved_until;
	uint64_t known_after; /* it was there after this many moves */
	struct timespec full_until;
	gc_load_t load; /* as reported */
	bool reported;
	struct timespec reported_at;
};

struct gc_backends {
	gc_backends_conf_t conf;
	gc_backend_t *first;
	gc_backend_t **last; /* the link that ends the list */
	GHashTable *by_id; /* gc_str_t of the entry: gc_backend_t */
	service_t *services;
	domain_t *domains;
	uint64_t n_moves; /* of all servers so far */
	size_t n_daemons; /* in all failure domains, at least 1 */
};

/*
 * True if servers of its failure domain turned out to have been replaced and
 * nothing was heard of this one since.
 */
bool gc_backend_maybe_moved(const gc_backend_t *backend, struct timespec now);
/* True if the server is in this daemon's failure domain. */
bool gc_backends_local(const gc_backends_t *backends,
		       const gc_backend_t *backend);

#endif
