/* Shares of a roll-out's routes. */
#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include "core/rollout_shares.h"

#define START_SHARE 0.02
/* Of a rare route: the other half tells how the other versions do. */
#define MAX_SHARE 0.5
/* Parts of the limits that are planned for; the rest covers chance, and changes of
 * the load while reports are under way. */
#define PLANNED_SHARE 0.8
#define PLANNED_SLACK 0.6
/* Part of the slack that is never exceeded on purpose. */
#define BOUND_SLACK 0.8
/* The budget is used up by this part of the time, when a good version is accepted. */
#define USED_UP_AT 0.85
/* Time until reports have come in and a lower share is in force everywhere. */
#define LAG_MS 2500
/* Requests and answers before shares are planned. */
#define MIN_REQUESTS 10
#define MIN_ANSWERS  5
/* Least time for which a plan is made. */
#define MIN_PLAN_MS 1500
/* Relative changes of the whole share, and of a route's, that are written. */
#define CHANGE	     0.25
#define ROUTE_CHANGE 0.4
#define SEARCH_STEPS 40

static void add_weight(gc_rollout_plan_t *plan, uint64_t route, double weight);
static double allowed_share(const gc_rollout_limits_t *limits,
			    const gc_rollout_reports_t *reports,
			    double requests_per_ms, int64_t elapsed_ms,
			    int64_t duration_ms);
static void spread(gc_rollout_plan_t *plan);
static double sum_spread(const gc_rollout_plan_t *plan, double part);
static int compare_routes(const void *a, const void *b);
static double share_in(const gc_rollout_plan_t *plan, uint64_t route);
static bool differs_by(double a, double b, double part);

void gc_rollout_plan_start(gc_rollout_plan_t *plan)
{
	*plan = (gc_rollout_plan_t){.share = START_SHARE};
}

void gc_rollout_plan_read(gc_rollout_plan_t *plan,
			  const gc_rollout_record_t *record)
{
	*plan = (gc_rollout_plan_t){
		.share = record->share,
		.n_routes = MIN(record->n_routes, GC_ROLLOUT_MAX_ROUTES),
	};
	for (size_t i = 0; i < plan->n_routes; i++)
		plan->routes[i] = record->routes[i];
}

double gc_rollout_budget(const gc_rollout_limits_t *limits, double n_requests)
{
	return PLANNED_SHARE * limits->share * n_requests +
	       PLANNED_SLACK * limits->slack;
}

bool gc_rollout_plan_compute(gc_rollout_plan_t *plan,
			     const gc_rollout_limits_t *limits,
			     const gc_rollout_reports_t *reports,
			     double requests_per_ms, int64_t elapsed_ms,
			     int64_t duration_ms)
{
	if (gc_rollout_plan_weigh(plan, reports) < MIN_ANSWERS ||
	    gc_rollout_reports_n_requests(reports) < MIN_REQUESTS)
		return false;
	plan->share = allowed_share(limits, reports, requests_per_ms,
				    elapsed_ms, duration_ms);
	spread(plan);
	qsort(plan->routes, plan->n_routes, sizeof(*plan->routes),
	      compare_routes);
	return true;
}

size_t gc_rollout_plan_weigh(gc_rollout_plan_t *plan,
			     const gc_rollout_reports_t *reports)
{
	double total = 0;
	size_t n;
	const gc_rollout_series_t *series =
		gc_rollout_reports_series(reports, &n);

	*plan = (gc_rollout_plan_t){0};
	for (size_t i = 0; i < n; i++) {
		/* One that comes with the first event or the whole answer. */
		if (series[i].measure == GC_ROLLOUT_EVENT_GAP)
			continue;
		add_weight(plan, series[i].route,
			   (double)(series[i].n_target + series[i].n_others));
	}
	for (size_t i = 0; i < plan->n_routes; i++)
		total += plan->routes[i].share;
	for (size_t i = 0; total > 0 && i < plan->n_routes; i++)
		plan->routes[i].share /= total;
	return (size_t)total;
}

static void add_weight(gc_rollout_plan_t *plan, uint64_t route, double weight)
{
	for (size_t i = 0; i < plan->n_routes; i++) {
		if (plan->routes[i].route != route)
			continue;
		plan->routes[i].share += weight;
		return;
	}
	if (plan->n_routes < GC_ROLLOUT_MAX_ROUTES && weight > 0)
		plan->routes[plan->n_routes++] =
			(gc_rollout_route_share_t){route, weight};
}

/* The share of all requests that the budget and the bound allow. */
static double allowed_share(const gc_rollout_limits_t *limits,
			    const gc_rollout_reports_t *reports,
			    double requests_per_ms, int64_t elapsed_ms,
			    int64_t duration_ms)
{
	double n_requests = (double)gc_rollout_reports_n_requests(reports);
	double n_sent = (double)gc_rollout_reports_n_sent(reports);
	double mean_per_ms = n_requests / (double)MAX(elapsed_ms, 1);
	double left_ms =
		MAX(USED_UP_AT * (double)duration_ms - (double)elapsed_ms,
		    MIN_PLAN_MS);
	double budget =
		gc_rollout_budget(limits, mean_per_ms * (double)duration_ms);
	double share = (budget - n_sent) / (mean_per_ms * left_ms);
	double room = limits->share * n_requests + BOUND_SLACK * limits->slack -
		      n_sent;
	double lag_requests = MAX(requests_per_ms, mean_per_ms) * LAG_MS;

	/* While a lower share is under way, the bound rises by new requests, too. */
	share = MIN(share, limits->share + room / lag_requests);
	if (room <= 0)
		share = 0;
	return CLAMP(share, 0, MAX_SHARE);
}

/* Turns parts of all answers into shares by which each route gets as many answers, as
 * far as MAX_SHARE allows. */
static void spread(gc_rollout_plan_t *plan)
{
	double low = 0;
	double high = 1;

	for (int i = 0; i < SEARCH_STEPS; i++) {
		double part = (low + high) / 2;

		if (sum_spread(plan, part) < plan->share)
			low = part;
		else
			high = part;
	}
	for (size_t i = 0; i < plan->n_routes; i++) {
		double *share = &plan->routes[i].share;

		*share = MIN(low / *share, MAX_SHARE);
	}
}

static double sum_spread(const gc_rollout_plan_t *plan, double part)
{
	double sum = 0;

	for (size_t i = 0; i < plan->n_routes; i++)
		sum += MIN(MAX_SHARE * plan->routes[i].share, part);
	return sum;
}

static int compare_routes(const void *a, const void *b)
{
	const gc_rollout_route_share_t *one = a;
	const gc_rollout_route_share_t *other = b;

	return (one->route > other->route) - (one->route < other->route);
}

bool gc_rollout_plan_differs(const gc_rollout_plan_t *plan,
			     const gc_rollout_plan_t *current)
{
	if (differs_by(plan->share, current->share, CHANGE))
		return true;
	for (size_t i = 0; i < plan->n_routes; i++)
		if (differs_by(plan->routes[i].share,
			       share_in(current, plan->routes[i].route),
			       ROUTE_CHANGE))
			return true;
	return false;
}

static double share_in(const gc_rollout_plan_t *plan, uint64_t route)
{
	for (size_t i = 0; i < plan->n_routes; i++)
		if (plan->routes[i].route == route)
			return plan->routes[i].share;
	return plan->share;
}

static bool differs_by(double a, double b, double part)
{
	return fabs(a - b) > part * MAX(a, b);
}
