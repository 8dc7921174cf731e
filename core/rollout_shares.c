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
/* The slack is used up by this part of the time, when a good version is accepted. */
#define USED_UP_AT 0.85
/* Time until reports have come in and a lower share is in force everywhere. */
#define LAG_MS 2500
/* Part of what is left below the bound that may be used up in that time: requests may
 * become more meanwhile. */
#define ROOM_PART 0.5
/* Requests and answers before shares are planned. */
#define MIN_REQUESTS 10
#define MIN_ANSWERS  5
/* Part of the requests that must be answered before the routes get different shares:
 * the first answers are those of fast routes, and slow ones would seem rare. */
#define MIN_ANSWERED 0.6
/* Least time for which a plan is made. */
#define MIN_PLAN_MS 1500
/* Relative changes of the whole share, and of a route's, that are written. */
#define CHANGE	     0.3
#define ROUTE_CHANGE 0.5
/* The same for a share that may reach the bound. With the larger change, 31 of 10,000
 * random roll-outs sent more than the bound for a time. */
#define MEASURED_DEVIATIONS 2.0
#define EXCESS		    0.1
#define SEARCH_STEPS	    40
/* Additional answers on a route that is about to raise an alarm, in relation to those
 * on others. */
#define SUSPICION_WEIGHT 8.0
/* Least answers on a route, in relation to those that each should have in all: a
 * version may turn bad on a route late. */
#define LEAST_PART 0.3

/* Of a route, until the end of the plan. */
typedef struct demand {
	double n_requests;
	double n_target; /* answers of the target so far */
	double weight;
} demand_t;

static void add_weight(gc_rollout_plan_t *plan, uint64_t route, double weight);
static void allow_shares(gc_rollout_plan_t *plan,
			 const gc_rollout_progress_t *progress);
static double measured_share(const gc_rollout_progress_t *progress);
static double planned_ms(const gc_rollout_progress_t *progress);
static void spread(gc_rollout_plan_t *plan,
		   const gc_rollout_progress_t *progress);
static double demand_for(const demand_t *demand, double n_each);
static double target_answers(const gc_rollout_reports_t *reports,
			     uint64_t route);
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

void gc_rollout_plan_write(gc_rollout_record_t *record,
			   const gc_rollout_plan_t *plan)
{
	gc_rollout_route_share_t *routes =
		talloc_array(record, gc_rollout_route_share_t, plan->n_routes);

	for (size_t i = 0; i < plan->n_routes; i++)
		routes[i] = plan->routes[i];
	record->share = plan->share;
	record->routes = routes;
	record->n_routes = plan->n_routes;
}

double gc_rollout_budget(const gc_rollout_limits_t *limits, double n_requests)
{
	return PLANNED_SHARE * limits->share * n_requests +
	       PLANNED_SLACK * limits->slack;
}

