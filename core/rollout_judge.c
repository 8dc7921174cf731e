/* Decisions about a roll-out. */
#include <inttypes.h>

#include <glib.h>

#include "core/clock.h"
#include "core/rollout_judge.h"
#include "core/rollout_pace.h"
#include "core/rollout_record.h"
#include "core/rollout_reports.h"
#include "core/rollout_shares.h"
#include "core/rollout_tests.h"

/* Parts of the time at which a target without servers is taken back, a good one is
 * accepted, one with some evidence against it is accepted, and an undecided one is
 * taken back. The last ones leave time to write the decision. */
#define NO_SERVER_AT 0.6
#define ACCEPT_AT    0.85
#define RECHECKED_AT 0.92
#define UNDECIDED_AT 0.95
/* Part of an alarm's evidence that raises the shares and delays the acceptance: one
 * failure, and a few good answers since. */
#define MAX_SUSPICION 0.12
/* The same for the last acceptance. */
#define MAX_LAST_SUSPICION 0.7
/* Answers of the target on a route. Fewer are enough if they are this part of all, or
 * this part of what the budget allows. */
#define MIN_ANSWERS	   12
#define MIN_ANSWERS_PART   0.45
#define MIN_ANSWERS_BUDGET 0.8
/* Age of reports, and part of the daemons that must have sent one. */
#define RECENT_REPORT_MS 3000
#define REPORTING_PART	 0.75
/* Shares stay for this time, so that their effect is reported before the next. */
#define SHARES_MS 2000
/* The same if they may reach the bound. */
#define LOWERED_MS 1000

struct gc_rollout_judge {
	gc_rollout_limits_t limits;
	gc_rollout_order_t order;
	gc_rollout_reports_t *reports;
	gc_rollout_tests_t *tests;
	struct timespec created;
	int64_t elapsed_ms; /* at its creation; -1: not known */
	const char *alarm; /* reason; NULL: none */
	gc_rollout_record_t *next;
	struct timespec shares_at;
	bool has_shares;
	gc_rollout_pace_t pace;
};

static int64_t elapsed_ms(const gc_rollout_judge_t *judge, struct timespec now,
			  const gc_rollout_fleet_t *fleet,
			  const gc_rollout_record_t *record);
static const char *refusal(gc_rollout_judge_t *judge,
			   const gc_rollout_fleet_t *fleet);
static bool is_only_version(const gc_rollout_judge_t *judge,
			    const gc_rollout_fleet_t *fleet,
			    const gc_rollout_record_t *record);
static bool has_other_answers(const gc_rollout_judge_t *judge);
static const char *failure(gc_rollout_judge_t *judge,
			   const gc_rollout_fleet_t *fleet, double part);
static const char *alarm_reason(gc_rollout_judge_t *judge,
				const gc_rollout_alarm_t *alarm);
static const char *lacking(gc_rollout_judge_t *judge, struct timespec now,
			   const gc_rollout_fleet_t *fleet, int64_t elapsed);
static bool is_acceptable(const gc_rollout_judge_t *judge, double part);
static bool lacks_answers(const gc_rollout_judge_t *judge, int64_t elapsed,
			  uint64_t *route);
static bool may_change_shares(const gc_rollout_judge_t *judge,
			      struct timespec now,
			      const gc_rollout_fleet_t *fleet);
static bool has_most_reports(const gc_rollout_judge_t *judge,
			     struct timespec now,
			     const gc_rollout_fleet_t *fleet);
static const gc_rollout_record_t *update_shares(gc_rollout_judge_t *judge,
						struct timespec now,
						const gc_rollout_fleet_t *fleet,
						int64_t elapsed);
static void begin(gc_rollout_judge_t *judge, const gc_rollout_fleet_t *fleet,
		  const gc_rollout_record_t *former);
static bool is_superseded_target(const gc_rollout_record_t *former);
static const gc_rollout_record_t *succeed(gc_rollout_judge_t *judge,
					  const gc_rollout_fleet_t *fleet,
					  const char *reason);
static const gc_rollout_record_t *
roll_back(gc_rollout_judge_t *judge, const char *reason, bool bar_target);

