/* Sums of the daemons' reports of a roll-out. */
#include <glib.h>

#include "core/clock.h"
#include "core/rollout_reports.h"

#define MAX_SERIES ((size_t)GC_ROLLOUT_MAX_ROUTES * GC_ROLLOUT_N_MEASURES)

/* The last report of a daemon. */
typedef struct reporter {
	uint64_t daemon;
	struct timespec at;
	uint32_t n_requests;
	uint32_t n_sent;
	gc_rollout_counts_t *counts;
	size_t n_counts;
} reporter_t;

struct gc_rollout_reports {
	reporter_t *reporters;
	size_t n_reporters;
	gc_rollout_series_t *series;
	size_t n_series;
	uint64_t n_requests;
	uint64_t n_sent;
	/* The order's age at a time; -1: not known. */
	int64_t elapsed_ms;
	struct timespec elapsed_at;
};

static reporter_t *find_or_add_reporter(gc_rollout_reports_t *reports,
					uint64_t daemon);
static const gc_rollout_counts_t *find_counts(const reporter_t *reporter,
					      const gc_rollout_counts_t *like);
static bool has_restarted(const reporter_t *reporter,
			  const gc_rollout_report_t *report);
static void note_elapsed(gc_rollout_reports_t *reports, struct timespec now,
			 int64_t elapsed_ms);
static gc_rollout_series_t *find_or_add_series(gc_rollout_reports_t *reports,
					       uint64_t route,
					       gc_rollout_measure_t measure);
static void add_counts(gc_rollout_reports_t *reports,
		       const gc_rollout_counts_t *counts,
		       const gc_rollout_counts_t *former);

gc_rollout_reports_t *gc_rollout_reports_create(TALLOC_CTX *mem)
{
	gc_rollout_reports_t *reports = talloc_zero(mem, gc_rollout_reports_t);

	reports->elapsed_ms = -1;
	return reports;
}

void gc_rollout_reports_add(gc_rollout_reports_t *reports, struct timespec now,
			    const gc_rollout_report_t *report)
{
	reporter_t *reporter = find_or_add_reporter(reports, report->daemon);

	if (has_restarted(reporter, report)) {
		reporter->n_requests = 0;
		reporter->n_sent = 0;
		reporter->n_counts = 0;
	}
	reports->n_requests += report->n_requests - reporter->n_requests;
	reports->n_sent += report->n_sent - reporter->n_sent;
	for (size_t i = 0; i < report->n_counts; i++)
		add_counts(reports, &report->counts[i],
			   find_counts(reporter, &report->counts[i]));
	reporter->at = now;
	reporter->n_requests = report->n_requests;
	reporter->n_sent = report->n_sent;
	reporter->n_counts = report->n_counts;
	reporter->counts =
		talloc_realloc(reports, reporter->counts, gc_rollout_counts_t,
			       MAX(report->n_counts, 1));
	for (size_t i = 0; i < report->n_counts; i++)
		reporter->counts[i] = report->counts[i];
	note_elapsed(reports, now, report->elapsed_ms);
}

static reporter_t *find_or_add_reporter(gc_rollout_reports_t *reports,
					uint64_t daemon)
{
	reporter_t *reporter;

	for (size_t i = 0; i < reports->n_reporters; i++)
		if (reports->reporters[i].daemon == daemon)
			return &reports->reporters[i];
	reports->reporters =
		talloc_realloc(reports, reports->reporters, reporter_t,
			       reports->n_reporters + 1);
	reporter = &reports->reporters[reports->n_reporters++];
	*reporter = (reporter_t){.daemon = daemon};
	return reporter;
}

static const gc_rollout_counts_t *find_counts(const reporter_t *reporter,
					      const gc_rollout_counts_t *like)
{
	for (size_t i = 0; i < reporter->n_counts; i++) {
		const gc_rollout_counts_t *counts = &reporter->counts[i];

		if (counts->route == like->route &&
		    counts->measure == like->measure &&
		    counts->target == like->target)
			return counts;
	}
	return NULL;
}

static bool has_restarted(const reporter_t *reporter,
			  const gc_rollout_report_t *report)
{
	if (report->n_requests < reporter->n_requests ||
	    report->n_sent < reporter->n_sent ||
	    report->n_counts < reporter->n_counts)
		return true;
	for (size_t i = 0; i < report->n_counts; i++) {
		const gc_rollout_counts_t *counts = &report->counts[i];
		const gc_rollout_counts_t *former =
			find_counts(reporter, counts);

		if (!former)
			continue;
		if (counts->n < former->n ||
		    counts->n_failed < former->n_failed)
			return true;
		for (size_t j = 0; j < GC_ROLLOUT_TIME_BUCKETS; j++)
			if (counts->times[j] < former->times[j])
				return true;
	}
	return false;
}

static void note_elapsed(gc_rollout_reports_t *reports, struct timespec now,
			 int64_t elapsed_ms)
{
	if (elapsed_ms < 0 ||
	    elapsed_ms <= gc_rollout_reports_elapsed_ms(reports, now))
		return;
	reports->elapsed_ms = elapsed_ms;
	reports->elapsed_at = now;
}

/* NULL if there are too many. */
static gc_rollout_series_t *find_or_add_series(gc_rollout_reports_t *reports,
					       uint64_t route,
					       gc_rollout_measure_t measure)
{
	gc_rollout_series_t *series;

	for (size_t i = 0; i < reports->n_series; i++) {
		series = &reports->series[i];
		if (series->route == route && series->measure == measure)
			return series;
	}
	if (reports->n_series == MAX_SERIES)
		return NULL;
	reports->series =
		talloc_realloc(reports, reports->series, gc_rollout_series_t,
			       reports->n_series + 1);
	series = &reports->series[reports->n_series++];
	*series = (gc_rollout_series_t){.route = route, .measure = measure};
	return series;
}

static void add_counts(gc_rollout_reports_t *reports,
		       const gc_rollout_counts_t *counts,
		       const gc_rollout_counts_t *former)
{
	static const gc_rollout_counts_t none;
	gc_rollout_series_t *series =
		find_or_add_series(reports, counts->route, counts->measure);
	gc_rollout_counts_t *sums;

	if (!series)
		return;
	if (!former)
		former = &none;
	sums = counts->target ? &series->target : &series->others;
	sums->n += counts->n - former->n;
	sums->n_failed += counts->n_failed - former->n_failed;
	for (size_t i = 0; i < GC_ROLLOUT_TIME_BUCKETS; i++)
		sums->times[i] += counts->times[i] - former->times[i];
	if (counts->target)
		series->n_target += counts->n - former->n;
	else
		series->n_others += counts->n - former->n;
}

uint64_t gc_rollout_reports_n_requests(const gc_rollout_reports_t *reports)
{
	return reports->n_requests;
}

uint64_t gc_rollout_reports_n_sent(const gc_rollout_reports_t *reports)
{
	return reports->n_sent;
}

gc_rollout_series_t *
gc_rollout_reports_series(const gc_rollout_reports_t *reports, size_t *n)
{
	*n = reports->n_series;
	return reports->series;
}

size_t gc_rollout_reports_n_recent(const gc_rollout_reports_t *reports,
				   struct timespec now, int64_t age_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < reports->n_reporters; i++)
		n += gc_ms_between(reports->reporters[i].at, now) <= age_ms;
	return n;
}

int64_t gc_rollout_reports_elapsed_ms(const gc_rollout_reports_t *reports,
				      struct timespec now)
{
	if (reports->elapsed_ms < 0)
		return -1;
	return reports->elapsed_ms + gc_ms_between(reports->elapsed_at, now);
}
