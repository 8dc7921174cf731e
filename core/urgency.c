/* Order of streams by account, route and time. */
#include <glib.h>

#include "core/urgency.h"

/* Ranks of accounts, and of routes within an account. */
#define N_RANKS 3U
/* Level 0 is left to what may come to be more urgent than any account. */
#define FIRST_LEVEL 1U

static uint32_t rank(uint32_t priority, uint32_t first);

gc_urgency_t gc_urgency(const gc_routes_t *routes,
			const gc_urgency_request_t *request)
{
	gc_urgency_t urgency = {.level = GC_URGENCY_NONE};
	uint32_t first = 0;
	uint32_t last = 0;
	uint32_t account_priority;
	uint32_t route_rank;

	if (!gc_routes_stream_priorities(routes, request->service, &first,
					 &last) ||
	    first == last)
		return urgency;
	account_priority =
		gc_routes_priority(routes, request->route, request->account);
	route_rank = rank(request->route->priority, first);
	urgency.reserve = request->begun ? 0 : route_rank;
	urgency.level = (int)(FIRST_LEVEL +
			      N_RANKS * rank(account_priority, 0) + route_rank);
	/* It can't be in time any more, so a further delay costs its caller little. */
	if (!request->begun && request->route->target_latency_ms > 0 &&
	    request->waited_ms >= request->route->target_latency_ms)
		urgency.level = GC_URGENCY_LEAST;
	return urgency;
}

static uint32_t rank(uint32_t priority, uint32_t first)
{
	return MIN(priority > first ? priority - first : 0, N_RANKS - 1);
}
