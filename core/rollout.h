/*
 * Roll-outs: an operator orders that the requests of a service move to backend
 * servers of another software version. While the version is being judged, a small
 * share of the requests goes there. Types shared by the modules of a roll-out, and
 * the split of requests, which every daemon makes for itself.
 */
#ifndef GC_CORE_ROLLOUT_H
#define GC_CORE_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "core/str.h"

typedef enum gc_rollout_state {
	GC_ROLLOUT_RUNNING,
	GC_ROLLOUT_SUCCEEDED,
	GC_ROLLOUT_ROLLED_BACK,
} gc_rollout_state_t;

/* What the operator orders. */
typedef struct gc_rollout_order {
	gc_str_t service;
	gc_str_t target; /* software version */
	int64_t duration_ms; /* until it has to be decided */
	uint64_t id; /* revision of its item in the store */
} gc_rollout_order_t;

/* Share of a route's new requests that go to the target. */
typedef struct gc_rollout_route_share {
	uint64_t route; /* see gc_rollout_route_hash */
	double share; /* from 0 to 1 */
} gc_rollout_route_share_t;

/* The record of a service's roll-out in the store. */
typedef struct gc_rollout_record {
	gc_str_t service;
	gc_str_t target;
	gc_rollout_state_t state;
	gc_str_t reason; /* of the state, for the operator; may be empty */
	uint64_t order; /* id of the order; 0: one that could not be read */
	int64_t duration_ms;
	/* Time of day of the first record of the order, in ms since the Unix epoch.
	 * Only for daemons that did not see the order come. */
	int64_t started_ms;
	double share; /* of routes that `routes` doesn't name; while running */
	const gc_rollout_route_share_t *routes; /* sorted by route */
	size_t n_routes;
	/* Versions that get no new request. */
	const gc_str_t *barred;
	size_t n_barred;
	uint64_t revision; /* of its item in the store; 0: not stored */
} gc_rollout_record_t;

/* Bounds on what a bad version may get, from the settings. */
typedef struct gc_rollout_limits {
	/* Of the requests that reach the service from the order to the end of its
	 * time; 0: roll-outs are not enabled. */
	double share;
	uint32_t slack; /* requests beyond the share */
	/* From the 50th bad answer until no request reaches the version. */
	int64_t withdraw_ms;
} gc_rollout_limits_t;

/* Copies the record and all that it points to into mem. */
gc_rollout_record_t *gc_rollout_record_copy(TALLOC_CTX *mem,
					    const gc_rollout_record_t *record);
uint64_t gc_rollout_route_hash(gc_str_t route_name);
/* True if new requests don't go to the version, whatever their share. */
bool gc_rollout_is_barred(const gc_rollout_record_t *record, gc_str_t version);
/*
 * True if the new request goes to the target. request_id: of the attempt of the
 * caller, so that the same request is split alike by all daemons.
 */
bool gc_rollout_selects(const gc_rollout_record_t *record, uint64_t route,
			gc_str_t request_id);
/*
 * Number of the target's servers that get new requests while the version is judged,
 * so that each has the load that it would have if all requests went to the target.
 * At least 1 if there are any.
 */
size_t gc_rollout_n_judged_servers(const gc_rollout_record_t *record,
				   size_t n_target_servers);

#endif
