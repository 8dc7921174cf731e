/*
 * One-sided CUSUM tests: log-likelihood ratios of a raised rate to that of the other
 * versions are summed up, and a sum below 0 starts anew, so that a version that turns
 * bad late is found as fast as one that is bad from the start.
 */
#include <math.h>

#include <glib.h>

#include "core/clock.h"
#include "core/rollout_recent.h"
#include "core/rollout_tests.h"

/* Time constant of the others' failures. Their rate is steadier than the times, and a
 * longer memory makes it less uncertain. */
#define FAILURE_WINDOW_S 20.0
/* The same for their times, which have to follow a burst. */
#define SLOW_WINDOW_S 3.0
/* Of the latest counts, which tell that a burst has begun. */
#define LATEST_WINDOW_S 1.0
/* The others' counts don't decay below this number of answers. */
#define MIN_RECENT 16.0
/* Least rate that is assumed for the others, so that a few bad answers of a service
 * that seems to have none raise no alarm. */
#define MIN_RATE 0.02
/* Standard deviations by which the rates of recent and of latest answers are raised,
 * as they are known from few answers. */
#define BASE_DEVIATIONS	  1.5
#define LATEST_DEVIATIONS 1.0
/* Answers by which the rate of a route is drawn to that of all routes. */
#define PRIOR_ANSWERS	     10.0
#define PRIOR_LATEST_ANSWERS 3.0
/* The raised rate that is tested: at least this ratio and this difference. */
#define RAISED_RATIO 2.0
#define RAISED_STEP  0.25
#define MAX_RAISED   0.95
/* Where so many of the others' answers are bad, those of the target tell nothing. */
#define MAX_RATE 0.6
/* Sum that raises an alarm. In trials with 2,000 bursts at 40 requests a second, 6 good
 * versions were taken back with 7, and 2 with 8. */
#define ALARM 8.0
/* Answers of the others before the target's times are compared with theirs, and before
 * a route tells of a burst. */
#define MIN_OTHERS	  8
#define MIN_SHIFT_ANSWERS 3
/* Three times as slow, in buckets. */
#define SLOW_BUCKETS 3.17
/* While the others' latest answers are slower by this number of buckets, at least this
 * rate of slow answers is expected of the target. */
#define BURST_SHIFT 1.0
#define BURST_RATE  0.25

typedef struct test {
	double sum;
	gc_rollout_tally_t tally; /* since the sum was 0 */
	double rate; /* of the others, at the last step */
} test_t;

typedef struct tested_series {
	gc_rollout_recent_t others;
	gc_rollout_recent_t latest; /* of the others */
	test_t failures;
	test_t slow;
} tested_series_t;

struct gc_rollout_tests {
	struct timespec stepped_at;
	tested_series_t *series; /* indexed as those of the reports */
	size_t n_series;
	/* Over all routes. */
	test_t failures[GC_ROLLOUT_N_MEASURES];
	test_t slow[GC_ROLLOUT_N_MEASURES];
};

/* What the target's answers on a route are compared with. */
typedef struct base {
	gc_rollout_tally_t route;
	gc_rollout_tally_t all; /* routes */
	/* The latest of these. */
	gc_rollout_tally_t route_now;
	gc_rollout_tally_t all_now;
} base_t;

/* One step of a test over all routes. */
typedef struct pooled_step {
	double ratio;
	gc_rollout_tally_t tally;
	double n_expected; /* bad answers at the others' rates */
} pooled_step_t;

static void add_others(gc_rollout_tests_t *tests, struct timespec now,
		       const gc_rollout_series_t *series, size_t n);
static double slowed(double s, double window_s, double n);
static void test_failures(gc_rollout_tests_t *tests,
			  gc_rollout_series_t *series, size_t n,
			  gc_rollout_measure_t measure);
static void test_times(gc_rollout_tests_t *tests, gc_rollout_series_t *series,
		       size_t n, gc_rollout_measure_t measure);
static void pool_times(const gc_rollout_tests_t *tests,
		       const gc_rollout_series_t *series, size_t n,
		       gc_rollout_measure_t measure,
		       gc_rollout_recent_t *pooled, base_t *base);
