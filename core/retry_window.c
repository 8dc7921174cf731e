/* Requests and repeats in the parts of a sliding window. */
#include "core/retry_window.h"

#define N_PARTS (GC_RETRY_WINDOW_PARTS + 1)

static void advance(gc_retry_window_t *budget,
		    const gc_retry_window_conf_t *conf, struct timespec now);
static uint32_t sum(const uint32_t *counts);

/* Clears the parts that have begun since the last call. */
static void advance(gc_retry_window_t *budget,
		    const gc_retry_window_conf_t *conf, struct timespec now)
{
	int64_t ms = now.tv_sec * INT64_C(1000) + now.tv_nsec / 1000000;
	int64_t part = ms * GC_RETRY_WINDOW_PARTS / conf->window_ms;

	if (part - budget->part > N_PARTS)
		budget->part = part - N_PARTS;
	while (budget->part < part) {
		budget->part++;
		budget->requests[budget->part % N_PARTS] = 0;
		budget->repeats[budget->part % N_PARTS] = 0;
	}
}

static uint32_t sum(const uint32_t *counts)
{
	uint32_t total = 0;

	for (int i = 0; i < N_PARTS; i++)
		total += counts[i];
	return total;
}

void gc_retry_window_count(gc_retry_window_t *budget,
			   const gc_retry_window_conf_t *conf,
			   struct timespec now)
{
	advance(budget, conf, now);
	budget->requests[budget->part % N_PARTS]++;
}

bool gc_retry_window_take(gc_retry_window_t *budget,
			  const gc_retry_window_conf_t *conf,
			  struct timespec now)
{
	double allowed;

	advance(budget, conf, now);
	allowed = conf->ratio * sum(budget->requests) + conf->slack;
	if (sum(budget->repeats) + 1 > allowed)
		return false;
	budget->repeats[budget->part % N_PARTS]++;
	return true;
}
