/* Counts of answers that lose weight with age. */
#include <glib.h>

#include "core/rollout_recent.h"

static double slow_part(size_t bucket, double from);

void gc_rollout_recent_decay(gc_rollout_recent_t *recent, double failures,
			     double times)
{
	recent->n *= failures;
	recent->n_failed *= failures;
	recent->n_timed *= times;
	for (size_t i = 0; i < GC_ROLLOUT_TIME_BUCKETS; i++)
		recent->times[i] *= times;
}

void gc_rollout_recent_add(gc_rollout_recent_t *recent,
			   const gc_rollout_counts_t *counts)
{
	recent->n += counts->n;
	recent->n_failed += counts->n_failed;
	for (size_t i = 0; i < GC_ROLLOUT_TIME_BUCKETS; i++) {
		recent->times[i] += counts->times[i];
		recent->n_timed += counts->times[i];
	}
}

/*
 * Times are taken to be spread evenly over a bucket: with whole buckets,
 * the same slow-down would count as slow on one route and not on the next, so that
 * routes could not be pooled.
 */
double gc_rollout_recent_median(const gc_rollout_recent_t *recent)
{
	double left = recent->n_timed / 2;
	size_t i = 0;

	for (; i < GC_ROLLOUT_TIME_BUCKETS - 1; i++) {
		if (recent->times[i] >= left)
			break;
		left -= recent->times[i];
	}
	if (recent->times[i] <= 0)
		return (double)i;
	return (double)i + MIN(left / recent->times[i], 1);
}

/* The part of a bucket that is slow. */
static double slow_part(size_t bucket, double from)
{
	return CLAMP((double)bucket + 1 - from, 0, 1);
}

gc_rollout_tally_t gc_rollout_recent_tally(const gc_rollout_recent_t *recent,
					   double from)
{
	gc_rollout_tally_t tally = {.n = recent->n_timed};

	for (size_t i = 0; i < GC_ROLLOUT_TIME_BUCKETS; i++)
		tally.n_bad += recent->times[i] * slow_part(i, from);
	return tally;
}

gc_rollout_tally_t gc_rollout_counts_tally(const gc_rollout_counts_t *counts,
					   double from)
{
	gc_rollout_tally_t tally = {0};

	for (size_t i = 0; i < GC_ROLLOUT_TIME_BUCKETS; i++) {
		tally.n += counts->times[i];
		tally.n_bad += counts->times[i] * slow_part(i, from);
	}
	return tally;
}
