/* Counters and histograms of one client account and one class. */
#include "lib/account_metrics.h"
#include "lib/metrics.h"

typedef struct series {
	gc_metric_t *counts[GC_ACCOUNT_METRICS_N_COUNTS];
	gc_metric_t *times[GC_ACCOUNT_METRICS_N_TIMES];
} series_t;

struct gc_account_metrics {
	series_t account;
	series_t class_series;
};

static const char *const count_names[][2] = {
	[GC_ACCOUNT_METRICS_REQUESTS] = {"requests_total",
					 "Requests of known accounts."},
	[GC_ACCOUNT_METRICS_TOKENS] = {"tokens_total",
				       "Tokens delivered to callers."},
	[GC_ACCOUNT_METRICS_RESUMES] =
		{"resumes_total", "Generations that went on after a break."},
	[GC_ACCOUNT_METRICS_REFUSALS] = {"refusals_total", "Refused requests."},
};

static const char *const time_names[][2] = {
	[GC_ACCOUNT_METRICS_FIRST_TOKEN] =
		{"first_token_ms", "Time from the request to its first token."},
	[GC_ACCOUNT_METRICS_TOKEN_INTERVAL] = {"token_interval_ms",
					       "Time between two tokens."},
	[GC_ACCOUNT_METRICS_RESUME_GAP] =
		{"resume_gap_ms", "Time between the last token before a break "
				  "and the next."},
};

static GMutex meters_lock;
static GHashTable *meters; /* "account\x01class" -> meter */

static void fill(series_t *series, const char *label, const char *value);

gc_account_metrics_t *gc_account_metrics_get(const char *account,
					     const char *class_name)
{
	g_autofree char *key =
		g_strconcat(account ? account : "", "\x01", class_name, NULL);
	gc_account_metrics_t *meter;

	g_mutex_lock(&meters_lock);
	if (!meters)
		meters = g_hash_table_new(g_str_hash, g_str_equal);
	meter = g_hash_table_lookup(meters, key);
	if (!meter) {
		meter = g_new0(gc_account_metrics_t, 1);
		fill(&meter->account, "account", account ? account : "");
		fill(&meter->class_series, "class", class_name);
		g_hash_table_insert(meters, g_steal_pointer(&key), meter);
	}
	g_mutex_unlock(&meters_lock);
	return meter;
}

static void fill(series_t *series, const char *label, const char *value)
{
	for (size_t i = 0; i < GC_ACCOUNT_METRICS_N_COUNTS; i++) {
		g_autofree char *name = g_strdup_printf(
			"goldcrest_%s_%s", label, count_names[i][0]);

		series->counts[i] =
			gc_counter(name, count_names[i][1], label, value);
	}
	for (size_t i = 0; i < GC_ACCOUNT_METRICS_N_TIMES; i++) {
		g_autofree char *name = g_strdup_printf(
			"goldcrest_%s_%s", label, time_names[i][0]);

		series->times[i] =
			gc_histogram_ms(name, time_names[i][1], label, value);
	}
}

void gc_account_metrics_add(gc_account_metrics_t *meter,
			    gc_account_metrics_count_t count, uint64_t n)
{
	gc_counter_add(meter->account.counts[count], n);
	gc_counter_add(meter->class_series.counts[count], n);
}

void gc_account_metrics_observe(gc_account_metrics_t *meter,
				gc_account_metrics_time_t time, double ms)
{
	gc_histogram_observe(meter->account.times[time], ms);
	gc_histogram_observe(meter->class_series.times[time], ms);
}
