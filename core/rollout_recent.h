/* Counts of answers that lose weight with age, and times in buckets of these. */
#ifndef GC_CORE_ROLLOUT_RECENT_H
#define GC_CORE_ROLLOUT_RECENT_H

#include "core/rollout_evidence.h"

typedef struct gc_rollout_recent {
	double n;
	double n_failed;
	double n_timed;
	double times[GC_ROLLOUT_TIME_BUCKETS];
} gc_rollout_recent_t;

/* Bad ones of a number of answers. */
typedef struct gc_rollout_tally {
	double n;
	double n_bad;
} gc_rollout_tally_t;

/* Multiplies the counts of failures, with n, and those of times by a factor each. */
void gc_rollout_recent_decay(gc_rollout_recent_t *recent, double failures,
			     double times);
void gc_rollout_recent_add(gc_rollout_recent_t *recent,
			   const gc_rollout_counts_t *counts);
/* In buckets and parts of one. */
double gc_rollout_recent_median(const gc_rollout_recent_t *recent);
/* Times from `from` on, in buckets and parts of one, of all. */
gc_rollout_tally_t gc_rollout_recent_tally(const gc_rollout_recent_t *recent,
					   double from);
gc_rollout_tally_t gc_rollout_counts_tally(const gc_rollout_counts_t *counts,
					   double from);

#endif
