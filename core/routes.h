/*
 * Routes of requests to services, keys of client accounts and limits on what
 * a caller may send: one operator version, immutable once it is built. Shared
 * between threads by reference count.
 */
#ifndef GC_CORE_ROUTES_H
#define GC_CORE_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/str.h"

typedef enum gc_route_kind {
	GC_ROUTE_IDEMPOTENT, /* may run more than once */
	GC_ROUTE_ONCE, /* may run at most once */
	GC_ROUTE_STREAM, /* a series of events */
} gc_route_kind_t;

typedef struct gc_route_share {
	gc_str_t service;
	uint32_t weight; /* relative to the other shares of the route */
} gc_route_share_t;

typedef struct gc_route {
	gc_str_t name;
	gc_str_t host;
	gc_str_t path_prefix; /* begins and ends with a slash */
	gc_route_kind_t kind;
	bool resumable; /* a stream may go on after its last event */
	bool anonymous; /* needs no key */
	gc_route_share_t *shares;
	size_t n_shares;
	uint32_t max_attempts; /* backend servers for one request */
	int64_t timeout_ms; /* longest time until the answer */
	int64_t objective_ms; /* answers (streams: first events) in this time */
	int64_t event_gap_ms; /* longest pause between events in time; 0: none */
} gc_route_t;

typedef struct gc_route_service {
	gc_str_t name;
	uint32_t max_connections; /* to one backend server, from all daemons */
	bool reports_load; /* its servers tell their load */
	bool backs_up; /* its servers can copy a run's memory elsewhere */
} gc_route_service_t;

/* What callers may send. */
typedef struct gc_request_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_ms; /* from a request's first byte to its head */
	int64_t idle_timeout_ms; /* of a connection between requests */
} gc_request_limits_t;

typedef struct gc_routes gc_routes_t;

/* An empty table with one reference. */
gc_routes_t *gc_routes_create(uint64_t version);
gc_routes_t *gc_routes_ref(gc_routes_t *routes);
void gc_routes_unref(gc_routes_t *routes);

/* For the builder; strings and shares are copied. */
void gc_routes_add(gc_routes_t *routes, const gc_route_t *route);
void gc_routes_add_service(gc_routes_t *routes,
			   const gc_route_service_t *service);
void gc_routes_add_key(gc_routes_t *routes, gc_str_t key, gc_str_t account);
void gc_routes_set_limits(gc_routes_t *routes,
			  const gc_request_limits_t *limits);
/* Requests need a key, except on anonymous routes. Without it none does. */
void gc_routes_require_keys(gc_routes_t *routes);

uint64_t gc_routes_version(const gc_routes_t *routes);
const gc_request_limits_t *gc_routes_limits(const gc_routes_t *routes);
/* Number of routes. */
size_t gc_routes_count(const gc_routes_t *routes);
/* The host's route with the longest prefix of the path, or NULL. */
const gc_route_t *gc_routes_find(const gc_routes_t *routes, gc_str_t host,
				 gc_str_t path);
/* The account that holds the key; false if none does. */
bool gc_routes_account(const gc_routes_t *routes, gc_str_t key,
		       gc_str_t *account);
/* True if a request on the route needs a key. */
bool gc_routes_needs_key(const gc_routes_t *routes, const gc_route_t *route);
const gc_route_service_t *gc_routes_service(const gc_routes_t *routes,
					    gc_str_t name);
/*
 * A service of the route in proportion to the weights. random is uniform. A
 * route without a positive weight gives its first service, one without shares
 * an empty string.
 */
gc_str_t gc_route_pick(const gc_route_t *route, uint64_t random);
/* True if a second run of the request is allowed. */
bool gc_route_may_repeat(const gc_route_t *route);

#endif