gc_rollout_judge_t *gc_rollout_judge_create(TALLOC_CTX *mem,
					    const gc_rollout_limits_t *limits,
					    const gc_rollout_order_t *order,
					    struct timespec now,
					    int64_t elapsed_ms)
{
	gc_rollout_judge_t *judge = talloc_zero(mem, gc_rollout_judge_t);

	judge->limits = *limits;
	judge->order = *order;
	judge->order.service = gc_str_dup(judge, order->service);
	judge->order.target = gc_str_dup(judge, order->target);
	judge->reports = gc_rollout_reports_create(judge);
	judge->tests = gc_rollout_tests_create(judge);
	judge->created = now;
	judge->elapsed_ms = elapsed_ms;
	judge->pace.at = now;
	return judge;
}

void gc_rollout_judge_add_report(gc_rollout_judge_t *judge, struct timespec now,
				 const gc_rollout_report_t *report)
{
	if (report->order == judge->order.id)
		gc_rollout_reports_add(judge->reports, now, report);
}

const gc_rollout_record_t *
gc_rollout_judge_decide(gc_rollout_judge_t *judge, struct timespec now,
			const gc_rollout_fleet_t *fleet,
			const gc_rollout_record_t *record)
{
	bool begun = record && record->order == judge->order.id;
	int64_t elapsed = elapsed_ms(judge, now, fleet, begun ? record : NULL);
	double part =
		(double)elapsed / (double)MAX(judge->order.duration_ms, 1);
	gc_rollout_record_t *last = judge->next;
	gc_rollout_alarm_t alarm;
	const char *reason;

	if (begun && record->state != GC_ROLLOUT_RUNNING)
		return NULL;
	if (begun)
		judge->next = gc_rollout_record_copy(judge, record);
	else
		begin(judge, fleet, record);
	/* Not before, as the caller may pass it as the record. */
	talloc_free(last);
	gc_rollout_pace_update(&judge->pace, now, judge->reports);
	if (!judge->alarm &&
	    gc_rollout_tests_step(judge->tests, now, judge->reports, &alarm))
		judge->alarm = alarm_reason(judge, &alarm);
	reason = refusal(judge, fleet);
	if (reason)
		return roll_back(judge, reason,
				 !is_only_version(judge, fleet, judge->next));
	if (judge->alarm)
		return roll_back(judge, judge->alarm, true);
	if (fleet->n_target_servers > 0 &&
	    is_only_version(judge, fleet, judge->next) &&
	    (!begun || (has_most_reports(judge, now, fleet) &&
			!has_other_answers(judge))))
		return succeed(judge, fleet, "no other version is listed");
	reason = failure(judge, fleet, part);
	if (reason)
		return roll_back(judge, reason, true);
	if (part >= ACCEPT_AT) {
		reason = lacking(judge, now, fleet, elapsed);
		if (!reason && is_acceptable(judge, part))
			return succeed(judge, fleet, "");
	}
	if (part >= UNDECIDED_AT)
		return roll_back(
			judge,
			reason ? reason
			       : "undecided: some answers of the target are bad",
			true);
	if (!begun)
		return judge->next;
	return update_shares(judge, now, fleet, elapsed);
}

static int64_t elapsed_ms(const gc_rollout_judge_t *judge, struct timespec now,
			  const gc_rollout_fleet_t *fleet,
			  const gc_rollout_record_t *record)
{
	int64_t elapsed = gc_rollout_reports_elapsed_ms(judge->reports, now);

	if (judge->elapsed_ms >= 0)
		elapsed = MAX(elapsed,
			      judge->elapsed_ms +
				      gc_ms_between(judge->created, now));
	if (elapsed < 0 && record)
		elapsed = fleet->now_ms - record->started_ms;
	return CLAMP(elapsed, 0, judge->order.duration_ms);
}

/* Why the order can't be followed; NULL if it can. */
static const char *refusal(gc_rollout_judge_t *judge,
			   const gc_rollout_fleet_t *fleet)
{
	if (judge->limits.share <= 0)
		return "roll-outs are not enabled by the settings";
	if (!fleet->service_known)
		return "service: not in the configuration in force";
	if (fleet->n_able < fleet->n_daemons)
		return talloc_asprintf(
			judge->next,
			"%zu of %zu daemons can't bound the requests to the target",
			fleet->n_daemons - fleet->n_able, fleet->n_daemons);
	return NULL;
}

