/*
 * Sums of what all daemons have reported during a roll-out. Reports are cumulative,
 * so that a lost one costs nothing. Not thread-safe.
 */
#ifndef GC_CORE_ROLLOUT_REPORTS_H
#define GC_CORE_ROLLOUT_REPORTS_H

#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/rollout_evidence.h"

/* Answers to the requests of a route, by one measure. */
typedef struct gc_rollout_series {
	uint64_t route;
	gc_rollout_measure_t measure;
	/* Since they were last reset by the reader. */
	gc_rollout_counts_t target;
	gc_rollout_counts_t others;
	/* Answers since the order. */
	uint64_t n_target;
	uint64_t n_others;
} gc_rollout_series_t;

typedef struct gc_rollout_reports gc_rollout_reports_t;

gc_rollout_reports_t *gc_rollout_reports_create(TALLOC_CTX *mem);
/* Adds what is new since the daemon's former report. One with a smaller count comes
 * from a daemon that has restarted, so all of it is new. */
void gc_rollout_reports_add(gc_rollout_reports_t *reports, struct timespec now,
			    const gc_rollout_report_t *report);
/* Requests of the service, and those sent to the target, since the order. */
uint64_t gc_rollout_reports_n_requests(const gc_rollout_reports_t *reports);
uint64_t gc_rollout_reports_n_sent(const gc_rollout_reports_t *reports);
/* The series, in the order in which they were first reported; valid until the next
 * report. The caller may reset `target` and `others`. */
gc_rollout_series_t *
gc_rollout_reports_series(const gc_rollout_reports_t *reports, size_t *n);
/* Daemons that have reported within the last age_ms. */
size_t gc_rollout_reports_n_recent(const gc_rollout_reports_t *reports,
				   struct timespec now, int64_t age_ms);
/* The longest time since the order that a daemon knows of; -1: none does. */
int64_t gc_rollout_reports_elapsed_ms(const gc_rollout_reports_t *reports,
				      struct timespec now);

#endif
