/* Counters, gauges and histograms in the Prometheus text exposition format. */
#include <stdatomic.h>
#include <string.h>

#include "lib/metrics.h"

/* Upper bounds 1, 2, 4 ... 65536 ms, then infinity. */
#define N_BUCKETS 18

typedef enum metric_type {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
} metric_type_t;

struct gc_metric {
	metric_type_t type;
	char *name;
	char *help;
	char *label_name;
	char *label_value;
	/* Counter or gauge: the value. Histogram: number of observations. */
	atomic_llong value;
	atomic_ullong buckets[N_BUCKETS];
	atomic_ullong sum_us;
};

static const char *const type_names[] = {
	[METRIC_COUNTER] = "counter",
	[METRIC_GAUGE] = "gauge",
	[METRIC_HISTOGRAM] = "histogram",
};

static GMutex registry_lock;
static GTree *registry; /* "name\x01value" of the label -> metric; sorted */

static gc_metric_t *find_or_add(metric_type_t type, const char *name,
				const char *help, const char *label_name,
				const char *label_value);
static gboolean print_metric(gpointer key, gpointer data, gpointer ctx);
static void print_histogram(GString *out, const gc_metric_t *metric);
static char *series_name(const gc_metric_t *metric, const char *suffix,
			 const char *upper_bound);

typedef struct print_state {
	GString *out;
	const char *previous_name; /* its HELP and TYPE lines were printed */
} print_state_t;

gc_metric_t *gc_counter(const char *name, const char *help,
			const char *label_name, const char *label_value)
{
	return find_or_add(METRIC_COUNTER, name, help, label_name, label_value);
}

gc_metric_t *gc_gauge(const char *name, const char *help,
		      const char *label_name, const char *label_value)
{
	return find_or_add(METRIC_GAUGE, name, help, label_name, label_value);
}

gc_metric_t *gc_config_change_us(const char *step)
{
	return gc_gauge("goldcrest_config_change_us",
			"Time of the last change of the configuration.", "step",
			step);
}

gc_metric_t *gc_histogram_ms(const char *name, const char *help,
			     const char *label_name, const char *label_value)
{
	return find_or_add(METRIC_HISTOGRAM, name, help, label_name,
			   label_value);
}

static gc_metric_t *find_or_add(metric_type_t type, const char *name,
				const char *help, const char *label_name,
				const char *label_value)
{
	char *key = g_strconcat(name, "\x01", label_name ? label_name : "",
				"\x01", label_value, NULL);
	gc_metric_t *metric;

	g_mutex_lock(&registry_lock);
	if (!registry)
		registry = g_tree_new((GCompareFunc)strcmp);
	metric = g_tree_lookup(registry, key);
	if (metric) {
		g_free(key);
	} else {
		metric = g_new0(gc_metric_t, 1);
		metric->type = type;
		metric->name = g_strdup(name);
		metric->help = g_strdup(help);
		metric->label_name = g_strdup(label_name);
		metric->label_value = g_strdup(label_value);
		g_tree_insert(registry, key, metric);
	}
	g_mutex_unlock(&registry_lock);
	return metric;
}

void gc_counter_add(gc_metric_t *counter, uint64_t n)
{
	atomic_fetch_add(&counter->value, n);
}

void gc_gauge_set(gc_metric_t *gauge, int64_t value)
{
	atomic_store(&gauge->value, value);
}

void gc_histogram_observe(gc_metric_t *histogram, double ms)
{
	unsigned int bucket = 0;

	while (bucket < N_BUCKETS - 1 && ms > (double)(1U << bucket))
		bucket++;
	atomic_fetch_add(&histogram->buckets[bucket], 1);
	atomic_fetch_add(&histogram->sum_us, (uint64_t)(ms * 1000));
	atomic_fetch_add(&histogram->value, 1);
}

uint64_t gc_counter_value(const gc_metric_t *counter)
{
	return atomic_load(&counter->value);
}

GString *gc_metrics_format(void)
{
	print_state_t state = {.out = g_string_new(NULL)};

	g_mutex_lock(&registry_lock);
	if (registry)
		g_tree_foreach(registry, print_metric, &state);
	g_mutex_unlock(&registry_lock);
	return state.out;
}

static gboolean print_metric(gpointer key, gpointer data, gpointer ctx)
{
	const gc_metric_t *metric = data;
	print_state_t *state = ctx;
	g_autofree char *name = NULL;

	if (g_strcmp0(state->previous_name, metric->name) != 0)
		g_string_append_printf(state->out,
				       "# HELP %s %s\n# TYPE %s %s\n",
				       metric->name, metric->help, metric->name,
				       type_names[metric->type]);
	state->previous_name = metric->name;
	if (metric->type == METRIC_HISTOGRAM) {
		print_histogram(state->out, metric);
		return FALSE;
	}
	name = series_name(metric, "", NULL);
	g_string_append_printf(state->out, "%s %lld\n", name,
			       (long long)atomic_load(&metric->value));
	return FALSE;
}

static void print_histogram(GString *out, const gc_metric_t *metric)
{
	g_autofree char *sum = series_name(metric, "_sum", NULL);
	g_autofree char *count = series_name(metric, "_count", NULL);
	unsigned long long total = 0;

	for (unsigned int i = 0; i < N_BUCKETS; i++) {
		char upper_bound[16] = "+Inf";
		g_autofree char *bucket = NULL;

		if (i < N_BUCKETS - 1)
			g_snprintf(upper_bound, sizeof(upper_bound), "%u",
				   1U << i);
		total += atomic_load(&metric->buckets[i]);
		bucket = series_name(metric, "_bucket", upper_bound);
		g_string_append_printf(out, "%s %llu\n", bucket, total);
	}
	g_string_append_printf(out, "%s %.3f\n%s %llu\n", sum,
			       (double)atomic_load(&metric->sum_us) / 1000,
			       count,
			       (unsigned long long)atomic_load(&metric->value));
}

/* Returns, for the suffix "_bucket", NAME_bucket{LABEL="value",le="bound"}. */
static char *series_name(const gc_metric_t *metric, const char *suffix,
			 const char *upper_bound)
{
	GString *text = g_string_new(metric->name);
	const char *separator = "";

	g_string_append(text, suffix);
	if (!metric->label_name && !upper_bound)
		return g_string_free(text, FALSE);
	g_string_append_c(text, '{');
	if (metric->label_name) {
		g_autofree char *escaped =
			g_strescape(metric->label_value, NULL);

		g_string_append_printf(text, "%s=\"%s\"", metric->label_name,
				       escaped);
		separator = ",";
	}
	if (upper_bound)
		g_string_append_printf(text, "%sle=\"%s\"", separator,
				       upper_bound);
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}
