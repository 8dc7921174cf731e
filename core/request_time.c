/* Times of one routed request. */
#include <glib.h>

#include "core/request_time.h"

/* Time for the last answer to be sent and read, besides its way. */
#define ANSWER_MARGIN_MS 20
/* The margin and the way are at most this part of the caller's time. */
#define MAX_MARGIN_SHARE 0.25
/* Added to the limit, so that what a server sends at the limit arrives. */
#define LIMIT_SLACK_MS 100

gc_request_time_t gc_request_time(int64_t timeout_ms, int64_t deadline_ms,
				  int64_t round_trip_ms)
{
	int64_t limit_ms = MIN(timeout_ms, deadline_ms);
	gc_request_time_t time = {
		.limit_ms = limit_ms,
		.last_answer_ms = limit_ms + LIMIT_SLACK_MS,
		.end_ms = limit_ms + LIMIT_SLACK_MS,
	};
	int64_t margin_ms;

	if (deadline_ms == GC_NO_DEADLINE)
		return time;
	margin_ms = MIN(ANSWER_MARGIN_MS + round_trip_ms,
			(int64_t)(MAX_MARGIN_SHARE * (double)deadline_ms));
	time.last_answer_ms = MIN(time.last_answer_ms, deadline_ms - margin_ms);
	return time;
}

int64_t gc_share_of_time_ms(int64_t limit_ms, int64_t left_ms, double share,
			    int64_t least_ms)
{
	int64_t share_ms = (int64_t)(share * (double)MAX(left_ms, 0));

	return MIN(limit_ms, MAX(share_ms, least_ms));
}
