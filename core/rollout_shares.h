/* Plans the share of each route's requests that a roll-out's target gets while it is
 * judged. */
#ifndef GC_CORE_ROLLOUT_SHARES_H
#define GC_CORE_ROLLOUT_SHARES_H

#include <stdbool.h>
#include <stdint.h>

#include "core/rollout.h"
#include "core/rollout_pace.h"
#include "core/rollout_reports.h"
#include "core/rollout_tests.h"

typedef struct gc_rollout_plan {
	double share; /* of all requests, and of routes that are not listed */
	gc_rollout_route_share_t routes[GC_ROLLOUT_MAX_ROUTES]; /* sorted */
	size_t n_routes;
	/* The share at which requests under way could reach the bound, and the one
	 * that the target got lately; of a computed plan. */
	double most;
	double measured;
} gc_rollout_plan_t;

/* What a plan is made from. */
typedef struct gc_rollout_progress {
	const gc_rollout_limits_t *limits;
	const gc_rollout_reports_t *reports;
	const gc_rollout_tests_t *tests;
	const gc_rollout_pace_t *pace;
	double share; /* in force */
	int64_t elapsed_ms;
	int64_t duration_ms;
	/* As many answers as the bound allows are wanted now. */
	bool urgent;
} gc_rollout_progress_t;

/* The plan until the first answers have come. */
void gc_rollout_plan_start(gc_rollout_plan_t *plan);
/* The plan in force, of a record. */
void gc_rollout_plan_read(gc_rollout_plan_t *plan,
			  const gc_rollout_record_t *record);
/* The same the other way round; the record must be a copy. */
void gc_rollout_plan_write(gc_rollout_record_t *record,
			   const gc_rollout_plan_t *plan);
/* Requests that the target may get if the service gets n_requests in the whole time. */
double gc_rollout_budget(const gc_rollout_limits_t *limits, double n_requests);
/* Fills in the routes with their parts of all answers instead of shares. Returns the
 * number of answers. */
size_t gc_rollout_plan_weigh(gc_rollout_plan_t *plan,
			     const gc_rollout_reports_t *reports);
/*
 * Stores a plan that uses up the budget by the time of the decision, and with which
 * the bound holds while reports and records are under way. Returns false if too little
 * is known of the routes.
 */
bool gc_rollout_plan_compute(gc_rollout_plan_t *plan,
			     const gc_rollout_progress_t *progress);
/* True if the plan differs from the one in force by enough to be written, and if the
 * one in force endangers the bound. */
bool gc_rollout_plan_is_too_high(const gc_rollout_plan_t *current,
				 const gc_rollout_plan_t *plan);
bool gc_rollout_plan_differs(const gc_rollout_plan_t *plan,
			     const gc_rollout_plan_t *current);

#endif
