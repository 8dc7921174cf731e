/*
 * Times of one routed request, whose caller may wait for less time than the settings of
 * its route allow for. Each limit that comes from these is bounded by a share of the
 * time that the request has left.
 */
#ifndef GC_CORE_REQUEST_TIME_H
#define GC_CORE_REQUEST_TIME_H

#include <stdint.h>

#define GC_NO_DEADLINE INT64_MAX /* the caller names no time */

/* In ms after the arrival of the request. */
typedef struct gc_request_time {
	int64_t limit_ms; /* end of the time that servers have */
	/* When a request that has no answer yet gets its last one. */
	int64_t last_answer_ms;
	/* When an answer that has begun is ended. */
	int64_t end_ms;
} gc_request_time_t;

/*
 * timeout_ms: the route's limit; deadline_ms: the time for which the caller waits, or
 * GC_NO_DEADLINE; round_trip_ms: to the caller. A caller that waits no longer than it
 * says still gets the last answer.
 */
gc_request_time_t gc_request_time(int64_t timeout_ms, int64_t deadline_ms,
				  int64_t round_trip_ms);

/*
 * The limit of one step: limit_ms, but no more than the share of left_ms, the time that
 * is left when the step begins. At least least_ms remain, if limit_ms isn't shorter, as
 * a sound peer needs so long.
 */
int64_t gc_share_of_time_ms(int64_t limit_ms, int64_t left_ms, double share,
			    int64_t least_ms);

#endif