bool gc_rollout_plan_compute(gc_rollout_plan_t *plan,
			     const gc_rollout_progress_t *progress)
{
	double n_requests =
		(double)gc_rollout_reports_n_requests(progress->reports);
	size_t n_answers = gc_rollout_plan_weigh(plan, progress->reports);

	if (n_answers < MIN_ANSWERS || n_requests < MIN_REQUESTS)
		return false;
	allow_shares(plan, progress);
	if (plan->measured > progress->share)
		plan->share *= progress->share / plan->measured;
	if ((double)n_answers < MIN_ANSWERED * n_requests)
		plan->n_routes = 0;
	spread(plan, progress);
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
static void allow_shares(gc_rollout_plan_t *plan,
			 const gc_rollout_progress_t *progress)
{
	const gc_rollout_limits_t *limits = progress->limits;
	double n_requests =
		(double)gc_rollout_reports_n_requests(progress->reports);
	double n_sent = (double)gc_rollout_reports_n_sent(progress->reports);
	double per_ms = n_requests / (double)MAX(progress->elapsed_ms, 1);
	double lag_requests =
		MAX(progress->pace->requests_per_ms, per_ms) * LAG_MS;
	double room = limits->share * n_requests + BOUND_SLACK * limits->slack -
		      n_sent - sqrt(limits->share * lag_requests);
	double left_ms = planned_ms(progress);
	double budget = gc_rollout_budget(
		limits, per_ms * ((double)progress->elapsed_ms + left_ms));
	double share = (budget - n_sent) / (per_ms * MAX(left_ms, MIN_PLAN_MS));

	/* While a lower share is under way, the bound rises by new requests, too. */
	if (room > 0)
		plan->most = limits->share + ROOM_PART * room / lag_requests;
	plan->share = progress->urgent ? plan->most : MIN(share, plan->most);
	plan->share = CLAMP(plan->share, 0, MAX_SHARE);
	plan->measured = measured_share(progress);
}

/* The least that the target's real share is likely to be. It exceeds the one in force
 * if routes with a high share have become more frequent. */
static double measured_share(const gc_rollout_progress_t *progress)
{
	double n_sent = progress->pace->recent_sent;

	n_sent -= MEASURED_DEVIATIONS * sqrt(n_sent);
	return MAX(n_sent, 0) / MAX(progress->pace->recent_requests, 1);
}

/* How long the plan is to last. */
static double planned_ms(const gc_rollout_progress_t *progress)
{
	double used_up_ms = USED_UP_AT * (double)progress->duration_ms;
	double elapsed_ms = (double)progress->elapsed_ms;

	if (elapsed_ms < used_up_ms)
		return used_up_ms - elapsed_ms;
	return (double)progress->duration_ms - elapsed_ms;
}

/*
 * Turns parts of all answers into shares by which each route gets as many answers from
 * the target by the end of the plan, those before included, and a suspicious one more.
 */
static void spread(gc_rollout_plan_t *plan,
		   const gc_rollout_progress_t *progress)
{
	double n_requests =
		(double)gc_rollout_reports_n_requests(progress->reports) *
		MAX(planned_ms(progress), MIN_PLAN_MS) /
		(double)MAX(progress->elapsed_ms, 1);
	demand_t demands[GC_ROLLOUT_MAX_ROUTES];
	double low = 0;
	double high = 2 * n_requests +
		      (double)gc_rollout_reports_n_sent(progress->reports);

	for (size_t i = 0; i < plan->n_routes; i++) {
		const gc_rollout_route_share_t *route = &plan->routes[i];

		demands[i] = (demand_t){
			.n_requests = n_requests * route->share,
			.n_target =
				target_answers(progress->reports, route->route),
			.weight = 1 + SUSPICION_WEIGHT *
					      gc_rollout_tests_route_suspicion(
						      progress->tests,
						      progress->reports,
						      route->route),
		};
	}
	for (int i = 0; i < SEARCH_STEPS; i++) {
		double n_each = (low + high) / 2;
		double sum = 0;

		for (size_t j = 0; j < plan->n_routes; j++)
			sum += demand_for(&demands[j], n_each);
		if (sum < plan->share * n_requests)
			low = n_each;
		else
			high = n_each;
	}
	for (size_t i = 0; i < plan->n_routes; i++)
		plan->routes[i].share =
			demand_for(&demands[i], low) / demands[i].n_requests;
}

/* Requests of the route that the target needs to get n_each answers in all. */
static double demand_for(const demand_t *demand, double n_each)
{
	double n = MAX(n_each * demand->weight - demand->n_target,
		       n_each * LEAST_PART);

	return MIN(n, MAX_SHARE * demand->n_requests);
}

static double target_answers(const gc_rollout_reports_t *reports,
			     uint64_t route)
{
	uint64_t n_target = 0;
	size_t n;
	const gc_rollout_series_t *series =
		gc_rollout_reports_series(reports, &n);

	for (size_t i = 0; i < n; i++)
		if (series[i].route == route)
			n_target = MAX(n_target, series[i].n_target);
	return (double)n_target;
}

static int compare_routes(const void *a, const void *b)
{
	const gc_rollout_route_share_t *one = a;
	const gc_rollout_route_share_t *other = b;

	return (one->route > other->route) - (one->route < other->route);
}

bool gc_rollout_plan_is_too_high(const gc_rollout_plan_t *current,
				 const gc_rollout_plan_t *plan)
{
	return MAX(current->share, plan->measured) > (1 + EXCESS) * plan->most;
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
