/* Counters and histograms by client account and by request class. */
#include "lib/account_metrics.h"
#include "lib/metrics.h"

/* The series of one label value. */
typedef struct metric_set {
	gc_metric_t *counters[GC_ACCOUNT_METRICS_N_COUNTERS];
	gc_metric_t *histograms[GC_ACCOUNT_METRICS_N_HISTOGRAMS];
} metric_set_t;

struct gc_account_metrics {
	metric_set_t by_account;
	metric_set_t by_class;
};

/* Last part of the metric's name, help text. */
static const char *const counter_descs[][2] = {
	[GC_ACCOUNT_METRICS_REQUESTS] = {"requests_total",
					 "Requests of known accounts."},
	[GC_ACCOUNT_METRICS_TOKENS] = {"tokens_total",
				       "Tokens delivered to callers."},
	[GC_ACCOUNT_METRICS_RESUMES] =
		{"resumes_total", "Generations that went on after a break."},
	[GC_ACCOUNT_METRICS_REFUSALS] = {"refusals_total", "Refused requests."},
};

static const char *const histogram_descs[][2] = {
	[GC_ACCOUNT_METRICS_FIRST_TOKEN] =
		{"first_token_ms", "Time from the request to its first token."},
	[GC_ACCOUNT_METRICS_TOKEN_INTERVAL] = {"token_interval_ms",
					       "Time between two tokens."},
	[GC_ACCOUNT_METRICS_RESUME_GAP] =
		{"resume_gap_ms", "Time between the last token before a break "
				  "and the next."},
};

static GMutex registry_lock;
/* "account\x01class" -> gc_account_metrics_t; entries are never removed. */
static GHashTable *registry;

static void create_series(metric_set_t *metric_set, const char *label,
			  const char *value);

gc_account_metrics_t *gc_account_metrics_get(const char *account,
					     const char *class_name)
{
	g_autofree char *key =
		g_strconcat(account ? account : "", "\x01", class_name, NULL);
	gc_account_metrics_t *metrics;

	g_mutex_lock(&registry_lock);
	if (!registry)
		registry = g_hash_table_new(g_str_hash, g_str_equal);
	metrics = g_hash_table_lookup(registry, key);
	if (!metrics) {
		metrics = g_new0(gc_account_metrics_t, 1);
		create_series(&metrics->by_account, "account",
			      account ? account : "");
		create_series(&metrics->by_class, "class", class_name);
		g_hash_table_insert(registry, g_steal_pointer(&key), metrics);
	}
	g_mutex_unlock(&registry_lock);
	return metrics;
}

static void create_series(metric_set_t *metric_set, const char *label,
			  const char *value)
{
	for (size_t i = 0; i < GC_ACCOUNT_METRICS_N_COUNTERS; i++) {
		g_autofree char *name = g_strdup_printf(
			"goldcrest_%s_%s", label, counter_descs[i][0]);

		metric_set->counters[i] =
			gc_counter(name, counter_descs[i][1], label, value);
	}
	for (size_t i = 0; i < GC_ACCOUNT_METRICS_N_HISTOGRAMS; i++) {
		g_autofree char *name = g_strdup_printf(
			"goldcrest_%s_%s", label, histogram_descs[i][0]);

		metric_set->histograms[i] = gc_histogram_ms(
			name, histogram_descs[i][1], label, value);
	}
}

void gc_account_metrics_add(gc_account_metrics_t *metrics,
			    gc_account_counter_t counter, uint64_t n)
{
	gc_counter_add(metrics->by_account.counters[counter], n);
	gc_counter_add(metrics->by_class.counters[counter], n);
}

void gc_account_metrics_observe(gc_account_metrics_t *metrics,
				gc_account_histogram_t histogram, double ms)
{
	gc_histogram_observe(metrics->by_account.histograms[histogram], ms);
	gc_histogram_observe(metrics->by_class.histograms[histogram], ms);
}
