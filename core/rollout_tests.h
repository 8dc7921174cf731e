/*
 * Sequential tests of a roll-out: whether the target's answers fail or are slow more
 * often than those of the other versions at the same time. Not thread-safe.
 */
#ifndef GC_CORE_ROLLOUT_TESTS_H
#define GC_CORE_ROLLOUT_TESTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/rollout_reports.h"

/* Why the target is bad. */
typedef struct gc_rollout_alarm {
	bool all_routes; /* no single route shows it */
	uint64_t route; /* unless all_routes */
	gc_rollout_measure_t measure;
	bool slow; /* slow answers, else failures */
	uint64_t n; /* answers of the target that were tested */
	uint64_t n_bad; /* failures or slow ones of these */
	double rate; /* of failures or slow ones, of the other versions */
} gc_rollout_alarm_t;

typedef struct gc_rollout_tests gc_rollout_tests_t;

gc_rollout_tests_t *gc_rollout_tests_create(TALLOC_CTX *mem);
/*
 * Tests what was reported since the last call. Returns true and fills in the alarm
 * if the target is bad.
 */
bool gc_rollout_tests_step(gc_rollout_tests_t *tests, struct timespec now,
			   const gc_rollout_reports_t *reports,
			   gc_rollout_alarm_t *alarm);
/* The strongest evidence against the target, as a part of that of an alarm. */
double gc_rollout_tests_suspicion(const gc_rollout_tests_t *tests);
/* The same for one route. reports: of the last step. */
double gc_rollout_tests_route_suspicion(const gc_rollout_tests_t *tests,
					const gc_rollout_reports_t *reports,
					uint64_t route);

#endif