static double slow_from(const tested_series_t *series, double shift);
static double mean_shift(const gc_rollout_tests_t *tests,
			 const gc_rollout_series_t *series, size_t n,
			 gc_rollout_measure_t measure);
static double base_rate(const base_t *base);
static double add_step(test_t *test, double rate, gc_rollout_tally_t tally);
static void add_pooled(test_t *test, const pooled_step_t *step);
static bool is_alarm(const test_t *test, gc_rollout_alarm_t *alarm);

gc_rollout_tests_t *gc_rollout_tests_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, gc_rollout_tests_t);
}

bool gc_rollout_tests_step(gc_rollout_tests_t *tests, struct timespec now,
			   const gc_rollout_reports_t *reports,
			   gc_rollout_alarm_t *alarm)
{
	gc_rollout_series_t *series;
	size_t n;

	series = gc_rollout_reports_series(reports, &n);
	if (n > tests->n_series)
		tests->series = talloc_realloc(tests, tests->series,
					       tested_series_t, n);
	for (; tests->n_series < n; tests->n_series++)
		tests->series[tests->n_series] = (tested_series_t){0};
	add_others(tests, now, series, n);
	for (int i = 0; i < GC_ROLLOUT_N_MEASURES; i++) {
		test_failures(tests, series, n, i);
		test_times(tests, series, n, i);
	}
	for (size_t i = 0; i < n; i++) {
		series[i].others = (gc_rollout_counts_t){0};
		*alarm = (gc_rollout_alarm_t){
			.route = series[i].route,
			.measure = series[i].measure,
		};
		if (is_alarm(&tests->series[i].failures, alarm))
			return true;
		alarm->slow = true;
		if (is_alarm(&tests->series[i].slow, alarm))
			return true;
	}
	for (int i = 0; i < GC_ROLLOUT_N_MEASURES; i++) {
		*alarm = (gc_rollout_alarm_t){.all_routes = true, .measure = i};
		if (is_alarm(&tests->failures[i], alarm))
			return true;
		alarm->slow = true;
		if (is_alarm(&tests->slow[i], alarm))
			return true;
	}
	return false;
}

static void add_others(gc_rollout_tests_t *tests, struct timespec now,
		       const gc_rollout_series_t *series, size_t n)
{
	double s = (double)gc_us_between(tests->stepped_at, now) / 1e6;
	double latest = exp(-MAX(s, 0) / LATEST_WINDOW_S);

	tests->stepped_at = now;
	for (size_t i = 0; i < n; i++) {
		gc_rollout_recent_t *others = &tests->series[i].others;

		gc_rollout_recent_decay(
			others, slowed(s, FAILURE_WINDOW_S, others->n),
			slowed(s, SLOW_WINDOW_S, others->n_timed));
		gc_rollout_recent_add(others, &series[i].others);
		gc_rollout_recent_decay(&tests->series[i].latest, latest,
					latest);
		gc_rollout_recent_add(&tests->series[i].latest,
				      &series[i].others);
	}
}

/* The factor by which counts gc_rollout_recent_decay, so that MIN_RECENT of n answers are left. */
static double slowed(double s, double window_s, double n)
{
	return MAX(exp(-MAX(s, 0) / window_s), MIN_RECENT / MAX(n, MIN_RECENT));
}

static void test_failures(gc_rollout_tests_t *tests,
			  gc_rollout_series_t *series, size_t n,
			  gc_rollout_measure_t measure)
{
	pooled_step_t pooled = {0};
	base_t base = {0};

	for (size_t i = 0; i < n; i++) {
		const gc_rollout_recent_t *others = &tests->series[i].others;

		if (series[i].measure != measure)
			continue;
		base.all.n += others->n;
		base.all.n_bad += others->n_failed;
		base.all_now.n += tests->series[i].latest.n;
		base.all_now.n_bad += tests->series[i].latest.n_failed;
	}
	for (size_t i = 0; i < n; i++) {
		const gc_rollout_recent_t *others = &tests->series[i].others;
		gc_rollout_counts_t *target = &series[i].target;
		gc_rollout_tally_t tally = {target->n, target->n_failed};
		double rate;

		if (series[i].measure != measure || target->n == 0)
			continue;
		base.route = (gc_rollout_tally_t){others->n, others->n_failed};
		base.route_now =
			(gc_rollout_tally_t){tests->series[i].latest.n,
					     tests->series[i].latest.n_failed};
		rate = base_rate(&base);
		pooled.ratio +=
			add_step(&tests->series[i].failures, rate, tally);
		pooled.tally.n += tally.n;
		pooled.tally.n_bad += tally.n_bad;
		pooled.n_expected += rate * tally.n;
		target->n = 0;
		target->n_failed = 0;
	}
	add_pooled(&tests->failures[measure], &pooled);
}

