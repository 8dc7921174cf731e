/* The latest rate of requests of a roll-out's service, and of those to its target. */
#ifndef GC_CORE_ROLLOUT_PACE_H
#define GC_CORE_ROLLOUT_PACE_H

#include <stdint.h>
#include <time.h>

#include "core/rollout_reports.h"

typedef struct gc_rollout_pace {
	double requests_per_ms;
	/* Weighted by age, since the shares were changed. */
	double recent_requests;
	double recent_sent;
	/* At the last update. */
	struct timespec at;
	uint64_t n_requests;
	uint64_t n_sent;
} gc_rollout_pace_t;

/* To be called at each decision. */
void gc_rollout_pace_update(gc_rollout_pace_t *pace, struct timespec now,
			    const gc_rollout_reports_t *reports);
/* The shares have been changed. */
void gc_rollout_pace_reset(gc_rollout_pace_t *pace);

#endif
