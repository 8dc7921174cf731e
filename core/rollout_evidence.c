/* Counts of one daemon's answers during a roll-out. */
#include <math.h>

#include <glib.h>

#include "core/rollout_evidence.h"

/* Longer times are in the last bucket; the square of one fits 64 bits. */
#define MAX_MS	   (INT64_C(1) << 20)
#define MAX_COUNTS ((size_t)GC_ROLLOUT_MAX_ROUTES * GC_ROLLOUT_N_MEASURES * 2)

struct gc_rollout_evidence {
	uint64_t order;
	uint32_t n_requests;
	uint32_t n_sent;
	gc_rollout_counts_t *counts;
	size_t n_counts;
	uint64_t routes[GC_ROLLOUT_MAX_ROUTES];
	size_t n_routes;
};

static gc_rollout_counts_t *find_or_add(gc_rollout_evidence_t *evidence,
					uint64_t route,
					gc_rollout_measure_t measure,
					bool target);
static bool knows_route(gc_rollout_evidence_t *evidence, uint64_t route);

gc_rollout_evidence_t *gc_rollout_evidence_create(TALLOC_CTX *mem,
						  uint64_t order)
{
	gc_rollout_evidence_t *evidence =
		talloc_zero(mem, gc_rollout_evidence_t);

	evidence->order = order;
	return evidence;
}

void gc_rollout_evidence_count_request(gc_rollout_evidence_t *evidence)
{
	evidence->n_requests++;
}

void gc_rollout_evidence_count_sent(gc_rollout_evidence_t *evidence)
{
	evidence->n_sent++;
}

void gc_rollout_evidence_add_time(gc_rollout_evidence_t *evidence,
				  uint64_t route, gc_rollout_measure_t measure,
				  bool target, int64_t ms)
{
	gc_rollout_counts_t *counts =
		find_or_add(evidence, route, measure, target);

	if (!counts)
		return;
	counts->n++;
	counts->times[gc_rollout_time_bucket(ms)]++;
}

void gc_rollout_evidence_add_failure(gc_rollout_evidence_t *evidence,
				     uint64_t route,
				     gc_rollout_measure_t measure, bool target)
{
	gc_rollout_counts_t *counts =
		find_or_add(evidence, route, measure, target);

	if (!counts)
		return;
	counts->n++;
	counts->n_failed++;
}

/* NULL for a route beyond GC_ROLLOUT_MAX_ROUTES. */
static gc_rollout_counts_t *find_or_add(gc_rollout_evidence_t *evidence,
					uint64_t route,
					gc_rollout_measure_t measure,
					bool target)
{
	gc_rollout_counts_t *counts;

	for (size_t i = 0; i < evidence->n_counts; i++) {
		counts = &evidence->counts[i];
		if (counts->route == route && counts->measure == measure &&
		    counts->target == target)
			return counts;
	}
	if (!knows_route(evidence, route) || evidence->n_counts == MAX_COUNTS)
		return NULL;
	evidence->counts =
		talloc_realloc(evidence, evidence->counts, gc_rollout_counts_t,
			       evidence->n_counts + 1);
	counts = &evidence->counts[evidence->n_counts++];
	*counts = (gc_rollout_counts_t){
		.route = route,
		.measure = measure,
		.target = target,
	};
	return counts;
}

static bool knows_route(gc_rollout_evidence_t *evidence, uint64_t route)
{
	for (size_t i = 0; i < evidence->n_routes; i++)
		if (evidence->routes[i] == route)
			return true;
	if (evidence->n_routes == GC_ROLLOUT_MAX_ROUTES)
		return false;
	evidence->routes[evidence->n_routes++] = route;
	return true;
}

void gc_rollout_evidence_report(const gc_rollout_evidence_t *evidence,
				gc_rollout_report_t *report)
{
	report->order = evidence->order;
	report->n_requests = evidence->n_requests;
	report->n_sent = evidence->n_sent;
	report->counts = evidence->counts;
	report->n_counts = evidence->n_counts;
}

/* The whole part of twice the logarithm of ms to base 2. */
size_t gc_rollout_time_bucket(int64_t ms)
{
	uint64_t square;
	size_t bucket;

	if (ms <= 1)
		return 0;
	ms = MIN(ms, MAX_MS);
	square = (uint64_t)ms * (uint64_t)ms;
	bucket = (size_t)(63 - __builtin_clzll(square));
	return MIN(bucket, GC_ROLLOUT_TIME_BUCKETS - 1);
}

double gc_rollout_bucket_ms(size_t bucket)
{
	return exp2((double)bucket / 2);
}
