/* Counters, gauges and histograms in the Prometheus text exposition format. */
#ifndef GC_LIB_METRICS_H
#define GC_LIB_METRICS_H

#include <stdint.h>

#include <glib.h>

typedef struct gc_metric gc_metric_t;

/*
 * These return the metric of a name and label, which is created at the first
 * call. label_name and label_value select one series ("account", "lone-star");
 * both are NULL for a metric without labels. The strings are copied. Names end
 * in their unit. Safe from every thread; a metric exists until the process
 * ends.
 */
gc_metric_t *gc_counter(const char *name, const char *help,
			const char *label_name, const char *label_value);
gc_metric_t *gc_gauge(const char *name, const char *help,
		      const char *label_name, const char *label_value);
/* The buckets' upper bounds are the powers of 2 from 1 ms to 65,536 ms. */
gc_metric_t *gc_histogram_ms(const char *name, const char *help,
			     const char *label_name, const char *label_value);

/* The gauge goldcrest_config_change_us of a step. */
gc_metric_t *gc_config_change_us(const char *step);

/* The functions below are safe from every thread. */
void gc_counter_add(gc_metric_t *counter, uint64_t n);
void gc_gauge_set(gc_metric_t *gauge, int64_t value);
void gc_histogram_observe(gc_metric_t *histogram, double ms);
uint64_t gc_counter_value(const gc_metric_t *counter);

/* Formats all metrics of the process. Free the result with g_string_free. */
GString *gc_metrics_format(void);

#endif
