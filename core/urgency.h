/*
 * How urgent a stream is among those that need room on the engines of its service.
 * While there is too little room, what is delayed or rejected should be what costs
 * callers least: by priority, by the work that it needs and by whether it can still
 * be in time. All daemons come to the same result, as it follows from the
 * configuration and the request alone.
 */
#ifndef GC_CORE_URGENCY_H
#define GC_CORE_URGENCY_H

#include <stdint.h>

#include "core/routes.h"

/* Of streams whose service has no order. */
#define GC_URGENCY_NONE (-1)
/* The least urgent level; 0 is the most urgent one. */
#define GC_URGENCY_LEAST 9

/* A stream that is about to be sent to an engine. */
typedef struct gc_urgency_request {
	const gc_route_t *route;
	gc_str_t service;
	gc_str_t account; /* empty: none */
	int64_t waited_ms; /* since it arrived */
	bool begun; /* its caller has events */
} gc_urgency_request_t;

typedef struct gc_urgency {
	/* Engines admit lower levels first and preempt higher ones. GC_URGENCY_NONE: the
	 * routes of the service are all of one priority, which asks for no order. */
	int level;
	/* Room that has to stay free on an engine on which it starts, in streams of
	 * its size: it is left to more urgent ones, which would preempt it. */
	unsigned int reserve;
} gc_urgency_t;

gc_urgency_t gc_urgency(const gc_routes_t *routes,
			const gc_urgency_request_t *request);

#endif
