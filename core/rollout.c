/* Split of requests during a roll-out, and copies of its record. */
#include <math.h>
#include <stdlib.h>

#include <glib.h>
#include <xxhash.h>

#include "core/rollout.h"

/* 2^-64: maps a hash to [0, 1). */
#define HASH_UNIT 0x1p-64

static int compare_route(const void *key, const void *entry);
static double share_of(const gc_rollout_record_t *record, uint64_t route);

gc_rollout_record_t *gc_rollout_record_copy(TALLOC_CTX *mem,
					    const gc_rollout_record_t *record)
{
	gc_rollout_record_t *copy = talloc(mem, gc_rollout_record_t);
	gc_rollout_route_share_t *routes;
	gc_str_t *barred;

	*copy = *record;
	copy->service = gc_str_dup(copy, record->service);
	copy->target = gc_str_dup(copy, record->target);
	copy->reason = gc_str_dup(copy, record->reason);
	routes = talloc_array(copy, gc_rollout_route_share_t, record->n_routes);
	for (size_t i = 0; i < record->n_routes; i++)
		routes[i] = record->routes[i];
	copy->routes = routes;
	barred = talloc_array(copy, gc_str_t, record->n_barred);
	for (size_t i = 0; i < record->n_barred; i++)
		barred[i] = gc_str_dup(copy, record->barred[i]);
	copy->barred = barred;
	return copy;
}

uint64_t gc_rollout_route_hash(gc_str_t route_name)
{
	return XXH64(route_name.data, route_name.len, 0);
}

bool gc_rollout_is_barred(const gc_rollout_record_t *record, gc_str_t version)
{
	for (size_t i = 0; i < record->n_barred; i++)
		if (gc_str_eq(record->barred[i], version))
			return true;
	return false;
}

bool gc_rollout_selects(const gc_rollout_record_t *record, uint64_t route,
			gc_str_t request_id)
{
	uint64_t hash;

	if (record->state == GC_ROLLOUT_ROLLED_BACK ||
	    gc_rollout_is_barred(record, record->target))
		return false;
	if (record->state == GC_ROLLOUT_SUCCEEDED)
		return true;
	hash = XXH64(request_id.data, request_id.len, record->order);
	return (double)hash * HASH_UNIT < share_of(record, route);
}

static int compare_route(const void *key, const void *entry)
{
	uint64_t route = *(const uint64_t *)key;
	const gc_rollout_route_share_t *share = entry;

	return (route > share->route) - (route < share->route);
}

static double share_of(const gc_rollout_record_t *record, uint64_t route)
{
	const gc_rollout_route_share_t *share = NULL;

	if (record->n_routes > 0)
		share = bsearch(&route, record->routes, record->n_routes,
				sizeof(*record->routes), compare_route);
	return share ? share->share : record->share;
}

/* Rounded up: a server with more load than after the roll-out could make a good
 * version look slow. */
size_t gc_rollout_n_judged_servers(const gc_rollout_record_t *record,
				   size_t n_target_servers)
{
	size_t n;

	if (n_target_servers == 0 || record->state == GC_ROLLOUT_SUCCEEDED)
		return n_target_servers;
	n = (size_t)ceil(CLAMP(record->share, 0, 1) * (double)n_target_servers);
	return CLAMP(n, 1, n_target_servers);
}