/* True if no other listed version may get requests. */
static bool is_only_version(const gc_rollout_judge_t *judge,
			    const gc_rollout_fleet_t *fleet,
			    const gc_rollout_record_t *record)
{
	for (size_t i = 0; i < fleet->n_other_versions; i++)
		if (!gc_str_eq(fleet->other_versions[i], judge->order.target) &&
		    !gc_rollout_is_barred(record, fleet->other_versions[i]))
			return false;
	return true;
}

static bool has_other_answers(const gc_rollout_judge_t *judge)
{
	size_t n;
	const gc_rollout_series_t *series =
		gc_rollout_reports_series(judge->reports, &n);

	for (size_t i = 0; i < n; i++)
		if (series[i].n_others > 0)
			return true;
	return false;
}

static const char *failure(gc_rollout_judge_t *judge,
			   const gc_rollout_fleet_t *fleet, double part)
{
	if (part >= NO_SERVER_AT && fleet->n_target_servers == 0)
		return "target: no ready server of this version";
	return NULL;
}

static const char *alarm_reason(gc_rollout_judge_t *judge,
				const gc_rollout_alarm_t *alarm)
{
	static const char *const measures[] = {
		[GC_ROLLOUT_ANSWER] = "answers",
		[GC_ROLLOUT_FIRST_EVENT] = "first events",
		[GC_ROLLOUT_EVENT_GAP] = "event gaps",
	};
	const char *where =
		alarm->all_routes ? "all routes"
				  : talloc_asprintf(judge, "route %016" PRIx64,
						    alarm->route);

	return talloc_asprintf(
		judge,
		"%s: %s of the target %s: %" PRIu64 " of %" PRIu64
		" (%.0f %%), other versions %.0f %%",
		where, measures[alarm->measure],
		alarm->slow ? "are slow" : "fail", alarm->n_bad, alarm->n,
		100.0 * (double)alarm->n_bad / (double)MAX(alarm->n, 1),
		100 * alarm->rate);
}

/* What is missing for a success; NULL: nothing. */
static const char *lacking(gc_rollout_judge_t *judge, struct timespec now,
			   const gc_rollout_fleet_t *fleet, int64_t elapsed)
{
	uint64_t route = 0;

	if (fleet->n_target_servers == 0)
		return "undecided: no ready server of the target";
	if (!has_most_reports(judge, now, fleet))
		return talloc_asprintf(
			judge->next, "undecided: %zu of %zu daemons report",
			gc_rollout_reports_n_recent(judge->reports, now,
						    RECENT_REPORT_MS),
			fleet->n_daemons);
	if (lacks_answers(judge, elapsed, &route))
		return talloc_asprintf(
			judge->next,
			"undecided: too few answers of the target on route %016" PRIx64,
			route);
	return NULL;
}

static bool is_acceptable(const gc_rollout_judge_t *judge, double part)
{
	double suspicion = gc_rollout_tests_suspicion(judge->tests);

	return suspicion <
	       (part >= RECHECKED_AT ? MAX_LAST_SUSPICION : MAX_SUSPICION);
}

static bool lacks_answers(const gc_rollout_judge_t *judge, int64_t elapsed,
			  uint64_t *route)
{
	double n_requests =
		(double)gc_rollout_reports_n_requests(judge->reports);
	double expected = n_requests * (double)judge->order.duration_ms /
			  (double)MAX(elapsed, 1);
	gc_rollout_plan_t routes;
	double allowed;
	size_t n;
	const gc_rollout_series_t *series =
		gc_rollout_reports_series(judge->reports, &n);

	gc_rollout_plan_weigh(&routes, judge->reports);
	allowed = gc_rollout_budget(&judge->limits, expected) /
		  (double)MAX(routes.n_routes, 1);
	for (size_t i = 0; i < routes.n_routes; i++) {
		uint64_t n_target = 0;
		double n_all = 0;

		for (size_t j = 0; j < n; j++) {
			if (series[j].route != routes.routes[i].route)
				continue;
			n_target = MAX(n_target, series[j].n_target);
			n_all = MAX(n_all, (double)(series[j].n_target +
						    series[j].n_others));
		}
		*route = routes.routes[i].route;
		if (n_target < MIN_ANSWERS &&
		    (double)n_target + 1 <= MIN_ANSWERS_PART * n_all &&
		    (double)n_target + 1 <= MIN_ANSWERS_BUDGET * allowed)
			return true;
	}
	return false;
}

