/* Latest rates of a roll-out's requests. */
#include "core/rollout_pace.h"

#include "core/clock.h"
#include "core/rollout_judge.h"

/* Weight that recent requests keep for each interval of reports. */
#define RECENT_DECAY 0.6

/* Whole intervals of reports only, as these come at different times. */
void gc_rollout_pace_update(gc_rollout_pace_t *pace, struct timespec now,
			    const gc_rollout_reports_t *reports)
{
	uint64_t n_requests = gc_rollout_reports_n_requests(reports);
	uint64_t n_sent = gc_rollout_reports_n_sent(reports);
	int64_t ms = gc_ms_between(pace->at, now);

	if (ms < GC_ROLLOUT_REPORT_MS)
		return;
	pace->requests_per_ms =
		(double)(n_requests - pace->n_requests) / (double)ms;
	pace->recent_requests = RECENT_DECAY * pace->recent_requests +
				(double)(n_requests - pace->n_requests);
	pace->recent_sent = RECENT_DECAY * pace->recent_sent +
			    (double)(n_sent - pace->n_sent);
	pace->n_requests = n_requests;
	pace->n_sent = n_sent;
	pace->at = now;
}

void gc_rollout_pace_reset(gc_rollout_pace_t *pace)
{
	pace->recent_requests = 0;
	pace->recent_sent = 0;
}
