/*
 * A budget of repeats in a sliding window: a share of the requests of the
 * window, and some beyond it. Each daemon keeps its part of the fleet's
 * budget without asking others.
 */
#ifndef GC_CORE_RETRY_WINDOW_H
#define GC_CORE_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Parts of the window; counts are as old as one part more than it. */
#define GC_RETRY_WINDOW_PARTS 10

typedef struct gc_retry_window_conf {
	int64_t window_ms;
	double ratio; /* repeats for each request */
	double slack; /* repeats beyond it in any window */
} gc_retry_window_conf_t;

/* All zero at the start. */
typedef struct gc_retry_window {
	int64_t part; /* number of the newest part */
	uint32_t requests[GC_RETRY_WINDOW_PARTS + 1];
	uint32_t repeats[GC_RETRY_WINDOW_PARTS + 1];
} gc_retry_window_t;

void gc_retry_window_count(gc_retry_window_t *budget,
			   const gc_retry_window_conf_t *conf,
			   struct timespec now);
/* Takes one repeat; false if the window has had its repeats. */
bool gc_retry_window_take(gc_retry_window_t *budget,
			  const gc_retry_window_conf_t *conf,
			  struct timespec now);

#endif
