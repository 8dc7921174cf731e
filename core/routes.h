/*
 * Routes of requests to services, keys of client accounts and limits on
 * requests: one version of the operator's configuration. Immutable once built;
 * shared between threads by reference count.
 */
#ifndef GC_CORE_ROUTES_H
#define GC_CORE_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/json_list.h"
#include "core/shared_text.h"
#include "core/str.h"

typedef enum gc_route_kind {
	GC_ROUTE_IDEMPOTENT, /* may be run more than once */
	GC_ROUTE_NON_IDEMPOTENT, /* must be run at most once */
	GC_ROUTE_STREAM, /* answered by a stream of events */
} gc_route_kind_t;

typedef struct gc_route_target {
	gc_str_t service;
	uint32_t weight; /* relative to the other targets of the route */
} gc_route_target_t;

typedef struct gc_route {
	gc_str_t name;
	gc_str_t host;
	gc_str_t path_prefix; /* begins and ends with a slash */
	gc_route_kind_t kind;
	bool resumable; /* a new run can continue a stream */
	bool anonymous; /* needs no key */
	gc_route_target_t *targets;
	size_t n_targets;
	uint32_t max_attempts; /* backend servers that may get one request */
	int64_t timeout_ms; /* maximum time until the answer */
	/* Target for the time to the answer, or to a stream's first event. */
	int64_t target_latency_ms;
	/* Target for the time between events of a stream; 0: none. */
	int64_t target_gap_ms;
	uint32_t priority; /* 0: the most urgent */
} gc_route_t;

typedef struct gc_route_service {
	gc_str_t name;
	uint32_t max_connections; /* to one backend server, from all daemons */
	bool reports_load; /* its servers answer load queries */
	bool copies_kv_cache; /* servers can copy KV caches to each other */
} gc_route_service_t;

typedef struct gc_request_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_ms; /* first byte to end of headers */
	int64_t idle_timeout_ms; /* of a connection, between requests */
} gc_request_limits_t;

typedef struct gc_routes gc_routes_t;

/* An empty table with one reference. */
gc_routes_t *gc_routes_create(uint64_t version);
/* A table with the routes of another one, which it shares, and nothing else of it. */
gc_routes_t *gc_routes_create_after(const gc_routes_t *former,
				    uint64_t version);
/* One that shares all but the version and the record. Only its routes may change. */
gc_routes_t *gc_routes_create_same(const gc_routes_t *former, uint64_t version);
gc_routes_t *gc_routes_ref(gc_routes_t *routes);
void gc_routes_unref(gc_routes_t *routes);

/* A copy of the route, its targets and strings, with one reference. References may be
 * taken and dropped in any thread. */
gc_route_t *gc_route_create(const gc_route_t *route);
gc_route_t *gc_route_ref(gc_route_t *route);
void gc_route_unref(gc_route_t *route);

/* The functions below build a table that is not shared yet. Strings are copied. */

/* Takes a reference to the route, of gc_route_create. False if there is a route with
 * the same host and path prefix. */
bool gc_routes_add(gc_routes_t *routes, gc_route_t *route);
/* Notes that a route was left out for that reason. */
void gc_routes_set_duplicates(gc_routes_t *routes);
bool gc_routes_has_duplicates(const gc_routes_t *routes);
/* Removes a route that was added. */
void gc_routes_remove(gc_routes_t *routes, const gc_route_t *route);
/* Takes ownership of a reference to the record that the table was read from, and of the
 * list of its routes, NULL for none. */
void gc_routes_set_record(gc_routes_t *routes, gc_shared_text_t *record,
			  gc_json_list_t *list);
void gc_routes_add_service(gc_routes_t *routes,
			   const gc_route_service_t *service);
void gc_routes_add_key(gc_routes_t *routes, gc_str_t key, gc_str_t account);
/* Goes before the priority of routes; see gc_route_t. */
void gc_routes_set_account_priority(gc_routes_t *routes, gc_str_t account,
				    uint32_t priority);
void gc_routes_set_limits(gc_routes_t *routes,
			  const gc_request_limits_t *limits);
/* Makes requests need a key, except on anonymous routes; off by default. */
void gc_routes_require_keys(gc_routes_t *routes);

/* Empty if it isn't known. */
gc_str_t gc_routes_record(const gc_routes_t *routes);
/* The id of the record's text; 0 if it isn't known. */
uint64_t gc_routes_record_id(const gc_routes_t *routes);
const gc_json_list_t *gc_routes_list(const gc_routes_t *routes);
uint64_t gc_routes_version(const gc_routes_t *routes);
const gc_request_limits_t *gc_routes_limits(const gc_routes_t *routes);
size_t gc_routes_count(const gc_routes_t *routes);
/* The host's route with the longest matching path prefix, or NULL. */
const gc_route_t *gc_routes_find(const gc_routes_t *routes, gc_str_t host,
				 gc_str_t path);
/* Sets *account to the owner of the key; false if the key is unknown. */
bool gc_routes_find_account(const gc_routes_t *routes, gc_str_t key,
			    gc_str_t *account);
/* True if a request on the route needs a key. */
bool gc_routes_needs_key(const gc_routes_t *routes, const gc_route_t *route);
/* Priority of the account's requests, on any route; false if it has none. */
bool gc_routes_account_priority(const gc_routes_t *routes, gc_str_t account,
				uint32_t *priority);
/* Streams of a higher priority number count as of this one. */
#define GC_MAX_STREAM_PRIORITY 3
/* The most and the least urgent priority of the streaming routes to the service;
 * false if there are none. */
bool gc_routes_stream_priorities(const gc_routes_t *routes, gc_str_t service,
				 uint32_t *first, uint32_t *last);
/* Priority of the account's requests on the route. */
uint32_t gc_routes_priority(const gc_routes_t *routes, const gc_route_t *route,
			    gc_str_t account);
/* NULL if the service is unknown. */
const gc_route_service_t *gc_routes_find_service(const gc_routes_t *routes,
						 gc_str_t name);
/* True if the service is listed or a target of a route. */
bool gc_routes_names_service(const gc_routes_t *routes, gc_str_t name);
/*
 * Chooses a service of the route with a probability in proportion to its
 * weight; random has 64 uniform bits. Returns the first service if all weights
 * are 0, an empty string if the route has no targets.
 */
gc_str_t gc_route_choose_service(const gc_route_t *route, uint64_t random);
/* True if the request may be run more than once. */
bool gc_route_allows_rerun(const gc_route_t *route);

#endif
