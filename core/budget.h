/*
 * A budget of repeats in a sliding window: a share of the requests of the
 * window, and some beyond it. Each daemon keeps its part of the fleet's
 * budget without asking others.
 */
#ifndef GC_CORE_BUDGET_H
#define GC_CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Parts of the window; counts are as old as one part more than it. */
#define GC_BUDGET_PARTS 10

typedef struct gc_budget_conf {
	int64_t window_ms;
	double ratio; /* repeats for each request */
	double slack; /* repeats beyond it in any window */
} gc_budget_conf_t;

/* All zero at the start. */
typedef struct gc_budget {
	int64_t part; /* number of the newest part */
	uint32_t requests[GC_BUDGET_PARTS + 1];
	uint32_t repeats[GC_BUDGET_PARTS + 1];
} gc_budget_t;

void gc_budget_count(gc_budget_t *budget, const gc_budget_conf_t *conf,
		     struct timespec now);
/* Takes one repeat; false if the window has had its repeats. */
bool gc_budget_take(gc_budget_t *budget, const gc_budget_conf_t *conf,
		    struct timespec now);

#endif
