/* Counts requests and retries in the buckets of a sliding window. */
#include "core/retry_window.h"

#define N_BUCKETS (GC_RETRY_WINDOW_BUCKETS + 1)

static void advance_window(gc_retry_window_t *window,
			   const gc_retry_window_conf_t *conf,
			   struct timespec now);
static uint32_t sum_counts(const uint32_t *counts);

/* Moves to the current bucket and clears those that have begun since the last
 * call. */
static void advance_window(gc_retry_window_t *window,
			   const gc_retry_window_conf_t *conf,
			   struct timespec now)
{
	int64_t ms = now.tv_sec * INT64_C(1000) + now.tv_nsec / 1000000;
	int64_t bucket = ms * GC_RETRY_WINDOW_BUCKETS / conf->window_ms;

	if (bucket - window->newest > N_BUCKETS)
		window->newest = bucket - N_BUCKETS;
	while (window->newest < bucket) {
		window->newest++;
		window->requests[window->newest % N_BUCKETS] = 0;
		window->retries[window->newest % N_BUCKETS] = 0;
	}
}

static uint32_t sum_counts(const uint32_t *counts)
{
	uint32_t total = 0;

	for (int i = 0; i < N_BUCKETS; i++)
		total += counts[i];
	return total;
}

void gc_retry_window_count_request(gc_retry_window_t *window,
				   const gc_retry_window_conf_t *conf,
				   struct timespec now)
{
	advance_window(window, conf, now);
	window->requests[window->newest % N_BUCKETS]++;
}

bool gc_retry_window_has(gc_retry_window_t *window,
			 const gc_retry_window_conf_t *conf,
			 struct timespec now)
{
	double allowed;

	advance_window(window, conf, now);
	allowed = conf->ratio * sum_counts(window->requests) + conf->slack;
	return sum_counts(window->retries) + 1 <= allowed;
}

bool gc_retry_window_take(gc_retry_window_t *window,
			  const gc_retry_window_conf_t *conf,
			  struct timespec now)
{
	if (!gc_retry_window_has(window, conf, now))
		return false;
	window->retries[window->newest % N_BUCKETS]++;
	return true;
}
