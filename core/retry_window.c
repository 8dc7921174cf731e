/* Counts requests and retries in the buckets of a sliding window. */
#include "core/retry_window.h"
#include "core/clock.h"

#define N_BUCKETS (GC_RETRY_WINDOW_BUCKETS + 1)

static int64_t bucket_at(const gc_retry_window_conf_t *conf,
			 struct timespec at);
static void advance_window(gc_retry_window_t *window,
			   const gc_retry_window_conf_t *conf,
			   struct timespec now);
static uint32_t sum_counts(const uint32_t *counts);
static int64_t next_bucket_ms(const gc_retry_window_t *window,
			      const gc_retry_window_conf_t *conf,
			      struct timespec now);

static int64_t bucket_at(const gc_retry_window_conf_t *conf, struct timespec at)
{
	int64_t ms = at.tv_sec * INT64_C(1000) + at.tv_nsec / 1000000;

	return ms * GC_RETRY_WINDOW_BUCKETS / conf->window_ms;
}

/* Moves to the current bucket and clears those that have begun since the last
 * call. */
static void advance_window(gc_retry_window_t *window,
			   const gc_retry_window_conf_t *conf,
			   struct timespec now)
{
	int64_t bucket = bucket_at(conf, now);

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

void gc_retry_window_return(gc_retry_window_t *window,
			    const gc_retry_window_conf_t *conf,
			    struct timespec taken)
{
	int64_t bucket = bucket_at(conf, taken);
	uint32_t *n = &window->retries[bucket % N_BUCKETS];

	if (bucket > window->newest - N_BUCKETS && bucket <= window->newest &&
	    *n > 0)
		(*n)--;
}

int64_t gc_retry_window_turn_ms(const gc_retry_window_t *window,
				const gc_retry_window_conf_t *conf,
				struct timespec now, unsigned int n,
				int64_t max_ms)
{
	gc_retry_window_t ahead = *window;
	struct timespec at = now;
	uint32_t per_window;

	advance_window(&ahead, conf, now);
	per_window = sum_counts(ahead.requests);
	/* Counts change only where a bucket begins. */
	for (uint32_t i = 0; gc_ms_between(now, at) <= max_ms; i++) {
		while (n > 0 && gc_retry_window_take(&ahead, conf, at))
			n--;
		if (n == 0)
			return gc_ms_between(now, at);
		at = gc_add_ms(at, next_bucket_ms(&ahead, conf, at));
		advance_window(&ahead, conf, at);
		ahead.requests[ahead.newest % N_BUCKETS] =
			per_window * (i + 1) / N_BUCKETS -
			per_window * i / N_BUCKETS;
	}
	return -1;
}

/* Time until the bucket after the newest one begins. */
static int64_t next_bucket_ms(const gc_retry_window_t *window,
			      const gc_retry_window_conf_t *conf,
			      struct timespec now)
{
	int64_t ms = now.tv_sec * INT64_C(1000) + now.tv_nsec / 1000000;
	int64_t begin_ms = ((window->newest + 1) * conf->window_ms +
			    GC_RETRY_WINDOW_BUCKETS - 1) /
			   GC_RETRY_WINDOW_BUCKETS;

	return begin_ms - ms;
}