/* The target's times on a route wait until enough is known of the others there. Only
 * if they have answered nothing there, their times on all routes are taken. */
static void test_times(gc_rollout_tests_t *tests, gc_rollout_series_t *series,
		       size_t n, gc_rollout_measure_t measure)
{
	pooled_step_t pooled = {0};
	tested_series_t all = {0};
	base_t base = {0};
	double shift = mean_shift(tests, series, n, measure);

	pool_times(tests, series, n, measure, &all.others, &base);
	for (size_t i = 0; i < n; i++) {
		const tested_series_t *compared = &tests->series[i];
		double n_target =
			gc_rollout_counts_tally(&series[i].target, 0).n;
		gc_rollout_tally_t tally;
		double from;
		double rate;

		if (series[i].measure != measure || n_target < 1)
			continue;
		if (series[i].n_others == 0 && n_target >= MIN_OTHERS)
			compared = &all;
		if (compared->others.n_timed < MIN_OTHERS)
			continue;
		from = slow_from(compared, shift);
		tally = gc_rollout_counts_tally(&series[i].target, from);
		base.route = gc_rollout_recent_tally(&compared->others, from);
		base.route_now =
			gc_rollout_recent_tally(&compared->latest, from);
		rate = base_rate(&base);
		if (shift > BURST_SHIFT)
			rate = MAX(rate, BURST_RATE);
		pooled.ratio += add_step(&tests->series[i].slow, rate, tally);
		pooled.tally.n += tally.n;
		pooled.tally.n_bad += tally.n_bad;
		pooled.n_expected += rate * tally.n;
		for (size_t j = 0; j < GC_ROLLOUT_TIME_BUCKETS; j++)
			series[i].target.times[j] = 0;
	}
	add_pooled(&tests->slow[measure], &pooled);
}

static void pool_times(const gc_rollout_tests_t *tests,
		       const gc_rollout_series_t *series, size_t n,
		       gc_rollout_measure_t measure,
		       gc_rollout_recent_t *pooled, base_t *base)
{
	double shift = mean_shift(tests, series, n, measure);

	for (size_t i = 0; i < n; i++) {
		const gc_rollout_recent_t *others = &tests->series[i].others;
		double from = slow_from(&tests->series[i], shift);
		gc_rollout_tally_t recent =
			gc_rollout_recent_tally(others, from);
		gc_rollout_tally_t latest =
			gc_rollout_recent_tally(&tests->series[i].latest, from);

		if (series[i].measure != measure)
			continue;
		pooled->n_timed += others->n_timed;
		for (size_t j = 0; j < GC_ROLLOUT_TIME_BUCKETS; j++)
			pooled->times[j] += others->times[j];
		base->all.n += recent.n;
		base->all.n_bad += recent.n_bad;
		base->all_now.n += latest.n;
		base->all_now.n_bad += latest.n_bad;
	}
}

/*
 * Where slow answers begin, in buckets. In a burst, the latest answers tell first that
 * all have become slower; on a route with few, those of other routes do.
 */
static double slow_from(const tested_series_t *series, double shift)
{
	if (series->latest.n_timed >= MIN_OTHERS)
		shift = gc_rollout_recent_median(&series->latest) -
			gc_rollout_recent_median(&series->others);
	return gc_rollout_recent_median(&series->others) + MAX(shift, 0) +
	       SLOW_BUCKETS;
}

/* By how much the latest answers on all routes are slower than the recent ones, in
 * buckets. */