/* A new judge knows too little of the requests until most daemons have reported. */
static bool may_change_shares(const gc_rollout_judge_t *judge,
			      struct timespec now,
			      const gc_rollout_fleet_t *fleet)
{
	return has_most_reports(judge, now, fleet) &&
	       (!judge->has_shares ||
		gc_ms_between(judge->shares_at, now) >= SHARES_MS);
}

static bool has_most_reports(const gc_rollout_judge_t *judge,
			     struct timespec now,
			     const gc_rollout_fleet_t *fleet)
{
	return (double)gc_rollout_reports_n_recent(judge->reports, now,
						   RECENT_REPORT_MS) >=
	       REPORTING_PART * (double)fleet->n_daemons;
}

static const gc_rollout_record_t *update_shares(gc_rollout_judge_t *judge,
						struct timespec now,
						const gc_rollout_fleet_t *fleet,
						int64_t elapsed)
{
	gc_rollout_progress_t progress = {
		.limits = &judge->limits,
		.reports = judge->reports,
		.tests = judge->tests,
		.pace = &judge->pace,
		.share = judge->next->share,
		.elapsed_ms = elapsed,
		.duration_ms = judge->order.duration_ms,
		.urgent = gc_rollout_tests_suspicion(judge->tests) >=
			  MAX_SUSPICION,
	};
	gc_rollout_plan_t current;
	gc_rollout_plan_t plan;

	if (judge->has_shares &&
	    gc_ms_between(judge->shares_at, now) < LOWERED_MS)
		return NULL;
	gc_rollout_plan_read(&current, judge->next);
	if (!gc_rollout_plan_compute(&plan, &progress))
		return NULL;
	if (!gc_rollout_plan_is_too_high(&current, &plan) &&
	    (!may_change_shares(judge, now, fleet) ||
	     !gc_rollout_plan_differs(&plan, &current)))
		return NULL;
	judge->has_shares = true;
	gc_rollout_pace_reset(&judge->pace);
	judge->shares_at = now;
	gc_rollout_plan_write(judge->next, &plan);
	return judge->next;
}

/* Prepares the first record of the order. */
static void begin(gc_rollout_judge_t *judge, const gc_rollout_fleet_t *fleet,
		  const gc_rollout_record_t *former)
{
	gc_rollout_record_t record = {
		.service = judge->order.service,
		.target = judge->order.target,
		.state = GC_ROLLOUT_RUNNING,
		.reason = GC_STR_EMPTY,
		.order = judge->order.id,
		.duration_ms = judge->order.duration_ms,
		.started_ms = fleet->now_ms,
	};
	gc_rollout_plan_t plan;

	if (former) {
		record.barred = former->barred;
		record.n_barred = former->n_barred;
		record.revision = former->revision;
	}
	judge->next = gc_rollout_record_copy(judge, &record);
	gc_rollout_plan_start(&plan);
	gc_rollout_plan_write(judge->next, &plan);
	if (former && former->target.len > 0 && is_superseded_target(former))
		gc_rollout_record_bar(judge->next, former->target);
	gc_rollout_record_unbar(judge->next, judge->order.target);
}

/* A roll-back has barred its target, unless that is the version in effect. A record that
 * names no order comes from a writer that bars nothing. */
static bool is_superseded_target(const gc_rollout_record_t *former)
{
	return former->state == GC_ROLLOUT_RUNNING ||
	       (former->state == GC_ROLLOUT_ROLLED_BACK && former->order == 0);
}

static const gc_rollout_record_t *succeed(gc_rollout_judge_t *judge,
					  const gc_rollout_fleet_t *fleet,
					  const char *reason)
{
	gc_rollout_record_t *record = judge->next;

	record->state = GC_ROLLOUT_SUCCEEDED;
	record->reason = gc_str(reason);
	for (size_t i = 0; i < fleet->n_other_versions; i++)
		if (!gc_str_eq(fleet->other_versions[i], record->target))
			gc_rollout_record_bar(record, fleet->other_versions[i]);
	return record;
}

static const gc_rollout_record_t *roll_back(gc_rollout_judge_t *judge,
					    const char *reason, bool bar_target)
{
	gc_rollout_record_t *record = judge->next;

	record->state = GC_ROLLOUT_ROLLED_BACK;
	record->reason = gc_str(reason);
	record->share = 0;
	record->n_routes = 0;
	if (bar_target)
		gc_rollout_record_bar(record, record->target);
	return record;
}
