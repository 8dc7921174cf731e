/*
 * Timeouts for stalled engines from moving averages of the token interval and
 * of its deviation, as in the retransmission timer of TCP (RFC 6298).
 */
#include "core/stall_detector.h"

#define MEAN_GAIN      (1.0 / 8)
#define DEVIATION_GAIN (1.0 / 4)

typedef struct limits {
	double mean_factor;
	double deviation_factor;
	int64_t min_ms; /* above the jitter of network and batching */
	int64_t max_ms; /* between tokens: leaves time to resume within 6 s */
	int64_t initial_ms; /* before the first sample */
} limits_t;

typedef struct estimate {
	bool has_sample;
	double mean_us;
	double deviation_us;
} estimate_t;

struct gc_stall_detector {
	estimate_t first; /* until the first token: queueing and prefill */
	estimate_t next; /* between tokens */
};

/* Indexed by policy. Economy waits longer, as a restart costs more. */
static const limits_t first_limits[] = {
	[GC_POLICY_LATENCY] = {1.5, 4, 500, 5000, 2500},
	[GC_POLICY_ECONOMY] = {2, 8, 2000, 15000, 6000},
};
static const limits_t next_limits[] = {
	[GC_POLICY_LATENCY] = {2, 4, 150, 1500, 600},
	[GC_POLICY_ECONOMY] = {4, 8, 600, 2500, 1800},
};

static void estimate_add(estimate_t *estimate, double us);
static int64_t estimate_timeout(const estimate_t *estimate,
				const limits_t *limits);

gc_stall_detector_t *gc_stall_detector_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, gc_stall_detector_t);
}

void gc_stall_detector_destroy(gc_stall_detector_t *detector)
{
	talloc_free(detector);
}

static void estimate_add(estimate_t *estimate, double us)
{
	double diff = us - estimate->mean_us;

	if (!estimate->has_sample) {
		estimate->has_sample = true;
		estimate->mean_us = us;
		estimate->deviation_us = us / 2;
		return;
	}
	estimate->mean_us += MEAN_GAIN * diff;
	if (diff < 0)
		diff = -diff;
	estimate->deviation_us +=
		DEVIATION_GAIN * (diff - estimate->deviation_us);
}

void gc_stall_detector_observe(gc_stall_detector_t *detector, bool first_token,
			       int64_t interval_us)
{
	const limits_t *limits = first_token ? first_limits : next_limits;
	int64_t max_us = limits[GC_POLICY_ECONOMY].max_ms * 1000;

	if (interval_us < 0)
		return;
	/* An interval above all timeouts must not raise later ones for long. */
	if (interval_us > max_us)
		interval_us = max_us;
	estimate_add(first_token ? &detector->first : &detector->next,
		     interval_us);
}

static int64_t estimate_timeout(const estimate_t *estimate,
				const limits_t *limits)
{
	double us = limits->mean_factor * estimate->mean_us +
		    limits->deviation_factor * estimate->deviation_us;
	int64_t ms = us / 1000;

	if (!estimate->has_sample)
		return limits->initial_ms;
	if (ms < limits->min_ms)
		return limits->min_ms;
	return ms > limits->max_ms ? limits->max_ms : ms;
}

int64_t gc_stall_detector_timeout_ms(const gc_stall_detector_t *detector,
				     bool first_token, gc_policy_t policy)
{
	if (first_token)
		return estimate_timeout(&detector->first,
					&first_limits[policy]);
	return estimate_timeout(&detector->next, &next_limits[policy]);
}
