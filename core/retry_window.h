/*
 * Retry budget in a sliding window: a ratio of the requests of the window, plus
 * a constant. Each daemon keeps its part of the fleet's budget by itself.
 */
#ifndef GC_CORE_RETRY_WINDOW_H
#define GC_CORE_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/*
 * Buckets per window. One more is kept for the current, incomplete bucket, so
 * that counts are up to one bucket older than the window.
 */
#define GC_RETRY_WINDOW_BUCKETS 10

typedef struct gc_retry_window_conf {
	int64_t window_ms;
	double ratio; /* retries per request */
	double slack; /* retries allowed in addition in any window */
} gc_retry_window_conf_t;

/* Must be zeroed before use. */
typedef struct gc_retry_window {
	int64_t newest; /* number of the newest bucket */
	uint32_t requests[GC_RETRY_WINDOW_BUCKETS + 1];
	uint32_t retries[GC_RETRY_WINDOW_BUCKETS + 1];
} gc_retry_window_t;

void gc_retry_window_count_request(gc_retry_window_t *window,
				   const gc_retry_window_conf_t *conf,
				   struct timespec now);
/* False if the budget is used up. */
bool gc_retry_window_has(gc_retry_window_t *window,
			 const gc_retry_window_conf_t *conf,
			 struct timespec now);
/* Takes one retry; false if the budget of the window is used up. */
bool gc_retry_window_take(gc_retry_window_t *window,
			  const gc_retry_window_conf_t *conf,
			  struct timespec now);
/* Gives back one that was taken at this time and not used, if the window has it. */
void gc_retry_window_return(gc_retry_window_t *window,
			    const gc_retry_window_conf_t *conf,
			    struct timespec taken);
/*
 * Time in ms until the n-th retry from now on can be taken, if requests go on to
 * come at the window's rate and each retry is taken as early as possible; 0: at
 * once. -1: later than in max_ms.
 */
int64_t gc_retry_window_turn_ms(const gc_retry_window_t *window,
				const gc_retry_window_conf_t *conf,
				struct timespec now, unsigned int n,
				int64_t max_ms);

#endif