static double mean_shift(const gc_rollout_tests_t *tests,
			 const gc_rollout_series_t *series, size_t n,
			 gc_rollout_measure_t measure)
{
	double shift = 0;
	double weight = 0;

	for (size_t i = 0; i < n; i++) {
		const tested_series_t *tested = &tests->series[i];

		if (series[i].measure != measure ||
		    tested->latest.n_timed < MIN_SHIFT_ANSWERS)
			continue;
		weight += tested->latest.n_timed;
		shift += tested->latest.n_timed *
			 (gc_rollout_recent_median(&tested->latest) -
			  gc_rollout_recent_median(&tested->others));
	}
	return weight >= MIN_OTHERS ? shift / weight : 0;
}

/*
 * Rate of bad answers that the other versions would have. In the first moments of a
 * burst the latest answers tell more than the recent ones.
 */
static double base_rate(const base_t *base)
{
	double all = (base->all.n_bad + MIN_RATE * PRIOR_ANSWERS) /
		     (base->all.n + PRIOR_ANSWERS);
	double route = (base->route.n_bad + all * PRIOR_ANSWERS) /
		       (base->route.n + PRIOR_ANSWERS);
	double all_now = (base->all_now.n_bad + all * PRIOR_LATEST_ANSWERS) /
			 (base->all_now.n + PRIOR_LATEST_ANSWERS);
	double now = (base->route_now.n_bad + all_now * PRIOR_LATEST_ANSWERS) /
		     (base->route_now.n + PRIOR_LATEST_ANSWERS);

	route += BASE_DEVIATIONS *
		 sqrt(route * (1 - route) / (base->route.n + PRIOR_ANSWERS));
	now += LATEST_DEVIATIONS * sqrt(now * (1 - now) /
					(base->route_now.n + base->all_now.n +
					 PRIOR_LATEST_ANSWERS));
	return MAX(MAX(route, now), MIN_RATE);
}

/* Returns the log-likelihood ratio of the answers. */
static double add_step(test_t *test, double rate, gc_rollout_tally_t tally)
{
	double raised =
		MIN(MAX(rate * RAISED_RATIO, rate + RAISED_STEP), MAX_RAISED);
	double ratio;

	test->rate = rate;
	if (rate >= MAX_RATE)
		return 0;
	ratio = tally.n_bad * log(raised / rate) +
		(tally.n - tally.n_bad) * log((1 - raised) / (1 - rate));
	test->sum += ratio;
	test->tally.n += tally.n;
	test->tally.n_bad += tally.n_bad;
	if (test->sum <= 0) {
		test->sum = 0;
		test->tally = (gc_rollout_tally_t){0};
	}
	return ratio;
}

static void add_pooled(test_t *test, const pooled_step_t *step)
{
	if (step->tally.n < 1)
		return;
	test->rate = step->n_expected / step->tally.n;
	test->sum += step->ratio;
	test->tally.n += step->tally.n;
	test->tally.n_bad += step->tally.n_bad;
	if (test->sum <= 0) {
		test->sum = 0;
		test->tally = (gc_rollout_tally_t){0};
	}
}

static bool is_alarm(const test_t *test, gc_rollout_alarm_t *alarm)
{
	if (test->sum < ALARM)
		return false;
	alarm->n = (uint64_t)test->tally.n;
	alarm->n_bad = (uint64_t)test->tally.n_bad;
	alarm->rate = test->rate;
	return true;
}

double gc_rollout_tests_route_suspicion(const gc_rollout_tests_t *tests,
					const gc_rollout_reports_t *reports,
					uint64_t route)
{
	double sum = 0;
	size_t n;
	const gc_rollout_series_t *series =
		gc_rollout_reports_series(reports, &n);

	for (size_t i = 0; i < MIN(n, tests->n_series); i++)
		if (series[i].route == route)
			sum = MAX(sum, MAX(tests->series[i].failures.sum,
					   tests->series[i].slow.sum));
	return sum / ALARM;
}

double gc_rollout_tests_suspicion(const gc_rollout_tests_t *tests)
{
	double sum = 0;

	for (size_t i = 0; i < tests->n_series; i++)
		sum = MAX(sum, MAX(tests->series[i].failures.sum,
				   tests->series[i].slow.sum));
	for (int i = 0; i < GC_ROLLOUT_N_MEASURES; i++)
		sum = MAX(sum, MAX(tests->failures[i].sum, tests->slow[i].sum));
	return sum / ALARM;
}
